"""Tests of the sidecar's engine: admission, flow tracking, resets and reports."""

import logging
import typing

import pytest

from plantainproxy import _types
from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import (
    sidecar,
    suspect_flows,
    unlisted_flows,
    upstream_events,
)
from plantainproxy.flows.stored import flow_record, flow_snapshot
from testbed import transparent

KEY = transparent.flow_key(1)
OPENING = transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)


def test_delivers_an_opening_that_the_policy_allows() -> None:
    """An opening is delivered if its route leads to the sidecar's pool."""
    harness = transparent.ready_sidecar()
    harness.handle_inbound(OPENING)
    assert harness.port.delivered == [OPENING]


def test_refuses_openings_until_policy_and_upstream_state_are_received() -> None:
    """A sidecar that has just started has no basis for admission yet."""
    harness = transparent.SidecarHarness()
    harness.handle_inbound(OPENING)
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_inbound(OPENING)
    assert harness.port.delivered == []
    assert harness.port.refusals() == [messages.Refusal.NOT_READY] * 2


def test_refuses_an_opening_of_a_route_to_another_pool() -> None:
    """An address that now belongs to another pool gets no flows of the old service."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_policy(2, transparent.make_route("archive")))
    harness.handle_inbound(OPENING)
    assert harness.port.refusals() == [messages.Refusal.WRONG_POOL]


def test_refuses_openings_while_the_domain_is_out() -> None:
    """An evacuated failure domain gets new flows only once it is back in service."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_policy(2, domains_out=[transparent.DOMAIN]))
    harness.handle_inbound(OPENING)
    assert harness.port.refusals() == [messages.Refusal.DOMAIN_OUT]
    harness.apply_policy(transparent.make_policy(3))
    harness.handle_inbound(OPENING)
    assert harness.port.delivered == [OPENING]


def test_an_older_policy_is_not_applied() -> None:
    """A stale policy must not replace a newer one."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_policy(5, domains_out=[transparent.DOMAIN]))
    assert not harness.apply_policy(transparent.make_policy(4))
    harness.handle_inbound(OPENING)
    assert harness.port.refusals() == [messages.Refusal.DOMAIN_OUT]


def test_refuses_openings_of_a_draining_upstream_and_keeps_its_flows() -> None:
    """Draining stops new flows; packets of open flows are still delivered."""
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    harness.handle_heartbeat(2, draining=True)
    harness.handle_inbound(
        transparent.make_packet(transparent.flow_key(2), opening=True)
    )
    harness.handle_inbound(DATA)
    assert harness.port.refusals() == [messages.Refusal.DRAINING]
    assert harness.port.delivered[-1] == DATA


def test_a_late_heartbeat_of_an_ended_incarnation_changes_nothing() -> None:
    """A heartbeat that a partition delayed must not replace a newer incarnation's."""
    harness = transparent.ready_sidecar()
    harness.handle_heartbeat(2, born=2_000, instance="i-2", draining=True)
    harness.handle_heartbeat(9, born=1_000)
    assert harness.engine.upstream.state is messages.UpstreamState.DRAINING


def test_a_heartbeat_for_another_pool_is_refused() -> None:
    """The heartbeat of another pool's upstream must not change the state."""
    harness = transparent.ready_sidecar()
    assert not harness.handle_heartbeat(2, pool="archive", draining=True)
    assert harness.engine.upstream.state is messages.UpstreamState.READY


def test_a_new_incarnation_closes_the_flows_of_the_old_one() -> None:
    """An upstream that restarted under the same name holds none of its old flows."""
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    harness.handle_heartbeat(1, born=2_000)
    assert harness.port.resets == [KEY]


def test_a_late_heartbeat_just_after_a_start_resets_no_flow() -> None:
    """Guards against resets of flows of an upstream older than the sidecar process.

    The heartbeat is of the incarnation before and was delayed; a process that has just
    started has no newer one to compare it with.
    """
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    boot = harness.engine.identity.boot
    harness.handle_heartbeat(9, born=boot - 2)
    harness.open(KEY)
    harness.handle_heartbeat(4, born=boot - 1)
    assert harness.port.resets == []
    assert not harness.engine.table.complete
    harness.handle_heartbeat(1, born=boot + 1)
    assert harness.port.resets == [KEY]
    assert harness.engine.table.complete


def test_a_crash_does_not_reset_openings_that_nobody_confirmed() -> None:
    """Another upstream may have accepted a copy of the opening packet."""
    harness = transparent.ready_sidecar()
    opening = transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    harness.handle_inbound(opening)
    harness.handle_outbound(transparent.make_packet(KEY, accepting=True, sequence=7))
    upstream_events.handle_connection_refused(harness.engine, now=harness.now)
    assert not harness.port.resets


