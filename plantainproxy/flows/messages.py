"""Messages between balancers and sidecars, and their codec.

Each datagram carries one message, encoded as an array without field names. This keeps
reports small; they are most of the control traffic between failure domains. A policy
is sent over TCP as one message that ends when the connection is closed.
"""

from collections import abc
import enum
import typing

import msgspec

from plantainproxy import _decoding
from plantainproxy.flows import policy
from plantainproxy.store import revisioned


class UpstreamState(enum.StrEnum):
    """State of an upstream as its sidecar sees it."""

    UNKNOWN = "unknown"
    """No heartbeat received and no health check passed since the sidecar started."""
    READY = "ready"
    DRAINING = "draining"
    """Finishes its open flows and accepts no new ones."""
    GONE = "gone"
    """The upstream process has ended."""


class Refusal(enum.StrEnum):
    """Reason for which a sidecar returns a packet to the balancer."""

    NOT_READY = "not-ready"
    """The sidecar has no policy yet or is about to end, or its upstream's state is
    unknown."""
    WRONG_POOL = "wrong-pool"
    """No active route maps the service address to this pool."""
    DOMAIN_OUT = "domain-out"
    """Operators have taken the failure domain out of service."""
    DRAINING = "draining"
    """The upstream is draining or its process has ended."""
    COLD = "cold"
    """The upstream is cold and its limit on new flows is used up."""
    FULL = "full"
    """The upstream has as many requests in progress as it can serve in time."""
    DECLINED = "declined"
    """The upstream itself rejected the new flow."""
    NOT_HELD = "not-held"
    """The upstream has no state for the flow."""


MILLISECONDS_PER_SECOND = 1_000
MAX_AGE_MILLISECONDS = 86_400_000
"""Highest age of a relayed report: a day. Relays drop reports after seconds."""

Hosts = typing.Annotated[
    tuple[_decoding.Host, ...],
    msgspec.Meta(max_length=_decoding.MAX_DATAGRAM_ELEMENTS),
]
Data = typing.Annotated[bytes, msgspec.Meta(max_length=_decoding.MAX_DATAGRAM_BYTES)]
AgeMilliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MILLISECONDS)]
ServiceTimes = typing.Annotated[
    dict[_decoding.Service, _decoding.Amount],
    msgspec.Meta(max_length=_decoding.MAX_DATAGRAM_ELEMENTS),
]


