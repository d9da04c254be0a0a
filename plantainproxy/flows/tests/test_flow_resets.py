"""Orders of events in which flows of a running upstream are reset or denied."""

import pytest

from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import upstream, upstream_events
from plantainproxy.flows.programs import upstream_monitor
from testbed import transparent

KEY = transparent.flow_key(1)
OPENING = transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
COPY = OPENING._replace(acknowledgement=1)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)
TICK_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.2


def test_a_late_copy_of_an_opening_does_not_reset_the_flow() -> None:
    """Guards against the reset of an open flow by a late copy of its opening.

    The copy arrives after the handshake, when the upstream has begun to drain and the
    pool has no other one. The sidecar refuses it although the flow table has the flow.
    """
    harness = transparent.ready_balancer(1)
    sidecar = transparent.ready_sidecar()
    harness.handle_packet(OPENING)
    sidecar.open(KEY)
    harness.handle_packet(DATA)
    sidecar.handle_heartbeat(2, draining=True)
    state = sidecar.engine.upstream.state
    harness.handle_message(1, transparent.make_report(number=2, state=state))
    harness.handle_packet(COPY)
    sidecar.port.sent_messages.clear()
    sidecar.handle_inbound(COPY)
    for reason in sidecar.port.refusals():
        harness.handle_returned_packet(1, COPY, reason)
    assert harness.port.resets == []


def test_a_late_copy_of_an_opening_leaves_the_holder_cached() -> None:
    """Guards against a queued copy that replaces the cache entry of an open flow."""
    harness = transparent.ready_balancer(2)
    harness.handle_packet(OPENING)
    holder = harness.engine.flows[KEY].upstream
    first = int(holder.host.rpartition(".")[2])
    other = 3 - first
    harness.handle_message(other, transparent.make_report(number=2, room=0))
    harness.handle_packet(DATA)
    harness.handle_packet(COPY)
    harness.handle_returned_packet(first, COPY, messages.Refusal.DOMAIN_OUT)
    harness.handle_message(other, transparent.make_report(number=3))
    harness.tick(TICK_SECONDS)
    cached = harness.engine.flows.get(KEY)
    assert cached is not None
    assert cached.upstream == holder


def test_a_new_flow_from_the_port_of_an_earlier_one_is_placed() -> None:
    """Guards against an opening that is taken for a late copy and waits for nothing.

    The domain of the earlier flow's upstream has been taken out meanwhile.
    """
    harness = transparent.ready_balancer(2)
    harness.handle_packet(OPENING)
    first = int(harness.engine.flows[KEY].upstream.host.rpartition(".")[2])
    harness.handle_packet(DATA)
    harness.port.forwarded.clear()
    harness.handle_packet(OPENING)
    harness.handle_returned_packet(first, OPENING, messages.Refusal.DOMAIN_OUT)
    hosts = harness.port.hosts(packets.Purpose.OPEN)
    assert transparent.address(3 - first).host in hosts


