"""Tests of the balancer engine: destinations of packets, and resets of flows."""

from collections import abc

import msgspec
import pytest

from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import balancer, balancer_state, lookup, upstreams
from testbed import transparent

KEY = transparent.flow_key(1)
OPENING = transparent.make_packet(KEY, opening=True)
DATA = transparent.make_packet(KEY, sequence=1, size=100, acknowledgement=5_001)


def _report_only(
    harness: transparent.BalancerHarness, numbers: abc.Iterable[int], seconds: float
) -> None:
    """Advance the time while only some sidecars report."""
    for _ in range(int(seconds / 0.5)):
        harness.run_for(0.5)
        for number in numbers:
            harness.handle_message(
                number, transparent.make_report(number=int(harness.now * 100))
            )


def test_later_packets_follow_the_opening() -> None:
    """The placement of the flow is cached."""
    harness = transparent.ready_balancer()
    harness.handle_packet(OPENING)
    harness.handle_packet(DATA)
    (opened,) = harness.port.hosts(packets.Purpose.OPEN)
    assert harness.port.hosts(packets.Purpose.FORWARD) == [opened]


def test_a_copy_of_an_opening_goes_to_another_upstream() -> None:
    """A retransmission shows that the first upstream did not accept within 200 ms."""
    harness = transparent.ready_balancer()
    harness.handle_packet(OPENING)
    harness.handle_packet(OPENING._replace(acknowledgement=1))
    first, second = harness.port.hosts(packets.Purpose.OPEN)
    assert first != second


def test_an_unknown_service_address_is_reset() -> None:
    """A service address without a route cannot be served."""
    harness = transparent.ready_balancer()
    unrouted = transparent.make_packet(
        transparent.flow_key(1, b"\x09" * 6), opening=True
    )
    harness.handle_packet(unrouted)
    assert harness.port.resets == [unrouted]


def test_an_abort_is_never_answered() -> None:
    """A reset must not trigger another reset."""
    harness = transparent.ready_balancer()
    harness.handle_packet(
        transparent.make_packet(transparent.flow_key(1, b"\x09" * 6), aborting=True)
    )
    assert harness.port.resets == []


def test_forged_packets_are_dropped() -> None:
    """Callers never send accepting or returned packets."""
    harness = transparent.ready_balancer()
    harness.handle_packet(transparent.make_packet(KEY, accepting=True))
    harness.handle_packet(transparent.make_packet(KEY, returned=True))
    assert harness.port.forwarded == []


def test_a_refused_opening_is_placed_elsewhere() -> None:
    """The refusal stays invisible to the caller."""
    harness = transparent.ready_balancer()
    harness.handle_packet(OPENING)
    first = harness.port.hosts(packets.Purpose.OPEN)[0]
    number = int(first.rpartition(".")[2])
    harness.handle_returned_packet(number, OPENING, messages.Refusal.DRAINING)
    assert harness.port.hosts(packets.Purpose.OPEN)[1] != first


def test_an_unknown_flow_is_looked_up_and_found() -> None:
    """After a change of the rotation, packets of a flow may reach another balancer."""
    harness = transparent.ready_balancer()
    harness.handle_packet(DATA)
    assert len(harness.port.hosts(packets.Purpose.LOOKUP)) == 3
    assert harness.engine.log.counters["lookup.queries"] == 3
    assert harness.engine.log.counters["lookup.payloads"] == 3
    second = DATA._replace(sequence=101)
    harness.handle_packet(second)
    harness.handle_message(2, messages.FlowHeld(flow=KEY))
    assert harness.port.forwarded[-1] == (
        second,
        transparent.address(2).host,
        packets.Purpose.FORWARD,
    )
    harness.handle_packet(DATA._replace(sequence=201))
    assert (
        harness.port.hosts(packets.Purpose.FORWARD) == [transparent.address(2).host] * 2
    )


def test_a_flow_that_no_sidecar_holds_is_reset() -> None:
    """The reset spares the caller the wait for its deadline."""
    harness = transparent.ready_balancer()
    harness.handle_packet(DATA)
    for number in (1, 2, 3):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def test_a_flow_is_not_reset_while_an_answer_is_missing() -> None:
    """The silent sidecar may hold the flow, and a reset would break it."""
    harness = transparent.ready_balancer()
    harness.handle_packet(DATA)
    for number in (1, 2):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    for _ in range(int(lookup.TIMEOUT_SECONDS / lookup.MAX_QUERY_RETRY_SECONDS) + 2):
        harness.run_for(lookup.MAX_QUERY_RETRY_SECONDS)
        for number in (1, 2, 3):
            harness.handle_message(
                number, transparent.make_report(number=int(harness.now * 100))
            )
    assert harness.port.resets == []
    assert harness.engine.lookups == {}


