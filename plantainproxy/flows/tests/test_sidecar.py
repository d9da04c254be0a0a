"""What a sidecar lets through, hands back and tells."""

import msgspec
import pytest

from plantainproxy.flows import messages, packets, policy, record, sidecar
from testbed import transparent

KEY = transparent.flow(1)
OPENING = transparent.packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
DATA = transparent.packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)


def test_delivers_an_opening_that_the_policy_allows() -> None:
    """A route that leads to the pool lets an opening through."""
    running = transparent.ready_sidecar()
    running.inbound(OPENING)
    assert running.port.delivered == [OPENING]


def test_refuses_openings_before_it_knows_policy_and_upstream() -> None:
    """A sidecar that has just started does not guess."""
    running = transparent.Sidecar()
    running.inbound(OPENING)
    running.take_policy(transparent.table(1))
    running.inbound(OPENING)
    assert running.port.delivered == []
    assert running.port.refusals() == [messages.Refusal.NOT_READY] * 2


def test_refuses_an_opening_of_a_route_to_another_pool() -> None:
    """An address that was used again by another service gets nothing of the old."""
    running = transparent.ready_sidecar()
    running.take_policy(transparent.table(2, transparent.route("archive")))
    running.inbound(OPENING)
    assert running.port.refusals() == [messages.Refusal.WRONG_POOL]


def test_refuses_openings_while_the_domain_is_out() -> None:
    """An evacuated failure domain gets no new flow, and again some afterwards."""
    running = transparent.ready_sidecar()
    running.take_policy(transparent.table(2, domains_out=[transparent.DOMAIN]))
    running.inbound(OPENING)
    assert running.port.refusals() == [messages.Refusal.DOMAIN_OUT]
    running.take_policy(transparent.table(3))
    running.inbound(OPENING)
    assert running.port.delivered == [OPENING]


def test_an_older_policy_is_not_taken() -> None:
    """What was in force never comes back."""
    running = transparent.ready_sidecar()
    running.take_policy(transparent.table(5, domains_out=[transparent.DOMAIN]))
    assert not running.take_policy(transparent.table(4))
    running.inbound(OPENING)
    assert running.port.refusals() == [messages.Refusal.DOMAIN_OUT]


def test_refuses_openings_of_a_draining_upstream_and_keeps_its_flows() -> None:
    """Draining ends new flows only."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    running.beat(2, draining=True)
    running.inbound(transparent.packet(transparent.flow(2), opening=True))
    running.inbound(DATA)
    assert running.port.refusals() == [messages.Refusal.DRAINING]
    assert running.port.delivered[-1] == DATA


def test_a_late_heartbeat_of_an_ended_incarnation_changes_nothing() -> None:
    """A heartbeat that a partition delayed does not bring the dead back."""
    running = transparent.ready_sidecar()
    running.beat(2, born=2_000, instance="i-2", draining=True)
    running.beat(9, born=1_000)
    assert running.engine.upstream.state is messages.UpstreamState.DRAINING


def test_a_heartbeat_for_another_pool_is_refused() -> None:
    """It names no upstream of this sidecar."""
    running = transparent.ready_sidecar()
    assert not running.beat(2, pool="archive", draining=True)
    assert running.engine.upstream.state is messages.UpstreamState.READY


def test_a_new_incarnation_closes_the_flows_of_the_old_one() -> None:
    """An upstream that started again under its name holds nothing of before."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    running.beat(1, born=2_000)
    assert running.port.resets == [KEY]


def test_a_crash_does_not_reset_openings_that_nobody_confirmed() -> None:
    """A copy of the opening packet may have been accepted elsewhere."""
    site = transparent.ready_sidecar()
    opening = transparent.packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    site.inbound(opening)
    site.outbound(transparent.packet(KEY, accepting=True, sequence=7))
    sidecar.handle_refusal(site.engine, now=site.now)
    assert not site.port.resets