def test_a_balancer_with_an_earlier_policy_resets_no_open_flow() -> None:
    """Guards against the reset of an open flow on a route that was just added.

    The flow was opened through a balancer that has the new policy. Sidecars report its
    order to this one, which has not pulled it yet.
    """
    harness = transparent.ready_balancer(2)
    key = transparent.flow_key(1, b"\x02\x00\x12\xc6\xbb\x01")
    for number in (1, 2):
        harness.handle_message(number, transparent.make_report(number=2, revision=2))
    harness.handle_packet(
        transparent.make_packet(
            key,
            sequence=1,
            size=100,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
    )
    assert harness.port.resets == []


def test_later_heartbeats_show_that_the_upstream_has_not_ended() -> None:
    """Guards against a running upstream that is out of service until it restarts.

    One connection attempt failed; the heartbeats of the next 19 s are ignored.
    """
    sidecar = transparent.ready_sidecar()
    sidecar.handle_heartbeat(2)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    for number in range(3, 100):
        sidecar.tick(HEARTBEAT_SECONDS)
        sidecar.handle_heartbeat(number)
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY


def test_an_upstream_that_starts_after_its_clock_was_set_back_is_served() -> None:
    """Guards against heartbeats that are ignored until the clock has caught up."""
    sidecar = transparent.ready_sidecar()
    sidecar.handle_heartbeat(2, born=3_600_000)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    for number in range(1, 100):
        sidecar.tick(HEARTBEAT_SECONDS)
        sidecar.handle_heartbeat(number, born=60_000)
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY


def test_a_table_is_not_complete_beside_an_earlier_upstream_with_heartbeats() -> None:
    """Guards against denied flows of a running upstream.

    The first connection attempt of a new process failed, then heartbeats arrived of an
    incarnation that is older than the process.
    """
    sidecar = transparent.SidecarHarness()
    sidecar.apply_policy(transparent.make_policy(1))
    upstream_events.handle_not_listening(sidecar.engine, now=sidecar.now)
    for number in range(1, 12):
        sidecar.handle_heartbeat(number, born=sidecar.engine.identity.boot - 1)
        sidecar.tick(HEARTBEAT_SECONDS)
    assert not sidecar.engine.table.complete


def _restarted_sidecar() -> transparent.SidecarHarness:
    """Return a sidecar that has just started beside an upstream with an open flow."""
    sidecar = transparent.SidecarHarness()
    sidecar.apply_policy(transparent.make_policy(1))
    sidecar.apply_snapshot({KEY: 42})
    return sidecar


@pytest.mark.parametrize("is_healthy", [False, True])
def test_an_upstream_that_leaves_before_its_first_heartbeat_keeps_its_flows(
    is_healthy: bool,
) -> None:
    """Guards against resets of flows that a leaving upstream still serves.

    The sidecar was restarted, and the upstream deregisters and stops listening before
    its next heartbeat is due (review/11).
    """
    sidecar = _restarted_sidecar()
    if is_healthy:
        upstream_events.handle_health_check_passed(sidecar.engine, now=sidecar.now)
    upstream_events.handle_deregistration(sidecar.engine, "i-1", now=sidecar.now)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS / 2)
    assert sidecar.engine.upstream.state is messages.UpstreamState.DRAINING
    assert sidecar.port.resets == []
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS)
    assert sidecar.port.resets == [KEY]


def test_the_incarnation_after_one_that_left_unseen_is_served() -> None:
    """Guards against the state of an upstream that left and outlives its incarnation.

    The flows of the earlier incarnation are reset as soon as the next one is known.
    """
    sidecar = _restarted_sidecar()
    sidecar.handle_inbound(DATA)
    upstream_events.handle_deregistration(sidecar.engine, "i-1", now=sidecar.now)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    sidecar.handle_heartbeat(1, born=sidecar.engine.identity.boot + 2_000)
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY
    assert sidecar.port.resets == [KEY]
    other = transparent.flow_key(2)
    sidecar.open(other)
    sidecar.tick(2 * upstream_events.EXIT_GRACE_SECONDS)
    assert sidecar.port.resets == [KEY]


def test_a_late_deregistration_resets_no_flow_of_the_running_upstream() -> None:
    """Guards against resets by a deregistration of an incarnation that ended before.

    The next one started before this sidecar process, which has no heartbeat of it yet.
    """
    sidecar = transparent.SidecarHarness()
    sidecar.apply_policy(transparent.make_policy(1))
    born = sidecar.engine.identity.boot - 1
    sidecar.apply_snapshot({KEY: 42}, born=born)
    upstream_events.handle_deregistration(sidecar.engine, "i-0", now=sidecar.now)
    sidecar.handle_heartbeat(9, born=born)
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY
    assert sidecar.port.resets == []


