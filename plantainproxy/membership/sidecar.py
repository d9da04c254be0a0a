"""The task that announces a sidecar to its home balancers."""

from collections import abc
import logging
import random

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.core import heartbeat
from plantainproxy.rpc import bridge, methods

CALL_TIMEOUT_SECONDS = 1.0
LEAVE_TIMEOUT_SECONDS = 1.0
"""How long a leaving sidecar waits for its homes."""

_log = logging.getLogger("plantain.heartbeat")


class Announcer:
    """A sidecar's announcement and what it learnt from the replies."""

    def __init__(
        self,
        record: _types.MemberRecord,
        *,
        client: bridge.Client,
        seeds: abc.Iterable[_types.Address],
        interval_seconds: float,
        rng: random.Random,
    ) -> None:
        """Hold the own record and the means to reach the balancers."""
        self.state = heartbeat.State(record, tuple(seeds))
        self.client = client
        self.interval_seconds = interval_seconds
        self.rng = rng
        self.published = heartbeat.Snapshot(record=record)
        self.heartbeat_due = trio.Event()
        self.send_updates, self.updates = trio.open_memory_channel[heartbeat.Snapshot](
            1
        )
        """The newest knowledge, whenever it changed."""


def snapshot(announcer: Announcer) -> heartbeat.Snapshot:
    """Return what the sidecar knows now."""
    return announcer.state.snapshot


def is_connected(announcer: Announcer) -> bool:
    """Whether a home answered lately."""
    return heartbeat.is_connected(announcer.state, now=trio.current_time())


def update_record(
    announcer: Announcer,
    *,
    member_state: _types.MemberState | None = None,
    weight: float | None = None,
) -> None:
    """Change the own record and announce it at once."""
    heartbeat.update_record(announcer.state, member_state=member_state, weight=weight)
    announcer.heartbeat_due.set()


def _publish_snapshot(announcer: Announcer) -> None:
    """Hand on the newest knowledge; an unread older one is replaced."""
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
    """Send one heartbeat and take in its reply."""
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
        _log.debug("The heartbeat to %s failed. %s", planned.home, error)
        heartbeat.record_failure(announcer.state, planned.home, now=trio.current_time())
        return
    was_refuted = heartbeat.handle_reply(
        announcer.state, planned.home, reply, now=trio.current_time()
    )
    if was_refuted:
        _log.warning("Balancer %s held us for lost; told it otherwise.", planned.home)
        announcer.heartbeat_due.set()
    _publish_snapshot(announcer)


async def _send_round(announcer: Announcer, nursery: trio.Nursery) -> None:
    """Send the heartbeats of one interval, spread over it unless news is urgent."""
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
    """Tell all homes that the sidecar has left; wait for them briefly."""
    heartbeat.update_record(announcer.state, member_state=_types.MemberState.LEFT)
    with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for planned in heartbeat.plan_heartbeats(
                announcer.state, now=trio.current_time()
            ):
                nursery.start_soon(_send_heartbeat, announcer, planned, 0.0)
