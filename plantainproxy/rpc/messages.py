"""The messages between the system's processes.

They are encoded as MessagePack arrays by ``msgspec``; see ``rpc.codec``.
"""

import dataclasses

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import delta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatRequest:
    """A sidecar tells a home balancer that it is alive."""

    record: _types.MemberRecord
    configuration_revision: int
    """The revision that the sidecar holds; 0 for none."""
    key_revision: int
    """The revision of the key set that the sidecar holds; 0 for none."""
    siblings_digest: int
    """Digest of the siblings and balancers that the sidecar holds; 0 for none."""
    is_final: bool = False
    """Whether the sidecar will not call this balancer again."""
    interval_milliseconds: int = 0
    """When the next heartbeat comes; 0 for the usual interval."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """What a home balancer knows and the sidecar does not."""

    stored_record: _types.MemberRecord
    """The balancer's record of the sidecar; when it says lost, the owner answers
    with a higher sequence."""
    view: model.PoolView | None = None
    """Present when the balancer's revision is higher than the sidecar's."""
    key_set: model.KeySet | None = None
    """Present when the balancer's key revision is higher."""
    siblings: tuple[_types.MemberRecord, ...] | None = None
    """Live members of the pool; present when the digests differ."""
    siblings_digest: int = 0
    """Digest of the siblings and balancers that the balancer knows."""
    balancers: tuple[_types.Address, ...] = ()
    """Addresses among which the sidecar picks its homes; present with siblings."""
    interval_milliseconds: int = 0
    """The shortest interval at which the balancer wants to be called."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipRequest:
    """One balancer's news for another."""

    sender: _types.MemberRecord
    configuration_revision: int
    key_revision: int
    records: tuple[_types.MemberRecord, ...] = ()
    """Records that changed lately, or that the receiver lacks."""
    digests: bytes = b""
    """Packed digest of each bucket of records; empty when this round has none."""
    wanted: bytes = b""
    """Packed hashes of the members whose records the sender asks for."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipReply:
    """The receiver's news in return."""

    sender: _types.MemberRecord
    configuration_revision: int
    key_revision: int
    records: tuple[_types.MemberRecord, ...] = ()
    """Records newer than those received, or that were asked for."""
    buckets: bytes = b""
    """Numbers of the differing buckets that the summaries cover."""
    summaries: bytes = b""
    """Packed hashes of the receiver's records in those buckets."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullRequest:
    """Asks a balancer for what is newer than the given revisions."""

    configuration_revision: int
    key_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullReply:
    """The newer documents; absent where there is nothing newer."""

    configuration: model.Configuration | None = None
    """The whole document; absent also where a delta is enough."""
    key_set: model.KeySet | None = None
    configuration_delta: delta.Delta | None = None
    """What leads from the revision that the request named to the newest."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """One HTTP header field."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One HTTP request of a caller."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One whole HTTP answer."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    error: _exceptions.ErrorKind | None = None
    """Which refusal of ours it is; absent for an upstream's answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteRequest:
    """A sidecar asks a sibling to run a request on the sibling's upstream."""

    service: _types.Address
    """The service address that the request came to; the receiver checks it."""
    request: Request
    timeout_milliseconds: int
    """What is left of the deadline."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteReply:
    """The sibling's answer: a response, or an error kind with its outcome."""

    running: int
    """Requests running on the sibling's upstream."""
    limit: int
    """Requests that the sibling lets run at once."""
    response: Response | None = None
    error: _exceptions.ErrorKind | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Asks a key's home for the right to run a request."""

    key: str
    fingerprint: bytes
    """Digest of method, path and body, to notice a key that is used again."""
    timeout_milliseconds: int
    """What is left of the deadline; a key not settled by then is unknown."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply:
    """The home's decision: granted, the stored answer, or an error kind."""

    granted: bool = False
    grant: int = 0
    """Names the grant when settling it."""
    response: Response | None = None
    error: _exceptions.ErrorKind | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleRequest:
    """Tells a key's home how the granted attempt ended."""

    key: str
    grant: int
    """The grant that the claim's reply named."""
    outcome: _types.Outcome
    """Not run frees the key; unknown keeps it blocked."""
    response: Response | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleReply:
    """Acknowledges a settled key."""
