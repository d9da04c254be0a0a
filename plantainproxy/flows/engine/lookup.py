"""Lookup of the upstream that holds a flow missing from the flow cache.

A lookup queries the sidecars in waves. A flow table that is not complete may not show
whether the sidecar's upstream holds the flow. Such sidecars get the packet itself, two
at a time, once no upstream is away: the holder is then one of them.
docs/design/flow-lookups.md has the reasons.
"""

from collections import abc
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import packets
from plantainproxy.flows.engine import lookup_waves, upstreams

QUERY_RETRY_SECONDS = 0.25
"""Initial interval between queries, doubled on each retry. Far above a round trip, so
that a slow balancer is not overloaded by its own queries."""
MAX_QUERY_RETRY_SECONDS = 1.0
RETRIES_PER_WAVE = (0, 1, 1)
"""Retries of each wave after which the next one is queried although the answer of an
upstream that is away is missing. Otherwise the next wave follows after one interval."""
SILENT_QUERIES = 2
"""Number of unanswered queries after which the flow counts as unknown to a running
sidecar. Sidecars of earlier releases do not answer in that case."""
MAX_DELIVERIES = 2
"""Number of times that one upstream is sent the packet on suspicion."""
ANSWER_SECONDS = 0.1
"""Time after which an answer must be asked for again before a delivery on suspicion, as
another balancer may have delivered since. Above a round trip. A query interval is added
if an upstream that got the packet does not answer."""
MAX_SUSPECT_DELIVERIES = 2
"""Number of deliveries of a flow on suspicion within ``SUSPECT_WINDOW_SECONDS``. A
third packet at upstreams without the flow would break the rule for stray packets."""
SUSPECT_WINDOW_SECONDS = 2.2
"""The time of the rule for stray packets, 2 s, and the longest difference between the
delays of two packets on their way to the upstreams."""
TIMEOUT_SECONDS = 2.5
"""Timeout of a lookup with missing answers. Above the longest interval between two
retransmissions of a caller, so that a lookup still runs when the next one arrives, and
above the time in which a newly started balancer has a complete list of the sidecars.
While there are upstreams left to deliver to on suspicion, it starts again with each
packet of the caller."""
SUSPECT_TIMEOUT_SECONDS = 1.0
"""Minimum time that a lookup goes on after the first delivery to an upstream on
suspicion; above the time after which a presumption is accepted."""
MAX_BUFFERED_PACKETS = 16
"""Capacity of a lookup's buffer; a caller has at most this many packets in flight."""


class Silence(msgspec.Struct):
    """Queries that a running sidecar process has not answered."""

    boot: int
    """Start of the process, as its reports state it."""
    first_query_at: float
    queries: int = 0


