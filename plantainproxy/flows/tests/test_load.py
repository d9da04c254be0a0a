"""The patterns of heavy load: who waits, who is refused, where new flows go.

No network; each test names the pattern that it answers.
"""

import pytest

from plantainproxy.flows import (
    balancer,
    faults,
    guard,
    messages,
    packets,
    placement,
    sidecar,
    waiting,
)
from testbed import transparent


def _opening(number: int, service: bytes = transparent.SERVICE) -> packets.Packet:
    return transparent.packet(transparent.flow(number, service), opening=True)


def test_mass_reconnect_beyond_the_upstreams_room_waits() -> None:
    """Everyone returns after a restart: what finds no room waits for a report."""
    running = transparent.ready_balancer(count=2)
    for number in (1, 2):
        running.hear(number, transparent.report(number=2, room=3))
    for number in range(10):
        running.handle(_opening(number))
    assert len(running.port.hosts(packets.Purpose.OPEN)) == 6
    assert running.port.resets == []
    running.hear(1, transparent.report(number=3, room=2))
    running.tick(0.04)
    assert len(running.port.hosts(packets.Purpose.OPEN)) == 8


def test_waiting_openings_go_by_priority() -> None:
    """When not all can be served, the urgent routes come first."""
    urgent_service = b"\x01\x00\x12\xc6\xbb\x02"
    running = transparent.ready_balancer(count=1)
    running.take_policy(
        transparent.table(
            2,
            transparent.route(transparent.POOL, priority=2),
            transparent.route(transparent.POOL, service=urgent_service, priority=1),
        )
    )
    running.hear(1, transparent.report(number=2, room=0))
    usual, urgent = _opening(1), _opening(2, urgent_service)
    running.handle(usual)
    running.handle(urgent)
    running.hear(1, transparent.report(number=3, room=1))
    running.tick(0.04)
    assert [packet for packet, _, _ in running.port.forwarded] == [urgent]


def test_openings_that_can_be_answered_in_time_go_before_late_ones() -> None:
    """Under overload a plain queue would answer every caller late."""
    running = transparent.ready_balancer(count=1)
    running.hear(1, transparent.report(number=2, room=0))
    old, young = _opening(1), _opening(2)
    running.handle(old)
    running.tick(0.25)
    running.handle(young)
    running.hear(1, transparent.report(number=3, room=1))
    running.tick(0.01)
    assert [packet for packet, _, _ in running.port.forwarded] == [young]


def test_an_opening_is_not_placed_after_its_caller_gave_up() -> None:
    """A flow that opens too late would be work for nobody."""
    running = transparent.ready_balancer(count=1)
    running.hear(1, transparent.report(number=2, room=0))
    running.handle(_opening(1))
    running.tick(waiting.MAX_WAIT_SECONDS)
    running.hear(1, transparent.report(number=3, room=4))
    running.tick(0.04)
    assert running.port.forwarded == []


def test_a_pool_without_any_upstream_left_refuses_at_once() -> None:
    """What certainly cannot be served is refused, not held."""
    running = transparent.ready_balancer(count=2)
    for number in (1, 2):
        running.hear(
            number,
            transparent.report(number=2, state=messages.UpstreamState.GONE, room=0),
        )
    opening = _opening(1)
    running.handle(opening)
    assert running.port.resets == [opening]


def test_a_full_upstream_refuses_new_flows_and_serves_its_own() -> None:
    """Requests beyond two a slot wait at the balancers, by priority."""
    running = transparent.ready_sidecar()
    running.beat(2, slots=2)
    keys = [transparent.flow(number) for number in range(5)]
    for key in keys[:4]:
        running.open(key)
        running.request(key)
    running.inbound(transparent.packet(keys[4], opening=True))
    assert running.port.refusals() == [messages.Refusal.FULL]
    running.outbound(transparent.packet(keys[0], size=500))
    running.inbound(transparent.packet(keys[4], opening=True))
    assert running.port.refusals() == [messages.Refusal.FULL]
    assert running.port.delivered[-1].flow == keys[4]


def test_requests_that_callers_gave_up_make_no_upstream_full() -> None:
    """After an outage many callers close before their answers come."""
    running = transparent.ready_sidecar()
    for number in range(20):
        key = transparent.flow(number)
        running.open(key)
        running.request(key)
        running.inbound(
            transparent.packet(
                key,
                closing=True,
                sequence=201,
                acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
            )
        )
    assert running.engine.table.running == 0
    assert running.port.refusals() == []


