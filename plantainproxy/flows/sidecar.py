"""The decisions of a sidecar about the flows of its upstream."""

import math
import socket
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import (
    event_log,
    faults,
    guard,
    held,
    messages,
    packets,
    policy,
    upstream,
)

DENIAL_WAIT_SECONDS = 0.03
"""An upstream that did not hand a packet back in this time holds its flow."""
REPORT_SECONDS = 0.5
"""Longest time between two reports to a balancer."""
LOAD_REPORT_SECONDS = 0.15
"""Shortest time between two reports when only the load has changed, in the own
failure domain; the others get the regular ones."""
BUSY_REPORT_SECONDS = 0.04
"""The same while all slots are in use, when balancers wait for room."""
REQUESTS_PER_SLOT = 2.0
"""An upstream with this many requests in progress for each slot gets no new flow: the
rest waits at the balancers, in the order of priority."""
LATE_SECONDS = 1.0
"""An answer that took longer is logged; far above the objectives of requests."""
LEAVE_SECONDS = 1.0
"""A leaving upstream serves its last flows for this long after it stopped listening."""
UNKNOWN_SLOTS = 2
"""Slots of an upstream that has not told them; as few as they are anywhere."""
SUBSCRIPTION_SECONDS = 30.0
"""A balancer that was silent for this long gets no more reports."""


class Port(typing.Protocol):
    """What the engine sends; nothing blocks."""

    def deliver(self, packet: packets.Packet) -> None:
        """Send a caller's packet to the upstream."""

    def answer(self, packet: packets.Packet) -> None:
        """Send an upstream's packet to its caller."""

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Tell a caller that its flow is closed."""

    def tell(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """What a sidecar says of itself in each report."""

    place: guard.Place
    data_port: int
    """UDP port for packets of flows."""
    message_port: int
    """UDP port of the balancers for messages."""
    boot: int
    """Random number of this process."""


class Question(msgspec.Struct):
    """A balancer waits to hear whether a flow is held."""

    balancer: _types.Address
    due_at: float


class Subscriber(msgspec.Struct):
    """A balancer that gets reports."""

    is_near: bool
    """Whether it is in the own failure domain."""
    heard_at: float
    reported_at: float = float("-inf")
    reported_load: tuple[int, int] = (0, 0)
    """Requests in progress and flows in the last report."""


class Engine:
    """The state of one sidecar."""

    def __init__(
        self,
        *,
        port: Port,
        identity: Identity,
        cold_limit: guard.ColdLimit,
        log: event_log.EventLog,
    ) -> None:
        """Start with nothing known."""
        self.port = port
        self.identity = identity
        self.log = log
        self.policies = policy.ActivePolicy()
        self.table = held.Table()
        self.upstream = upstream.Upstream()
        self.cold_limit = cold_limit
        self.faults = faults.Record()
        self.ends_at: float | None = None
        """When a leaving upstream that no longer listens counts as ended."""
        self.questions: dict[bytes, Question] = {}
        self.subscribers: dict[_types.Address, Subscriber] = {}
        self.fleet_size = 1
        """Sidecars that the balancers know."""
        self.record: tuple[int, dict[bytes, int]] | None = None
        """What an earlier process recorded: the incarnation, and its flows with their
        callers' acknowledgements; absent once it is used."""
        self.absent_since: float | None = None
        """Since when nobody listened as this process started; absent once that counts
        as the end of an earlier upstream, or where somebody listened."""
        self.report_number = 0
        self.reported_news: tuple[object, ...] = ()
        self.stopping = False


def take_policy(engine: Engine, offered: policy.Policy, *, now: float) -> bool:
    """Put a policy in force unless it is old; return whether it is now in force."""
    before = engine.policies.current
    if not engine.policies.apply_if_newer(offered):
        return False
    domain = engine.identity.place.domain
    if before is not None and domain in before.domains_out - offered.domains_out:
        # Upstreams may have lost their warmth while they had no load; the next
        # heartbeat tells.
        limits = offered.pools.get(engine.identity.place.pool, policy.PoolLimits())
        engine.upstream.cold_until = max(
            engine.upstream.cold_until, now + limits.cold_seconds
        )
    engine.log.write_policy(offered)
    return True