def test_a_refused_connection_proves_a_crash() -> None:
    """Callers of a crashed upstream hear at once that their flows are gone."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    sidecar.handle_refusal(running.engine, now=running.now)
    assert running.port.resets == [KEY]
    assert running.port.last_report().state is messages.UpstreamState.GONE


def test_a_leaving_upstream_keeps_its_flows_after_it_stopped_listening() -> None:
    """Its last flows are served for a moment (FLOW on trbsl-lb scale-1)."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    running.beat(2, draining=True)
    sidecar.handle_refusal(running.engine, now=running.now)
    running.tick(sidecar.LEAVE_SECONDS / 2)
    assert running.port.resets == []
    running.tick(sidecar.LEAVE_SECONDS)
    assert running.port.resets == [KEY]


def test_an_upstream_that_deregistered_keeps_its_flows() -> None:
    """It still answers on them (FLOW on trbsl-lb quiet-1)."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    sidecar.handle_leave(running.engine, "i-1", now=running.now)
    assert running.port.resets == []
    running.inbound(DATA)
    assert running.port.delivered[-1] == DATA


def test_denies_a_flow_that_the_upstream_does_not_hold() -> None:
    """The balancer hears so and may look elsewhere."""
    running = transparent.ready_sidecar()
    running.inbound(DATA)
    assert running.port.delivered == []
    assert running.port.refusals() == [messages.Refusal.NOT_HELD]


def test_a_copy_accepted_elsewhere_does_not_make_the_flow_held() -> None:
    """The caller's first acknowledgement tells which upstream it chose."""
    running = transparent.ready_sidecar()
    running.inbound(OPENING)
    running.outbound(transparent.packet(KEY, accepting=True, sequence=900_000))
    running.inbound(DATA)
    assert running.port.refusals() == [messages.Refusal.NOT_HELD]


def test_a_copy_accepted_elsewhere_with_a_near_number_is_not_held() -> None:
    """Soak seed 17: two upstreams chose first numbers within one window."""
    running = transparent.ready_sidecar()
    running.inbound(OPENING)
    near = transparent.UPSTREAM_SEQUENCE - 1_000
    running.outbound(transparent.packet(KEY, accepting=True, sequence=near))
    running.inbound(DATA)
    assert running.port.refusals() == [messages.Refusal.NOT_HELD]


def test_answers_questions_from_its_table() -> None:
    """Held flows get the packet and a yes, others a no."""
    running = transparent.ready_sidecar()
    running.open(KEY)
    asked = DATA._replace(purpose=packets.Purpose.LOOKUP)
    stranger = asked._replace(flow=transparent.flow(2))
    running.port.told.clear()
    running.inbound(asked)
    running.inbound(stranger)
    assert [message for _, message in running.port.told] == [
        messages.FlowHeld(flow=KEY),
        messages.FlowNotHeld(flow=transparent.flow(2)),
    ]
    assert running.port.delivered[-1] == asked


def test_a_restarted_sidecar_lets_its_upstream_answer_questions() -> None:
    """It knows no flows yet; a packet that is not handed back is held."""
    running = transparent.ready_sidecar()
    running.engine.table.complete = False
    held = DATA._replace(purpose=packets.Purpose.LOOKUP)
    unknown = held._replace(flow=transparent.flow(2))
    running.port.told.clear()
    running.inbound(held)
    running.inbound(unknown)
    running.outbound(unknown._replace(returned=True))
    running.tick(sidecar.DENIAL_WAIT_SECONDS)
    verdicts = [
        message
        for _, message in running.port.told
        if not isinstance(message, messages.Report)
    ]
    assert verdicts == [
        messages.FlowNotHeld(flow=transparent.flow(2)),
        messages.FlowHeld(flow=KEY),
    ]


def test_an_opening_that_the_upstream_declines_goes_back() -> None:
    """The balancer may place it elsewhere."""
    running = transparent.ready_sidecar()
    running.inbound(OPENING)
    running.outbound(OPENING._replace(returned=True))
    assert running.port.refusals() == [messages.Refusal.DECLINED]


def test_a_forged_acceptance_from_a_caller_is_dropped() -> None:
    """Only upstreams accept flows."""
    running = transparent.ready_sidecar()
    running.inbound(transparent.packet(KEY, accepting=True))
    assert running.port.delivered == []


