"""The task that announces a sidecar to its home balancers."""

from collections import abc
import logging
import random

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.core import heartbeat
from plantainproxy.rpc import bridge, methods

CALL_TIMEOUT_SECONDS = 1.0
LEAVE_SECONDS = 1.0
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
        self.reported = heartbeat.Snapshot(record=record)
        self.beat_now = trio.Event()
        self.send_updates, self.updates = trio.open_memory_channel[heartbeat.Snapshot](
            1
        )
        """The newest knowledge, whenever it changed."""


def knowledge(announcer: Announcer) -> heartbeat.Snapshot:
    """Return what the sidecar knows now."""
    return announcer.state.snapshot


def is_connected(announcer: Announcer) -> bool:
    """Whether a home answered lately."""
    return heartbeat.is_connected(announcer.state, now=trio.current_time())


def change(
    announcer: Announcer,
    *,
    member_state: _types.MemberState | None = None,
    weight: float | None = None,
) -> None:
    """Change the own record and announce it at once."""
    heartbeat.update_record(announcer.state, member_state=member_state, weight=weight)
    announcer.beat_now.set()


def _report(announcer: Announcer) -> None:
    """Hand on the newest knowledge; an unread older one is replaced."""
    newest = announcer.state.snapshot
    if newest == announcer.reported:
        return
    announcer.reported = newest
    try:
        announcer.send_updates.send_nowait(newest)
    except trio.WouldBlock:
        announcer.updates.receive_nowait()
        announcer.send_updates.send_nowait(newest)


async def _beat(
    announcer: Announcer, beat: heartbeat.PlannedHeartbeat, interval_seconds: float
) -> None:
    """Send one heartbeat and take in its reply."""
    try:
        reply = await bridge.call(
            announcer.client,
            beat.home,
            methods.Method.HEARTBEAT,
            heartbeat.build_request(
                announcer.state, beat, interval_seconds=interval_seconds
            ),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    except _exceptions.PlantainError as error:
        _log.debug("The heartbeat to %s failed. %s", beat.home, error)
        heartbeat.record_failure(announcer.state, beat.home, now=trio.current_time())
        return
    was_raised = heartbeat.handle_reply(
        announcer.state, beat.home, reply, now=trio.current_time()
    )
    if was_raised:
        _log.warning("Balancer %s held us for lost; told it otherwise.", beat.home)
        announcer.beat_now.set()
    _report(announcer)


async def _round(announcer: Announcer, nursery: trio.Nursery) -> None:
    """Send the heartbeats of one interval, spread over it unless news is urgent."""
    announcer.beat_now = trio.Event()
    _report(announcer)
    state = announcer.state
    beats = heartbeat.plan_heartbeats(state, now=trio.current_time())
    interval = heartbeat.heartbeat_interval(
        state, default_seconds=announcer.interval_seconds
    )
    pause = interval * announcer.rng.uniform(0.9, 1.0) / max(1, len(beats))
    for beat in beats:
        nursery.start_soon(_beat, announcer, beat, interval)
        with trio.move_on_after(pause):
            await announcer.beat_now.wait()
    if not beats:
        await trio.sleep(pause)


async def run(announcer: Announcer) -> None:
    """Send heartbeats until cancelled."""
    async with trio.open_nursery() as nursery:
        while True:
            await _round(announcer, nursery)


async def leave(announcer: Announcer) -> None:
    """Tell all homes that the sidecar has left; wait for them briefly."""
    heartbeat.update_record(announcer.state, member_state=_types.MemberState.LEFT)
    with trio.move_on_after(LEAVE_SECONDS):
        async with trio.open_nursery() as nursery:
            for beat in heartbeat.plan_heartbeats(
                announcer.state, now=trio.current_time()
            ):
                nursery.start_soon(_beat, announcer, beat, 0.0)