class Lookup(msgspec.Struct, kw_only=True):
    """State of one lookup."""

    pools: frozenset[str]
    """Pools of the flow's route in any policy that the balancer has applied."""
    packets: list[packets.Packet]
    """Buffered packets, oldest first. Each query carries the first one."""
    started_at: float
    newest_packet_at: float
    """When the newest packet of the caller arrived."""
    next_query_at: float
    next_delivery_at: float = float("inf")
    """When the limit allows the next delivery on suspicion; infinite if it does not
    hold one back."""
    loss_timeout_seconds: float = upstreams.LOSS_TIMEOUT_SECONDS
    """Time without a report after which an upstream counts as lost and is skipped."""
    retry_seconds: float = QUERY_RETRY_SECONDS
    wave: int = 0
    """Number of the newest wave queried; 0 before the first one."""
    attempts: int = 0
    """Number of times that the newest wave has been queried."""
    queries: dict[_types.Address, int] = msgspec.field(default_factory=dict)
    """Number of queries that each upstream has been sent."""
    silences: dict[_types.Address, Silence] = msgspec.field(default_factory=dict)
    """For each upstream, the queries to its sidecar's newest process."""
    reached: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams whose newest query had the payload of the first packet."""
    denied: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that have answered that they do not hold the flow."""
    unknown: dict[_types.Address, int] = msgspec.field(default_factory=dict)
    """Upstreams to whose sidecars the flow is unknown, by their answer or silence, and
    the start of that sidecar process."""
    unknown_at: dict[_types.Address, float] = msgspec.field(default_factory=dict)
    """When the sidecars last answered that the flow is unknown."""
    deliveries: dict[_types.Address, int] = msgspec.field(default_factory=dict)
    """Number of packets that each upstream has been sent on suspicion."""
    copies: list[tuple[float, _types.Address]] = msgspec.field(default_factory=list)
    """Time and upstream of the packets delivered on suspicion, here or, as far as the
    sidecars state it, by other balancers."""
    undecided: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams whose sidecars deliver no other packet on suspicion, as the upstream
    has neither answered nor returned an earlier one."""
    likely: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that a snapshot or a hedge names for the flow."""
    were_away: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that were away during the lookup. The holder is probably among them, as
    the others have seen more packets of the flows that they hold."""
    newest_suspect_at: float = float("-inf")
    """Time of the newest first delivery to an upstream on suspicion."""
    presumed: set[_types.Address] = msgspec.field(default_factory=set)
    """Upstreams that have not returned the packet in time but have not shown either
    that they hold the flow."""
    away: int = 0
    """Number of upstreams that were away when a delivery on suspicion was last
    considered."""
    awaits_list_check: bool = False
    """Whether all known upstreams have denied the flow, but the list of sidecars may
    lack its holder: one that had not registered when the list was read."""


class Query(typing.NamedTuple):
    """Step of a lookup: query some upstreams about the flow of a packet."""

    packet: packets.Packet
    purposes: dict[_types.Address, packets.Purpose]
    """For each upstream, whether its query has the payload of the packet."""


class Conclusion(typing.NamedTuple):
    """Step of a lookup: end it; no upstream has shown that it holds the flow."""

    all_denied: bool
    """Whether every live upstream that was queried answered that it does not hold the
    flow."""
    presumed: _types.Address | None
    """The upstream that is taken as the holder, if any."""
    lost: int
    """Number of upstreams that count as lost and were not waited for."""
    restarting: int
    """Number of upstreams whose sidecars have announced a planned stop."""
    away: int
    """Number of upstreams that may hold the flow and could not be asked."""
    is_list_checked: bool
    """Whether the list of sidecars includes those that had registered when the lookup
    started, and so the holder of an open flow."""


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
        newest_packet_at=now,
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

    The packet reaches the holder without another round trip if its sidecar has a
    complete flow table.
    """
    live = [address for address in targets if _is_live(flow_lookup, address, view, now)]
    flow_lookup.likely.update(live)
    flow_lookup.attempts = 1
    _schedule_retry(flow_lookup, now)
    return _query(flow_lookup, live, view, now=now)


def next_step_at(flow_lookup: Lookup) -> float:
    """Return when the lookup can go on although no answer arrives."""
    return min(flow_lookup.next_query_at, flow_lookup.next_delivery_at)


def is_held_back(flow_lookup: Lookup, *, now: float) -> bool:
    """Return whether the lookup waits for the limit of deliveries on suspicion."""
    return now < flow_lookup.next_delivery_at < float("inf")


def is_list_checked(flow_lookup: Lookup, view: upstreams.View) -> bool:
    """Return whether the list of sidecars is newer than the lookup."""
    return view.list_checked_at >= flow_lookup.started_at


def buffer(flow_lookup: Lookup, packet: packets.Packet, *, now: float) -> None:
    """Buffer a packet until the lookup ends; drop it if the buffer is full."""
    flow_lookup.newest_packet_at = now
    if len(flow_lookup.packets) < MAX_BUFFERED_PACKETS:
        flow_lookup.packets.append(packet)


def is_buffered(flow_lookup: Lookup, packet: packets.Packet) -> bool:
    """Return whether a packet is in the buffer, apart from its forwarding fields."""
    return any(
        (buffered.sequence, buffered.acknowledgement, buffered.size, buffered.closing)
        == (packet.sequence, packet.acknowledgement, packet.size, packet.closing)
        for buffered in flow_lookup.packets
    )


def record_held(
    flow_lookup: Lookup, sender: _types.Address, *, is_presumed: bool | None
) -> bool:
    """Record the answer that a sidecar's upstream holds the flow.

    Returns whether the answer is proof. ``is_presumed`` states that the upstream has
    merely not returned the packet in time. It is ``None`` from earlier releases, whose
    sidecars answer a delivery on suspicion in no other way, and a repeated query only
    if the flow table shows the flow.
    """
    if is_presumed is None:
        is_presumed = (
            sender in flow_lookup.deliveries and sender not in flow_lookup.presumed
        )
    if is_presumed and sender not in flow_lookup.denied:
        flow_lookup.unknown.pop(sender, None)
        flow_lookup.presumed.add(sender)
    return not is_presumed