def handle_inbound(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    """Take a caller's packet from a balancer."""
    if packet.returned or packet.accepting:
        engine.log.count("dropped.invalid")
        return
    if packet.opening:
        _handle_opening(engine, packet, now=now)
        return
    if held.is_held(engine.table, packet):
        _deliver(engine, packet, now=now)
        if packet.purpose is packets.Purpose.LOOKUP:
            _tell(engine, packet, messages.FlowHeld(flow=packet.flow))
        return
    known_not_held = (
        engine.table.complete
        or packet.flow in engine.table.flows
        or engine.upstream.state is messages.UpstreamState.GONE
    )
    if known_not_held:
        _deny(engine, packet)
        return
    engine.port.deliver(packet)
    engine.log.count("delivered.unknown")
    if packet.purpose is packets.Purpose.LOOKUP:
        balancer = _balancer(engine, packet)
        question = Question(balancer, now + DENIAL_WAIT_SECONDS)
        engine.questions[packet.flow] = question


def handle_outbound(
    engine: Engine, packet: packets.Packet, *, now: float
) -> float | None:
    """Take a packet of the upstream; return the seconds to an answer it starts."""
    if packet.returned:
        _handle_returned(engine, packet)
        return None
    waited = held.note_outbound(engine.table, packet, now=now)
    engine.port.answer(packet)
    if waited is None:
        return None
    if packet.aborting:
        _log_request(engine, packet, "request cut by upstream", waited)
        faults.note_cut(engine.faults, now=now)
        return None
    faults.note_answer(engine.faults, now=now)
    if waited >= LATE_SECONDS:
        _log_request(engine, packet, "request answered late", waited)
    return waited


def handle_heartbeat(engine: Engine, beat: upstream.Heartbeat, *, now: float) -> bool:
    """Take a heartbeat; return whether it was meant for this sidecar."""
    if beat.pool != engine.identity.place.pool:
        engine.log.write_limited(
            "heartbeat refused", instance=beat.instance, pool=beat.pool
        )
        return False
    before = engine.upstream.newest
    state_before = engine.upstream.state
    if before is None or beat.born > before.born:
        engine.ends_at = None
    if upstream.take_heartbeat(engine.upstream, beat, now=now) and before is not None:
        if state_before is messages.UpstreamState.READY:
            faults.note_crash(engine.faults, now=now)
        _close_all(engine, reason="upstream restarted")
        engine.table.complete = True
    if engine.upstream.state is not state_before:
        engine.log.write(
            "upstream state",
            instance=beat.instance,
            state=engine.upstream.state,
            before=state_before,
            cold_seconds=beat.cold_seconds,
            born=beat.born,
            number=beat.number,
        )
    if engine.upstream.newest is not None:
        _use_record(engine, engine.upstream.newest)
    report_if_due(engine, now=now)
    return True


def handle_leave(engine: Engine, instance: str, *, now: float) -> None:
    """Take the upstream's word that it is about to end."""
    if not upstream.take_leave(engine.upstream, instance):
        return
    engine.log.write(
        "upstream state",
        instance=instance,
        state=engine.upstream.state,
        reason="upstream leaves",
    )
    report_if_due(engine, now=now)


def handle_refusal(engine: Engine, *, now: float) -> None:
    """Take the news that nobody accepts connections at the upstream's address.

    An upstream that leaves stops listening before its last flows are served; one that
    has not said so has crashed.
    """
    if engine.upstream.state is not messages.UpstreamState.DRAINING:
        handle_end(engine, reason="connection refused", now=now)
    elif engine.ends_at is None:
        engine.ends_at = now + LEAVE_SECONDS


def handle_end(engine: Engine, *, reason: str, now: float) -> None:
    """Take the news that the upstream's process has ended."""
    engine.ends_at = None
    was_ready = engine.upstream.state is messages.UpstreamState.READY
    if not upstream.take_end(engine.upstream):
        return
    if was_ready:
        faults.note_crash(engine.faults, now=now)
    engine.log.write("upstream state", state=engine.upstream.state, reason=reason)
    _close_all(engine, reason=reason)
    engine.table.complete = True
    report_if_due(engine, now=now)


def handle_absence(engine: Engine, *, now: float) -> None:
    """Take the news that no upstream listened when this process started.

    One that leaves may still serve its last flows.
    """
    engine.absent_since = now


def _end_absence(engine: Engine) -> None:
    """Take it as certain that nothing is left of an earlier upstream."""
    engine.absent_since = None
    engine.table.complete = True
    if engine.record is not None and engine.upstream.newest is None:
        _reset_recorded(engine)


def take_record(engine: Engine, born: int, flows: dict[bytes, int]) -> None:
    """Take the flows that an earlier process recorded."""
    engine.record = (born, flows)
    if engine.upstream.newest is not None:
        _use_record(engine, engine.upstream.newest)
    elif engine.table.complete:
        _reset_recorded(engine)


def _use_record(engine: Engine, newest: upstream.Heartbeat) -> None:
    """Reset the recorded flows if a later incarnation than theirs is heard."""
    if engine.record is None:
        return
    born, _ = engine.record
    if newest.born > born:
        _reset_recorded(engine)
    engine.record = None


def _reset_recorded(engine: Engine) -> None:
    assert engine.record is not None
    _, flows = engine.record
    engine.record = None
    for key, acknowledgement in flows.items():
        if key not in engine.table.flows:
            engine.port.reset(key, acknowledgement)
    engine.log.write(
        "flows reset", count=len(flows), reason="upstream ended before this process"
    )


def wanted_health_path(engine: Engine) -> str | None:
    """Return the path of the health check while the upstream's state is unknown."""
    current = engine.policies.current
    if current is None or engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return None
    limits = current.pools.get(engine.identity.place.pool)
    return limits.health_path if limits else None


def handle_healthy(engine: Engine, *, now: float) -> None:
    """Take a good health check of an upstream that has not been heard yet."""
    if engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return
    engine.upstream.state = messages.UpstreamState.READY
    current = engine.policies.current
    limits = current.pools.get(engine.identity.place.pool) if current else None
    cold_seconds = limits.cold_seconds if limits else 0.0
    # The check does not tell whether the upstream is cold.
    engine.upstream.cold_until = now + cold_seconds
    engine.log.write("upstream state", state=engine.upstream.state, reason="healthy")
    report_if_due(engine, now=now)


def handle_hello(
    engine: Engine, hello: messages.ReportRequest, sender: _types.Address, *, now: float
) -> None:
    """Take a balancer's wish for reports."""
    engine.fleet_size = hello.sidecars
    known = engine.subscribers.get(sender)
    if known is not None:
        known.heard_at = now
        return
    is_near = hello.domain == engine.identity.place.domain
    engine.subscribers[sender] = Subscriber(is_near=is_near, heard_at=now)
    engine.log.write("balancer seen", balancer=str(sender), domain=hello.domain)
    report_if_due(engine, now=now)


def tick(engine: Engine, *, now: float) -> None:
    """Answer open questions and send the reports that are due."""
    for flow, question in list(engine.questions.items()):
        if now >= question.due_at:
            del engine.questions[flow]
            engine.port.tell(question.balancer, messages.FlowHeld(flow=flow))
    if engine.ends_at is not None and now >= engine.ends_at:
        handle_end(engine, reason="left", now=now)
    absent = engine.absent_since
    if absent is not None and now - absent >= LEAVE_SECONDS:
        _end_absence(engine)
    report_if_due(engine, now=now)


def sweep(engine: Engine, *, now: float) -> None:
    """Forget old flows and silent balancers."""
    current = engine.policies.current
    if current is not None:
        held.sweep(engine.table, now=now, idle_seconds=current.idle_seconds)
    for balancer, subscriber in list(engine.subscribers.items()):
        if now - subscriber.heard_at >= SUBSCRIPTION_SECONDS:
            del engine.subscribers[balancer]
            engine.log.write("balancer forgotten", balancer=str(balancer))


def has_left(engine: Engine) -> bool:
    """Return whether the upstream takes no new flows any more."""
    return engine.upstream.state in (
        messages.UpstreamState.DRAINING,
        messages.UpstreamState.GONE,
    )


def stop(engine: Engine, *, now: float) -> None:
    """Tell the balancers that this process is about to end."""
    engine.stopping = True
    report_if_due(engine, now=now)


def report_if_due(engine: Engine, *, now: float) -> None:
    """Report to each balancer if something is new or its last report is old."""
    load = (engine.table.running, len(engine.table.flows))
    news = (
        engine.upstream.state,
        upstream.is_cold(engine.upstream, now=now),
        engine.policies.digest,
        engine.stopping,
        faults.is_suspect(engine.faults, now=now),
    )
    has_news = news != engine.reported_news
    engine.reported_news = news
    report: messages.Report | None = None
    for balancer, subscriber in engine.subscribers.items():
        elapsed = now - subscriber.reported_at
        is_due = (
            has_news
            or elapsed >= REPORT_SECONDS
            or (
                load != subscriber.reported_load
                and elapsed >= _load_report_seconds(engine, subscriber)
            )
        )
        if not is_due:
            continue
        report = report or _report(engine, now=now)
        subscriber.reported_at, subscriber.reported_load = now, load
        engine.port.tell(balancer, report)


def _load_report_seconds(engine: Engine, subscriber: Subscriber) -> float:
    if engine.table.running >= _slots(engine):
        return BUSY_REPORT_SECONDS
    return LOAD_REPORT_SECONDS if subscriber.is_near else REPORT_SECONDS


def _slots(engine: Engine) -> int:
    """Return how many requests the upstream runs at the same time."""
    newest = engine.upstream.newest
    return newest.slots if newest else UNKNOWN_SLOTS


def _room(engine: Engine, *, now: float) -> int:
    """Return how many more requests the upstream serves in good time."""
    expected = held.expected_requests(engine.table, now=now)
    return int(REQUESTS_PER_SLOT * _slots(engine)) - expected


def _room_per_balancer(engine: Engine, *, now: float) -> int:
    room = max(_room(engine, now=now), 0)
    if engine.table.running < _slots(engine):
        return room
    # Several balancers place at once between two reports.
    return math.ceil(room / max(len(engine.subscribers), 1))


def _report(engine: Engine, *, now: float) -> messages.Report:
    engine.report_number += 1
    identity = engine.identity
    return messages.Report(
        boot=identity.boot,
        number=engine.report_number,
        revision=engine.policies.revision,
        pool=identity.place.pool,
        domain=identity.place.domain,
        state=engine.upstream.state,
        data_port=identity.data_port,
        running=engine.table.running,
        flows=len(engine.table.flows),
        slots=_slots(engine),
        room=_room_per_balancer(engine, now=now),
        cold=upstream.is_cold(engine.upstream, now=now),
        complete=engine.table.complete,
        stopping=engine.stopping,
        digest=engine.policies.digest,
        suspect=faults.is_suspect(engine.faults, now=now),
    )


def _cold_wait(engine: Engine, *, now: float) -> float:
    """Return the seconds until the upstream bears one more flow."""
    current = engine.policies.current
    if current is None or not upstream.is_cold(engine.upstream, now=now):
        return 0.0
    limits = current.pools.get(engine.identity.place.pool, policy.PoolLimits())
    return engine.cold_limit.wait(limits, now=now)


def _handle_opening(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    is_copy = packet.flow in engine.table.flows
    cold_wait = 0.0 if is_copy else _cold_wait(engine, now=now)
    refusal = guard.check(
        packet,
        place=engine.identity.place,
        current=engine.policies.current,
        state=engine.upstream.state,
        cold_wait=cold_wait,
        is_full=not is_copy and _room(engine, now=now) <= 0,
    )
    if refusal is not None:
        engine.log.write_limited(
            "refused",
            flow=packet.flow,
            reason=refusal,
            state=engine.upstream.state,
            cold_wait=round(cold_wait, 3),
            revision=engine.policies.revision,
        )
        _return(engine, packet, refusal, retry_after=cold_wait)
        return
    if not is_copy:
        engine.cold_limit.note(now=now)
    held.note_opening(engine.table, packet, now=now)
    engine.port.deliver(packet)
    engine.log.count("delivered.opening")


def _log_request(
    engine: Engine, packet: packets.Packet, event: str, waited: float
) -> None:
    engine.log.write_limited(
        event,
        flow=packet.flow,
        waited=round(waited, 3),
        running=engine.table.running,
        slots=_slots(engine),
        state=engine.upstream.state,
    )


def _deliver(engine: Engine, packet: packets.Packet, *, now: float) -> None:
    if packet.closing or packet.aborting:
        waited = held.waiting_seconds(engine.table, packet.flow, now=now)
        if waited is not None:
            _log_request(engine, packet, "request given up by caller", waited)
    held.note_inbound(engine.table, packet, now=now)
    engine.port.deliver(packet)
    engine.log.count("delivered")


def _deny(engine: Engine, packet: packets.Packet) -> None:
    if packet.purpose is packets.Purpose.LOOKUP:
        _tell(engine, packet, messages.FlowNotHeld(flow=packet.flow))
        return
    _return(engine, packet, messages.Refusal.NOT_HELD)


def _handle_returned(engine: Engine, packet: packets.Packet) -> None:
    """Pass on that the upstream handed a packet back."""
    held.drop(engine.table, packet.flow)
    question = engine.questions.pop(packet.flow, None)
    if question is not None:
        engine.port.tell(question.balancer, messages.FlowNotHeld(flow=packet.flow))
        return
    reason = messages.Refusal.DECLINED if packet.opening else messages.Refusal.NOT_HELD
    _return(engine, packet, reason)


def _return(
    engine: Engine,
    packet: packets.Packet,
    reason: messages.Refusal,
    *,
    retry_after: float = 0.0,
) -> None:
    engine.log.count(f"returned.{reason}")
    message = messages.ReturnedPacket(
        reason=reason,
        revision=engine.policies.revision,
        data=packet.data,
        retry_after=retry_after,
    )
    _tell(engine, packet, message)


def _balancer(engine: Engine, packet: packets.Packet) -> _types.Address:
    host = socket.inet_ntoa(packet.balancer)
    return _types.Address(host, engine.identity.message_port)


def _tell(engine: Engine, packet: packets.Packet, message: messages.Message) -> None:
    engine.port.tell(_balancer(engine, packet), message)


def _close_all(engine: Engine, *, reason: str) -> None:
    """Reset every open flow: the incarnation that held them has ended."""
    dropped = held.drop_all(engine.table)
    for key, flow in dropped:
        engine.port.reset(key, flow.caller_acknowledgement)
    if dropped:
        engine.log.write("flows reset", count=len(dropped), reason=reason)
