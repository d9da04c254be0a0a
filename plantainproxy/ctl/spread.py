"""What is in force where, asked of every balancer."""

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
class Fleet:
    """The answers of all balancers that could be asked."""

    replies: tuple[operator_pb2.StatusReply, ...]
    silent: tuple[str, ...]
    """gRPC addresses of balancers that are known and did not answer."""


def status_of(
    settings: model.ClientSettings, address: _types.Address
) -> operator_pb2.StatusReply | None:
    """Ask one balancer; return ``None`` when it does not answer."""

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


def _balancers(reply: operator_pb2.StatusReply) -> list[str]:
    return [
        member.rpc_address
        for member in reply.members
        if member.kind == _types.MemberKind.BALANCER
        and member.state != _types.MemberState.LEFT
        and not member.lost
    ]


def ask_fleet(settings: model.ClientSettings) -> Fleet:
    """Ask the first balancer that answers, then every balancer it knows."""
    first = client.call_any(
        settings,
        lambda stub: stub.Status(
            operator_pb2.StatusRequest(), timeout=settings.call_timeout_seconds
        ),
    )
    others = sorted(set(_balancers(first)) - {first.rpc_address})
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        answers = list(
            pool.map(
                lambda text: status_of(settings, _types.Address.parse(text)), others
            )
        )
    replies = [first, *[answer for answer in answers if answer is not None]]
    silent = [
        text for text, answer in zip(others, answers, strict=True) if answer is None
    ]
    return Fleet(replies=tuple(replies), silent=tuple(silent))


def revisions(fleet: Fleet) -> dict[str, int]:
    """Return the revision in force on every process by gRPC address."""
    seen: dict[str, int] = {}
    for reply in fleet.replies:
        for sidecar in reply.sidecars:
            present = seen.get(sidecar.rpc_address, 0)
            seen[sidecar.rpc_address] = max(present, sidecar.revision)
    seen.update({reply.rpc_address: reply.revision for reply in fleet.replies})
    return seen


def key_revisions(fleet: Fleet) -> dict[str, int]:
    """Return the revision of the key set on every process by gRPC address."""
    seen: dict[str, int] = {}
    for reply in fleet.replies:
        for sidecar in reply.sidecars:
            present = seen.get(sidecar.rpc_address, 0)
            seen[sidecar.rpc_address] = max(present, sidecar.key_revision)
    seen.update({reply.rpc_address: reply.key_revision for reply in fleet.replies})
    return seen


def members(fleet: Fleet) -> list[operator_pb2.Member]:
    """Return the newest record of every member, by kind and address.

    Of two records of one sequence the one that is marked lost is newer.
    """
    newest: dict[str, operator_pb2.Member] = {}
    for reply in fleet.replies:
        for member in reply.members:
            known = newest.get(member.rpc_address)
            if known is None or _order(member) > _order(known):
                newest[member.rpc_address] = member
    return sorted(newest.values(), key=lambda one: (one.kind, one.rpc_address))


def _order(member: operator_pb2.Member) -> tuple[int, int, bool]:
    return (member.generation_ms, member.sequence, member.lost)


def drained(reply: operator_pb2.ShowReply) -> list[str]:
    """Return the upstreams that operators drain."""
    addresses: list[str] = tomllib.loads(reply.toml).get("drained", [])
    return addresses


def is_living(member: operator_pb2.Member) -> bool:
    """Tell whether a member runs as far as its observers know."""
    return not member.lost and member.state != _types.MemberState.LEFT


def lagging(
    fleet: Fleet,
    revision: int,
    *,
    of: abc.Callable[[Fleet], dict[str, int]] = revisions,
) -> list[str]:
    """Name the processes that do not have a revision in force yet."""
    behind = {name for name, seen in of(fleet).items() if seen < revision}
    return sorted(behind | set(fleet.silent))


def wait_in_force(
    settings: model.ClientSettings,
    revision: int,
    *,
    of: abc.Callable[[Fleet], dict[str, int]] = revisions,
) -> None:
    """Return when a revision is in force everywhere."""
    limit = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while True:
        behind = lagging(ask_fleet(settings), revision, of=of)
        if not behind:
            return
        if time.monotonic() > limit:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.PEER_UNAVAILABLE,
                f"Revision {revision} was accepted; not yet in force on "
                f"{', '.join(behind)}.",
            )
        time.sleep(POLL_SECONDS)