def record_not_held(
    flow_lookup: Lookup, sender: _types.Address, *, delivered_at: float | None = None
) -> None:
    """Record the answer that a sidecar's upstream does not hold the flow.

    ``delivered_at`` is the time of the packet that the upstream returned, if any.
    """
    _record_copy(flow_lookup, sender, delivered_at)
    flow_lookup.denied.add(sender)
    flow_lookup.undecided.discard(sender)
    flow_lookup.unknown.pop(sender, None)
    flow_lookup.presumed.discard(sender)


def record_unknown(
    flow_lookup: Lookup,
    sender: _types.Address,
    view: upstreams.View,
    *,
    delivered_at: float | None = None,
    now: float,
) -> bool:
    """Record the answer that the flow is unknown to a sidecar.

    ``delivered_at`` is the time of a packet with which the upstream has done nothing
    yet, if any. Returns whether the answer is news. One to an early query may arrive
    after another one to a delivery.
    """
    if delivered_at is not None and sender in flow_lookup.queries:
        _record_copy(flow_lookup, sender, delivered_at)
        flow_lookup.undecided.add(sender)
    is_news = (
        sender in flow_lookup.queries
        and sender not in flow_lookup.unknown
        and sender not in flow_lookup.denied
        and sender not in flow_lookup.deliveries
        and sender not in flow_lookup.presumed
    )
    if is_news:
        upstream = view.upstreams.get(sender)
        report = upstream.report if upstream else None
        flow_lookup.unknown[sender] = report.boot if report else 0
        flow_lookup.unknown_at[sender] = now
    return is_news


def _record_copy(
    flow_lookup: Lookup, address: _types.Address, delivered_at: float | None
) -> None:
    """Record a sidecar's statement, which replaces the own record of the upstream.

    A packet sent after an undecided or returned one was not delivered.
    """
    if delivered_at is None:
        return
    flow_lookup.copies = [copy for copy in flow_lookup.copies if copy[1] != address]
    flow_lookup.copies.append((delivered_at, address))


def is_answered(flow_lookup: Lookup) -> bool:
    """Return whether every queried upstream has answered."""
    answers = (flow_lookup.denied, flow_lookup.unknown, flow_lookup.presumed)
    # Spares the union of the sets for each answer but the last one of a step.
    if sum(map(len, answers)) < len(flow_lookup.queries):
        return False
    return flow_lookup.queries.keys() <= set().union(*answers)


def advance(
    flow_lookup: Lookup,
    view: upstreams.View,
    *,
    is_view_reliable: abc.Callable[[], bool],
    now: float,
) -> Query | Conclusion | None:
    """Return the next step: packets to send, or the end of the lookup.

    The next wave is queried when all queried upstreams have answered, or after a
    retry, so that one silent upstream does not delay the lookup. After the last wave,
    the packet is delivered on suspicion if that is allowed. Unanswered queries are
    repeated until the timeout. Returns ``None`` if there is nothing to send now.
    """
    is_due = now >= flow_lookup.next_query_at
    flow_lookup.next_delivery_at = float("inf")
    if is_due:
        _record_silence(flow_lookup, view, now)
    unanswered = _unanswered(flow_lookup, view, now)
    may_deliver = False
    if _may_go_on(flow_lookup, unanswered, view, now):
        new_targets = _next_targets(flow_lookup, view, now)
        if new_targets:
            _start_wave(flow_lookup, unanswered, view, now)
            return _query(flow_lookup, [*unanswered, *new_targets], view, now=now)
        may_deliver = _may_deliver(flow_lookup, view, is_view_reliable, now)
        suspects: list[_types.Address] = []
        if may_deliver and not flow_lookup.presumed:
            suspects = _next_suspects(flow_lookup, view, now)
        outdated = _outdated(flow_lookup, unanswered, view, now) if suspects else []
        if outdated:
            _start_wave(flow_lookup, unanswered, view, now)
            return _query(flow_lookup, [*unanswered, *outdated], view, now=now)
        if suspects:
            _start_wave(flow_lookup, [], view, now)
            return _deliver(flow_lookup, [*unanswered, *suspects], view, now=now)
    conclusion = _conclude(flow_lookup, view, may_deliver=may_deliver, now=now)
    if conclusion is not None:
        return conclusion
    if not is_due:
        return None
    flow_lookup.attempts += 1
    _schedule_retry(flow_lookup, now)
    targets = [*unanswered, *_asked_again(flow_lookup, view, now)]
    if may_deliver:
        return _deliver(flow_lookup, targets, view, now=now)
    return _query(flow_lookup, targets, view, now=now)