def test_a_refused_connection_counts_as_a_crash() -> None:
    """The flows of a crashed upstream are reset at once."""
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    upstream_events.handle_connection_refused(harness.engine, now=harness.now)
    assert harness.port.resets == [KEY]
    assert harness.port.last_report().state is messages.UpstreamState.GONE


def test_a_leaving_upstream_keeps_its_flows_after_it_stopped_listening() -> None:
    """A draining upstream serves its last flows after it stopped listening.

    Their early reset failed the check FLOW on trbsl-lb scale-1.
    """
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    harness.handle_heartbeat(2, draining=True)
    upstream_events.handle_connection_refused(harness.engine, now=harness.now)
    harness.tick(upstream_events.EXIT_GRACE_SECONDS / 2)
    assert harness.port.resets == []
    harness.tick(upstream_events.EXIT_GRACE_SECONDS)
    assert harness.port.resets == [KEY]


def test_an_upstream_that_deregistered_keeps_its_flows() -> None:
    """An upstream still answers on its open flows after it deregistered.

    Their early reset failed the check FLOW on trbsl-lb quiet-1.
    """
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    upstream_events.handle_deregistration(harness.engine, "i-1", now=harness.now)
    assert harness.port.resets == []
    harness.handle_inbound(DATA)
    assert harness.port.delivered[-1] == DATA


def test_returns_packets_of_a_flow_that_the_upstream_does_not_hold() -> None:
    """The balancer gets the packet back and can query other sidecars."""
    harness = transparent.ready_sidecar()
    harness.handle_inbound(DATA)
    assert harness.port.delivered == []
    assert harness.port.refusals() == [messages.Refusal.NOT_HELD]


def test_a_copy_accepted_elsewhere_does_not_make_the_flow_held() -> None:
    """The caller's first acknowledgement identifies the upstream that it chose."""
    harness = transparent.ready_sidecar()
    harness.handle_inbound(OPENING)
    harness.handle_outbound(
        transparent.make_packet(KEY, accepting=True, sequence=900_000)
    )
    harness.handle_inbound(DATA)
    assert harness.port.refusals() == [messages.Refusal.NOT_HELD]


def test_a_copy_accepted_elsewhere_with_a_near_number_is_not_held() -> None:
    """Only the exact acknowledgement matches, not one within a window.

    In soak seed 17 two upstreams chose initial sequence numbers within one window.
    """
    harness = transparent.ready_sidecar()
    harness.handle_inbound(OPENING)
    nearby_sequence = transparent.UPSTREAM_SEQUENCE - 1_000
    harness.handle_outbound(
        transparent.make_packet(KEY, accepting=True, sequence=nearby_sequence)
    )
    harness.handle_inbound(DATA)
    assert harness.port.refusals() == [messages.Refusal.NOT_HELD]


def test_answers_lookup_queries_from_its_flow_table() -> None:
    """A query of a held flow is delivered and confirmed, any other one is denied."""
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    held_query = DATA._replace(purpose=packets.Purpose.LOOKUP)
    other_query = held_query._replace(flow=transparent.flow_key(2))
    harness.port.sent_messages.clear()
    harness.handle_inbound(held_query)
    harness.handle_inbound(other_query)
    assert [message for _, message in harness.port.sent_messages] == [
        messages.FlowHeld(flow=KEY, is_presumed=False),
        messages.FlowNotHeld(flow=transparent.flow_key(2)),
    ]
    assert harness.port.delivered[-1] == held_query


def test_a_query_without_payload_is_answered_and_not_delivered() -> None:
    """The upstream must not get a packet that its caller did not send in this form."""
    harness = transparent.ready_sidecar()
    harness.open(KEY)
    held_query = DATA._replace(purpose=packets.Purpose.QUERY, size=0)
    other_query = held_query._replace(flow=transparent.flow_key(2))
    delivered = list(harness.port.delivered)
    harness.port.sent_messages.clear()
    harness.handle_inbound(held_query)
    harness.handle_inbound(other_query)
    harness.engine.table.complete = False
    harness.handle_inbound(other_query._replace(flow=transparent.flow_key(3)))
    assert [message for _, message in harness.port.sent_messages] == [
        messages.FlowHeld(flow=KEY, is_presumed=False),
        messages.FlowNotHeld(flow=transparent.flow_key(2)),
        messages.FlowUnknown(flow=transparent.flow_key(3)),
    ]
    assert harness.port.delivered == delivered


