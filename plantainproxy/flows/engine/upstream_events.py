"""Start, state and end of a sidecar's upstream, and what follows for its flows."""

from collections import abc
import types

from plantainproxy.flows import messages
from plantainproxy.flows.engine import (
    completeness,
    flow_table,
    held_requests,
    outlier_detection,
    request_queue,
    sidecar_reports,
    sidecar_state,
    upstream,
    upstream_speed,
)

EXIT_GRACE_SECONDS = 1.0
"""How long a leaving upstream may serve its last flows after it stopped listening."""


def handle_heartbeat(
    engine: sidecar_state.Engine, heartbeat: upstream.Heartbeat, *, now: float
) -> bool:
    """Apply a heartbeat of the upstream; return whether it is for this sidecar."""
    if heartbeat.pool != engine.identity.location.pool:
        engine.log.write_limited(
            "heartbeat refused", instance=heartbeat.instance, pool=heartbeat.pool
        )
        return False
    before = engine.upstream.newest
    state_before = engine.upstream.state
    has_returned = heartbeat.born <= engine.upstream.ended_born
    if upstream.record_heartbeat(engine.upstream, heartbeat, now=now):
        if has_returned:
            _handle_return(engine, heartbeat)
        elif before is not None:
            _handle_new_incarnation(engine, heartbeat, before, state_before, now=now)
        else:
            _handle_first_heartbeat(engine, heartbeat, state_before)
    if engine.upstream.state is messages.UpstreamState.READY:
        engine.exit_deadline = None
    if engine.upstream.state is not state_before:
        engine.log.write(
            "upstream state",
            instance=heartbeat.instance,
            state=engine.upstream.state,
            before=state_before,
            cold_seconds=heartbeat.cold_seconds,
            born=heartbeat.born,
            number=heartbeat.number,
        )
    newest, inherited_born = engine.upstream.newest, engine.inherited_born
    if newest and inherited_born is not None and newest.born > inherited_born:
        _reset_inherited_flows(engine)
    engine.request_queue.slots = max(sidecar_state.slots(engine), 1)
    held_requests.release_held(engine, now=now)
    sidecar_reports.send_due_reports(engine, now=now)
    return True


def _handle_new_incarnation(
    engine: sidecar_state.Engine,
    heartbeat: upstream.Heartbeat,
    before: upstream.Heartbeat,
    state_before: messages.UpstreamState,
    *,
    now: float,
) -> None:
    """Reset the flows of the incarnation before, unless it ended before this process.

    The table has only flows seen since this process started. An upstream that started
    earlier holds them all; the heartbeat before was late, of an ended incarnation.
    """
    engine.exit_deadline = None
    if heartbeat.born < engine.identity.boot:
        engine.log.write(
            "late heartbeat replaced",
            instance=heartbeat.instance,
            born=heartbeat.born,
            before=before.born,
        )
        return
    if state_before is messages.UpstreamState.READY:
        outlier_detection.record_crash(engine.outlier_detector, now=now)
    _reset_all_flows(engine, reason="upstream restarted")
    engine.table.complete = True


def _handle_return(engine: sidecar_state.Engine, heartbeat: upstream.Heartbeat) -> None:
    """Start to observe the flows of an upstream that seemed to have ended.

    It may hold flows that this process denied meanwhile.
    """
    engine.log.write(
        "upstream returned", instance=heartbeat.instance, born=heartbeat.born
    )
    completeness.restart_observation(engine.table)


def _handle_first_heartbeat(
    engine: sidecar_state.Engine,
    heartbeat: upstream.Heartbeat,
    state_before: messages.UpstreamState,
) -> None:
    """Reset the flows of an upstream that left before it sent a heartbeat, if one did.

    It had announced its end or stopped listening, so that it got no new flows. A later
    incarnation that is ready holds none of the table's.
    """
    has_left = (
        state_before is messages.UpstreamState.DRAINING
        or engine.exit_deadline is not None
    )
    if not has_left or engine.upstream.state is messages.UpstreamState.DRAINING:
        return
    if _is_later_incarnation(engine, heartbeat):
        _reset_all_flows(engine, reason="upstream restarted")
        engine.table.complete = True


