"""The search for the upstream that holds an unknown flow."""

import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets, placement, upstreams

QUERY_RETRY_SECONDS = 0.25
"""Wait for answers before questions are repeated; far above a round trip, so that a
slow balancer does not bury itself under its own questions. It doubles each time."""
MAX_QUERY_RETRY_SECONDS = 1.0
RETRIES_PER_WAVE = 1
"""Repetitions before the next group is asked although an answer is missing."""
TIMEOUT_SECONDS = 2.5
"""A search without all answers ends after this; above the longest time between two
retransmissions of a caller, so that one search lasts from one to the next, and above
the time in which a balancer that has just started knows every sidecar."""
MAX_BUFFERED_PACKETS = 16
"""Packets that wait for a search; an end has no more in flight."""
MAX_LAST_WAVE_UPSTREAMS = 256
"""Upstreams outside the route's pools that are asked before a flow counts as gone."""


class Lookup(msgspec.Struct, kw_only=True):
    """One search."""

    pools: frozenset[str]
    """Pools that the flow's route leads or has led to."""
    packets: list[packets.Packet]
    """Packets that came so far, oldest first; the first goes out with each question."""
    started_at: float
    next_query_at: float
    loss_timeout_seconds: float = upstreams.LOSS_TIMEOUT_SECONDS
    """Silence in seconds after which an upstream's answer is not waited for."""
    retry_seconds: float = QUERY_RETRY_SECONDS
    wave: int = 0
    """How many groups of upstreams have been asked."""
    attempts: int = 0
    """How often the questions to the last group have been repeated."""
    queried: set[_types.Address] = msgspec.field(default_factory=set)
    denied: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that certainly do not hold the flow."""


class Query(typing.NamedTuple):
    """Put the question to some upstreams."""

    packet: packets.Packet
    upstreams: list[_types.Address]


class Conclusion(typing.NamedTuple):
    """Stop; no upstream said that it holds the flow."""

    all_denied: bool
    """Whether every upstream that lives denied it."""
    lost: int
    """Upstreams that were silent for too long to be asked."""


def start(
    pools: frozenset[str],
    packet: packets.Packet,
    *,
    loss_timeout_seconds: float,
    now: float,
) -> Lookup:
    """Begin a search for a packet's flow."""
    return Lookup(
        pools=pools,
        packets=[packet],
        started_at=now,
        next_query_at=now,
        loss_timeout_seconds=loss_timeout_seconds,
    )


def buffer(search: Lookup, packet: packets.Packet) -> None:
    """Keep one more packet of the flow until the search ends."""
    if len(search.packets) < MAX_BUFFERED_PACKETS:
        search.packets.append(packet)


def is_answered(search: Lookup) -> bool:
    """Return whether everyone who was asked has answered."""
    return search.queried <= search.denied


def advance(
    search: Lookup, view: upstreams.View, *, now: float
) -> Query | Conclusion | None:
    """Decide the next step: questions, or the end.

    A step repeats the unanswered questions. The next group is asked when everyone has
    answered, and after some repetitions, so that one silent upstream does not hold the
    search up. ``None`` while there is nobody to ask and more may become known.
    """
    unanswered = [
        candidate
        for candidate in search.queried - search.denied
        if _is_live(search, candidate, view, now)
    ]
    is_within_timeout = now - search.started_at < TIMEOUT_SECONDS
    all_denied = not unanswered
    new_targets: list[_types.Address] = []
    if not unanswered or search.attempts > RETRIES_PER_WAVE:
        new_targets = _next_targets(search, view, now)
    if new_targets or (unanswered and is_within_timeout):
        search.attempts = 1 if new_targets else search.attempts + 1
        search.queried.update(new_targets)
        _schedule_retry(search, now)
        return Query(search.packets[0], [*unanswered, *new_targets])
    is_view_complete = now >= view.complete_at and upstreams.is_converged(view, now=now)
    if is_within_timeout and not is_view_complete:
        search.wave = 0
        _schedule_retry(search, now)
        return None
    lost = sum(not _is_live(search, address, view, now) for address in view.upstreams)
    return Conclusion(all_denied=all_denied, lost=lost)


def _next_targets(
    search: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the next upstreams that live and have not been asked, if any are left."""
    while search.wave < len(_WAVES):
        group = _WAVES[search.wave](search, view)
        search.wave += 1
        new_targets = [
            address
            for address in group
            if address not in search.queried | search.denied
            and _is_live(search, address, view, now)
        ]
        if new_targets:
            return new_targets
    return []


def _schedule_retry(search: Lookup, now: float) -> None:
    search.next_query_at = now + search.retry_seconds
    search.retry_seconds = min(2 * search.retry_seconds, MAX_QUERY_RETRY_SECONDS)


def _is_live(
    search: Lookup, address: _types.Address, view: upstreams.View, now: float
) -> bool:
    upstream = view.upstreams.get(address)
    return upstream is not None and not upstreams.is_lost(
        upstream, now=now, timeout_seconds=search.loss_timeout_seconds
    )


def _ring_candidates(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return the upstreams where a balancer would have placed the flow."""
    flow = search.packets[0].flow
    return [
        address
        for pool in search.pools
        if pool in view.rings
        for address in view.rings[pool].candidates(flow, placement.CANDIDATES_PER_POOL)
    ]


def _pool_members(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    pool_upstreams = upstreams.in_pools(view, search.pools)
    return [upstream.address for upstream in pool_upstreams]


def _all_upstreams(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return everyone: the route may have led to another pool before."""
    if len(view.upstreams) > MAX_LAST_WAVE_UPSTREAMS:
        return []
    return list(view.upstreams)


_WAVES = (_ring_candidates, _pool_members, _all_upstreams)
