"""The decisions of a balancer about packets of transparent flows."""

from collections import abc
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import (
    event_log,
    lookup,
    messages,
    packets,
    placement,
    policy,
    upstreams,
    waiting,
)

MAX_CACHED_FLOWS = 120_000
"""Cached destinations of flows, about 380 bytes each (bench.flows): a third of the
memory of the smallest instances."""
FLOW_LIFETIME_SECONDS = 75.0
"""A cached destination is dropped at this age at the latest; it is found again."""
MAX_LOOKUPS = 8_192
"""Flows that may wait for a lookup."""
LOOKUPS_AT_ONCE = 48
"""Flows that are looked up at the same time: after a change of rotation, questions for
all flows at once would fill a small instance's link."""
READY_WAIT_SECONDS = 1.0
"""A balancer that has a policy and some upstreams waits no longer for the others."""
ISOLATED_SECONDS = 2.5
"""A balancer that heard no sidecar for this long asks to be taken out of rotation."""

PAUSE_SECONDS = 0.6
"""A process that was not run for this long has missed reports."""

HOLD_OFF_SECONDS = {
    messages.Refusal.NOT_READY: 0.2,
    messages.Refusal.WRONG_POOL: 0.3,
    messages.Refusal.DOMAIN_OUT: 0.3,
    messages.Refusal.DRAINING: 0.5,
    messages.Refusal.COLD: 0.0,
    messages.Refusal.FULL: 0.03,
    messages.Refusal.DECLINED: 0.05,
}
"""How long no new flow goes to an upstream after a refusal; a report may come sooner.
About the time in which the reason can pass."""


class Port(typing.Protocol):
    """What the engine sends; nothing blocks."""

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""

    def reset(self, packet: packets.Packet) -> None:
        """Tell the packet's caller that the flow is closed."""


class Cached(msgspec.Struct):
    """Where a flow was placed or found."""

    upstream: _types.Address
    used_at: float
    opened_at: float
    refused_by: frozenset[_types.Address] = frozenset()
    """Upstreams that did not take the flow's opening packet."""


class Engine:
    """The state of one balancer."""

    def __init__(
        self, *, port: Port, domain: str, draw: placement.Draw, log: event_log.EventLog
    ) -> None:
        """Start with nothing known."""
        self.port = port
        self.domain = domain
        self.draw = draw
        self.log = log
        self.policies = policy.ActivePolicy()
        self.view = upstreams.View()
        self.flows: dict[bytes, Cached] = {}
        self.lookups: dict[bytes, lookup.Lookup] = {}
        self.waiting = waiting.Queue()
        self.policy_since = float("inf")
        """When the first policy came into force."""
        self.stopping = False
        self.ticked_at = float("inf")
        self.doubtful_until = float("-inf")
        """Until then, reports may be late because this process stood still or was cut
        off."""
        self.blind = False
        """Whether most sidecars were silent at the last tick."""


def is_ready(engine: Engine, *, now: float) -> bool:
    """Return whether callers' packets may be sent here."""
    if engine.stopping or engine.policies.current is None:
        return False
    heard = [
        one.heard_at for one in engine.view.upstreams.values() if one.report is not None
    ]
    if not heard or now - max(heard) >= ISOLATED_SECONDS:
        return False
    waited = now - engine.policy_since >= READY_WAIT_SECONDS
    return waited or upstreams.is_settled(engine.view, now=now)


def take_policy(engine: Engine, offered: policy.Policy, *, now: float) -> bool:
    """Put a policy in force unless it is old; return whether it is now in force."""
    if not engine.policies.apply_if_newer(offered):
        return False
    engine.policy_since = min(engine.policy_since, now)
    engine.log.write_policy(offered)
    return True


