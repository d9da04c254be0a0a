"""Lookup of the upstream that holds a flow missing from the flow cache.

A lookup queries the sidecars in waves: the candidates on the hash rings of the route's
pools in the balancer's failure domain first, then the other candidates, then the other
upstreams of these pools, then all others.
"""

import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets
from plantainproxy.flows.engine import placement, upstreams

QUERY_RETRY_SECONDS = 0.25
"""Initial interval between queries, doubled on each retry. Far above a round trip, so
that a slow balancer is not overloaded by its own queries."""
MAX_QUERY_RETRY_SECONDS = 1.0
RETRIES_PER_WAVE = (0, 1, 1)
"""Retries of each wave after which the next one is queried although an answer is
missing."""
TIMEOUT_SECONDS = 2.5
"""Timeout of a lookup with missing answers. Above the longest interval between two
retransmissions of a caller, so that a lookup still runs when the next one arrives, and
above the time in which a newly started balancer has a complete list of the sidecars."""
MAX_BUFFERED_PACKETS = 16
"""Capacity of a lookup's buffer; a caller has at most this many packets in flight."""
MAX_LAST_WAVE_UPSTREAMS = 256
"""The last wave, which queries all upstreams, is skipped if there are more."""


class Lookup(msgspec.Struct, kw_only=True):
    """State of one lookup."""

    pools: frozenset[str]
    """Pools of the flow's route in any policy that the balancer has applied."""
    packets: list[packets.Packet]
    """Buffered packets, oldest first. Each query carries the first one."""
    started_at: float
    next_query_at: float
    loss_timeout_seconds: float = upstreams.LOSS_TIMEOUT_SECONDS
    """Time without a report after which an upstream counts as lost and is skipped."""
    retry_seconds: float = QUERY_RETRY_SECONDS
    wave: int = 0
    """Number of waves queried so far."""
    attempts: int = 0
    """Number of times that the newest wave has been queried."""
    queries: dict[_types.Address, int] = msgspec.field(default_factory=dict)
    """Number of queries that each upstream has been sent."""
    reached: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that have been sent the first packet itself."""
    denied: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that have answered that they do not hold the flow."""


class Query(typing.NamedTuple):
    """Step of a lookup: query some upstreams about the flow of a packet."""

    packet: packets.Packet
    purposes: dict[_types.Address, packets.Purpose]
    """For each upstream, whether its query has the payload of the packet."""


class Conclusion(typing.NamedTuple):
    """Step of a lookup: end it; no upstream has answered that it holds the flow."""

    all_denied: bool
    """Whether every live upstream that was queried answered that it does not hold the
    flow."""
    lost: int
    """Number of upstreams that count as lost and were not waited for."""
    restarting: int
    """Number of upstreams whose sidecars have announced a planned stop."""


def start(
    pools: frozenset[str],
    packet: packets.Packet,
    *,
    loss_timeout_seconds: float,
    now: float,
) -> Lookup:
    """Return a new lookup for a packet's flow; its first query is due now."""
    return Lookup(
        pools=pools,
        packets=[packet],
        started_at=now,
        next_query_at=now,
        loss_timeout_seconds=loss_timeout_seconds,
    )


def query_first(
    flow_lookup: Lookup,
    targets: list[_types.Address],
    view: upstreams.View,
    *,
    now: float,
) -> Query:
    """Return a query, before the first wave, of upstreams likely to hold the flow.

    The packet reaches whichever of them holds the flow without another round trip.
    """
    live = [address for address in targets if _is_live(flow_lookup, address, view, now)]
    flow_lookup.attempts = 1
    _schedule_retry(flow_lookup, now)
    return _query(flow_lookup, live, view)


def buffer(flow_lookup: Lookup, packet: packets.Packet) -> None:
    """Buffer a packet until the lookup ends; drop it if the buffer is full."""
    if len(flow_lookup.packets) < MAX_BUFFERED_PACKETS:
        flow_lookup.packets.append(packet)


def is_answered(flow_lookup: Lookup) -> bool:
    """Return whether every queried upstream has answered."""
    return flow_lookup.queries.keys() <= flow_lookup.denied


