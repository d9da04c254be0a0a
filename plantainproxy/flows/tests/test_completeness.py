"""Tests of when a sidecar's flow table is complete, and of flows that it inherits."""

import msgspec
import pytest

from plantainproxy import _types
from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import (
    completeness,
    flow_table,
    sidecar,
    upstream_events,
)
from plantainproxy.flows.stored import flow_snapshot
from testbed import transparent

KEY = transparent.flow_key(1)
OTHER = transparent.flow_key(2)
CONFIRMATION = transparent.UPSTREAM_SEQUENCE + 1
IDLE_SECONDS = transparent.make_policy(1).idle_seconds
TICK_SECONDS = 0.5
OBSERVED_SECONDS = IDLE_SECONDS + completeness.OBSERVATION_MARGIN_SECONDS


def _data(key: bytes, acknowledgement: int = CONFIRMATION) -> packets.Packet:
    return transparent.make_packet(
        key, sequence=1, size=100, acknowledgement=acknowledgement
    )


def _restarted() -> transparent.SidecarHarness:
    """Return a process that has just started beside a running upstream."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.handle_heartbeat(7)
    harness.handle_report_request(_types.Address("10.0.0.1", transparent.MESSAGE_PORT))
    return harness


def _observe(
    harness: transparent.SidecarHarness, seconds: float, *, start: float = 0.0
) -> float:
    """Run the ticks of a time; return its end."""
    for number in range(round(seconds / TICK_SECONDS) + 1):
        sidecar.observe(harness.engine, now=start + number * TICK_SECONDS)
    return start + seconds


def test_an_inherited_flow_gets_its_packets_before_the_upstream_has_sent_any() -> None:
    """Guards against lookups of flows that the last snapshot names.

    A sidecar that was killed started with an empty table.
    """
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    harness.handle_inbound(_data(KEY)._replace(purpose=packets.Purpose.LOOKUP))
    assert harness.port.delivered == [
        _data(KEY)._replace(purpose=packets.Purpose.LOOKUP)
    ]
    assert harness.port.sent_messages[-1][1] == messages.FlowHeld(
        flow=KEY, is_presumed=False
    )
    assert not harness.engine.table.complete


def test_an_inherited_flow_that_the_upstream_returns_is_removed() -> None:
    """Guards against a flow of an outdated snapshot that a sidecar claims for ever."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    harness.handle_inbound(_data(KEY))
    harness.handle_outbound(_data(KEY)._replace(returned=True))
    assert KEY not in harness.engine.table.flows
    assert harness.port.refusals() == [messages.Refusal.NOT_HELD]


def test_a_snapshot_does_not_replace_what_packets_have_shown() -> None:
    """Guards against a reset with an outdated acknowledgement of the caller."""
    harness = _restarted()
    harness.handle_outbound(transparent.make_packet(KEY, size=10))
    harness.handle_inbound(_data(KEY, CONFIRMATION + 10))
    harness.apply_snapshot({KEY: 42, OTHER: 43})
    harness.handle_heartbeat(1, born=2_000)
    assert harness.port.reset_acknowledgements == {
        KEY: CONFIRMATION + 10,
        OTHER: 43,
    }


def test_an_unconfirmed_flow_is_held_for_the_acknowledgement_of_its_upstream() -> None:
    """Guards against a reset of a flow accepted just before a planned stop.

    A copy of its opening may have been accepted elsewhere, too.
    """
    harness = _restarted()
    harness.apply_snapshot({}, unconfirmed={KEY: 5_000, OTHER: 6_000})
    harness.engine.table.complete = True
    harness.handle_inbound(_data(OTHER, 7_001))
    assert harness.port.refusals() == [messages.Refusal.NOT_HELD]
    harness.handle_inbound(_data(KEY, 5_001))
    assert harness.port.delivered == [_data(KEY, 5_001)]


def test_a_closed_flow_is_kept_for_its_last_retransmissions() -> None:
    """Guards against a reset of a caller that still waits for the last data.

    A complete table without the flow denies it.
    """
    harness = _restarted()
    harness.apply_snapshot({}, closed=[KEY])
    harness.engine.table.complete = True
    harness.handle_inbound(_data(KEY))
    assert harness.port.delivered == [_data(KEY)]
    harness.now += flow_table.CLOSED_FLOW_RETENTION_SECONDS
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert KEY not in harness.engine.table.flows