def test_every_balancer_gets_its_part_of_the_room() -> None:
    """Several balancers place at once between two reports, once the slots are used."""
    running = transparent.ready_sidecar()
    running.beat(2, slots=4)
    running.tick(1.0)
    assert running.port.last_report().room == 8
    for number in range(4):
        running.open(transparent.flow(number))
        running.request(transparent.flow(number))
    for number in (2, 3, 4):
        running.greet(transparent.address(number))
    running.tick(1.0)
    assert running.port.last_report().room == 1


def test_copies_of_openings_are_as_old_as_their_first() -> None:
    """After an outage most openings that arrive are copies of old ones."""
    running = transparent.ready_balancer(count=1)
    running.hear(1, transparent.report(number=2, room=0))
    copy = _opening(1)._replace(acknowledgement=2)
    fresh = _opening(2)
    running.handle(copy)
    running.handle(fresh)
    running.hear(1, transparent.report(number=3, room=1))
    running.tick(0.01)
    assert [packet for packet, _, _ in running.port.forwarded] == [fresh]


def test_balancers_of_other_domains_hear_of_load_less_often() -> None:
    """Reports are most of the control bytes between failure domains."""
    running = transparent.ready_sidecar()
    far = transparent.address(9)
    running.greet(far, domain=transparent.OTHER_DOMAIN)
    running.port.told.clear()
    running.open(transparent.flow(1))
    running.tick(0.2)
    assert [host for host, _ in running.port.told] == ["10.0.0.1"]
    running.beat(2, draining=True)
    assert far.host in [host for host, _ in running.port.told]


def test_a_cold_upstream_gets_no_more_than_its_rate() -> None:
    """A rate of 2 a second, times 1.5, and 4 spare flows are 7 in any second."""
    running = transparent.ready_sidecar()
    running.take_policy(transparent.table(2, cold_rate=2.0))
    running.now += guard.COLD_WINDOW_SECONDS
    running.beat(2, cold_seconds=5.0, slots=100)
    for number in range(20):
        running.inbound(transparent.packet(transparent.flow(number), opening=True))
    assert len(running.port.delivered) == 7
    assert set(running.port.refusals()) == {messages.Refusal.COLD}
    running.now += guard.COLD_WINDOW_SECONDS + guard.WINDOW_MARGIN_SECONDS
    running.inbound(transparent.packet(transparent.flow(99), opening=True))
    assert running.port.delivered[-1].flow == transparent.flow(99)


def test_a_restarted_sidecar_takes_the_cold_window_as_used() -> None:
    """It cannot know what its upstream got just before."""
    running = transparent.Sidecar()
    running.take_policy(transparent.table(1, cold_rate=2.0))
    running.beat(1, cold_seconds=5.0)
    running.inbound(transparent.packet(transparent.flow(1), opening=True))
    assert running.port.refusals() == [messages.Refusal.COLD]


def test_upstreams_are_cold_when_their_domain_returns() -> None:
    """Until a heartbeat tells otherwise: they had no load for a while."""
    running = transparent.ready_sidecar()
    running.take_policy(transparent.table(2, domains_out=[transparent.DOMAIN]))
    running.take_policy(transparent.table(3, cold_rate=1.0))
    running.tick(0.0)
    assert running.port.last_report().cold


def test_a_change_of_rotation_does_not_bury_a_balancer_under_its_questions() -> None:
    """All its flows are unknown at once, and no answer comes for a while.

    On guennec-lb-grown a balancer with a sixth of a core asked all 50 sidecars about
    every flow up to ten times and heard no answer for ten seconds.
    """
    running = transparent.ready_balancer(count=50)
    for number in range(300):
        running.handle(
            transparent.packet(
                transparent.flow(number), sequence=1, size=100, acknowledgement=5_001
            )
        )
    candidates, flows = placement.CANDIDATES, balancer.LOOKUPS_AT_ONCE
    assert len(running.port.hosts(packets.Purpose.LOOKUP)) == candidates * flows
    running.tick(0.2)
    assert len(running.port.hosts(packets.Purpose.LOOKUP)) == candidates * flows
    for (packet, host, _), _ in zip(
        list(running.port.forwarded), range(candidates * flows), strict=True
    ):
        sender = int(host.rpartition(".")[2])
        running.hear(sender, messages.FlowHeld(flow=packet.flow))
    running.tick(0.04)
    asked = {packet.flow for packet, _, _ in running.port.forwarded}
    assert len(asked) == 2 * flows