def advance(
    flow_lookup: Lookup, view: upstreams.View, *, now: float
) -> Query | Conclusion | None:
    """Return the next step: queries to send, or the end of the lookup.

    Each step repeats the unanswered queries. The next wave is queried when all queried
    upstreams have answered, or after the wave's ``RETRIES_PER_WAVE``, so that one
    silent upstream does not delay the lookup. Returns ``None`` if there is no upstream
    to query now but the view of the upstreams is still incomplete.
    """
    unanswered = [
        candidate
        for candidate in flow_lookup.queries.keys() - flow_lookup.denied
        if _is_live(flow_lookup, candidate, view, now)
    ]
    is_within_timeout = now - flow_lookup.started_at < TIMEOUT_SECONDS
    all_denied = not unanswered
    new_targets: list[_types.Address] = []
    retries = RETRIES_PER_WAVE[min(max(flow_lookup.wave, 1), len(RETRIES_PER_WAVE)) - 1]
    if not unanswered or flow_lookup.attempts > retries:
        new_targets = _next_targets(flow_lookup, view, now)
    if new_targets or (unanswered and is_within_timeout):
        flow_lookup.attempts = 1 if new_targets else flow_lookup.attempts + 1
        _schedule_retry(flow_lookup, now)
        return _query(flow_lookup, [*unanswered, *new_targets], view)
    is_view_complete = now >= view.complete_at and upstreams.is_converged(view, now=now)
    if is_within_timeout and not is_view_complete:
        flow_lookup.wave = 0
        _schedule_retry(flow_lookup, now)
        return None
    lost = sum(
        not _is_live(flow_lookup, address, view, now) for address in view.upstreams
    )
    restarting = sum(
        upstreams.is_restarting(upstream) for upstream in view.upstreams.values()
    )
    return Conclusion(all_denied=all_denied, lost=lost, restarting=restarting)


def _query(
    flow_lookup: Lookup, targets: list[_types.Address], view: upstreams.View
) -> Query:
    is_first_step = not flow_lookup.queries
    purposes: dict[_types.Address, packets.Purpose] = {}
    for address in targets:
        query_count = flow_lookup.queries.get(address, 0)
        has_payload = is_first_step or _has_payload(
            flow_lookup, view.upstreams[address], query_count
        )
        purposes[address] = (
            packets.Purpose.LOOKUP if has_payload else packets.Purpose.QUERY
        )
        if has_payload:
            flow_lookup.reached.add(address)
        flow_lookup.queries[address] = query_count + 1
    return Query(flow_lookup.packets[0], purposes)


def _has_payload(
    flow_lookup: Lookup, upstream: upstreams.Upstream, query_count: int
) -> bool:
    """Return whether a query after the first step has the payload of the packet.

    Most flows are held by an upstream of the first step, so its payload saves a round
    trip. Later it would be most of the bytes that a lookup costs, so only a sidecar
    that needs it to find out gets it, by its report. The second query of an upstream
    has it in any case: a sidecar that has restarted since its last report, or runs an
    earlier release, does not answer without it.
    """
    if not flow_lookup.packets[0].size or query_count == 1:
        return True
    is_table_complete = upstream.report is not None and upstream.report.complete
    return query_count == 0 and not is_table_complete


def _next_targets(
    flow_lookup: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the live upstreams of the next wave that have not been queried yet.

    Skips waves without such upstreams. The list is empty after the last wave.
    """
    while flow_lookup.wave < len(_WAVES):
        group = _WAVES[flow_lookup.wave](flow_lookup, view)
        flow_lookup.wave += 1
        new_targets = [
            address
            for address in group
            if address not in flow_lookup.queries.keys() | flow_lookup.denied
            and _is_live(flow_lookup, address, view, now)
        ]
        if new_targets:
            return new_targets
    return []


def _schedule_retry(flow_lookup: Lookup, now: float) -> None:
    flow_lookup.next_query_at = now + flow_lookup.retry_seconds
    flow_lookup.retry_seconds = min(
        2 * flow_lookup.retry_seconds, MAX_QUERY_RETRY_SECONDS
    )


def _is_live(
    flow_lookup: Lookup, address: _types.Address, view: upstreams.View, now: float
) -> bool:
    upstream = view.upstreams.get(address)
    return upstream is not None and not upstreams.is_lost(
        upstream, now=now, timeout_seconds=flow_lookup.loss_timeout_seconds
    )


def _domain_candidates(
    flow_lookup: Lookup, view: upstreams.View
) -> list[_types.Address]:
    """Return the ring candidates in the balancer's failure domain.

    Most flows are there, as placement prefers it.
    """
    return [
        address
        for address in _ring_candidates(flow_lookup, view)
        if view.upstreams[address].domain == view.domain
    ]


def _ring_candidates(flow_lookup: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return the ring candidates, which every balancer tries first for the flow."""
    flow = flow_lookup.packets[0].flow
    return [
        address
        for pool in flow_lookup.pools
        for address in upstreams.candidates(
            view, pool, flow, placement.CANDIDATES_PER_POOL
        )
    ]


def _pool_members(flow_lookup: Lookup, view: upstreams.View) -> list[_types.Address]:
    pool_upstreams = upstreams.in_pools(view, flow_lookup.pools)
    return [upstream.address for upstream in pool_upstreams]


def _all_upstreams(flow_lookup: Lookup, view: upstreams.View) -> list[_types.Address]:
    """Return all upstreams, or none if there are too many.

    The flow may be in a pool that the route had only in a policy older than those
    applied here.
    """
    if len(view.upstreams) > MAX_LAST_WAVE_UPSTREAMS:
        return []
    return list(view.upstreams)


_WAVES = (_domain_candidates, _ring_candidates, _pool_members, _all_upstreams)
