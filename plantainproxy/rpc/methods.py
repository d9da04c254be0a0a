"""The gRPC methods between balancers and sidecars."""

import dataclasses
import enum

from plantainproxy.rpc import messages

SERVICE = "plantainproxy.v1.Peer"
"""The gRPC service that all methods belong to."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Signature:
    """The name and the message types of a method."""

    name: str
    """The gRPC method name."""
    request: type
    reply: type


class Method(enum.Enum):
    """Every gRPC method that one process may call on another."""

    HEARTBEAT = Signature(
        name="Heartbeat",
        request=messages.HeartbeatRequest,
        reply=messages.HeartbeatReply,
    )
    """From a sidecar to its home balancers."""
    GOSSIP = Signature(
        name="Gossip", request=messages.GossipRequest, reply=messages.GossipReply
    )
    """From a balancer to another balancer."""
    PULL = Signature(
        name="Pull", request=messages.PullRequest, reply=messages.PullReply
    )
    """From a balancer with an older revision to another balancer."""
    EXECUTE = Signature(
        name="Execute", request=messages.ExecuteRequest, reply=messages.ExecuteReply
    )
    """From a sidecar to a sibling."""
    CLAIM = Signature(
        name="Claim", request=messages.ClaimRequest, reply=messages.ClaimReply
    )
    """From a sidecar to the home of an idempotency key."""
    SETTLE = Signature(
        name="Settle", request=messages.SettleRequest, reply=messages.SettleReply
    )
    """From a sidecar to the home of an idempotency key."""

    @property
    def path(self) -> str:
        """The HTTP/2 path of the method."""
        return f"/{SERVICE}/{self.value.name}"