def test_reports_a_change_of_state_at_once_and_load_at_intervals() -> None:
    """Balancers must not place on a draining upstream; load may wait a little."""
    running = transparent.ready_sidecar()
    running.tick(1.0)
    count = len(running.port.told)
    running.open(KEY)
    running.tick(0.01)
    assert len(running.port.told) == count
    running.beat(2, draining=True)
    assert running.port.last_report().state is messages.UpstreamState.DRAINING


def test_asks_for_health_only_while_the_state_is_unknown() -> None:
    """A restarted sidecar need not wait for the next heartbeat."""
    running = transparent.Sidecar()
    running.take_policy(transparent.table(1))
    assert sidecar.wanted_health_path(running.engine) == "/health"
    sidecar.handle_healthy(running.engine, now=running.now)
    assert sidecar.wanted_health_path(running.engine) is None
    running.inbound(OPENING)
    assert running.port.delivered == [OPENING]


def test_recorded_flows_of_an_ended_upstream_are_reset() -> None:
    """After a loss of power their callers hear before they use them again."""
    running = transparent.Sidecar()
    running.take_policy(transparent.table(1))
    sidecar.take_record(running.engine, 1_000, {KEY: 42})
    assert running.port.resets == []
    running.beat(1, born=2_000)
    assert running.port.resets == [KEY]
    running.beat(2, born=2_000)
    assert running.port.resets == [KEY]


def test_recorded_flows_of_a_living_upstream_stay() -> None:
    """Only the sidecar has restarted."""
    running = transparent.Sidecar()
    running.take_policy(transparent.table(1))
    running.beat(7, born=1_000)
    sidecar.take_record(running.engine, 1_000, {KEY: 42})
    assert running.port.resets == []


def test_recorded_flows_are_reset_where_no_upstream_listened() -> None:
    """The old incarnation is certainly gone."""
    running = transparent.Sidecar()
    sidecar.handle_absence(running.engine, now=running.now)
    sidecar.take_record(running.engine, 1_000, {KEY: 42})
    running.tick(sidecar.LEAVE_SECONDS)
    assert running.port.resets == [KEY]


def test_a_sidecar_restarted_beside_a_leaving_upstream_keeps_its_flows() -> None:
    """Nobody listens there any more, but its last flows are still served."""
    running = transparent.Sidecar()
    running.take_policy(transparent.table(1))
    sidecar.handle_absence(running.engine, now=running.now)
    sidecar.take_record(running.engine, 1_000, {KEY: 42})
    running.tick(sidecar.LEAVE_SECONDS / 2)
    running.inbound(DATA)
    assert running.port.resets == []
    assert running.port.delivered == [DATA]


def test_records_open_flows_but_downloads() -> None:
    """A download's flow is gone before the next write."""
    other_service = b"\x01\x00\x12\xc6\xbb\x02"
    download = transparent.route(transparent.POOL, service=other_service)
    running = transparent.ready_sidecar()
    running.take_policy(
        transparent.table(
            2,
            transparent.route(transparent.POOL),
            msgspec.structs.replace(download, kind=policy.RouteKind.DOWNLOAD),
        )
    )
    running.open(KEY)
    running.open(transparent.flow(2, other_service))
    found = record.make(running.engine)
    assert found == record.Record(
        born=1_000, flows={KEY: transparent.UPSTREAM_SEQUENCE + 1}
    )


def _events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.message for record in caplog.records]


def test_tells_of_requests_that_were_late_given_up_or_cut(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The three ends of a request that a caller may complain about."""
    caplog.set_level("INFO")
    running = transparent.ready_sidecar()
    keys = [transparent.flow(number) for number in range(3)]
    for key in keys:
        running.open(key)
        running.request(key)
    running.now += sidecar.LATE_SECONDS
    running.outbound(transparent.packet(keys[0], size=10))
    running.inbound(
        transparent.packet(
            keys[1],
            closing=True,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
    )
    running.outbound(transparent.packet(keys[2], aborting=True))
    assert [event for event in _events(caplog) if event.startswith("request")] == [
        "request answered late",
        "request given up by caller",
        "request cut by upstream",
    ]