class ReportRequest(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Request of a balancer for reports from a sidecar."""

    revision: _decoding.Count
    """Number of the store revision of the sender's active policy."""
    domain: _decoding.Name
    """The sender's failure domain."""
    sidecars: _decoding.Load
    """Number of sidecars in the sender's list."""
    digest: _decoding.Count = policy.NO_POLICY_DIGEST
    """Digest of the sender's active policy."""
    subscribes: bool = True
    """Whether the sender wants reports until the request expires, and not just one."""
    relays: Hosts = ()
    """Hosts of the relays of the sender's domain, which need the reports, too; empty in
    requests to sidecars of other domains."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sender's active policy. Processes of earlier releases do not send
    it, and compare ``revision``."""
    era: _decoding.Count = 0
    """Latest era of the store's content that the sender has seen."""


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Request of a balancer to a relay of its domain for reports of other domains."""

    domain: _decoding.Name
    """The sender's failure domain."""
    peers: Hosts
    """Hosts of the relays in other domains from which reports are needed."""
    is_urgent: bool = False
    """Whether callers wait for room at the sender."""


class GatherRequest(msgspec.Struct, frozen=True, array_like=True, tag="gather"):
    """Request of a relay to a relay of another domain for that domain's reports."""

    domain: _decoding.Name
    """The sender's failure domain."""
    is_urgent: bool = False
    """Whether callers wait for room in the sender's domain."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """State and load of an upstream, sent by its sidecar."""

    boot: _decoding.Count
    """Start of the sidecar process in milliseconds since the epoch, on its clock."""
    number: _decoding.Count
    """Sequence number that rises with each report of one process."""
    revision: _decoding.Count
    """Number of the store revision of the sidecar's active policy."""
    pool: _decoding.Name
    domain: _decoding.Name
    state: UpstreamState
    data_port: _decoding.Port
    """UDP port of the sidecar for packets of flows."""
    running: _decoding.Load
    """Requests whose response is outstanding."""
    flows: _decoding.Load
    """Flows that the upstream holds."""
    slots: _decoding.Load
    """Requests that the upstream can run concurrently."""
    room: _decoding.Load
    """New flows that each balancer may open before the next report."""
    cold: bool
    complete: bool
    """Whether the sidecar's flow table lists every flow of its upstream."""
    stopping: bool = False
    """Whether the sidecar process is shutting down."""
    digest: _decoding.Count = policy.NO_POLICY_DIGEST
    """Digest of the sidecar's active policy."""
    suspect: bool = False
    """Whether the upstream is ready but ejected as an outlier after failures."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sidecar's active policy, as in ``ReportRequest``."""
    era: _decoding.Count = 0
    """Latest era of the store's content that the sidecar has seen."""
    service_times: ServiceTimes = msgspec.field(default_factory=dict)
    """Median service time in milliseconds by service address; a route without enough
    samples is absent."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load of an upstream whose status is that of its last complete report."""

    boot: _decoding.Count
    number: _decoding.Count
    running: _decoding.Load
    flows: _decoding.Load
    room: _decoding.Load


class RelayedReport(msgspec.Struct, frozen=True, array_like=True):
    """A report of another sidecar."""

    host: str
    """Host of the sidecar; its message port is that of the sender."""
    age_ms: AgeMilliseconds
    """Time since a relay received the report from the sidecar."""
    report: Report | LoadReport

    def __post_init__(self) -> None:
        """Check the host; the pattern of ``Host`` would take five times as long."""
        _decoding.check_host(self.host)


class ReportBatch(msgspec.Struct, frozen=True, array_like=True, tag="batch"):
    """Reports of several sidecars of one failure domain."""

    reports: typing.Annotated[
        tuple[RelayedReport, ...],
        msgspec.Meta(max_length=_decoding.MAX_DATAGRAM_ELEMENTS),
    ]


class Notice(msgspec.Struct, frozen=True, array_like=True, tag="notice"):
    """Statement of a relay about the store's documents, to processes of its domain."""

    revision: _decoding.Count
    """Number of the store revision of the sender's active policy."""
    digest: _decoding.Count
    list_revision: _decoding.Count
    """Number of the store revision of the sender's list of sidecars."""
    list_digest: _decoding.Count
    is_current: bool
    """Whether the sender watches both documents in the store successfully."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sender's active policy, as in ``ReportRequest``."""
    list_order: revisioned.Revision = revisioned.NO_REVISION
    """Revision of the sender's list of sidecars, likewise."""
    era: _decoding.Count = 0
    """Latest era of the store's content that the sender has seen."""


class FlowRecord(msgspec.Struct, frozen=True, array_like=True, tag="record"):
    """Snapshot of a sidecar's flows, for a relay to write to the store."""

    number: _decoding.Count
    """Sequence number that rises with each record of one process."""
    era: _decoding.Count
    """Era of the store in which the lease and the revision are valid."""
    lease: _decoding.Count
    revision: _decoding.Count
    """Number of the revision of the stored snapshot; 0 for none."""
    snapshot: Data


class FlowRecordResult(msgspec.Struct, frozen=True, array_like=True, tag="recorded"):
    """Answer of a relay to a ``FlowRecord``."""

    number: _decoding.Count
    """Number of the record."""
    revision: _decoding.Count
    """Number of the revision of the stored snapshot."""
    is_saved: bool
    """Whether that snapshot is the record's; otherwise the record's revision was
    wrong."""


class FlowHeld(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """Lookup answer: the upstream of the sending sidecar holds the flow."""

    flow: _decoding.FlowKey
    is_presumed: bool | None = None
    """Whether the upstream has merely not returned the packet in time; ``None`` from
    earlier releases, which do not state it."""


class FlowNotHeld(msgspec.Struct, frozen=True, array_like=True, tag="not-held"):
    """Lookup answer: the upstream of the sending sidecar does not hold the flow."""

    flow: _decoding.FlowKey
    delivered_ms: AgeMilliseconds | None = None
    """Time since the upstream got a packet of the flow that it returned, if it did."""


class FlowUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """Lookup answer: the sending sidecar cannot determine whether the flow is held.

    Its flow table is not complete and does not have the flow. Earlier releases send
    nothing instead, and count this message as malformed.
    """

    flow: _decoding.FlowKey
    delivered_ms: AgeMilliseconds | None = None
    """Time since the upstream got a packet of the flow that it has neither answered nor
    returned, if it did."""


class ReturnedPacket(msgspec.Struct, frozen=True, array_like=True, tag="returned"):
    """A packet that the sidecar could not deliver, sent back to the balancer."""

    reason: Refusal
    revision: _decoding.Count
    """Number of the store revision of the sidecar's active policy."""
    data: Data
    """The complete packet, including its headers."""
    retry_after: _decoding.Amount = 0.0
    """Seconds until the upstream may accept a new flow; 0 if unknown."""


Message = (
    ReportRequest
    | RelayRequest
    | GatherRequest
    | Report
    | ReportBatch
    | Notice
    | FlowRecord
    | FlowRecordResult
    | FlowHeld
    | FlowNotHeld
    | FlowUnknown
    | ReturnedPacket
)


def status_of(report: Report) -> tuple[typing.Any, ...]:
    """Return the parts of a report that a ``LoadReport`` leaves out and that change."""
    return (
        report.boot,
        report.pool,
        report.state,
        report.slots,
        report.cold,
        report.complete,
        report.stopping,
        report.digest,
        report.suspect,
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_policy_decoder = msgspec.msgpack.Decoder(policy.Policy)

encode = _encoder.encode
"""Encode one message or a policy."""


def encoded_size(relayed: RelayedReport) -> int:
    """Return the bytes that a report takes in a batch."""
    return len(_encoder.encode(relayed))


def decode(
    data: bytes, on_refused: abc.Callable[[Exception], None] = _decoding.ignore
) -> Message | None:
    """Decode one datagram; return ``None`` if it is not a valid message.

    ``on_refused`` gets the reason. Each value of a message is within the bounds of its
    type, so that it can be used without a further check.
    """
    try:
        return _decoder.decode(data)
    except _decoding.ERRORS as error:
        on_refused(error)
        return None


def decode_policy(
    data: bytes, on_refused: abc.Callable[[Exception], None] = _decoding.ignore
) -> policy.Policy | None:
    """Decode a policy, like ``decode``."""
    try:
        return _policy_decoder.decode(data)
    except _decoding.ERRORS as error:
        on_refused(error)
        return None
