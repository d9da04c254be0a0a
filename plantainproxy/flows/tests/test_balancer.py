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


def _hear_only(
    running: transparent.Balancer, numbers: abc.Iterable[int], seconds: float
) -> None:
    """Let time pass while only some sidecars report."""
    for _ in range(int(seconds / 0.5)):
        running.pass_time(0.5)
        for number in numbers:
            running.hear(number, transparent.report(number=int(running.now * 100)))


def test_later_packets_follow_the_opening() -> None:
    """The choice is cached."""
    running = transparent.ready_balancer()
    running.handle(OPENING)
    running.handle(DATA)
    (opened,) = running.port.hosts(packets.Purpose.OPEN)
    assert running.port.hosts(packets.Purpose.FORWARD) == [opened]


def test_a_copy_of_an_opening_goes_to_another_upstream() -> None:
    """The first one has not accepted the flow in 200 ms."""
    running = transparent.ready_balancer()
    running.handle(OPENING)
    running.handle(OPENING._replace(acknowledgement=1))
    first, second = running.port.hosts(packets.Purpose.OPEN)
    assert first != second


def test_an_unknown_service_address_is_reset() -> None:
    """There is no route, so nothing can serve it."""
    running = transparent.ready_balancer()
    stranger = transparent.packet(transparent.flow(1, b"\x09" * 6), opening=True)
    running.handle(stranger)
    assert running.port.resets == [stranger]


def test_an_abort_is_never_answered() -> None:
    """A reset in answer to a reset would help nobody."""
    running = transparent.ready_balancer()
    running.handle(transparent.packet(transparent.flow(1, b"\x09" * 6), aborting=True))
    assert running.port.resets == []


def test_forged_packets_are_dropped() -> None:
    """Callers neither accept flows nor hand packets back."""
    running = transparent.ready_balancer()
    running.handle(transparent.packet(KEY, accepting=True))
    running.handle(transparent.packet(KEY, returned=True))
    assert running.port.forwarded == []


def test_a_refused_opening_is_placed_elsewhere() -> None:
    """The caller notices nothing."""
    running = transparent.ready_balancer()
    running.handle(OPENING)
    first = running.port.hosts(packets.Purpose.OPEN)[0]
    number = int(first.rpartition(".")[2])
    running.hear_returned(number, OPENING, messages.Refusal.DRAINING)
    assert running.port.hosts(packets.Purpose.OPEN)[1] != first


def test_an_unknown_flow_is_asked_for_and_found() -> None:
    """After a change of the rotation any packet may come to any balancer."""
    running = transparent.ready_balancer()
    running.handle(DATA)
    assert len(running.port.hosts(packets.Purpose.LOOKUP)) == 3
    second = DATA._replace(sequence=101)
    running.handle(second)
    running.hear(2, messages.FlowHeld(flow=KEY))
    assert running.port.forwarded[-1] == (
        second,
        transparent.address(2).host,
        packets.Purpose.FORWARD,
    )
    running.handle(DATA._replace(sequence=201))
    assert (
        running.port.hosts(packets.Purpose.FORWARD) == [transparent.address(2).host] * 2
    )