def _is_later_incarnation(
    engine: sidecar_state.Engine, heartbeat: upstream.Heartbeat
) -> bool:
    """Return whether an upstream started after the one that this process found.

    That one is known by the snapshot, or started before this process.
    """
    if engine.inherited_born is not None:
        return heartbeat.born > engine.inherited_born
    return heartbeat.born >= engine.identity.boot


def handle_deregistration(
    engine: sidecar_state.Engine,
    instance: str,
    *,
    born: int | None = None,
    now: float,
) -> None:
    """Mark the upstream as draining: it has announced that it is about to end.

    ``born`` is the start of the incarnation that is about to end, if it is stated.
    """
    state_before = engine.upstream.state
    if not upstream.mark_draining(engine.upstream, instance, born):
        engine.log.write_limited(
            "deregistration ignored", instance=instance, born=born, state=state_before
        )
        return
    if engine.upstream.state is state_before:
        return
    engine.log.write(
        "upstream state",
        instance=instance,
        state=engine.upstream.state,
        before=state_before,
        reason="upstream leaves",
    )
    held_requests.release_held(engine, now=now)
    sidecar_reports.send_due_reports(engine, now=now)


def handle_connection_refused(engine: sidecar_state.Engine, *, now: float) -> None:
    """Handle a refused connection to the upstream's address.

    An upstream that was ready has crashed. A draining one stops listening before its
    last flows are served, so it gets a grace period. So does one of unknown state: it
    may have announced its end to an earlier process, or while there was none.
    """
    state = engine.upstream.state
    if state is messages.UpstreamState.GONE:
        return
    if _was_ready(engine, now=now):
        handle_upstream_exit(engine, reason="connection refused", now=now)
    elif engine.exit_deadline is None:
        engine.exit_deadline = now + EXIT_GRACE_SECONDS
        engine.log.write(
            "upstream not listening", state=state, grace_seconds=EXIT_GRACE_SECONDS
        )


def _was_ready(engine: sidecar_state.Engine, *, now: float) -> bool:
    """Return whether the upstream was in service shortly before now."""
    state = engine.upstream.state
    if state is messages.UpstreamState.UNKNOWN:
        return now < engine.ready_until
    return state is messages.UpstreamState.READY


def handle_connected(engine: sidecar_state.Engine, *, now: float) -> None:
    """Handle a connection that the upstream's address has accepted.

    An upstream that had stopped listening has then ended, and the next incarnation has
    started; its state is not known yet.
    """
    if engine.exit_deadline is None:
        return
    handle_upstream_exit(engine, reason="another listens", now=now)
    upstream.mark_unknown(engine.upstream)
    if engine.not_listening_since is not None:
        end_not_listening_grace(engine)


def inherit_ready_state(
    engine: sidecar_state.Engine, *, until: float, now: float
) -> None:
    """Record that the upstream was ready when the process before this one stopped.

    Until ``until``, a refused connection shows a crash, also one refused already.
    """
    engine.ready_until = until
    if (
        engine.upstream.state is messages.UpstreamState.UNKNOWN
        and engine.exit_deadline is not None
    ):
        handle_connection_refused(engine, now=now)


def end_exit_grace(engine: sidecar_state.Engine, *, now: float) -> None:
    """Treat the upstream as ended after the grace period."""
    is_draining = engine.upstream.state is messages.UpstreamState.DRAINING
    reason = "left" if is_draining else "not listening"
    handle_upstream_exit(engine, reason=reason, now=now)


def handle_upstream_exit(
    engine: sidecar_state.Engine, *, reason: str, now: float
) -> None:
    """Mark the upstream as gone and reset its flows: its process has ended."""
    engine.exit_deadline = None
    was_ready = engine.upstream.state is messages.UpstreamState.READY
    if not upstream.mark_gone(engine.upstream, inherited_born=engine.inherited_born):
        return
    if was_ready:
        outlier_detection.record_crash(engine.outlier_detector, now=now)
    engine.log.write("upstream state", state=engine.upstream.state, reason=reason)
    _reset_all_flows(engine, reason=reason)
    engine.table.complete = True
    sidecar_reports.send_due_reports(engine, now=now)