def _asked_again(
    flow_lookup: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the upstreams whose sidecars may answer differently now.

    One to which the flow was unknown may have taken over the table of its predecessor;
    its report then states a complete table. All others would cost most of the bytes
    while an upstream is away.
    """
    changed = []
    for address, boot in flow_lookup.unknown.items():
        upstream = view.upstreams.get(address)
        report = upstream.report if upstream else None
        if report is not None and (report.complete or report.boot != boot):
            changed.append(address)
    return [
        address
        for address in (*changed, *flow_lookup.presumed)
        if _is_live(flow_lookup, address, view, now)
    ]


def _unanswered(
    flow_lookup: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the live upstreams that have been queried and have not answered."""
    return [
        address
        for address in flow_lookup.queries
        if address not in flow_lookup.denied
        and address not in flow_lookup.unknown
        and address not in flow_lookup.presumed
        and _is_live(flow_lookup, address, view, now)
    ]


def _record_silence(flow_lookup: Lookup, view: upstreams.View, now: float) -> None:
    """Record the running sidecars that do not answer queries about unknown flows.

    A report that was sent after the first query shows that the sidecar is running.
    """
    for address in _unanswered(flow_lookup, view, now):
        upstream = view.upstreams[address]
        silence = flow_lookup.silences.get(address)
        if (
            silence is not None
            and silence.queries >= SILENT_QUERIES
            and address not in flow_lookup.deliveries
            and upstream.report is not None
            and upstream.report.boot == silence.boot
            and upstream.last_report_at > silence.first_query_at
            and not _is_away(flow_lookup, upstream, now)
        ):
            flow_lookup.unknown[address] = silence.boot
            # An answer of the process before would count as one to ask for again.
            flow_lookup.unknown_at.pop(address, None)


def _may_go_on(
    flow_lookup: Lookup,
    unanswered: list[_types.Address],
    view: upstreams.View,
    now: float,
) -> bool:
    """Return whether the next wave need not wait for the unanswered queries."""
    if not unanswered:
        return True
    if now < flow_lookup.next_query_at:
        return False
    if not _is_any_away(flow_lookup, unanswered, view, now):
        return True
    wave = min(max(flow_lookup.wave, 1), len(RETRIES_PER_WAVE))
    return flow_lookup.attempts > RETRIES_PER_WAVE[wave - 1]


def _start_wave(
    flow_lookup: Lookup,
    unanswered: list[_types.Address],
    view: upstreams.View,
    now: float,
) -> None:
    flow_lookup.attempts = 1
    if not _is_any_away(flow_lookup, unanswered, view, now):
        flow_lookup.retry_seconds = QUERY_RETRY_SECONDS
    _schedule_retry(flow_lookup, now)


def _may_deliver(
    flow_lookup: Lookup,
    view: upstreams.View,
    is_view_reliable: abc.Callable[[], bool],
    now: float,
) -> bool:
    """Return whether the packet may go to upstreams that may not hold the flow.

    The holder must be among those that get it: no upstream is away, and all others
    have answered.
    """
    flow_lookup.away = _count_away(flow_lookup, view, now)
    return (
        not flow_lookup.away
        and all(
            address in flow_lookup.deliveries
            or upstreams.has_left(view.upstreams[address])
            for address in _unanswered(flow_lookup, view, now)
        )
        and is_view_reliable()
    )


def _count_away(flow_lookup: Lookup, view: upstreams.View, now: float) -> int:
    """Return how many of the upstreams that are searched are away.

    One that has denied the flow does not count: an open flow stays where it is.
    """
    away = [
        upstream.address
        for upstream in lookup_waves.searched(flow_lookup.pools, view)
        if upstream.address not in flow_lookup.denied
        and _is_away(flow_lookup, upstream, now)
    ]
    flow_lookup.were_away.update(away)
    return len(away)


def _next_suspects(
    flow_lookup: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the upstreams to deliver to now, as far as the limit allows.

    The flow is unknown to their sidecars. Their order is the same for all
    balancers, after those that probably hold the flow.
    """
    flow = flow_lookup.packets[0].flow
    suspects = [
        address
        for address in lookup_waves.in_order_of_suspicion(flow, flow_lookup.pools, view)
        if address in flow_lookup.unknown and _is_live(flow_lookup, address, view, now)
    ]
    if not suspects:
        return []
    ranked = sorted(
        suspects,
        key=lambda address: (
            address not in flow_lookup.undecided,
            address not in flow_lookup.likely,
            address not in flow_lookup.were_away,
        ),
    )
    allowed = _allowed_deliveries(flow_lookup, now)
    allowed += sum(address in flow_lookup.undecided for address in ranked)
    if not allowed:
        flow_lookup.next_delivery_at = (
            min(_recent_copies(flow_lookup, now)) + SUSPECT_WINDOW_SECONDS
        )
    return ranked[:allowed]


def _outdated(
    flow_lookup: Lookup,
    unanswered: list[_types.Address],
    view: upstreams.View,
    now: float,
) -> list[_types.Address]:
    """Return the upstreams to ask again before a delivery on suspicion.

    Another balancer may have delivered a packet since they answered; they state its
    time. Sidecars that do not answer, of earlier releases, are not asked again.
    """
    valid_seconds = ANSWER_SECONDS + (QUERY_RETRY_SECONDS if unanswered else 0.0)
    outdated = [
        address
        for address in flow_lookup.unknown
        if now - flow_lookup.unknown_at.get(address, now) >= valid_seconds
        and _is_live(flow_lookup, address, view, now)
    ]
    for address in outdated:
        del flow_lookup.unknown[address]
    return outdated


def _recent_copies(flow_lookup: Lookup, now: float) -> list[float]:
    """Return the times of the deliveries on suspicion that the limit counts."""
    return [
        delivered_at
        for delivered_at, _ in flow_lookup.copies
        if now < delivered_at + SUSPECT_WINDOW_SECONDS
    ]


def _allowed_deliveries(flow_lookup: Lookup, now: float) -> int:
    return max(MAX_SUSPECT_DELIVERIES - len(_recent_copies(flow_lookup, now)), 0)


def _conclude(
    flow_lookup: Lookup, view: upstreams.View, *, may_deliver: bool, now: float
) -> Conclusion | None:
    """Return the end of the lookup if it has timed out or nothing is left to ask."""
    possible = [
        address
        for address in flow_lookup.queries
        if address not in flow_lookup.denied
        and _is_live(flow_lookup, address, view, now)
    ]
    is_over = _has_timed_out(flow_lookup, now)
    all_denied = not possible
    has_newer_list = is_list_checked(flow_lookup, view)
    flow_lookup.awaits_list_check = all_denied and not has_newer_list
    if all_denied and has_newer_list:
        is_over |= now >= view.complete_at and upstreams.is_converged(view, now=now)
    running = [
        address
        for address in possible
        if not upstreams.has_left(view.upstreams[address])
    ]
    holder = _presumed_holder(flow_lookup, running, now) if may_deliver else None
    if not is_over and holder is None:
        return None
    return Conclusion(
        all_denied=all_denied,
        presumed=holder,
        lost=sum(
            not _is_live(flow_lookup, address, view, now) for address in view.upstreams
        ),
        restarting=sum(
            upstreams.is_restarting(upstream) for upstream in view.upstreams.values()
        ),
        away=_count_away(flow_lookup, view, now),
        is_list_checked=has_newer_list,
    )


def _has_timed_out(flow_lookup: Lookup, now: float) -> bool:
    since = flow_lookup.started_at
    if flow_lookup.unknown:
        since = flow_lookup.newest_packet_at
    return (
        now - since >= TIMEOUT_SECONDS
        and now - flow_lookup.newest_suspect_at >= SUSPECT_TIMEOUT_SECONDS
    )


def _presumed_holder(
    flow_lookup: Lookup, possible: list[_types.Address], now: float
) -> _types.Address | None:
    """Return the only upstream that presumably holds the flow, once it is accepted.

    It is if no other one can hold the flow, or if it has not returned the packet until
    the next query is due. Until then no other upstream gets the packet, nor the
    presumed one the packets that follow, as either may be the wrong one.
    """
    suspected = [
        address
        for address in possible
        if address in flow_lookup.deliveries and address not in flow_lookup.unknown
    ]
    is_only_one = len(suspected) == 1 and suspected[0] in flow_lookup.presumed
    is_accepted = len(possible) == 1 or now >= flow_lookup.next_query_at
    return suspected[0] if is_only_one and is_accepted else None


def _query(
    flow_lookup: Lookup,
    targets: list[_types.Address],
    view: upstreams.View,
    *,
    now: float,
) -> Query:
    """Return queries, with the payload if it can reach no upstream but the holder.

    Most flows are held by an upstream of the first step, so its payload saves a round
    trip. Later it would be most of the bytes that a lookup costs.
    """
    is_first_step = not flow_lookup.queries
    purposes: dict[_types.Address, packets.Purpose] = {}
    for address in targets:
        has_payload = is_first_step and _is_table_complete(view.upstreams[address], now)
        purposes[address] = (
            packets.Purpose.LOOKUP if has_payload else packets.Purpose.QUERY
        )
    return _send(flow_lookup, purposes, view, now=now)


def _deliver(
    flow_lookup: Lookup,
    targets: list[_types.Address],
    view: upstreams.View,
    *,
    now: float,
) -> Query:
    """Return deliveries on suspicion, repeated up to the limits, and queries beyond."""
    purposes: dict[_types.Address, packets.Purpose] = {}
    allowed = _allowed_deliveries(flow_lookup, now)
    for address in targets:
        count = flow_lookup.deliveries.get(address, 0)
        purposes[address] = packets.Purpose.QUERY
        if (
            (allowed or address in flow_lookup.undecided)
            and count < MAX_DELIVERIES
            and address not in flow_lookup.presumed
            and not upstreams.has_left(view.upstreams[address])
        ):
            purposes[address] = packets.Purpose.LOOKUP
            if not count:
                flow_lookup.newest_suspect_at = now
            if address not in flow_lookup.undecided:
                flow_lookup.copies.append((now, address))
                allowed -= 1
            flow_lookup.deliveries[address] = count + 1
            flow_lookup.unknown.pop(address, None)
    return _send(flow_lookup, purposes, view, now=now)


def _send(
    flow_lookup: Lookup,
    purposes: dict[_types.Address, packets.Purpose],
    view: upstreams.View,
    *,
    now: float,
) -> Query:
    for address, purpose in purposes.items():
        _count_query(flow_lookup, view.upstreams[address], now)
        flow_lookup.queries[address] = flow_lookup.queries.get(address, 0) + 1
        if purpose is packets.Purpose.LOOKUP:
            flow_lookup.reached.add(address)
        elif address not in flow_lookup.presumed:
            # No answer to an earlier query with the payload: it may have been lost.
            flow_lookup.reached.discard(address)
    return Query(flow_lookup.packets[0], purposes)


def _count_query(flow_lookup: Lookup, upstream: upstreams.Upstream, now: float) -> None:
    """Count a query to a running process; one that is away does not get it."""
    if upstream.report is None or _is_away(flow_lookup, upstream, now):
        return
    boot = upstream.report.boot
    silence = flow_lookup.silences.get(upstream.address)
    if silence is None or silence.boot != boot:
        silence = flow_lookup.silences[upstream.address] = Silence(boot, now)
    silence.queries += 1


def _is_table_complete(upstream: upstreams.Upstream, now: float) -> bool:
    """Return whether the sidecar delivers packets of flows that it holds only."""
    report = upstream.report
    return (
        report is not None
        and report.complete
        and not report.stopping
        and upstreams.is_fresh(upstream, now=now)
    )


def _next_targets(
    flow_lookup: Lookup, view: upstreams.View, now: float
) -> list[_types.Address]:
    """Return the live upstreams of the next wave that have not been queried yet.

    Skips waves without such upstreams. One that has become live since belongs to its
    own wave again. The list is empty after the last wave.
    """
    flow = flow_lookup.packets[0].flow
    for number, wave in enumerate(lookup_waves.WAVES, start=1):
        new_targets = [
            address
            for address in wave(flow, flow_lookup.pools, view)
            if address not in flow_lookup.queries
            and address not in flow_lookup.denied
            and _is_live(flow_lookup, address, view, now)
        ]
        if new_targets:
            flow_lookup.wave = number
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


def _is_any_away(
    flow_lookup: Lookup,
    addresses: list[_types.Address],
    view: upstreams.View,
    now: float,
) -> bool:
    return any(
        _is_away(flow_lookup, view.upstreams[address], now) for address in addresses
    )


def _is_away(flow_lookup: Lookup, upstream: upstreams.Upstream, now: float) -> bool:
    return upstreams.is_away(
        upstream, now=now, timeout_seconds=flow_lookup.loss_timeout_seconds
    )