def test_a_flow_that_everyone_denies_is_reset() -> None:
    """Its caller need not wait for the deadline."""
    running = transparent.ready_balancer()
    running.handle(DATA)
    for number in (1, 2, 3):
        running.hear(number, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == [DATA]


def test_a_flow_is_not_reset_while_an_answer_is_missing() -> None:
    """The silent sidecar may hold it: silence breaks nothing, a reset would."""
    running = transparent.ready_balancer()
    running.handle(DATA)
    for number in (1, 2):
        running.hear(number, messages.FlowNotHeld(flow=KEY))
    for _ in range(int(lookup.GIVE_UP_SECONDS / lookup.ASK_AGAIN_LIMIT_SECONDS) + 2):
        running.pass_time(lookup.ASK_AGAIN_LIMIT_SECONDS)
        for number in (1, 2, 3):
            running.hear(number, transparent.report(number=int(running.now * 100)))
    assert running.port.resets == []
    assert running.engine.lookups == {}


def test_a_flow_that_may_be_repeated_leaves_a_silent_upstream_sooner() -> None:
    """Its caller is served elsewhere; a command may still be answered where it is."""
    for kind, resets in (
        (policy.RouteKind.IDEMPOTENT, 1),
        (policy.RouteKind.NON_IDEMPOTENT, 0),
    ):
        running = transparent.ready_balancer()
        usual = transparent.route(transparent.POOL)
        running.take_policy(
            transparent.table(2, msgspec.structs.replace(usual, kind=kind))
        )
        _hear_only(running, (1, 2), upstreams.SUSPECT_SECONDS + 0.5)
        running.handle(DATA)
        for number in (1, 2):
            running.hear(number, messages.FlowNotHeld(flow=KEY))
        assert len(running.port.resets) == resets


def test_a_balancer_that_stood_still_resets_nothing_at_first() -> None:
    """The reports that it missed are no sign of silence."""
    running = transparent.ready_balancer()
    running.tick(0.04)
    running.tick(upstreams.LOST_SECONDS)
    for number in (1, 2):
        running.hear(number, transparent.report(number=2))
    running.handle(DATA)
    for number in (1, 2):
        running.hear(number, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == []


def test_a_balancer_that_has_heard_nobody_since_its_start_resets_nothing() -> None:
    """It is cut off, and the silence of those that the store lists proves nothing."""
    running = transparent.Balancer()
    running.list_sidecars(1, 2, 3)
    running.take_policy(transparent.table(1))
    running.handle(DATA)
    running.pass_time(upstreams.COMPLETE_SECONDS + lookup.GIVE_UP_SECONDS)
    running.handle(DATA)
    running.pass_time(lookup.GIVE_UP_SECONDS)
    assert running.port.resets == []


def test_a_balancer_that_was_cut_off_resets_nothing_at_first() -> None:
    """The sidecars report again one after the other; the holder may be the last."""
    running = transparent.ready_balancer(count=4)
    running.pass_time(upstreams.LOST_SECONDS + 0.1)
    for number in (1, 2, 3):
        running.hear(number, transparent.report(number=2))
    running.handle(DATA)
    for number in (1, 2, 3):
        running.hear(number, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == []


def test_a_sidecar_that_fell_silent_is_asked_for_reports_until_it_is_lost() -> None:
    """It may have restarted; the store may be away and not tell (trbsl-lb, hunted)."""
    running = transparent.ready_balancer(count=2)
    running.pass_time(0.5)
    running.hear(1, transparent.report(number=2))
    running.pass_time(0.5)
    view = running.engine.view
    assert upstreams.without_reports(view, now=running.now) == [transparent.address(2)]
    running.pass_time(upstreams.LOST_SECONDS)
    assert upstreams.without_reports(view, now=running.now) == []


def test_sidecars_that_have_left_the_list_do_not_make_a_balancer_blind() -> None:
    """After a release most of those that it ever heard are gone for good."""
    running = transparent.ready_balancer(count=3)
    running.list_sidecars(3)
    for _ in range(12):
        running.pass_time(1.0)
        running.hear(3, transparent.report(number=int(running.now * 100)))
    running.handle(DATA)
    running.hear(3, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == [DATA]


def test_a_lost_sidecar_does_not_hold_a_reset_up() -> None:
    """Every upstream that lives has denied the flow."""
    running = transparent.ready_balancer()
    _hear_only(running, (1, 2), upstreams.LOST_SECONDS + 0.5)
    running.handle(DATA)
    for number in (1, 2):
        running.hear(number, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == [DATA]


def test_a_listed_sidecar_that_never_answered_does_not_stop_the_search() -> None:
    """An entry of a removed machine lives until its lease ends (trbsl-lb scale-2)."""
    running = transparent.ready_balancer()
    running.list_sidecars(1, 2, 3, 4)
    moved = transparent.route("archive")
    running.take_policy(transparent.table(2, moved))
    running.engine.policies.pools_seen[transparent.SERVICE] = frozenset(("archive",))
    running.handle(DATA)
    running.tick(lookup.ASK_AGAIN_SECONDS)
    running.tick(2 * lookup.ASK_AGAIN_SECONDS)
    asked = set(running.port.hosts(packets.Purpose.LOOKUP))
    assert {transparent.address(number).host for number in (1, 2, 3)} <= asked


def test_a_balancer_that_hears_nobody_resets_nothing() -> None:
    """When everyone is silent at once, the fault is here."""
    running = transparent.ready_balancer()
    running.handle(DATA)
    running.tick(upstreams.LOST_SECONDS + 1.0)
    running.handle(DATA._replace(sequence=2))
    running.tick(lookup.GIVE_UP_SECONDS)
    assert running.port.resets == []


def test_a_balancer_that_has_just_started_resets_nothing() -> None:
    """It does not know who might hold the flow."""
    running = transparent.Balancer()
    running.take_policy(transparent.table(1))
    running.handle(DATA)
    running.tick(lookup.GIVE_UP_SECONDS)
    assert running.port.resets == []


def test_a_new_list_of_sidecars_may_lack_one_that_lives() -> None:
    """A flow placed by another balancer a moment ago was reset at start."""
    running = transparent.Balancer()
    running.list_sidecars(1)
    running.take_policy(transparent.table(1))
    running.hear(1, transparent.report())
    running.handle(DATA)
    running.hear(1, messages.FlowNotHeld(flow=KEY))
    assert running.port.resets == []
    running.list_sidecars(1, 2)
    running.hear(2, transparent.report())
    running.pass_time(0.5)
    running.hear(2, messages.FlowHeld(flow=KEY))
    running.handle(DATA)
    assert running.port.hosts(packets.Purpose.FORWARD)[-1] == (
        transparent.address(2).host
    )


def test_openings_wait_for_the_first_policy_and_reports() -> None:
    """A balancer that has just started serves as soon as it can."""
    running = transparent.Balancer()
    running.handle(OPENING)
    running.list_sidecars(1)
    running.take_policy(transparent.table(1))
    running.tick(0.04)
    running.hear(1, transparent.report())
    running.tick(0.04)
    assert running.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_a_denial_after_the_fact_starts_a_search() -> None:
    """The cached choice was wrong or the upstream has restarted."""
    running = transparent.ready_balancer()
    running.handle(OPENING)
    (first,) = running.port.hosts(packets.Purpose.OPEN)
    number = int(first.rpartition(".")[2])
    running.hear_returned(number, DATA, messages.Refusal.NOT_HELD)
    asked = running.port.hosts(packets.Purpose.LOOKUP)
    assert len(asked) == 2
    assert first not in asked


def test_new_flows_avoid_domains_that_are_out() -> None:
    """Whatever the sidecars still report."""
    running = transparent.ready_balancer(count=2)
    running.hear(1, transparent.report(number=2, domain=transparent.OTHER_DOMAIN))
    running.take_policy(transparent.table(2, domains_out=[transparent.DOMAIN]))
    running.handle(OPENING)
    assert running.port.hosts(packets.Purpose.OPEN) == [transparent.address(1).host]


def test_new_flows_avoid_silent_sidecars() -> None:
    """A report that is late may mean a frozen machine."""
    running = transparent.ready_balancer(count=2)
    running.tick(upstreams.FRESH_SECONDS + 0.1)
    running.hear(2, transparent.report(number=2))
    for number in range(5):
        running.handle(transparent.packet(transparent.flow(number), opening=True))
    assert set(running.port.hosts(packets.Purpose.OPEN)) == {
        transparent.address(2).host
    }


def test_an_old_report_does_not_replace_a_newer_one() -> None:
    """Datagrams may overtake each other."""
    running = transparent.ready_balancer(count=1)
    running.hear(1, transparent.report(number=5, state=messages.UpstreamState.DRAINING))
    running.hear(1, transparent.report(number=4))
    view = running.engine.view.upstreams[transparent.address(1)]
    assert view.report is not None
    assert view.report.state is messages.UpstreamState.DRAINING


def test_is_ready_only_with_policy_and_upstreams() -> None:
    """The fabric sends packets to ready balancers only."""
    running = transparent.Balancer()
    assert not balancer.is_ready(running.engine, now=running.now)
    running.list_sidecars(1)
    running.take_policy(transparent.table(1))
    assert not balancer.is_ready(running.engine, now=running.now)
    running.hear(1, transparent.report())
    assert balancer.is_ready(running.engine, now=running.now)
    running.engine.stopping = True
    assert not balancer.is_ready(running.engine, now=running.now)


def test_is_not_ready_while_it_hears_nobody() -> None:
    """Other balancers may reach the upstreams."""
    running = transparent.ready_balancer()
    running.now += balancer.ISOLATED_SECONDS
    assert not balancer.is_ready(running.engine, now=running.now)
