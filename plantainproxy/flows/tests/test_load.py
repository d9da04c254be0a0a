"""Tests of overload: queueing, refusal and placement of new flows.

The engines run without a network. Each test covers one load pattern.
"""

import pytest

from plantainproxy import _types
from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import (
    admission,
    balancer_state,
    outlier_detection,
    placement,
    sidecar,
    sidecar_reports,
    upstream_events,
    waiting,
)
from testbed import recovery_site, transparent


def _opening(number: int, service: bytes = transparent.SERVICE) -> packets.Packet:
    return transparent.make_packet(transparent.flow_key(number, service), opening=True)


def test_mass_reconnect_beyond_the_upstreams_room_waits() -> None:
    """All callers reconnect after a restart; excess openings wait for a report."""
    harness = transparent.ready_balancer(count=2)
    for number in (1, 2):
        harness.handle_message(number, transparent.make_report(number=2, room=3))
    for number in range(10):
        harness.handle_packet(_opening(number))
    assert len(harness.port.hosts(packets.Purpose.OPEN)) == 6
    assert harness.port.resets == []
    harness.handle_message(1, transparent.make_report(number=3, room=2))
    harness.tick(0.04)
    assert len(harness.port.hosts(packets.Purpose.OPEN)) == 8


def test_waiting_openings_go_by_priority() -> None:
    """If capacity is short, routes with a more urgent priority are placed first."""
    urgent_service = b"\x01\x00\x12\xc6\xbb\x02"
    harness = transparent.ready_balancer(count=1)
    harness.apply_policy(
        transparent.make_policy(
            2,
            transparent.make_route(transparent.POOL, priority=2),
            transparent.make_route(
                transparent.POOL, service=urgent_service, priority=1
            ),
        )
    )
    harness.handle_message(1, transparent.make_report(number=2, room=0))
    normal, urgent = _opening(1), _opening(2, urgent_service)
    harness.handle_packet(normal)
    harness.handle_packet(urgent)
    harness.handle_message(1, transparent.make_report(number=3, room=1))
    harness.tick(0.04)
    assert harness.placed() == [urgent]


def test_openings_that_can_be_answered_in_time_go_before_late_ones() -> None:
    """Under overload a FIFO queue would answer every caller late."""
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(1, transparent.make_report(number=2, room=0))
    old, recent = _opening(1), _opening(2)
    harness.handle_packet(old)
    harness.tick(0.25)
    harness.handle_packet(recent)
    harness.handle_message(1, transparent.make_report(number=3, room=1))
    harness.tick(0.01)
    assert harness.placed() == [recent]


def test_an_opening_is_not_placed_after_its_caller_timed_out() -> None:
    """A flow opened after its caller timed out would only waste capacity."""
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(1, transparent.make_report(number=2, room=0))
    harness.handle_packet(_opening(1))
    harness.tick(waiting.MAX_WAIT_SECONDS)
    harness.handle_message(1, transparent.make_report(number=3, room=4))
    harness.tick(0.04)
    assert harness.port.forwarded == []


def test_a_pool_without_any_upstream_left_refuses_at_once() -> None:
    """Openings that no upstream can serve soon are refused instead of queued."""
    harness = transparent.ready_balancer(count=2)
    for number in (1, 2):
        harness.handle_message(
            number,
            transparent.make_report(
                number=2, state=messages.UpstreamState.GONE, room=0
            ),
        )
    opening = _opening(1)
    harness.handle_packet(opening)
    assert harness.port.resets == [opening]


def test_a_full_upstream_refuses_new_flows_and_serves_established_ones() -> None:
    """Requests beyond two per slot are queued at the balancers, by priority."""
    harness = transparent.ready_sidecar()
    harness.handle_heartbeat(2, slots=2)
    keys = [transparent.flow_key(number) for number in range(5)]
    for key in keys[:4]:
        harness.open(key)
        harness.request(key)
    harness.handle_inbound(transparent.make_packet(keys[4], opening=True))
    assert harness.port.refusals() == [messages.Refusal.FULL]
    harness.handle_outbound(transparent.make_packet(keys[0], size=500))
    harness.handle_inbound(transparent.make_packet(keys[4], opening=True))
    assert harness.port.refusals() == [messages.Refusal.FULL]
    assert harness.port.delivered[-1].flow == keys[4]