@pytest.mark.parametrize("is_first_attempt", [False, True])
def test_an_upstream_of_unknown_state_keeps_its_flows_when_it_stops_listening(
    is_first_attempt: bool,
) -> None:
    """Guards against resets of flows that a leaving upstream still serves.

    The upstream announced its end before the sidecar was restarted, and its
    deregistration found no process. The monitor repeats refused attempts.
    """
    sidecar = _restarted_sidecar()
    if is_first_attempt:
        upstream_events.handle_not_listening(sidecar.engine, now=sidecar.now)
    for _ in range(3):
        upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
        sidecar.tick(upstream_monitor.RETRY_INTERVAL_SECONDS)
    sidecar.handle_inbound(DATA)
    assert sidecar.port.resets == []
    assert sidecar.port.delivered == [DATA]
    sidecar.tick(upstream_monitor.RETRY_INTERVAL_SECONDS)
    assert sidecar.port.resets == [KEY]
    assert sidecar.engine.upstream.state is messages.UpstreamState.GONE


@pytest.mark.parametrize("is_heartbeat", [False, True])
def test_a_crash_after_a_restart_resets_the_flows_at_once(is_heartbeat: bool) -> None:
    """Guards against callers that wait because the sidecar was restarted.

    A heartbeat or a health check has shown that the upstream is in service.
    """
    sidecar = _restarted_sidecar()
    if is_heartbeat:
        sidecar.handle_heartbeat(7)
    else:
        upstream_events.handle_health_check_passed(sidecar.engine, now=sidecar.now)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    assert sidecar.port.resets == [KEY]


def test_the_grace_period_of_an_upstream_does_not_end_the_next_one() -> None:
    """Guards against resets of flows of an upstream that has just started.

    Its address had refused connections, and its first heartbeat is late.
    """
    sidecar = _restarted_sidecar()
    upstream_events.handle_not_listening(sidecar.engine, now=sidecar.now)
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS / 2)
    upstream_events.handle_connected(sidecar.engine, now=sidecar.now)
    assert sidecar.port.resets == [KEY]
    upstream_events.handle_health_check_passed(sidecar.engine, now=sidecar.now)
    other = transparent.flow_key(2)
    sidecar.open(other)
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS)
    assert sidecar.port.resets == [KEY]
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY


def test_a_late_deregistration_leaves_the_next_incarnation_in_service() -> None:
    """Guards against an announced end that outlives the incarnation it is about.

    The upstream has started again under the same name, and crashes later.
    """
    sidecar = transparent.ready_sidecar()
    sidecar.handle_heartbeat(1, born=2_000)
    sidecar.open(KEY)
    upstream_events.handle_deregistration(
        sidecar.engine, "i-1", born=1_000, now=sidecar.now
    )
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    assert sidecar.port.resets == [KEY]


def test_a_late_heartbeat_does_not_end_the_announcement_of_a_leaving_upstream() -> None:
    """Guards against resets of flows that a leaving upstream still serves.

    The sidecar was restarted, and gets a heartbeat from before the announcement last.
    """
    sidecar = _restarted_sidecar()
    upstream_events.handle_deregistration(
        sidecar.engine, "i-1", born=1_000, now=sidecar.now
    )
    sidecar.handle_heartbeat(3, born=1_000)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    assert sidecar.engine.upstream.state is messages.UpstreamState.DRAINING
    assert sidecar.port.resets == []
    sidecar.handle_heartbeat(1, born=2_000)
    assert sidecar.port.resets == [KEY]
    sidecar.handle_inbound(OPENING)
    assert sidecar.port.delivered == [OPENING]


def test_late_heartbeats_of_an_ended_upstream_do_not_put_it_in_service() -> None:
    """Guards against flows that are placed on an upstream that has crashed.

    Its last heartbeats were delayed and arrive together.
    """
    sidecar = transparent.ready_sidecar()
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    for number in range(2, 10):
        sidecar.tick(TICK_SECONDS)
        sidecar.handle_heartbeat(number)
    sidecar.tick(2 * upstream.RETURN_SECONDS)
    assert sidecar.engine.upstream.state is messages.UpstreamState.GONE
    sidecar.handle_heartbeat(1, born=2_000)
    sidecar.handle_inbound(OPENING)
    assert sidecar.port.delivered == [OPENING]


