"""Where a balancer sends packets, and when it resets a flow."""

from collections import abc

import msgspec

from plantainproxy.flows import (
    balancer,
    lookup,
    messages,
    packets,
    policy,
    upstreams,
)
from testbed import transparent

KEY = transparent.flow(1)
OPENING = transparent.packet(KEY, opening=True)
DATA = transparent.packet(KEY, sequence=1, size=100, acknowledgement=5_001)


def _report_only(
    harness: transparent.Balancer, numbers: abc.Iterable[int], seconds: float
) -> None:
    """Let time pass while only some sidecars report."""
    for _ in range(int(seconds / 0.5)):
        harness.pass_time(0.5)
        for number in numbers:
            harness.hear(number, transparent.report(number=int(harness.now * 100)))


def test_later_packets_follow_the_opening() -> None:
    """The choice is cached."""
    harness = transparent.ready_balancer()
    harness.handle(OPENING)
    harness.handle(DATA)
    (opened,) = harness.port.hosts(packets.Purpose.OPEN)
    assert harness.port.hosts(packets.Purpose.FORWARD) == [opened]


def test_a_copy_of_an_opening_goes_to_another_upstream() -> None:
    """The first one has not accepted the flow in 200 ms."""
    harness = transparent.ready_balancer()
    harness.handle(OPENING)
    harness.handle(OPENING._replace(acknowledgement=1))
    first, second = harness.port.hosts(packets.Purpose.OPEN)
    assert first != second


def test_an_unknown_service_address_is_reset() -> None:
    """There is no route, so nothing can serve it."""
    harness = transparent.ready_balancer()
    stranger = transparent.packet(transparent.flow(1, b"\x09" * 6), opening=True)
    harness.handle(stranger)
    assert harness.port.resets == [stranger]


def test_an_abort_is_never_answered() -> None:
    """A reset in answer to a reset would help nobody."""
    harness = transparent.ready_balancer()
    harness.handle(transparent.packet(transparent.flow(1, b"\x09" * 6), aborting=True))
    assert harness.port.resets == []


def test_forged_packets_are_dropped() -> None:
    """Callers neither accept flows nor hand packets back."""
    harness = transparent.ready_balancer()
    harness.handle(transparent.packet(KEY, accepting=True))
    harness.handle(transparent.packet(KEY, returned=True))
    assert harness.port.forwarded == []


def test_a_refused_opening_is_placed_elsewhere() -> None:
    """The caller notices nothing."""
    harness = transparent.ready_balancer()
    harness.handle(OPENING)
    first = harness.port.hosts(packets.Purpose.OPEN)[0]
    number = int(first.rpartition(".")[2])
    harness.hear_returned(number, OPENING, messages.Refusal.DRAINING)
    assert harness.port.hosts(packets.Purpose.OPEN)[1] != first


def test_an_unknown_flow_is_looked_up_and_found() -> None:
    """After a change of the rotation any packet may come to any balancer."""
    harness = transparent.ready_balancer()
    harness.handle(DATA)
    assert len(harness.port.hosts(packets.Purpose.ASK)) == 3
    second = DATA._replace(sequence=101)
    harness.handle(second)
    harness.hear(2, messages.Held(flow=KEY))
    assert harness.port.forwarded[-1] == (
        second,
        transparent.address(2).host,
        packets.Purpose.FORWARD,
    )
    harness.handle(DATA._replace(sequence=201))
    assert (
        harness.port.hosts(packets.Purpose.FORWARD) == [transparent.address(2).host] * 2
    )