def test_requests_closed_by_callers_do_not_count_as_running() -> None:
    """After an outage many callers close their flows before the answers arrive."""
    harness = transparent.ready_sidecar()
    for number in range(20):
        key = transparent.flow_key(number)
        harness.open(key)
        harness.request(key)
        harness.handle_inbound(
            transparent.make_packet(
                key,
                closing=True,
                sequence=201,
                acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
            )
        )
    assert harness.engine.table.running_requests == 0
    assert harness.port.refusals() == []


def test_reports_divide_the_room_among_balancers() -> None:
    """Once all slots are in use, each balancer may use only its share of the room."""
    harness = transparent.ready_sidecar()
    harness.handle_heartbeat(2, slots=4)
    harness.tick(1.0)
    assert harness.port.last_report().room == 8
    for number in range(4):
        harness.open(transparent.flow_key(number))
        harness.request(transparent.flow_key(number))
    for number in (2, 3, 4):
        harness.handle_report_request(transparent.address(number))
    harness.tick(1.0)
    assert harness.port.last_report().room == 1


def test_reports_divide_the_room_among_the_balancers_of_all_domains() -> None:
    """Balancers of other domains get the same reports from relays.

    Pattern: everything restarts, and the openings of all domains queue for the few
    upstreams with room. On dcd-hobart a domain has one or two of the five balancers.
    """
    harness = transparent.ready_sidecar()
    for number in range(4):
        harness.open(transparent.flow_key(number))
        harness.request(transparent.flow_key(number))
    for number in (2, 3):
        harness.handle_report_request(
            transparent.address(number),
            domain=transparent.OTHER_DOMAIN,
            subscribes=False,
        )
    harness.handle_inbound(
        transparent.make_packet(
            transparent.flow_key(99), opening=True, balancer="10.0.9.9"
        )
    )
    harness.tick(1.0)
    assert harness.port.last_report().room == 1
    harness.tick(sidecar_reports.SUBSCRIPTION_TIMEOUT_SECONDS)
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert harness.engine.balancers_seen == {}


def test_retransmitted_openings_are_aged_from_the_first_one() -> None:
    """After an outage most openings that arrive are retransmissions of old ones."""
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(1, transparent.make_report(number=2, room=0))
    retransmission = _opening(1)._replace(acknowledgement=2)
    fresh = _opening(2)
    harness.handle_packet(retransmission)
    harness.handle_packet(fresh)
    harness.handle_message(1, transparent.make_report(number=3, room=1))
    harness.tick(0.01)
    assert harness.placed() == [fresh]


def test_balancers_of_other_domains_get_load_reports_less_often() -> None:
    """Balancers subscribe to other domains if their own one has no relay."""
    harness = transparent.ready_sidecar()
    remote_balancer = transparent.address(9)
    harness.handle_report_request(remote_balancer, domain=transparent.OTHER_DOMAIN)
    harness.port.sent_messages.clear()
    harness.open(transparent.flow_key(1))
    harness.tick(0.2)
    assert [host for host, _ in harness.port.sent_messages] == ["10.0.0.1"]
    harness.handle_heartbeat(2, draining=True)
    assert remote_balancer.host in [host for host, _ in harness.port.sent_messages]


def test_a_balancer_that_does_not_subscribe_gets_one_report() -> None:
    """Reports were most of the control traffic between failure domains.

    Changes of load and state reach other domains through relays: on trbsl-lb-large 59
    balancers subscribed to 136 sidecars each, four fifths of them in other domains.
    """
    harness = transparent.ready_sidecar()
    remote_balancer = transparent.address(9)
    harness.port.sent_messages.clear()
    harness.handle_report_request(
        remote_balancer, domain=transparent.OTHER_DOMAIN, subscribes=False
    )
    assert [host for host, _ in harness.port.sent_messages] == [remote_balancer.host]
    harness.port.sent_messages.clear()
    harness.open(transparent.flow_key(1))
    harness.tick(0.2)
    harness.handle_heartbeat(2, draining=True)
    harness.tick(1.0)
    assert {host for host, _ in harness.port.sent_messages} == {"10.0.0.1"}


