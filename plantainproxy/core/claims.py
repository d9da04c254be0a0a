"""Table of the idempotency keys granted by a home.

Only the home of a key grants it, from its memory. It keeps each entry until the key's
ticket is too old to be granted again. A key therefore has at most one holder at a
time, and is granted again only after the holder reported that nothing ran.
"""

import collections
import dataclasses
import enum

from plantainproxy import _exceptions, _types
from plantainproxy.core import tickets
from plantainproxy.rpc import messages

MAX_ENTRIES = 131_072
MAX_BYTES = 67_108_864
"""Bound on the total size of the stored responses."""
MAX_STORED_BYTES = 1_048_576
"""A larger response is not stored; the outcome of its key becomes unknown."""
SETTLE_GRACE_SECONDS = 2.0
"""Time after the request's deadline in which its holder may still settle."""


class Phase(enum.Enum):
    """Phase of a granted key."""

    RUNNING = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One granted key."""

    fingerprint: bytes
    grant: int
    """Number of this grant; settling requests of earlier grants are ignored."""
    running_until: float
    phase: Phase = Phase.RUNNING
    response: messages.Response | None = None
    size_bytes: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Table:
    """The granted keys whose tickets have not expired."""

    home: _types.Address
    generation: int
    tag: int
    """The pool's tag, see :func:`tickets.pool_tag`."""
    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_BYTES
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    keys_by_issue_time: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    """The keys by issue time; rounding leaves few distinct times."""
    stored_grants: "collections.OrderedDict[str, int]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    """Keys with a stored response and the number of their grant, oldest first."""
    stored_bytes: int = 0
    open_until: dict[str, float] = dataclasses.field(default_factory=dict)
    """Keys that only this home can still resolve, and until when.

    A granted key is open until it is settled. A key that was settled as not run is
    open until the deadline of its request, because its caller may repeat it."""
    last_grant: int = 0


def issue(table: Table, *, now: float) -> tickets.Ticket:
    """Return a ticket issued by this table at the given time."""
    return tickets.Ticket(
        table.home,
        table.generation,
        table.tag,
        tickets.round_issue_time(int(now * 1000)),
    )


def claim(
    table: Table,
    request: messages.ClaimRequest,
    *,
    ticket: tickets.Ticket,
    now: float,
) -> messages.ClaimReply:
    """Return the reply to a claim: a grant, the stored response or an error."""
    expire(table, now=now)
    if not _covers_ticket(table, ticket, now=now):
        return messages.ClaimReply(error=_exceptions.ErrorKind.OUTCOME_UNKNOWN)
    entry = table.entries.get(request.key)
    if entry is not None:
        return _reply_to_repeat(entry, request, now=now)
    if len(table.entries) >= table.max_entries:
        return messages.ClaimReply(error=_exceptions.ErrorKind.OVERLOADED)
    return _grant(table, request, ticket=ticket, now=now)


def settle(table: Table, request: messages.SettleRequest) -> None:
    """Apply the outcome of a granted attempt; ignore outcomes of earlier grants."""
    entry = table.entries.get(request.key)
    if entry is None or entry.grant != request.grant or entry.phase is Phase.DONE:
        return
    table.open_until.pop(request.key, None)
    if request.outcome is _types.Outcome.NOT_RUN:
        _release(table, request.key)
        table.open_until[request.key] = entry.running_until - SETTLE_GRACE_SECONDS
        return
    if request.outcome is _types.Outcome.UNKNOWN or request.response is None:
        entry.phase = Phase.UNKNOWN
        return
    _store_response(table, request.key, entry, request.response)


def expire(table: Table, *, now: float) -> None:
    """Remove the keys whose tickets are too old to be granted again."""
    oldest_issue_time = int(now * 1000) - tickets.LIFETIME_MILLISECONDS
    for issued in [
        issued for issued in table.keys_by_issue_time if issued < oldest_issue_time
    ]:
        for key in table.keys_by_issue_time.pop(issued):
            entry = table.entries.pop(key)
            table.open_until.pop(key, None)
            _drop_response(table, key, entry)


def has_open_keys(table: Table, *, now: float) -> bool:
    """Return whether a holder may still settle a key or a caller may repeat one."""
    return any(until > now for until in table.open_until.values())


def _covers_ticket(table: Table, ticket: tickets.Ticket, *, now: float) -> bool:
    """Return whether a grant made under the ticket would still be in this table."""
    if (ticket.home, ticket.generation, ticket.tag) != (
        table.home,
        table.generation,
        table.tag,
    ):
        return False
    age = int(now * 1000) - ticket.issued_milliseconds
    return 0 <= age <= tickets.LIFETIME_MILLISECONDS


def _reply_to_repeat(
    entry: Entry, request: messages.ClaimRequest, *, now: float
) -> messages.ClaimReply:
    if entry.fingerprint != request.fingerprint:
        return messages.ClaimReply(error=_exceptions.ErrorKind.KEY_REUSED)
    if entry.phase is Phase.DONE:
        return messages.ClaimReply(response=entry.response)
    if entry.phase is Phase.RUNNING and now <= entry.running_until:
        return messages.ClaimReply(error=_exceptions.ErrorKind.STILL_RUNNING)
    return messages.ClaimReply(error=_exceptions.ErrorKind.OUTCOME_UNKNOWN)


def _grant(
    table: Table, request: messages.ClaimRequest, *, ticket: tickets.Ticket, now: float
) -> messages.ClaimReply:
    table.last_grant += 1
    timeout = request.timeout_milliseconds / 1000
    table.entries[request.key] = Entry(
        fingerprint=request.fingerprint,
        grant=table.last_grant,
        running_until=now + timeout + SETTLE_GRACE_SECONDS,
    )
    table.keys_by_issue_time.setdefault(ticket.issued_milliseconds, set()).add(
        request.key
    )
    table.open_until.pop(request.key, None)
    table.open_until[request.key] = table.entries[request.key].running_until
    _prune_open_keys(table, now=now)
    return messages.ClaimReply(granted=True, grant=table.last_grant)


def _prune_open_keys(table: Table, *, now: float) -> None:
    """Remove closed keys, oldest first, and bound the number of keys."""
    while table.open_until:
        key = next(iter(table.open_until))
        if table.open_until[key] > now and len(table.open_until) <= table.max_entries:
            return
        del table.open_until[key]


def _release(table: Table, key: str) -> None:
    del table.entries[key]
    for keys in table.keys_by_issue_time.values():
        keys.discard(key)


def _store_response(
    table: Table, key: str, entry: Entry, response: messages.Response
) -> None:
    size = _response_bytes(response)
    if size > min(MAX_STORED_BYTES, table.max_bytes):
        entry.phase = Phase.UNKNOWN
        return
    entry.phase = Phase.DONE
    entry.response = response
    entry.size_bytes = size
    table.stored_grants[key] = entry.grant
    table.stored_bytes += size
    while table.stored_bytes > table.max_bytes:
        oldest = next(iter(table.stored_grants))
        evicted = table.entries[oldest]
        _drop_response(table, oldest, evicted)
        evicted.phase = Phase.UNKNOWN


def _drop_response(table: Table, key: str, entry: Entry) -> None:
    if table.stored_grants.pop(key, None) is None:
        return
    table.stored_bytes -= entry.size_bytes
    entry.response = None
    entry.size_bytes = 0


def _response_bytes(response: messages.Response) -> int:
    headers = sum(len(field.name) + len(field.value) for field in response.headers)
    return len(response.body) + headers
