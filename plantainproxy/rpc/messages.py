"""Messages between balancers and sidecars.

They are encoded as MessagePack arrays by ``msgspec``: the order of their fields is
part of the protocol; see ``rpc.codec``.
"""

import dataclasses

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import delta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatRequest:
    """A heartbeat from a sidecar to one of its home balancers."""

    record: _members.MemberRecord
    configuration_revision: int
    """The revision that the sidecar holds; 0 for none."""
    key_revision: int
    """The revision of the key set that the sidecar holds; 0 for none."""
    siblings_digest: int
    """Digest of the siblings and balancers that the sidecar holds; 0 for none."""
    is_final: bool = False
    """Whether this is the last heartbeat from the sidecar to this balancer."""
    interval_milliseconds: int = 0
    """Time until the next heartbeat; 0 for the default interval."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """A home balancer's reply, with the data that the sidecar lacks."""

    stored_record: _members.MemberRecord
    """The balancer's record of the sidecar.

    If it takes precedence over the sidecar's own record, for instance because it is
    marked lost, the sidecar refutes it by a newer record.
    """
    view: model.PoolView | None = None
    """Present when the balancer's revision is higher than the sidecar's."""
    key_set: model.KeySet | None = None
    """Present when the balancer's key revision is higher."""
    siblings: tuple[_members.MemberRecord, ...] | None = None
    """Live members of the pool; present when the digests differ."""
    siblings_digest: int = 0
    """Digest of the siblings and balancers that the balancer holds."""
    balancers: tuple[_types.Address, ...] = ()
    """Candidates for the home balancers; present when ``siblings`` is."""
    interval_milliseconds: int = 0
    """Minimum heartbeat interval that the balancer requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipRequest:
    """Membership updates from one balancer to another."""

    sender: _members.MemberRecord
    configuration_revision: int
    key_revision: int
    records: tuple[_members.MemberRecord, ...] = ()
    """Records that changed recently or that the receiver lacks."""
    digests: bytes = b""
    """Packed digest of each bucket of records; empty if this round sends none."""
    wanted: bytes = b""
    """Packed hashes of the members whose records the sender requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipReply:
    """Membership updates that the receiver returns."""

    sender: _members.MemberRecord
    configuration_revision: int
    key_revision: int
    records: tuple[_members.MemberRecord, ...] = ()
    """Records that are newer than the received ones or were requested."""
    buckets: bytes = b""
    """Numbers of the differing buckets that ``summaries`` covers."""
    summaries: bytes = b""
    """Packed hashes of the receiver's records in those buckets."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullRequest:
    """Requests the documents that are newer than the given revisions."""

    configuration_revision: int
    key_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullReply:
    """The newer documents; ``None`` where there is no newer one."""

    configuration: model.Configuration | None = None
    """The full document; ``None`` also if a delta is sent instead."""
    key_set: model.KeySet | None = None
    configuration_delta: delta.Delta | None = None
    """Changes from the requested revision to the newest one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """One HTTP header field."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A complete HTTP request of a caller."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    error: _exceptions.ErrorKind | None = None
    """The kind of an error response of this system; ``None`` for an upstream's."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteRequest:
    """Asks a sibling sidecar to run a caller's request on its upstream."""

    service: _types.Address
    """The service address that the caller used; the receiver checks it."""
    request: Request
    timeout_milliseconds: int
    """Time that remains until the deadline."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecuteReply:
    """A sibling's reply: a response, or an error kind, which implies the outcome."""

    running: int
    """Requests running on the sibling's upstream."""
    limit: int
    """Maximum number of requests that the sibling runs at once."""
    response: Response | None = None
    error: _exceptions.ErrorKind | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Asks the home of an idempotency key for the right to run the request.

    The home is the sidecar that issued the key's ticket.
    """

    key: str
    fingerprint: bytes
    """Digest of method, path and body, to detect reuse of the key."""
    timeout_milliseconds: int
    """Time until the deadline; a key not settled by then has an unknown outcome."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply:
    """The home's decision: a grant, the stored response, or an error kind."""

    granted: bool = False
    grant: int = 0
    """Identifies the grant in the ``SettleRequest``."""
    response: Response | None = None
    error: _exceptions.ErrorKind | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleRequest:
    """Reports to the home of a key how the granted attempt ended."""

    key: str
    grant: int
    """The grant from the ``ClaimReply``."""
    outcome: _types.Outcome
    """``NOT_RUN`` frees the key; ``UNKNOWN`` keeps it blocked."""
    response: Response | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleReply:
    """Acknowledges a ``SettleRequest``."""