def test_relays_named_by_a_balancer_get_reports_until_no_longer_named() -> None:
    """A saturated upstream reports its room to relays as often as to balancers.

    Balancers of other domains may have callers that wait for it.
    """
    harness = transparent.ready_sidecar()
    relay = transparent.address(8)
    harness.handle_report_request(
        _types.Address("10.0.0.1", transparent.MESSAGE_PORT), relays=(relay.host,)
    )
    for number in range(4):
        harness.open(transparent.flow_key(number))
        harness.request(transparent.flow_key(number))
    harness.tick(sidecar_reports.LOAD_REPORT_INTERVAL_SECONDS)
    harness.port.sent_messages.clear()
    for number in range(10):
        harness.open(transparent.flow_key(10 + number))
        harness.tick(sidecar_reports.SATURATED_REPORT_INTERVAL_SECONDS)
    hosts = [host for host, _ in harness.port.sent_messages]
    assert hosts.count("10.0.0.1") == 10
    assert hosts.count(relay.host) == 10
    harness.tick(sidecar_reports.SHORT_SUBSCRIPTION_TIMEOUT_SECONDS)
    sidecar.evict_expired(harness.engine, now=harness.now)
    harness.port.sent_messages.clear()
    harness.tick(1.0)
    assert {host for host, _ in harness.port.sent_messages} == {"10.0.0.1"}


def test_a_cold_upstream_gets_no_more_than_its_rate() -> None:
    """2 flows/s times the factor 1.5, plus 4 spare flows, allow 7 in any second."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_policy(2, cold_rate=2.0))
    harness.now += admission.COLD_WINDOW_SECONDS
    harness.handle_heartbeat(2, cold_seconds=5.0, slots=100)
    for number in range(20):
        harness.handle_inbound(
            transparent.make_packet(transparent.flow_key(number), opening=True)
        )
    assert len(harness.port.delivered) == 7
    assert set(harness.port.refusals()) == {messages.Refusal.COLD}
    harness.now += admission.COLD_WINDOW_SECONDS + admission.WINDOW_MARGIN_SECONDS
    harness.handle_inbound(
        transparent.make_packet(transparent.flow_key(99), opening=True)
    )
    assert harness.port.delivered[-1].flow == transparent.flow_key(99)


def test_a_restarted_sidecar_assumes_the_cold_window_is_used_up() -> None:
    """The flows opened before the restart are not counted."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1, cold_rate=2.0))
    harness.handle_heartbeat(1, cold_seconds=5.0)
    harness.handle_inbound(
        transparent.make_packet(transparent.flow_key(1), opening=True)
    )
    assert harness.port.refusals() == [messages.Refusal.COLD]