def handle_packet(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Send one packet of a caller on, or answer it."""
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    current = engine.policies.current
    if current is None:
        if packet.opening:
            _wait(engine, packet, now=now)
        engine.log.count("before_policy")
        return
    route = current.routes.get(packet.service)
    if route is None:
        _refuse_unrouted(engine, packet)
        return
    if packet.opening:
        _handle_opening(engine, packet, route, now=now)
        return
    cached = engine.flows.get(packet.flow)
    if cached is not None:
        found = engine.view.upstreams.get(cached.upstream)
        lost_after = _lost_after(route)
        if found is not None and not upstreams.is_lost(
            found, now=now, after_seconds=lost_after
        ):
            cached.used_at = now
            engine.port.forward(packet, found.data_address, packets.Purpose.FORWARD)
            engine.log.count("forwarded")
            return
        del engine.flows[packet.flow]
    _look_up(engine, packet, route, now=now)


def handle_message(
    engine: Engine,
    message: messages.Message,
    sender: _types.Address,
    *,
    parse: abc.Callable[[bytes], packets.Packet | None],
    now: float,
) -> None:
    """Take a sidecar's message."""
    match message:
        case messages.Report():
            _take_report(engine, message, sender, now=now)
        case messages.FlowHeld():
            _take_held(engine, message.flow, sender, now=now)
        case messages.FlowNotHeld():
            _take_denial(engine, message.flow, sender, now=now)
        case messages.ReturnedPacket():
            packet = parse(message.data)
            if packet is not None:
                _take_returned(engine, message, packet, sender, now=now)
        case messages.ReportRequest():
            engine.log.count("dropped.invalid_message")


def take_registered(
    engine: Engine,
    registered: abc.Mapping[_types.Address, _types.Address],
    *,
    now: float,
) -> None:
    """Take the store's list of sidecars: addresses for data by those for messages."""
    upstreams.list_registered(engine.view, registered.items(), now)


def tick(engine: Engine, *, now: float) -> None:
    """Ask again where answers are missing, place what waits, forget what is old."""
    if now - engine.ticked_at >= PAUSE_SECONDS:
        engine.doubtful_until = now + upstreams.SUSPECT_SECONDS
        engine.log.write("paused", seconds=round(now - engine.ticked_at, 3))
    engine.ticked_at = now
    _note_blindness(engine, now=now)
    _continue_lookups(engine, now=now)
    _place_waiting(engine, now=now)
    for address in upstreams.forget_silent(engine.view, now=now):
        engine.log.write("upstream forgotten", upstream=str(address))


def sweep_flows(engine: Engine, *, now: float) -> None:
    """Drop cached destinations that are idle or old."""
    current = engine.policies.current
    idle = current.idle_seconds if current else FLOW_LIFETIME_SECONDS
    for flow, cached in list(engine.flows.items()):
        if now - cached.used_at >= idle or (
            now - cached.opened_at >= FLOW_LIFETIME_SECONDS
        ):
            del engine.flows[flow]


def _note_blindness(engine: Engine, *, now: float) -> None:
    """Note whether this process is cut off.

    Once it is not, the reports of all sidecars come one after the other.
    """
    is_blind = upstreams.is_blind(engine.view, now=now)
    if is_blind:
        engine.doubtful_until = now + upstreams.SUSPECT_SECONDS
    if is_blind is not engine.blind:
        event = "most sidecars silent" if is_blind else "most sidecars heard"
        engine.log.write(event, known=len(engine.view.upstreams))
    engine.blind = is_blind


def _sees_clearly(engine: Engine, *, now: float) -> bool:
    """Return whether silence means that others are gone, and not that this one was."""
    return (
        now >= max(engine.doubtful_until, engine.view.complete_at)
        and upstreams.is_settled(engine.view, now=now)
        and not upstreams.is_blind(engine.view, now=now)
    )


def _refuse_unrouted(engine: Engine, packet: packets.Packet) -> None:
    engine.log.write_limited(
        "refused",
        flow=packet.flow,
        reason="no route",
        revision=engine.policies.revision,
    )
    engine.flows.pop(packet.flow, None)
    _reset(engine, packet)


def _reset(engine: Engine, packet: packets.Packet) -> None:
    if packet.aborting:
        return
    engine.log.count("resets")
    engine.port.reset(packet)


def _handle_opening(
    engine: Engine, packet: packets.Packet, route: policy.Route, *, now: float
) -> None:
    if packet.flow in engine.waiting.openings:
        return
    cached = engine.flows.get(packet.flow)
    if cached is None:
        _place(engine, packet, route, refused_by=frozenset(), now=now)
        return
    # A copy: the upstream chosen first has not accepted the flow in time.
    avoided = cached.refused_by | {cached.upstream}
    if _try_to_place(engine, packet, route, refused_by=avoided, now=now):
        return
    chosen = engine.view.upstreams.get(cached.upstream)
    if chosen is not None:
        engine.port.forward(packet, chosen.data_address, packets.Purpose.OPEN)


def _place(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    refused_by: frozenset[_types.Address],
    now: float,
) -> None:
    if not _try_to_place(engine, packet, route, refused_by=refused_by, now=now):
        _wait_or_refuse(engine, packet, route, refused_by, now=now)


def _try_to_place(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    refused_by: frozenset[_types.Address],
    now: float,
) -> bool:
    """Send an opening packet to an upstream; return whether there is one."""
    current = engine.policies.current
    assert current is not None
    context = placement.Context(
        policy=current, domain=engine.domain, now=now, draw=engine.draw
    )
    chosen = placement.choose(
        engine.view, route, packet.flow, context=context, excluded=refused_by
    )
    if chosen is None:
        return False
    chosen.placed += 1
    if len(engine.flows) >= MAX_CACHED_FLOWS:
        engine.flows.pop(next(iter(engine.flows)))
    engine.flows[packet.flow] = Cached(chosen.address, now, now, refused_by)
    engine.port.forward(packet, chosen.data_address, packets.Purpose.OPEN)
    assert chosen.report is not None
    engine.log.write_limited(
        "placed",
        flow=packet.flow,
        route=route.name,
        upstream=str(chosen.address),
        running=chosen.report.running,
        flows=chosen.report.flows,
        report_age=round(now - chosen.heard_at, 3),
        refusals=len(refused_by),
        revision=current.revision,
    )
    return True


def _wait_or_refuse(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    refused_by: frozenset[_types.Address],
    *,
    now: float,
) -> None:
    """Let an opening packet wait if an upstream may take it soon, or refuse it."""
    engine.flows.pop(packet.flow, None)
    hopeless = _sees_clearly(engine, now=now) and not placement.may_recover(
        engine.view, route, engine.policies.current
    )
    engine.log.write_limited(
        "refused" if hopeless else "waiting",
        flow=packet.flow,
        route=route.name,
        reason="no upstream takes the flow",
        refusals=len(refused_by),
        revision=engine.policies.revision,
    )
    if hopeless:
        _reset(engine, packet)
        return
    _wait(engine, packet, now=now)


def _wait(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    opening = waiting.Opening(packet=packet, since=waiting.sent_at(packet, now=now))
    if not engine.waiting.add(opening):
        engine.log.count("dropped.queue_full")


def _place_waiting(engine: Engine, *, now: float) -> None:
    """Place the waiting openings as far as upstreams take them now."""
    late = engine.waiting.drop_late(now=now)
    if late:
        engine.log.write_limited("openings dropped", count=late)
    current = engine.policies.current
    if current is None:
        return
    full: set[bytes] = set()
    for opening in waiting.in_order(engine.waiting, current, now=now):
        packet = opening.packet
        route = current.routes.get(packet.service)
        if route is None:
            del engine.waiting.openings[packet.flow]
            _refuse_unrouted(engine, packet)
            continue
        if packet.service in full:
            continue
        if _try_to_place(engine, packet, route, refused_by=frozenset(), now=now):
            del engine.waiting.openings[packet.flow]
        else:
            full.add(packet.service)


def _take_report(
    engine: Engine, report: messages.Report, sender: _types.Address, *, now: float
) -> None:
    if not upstreams.take_report(engine.view, sender, report, now=now):
        return
    engine.log.write(
        "upstream seen",
        upstream=str(sender),
        pool=report.pool,
        domain=report.domain,
        state=report.state,
        cold=report.cold,
        stopping=report.stopping,
        suspect=report.suspect,
        boot=report.boot,
        number=report.number,
    )


def _take_returned(
    engine: Engine,
    message: messages.ReturnedPacket,
    packet: packets.Packet,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    current = engine.policies.current
    route = current.routes.get(packet.service) if current else None
    if route is None:
        return
    engine.log.write_limited(
        "returned",
        flow=packet.flow,
        upstream=str(sender),
        reason=message.reason,
        revision=message.revision,
    )
    cached = engine.flows.get(packet.flow)
    if message.reason is messages.Refusal.NOT_HELD:
        if cached is not None and cached.upstream == sender:
            del engine.flows[packet.flow]
        _look_up(engine, packet, route, now=now, denied_by=sender)
        return
    refusing = engine.view.upstreams.get(sender)
    if refusing is not None:
        hold_off = max(HOLD_OFF_SECONDS[message.reason], message.retry_after)
        refusing.held_off_until = max(refusing.held_off_until, now + hold_off)
        refusing.placed = max(refusing.placed - 1, 0)
    if cached is None or cached.upstream != sender:
        return
    refused_by = cached.refused_by | {sender}
    _place(engine, packet, route, refused_by=refused_by, now=now)


def _lost_after(route: policy.Route) -> float:
    """Return the silence in seconds after which a flow's upstream is given up."""
    if route.is_repeatable:
        return upstreams.SUSPECT_SECONDS
    return upstreams.LOST_SECONDS


def _look_up(
    engine: Engine,
    packet: packets.Packet,
    route: policy.Route,
    *,
    now: float,
    denied_by: _types.Address | None = None,
) -> None:
    search = engine.lookups.get(packet.flow)
    if search is not None:
        lookup.park(search, packet)
        if denied_by is not None:
            _take_denial(engine, packet.flow, denied_by, now=now)
        return
    if len(engine.lookups) >= MAX_LOOKUPS:
        engine.log.count("dropped.lookups_full")
        return
    pools = engine.policies.pools_seen[packet.service]
    search = lookup.start(pools, packet, lost_after=_lost_after(route), now=now)
    if denied_by is not None:
        search.denied.add(denied_by)
    engine.lookups[packet.flow] = search
    engine.log.count("lookups")
    if len(engine.lookups) <= LOOKUPS_AT_ONCE:
        _continue_lookup(engine, packet.flow, search, now=now)


def _continue_lookups(engine: Engine, *, now: float) -> None:
    """Repeat questions that are due, and begin searches that wait."""
    active = sum(bool(search.asked) for search in engine.lookups.values())
    for flow, search in list(engine.lookups.items()):
        if now < search.ask_again_at:
            continue
        if not search.asked:
            if active >= LOOKUPS_AT_ONCE:
                continue
            active += 1
        _continue_lookup(engine, flow, search, now=now)


def _continue_lookup(
    engine: Engine, flow: bytes, search: lookup.Lookup, *, now: float
) -> None:
    """Ask whom is still to be asked, or conclude."""
    step = lookup.advance(search, engine.view, now=now)
    if step is None:
        return
    if isinstance(step, lookup.Ask):
        for address in step.upstreams:
            target = engine.view.upstreams[address].data_address
            engine.port.forward(step.packet, target, packets.Purpose.LOOKUP)
        return
    del engine.lookups[flow]
    certain = step.every_answer_known and _sees_clearly(engine, now=now)
    engine.log.write_limited(
        "flow not found",
        flow=flow,
        asked=len(search.asked),
        denied=len(search.denied),
        lost=step.lost,
        waited=round(now - search.started_at, 3),
        outcome="reset" if certain else "dropped",
    )
    if certain:
        _reset(engine, search.packets[-1])


def _take_held(
    engine: Engine, flow: bytes, sender: _types.Address, *, now: float
) -> None:
    search = engine.lookups.pop(flow, None)
    found = engine.view.upstreams.get(sender)
    if search is None or found is None:
        return
    engine.flows[flow] = Cached(sender, now, now)
    engine.log.write_limited(
        "flow found",
        flow=flow,
        upstream=str(sender),
        asked=len(search.asked),
        waited=round(now - search.started_at, 3),
    )
    # The packet that carried the question has reached the upstream already.
    for packet in search.packets[1:]:
        engine.port.forward(packet, found.data_address, packets.Purpose.FORWARD)


def _take_denial(
    engine: Engine, flow: bytes, sender: _types.Address, *, now: float
) -> None:
    search = engine.lookups.get(flow)
    if search is None:
        return
    search.denied.add(sender)
    if lookup.is_answered(search):
        _continue_lookup(engine, flow, search, now=now)
