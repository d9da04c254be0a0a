"""The search for the upstream that holds an unknown flow."""

import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets, placement, upstreams

ASK_AGAIN_SECONDS = 0.25
"""Wait for answers before questions are repeated; far above a round trip, so that a
slow balancer does not bury itself under its own questions. It doubles each time."""
ASK_AGAIN_LIMIT_SECONDS = 1.0
REPEATS_A_WAVE = 1
"""Repetitions before the next group is asked although an answer is missing."""
GIVE_UP_SECONDS = 2.5
"""A search without all answers ends after this; above the longest time between two
retransmissions of a caller, so that one search lasts from one to the next, and above
the time in which a balancer that has just started knows every sidecar."""
MAX_PARKED = 16
"""Packets that wait for a search; an end has no more in flight."""
MAX_LAST_WAVE = 256
"""Upstreams outside the route's pools that are asked before a flow counts as gone."""


class Lookup(msgspec.Struct, kw_only=True):
    """One search."""

    pools: frozenset[str]
    """Pools that the flow's route leads or has led to."""
    packets: list[packets.Packet]
    """Packets that came so far, oldest first; the first goes out with each question."""
    started_at: float
    ask_again_at: float
    lost_after: float = upstreams.LOST_SECONDS
    """Silence in seconds after which an upstream's answer is not waited for."""
    ask_again_seconds: float = ASK_AGAIN_SECONDS
    wave: int = 0
    """How many groups of upstreams have been asked."""
    repeats: int = 0
    """How often the questions to the last group have been repeated."""
    asked: set[_types.Address] = msgspec.field(default_factory=set)
    denied: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that certainly do not hold the flow."""


class Ask(typing.NamedTuple):
    """Put the question to some upstreams."""

    packet: packets.Packet
    upstreams: list[_types.Address]


class Conclude(typing.NamedTuple):
    """Stop; no upstream said that it holds the flow."""

    every_answer_known: bool
    """Whether every upstream that lives denied it."""
    lost: int
    """Upstreams that were silent for too long to be asked."""


def start(
    pools: frozenset[str], packet: packets.Packet, *, lost_after: float, now: float
) -> Lookup:
    """Begin a search for a packet's flow."""
    return Lookup(
        pools=pools,
        packets=[packet],
        started_at=now,
        ask_again_at=now,
        lost_after=lost_after,
    )


def park(search: Lookup, packet: packets.Packet) -> None:
    """Keep one more packet of the flow until the search ends."""
    if len(search.packets) < MAX_PARKED:
        search.packets.append(packet)


def is_answered(search: Lookup) -> bool:
    """Return whether everyone who was asked has answered."""
    return search.asked <= search.denied


def advance(
    search: Lookup, view: upstreams.View, *, now: float
) -> Ask | Conclude | None:
    """Decide the next step: questions, or the end.

    A step repeats the unanswered questions. The next group is asked when everyone has
    answered, and after some repetitions, so that one silent upstream does not hold the
    search up. ``None`` while there is nobody to ask and more may become known.
    """
    to_ask = [
        one for one in search.asked - search.denied if _lives(search, one, view, now)
    ]
    is_young = now - search.started_at < GIVE_UP_SECONDS
    certain = not to_ask
    fresh: list[_types.Address] = []
    if not to_ask or search.repeats > REPEATS_A_WAVE:
        fresh = _next_group(search, view, now)
    if fresh or (to_ask and is_young):
        search.repeats = 1 if fresh else search.repeats + 1
        search.asked.update(fresh)
        _wait(search, now)
        return Ask(search.packets[0], [*to_ask, *fresh])
    is_known = now >= view.complete_at and upstreams.is_settled(view, now=now)
    if is_young and not is_known:
        search.wave = 0
        _wait(search, now)
        return None
    lost = sum(not _lives(search, address, view, now) for address in view.upstreams)
    return Conclude(every_answer_known=certain, lost=lost)


def _next_group(
    search: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the next upstreams that live and have not been asked, if any are left."""
    while search.wave < len(_WAVES):
        group = _WAVES[search.wave](search, view)
        search.wave += 1
        fresh = [
            address
            for address in group
            if address not in search.asked | search.denied
            and _lives(search, address, view, now)
        ]
        if fresh:
            return fresh
    return []


def _wait(search: Lookup, now: float) -> None:
    search.ask_again_at = now + search.ask_again_seconds
    search.ask_again_seconds = min(
        2 * search.ask_again_seconds, ASK_AGAIN_LIMIT_SECONDS
    )


def _lives(
    search: Lookup, address: _types.Address, view: upstreams.View, now: float
) -> bool:
    found = view.upstreams.get(address)
    return found is not None and not upstreams.is_lost(
        found, now=now, after_seconds=search.lost_after
    )


def _likely(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return the upstreams where a balancer would have placed the flow."""
    flow = search.packets[0].flow
    return [
        address
        for pool in search.pools
        if pool in view.rings
        for address in view.rings[pool].candidates(flow, placement.CANDIDATES)
    ]


def _rest_of_pools(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    found = upstreams.in_pools(view, search.pools)
    return [upstream.address for upstream in found]


def _all_others(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return everyone: the route may have led to another pool before."""
    if len(view.upstreams) > MAX_LAST_WAVE:
        return []
    return list(view.upstreams)


_WAVES = (_likely, _rest_of_pools, _all_others)
