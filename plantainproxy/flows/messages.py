"""Messages between balancers and sidecars, and their codec.

Each datagram carries one message, encoded as an array without field names. This keeps
reports small; they are most of the control traffic between failure domains. A policy
is sent over TCP as one message that ends when the connection is closed.
"""

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
    """The sidecar has no policy yet, or its upstream's state is unknown."""
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


class ReportRequest(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Request of a balancer for reports from a sidecar."""

    revision: int
    """Number of the store revision of the sender's active policy."""
    domain: str
    """The sender's failure domain."""
    sidecars: int
    """Number of sidecars in the sender's list."""
    digest: int = policy.NO_POLICY_DIGEST
    """Digest of the sender's active policy."""
    subscribes: bool = True
    """Whether the sender wants reports until the request expires, and not just one."""
    relays: tuple[str, ...] = ()
    """Hosts of the relays of the sender's domain, which need the reports, too; empty in
    requests to sidecars of other domains."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sender's active policy. Processes of earlier releases do not send
    it, and compare ``revision``."""
    era: int = 0
    """Latest era of the store's content that the sender has seen."""


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Request of a balancer to a relay of its domain for reports of other domains."""

    domain: str
    """The sender's failure domain."""
    peers: tuple[str, ...]
    """Hosts of the relays in other domains from which reports are needed."""
    is_urgent: bool = False
    """Whether callers wait for room at the sender."""


class GatherRequest(msgspec.Struct, frozen=True, array_like=True, tag="gather"):
    """Request of a relay to a relay of another domain for that domain's reports."""

    domain: str
    """The sender's failure domain."""
    is_urgent: bool = False
    """Whether callers wait for room in the sender's domain."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """State and load of an upstream, sent by its sidecar."""

    boot: int
    """Start of the sidecar process in milliseconds since the epoch, on its clock."""
    number: int
    """Sequence number that rises with each report of one process."""
    revision: int
    """Number of the store revision of the sidecar's active policy."""
    pool: str
    domain: str
    state: UpstreamState
    data_port: int
    """UDP port of the sidecar for packets of flows."""
    running: int
    """Requests whose response is outstanding."""
    flows: int
    """Flows that the upstream holds."""
    slots: int
    """Requests that the upstream can run concurrently."""
    room: int
    """New flows that each balancer may open before the next report."""
    cold: bool
    complete: bool
    """Whether the sidecar's flow table lists every flow of its upstream."""
    stopping: bool = False
    """Whether the sidecar process is shutting down."""
    digest: int = policy.NO_POLICY_DIGEST
    """Digest of the sidecar's active policy."""
    suspect: bool = False
    """Whether the upstream is ready but ejected as an outlier after failures."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sidecar's active policy, as in ``ReportRequest``."""
    era: int = 0
    """Latest era of the store's content that the sidecar has seen."""
    service_times: dict[bytes, float] = msgspec.field(default_factory=dict)
    """Median service time in milliseconds by service address; a route without enough
    samples is absent."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load of an upstream whose status is that of its last complete report."""

    boot: int
    number: int
    running: int
    flows: int
    room: int


class RelayedReport(msgspec.Struct, frozen=True, array_like=True):
    """A report of another sidecar."""

    host: str
    """Host of the sidecar; its message port is that of the sender."""
    age_ms: int
    """Time since a relay received the report from the sidecar."""
    report: Report | LoadReport


class ReportBatch(msgspec.Struct, frozen=True, array_like=True, tag="batch"):
    """Reports of several sidecars of one failure domain."""

    reports: tuple[RelayedReport, ...]


class Notice(msgspec.Struct, frozen=True, array_like=True, tag="notice"):
    """Statement of a relay about the store's documents, to processes of its domain."""

    revision: int
    """Number of the store revision of the sender's active policy."""
    digest: int
    list_revision: int
    """Number of the store revision of the sender's list of sidecars."""
    list_digest: int
    is_current: bool
    """Whether the sender watches both documents in the store successfully."""
    order: policy.Order = policy.NO_ORDER
    """Order of the sender's active policy, as in ``ReportRequest``."""
    list_order: revisioned.Revision = revisioned.NO_REVISION
    """Revision of the sender's list of sidecars, likewise."""
    era: int = 0
    """Latest era of the store's content that the sender has seen."""


class FlowRecord(msgspec.Struct, frozen=True, array_like=True, tag="record"):
    """Snapshot of a sidecar's flows, for a relay to write to the store."""

    number: int
    """Sequence number that rises with each record of one process."""
    era: int
    """Era of the store in which the lease and the revision are valid."""
    lease: int
    revision: int
    """Number of the revision of the stored snapshot; 0 for none."""
    snapshot: bytes


class FlowRecordResult(msgspec.Struct, frozen=True, array_like=True, tag="recorded"):
    """Answer of a relay to a ``FlowRecord``."""

    number: int
    """Number of the record."""
    revision: int
    """Number of the revision of the stored snapshot."""
    is_saved: bool
    """Whether that snapshot is the record's; otherwise the record's revision was
    wrong."""


class FlowHeld(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """Lookup answer: the upstream of the sending sidecar holds the flow."""

    flow: bytes


class FlowNotHeld(msgspec.Struct, frozen=True, array_like=True, tag="not-held"):
    """Lookup answer: the upstream of the sending sidecar does not hold the flow."""

    flow: bytes


class ReturnedPacket(msgspec.Struct, frozen=True, array_like=True, tag="returned"):
    """A packet that the sidecar could not deliver, sent back to the balancer."""

    reason: Refusal
    revision: int
    """Number of the store revision of the sidecar's active policy."""
    data: bytes
    """The complete packet, including its headers."""
    retry_after: float = 0.0
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


def decode(data: bytes) -> Message | None:
    """Decode one datagram; return ``None`` if it is not a valid message."""
    try:
        return _decoder.decode(data)
    except _decoding.ERRORS:
        return None


def decode_policy(data: bytes) -> policy.Policy | None:
    """Decode a policy; return ``None`` if the bytes are not a valid one."""
    try:
        return _policy_decoder.decode(data)
    except _decoding.ERRORS:
        return None
