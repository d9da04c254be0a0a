"""Active revisions and membership, collected from all balancers."""

from collections import abc
import concurrent.futures
import dataclasses
import time
import tomllib

from plantainproxy import _exceptions, _types
from plantainproxy.ctl import client
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model

WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.2
MAX_PARALLEL_CALLS = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """Status replies of the balancers, and the balancers that sent none."""

    replies: tuple[operator_pb2.StatusReply, ...]
    unresponsive: tuple[str, ...]
    """gRPC addresses of the balancers in the membership that did not answer."""


def query_status(
    settings: model.ClientSettings, address: _types.Address
) -> operator_pb2.StatusReply | None:
    """Return the status of one balancer, or ``None`` when it does not answer."""

    def run(stub: client.Stub) -> operator_pb2.StatusReply:
        reply: operator_pb2.StatusReply = stub.Status(
            operator_pb2.StatusRequest(), timeout=settings.call_timeout_seconds
        )
        return reply

    try:
        return client.call_one(address, settings, run)
    except _exceptions.PlantainError as error:
        if error.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE:
            return None
        raise


def _balancer_addresses(reply: operator_pb2.StatusReply) -> list[str]:
    return [
        member.rpc_address
        for member in reply.members
        if member.kind == _types.MemberKind.BALANCER
        and member.state != _types.MemberState.LEFT
        and not member.lost
    ]


def query_fleet(settings: model.ClientSettings) -> FleetStatus:
    """Query the first balancer that answers, then all others in its membership."""
    first_reply = client.call_any(
        settings,
        lambda stub: stub.Status(
            operator_pb2.StatusRequest(), timeout=settings.call_timeout_seconds
        ),
    )
    other_addresses = sorted(
        set(_balancer_addresses(first_reply)) - {first_reply.rpc_address}
    )
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        other_replies = list(
            pool.map(
                lambda address: query_status(settings, _types.Address.parse(address)),
                other_addresses,
            )
        )
    replies = [first_reply, *[reply for reply in other_replies if reply is not None]]
    unresponsive = [
        address
        for address, reply in zip(other_addresses, other_replies, strict=True)
        if reply is None
    ]
    return FleetStatus(replies=tuple(replies), unresponsive=tuple(unresponsive))


def revisions(fleet: FleetStatus) -> dict[str, int]:
    """Return the active configuration revision of every process by gRPC address.

    Balancers report their own revision. A sidecar's is the highest that any balancer
    received in its heartbeats.
    """
    revision_by_address: dict[str, int] = {}
    for reply in fleet.replies:
        for sidecar in reply.sidecars:
            previous = revision_by_address.get(sidecar.rpc_address, 0)
            revision_by_address[sidecar.rpc_address] = max(previous, sidecar.revision)
    revision_by_address.update(
        {reply.rpc_address: reply.revision for reply in fleet.replies}
    )
    return revision_by_address


def key_revisions(fleet: FleetStatus) -> dict[str, int]:
    """Return the active key revision of every process by gRPC address.

    The values are collected in the same way as in ``revisions``.
    """
    revision_by_address: dict[str, int] = {}
    for reply in fleet.replies:
        for sidecar in reply.sidecars:
            previous = revision_by_address.get(sidecar.rpc_address, 0)
            revision_by_address[sidecar.rpc_address] = max(
                previous, sidecar.key_revision
            )
    revision_by_address.update(
        {reply.rpc_address: reply.key_revision for reply in fleet.replies}
    )
    return revision_by_address


def members(fleet: FleetStatus) -> list[operator_pb2.Member]:
    """Return the newest record of every member, sorted by kind and address.

    Of two records with the same generation and sequence, one marked lost is newer.
    """
    newest: dict[str, operator_pb2.Member] = {}
    for reply in fleet.replies:
        for member in reply.members:
            newest_record = newest.get(member.rpc_address)
            if newest_record is None or _recency(member) > _recency(newest_record):
                newest[member.rpc_address] = member
    return sorted(newest.values(), key=lambda member: (member.kind, member.rpc_address))


def _recency(member: operator_pb2.Member) -> tuple[int, int, bool]:
    return (member.generation_ms, member.sequence, member.lost)


def drained(reply: operator_pb2.ShowReply) -> list[str]:
    """Return the addresses of the upstreams that operators drained."""
    addresses: list[str] = tomllib.loads(reply.toml).get("drained", [])
    return addresses


def is_running(member: operator_pb2.Member) -> bool:
    """Return whether a member is neither lost nor has left, according to its record."""
    return not member.lost and member.state != _types.MemberState.LEFT


def lagging(
    fleet: FleetStatus,
    revision: int,
    *,
    revisions_of: abc.Callable[[FleetStatus], dict[str, int]] = revisions,
) -> list[str]:
    """Return the processes on which a revision is not active yet.

    Balancers that did not answer count as lagging.
    """
    lagging_addresses = {
        address
        for address, active_revision in revisions_of(fleet).items()
        if active_revision < revision
    }
    return sorted(lagging_addresses | set(fleet.unresponsive))


def wait_until_active(
    settings: model.ClientSettings,
    revision: int,
    *,
    revisions_of: abc.Callable[[FleetStatus], dict[str, int]] = revisions,
) -> None:
    """Block until a revision is active on every process.

    Raise ``PlantainError`` of kind ``PEER_UNAVAILABLE`` after the timeout.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while True:
        lagging_addresses = lagging(
            query_fleet(settings), revision, revisions_of=revisions_of
        )
        if not lagging_addresses:
            return
        if time.monotonic() > deadline:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.PEER_UNAVAILABLE,
                f"Revision {revision} was accepted but is not yet active on "
                f"{', '.join(lagging_addresses)}.",
            )
        time.sleep(POLL_SECONDS)