def test_a_late_heartbeat_ends_no_later_incarnation() -> None:
    """Guards against resets of flows of the incarnation after one that has ended."""
    sidecar = transparent.ready_sidecar()
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    sidecar.handle_heartbeat(2)
    sidecar.handle_heartbeat(1, born=2_000)
    sidecar.open(KEY)
    sidecar.tick(2 * upstream.RETURN_SECONDS)
    sidecar.handle_heartbeat(3)
    sidecar.handle_heartbeat(2, born=2_000)
    assert sidecar.port.resets == []


def test_the_flows_of_an_upstream_that_has_not_ended_are_not_denied() -> None:
    """Guards against lookups that reset a flow that its upstream still holds."""
    sidecar = transparent.ready_sidecar()
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    assert sidecar.engine.table.complete
    for number in range(2, 30):
        sidecar.tick(HEARTBEAT_SECONDS)
        sidecar.handle_heartbeat(number)
    assert sidecar.engine.upstream.state is messages.UpstreamState.READY
    assert not sidecar.engine.table.complete
    sidecar.handle_inbound(DATA._replace(purpose=packets.Purpose.QUERY))
    (_, message) = sidecar.port.sent_messages[-1]
    assert isinstance(message, messages.FlowUnknown)


@pytest.mark.parametrize("is_connected_first", [False, True])
def test_the_start_of_the_next_incarnation_resets_the_flows_of_the_one_that_left(
    is_connected_first: bool,
) -> None:
    """Guards against callers that wait for an upstream that has been replaced.

    It left while its sidecar was restarted, and the next one starts within the grace
    period. Packets of the flow have passed, so that it is not inherited any more.
    """
    sidecar = _restarted_sidecar()
    upstream_events.handle_not_listening(sidecar.engine, now=sidecar.now)
    sidecar.handle_inbound(DATA)
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS / 2)
    if is_connected_first:
        upstream_events.handle_connected(sidecar.engine, now=sidecar.now)
        assert sidecar.port.resets == [KEY]
    sidecar.handle_heartbeat(1, born=2_000)
    assert sidecar.port.resets == [KEY]
    other = transparent.flow_key(2)
    sidecar.open(other)
    sidecar.tick(upstream_events.EXIT_GRACE_SECONDS)
    sidecar.handle_heartbeat(2, born=2_000)
    assert sidecar.port.resets == [KEY]


def test_the_next_incarnation_after_a_draining_one_is_known_by_its_connection() -> None:
    """Guards against a state of a draining upstream that outlives its incarnation.

    The first heartbeat of the next one is late.
    """
    sidecar = transparent.ready_sidecar()
    sidecar.open(KEY)
    sidecar.handle_heartbeat(2, draining=True)
    upstream_events.handle_connection_refused(sidecar.engine, now=sidecar.now)
    upstream_events.handle_connected(sidecar.engine, now=sidecar.now)
    assert sidecar.port.resets == [KEY]
    upstream_events.handle_health_check_passed(sidecar.engine, now=sidecar.now)
    sidecar.handle_heartbeat(3)
    other = transparent.flow_key(2)
    sidecar.open(other)
    sidecar.handle_heartbeat(1, born=2_000)
    assert sidecar.port.resets == [KEY]


def test_a_deregistration_of_an_incarnation_to_come_has_no_effect_on_it() -> None:
    """Guards against another writer that keeps the next incarnation out of service.

    Found by 100,000 generated heartbeats and deregistrations, seed 83.
    """
    sidecar = transparent.ready_sidecar()
    upstream_events.handle_deregistration(
        sidecar.engine, "i-9", born=2_000, now=sidecar.now
    )
    sidecar.handle_heartbeat(1, born=2_000)
    sidecar.handle_inbound(OPENING)
    assert sidecar.port.delivered == [OPENING]