def test_a_flow_that_no_sidecar_holds_is_reset() -> None:
    """Its caller need not wait for the deadline."""
    harness = transparent.ready_balancer()
    harness.handle(DATA)
    for number in (1, 2, 3):
        harness.hear(number, messages.NotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def test_a_flow_is_not_reset_while_an_answer_is_missing() -> None:
    """The silent sidecar may hold it: silence breaks nothing, a reset would."""
    harness = transparent.ready_balancer()
    harness.handle(DATA)
    for number in (1, 2):
        harness.hear(number, messages.NotHeld(flow=KEY))
    for _ in range(int(lookup.TIMEOUT_SECONDS / lookup.MAX_QUERY_RETRY_SECONDS) + 2):
        harness.pass_time(lookup.MAX_QUERY_RETRY_SECONDS)
        for number in (1, 2, 3):
            harness.hear(number, transparent.report(number=int(harness.now * 100)))
    assert harness.port.resets == []
    assert harness.engine.lookups == {}


def test_idempotent_flows_use_the_shorter_loss_timeout() -> None:
    """Its caller is served elsewhere; a command may still be answered where it is."""
    for kind, resets in (
        (policy.RouteKind.IDEMPOTENT, 1),
        (policy.RouteKind.NON_IDEMPOTENT, 0),
    ):
        harness = transparent.ready_balancer()
        usual = transparent.route(transparent.POOL)
        harness.take_policy(
            transparent.table(2, msgspec.structs.replace(usual, kind=kind))
        )
        _report_only(harness, (1, 2), upstreams.SHORT_LOSS_TIMEOUT_SECONDS + 0.5)
        harness.handle(DATA)
        for number in (1, 2):
            harness.hear(number, messages.NotHeld(flow=KEY))
        assert len(harness.port.resets) == resets


def test_no_reset_just_after_a_process_pause() -> None:
    """The reports that it missed are no sign of silence."""
    harness = transparent.ready_balancer()
    harness.tick(0.04)
    harness.tick(upstreams.LOSS_TIMEOUT_SECONDS)
    for number in (1, 2):
        harness.hear(number, transparent.report(number=2))
    harness.handle(DATA)
    for number in (1, 2):
        harness.hear(number, messages.NotHeld(flow=KEY))
    assert harness.port.resets == []


def test_no_reset_before_any_sidecar_has_reported() -> None:
    """It is cut off, and the silence of those that the store lists proves nothing."""
    harness = transparent.Balancer()
    harness.list_sidecars(1, 2, 3)
    harness.take_policy(transparent.table(1))
    harness.handle(DATA)
    harness.pass_time(upstreams.LIST_LAG_SECONDS + lookup.TIMEOUT_SECONDS)
    harness.handle(DATA)
    harness.pass_time(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_no_reset_just_after_a_network_partition() -> None:
    """The sidecars report again one after the other; the holder may be the last."""
    harness = transparent.ready_balancer(count=4)
    harness.pass_time(upstreams.LOSS_TIMEOUT_SECONDS + 0.1)
    for number in (1, 2, 3):
        harness.hear(number, transparent.report(number=2))
    harness.handle(DATA)
    for number in (1, 2, 3):
        harness.hear(number, messages.NotHeld(flow=KEY))
    assert harness.port.resets == []


def test_an_overdue_sidecar_is_asked_for_reports_until_it_is_lost() -> None:
    """It may have restarted; the store may be away and not tell (trbsl-lb, hunted)."""
    harness = transparent.ready_balancer(count=2)
    harness.pass_time(0.5)
    harness.hear(1, transparent.report(number=2))
    harness.pass_time(0.5)
    view = harness.engine.view
    assert upstreams.overdue_sidecars(view, now=harness.now) == [transparent.address(2)]
    harness.pass_time(upstreams.LOSS_TIMEOUT_SECONDS)
    assert upstreams.overdue_sidecars(view, now=harness.now) == []


def test_unlisted_sidecars_do_not_count_as_silent() -> None:
    """After a release most of those that it ever heard are gone for good."""
    harness = transparent.ready_balancer(count=3)
    harness.list_sidecars(3)
    for _ in range(12):
        harness.pass_time(1.0)
        harness.hear(3, transparent.report(number=int(harness.now * 100)))
    harness.handle(DATA)
    harness.hear(3, messages.NotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def test_a_lost_sidecar_does_not_delay_a_reset() -> None:
    """Every upstream that lives has denied the flow."""
    harness = transparent.ready_balancer()
    _report_only(harness, (1, 2), upstreams.LOSS_TIMEOUT_SECONDS + 0.5)
    harness.handle(DATA)
    for number in (1, 2):
        harness.hear(number, messages.NotHeld(flow=KEY))
    assert harness.port.resets == [DATA]


def test_a_listed_sidecar_that_never_answered_does_not_stop_the_search() -> None:
    """An entry of a removed machine lives until its lease ends (trbsl-lb scale-2)."""
    harness = transparent.ready_balancer()
    harness.list_sidecars(1, 2, 3, 4)
    moved = transparent.route("archive")
    harness.take_policy(transparent.table(2, moved))
    harness.engine.policies.pools_ever[transparent.SERVICE] = frozenset(("archive",))
    harness.handle(DATA)
    harness.tick(lookup.QUERY_RETRY_SECONDS)
    harness.tick(2 * lookup.QUERY_RETRY_SECONDS)
    asked = set(harness.port.hosts(packets.Purpose.ASK))
    assert {transparent.address(number).host for number in (1, 2, 3)} <= asked


def test_no_reset_while_all_sidecars_are_silent() -> None:
    """When everyone is silent at once, the fault is here."""
    harness = transparent.ready_balancer()
    harness.handle(DATA)
    harness.tick(upstreams.LOSS_TIMEOUT_SECONDS + 1.0)
    harness.handle(DATA._replace(sequence=2))
    harness.tick(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_no_reset_just_after_start() -> None:
    """It does not know who might hold the flow."""
    harness = transparent.Balancer()
    harness.take_policy(transparent.table(1))
    harness.handle(DATA)
    harness.tick(lookup.TIMEOUT_SECONDS)
    assert harness.port.resets == []


def test_a_new_list_of_sidecars_may_lack_one_that_lives() -> None:
    """A flow placed by another balancer a moment ago was reset at start."""
    harness = transparent.Balancer()
    harness.list_sidecars(1)
    harness.take_policy(transparent.table(1))
    harness.hear(1, transparent.report())
    harness.handle(DATA)
    harness.hear(1, messages.NotHeld(flow=KEY))
    assert harness.port.resets == []
    harness.list_sidecars(1, 2)
    harness.hear(2, transparent.report())
    harness.pass_time(0.5)
    harness.hear(2, messages.Held(flow=KEY))
    harness.handle(DATA)
    assert harness.port.hosts(packets.Purpose.FORWARD)[-1] == (
        transparent.address(2).host
    )


def test_openings_wait_for_the_first_policy_and_reports() -> None:
    """A balancer that has just started serves as soon as it can."""
    harness = transparent.Balancer()
    harness.handle(OPENING)
    harness.list_sidecars(1)
    harness.take_policy(transparent.table(1))
    harness.tick(0.04)
    harness.hear(1, transparent.report())
    harness.tick(0.04)
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_a_not_held_reply_from_the_cached_upstream_starts_a_lookup() -> None:
    """The cached choice was wrong or the upstream has restarted."""
    harness = transparent.ready_balancer()
    harness.handle(OPENING)
    (first,) = harness.port.hosts(packets.Purpose.OPEN)
    number = int(first.rpartition(".")[2])
    harness.hear_returned(number, DATA, messages.Refusal.NOT_HELD)
    asked = harness.port.hosts(packets.Purpose.ASK)
    assert len(asked) == 2
    assert first not in asked


def test_new_flows_avoid_domains_that_are_out() -> None:
    """Whatever the sidecars still report."""
    harness = transparent.ready_balancer(count=2)
    harness.hear(1, transparent.report(number=2, domain=transparent.OTHER_DOMAIN))
    harness.take_policy(transparent.table(2, domains_out=[transparent.DOMAIN]))
    harness.handle(OPENING)
    assert harness.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_new_flows_avoid_silent_sidecars() -> None:
    """A report that is late may mean a frozen machine."""
    harness = transparent.ready_balancer(count=2)
    harness.tick(upstreams.REPORT_FRESH_SECONDS + 0.1)
    harness.hear(2, transparent.report(number=2))
    for number in range(5):
        harness.handle(transparent.packet(transparent.flow(number), opening=True))
    assert set(harness.port.hosts(packets.Purpose.OPEN)) == {
        transparent.address(2).host
    }


def test_an_old_report_does_not_replace_a_newer_one() -> None:
    """Datagrams may overtake each other."""
    harness = transparent.ready_balancer(count=1)
    harness.hear(1, transparent.report(number=5, state=messages.UpstreamState.DRAINING))
    harness.hear(1, transparent.report(number=4))
    view = harness.engine.view.upstreams[transparent.address(1)]
    assert view.report is not None
    assert view.report.state is messages.UpstreamState.DRAINING


def test_is_ready_only_with_policy_and_upstreams() -> None:
    """The fabric sends packets to ready balancers only."""
    harness = transparent.Balancer()
    assert not balancer.is_ready(harness.engine, now=harness.now)
    harness.list_sidecars(1)
    harness.take_policy(transparent.table(1))
    assert not balancer.is_ready(harness.engine, now=harness.now)
    harness.hear(1, transparent.report())
    assert balancer.is_ready(harness.engine, now=harness.now)
    harness.engine.stopping = True
    assert not balancer.is_ready(harness.engine, now=harness.now)


def test_is_not_ready_while_no_sidecar_reports() -> None:
    """Other balancers may reach the upstreams."""
    harness = transparent.ready_balancer()
    harness.now += balancer.ISOLATED_SECONDS
    assert not balancer.is_ready(harness.engine, now=harness.now)
