"""Messages between balancers and sidecars, and their codec.

Datagrams carry one message each, as arrays without field names: reports are most of
the control traffic between failure domains. The policy travels over TCP, as one
message that ends with the connection.
"""

import enum

import msgspec

from plantainproxy.flows import policy


class UpstreamState(enum.StrEnum):
    """What a sidecar knows of its upstream."""

    UNKNOWN = "unknown"
    """Nothing heard yet since the sidecar's start."""
    READY = "ready"
    DRAINING = "draining"
    """Finishes what it has and takes no new flow."""
    GONE = "gone"
    """Its process has ended."""


class Refusal(enum.StrEnum):
    """Why a sidecar hands a packet back to the balancer."""

    NOT_READY = "not-ready"
    """The sidecar has no policy yet, or has not heard its upstream."""
    WRONG_POOL = "wrong-pool"
    """No route in force sends the service address to this pool."""
    DOMAIN_OUT = "domain-out"
    """Operators have taken the failure domain out of service."""
    DRAINING = "draining"
    """The upstream is leaving or has left."""
    COLD = "cold"
    """The upstream is cold and has had its share of new flows."""
    FULL = "full"
    """The upstream has as many requests in progress as it serves in good time."""
    DECLINED = "declined"
    """The upstream itself did not accept the flow."""
    NOT_HELD = "not-held"
    """The upstream does not hold the flow."""


class ReportRequest(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """A balancer asks a sidecar for reports."""

    revision: int
    """Revision of the policy in force at the sender."""
    domain: str
    """The sender's failure domain."""
    sidecars: int
    """Sidecars that the sender knows."""
    digest: int = policy.NO_POLICY_DIGEST
    """Digest of the policy in force at the sender."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A sidecar tells of its upstream."""

    boot: int
    number: int
    """Raised with each report of one process."""
    revision: int
    pool: str
    domain: str
    state: UpstreamState
    data_port: int
    """UDP port for packets of flows."""
    running: int
    """Requests that wait for their answer."""
    flows: int
    """Flows that the upstream holds."""
    slots: int
    """Requests that the upstream runs at the same time."""
    room: int
    """New flows that each balancer may send before the next report."""
    cold: bool
    complete: bool
    """Whether the sidecar knows every flow of its upstream."""
    stopping: bool = False
    """Whether the sidecar itself is about to end."""
    digest: int = policy.NO_POLICY_DIGEST
    """Digest of the policy in force."""
    suspect: bool = False
    """Whether the upstream has failed repeatedly although it is ready."""


class FlowHeld(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """The upstream beside the sender holds a flow."""

    flow: bytes


class FlowNotHeld(msgspec.Struct, frozen=True, array_like=True, tag="not-held"):
    """The upstream beside the sender does not hold a flow."""

    flow: bytes


class ReturnedPacket(msgspec.Struct, frozen=True, array_like=True, tag="returned"):
    """A packet that the sender could not deliver."""

    reason: Refusal
    revision: int
    data: bytes
    """The whole packet."""
    retry_after: float = 0.0
    """Seconds after which the upstream may take a new flow, where that is known."""


Message = ReportRequest | Report | FlowHeld | FlowNotHeld | ReturnedPacket

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_policy_decoder = msgspec.msgpack.Decoder(policy.Policy)

encode = _encoder.encode
"""Encode one message or a policy."""


def decode(data: bytes) -> Message | None:
    """Decode one datagram; ``None`` when it is no message."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def decode_policy(data: bytes) -> policy.Policy | None:
    """Decode a policy; ``None`` when the bytes hold none."""
    try:
        return _policy_decoder.decode(data)
    except msgspec.DecodeError:
        return None