def test_a_restarted_sidecar_answers_lookup_queries_by_returned_packets() -> None:
    """With an incomplete table, a flow whose packet stays is presumed to be held."""
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    held_query = DATA._replace(purpose=packets.Purpose.LOOKUP)
    other_query = held_query._replace(flow=transparent.flow_key(2))
    harness.port.sent_messages.clear()
    harness.handle_inbound(held_query)
    harness.handle_inbound(other_query)
    harness.handle_outbound(other_query._replace(returned=True))
    harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    replies = [
        message
        for _, message in harness.port.sent_messages
        if not isinstance(message, messages.Report)
    ]
    assert replies == [
        messages.FlowNotHeld(flow=transparent.flow_key(2), delivered_ms=0),
        messages.FlowHeld(flow=KEY, is_presumed=True),
    ]


def test_an_opening_that_the_upstream_declines_goes_back() -> None:
    """The balancer gets the packet back and can place it on another upstream."""
    harness = transparent.ready_sidecar()
    harness.handle_inbound(OPENING)
    harness.handle_outbound(OPENING._replace(returned=True))
    assert harness.port.refusals() == [messages.Refusal.DECLINED]


def test_a_forged_acceptance_from_a_caller_is_dropped() -> None:
    """Only an upstream may send an acceptance."""
    harness = transparent.ready_sidecar()
    harness.handle_inbound(transparent.make_packet(KEY, accepting=True))
    assert harness.port.delivered == []


def test_reports_a_change_of_state_at_once_and_load_at_intervals() -> None:
    """A balancer must not place flows on a draining upstream; load is less urgent."""
    harness = transparent.ready_sidecar()
    harness.tick(1.0)
    count = len(harness.port.sent_messages)
    harness.open(KEY)
    harness.tick(0.01)
    assert len(harness.port.sent_messages) == count
    harness.handle_heartbeat(2, draining=True)
    assert harness.port.last_report().state is messages.UpstreamState.DRAINING


def test_a_planned_stop_is_reported_again_after_a_lost_datagram() -> None:
    """Guards against a balancer that resets flows as it missed the only report."""
    harness = transparent.ready_sidecar()
    reports = []
    for _ in range(2):
        sidecar.stop(harness.engine, now=harness.now)
        reports.append(harness.port.last_report())
    assert all(report.stopping for report in reports)
    assert reports[0].number < reports[1].number


def test_a_planned_stop_is_reported_to_a_balancer_that_asked_once() -> None:
    """Guards against resets by a balancer that has a report of a short-lived process.

    Found by the soak: the process was stopped 0.3 s after its start, before the
    balancer's next subscription.
    """
    harness = transparent.SidecarHarness()
    harness.handle_report_request(
        _types.Address("10.0.0.9", transparent.MESSAGE_PORT), subscribes=False
    )
    sidecar.stop(harness.engine, now=harness.now)
    host, message = harness.port.sent_messages[-1]
    assert host == "10.0.0.9"
    assert isinstance(message, messages.Report)
    assert message.stopping


def test_checks_health_only_while_the_state_is_unknown() -> None:
    """A health check lets a restarted sidecar admit flows before the next heartbeat."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    assert upstream_events.health_check_path(harness.engine) == "/health"
    upstream_events.handle_health_check_passed(harness.engine, now=harness.now)
    assert upstream_events.health_check_path(harness.engine) is None
    harness.handle_inbound(OPENING)
    assert harness.port.delivered == [OPENING]


def test_recorded_flows_of_an_ended_upstream_are_reset() -> None:
    """After a power failure the flows are reset before their callers use them again."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.apply_snapshot({KEY: 42})
    assert harness.port.resets == []
    harness.handle_heartbeat(1, born=2_000)
    assert harness.port.resets == [KEY]
    harness.handle_heartbeat(2, born=2_000)
    assert harness.port.resets == [KEY]


def test_recorded_flows_of_a_running_upstream_are_not_reset() -> None:
    """If only the sidecar restarted, the upstream still holds its flows."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_heartbeat(7, born=1_000)
    harness.apply_snapshot({KEY: 42})
    assert harness.port.resets == []


def test_recorded_flows_are_reset_where_no_upstream_listened() -> None:
    """If no upstream listens after the grace period, the old incarnation has ended."""
    harness = transparent.SidecarHarness()
    upstream_events.handle_not_listening(harness.engine, now=harness.now)
    harness.apply_snapshot({KEY: 42})
    harness.tick(upstream_events.EXIT_GRACE_SECONDS)
    assert harness.port.resets == [KEY]


def test_a_sidecar_restarted_beside_a_leaving_upstream_keeps_its_flows() -> None:
    """A draining upstream that no longer listens still serves its last flows."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    upstream_events.handle_not_listening(harness.engine, now=harness.now)
    harness.apply_snapshot({KEY: 42})
    harness.tick(upstream_events.EXIT_GRACE_SECONDS / 2)
    harness.handle_inbound(DATA)
    assert harness.port.resets == []
    assert harness.port.delivered == [DATA]