def test_an_inherited_flow_is_evicted_after_the_idle_time() -> None:
    """Guards against a table that grows by the flows of outdated snapshots."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert KEY in harness.engine.table.flows
    harness.now += IDLE_SECONDS
    sidecar.evict_expired(harness.engine, now=harness.now)
    assert harness.engine.table.flows == {}


def test_the_first_request_of_an_inherited_flow_counts_from_its_arrival() -> None:
    """Guards against requests that count as late just after a start."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    harness.now += flow_table.OPENING_COUNTS_SECONDS / 2
    assert (
        flow_table.record_inbound(harness.engine.table, _data(KEY), now=harness.now)
        == harness.now
    )


def test_inherited_flows_count_as_flows_and_not_as_requests() -> None:
    """Guards against a full upstream in the reports just after a start."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42}, unconfirmed={OTHER: 6_000})
    harness.tick(1.0)
    report = harness.port.last_report()
    assert (report.flows, report.running) == (2, 0)
    assert report.room == harness.port.last_report().slots * 2


def test_the_opening_of_an_inherited_flow_takes_room_like_a_new_one() -> None:
    """Guards against openings beyond a cold upstream's limit.

    A caller may use the port of a flow that an outdated snapshot names.
    """
    harness = _restarted()
    harness.apply_policy(transparent.make_policy(2, cold_rate=1.0))
    harness.handle_heartbeat(8, cold_seconds=10.0)
    harness.apply_snapshot({KEY: 42})
    harness.handle_inbound(
        transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    )
    assert harness.port.refusals() == [messages.Refusal.COLD]


def test_flows_are_reset_once_if_the_upstream_was_replaced_meanwhile() -> None:
    """Guards against callers that wait for an upstream that has ended.

    Its upstream was replaced while no sidecar ran. An unconfirmed flow may be held by
    another upstream, and a closed one needs no reset.
    """
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.apply_snapshot(
        {KEY: 42}, unconfirmed={OTHER: 6_000}, closed=[transparent.flow_key(3)]
    )
    harness.engine.table.complete = True
    harness.handle_heartbeat(1, born=2_000)
    harness.handle_heartbeat(2, born=2_000)
    assert harness.port.resets == [KEY]
    assert harness.engine.table.flows == {}
    assert harness.engine.table.complete


def test_flows_are_reset_once_if_the_upstream_ends_after_the_start() -> None:
    """Guards against a second reset, and against none, of an inherited flow."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    harness.handle_heartbeat(1, born=2_000)
    harness.handle_heartbeat(2, born=2_000)
    assert harness.port.resets == [KEY]


def test_a_late_heartbeat_before_that_of_a_later_upstream_resets_the_flows() -> None:
    """Guards against inherited flows of an upstream that ended before the start.

    The first heartbeat was late, of the upstream that held them.
    """
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    boot = harness.engine.identity.boot
    harness.apply_snapshot({KEY: 42}, born=boot - 2)
    harness.handle_heartbeat(9, born=boot - 2)
    assert harness.port.resets == []
    harness.handle_heartbeat(1, born=boot - 1)
    assert harness.port.resets == [KEY]


