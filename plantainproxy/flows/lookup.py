"""The search for the upstream that holds an unknown flow."""

from typing import NamedTuple

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets, placement, policy, upstreams

ASK_AGAIN_SECONDS = 0.08
"""Wait for an answer before a question is sent again; above two slow round trips."""
GIVE_UP_SECONDS = 0.8
"""A search without all answers ends after this; a caller's retransmission starts
another."""
MAX_PARKED = 16
"""Packets that wait for a search; an end has no more in flight."""
MAX_LAST_WAVE = 256
"""Upstreams outside the route's pools that are asked before a flow counts as gone."""


class Lookup(msgspec.Struct, kw_only=True):
    """One search."""

    route: policy.Route
    packets: list[packets.Packet]
    """Packets that came so far, oldest first."""
    started_at: float
    ask_again_at: float
    wave: int = 0
    """How many groups of upstreams have been asked."""
    delivered: int = 1
    """Packets that went out with a question."""
    asked: set[_types.Address] = msgspec.field(default_factory=set)
    denied: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that certainly do not hold the flow."""


class Ask(NamedTuple):
    """Put the question to some upstreams."""

    packet: packets.Packet
    upstreams: list[_types.Address]


class Conclude(NamedTuple):
    """Stop; no upstream said that it holds the flow."""

    every_answer_known: bool
    """Whether every upstream that lives denied it."""
    lost: int
    """Upstreams that were silent for too long to be asked."""


def start(
    view: upstreams.View,
    route: policy.Route,
    packet: packets.Packet,
    *,
    now: float,
) -> Lookup:
    """Begin a search for a packet's flow."""
    return Lookup(route=route, packets=[packet], started_at=now, ask_again_at=now)


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
    """Decide the next step: first questions, repeated questions, or the end.

    ``None`` while there is nobody to ask and more upstreams may become known.
    """
    unanswered = [
        address
        for address in search.asked - search.denied
        if address in view.upstreams
        and not upstreams.is_lost(view.upstreams[address], now=now)
    ]
    if unanswered and now - search.started_at < GIVE_UP_SECONDS:
        search.ask_again_at = now + ASK_AGAIN_SECONDS
        return Ask(search.packets[0], unanswered)
    while not unanswered and search.wave < len(_WAVES):
        wave = _WAVES[search.wave](search, view)
        search.wave += 1
        fresh = [
            address
            for address in wave
            if address not in search.asked
            and address not in search.denied
            and not upstreams.is_lost(view.upstreams[address], now=now)
        ]
        if fresh:
            search.asked.update(fresh)
            search.ask_again_at = now + ASK_AGAIN_SECONDS
            return Ask(search.packets[0], fresh)
    is_young = now - search.started_at < GIVE_UP_SECONDS
    if is_young and not upstreams.is_settled(view, now=now):
        search.wave = 0
        search.ask_again_at = now + ASK_AGAIN_SECONDS
        return None
    lost = sum(
        upstreams.is_lost(upstream, now=now) for upstream in view.upstreams.values()
    )
    return Conclude(every_answer_known=not unanswered, lost=lost)


def _likely(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return the upstreams where a balancer would have placed the flow."""
    flow = search.packets[0].flow
    return [
        address
        for pool in search.route.pools
        if pool in view.rings
        for address in view.rings[pool].candidates(flow, placement.CANDIDATES)
    ]


def _rest_of_pools(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    found = upstreams.in_pools(view, search.route.pools)
    return [upstream.address for upstream in found]


def _all_others(search: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return everyone: the route may have led to another pool before."""
    if len(view.upstreams) > MAX_LAST_WAVE:
        return []
    return list(view.upstreams)


_WAVES = (_likely, _rest_of_pools, _all_others)