def test_snapshot_contains_open_flows_except_downloads() -> None:
    """The flow of a download ends before the next write of the snapshot."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_download_policy(2))
    harness.open(KEY)
    harness.open(transparent.flow_key(2, transparent.DOWNLOAD_SERVICE))
    snapshot = flow_snapshot.take_snapshot(harness.engine)
    assert snapshot == flow_record.FlowSnapshot(
        born=1_000, flows={KEY: transparent.UPSTREAM_SEQUENCE + 1}
    )


def _events(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [log_record.message for log_record in caplog.records]


def test_logs_slow_abandoned_and_reset_requests(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Slow responses, requests that the caller abandons, and resets are logged."""
    caplog.set_level("INFO")
    harness = transparent.ready_sidecar()
    keys = [transparent.flow_key(number) for number in range(3)]
    for key in keys:
        harness.open(key)
        harness.request(key)
    harness.now += sidecar.SLOW_RESPONSE_SECONDS
    harness.handle_outbound(transparent.make_packet(keys[0], size=10))
    harness.handle_inbound(
        transparent.make_packet(
            keys[1],
            closing=True,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
    )
    harness.handle_outbound(transparent.make_packet(keys[2], aborting=True))
    assert [event for event in _events(caplog) if event.startswith("request")] == [
        "request answered late",
        "request given up by caller",
        "request cut by upstream",
    ]


def test_a_late_return_of_an_unlisted_packet_is_logged_with_the_earlier_answer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Silence that was taken for an answer is seen in the log when it was wrong."""
    caplog.set_level(logging.INFO)
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.handle_inbound(DATA._replace(purpose=packets.Purpose.LOOKUP))
    harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    harness.now += 0.1
    harness.handle_outbound(DATA._replace(returned=True))
    lines = _unlisted_lines(caplog)
    assert [event for event, _ in lines] == ["delivered", "reported held", "returned"]
    assert lines[0][1]["balancer"] == "10.0.0.1"
    assert lines[0][1]["purpose"] == "lookup"
    assert lines[2][1]["waited"] == 0.13
    assert lines[2][1]["reported_held"] is True
    assert not harness.engine.unlisted_flows


def test_an_answer_to_an_unlisted_packet_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The upstream's own packet shows that it holds the flow, silence does not."""
    caplog.set_level(logging.INFO)
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.handle_inbound(DATA._replace(purpose=packets.Purpose.LOOKUP))
    harness.handle_outbound(transparent.make_packet(KEY, size=100))
    harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    assert [event for event, _ in _unlisted_lines(caplog)] == ["delivered", "answered"]


def test_an_unlisted_packet_without_an_answer_is_evicted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The record stays bounded when the upstream neither answers nor returns."""
    caplog.set_level(logging.INFO)
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.handle_inbound(DATA)
    harness.now += unlisted_flows.RETENTION_SECONDS
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert [event for event, _ in _unlisted_lines(caplog)] == [
        "delivered",
        "unanswered",
    ]
    assert not harness.engine.unlisted_flows


def _unlisted_lines(
    caplog: pytest.LogCaptureFixture,
) -> list[tuple[str, dict[str, typing.Any]]]:
    return [
        (record.message.removeprefix("unlisted flow "), record.__dict__["fields"])
        for record in caplog.records
        if record.message.startswith("unlisted flow ")
    ]


def _send_lookup(harness: transparent.SidecarHarness, via: int) -> None:
    harness.handle_inbound(
        DATA._replace(purpose=packets.Purpose.LOOKUP, balancer=bytes((10, 0, 0, via)))
    )


def _answers(harness: transparent.SidecarHarness) -> list[tuple[str, object]]:
    sent, harness.port.sent_messages = harness.port.sent_messages, []
    return [
        (host, message)
        for host, message in sent
        if not isinstance(message, messages.Report)
    ]


def _unsure_sidecar() -> transparent.SidecarHarness:
    """Return a sidecar that has delivered a packet on suspicion for balancer 1."""
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    harness.port.sent_messages.clear()
    _send_lookup(harness, 1)
    assert len(harness.port.delivered) == 1
    return harness


@pytest.mark.parametrize("is_presumed", [False, True])
def test_an_undecided_flow_gets_no_second_packet_on_suspicion(
    is_presumed: bool,
) -> None:
    """Guards against a copy for each balancer that looks the flow up.

    All of them get the answer.
    """
    harness = _unsure_sidecar()
    if is_presumed:
        harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    _send_lookup(harness, 2)
    harness.tick(sidecar.PACKET_RETURN_TIMEOUT_SECONDS)
    presumed = messages.FlowHeld(flow=KEY, is_presumed=True)
    assert _answers(harness) == [("10.0.0.1", presumed), ("10.0.0.2", presumed)]
    assert len(harness.port.delivered) == 1
    harness.handle_outbound(transparent.make_packet(KEY))
    held = messages.FlowHeld(flow=KEY, is_presumed=False)
    assert _answers(harness) == [("10.0.0.1", held), ("10.0.0.2", held)]


def test_all_balancers_that_wait_for_a_packets_return_get_the_answer() -> None:
    """Guards against a balancer that waits for the answer to another one's packet."""
    harness = _unsure_sidecar()
    _send_lookup(harness, 2)
    harness.tick(0.02)
    harness.handle_outbound(harness.port.delivered[0]._replace(returned=True))
    not_held = messages.FlowNotHeld(flow=KEY, delivered_ms=20)
    assert _answers(harness) == [("10.0.0.1", not_held), ("10.0.0.2", not_held)]


def test_a_late_return_reaches_all_balancers_that_presumed_the_holder() -> None:
    """Guards against balancers that go on to send packets to the wrong upstream."""
    harness = _unsure_sidecar()
    _send_lookup(harness, 2)
    harness.tick(0.2)
    _answers(harness)
    harness.handle_outbound(harness.port.delivered[0]._replace(returned=True))
    (first, returned), second = _answers(harness)
    assert first == "10.0.0.1"
    assert isinstance(returned, messages.ReturnedPacket)
    assert returned.reason is messages.Refusal.NOT_HELD
    assert second == ("10.0.0.2", messages.FlowNotHeld(flow=KEY, delivered_ms=200))


def test_a_returned_flow_gets_no_further_packets() -> None:
    """Guards against copies at an upstream that has shown that it lacks the flow."""
    harness = _unsure_sidecar()
    harness.handle_outbound(harness.port.delivered[0]._replace(returned=True))
    _answers(harness)
    harness.tick(0.5)
    _send_lookup(harness, 2)
    harness.handle_inbound(DATA._replace(purpose=packets.Purpose.QUERY))
    harness.handle_inbound(DATA)
    answers = [message for _, message in _answers(harness)]
    assert answers[:2] == [messages.FlowNotHeld(flow=KEY, delivered_ms=500)] * 2
    assert isinstance(answers[2], messages.ReturnedPacket)
    assert answers[2].reason is messages.Refusal.NOT_HELD
    assert len(harness.port.delivered) == 1


def test_an_opening_ends_the_record_of_a_returned_packet() -> None:
    """Guards against a caller that is refused a flow because of an earlier one."""
    harness = _unsure_sidecar()
    harness.handle_outbound(harness.port.delivered[0]._replace(returned=True))
    assert KEY in harness.engine.suspect_flows.returned
    harness.open(KEY)
    harness.port.delivered.clear()
    harness.handle_inbound(DATA)
    assert len(harness.port.delivered) == 1
    assert KEY not in harness.engine.suspect_flows.returned


def test_the_record_of_suspect_flows_is_bounded() -> None:
    """Guards against a record that grows with each flow that is looked up."""
    harness = transparent.ready_sidecar()
    harness.engine.table.complete = False
    record = harness.engine.suspect_flows
    packet = DATA._replace(purpose=packets.Purpose.LOOKUP)
    for number in range(suspect_flows.MAX_SUSPECT_FLOWS + 10):
        key = DATA.flow[:8] + number.to_bytes(4, "big")
        harness.handle_inbound(packet._replace(flow=key))
    assert len(record.undecided) == suspect_flows.MAX_SUSPECT_FLOWS
    for flow in list(record.undecided):
        harness.handle_outbound(packet._replace(flow=flow, returned=True))
    assert len(record.returned) == suspect_flows.MAX_SUSPECT_FLOWS
    _send_lookup(harness, 1)
    harness.now += suspect_flows.UNDECIDED_SECONDS
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert not record.undecided
    harness.now += suspect_flows.RETURN_RETENTION_SECONDS
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert not record.returned
