"""The closed list of calls between the system's processes."""

import dataclasses
import enum

from plantainproxy.rpc import messages

SERVICE = "plantainproxy.v1.Peer"
"""The gRPC service that all methods belong to."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Signature:
    """The name and the message types of one call."""

    name: str
    """The gRPC method name."""
    request: type
    reply: type


class Method(enum.Enum):
    """Every call that one process may make to another."""

    HEARTBEAT = Signature(
        name="Heartbeat",
        request=messages.HeartbeatRequest,
        reply=messages.HeartbeatReply,
    )
    """From a sidecar to its home balancers."""
    GOSSIP = Signature(
        name="Gossip", request=messages.GossipRequest, reply=messages.GossipReply
    )
    """From a balancer to a balancer."""
    PULL = Signature(
        name="Pull", request=messages.PullRequest, reply=messages.PullReply
    )
    """From a balancer that lags to a balancer."""
    EXECUTE = Signature(
        name="Execute", request=messages.ExecuteRequest, reply=messages.ExecuteReply
    )
    """From a sidecar to a sibling."""
    CLAIM = Signature(
        name="Claim", request=messages.ClaimRequest, reply=messages.ClaimReply
    )
    """From a sidecar to an idempotency key's home."""
    SETTLE = Signature(
        name="Settle", request=messages.SettleRequest, reply=messages.SettleReply
    )
    """From a sidecar to an idempotency key's home."""

    @property
    def path(self) -> str:
        """The HTTP/2 path of the call."""
        return f"/{SERVICE}/{self.value.name}"