def test_idempotent_flows_use_the_shorter_loss_timeout() -> None:
    """Callers can retry idempotent requests elsewhere; other flows wait for longer."""
    for kind, resets in (
        (policy.RouteKind.IDEMPOTENT, 1),
        (policy.RouteKind.NON_IDEMPOTENT, 0),
    ):
        harness = transparent.ready_balancer()
        default_route = transparent.make_route(transparent.POOL)
        harness.apply_policy(
            transparent.make_policy(
                2, msgspec.structs.replace(default_route, kind=kind)
            )
        )
        _report_only(harness, (1, 2), upstreams.SHORT_LOSS_TIMEOUT_SECONDS + 0.5)
        harness.handle_packet(DATA)
        for number in (1, 2):
            harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
        assert len(harness.port.resets) == resets


def test_no_reset_just_after_a_process_pause() -> None:
    """Reports missed during the pause do not show that a sidecar is gone."""
    harness = transparent.ready_balancer()
    harness.tick(0.04)
    harness.tick(upstreams.LOSS_TIMEOUT_SECONDS)
    for number in (1, 2):
        harness.handle_message(number, transparent.make_report(number=2))
    harness.handle_packet(DATA)
    for number in (1, 2):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == []


def test_no_reset_before_any_sidecar_has_reported() -> None:
    """In a partition since the start, no report shows which sidecars are gone."""
    harness = transparent.BalancerHarness()
    harness.apply_registrations(1, 2, 3)
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_packet(DATA)
    harness.run_for(upstreams.LIST_LAG_SECONDS + lookup.TIMEOUT_SECONDS)
    harness.handle_packet(DATA)
    harness.run_for(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_no_reset_just_after_a_network_partition() -> None:
    """Reports resume one after the other, and the flow's holder may be the last."""
    harness = transparent.ready_balancer(count=4)
    harness.run_for(upstreams.LOSS_TIMEOUT_SECONDS + 0.1)
    for number in (1, 2, 3):
        harness.handle_message(number, transparent.make_report(number=2))
    harness.handle_packet(DATA)
    for number in (1, 2, 3):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == []


def test_a_sidecar_that_left_with_its_upstream_is_not_asked_for_reports() -> None:
    """Every balancer asked each replaced sidecar ten times a second for two seconds.

    Pattern: the upstreams of a service are replaced in series of 3 to 8. One that is
    still listed may only have been restarted, and is asked.
    """
    harness = transparent.ready_balancer()
    for number in (1, 2):
        report = transparent.make_report(
            number=2, stopping=True, state=messages.UpstreamState.GONE
        )
        harness.handle_message(number, report)
    harness.apply_registrations(2, 3)
    view = harness.engine.view
    harness.now += upstreams.RELAYED_REPORT_OVERDUE_SECONDS
    assert upstreams.overdue_sidecars(view, now=harness.now) == [
        transparent.address(2),
        transparent.address(3),
    ]


def test_an_overdue_sidecar_is_asked_for_reports_until_it_is_lost() -> None:
    """A restarted sidecar has no list of balancers, and the store may be unavailable.

    Found by a randomised run on trbsl-lb.
    """
    harness = transparent.ready_balancer(count=2)
    harness.run_for(0.5)
    harness.handle_message(1, transparent.make_report(number=2))
    harness.run_for(0.5)
    view = harness.engine.view
    assert upstreams.overdue_sidecars(view, now=harness.now) == [transparent.address(2)]
    harness.run_for(upstreams.LOSS_TIMEOUT_SECONDS)
    assert upstreams.overdue_sidecars(view, now=harness.now) == []


def test_unlisted_sidecars_do_not_count_as_silent() -> None:
    """After a release most sidecars that ever reported have stopped for good."""
    harness = transparent.ready_balancer(count=3)
    harness.apply_registrations(3)
    for _ in range(12):
        harness.run_for(1.0)
        harness.handle_message(
            3, transparent.make_report(number=int(harness.now * 100))
        )
    harness.handle_packet(DATA)
    harness.handle_message(3, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def test_a_lost_sidecar_does_not_delay_a_reset() -> None:
    """Every live upstream has answered that it does not hold the flow."""
    harness = transparent.ready_balancer()
    _report_only(harness, (1, 2), upstreams.LOSS_TIMEOUT_SECONDS + 0.5)
    harness.handle_packet(DATA)
    for number in (1, 2):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def _stop_sidecar(
    harness: transparent.BalancerHarness,
    state: messages.UpstreamState = messages.UpstreamState.READY,
) -> None:
    """Let the third sidecar announce a planned stop."""
    report = transparent.make_report(number=2, stopping=True, state=state)
    harness.handle_message(3, report)


def _resets_while_silent(harness: transparent.BalancerHarness, seconds: float) -> int:
    """Return the resets after a silence of the third sidecar; the others deny."""
    _report_only(harness, (1, 2), seconds)
    harness.handle_packet(DATA)
    for number in (1, 2):
        harness.handle_message(number, messages.FlowNotHeld(flow=KEY))
    return len(harness.port.resets)


@pytest.mark.parametrize(
    "state", [messages.UpstreamState.READY, messages.UpstreamState.DRAINING]
)
def test_no_reset_while_a_sidecar_restarts_as_planned(
    state: messages.UpstreamState,
) -> None:
    """Guards against resets of flows that the upstream beside it still holds.

    Pattern: sidecars are stopped and started in turn, each in more than 1.6 s.
    """
    harness = transparent.ready_balancer()
    _stop_sidecar(harness, state)
    silence = upstreams.LOSS_TIMEOUT_SECONDS + 1.0
    assert _resets_while_silent(harness, silence) == 0
    harness.handle_message(3, transparent.make_report(boot=2))
    harness.run_for(lookup.MAX_QUERY_RETRY_SECONDS)
    restarted = transparent.address(3).host
    assert harness.port.hosts(packets.Purpose.QUERY)[-1] == restarted
    assert restarted not in harness.port.hosts(packets.Purpose.LOOKUP)
    harness.handle_message(3, messages.FlowHeld(flow=KEY))
    assert harness.port.forwarded[-1] == (DATA, restarted, packets.Purpose.FORWARD)
    assert harness.port.resets == []


def test_a_flow_stays_with_a_sidecar_that_restarts_as_planned() -> None:
    """Guards against a search at all sidecars, which cannot find the flow."""
    harness = transparent.ready_balancer()
    harness.engine.flows[KEY] = balancer_state.CachedFlow(
        transparent.address(3), harness.now, harness.now
    )
    _stop_sidecar(harness)
    _report_only(harness, (1, 2), upstreams.LOSS_TIMEOUT_SECONDS + 1.0)
    harness.handle_packet(DATA)
    assert harness.engine.lookups == {}
    assert harness.port.hosts(packets.Purpose.FORWARD) == [transparent.address(3).host]


def test_a_sidecar_that_does_not_return_from_a_planned_stop_is_lost() -> None:
    """Guards against callers who wait for a machine that was removed."""
    harness = transparent.ready_balancer()
    _stop_sidecar(harness)
    silence = upstreams.RESTART_TIMEOUT_SECONDS + 0.5
    assert _resets_while_silent(harness, silence) == 1


@pytest.mark.parametrize(
    "state", [messages.UpstreamState.DRAINING, messages.UpstreamState.GONE]
)
def test_a_sidecar_that_left_with_its_upstream_is_lost_as_any_other(
    state: messages.UpstreamState,
) -> None:
    """Guards against callers who wait for an upstream that has ended.

    Pattern: the upstreams of a service are replaced in series.
    """
    harness = transparent.ready_balancer()
    _stop_sidecar(harness, state)
    harness.apply_registrations(1, 2)
    silence = upstreams.SHORT_LOSS_TIMEOUT_SECONDS + 0.5
    assert _resets_while_silent(harness, silence) == 1


def test_no_reset_just_after_a_start_while_a_sidecar_restarts() -> None:
    """Guards against resets by a balancer that missed the announcement of a stop.

    Found by the soak: the balancer had started after the announcement.
    """
    harness = transparent.BalancerHarness()
    harness.apply_registrations(1, 2, 3)
    harness.apply_policy(transparent.make_policy(1))
    assert _resets_while_silent(harness, upstreams.LIST_LAG_SECONDS + 0.5) == 0
    assert transparent.address(3) in upstreams.overdue_sidecars(
        harness.engine.view, now=harness.now
    )
    assert _resets_while_silent(harness, upstreams.LOSS_TIMEOUT_SECONDS) > 0


def test_a_listed_sidecar_that_never_answered_does_not_stop_the_search() -> None:
    """The entry of a removed machine stays listed until its lease expires.

    Seen in the scenario scale-2 of trbsl-lb.
    """
    harness = transparent.ready_balancer()
    harness.apply_registrations(1, 2, 3, 4)
    archive_route = transparent.make_route("archive")
    harness.apply_policy(transparent.make_policy(2, archive_route))
    harness.engine.policies.pools_seen[transparent.SERVICE] = frozenset(("archive",))
    harness.handle_packet(DATA)
    harness.tick(lookup.QUERY_RETRY_SECONDS)
    harness.tick(2 * lookup.QUERY_RETRY_SECONDS)
    queried_hosts = set(
        harness.port.hosts(packets.Purpose.LOOKUP, packets.Purpose.QUERY)
    )
    assert {transparent.address(number).host for number in (1, 2, 3)} <= queried_hosts


def test_an_outdated_hint_only_delays_a_lookup_by_one_answer() -> None:
    """The flow may have moved to another upstream since the snapshot was written."""
    harness = transparent.ready_balancer()
    harness.engine.hints = {KEY: transparent.address(3)}
    harness.handle_packet(DATA)
    assert harness.port.hosts(packets.Purpose.LOOKUP) == [transparent.address(3).host]
    harness.handle_message(3, messages.FlowNotHeld(flow=KEY))
    queried = harness.port.hosts(packets.Purpose.LOOKUP, packets.Purpose.QUERY)
    assert sorted(queried[1:]) == [transparent.address(n).host for n in (1, 2)]
    harness.handle_message(1, messages.FlowHeld(flow=KEY))
    assert harness.port.forwarded[-1][1:] == (
        transparent.address(1).host,
        packets.Purpose.FORWARD,
    )


def test_a_hint_to_an_unknown_sidecar_is_ignored() -> None:
    """The sidecar that saved the flow may have left the fleet."""
    harness = transparent.ready_balancer()
    harness.engine.hints = {KEY: transparent.address(77)}
    harness.handle_packet(DATA)
    assert len(harness.port.hosts(packets.Purpose.LOOKUP)) == 3


def _two_domains() -> transparent.BalancerHarness:
    """Return a balancer with sidecar 1 in its domain, and 2 and 3 in the other one."""
    harness = transparent.ready_balancer()
    for number in (2, 3):
        report = transparent.make_report(number=2, domain=transparent.OTHER_DOMAIN)
        harness.handle_message(number, report)
    return harness


def test_queries_of_other_domains_lack_the_payload_also_when_repeated() -> None:
    """A sidecar that restarted since its last report would deliver the packet.

    Its upstream may not hold the flow, and the flow's own sidecar may be away.
    """
    harness = _two_domains()
    harness.handle_packet(DATA)
    harness.handle_message(1, messages.FlowNotHeld(flow=KEY))
    others = [transparent.address(number).host for number in (2, 3)]
    assert sorted(harness.port.hosts(packets.Purpose.QUERY)) == others
    harness.run_for(2.2 * lookup.QUERY_RETRY_SECONDS)
    harness.run_for(4.1 * lookup.QUERY_RETRY_SECONDS)
    queried = harness.port.hosts(packets.Purpose.QUERY)
    assert all(queried.count(host) > 2 for host in others)
    assert harness.port.hosts(packets.Purpose.LOOKUP) == [transparent.address(1).host]


def test_a_sidecar_that_answers_a_query_without_payload_gets_the_packet() -> None:
    """The packet that started the lookup is forwarded, too, and in its order."""
    harness = _two_domains()
    harness.handle_packet(DATA)
    harness.handle_message(1, messages.FlowNotHeld(flow=KEY))
    second = DATA._replace(sequence=DATA.sequence + DATA.size)
    harness.handle_packet(second)
    harness.handle_message(3, messages.FlowHeld(flow=KEY))
    assert harness.port.forwarded[-2:] == [
        (packet, transparent.address(3).host, packets.Purpose.FORWARD)
        for packet in (DATA, second)
    ]


def test_a_sidecar_with_an_incomplete_table_gets_the_payload_after_all_answers() -> (
    None
):
    """After a restart of all sidecars, the flows' upstreams are found by returns.

    The packet goes to no sidecar that would deliver it without knowing the flow before
    the others have answered.
    """
    harness = _two_domains()
    report = transparent.make_report(
        number=3, domain=transparent.OTHER_DOMAIN, complete=False
    )
    harness.handle_message(3, report)
    harness.handle_packet(DATA)
    harness.handle_message(1, messages.FlowNotHeld(flow=KEY))
    harness.handle_message(3, messages.FlowUnknown(flow=KEY))
    assert harness.port.hosts(packets.Purpose.LOOKUP) == [transparent.address(1).host]
    harness.handle_message(2, messages.FlowNotHeld(flow=KEY))
    assert harness.port.hosts(packets.Purpose.LOOKUP) == [
        transparent.address(1).host,
        transparent.address(3).host,
    ]


def test_no_reset_while_all_sidecars_are_silent() -> None:
    """If all sidecars are silent at once, the fault is assumed to be local."""
    harness = transparent.ready_balancer()
    harness.handle_packet(DATA)
    harness.tick(upstreams.LOSS_TIMEOUT_SECONDS + 1.0)
    harness.handle_packet(DATA._replace(sequence=2))
    harness.tick(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_no_reset_just_after_start() -> None:
    """Without the list of sidecars, the holder of the flow is unknown."""
    harness = transparent.BalancerHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_packet(DATA)
    harness.tick(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_a_new_list_of_sidecars_may_lack_one_that_lives() -> None:
    """A flow that another balancer had just placed was reset by a starting balancer."""
    harness = transparent.BalancerHarness()
    harness.apply_registrations(1)
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_message(1, transparent.make_report())
    harness.handle_packet(DATA)
    harness.handle_message(1, messages.FlowNotHeld(flow=KEY))
    assert harness.port.resets == []
    harness.apply_registrations(1, 2)
    harness.handle_message(2, transparent.make_report())
    harness.run_for(0.5)
    harness.handle_message(2, messages.FlowHeld(flow=KEY))
    harness.handle_packet(DATA)
    assert harness.port.hosts(packets.Purpose.FORWARD)[-1] == (
        transparent.address(2).host
    )


def test_openings_wait_for_the_first_policy_and_reports() -> None:
    """Openings received during start are queued and placed after the first report."""
    harness = transparent.BalancerHarness()
    harness.handle_packet(OPENING)
    harness.apply_registrations(1)
    harness.apply_policy(transparent.make_policy(1))
    harness.tick(0.04)
    harness.handle_message(1, transparent.make_report())
    harness.tick(0.04)
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_a_not_held_reply_from_the_cached_upstream_starts_a_lookup() -> None:
    """The cache entry was wrong, or the upstream has restarted."""
    harness = transparent.ready_balancer()
    harness.handle_packet(OPENING)
    (first,) = harness.port.hosts(packets.Purpose.OPEN)
    number = int(first.rpartition(".")[2])
    harness.handle_returned_packet(number, DATA, messages.Refusal.NOT_HELD)
    queried_hosts = harness.port.hosts(packets.Purpose.LOOKUP)
    assert len(queried_hosts) == 2
    assert first not in queried_hosts


def test_new_flows_avoid_domains_that_are_out() -> None:
    """The policy takes precedence over the sidecars' reports."""
    harness = transparent.ready_balancer(count=2)
    harness.handle_message(
        1, transparent.make_report(number=2, domain=transparent.OTHER_DOMAIN)
    )
    harness.apply_policy(transparent.make_policy(2, domains_out=[transparent.DOMAIN]))
    harness.handle_packet(OPENING)
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_new_flows_avoid_silent_sidecars() -> None:
    """A stale report may mean that the machine is frozen."""
    harness = transparent.ready_balancer(count=2)
    harness.tick(upstreams.REPORT_FRESH_SECONDS + 0.1)
    harness.handle_message(2, transparent.make_report(number=2))
    for number in range(5):
        harness.handle_packet(
            transparent.make_packet(transparent.flow_key(number), opening=True)
        )
    assert set(harness.port.hosts(packets.Purpose.OPEN)) == {
        transparent.address(2).host
    }


def test_an_old_report_does_not_replace_a_newer_one() -> None:
    """Datagrams may be reordered."""
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(
        1, transparent.make_report(number=5, state=messages.UpstreamState.DRAINING)
    )
    harness.handle_message(1, transparent.make_report(number=4))
    upstream = harness.engine.view.upstreams[transparent.address(1)]
    assert upstream.report is not None
    assert upstream.report.state is messages.UpstreamState.DRAINING


def test_is_ready_only_with_policy_and_upstreams() -> None:
    """The fabric sends packets only to balancers that are ready."""
    harness = transparent.BalancerHarness()
    assert not balancer.is_ready(harness.engine, now=harness.now)
    harness.apply_registrations(1)
    harness.apply_policy(transparent.make_policy(1))
    assert not balancer.is_ready(harness.engine, now=harness.now)
    harness.handle_message(1, transparent.make_report())
    assert balancer.is_ready(harness.engine, now=harness.now)
    harness.engine.stopping = True
    assert not balancer.is_ready(harness.engine, now=harness.now)


def test_is_not_ready_while_no_sidecar_reports() -> None:
    """Other balancers may still reach the upstreams."""
    harness = transparent.ready_balancer()
    harness.now += balancer.ISOLATED_SECONDS
    assert not balancer.is_ready(harness.engine, now=harness.now)
