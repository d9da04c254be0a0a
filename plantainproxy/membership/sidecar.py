"""The task that sends a sidecar's heartbeats to its home balancers."""

from collections import abc
import logging
import random

import trio

from plantainproxy import _exceptions, _members, _types
from plantainproxy.core import heartbeat
from plantainproxy.rpc import bridge, methods

CALL_TIMEOUT_SECONDS = 1.0
LEAVE_TIMEOUT_SECONDS = 1.0
"""How long a leaving sidecar waits for replies of its homes."""

_log = logging.getLogger("plantain.heartbeat")


class Announcer:
    """Heartbeat state of a sidecar, with the values received in replies."""

    def __init__(
        self,
        record: _members.MemberRecord,
        *,
        client: bridge.Client,
        seeds: abc.Iterable[_types.Address],
        interval_seconds: float,
        rng: random.Random,
    ) -> None:
        """Create an announcer that sends its first heartbeats to the seeds."""
        self.state = heartbeat.State(record, tuple(seeds))
        self.client = client
        self.interval_seconds = interval_seconds
        self.rng = rng
        self.published = heartbeat.Snapshot(record=record)
        self.heartbeat_due = trio.Event()
        self.send_updates, self.updates = trio.open_memory_channel[heartbeat.Snapshot](
            1
        )
        """The newest snapshot after each change."""


def snapshot(announcer: Announcer) -> heartbeat.Snapshot:
    """Return the local record and the latest values received from the homes."""
    return announcer.state.snapshot


def is_connected(announcer: Announcer) -> bool:
    """Whether a home replied recently."""
    return heartbeat.is_connected(announcer.state, now=trio.current_time())


def update_record(
    announcer: Announcer,
    *,
    member_state: _types.MemberState | None = None,
    weight: float | None = None,
) -> None:
    """Update the local record and announce it without delay."""
    heartbeat.update_record(announcer.state, member_state=member_state, weight=weight)
    announcer.heartbeat_due.set()


def _publish_snapshot(announcer: Announcer) -> None:
    """Send the snapshot to the reader if it changed, in place of an unread one."""
    newest = announcer.state.snapshot
    if newest == announcer.published:
        return
    announcer.published = newest
    try:
        announcer.send_updates.send_nowait(newest)
    except trio.WouldBlock:
        announcer.updates.receive_nowait()
        announcer.send_updates.send_nowait(newest)


async def _send_heartbeat(
    announcer: Announcer, planned: heartbeat.PlannedHeartbeat, interval_seconds: float
) -> None:
    """Send one heartbeat and apply its reply."""
    try:
        reply = await bridge.call(
            announcer.client,
            planned.home,
            methods.Method.HEARTBEAT,
            heartbeat.build_request(
                announcer.state, planned, interval_seconds=interval_seconds
            ),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    except _exceptions.PlantainError as error:
        _log.debug("Heartbeat to %s failed: %s", planned.home, error)
        heartbeat.record_failure(announcer.state, planned.home, now=trio.current_time())
        return
    was_refuted = heartbeat.handle_reply(
        announcer.state, planned.home, reply, now=trio.current_time()
    )
    if was_refuted:
        _log.warning(
            "Balancer %s has a record of this sidecar that is marked lost or newer; "
            "sending a record that supersedes it.",
            planned.home,
        )
        announcer.heartbeat_due.set()
    _publish_snapshot(announcer)


async def _send_round(announcer: Announcer, nursery: trio.Nursery) -> None:
    """Send the heartbeats of one interval, spread over it.

    A change of the local record sends the next heartbeat without delay.
    """
    announcer.heartbeat_due = trio.Event()
    _publish_snapshot(announcer)
    state = announcer.state
    planned_heartbeats = heartbeat.plan_heartbeats(state, now=trio.current_time())
    interval = heartbeat.heartbeat_interval(
        state, default_seconds=announcer.interval_seconds
    )
    pause = interval * announcer.rng.uniform(0.9, 1.0) / max(1, len(planned_heartbeats))
    for planned in planned_heartbeats:
        nursery.start_soon(_send_heartbeat, announcer, planned, interval)
        with trio.move_on_after(pause):
            await announcer.heartbeat_due.wait()
    if not planned_heartbeats:
        await trio.sleep(pause)


async def run(announcer: Announcer) -> None:
    """Send heartbeats until cancelled."""
    async with trio.open_nursery() as nursery:
        while True:
            await _send_round(announcer, nursery)


async def leave(announcer: Announcer) -> None:
    """Notify all homes that the sidecar has left; wait briefly for their replies."""
    heartbeat.update_record(announcer.state, member_state=_types.MemberState.LEFT)
    with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for planned in heartbeat.plan_heartbeats(
                announcer.state, now=trio.current_time()
            ):
                nursery.start_soon(_send_heartbeat, announcer, planned, 0.0)
