"""Claims and settles idempotency keys at their homes.

The home of a key is the sidecar that issued the key's ticket: this one or a sibling.
"""

from collections import abc
import dataclasses
import hashlib
import logging

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.core import claims, tickets
from plantainproxy.rpc import messages
from plantainproxy.telemetry import logs
from plantainproxy.wire import keyring

SETTLE_ATTEMPTS = 3
SETTLE_TIMEOUT_SECONDS = 1.0
SETTLE_RETRY_SECONDS = 0.2
OPEN_KEYS_CHECK_SECONDS = 0.1
"""Interval at which a stopping home checks whether it has open keys."""
FINGERPRINT_BYTES = 16

_log = logging.getLogger("plantain.claims")
_warn = logs.rate_limited(_log)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Calls to another sidecar; each takes a timeout in seconds.

    They raise ``PlantainError`` on failure, also when no reply arrived.
    """

    claim: abc.Callable[
        [_types.Address, messages.ClaimRequest, float],
        abc.Awaitable[messages.ClaimReply],
    ]
    settle: abc.Callable[
        [_types.Address, messages.SettleRequest, float],
        abc.Awaitable[messages.SettleReply],
    ]


@dataclasses.dataclass(slots=True, kw_only=True)
class TicketCache:
    """The most recently issued ticket in encoded form.

    It is encoded again only when the ticket or the current key changes.
    """

    ticket: tickets.Ticket | None = None
    key_number: int = -1
    text: str = ""


def fingerprint(request: messages.Request) -> bytes:
    """Return a digest of method, path and body, which identify a repeated request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def issue_ticket(
    table: claims.Table, ring: keyring.Keyring, ticket_cache: TicketCache, *, now: float
) -> str:
    """Return the ticket of the given time as text, encoded only if it has changed."""
    ticket = claims.issue(table, now=now)
    if ticket != ticket_cache.ticket or ring.current.number != ticket_cache.key_number:
        ticket_cache.text = tickets.encode(ring.current, ticket)
        ticket_cache.ticket = ticket
        ticket_cache.key_number = ring.current.number
    return ticket_cache.text


async def claim(
    table: claims.Table,
    ports: Ports,
    request: messages.ClaimRequest,
    *,
    ticket: tickets.Ticket,
    timeout_seconds: float,
) -> messages.ClaimReply:
    """Claim a key at its home.

    The outcome is unknown when the home does not reply.
    """
    if ticket.home == table.home:
        return claims.claim(table, request, ticket=ticket, now=trio.current_time())
    try:
        return await ports.claim(ticket.home, request, timeout_seconds)
    except _exceptions.PlantainError as error:
        _warn("Claim at home sidecar %s failed: %s.", ticket.home, error)
    return messages.ClaimReply(error=_exceptions.ErrorKind.OUTCOME_UNKNOWN)


async def settle(
    table: claims.Table,
    ports: Ports,
    request: messages.SettleRequest,
    *,
    ticket: tickets.Ticket,
) -> None:
    """Report the outcome of a grant to the key's home.

    Settling is idempotent, so a failed call is retried.
    """
    if ticket.home == table.home:
        claims.settle(table, request)
        return
    for _ in range(SETTLE_ATTEMPTS):
        try:
            await ports.settle(ticket.home, request, SETTLE_TIMEOUT_SECONDS)
            return
        except _exceptions.PlantainError as error:
            _warn("Settling a key at home sidecar %s failed: %s.", ticket.home, error)
        await trio.sleep(SETTLE_RETRY_SECONDS)


async def wait_for_open_keys(table: claims.Table, *, until: float) -> None:
    """Wait until this home has no open keys, at most until the given time.

    A caller that repeats a refused request through a sibling needs the key's home: a
    home that has ended makes the key's outcome unknown, although nothing ran.
    """
    while (now := trio.current_time()) < until and claims.has_open_keys(table, now=now):
        await trio.sleep(min(OPEN_KEYS_CHECK_SECONDS, until - now))


def handle_claim(
    table: claims.Table,
    ring: keyring.Keyring | None,
    request: messages.ClaimRequest,
    *,
    now: float,
) -> messages.ClaimReply:
    """Handle another sidecar's claim of a key whose home is this sidecar."""
    if ring is None:
        return messages.ClaimReply(error=_exceptions.ErrorKind.OUTCOME_UNKNOWN)
    try:
        ticket = tickets.decode(ring, request.key)
    except _exceptions.PlantainError as error:
        return messages.ClaimReply(error=error.kind)
    return claims.claim(table, request, ticket=ticket, now=now)


def handle_settle(
    table: claims.Table, request: messages.SettleRequest
) -> messages.SettleReply:
    """Record the outcome of a grant that another sidecar holds."""
    claims.settle(table, request)
    return messages.SettleReply()