def test_new_flows_go_to_the_least_loaded_upstream() -> None:
    """Requests in progress and open flows both count."""
    running = transparent.ready_balancer(count=3)
    loads = {1: (4, 40), 2: (0, 10), 3: (1, 60)}
    for number, (busy, flows) in loads.items():
        running.hear(number, transparent.report(number=2, running=busy, flows=flows))
    running.handle(_opening(1))
    assert running.port.hosts(packets.Purpose.OPEN) == [transparent.address(2).host]


def test_an_equally_loaded_upstream_in_the_own_domain_is_preferred() -> None:
    """Bytes between failure domains cost callers time."""
    running = transparent.ready_balancer(count=2)
    running.hear(
        1, transparent.report(number=2, domain=transparent.OTHER_DOMAIN, running=1)
    )
    running.hear(2, transparent.report(number=2, running=1))
    running.handle(_opening(1))
    assert running.port.hosts(packets.Purpose.OPEN) == [transparent.address(2).host]


def _fail(site: transparent.Sidecar, key: bytes) -> None:
    """Open a flow, send a request and let the upstream reset it."""
    site.open(key)
    site.request(key)
    site.outbound(transparent.packet(key, aborting=True))


def test_an_upstream_that_resets_its_requests_does_not_attract_flows() -> None:
    """It never has a request in progress, so it would look like the best one."""
    site = transparent.ready_sidecar()
    for number in range(3):
        _fail(site, transparent.flow(number))
    site.tick(0.01)
    assert site.port.last_report().suspect
    running = transparent.ready_balancer(count=2)
    running.hear(1, transparent.report(number=2, suspect=True, room=100))
    running.hear(2, transparent.report(number=2, running=3, room=100))
    for number in range(20):
        running.handle(_opening(number))
    assert set(running.port.hosts(packets.Purpose.OPEN)) == {"10.0.1.2"}


def test_a_few_resets_among_many_answers_change_nothing() -> None:
    """A busy upstream has single faults."""
    site = transparent.ready_sidecar()
    for number in range(100, 120):
        key = transparent.flow(number)
        site.open(key)
        site.request(key)
        site.outbound(transparent.packet(key, size=500))
    for number in range(3):
        _fail(site, transparent.flow(number))
    site.tick(0.01)
    assert not site.port.last_report().suspect


def test_an_upstream_that_crashes_again_and_again_gets_no_new_flows() -> None:
    """Each start would take new flows, and each crash would break them."""
    site = transparent.ready_sidecar()
    for start in range(2, 6):
        site.tick(0.7)
        sidecar.handle_refusal(site.engine, now=site.now)
        site.tick(0.7)
        site.beat(1, born=1_000 * start)
        is_pattern = start >= 3
        assert site.port.last_report().suspect is is_pattern
    site.tick(faults.LAST_HOLD_SECONDS)
    assert not site.port.last_report().suspect


def test_a_single_crash_and_planned_ends_are_no_pattern() -> None:
    """Releases replace each upstream of a pool, one after the other."""
    site = transparent.ready_sidecar()
    sidecar.handle_refusal(site.engine, now=site.now)
    for start in range(2, 5):
        site.beat(1, born=1_000 * start)
        site.beat(2, born=1_000 * start, draining=True)
        site.tick(0.5)
        sidecar.handle_refusal(site.engine, now=site.now)
        site.tick(sidecar.LEAVE_SECONDS)
    site.beat(1, born=9_000)
    assert not site.port.last_report().suspect


def test_suspects_serve_where_there_is_no_other() -> None:
    """A fault that all share is no reason to serve nobody."""
    running = transparent.ready_balancer(count=2)
    for number in (1, 2):
        running.hear(number, transparent.report(number=2, suspect=True))
    running.handle(_opening(1))
    assert len(running.port.hosts(packets.Purpose.OPEN)) == 1


def test_an_upstream_that_fails_again_is_avoided_for_longer() -> None:
    """Each probe of a bad upstream costs its callers a request."""
    record = faults.Record()
    held: list[float] = []
    now = 0.0
    for _ in range(4):
        for _ in range(faults.MIN_CUTS):
            faults.note_cut(record, now=now)
        held.append(record.avoided_until - now)
        now = record.avoided_until + 0.1
    assert held == pytest.approx([2.0, 4.0, 8.0, 8.0])