def test_a_late_heartbeat_does_not_date_the_next_snapshot_back() -> None:
    """Guards against a reset of running flows by the process after the next one."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.apply_snapshot({KEY: 42}, born=1_000)
    harness.handle_heartbeat(9, born=900)
    snapshot = flow_snapshot.take_snapshot(harness.engine)
    assert snapshot is not None
    assert snapshot.born == 1_000
    final = flow_snapshot.take_final_snapshot(harness.engine, era=0)
    assert final is not None
    assert final.born == 1_000


def test_a_snapshot_that_arrives_after_the_end_of_its_upstream_is_reset() -> None:
    """Guards against callers that wait because the store responded late."""
    crashed = transparent.SidecarHarness()
    crashed.handle_heartbeat()
    upstream_events.handle_connection_refused(crashed.engine, now=crashed.now)
    refused = transparent.SidecarHarness()
    upstream_events.handle_connection_refused(refused.engine, now=refused.now)
    refused.tick(upstream_events.EXIT_GRACE_SECONDS)
    absent = transparent.SidecarHarness()
    upstream_events.handle_not_listening(absent.engine, now=absent.now)
    absent.tick(upstream_events.EXIT_GRACE_SECONDS)
    for harness in (crashed, refused, absent):
        harness.apply_snapshot({KEY: 42})
        assert harness.port.resets == [KEY]
        assert harness.engine.table.flows == {}


@pytest.mark.parametrize(
    "packet",
    [
        _data(KEY),
        transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN),
    ],
    ids=["data", "opening"],
)
def test_an_inherited_flow_with_a_callers_packet_is_not_reset_with_the_others(
    packet: packets.Packet,
) -> None:
    """Guards against a reset of a flow of the upstream that runs now.

    Its first heartbeat arrives after the packet.
    """
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.apply_snapshot({KEY: 42, OTHER: 43})
    upstream_events.handle_health_check_passed(harness.engine, now=harness.now)
    harness.handle_inbound(packet)
    assert harness.port.delivered == [packet]
    harness.handle_heartbeat(1, born=2_000)
    assert harness.port.resets == [OTHER]


def test_an_inherited_flow_with_an_upstreams_packet_is_not_reset_with_the_others() -> (
    None
):
    """Guards against a reset of a flow of the upstream that runs now."""
    harness = transparent.SidecarHarness()
    harness.apply_policy(transparent.make_policy(1))
    harness.apply_snapshot({KEY: 42, OTHER: 43})
    harness.handle_outbound(transparent.make_packet(KEY, size=10))
    harness.handle_heartbeat(1, born=2_000)
    assert harness.port.resets == [OTHER]


def test_a_snapshot_that_arrives_after_the_table_is_complete_adds_no_flow() -> None:
    """Guards against flows of an outdated snapshot once the table shows all flows.

    The store responded only after the observation had ended.
    """
    harness = _restarted()
    harness.engine.table.complete = True
    harness.apply_snapshot({KEY: 42})
    assert harness.engine.table.flows == {}
    assert harness.port.resets == []


def test_a_process_that_stops_refuses_openings() -> None:
    """Guards against a flow that the final snapshot does not name."""
    harness = transparent.ready_sidecar()
    sidecar.stop(harness.engine, now=harness.now)
    opening = transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    harness.handle_inbound(opening)
    assert harness.port.delivered == []
    assert harness.port.refusals() == [messages.Refusal.NOT_READY]


def test_the_final_snapshot_has_the_flows_that_other_snapshots_leave_out() -> None:
    """Guards against a complete table without them: downloads and unconfirmed flows."""
    harness = transparent.ready_sidecar()
    harness.apply_policy(transparent.make_download_policy(2))
    downloading = transparent.flow_key(3, transparent.DOWNLOAD_SERVICE)
    closed = transparent.flow_key(4)
    for key in (KEY, downloading, closed):
        harness.open(key)
    harness.handle_inbound(
        transparent.make_packet(closed, aborting=True, acknowledgement=CONFIRMATION)
    )
    for key in (OTHER, transparent.flow_key(5)):
        harness.handle_inbound(
            transparent.make_packet(key, opening=True, purpose=packets.Purpose.OPEN)
        )
    harness.handle_outbound(
        transparent.make_packet(OTHER, accepting=True, sequence=6_000)
    )
    final = flow_snapshot.take_final_snapshot(harness.engine, era=3)
    assert final is not None
    assert final.flows == {KEY: CONFIRMATION, downloading: CONFIRMATION}
    assert final.unconfirmed == {OTHER: 6_000}
    assert final.closed == (closed,)
    assert final.is_final
    assert final.era == 3


def test_no_acceptance_passes_after_the_final_snapshot() -> None:
    """Guards against a caller that uses a flow which the snapshot does not name.

    The upstream accepts while the snapshot is being written, and repeats that later.
    """
    harness = transparent.ready_sidecar()
    for key in (KEY, OTHER):
        harness.handle_inbound(
            transparent.make_packet(key, opening=True, purpose=packets.Purpose.OPEN)
        )
    named = transparent.make_packet(OTHER, accepting=True, sequence=6_000)
    harness.handle_outbound(named)
    flow_snapshot.take_final_snapshot(harness.engine, era=0)
    harness.handle_outbound(transparent.make_packet(KEY, accepting=True, sequence=1))
    harness.handle_outbound(named)
    assert harness.port.sent_to_callers == [named, named]
    assert harness.engine.log.counters["dropped.handed_over"] == 1


def test_no_confirmation_passes_after_the_final_snapshot() -> None:
    """Guards against a flow whose next acknowledgement the next process denies.

    The snapshot has it as unconfirmed; after the first response the caller's number is
    another one than that of the acceptance.
    """
    harness = transparent.ready_sidecar()
    harness.open(OTHER)
    harness.handle_inbound(
        transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    )
    harness.handle_outbound(
        transparent.make_packet(
            KEY, accepting=True, sequence=transparent.UPSTREAM_SEQUENCE
        )
    )
    flow_snapshot.take_final_snapshot(harness.engine, era=0)
    harness.port.delivered.clear()
    harness.handle_inbound(_data(KEY))
    harness.handle_inbound(_data(OTHER))
    assert harness.port.delivered == [_data(OTHER)]


def test_a_process_with_an_incomplete_table_hands_over_no_complete_one() -> None:
    """Guards against a denial of flows that neither process has seen."""
    harness = _restarted()
    harness.apply_snapshot({KEY: 42})
    final = flow_snapshot.take_final_snapshot(harness.engine, era=0)
    assert final is not None
    assert final.flows == {KEY: 42}
    assert not final.is_final
    acceptance = transparent.make_packet(OTHER, accepting=True, sequence=1)
    harness.handle_outbound(acceptance)
    assert harness.port.sent_to_callers == [acceptance]


def test_balancers_learn_at_once_that_the_table_is_complete() -> None:
    """Guards against lookups that deliver packets on suspicion for half a second."""
    harness = _restarted()
    harness.tick(0.01)
    assert not harness.port.last_report().complete
    harness.engine.table.complete = True
    harness.tick(0.01)
    assert harness.port.last_report().complete


def test_a_table_is_complete_once_every_flow_in_use_has_had_a_packet() -> None:
    """Guards against a table that stays incomplete until the upstream restarts."""
    harness = _restarted()
    now = _observe(harness, OBSERVED_SECONDS - TICK_SECONDS)
    assert not harness.engine.table.complete
    sidecar.observe(harness.engine, now=now + TICK_SECONDS)
    assert harness.engine.table.complete


@pytest.mark.parametrize("paused_seconds", [1.0, 30.0, 3_600.0])
def test_a_pause_starts_the_observation_again(paused_seconds: float) -> None:
    """Guards against a denial of a flow whose only packets were lost in the pause.

    The process is stopped by a signal, or the machine is suspended.
    """
    harness = _restarted()
    now = _observe(harness, OBSERVED_SECONDS - TICK_SECONDS) + paused_seconds
    now = _observe(harness, OBSERVED_SECONDS - TICK_SECONDS, start=now)
    assert not harness.engine.table.complete
    sidecar.observe(harness.engine, now=now + TICK_SECONDS)
    assert harness.engine.table.complete


def test_the_observation_takes_the_longest_idle_time_of_all_policies() -> None:
    """Guards against a denial of flows kept under an earlier policy."""
    harness = _restarted()
    for revision, idle_seconds in ((2, 2 * IDLE_SECONDS), (3, IDLE_SECONDS)):
        harness.apply_policy(
            msgspec.structs.replace(
                transparent.make_policy(revision), idle_seconds=idle_seconds
            )
        )
    now = _observe(harness, OBSERVED_SECONDS + IDLE_SECONDS - TICK_SECONDS)
    assert not harness.engine.table.complete
    sidecar.observe(harness.engine, now=now + TICK_SECONDS)
    assert harness.engine.table.complete


def test_without_a_policy_no_observation_ends() -> None:
    """Guards against a complete table while the idle time is not known."""
    harness = transparent.SidecarHarness()
    _observe(harness, 10 * OBSERVED_SECONDS)
    assert not harness.engine.table.complete


def test_a_flow_confirmed_after_an_incomplete_snapshot_is_not_denied() -> None:
    """Guards against a reset of a flow opened while its sidecar stops as planned.

    The table is not complete, so the confirmation passes after the snapshot. The next
    process has the flow as unconfirmed; the caller's acknowledgement is another one
    than that of the acceptance.
    """
    before = _restarted()
    before.handle_inbound(
        transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
    )
    before.handle_outbound(
        transparent.make_packet(
            KEY, accepting=True, sequence=transparent.UPSTREAM_SEQUENCE
        )
    )
    final = flow_snapshot.take_final_snapshot(before.engine, era=0)
    assert final is not None
    assert not final.is_final
    before.handle_inbound(_data(KEY))
    assert before.port.delivered[-1] == _data(KEY)
    after = _restarted()
    after.apply_snapshot(
        final.flows, unconfirmed=final.unconfirmed, closed=final.closed
    )
    query = _data(KEY, CONFIRMATION + 100)._replace(purpose=packets.Purpose.QUERY)
    after.handle_inbound(query)
    denial = messages.FlowNotHeld(flow=KEY)
    assert denial not in [message for _, message in after.port.sent_messages]
    after.handle_inbound(query._replace(purpose=packets.Purpose.FORWARD))
    assert messages.Refusal.NOT_HELD not in after.port.refusals()