def handle_not_listening(engine: sidecar_state.Engine, *, now: float) -> None:
    """Start the grace period of an upstream that does not listen at process start.

    A leaving upstream may still serve its last flows. One that has reported that it is
    ready may have just started, so that the next attempt decides.
    """
    engine.not_listening_since = now
    if not _was_ready(engine, now=now):
        handle_connection_refused(engine, now=now)


def end_not_listening_grace(engine: sidecar_state.Engine) -> None:
    """Treat an earlier upstream as ended after the grace period."""
    engine.not_listening_since = None
    newest = engine.upstream.newest
    if newest is not None and newest.born < engine.identity.boot:
        # An upstream that is older than this process has sent a heartbeat since.
        return
    engine.has_earlier_upstream_ended = True
    engine.table.complete = True
    if engine.inherited_born is not None and engine.upstream.newest is None:
        _reset_inherited_flows(engine)


def apply_snapshot(
    engine: sidecar_state.Engine,
    born: int,
    flows: abc.Mapping[bytes, int],
    *,
    unconfirmed: abc.Mapping[bytes, int] = types.MappingProxyType({}),
    closed: abc.Iterable[bytes] = (),
    now: float,
) -> None:
    """Add the flows that an earlier sidecar process saved to the table.

    ``flows`` has the callers' acknowledgements, and ``unconfirmed`` the upstream's
    initial sequence numbers. The flows that no packet has shown until then are reset
    when the incarnation that held them, ``born``, is confirmed to have ended.
    """
    was_complete = engine.table.complete
    completeness.inherit(
        engine.table, flows, unconfirmed=unconfirmed, closed=closed, now=now
    )
    engine.inherited_born = born
    if _has_ended(engine, born):
        _reset_inherited_flows(engine)
    elif was_complete:
        flow_table.remove_inherited(engine.table)


def _has_ended(engine: sidecar_state.Engine, born: int) -> bool:
    """Return whether an incarnation of the upstream is known to have ended."""
    newest = engine.upstream.newest
    if newest is not None and newest.born > born:
        return True
    if engine.upstream.state is messages.UpstreamState.GONE:
        return True
    return newest is None and engine.has_earlier_upstream_ended


def _reset_inherited_flows(engine: sidecar_state.Engine) -> None:
    engine.inherited_born = None
    open_flows = flow_table.remove_inherited(engine.table)
    for key, flow in open_flows:
        engine.port.reset(key, flow.caller_acknowledgement)
    if open_flows:
        engine.log.write(
            "flows reset",
            count=len(open_flows),
            reason="upstream ended before this process",
        )


def health_check_path(engine: sidecar_state.Engine) -> str | None:
    """Return the path of the health check while the upstream's state is unknown.

    Returns ``None`` in any other state, and without a policy for the pool.
    """
    current = engine.policies.current
    if current is None or engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return None
    limits = current.pools.get(engine.identity.location.pool)
    return limits.health_path if limits else None


def handle_health_check_passed(engine: sidecar_state.Engine, *, now: float) -> None:
    """Mark an upstream that has sent no heartbeat yet as ready.

    Called after a successful health check.
    """
    if engine.upstream.state is not messages.UpstreamState.UNKNOWN:
        return
    engine.upstream.state = messages.UpstreamState.READY
    current = engine.policies.current
    limits = current.pools.get(engine.identity.location.pool) if current else None
    cold_seconds = limits.cold_seconds if limits else 0.0
    # The health check does not state whether the upstream is cold; assume it is.
    engine.upstream.cold_until = now + cold_seconds
    engine.log.write("upstream state", state=engine.upstream.state, reason="healthy")
    sidecar_reports.send_due_reports(engine, now=now)


def _reset_all_flows(engine: sidecar_state.Engine, *, reason: str) -> None:
    """Reset every open flow, as the incarnation that held them has ended."""
    dropped = request_queue.clear(engine.request_queue)
    if dropped:
        engine.log.count("dropped.held", dropped)
    engine.inherited_born = None
    open_flows = flow_table.remove_all(engine.table)
    upstream_speed.clear(engine.speed)
    for key, flow in open_flows:
        engine.port.reset(key, flow.caller_acknowledgement)
    if open_flows:
        engine.log.write("flows reset", count=len(open_flows), reason=reason)