def test_upstreams_are_cold_when_their_domain_returns() -> None:
    """They had no load for a while, so they count as cold until the next heartbeat."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_policy(2, domains_out=[transparent.DOMAIN]))
    harness.apply_policy(transparent.make_policy(3, cold_rate=1.0))
    harness.tick(0.0)
    assert harness.port.last_report().cold


def test_a_change_of_rotation_does_not_exceed_the_active_lookup_limit() -> None:
    """All flows need a lookup at once, and no answer arrives for a while.

    On guennec-lb-grown a balancer with a sixth of a core queried all 50 sidecars about
    every flow up to ten times and received no answer for ten seconds.
    """
    harness = transparent.ready_balancer(count=50)
    for number in range(300):
        harness.handle_packet(
            transparent.make_packet(
                transparent.flow_key(number),
                sequence=1,
                size=100,
                acknowledgement=5_001,
            )
        )
    candidates, lookups = (
        placement.CANDIDATES_PER_POOL,
        balancer_state.MAX_ACTIVE_LOOKUPS,
    )
    assert len(harness.port.hosts(packets.Purpose.LOOKUP)) == candidates * lookups
    harness.tick(0.2)
    assert len(harness.port.hosts(packets.Purpose.LOOKUP)) == candidates * lookups
    for (packet, host, _), _ in zip(
        list(harness.port.forwarded), range(candidates * lookups), strict=True
    ):
        sender = int(host.rpartition(".")[2])
        harness.handle_message(sender, messages.FlowHeld(flow=packet.flow))
    harness.tick(0.04)
    queried_flows = {packet.flow for packet, _, _ in harness.port.forwarded}
    assert len(queried_flows) == 2 * lookups


def test_callers_of_ended_flows_cost_few_bytes_after_a_loss_of_power() -> None:
    """Each request on a flow whose upstream has ended is looked up at all sidecars.

    Pattern: power is back, and callers send on flows of before. A lookup that sent the
    request to all 64 sidecars took 60 kB of a link of 5 to 10 Mbit/s, and two fifths of
    the bytes between domains on trouble-1 of trbsl-lb-now-grown.
    """
    harness = transparent.ready_balancer(count=60)
    for number in range(1, 61):
        if number % 3:
            report = transparent.make_report(number=2, domain=transparent.OTHER_DOMAIN)
            harness.handle_message(number, report)
    request = transparent.make_packet(
        transparent.flow_key(1), sequence=1, size=900, acknowledgement=5_001
    )
    harness.handle_packet(request)
    handled_count = 0
    while handled_count < len(harness.port.forwarded):
        _, host, _ = harness.port.forwarded[handled_count]
        handled_count += 1
        sender = int(host.rpartition(".")[2])
        harness.handle_message(sender, messages.FlowNotHeld(flow=request.flow))
    assert handled_count == 60
    assert harness.port.resets == [request]
    with_payload = harness.port.hosts(packets.Purpose.LOOKUP)
    assert len(with_payload) <= 2 * placement.CANDIDATES_PER_POOL
    assert all(int(host.rpartition(".")[2]) % 3 == 0 for host in with_payload)


def test_flows_are_found_with_one_query_after_a_restart_of_all_processes() -> None:
    """All processes are killed at once, and the upstreams live on.

    Pattern: every flow needs a lookup, and no sidecar knows its flows. On trouble-3 of
    dcd-hobart-grown the lookups sent 28 to 87 MB between domains, and callers on links
    of 5 to 10 Mbit/s waited up to three seconds.
    """
    harness = transparent.ready_balancer(count=50)
    flows = [transparent.flow_key(number) for number in range(40)]
    holders = {flow: 1 + index % 50 for index, flow in enumerate(flows)}
    harness.engine.hints = {
        flow: transparent.address(holder) for flow, holder in holders.items()
    }
    for flow in flows:
        harness.handle_packet(
            transparent.make_packet(flow, sequence=1, size=300, acknowledgement=5_001)
        )
    queried = [packet.flow for packet, _, _ in harness.port.forwarded]
    assert sorted(queried) == sorted(flows)
    for flow, holder in holders.items():
        harness.handle_message(holder, messages.FlowHeld(flow=flow))
    assert not harness.engine.lookups
    assert len(harness.port.forwarded) == len(flows)


def test_new_flows_go_to_the_least_loaded_upstream() -> None:
    """The load includes requests in progress and open flows."""
    harness = transparent.ready_balancer(count=3)
    loads = {1: (4, 40), 2: (0, 10), 3: (1, 60)}
    for number, (running, flows) in loads.items():
        harness.handle_message(
            number, transparent.make_report(number=2, running=running, flows=flows)
        )
    harness.handle_packet(_opening(1))
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(2).host]


def test_an_equally_loaded_upstream_in_the_same_domain_is_preferred() -> None:
    """Traffic between failure domains adds latency for callers."""
    harness = transparent.ready_balancer(count=2)
    harness.handle_message(
        1, transparent.make_report(number=2, domain=transparent.OTHER_DOMAIN, running=1)
    )
    harness.handle_message(2, transparent.make_report(number=2, running=1))
    harness.handle_packet(_opening(1))
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(2).host]


def _reset_request(harness: transparent.SidecarHarness, key: bytes) -> None:
    """Open a flow, send a request and let the upstream reset it."""
    harness.open(key)
    harness.request(key)
    harness.handle_outbound(transparent.make_packet(key, aborting=True))


def test_an_upstream_that_resets_its_requests_does_not_attract_flows() -> None:
    """Such an upstream has no requests in progress, so it seems the least loaded."""
    sidecar_harness = transparent.ready_sidecar()
    for number in range(3):
        _reset_request(sidecar_harness, transparent.flow_key(number))
    sidecar_harness.tick(0.01)
    assert sidecar_harness.port.last_report().suspect
    balancer_harness = transparent.ready_balancer(count=2)
    balancer_harness.handle_message(
        1, transparent.make_report(number=2, suspect=True, room=100)
    )
    balancer_harness.handle_message(
        2, transparent.make_report(number=2, running=3, room=100)
    )
    for number in range(20):
        balancer_harness.handle_packet(_opening(number))
    assert set(balancer_harness.port.hosts(packets.Purpose.OPEN)) == {"10.0.1.2"}


def test_a_few_resets_among_many_answers_change_nothing() -> None:
    """Isolated failures of a busy upstream do not mark it as suspect."""
    harness = transparent.ready_sidecar()
    for number in range(100, 120):
        key = transparent.flow_key(number)
        harness.open(key)
        harness.request(key)
        harness.handle_outbound(transparent.make_packet(key, size=500))
    for number in range(3):
        _reset_request(harness, transparent.flow_key(number))
    harness.tick(0.01)
    assert not harness.port.last_report().suspect


def test_an_upstream_that_crashes_again_and_again_gets_no_new_flows() -> None:
    """Each restart would attract new flows, and each crash would break them."""
    harness = transparent.ready_sidecar()
    for start in range(2, 6):
        harness.tick(0.7)
        upstream_events.handle_connection_refused(harness.engine, now=harness.now)
        harness.tick(0.7)
        harness.handle_heartbeat(1, born=1_000 * start)
        is_repeated = start >= 3
        assert harness.port.last_report().suspect is is_repeated
    harness.tick(outlier_detection.MAX_EJECTION_SECONDS)
    assert not harness.port.last_report().suspect


def test_a_single_crash_and_planned_stops_do_not_make_an_upstream_suspect() -> None:
    """A release replaces the upstreams of a pool one after the other."""
    harness = transparent.ready_sidecar()
    upstream_events.handle_connection_refused(harness.engine, now=harness.now)
    for start in range(2, 5):
        harness.handle_heartbeat(1, born=1_000 * start)
        harness.handle_heartbeat(2, born=1_000 * start, draining=True)
        harness.tick(0.5)
        upstream_events.handle_connection_refused(harness.engine, now=harness.now)
        harness.tick(upstream_events.EXIT_GRACE_SECONDS)
    harness.handle_heartbeat(1, born=9_000)
    assert not harness.port.last_report().suspect


def test_suspect_upstreams_serve_if_there_are_no_others() -> None:
    """If all upstreams are suspect, new flows are still placed."""
    harness = transparent.ready_balancer(count=2)
    for number in (1, 2):
        harness.handle_message(number, transparent.make_report(number=2, suspect=True))
    harness.handle_packet(_opening(1))
    assert len(harness.port.hosts(packets.Purpose.OPEN)) == 1


def test_an_upstream_that_fails_again_is_avoided_for_longer() -> None:
    """Each new attempt on a failing upstream costs callers a request."""
    detector = outlier_detection.OutlierDetector()
    ejection_seconds: list[float] = []
    now = 0.0
    for _ in range(4):
        for _ in range(outlier_detection.MIN_RESETS):
            outlier_detection.record_reset(detector, now=now)
        ejection_seconds.append(detector.ejected_until - now)
        now = detector.ejected_until + 0.1
    assert ejection_seconds == pytest.approx([2.0, 4.0, 8.0, 8.0])


def test_late_openings_get_only_free_slots() -> None:
    """Late requests ahead of new ones made these late as well, for seconds.

    Pattern: everything restarts. The openings of the outage fill the room beyond the
    slots, and each new request waits behind them until it is late, too.
    """
    harness = transparent.ready_balancer(count=1)
    busy = transparent.make_report(number=2, running=4, slots=4, room=4)
    harness.handle_message(1, busy)
    late, fresh = _opening(1)._replace(acknowledgement=2), _opening(2)
    harness.handle_packet(late)
    harness.handle_packet(fresh)
    assert harness.placed() == [fresh]
    free = transparent.make_report(number=3, running=3, slots=4, room=5)
    harness.handle_message(1, free)
    harness.tick(0.01)
    assert harness.placed() == [fresh, late]


def test_a_sidecar_has_only_free_slots_for_late_openings() -> None:
    """Several balancers see the same free slot, and one of them comes too late."""
    harness = transparent.ready_sidecar()
    harness.handle_heartbeat(2, slots=2)
    for number in range(2):
        harness.open(transparent.flow_key(number))
        harness.request(transparent.flow_key(number))
    late = transparent.make_packet(transparent.flow_key(7), opening=True)
    late = late._replace(waited_seconds=0.9)
    fresh = transparent.make_packet(transparent.flow_key(8), opening=True)
    harness.handle_inbound(late)
    assert harness.port.refusals() == [messages.Refusal.FULL]
    harness.handle_inbound(fresh)
    assert harness.port.delivered[-1].flow == fresh.flow
    for number in range(2):
        answer = transparent.make_packet(transparent.flow_key(number), size=500)
        harness.handle_outbound(answer)
    harness.handle_inbound(late)
    assert harness.port.delivered[-1].flow == late.flow


def test_the_objective_counts_from_the_first_opening_packet_of_the_caller() -> None:
    """A request that waited at a balancer must not pass as a new one at the sidecar."""
    harness = transparent.ready_sidecar()
    key = transparent.flow_key(1)
    opening = transparent.make_packet(key, opening=True)
    harness.handle_inbound(opening._replace(waited_seconds=0.9))
    flow = harness.engine.table.flows[key]
    assert flow.first_sent_at is not None
    assert harness.now - flow.first_sent_at == pytest.approx(0.9)


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_requests_after_a_mass_restart_are_answered_on_time(seed: int) -> None:
    """Of those sent in the two seconds after it, half were late for want of an order.

    Pattern: all processes and upstreams lose power for 1.7 s. Upstreams are cold, and
    the callers of the outage repeat their openings. The users' target for these seconds
    is a share of 0.75.
    """
    outage = recovery_site.Outage(sidecars_seconds=1.7, balancers_seconds=2.0)
    site = recovery_site.Site(outage=outage, seed=seed)
    site.run_outage(6.0)
    returned = outage.balancers_seconds
    assert site.on_time_share(returned, returned + 2.0) >= 0.75


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_every_caller_of_a_mass_restart_gets_an_answer(seed: int) -> None:
    """Late requests that always leave room to others run out of attempts.

    Pattern: as above. No caller may be left without an answer while upstreams have more
    slots than new requests need.
    """
    outage = recovery_site.Outage(sidecars_seconds=1.0, balancers_seconds=1.2)
    site = recovery_site.Site(outage=outage, seed=seed)
    site.run_outage(11.0)
    unanswered = [
        request
        for request in site.requests
        if 0 <= request.sent_at - site.lost_power_at < 6.0
        and request.answered_at is None
    ]
    assert unanswered == []


def test_an_opening_that_is_about_to_expire_is_placed_like_a_new_one() -> None:
    """Its caller may be at its last attempt."""
    harness = transparent.ready_balancer(count=1)
    busy = transparent.make_report(number=2, running=4, slots=4, room=4)
    harness.handle_message(1, busy)
    late = _opening(1)._replace(acknowledgement=2)
    harness.handle_packet(late)
    harness.run_for(0.55)
    assert harness.placed() == []
    harness.run_for(0.1)
    assert harness.placed() == [late]
