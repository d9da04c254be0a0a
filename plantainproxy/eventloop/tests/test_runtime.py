"""Waiting, cancellation and task groups behave alike on the own loop and on trio."""

from collections import abc
import contextlib
import functools
import os
import signal
import socket
import time
import typing

import pytest
import trio

from plantainproxy.eventloop import loop, runtime

Run = abc.Callable[..., typing.Any]

RUNS = pytest.mark.parametrize("run", [loop.run, trio.run], ids=["loop", "trio"])
SHORT_SECONDS = 0.02
LONG_SECONDS = 30.0
"""Far above the duration of a test: a wait of this length must be cancelled."""


async def sleep_forever() -> None:
    """Wait until cancelled."""
    await runtime.sleep(LONG_SECONDS)


@RUNS
def test_a_limit_ends_a_wait_and_is_reported(run: Run) -> None:
    """Without the limit, a call to a silent peer would never end."""

    async def main() -> list[str]:
        seen = []
        with runtime.move_on_after(SHORT_SECONDS) as scope:
            await sleep_forever()
        seen.append(f"caught {scope.cancelled_caught}")
        try:
            with runtime.fail_after(SHORT_SECONDS):
                await sleep_forever()
        except runtime.TooSlowError:
            seen.append("too slow")
        with runtime.move_on_after(LONG_SECONDS) as scope:
            await runtime.sleep(0)
        seen.append(f"caught {scope.cancelled_caught}")
        return seen

    assert run(main) == ["caught True", "too slow", "caught False"]


@RUNS
def test_an_outer_limit_ends_inner_blocks(run: Run) -> None:
    """An inner block must not swallow the cancellation of an outer one."""

    async def main() -> list[str]:
        seen = []
        with runtime.move_on_after(SHORT_SECONDS) as outer:
            with runtime.move_on_after(LONG_SECONDS) as inner:
                await sleep_forever()
            seen.append("after the inner block")
        seen.append(f"{inner.cancelled_caught} {outer.cancelled_caught}")
        return seen

    assert run(main) == ["False True"]


@RUNS
def test_a_cancelled_block_ends_at_each_further_wait(run: Run) -> None:
    """Clean-up that waits must not keep a cancelled task alive."""

    async def main() -> list[str]:
        seen = []
        with runtime.move_on_after(SHORT_SECONDS):
            try:
                await sleep_forever()
            finally:
                seen.append("clean-up")
                await sleep_forever()
        return seen

    assert run(main) == ["clean-up"]


@RUNS
def test_a_group_waits_for_its_tasks(run: Run) -> None:
    """Work that a block has started is complete after the block."""

    async def main() -> list[int]:
        done = []

        async def work(number: int) -> None:
            await runtime.sleep(SHORT_SECONDS * number)
            done.append(number)

        async with runtime.open_task_group() as group:
            for number in (3, 1, 2):
                group.start_soon(work, number)
        return done

    assert sorted(run(main)) == [1, 2, 3]


def test_tasks_resume_in_the_order_of_their_times_after_a_late_pass() -> None:
    """Trio resumes tasks that are due together in any order; this loop does not.

    Guards against answers that overtake each other on a busy machine.
    """
    done: list[int] = []

    async def work(number: int) -> None:
        await runtime.sleep(SHORT_SECONDS * number)
        done.append(number)

    async def main() -> None:
        async with runtime.open_task_group() as group:
            for number in (3, 1, 2):
                group.start_soon(work, number)
            await runtime.sleep(0)
            time.sleep(4 * SHORT_SECONDS)

    loop.run(main)
    assert done == [1, 2, 3]


@RUNS
def test_an_error_ends_the_other_tasks_of_a_group(run: Run) -> None:
    """A program whose task has failed must not go on without it."""

    async def main() -> None:
        async def fail() -> None:
            await runtime.sleep(SHORT_SECONDS)
            raise ValueError("failed")

        async with runtime.open_task_group() as group:
            group.start_soon(sleep_forever)
            group.start_soon(fail)
            await sleep_forever()

    with pytest.raises(ExceptionGroup) as raised:
        run(main)
    assert [str(error) for error in raised.value.exceptions] == ["failed"]


@RUNS
def test_cancelling_a_group_ends_its_tasks_and_the_block(run: Run) -> None:
    """A stop must reach every task, also one that starts afterwards."""

    async def main() -> list[str]:
        ended = []

        async def work(name: str) -> None:
            try:
                await sleep_forever()
            finally:
                ended.append(name)

        async with runtime.open_task_group() as group:
            group.start_soon(work, "first")
            await runtime.sleep(SHORT_SECONDS)
            group.cancel_scope.cancel()
            group.start_soon(work, "late")
            await sleep_forever()
        return sorted(ended)

    assert run(main) == ["first", "late"]


@RUNS
def test_an_outer_limit_ends_a_group(run: Run) -> None:
    """A group inside a limited block ends with it and raises no error."""

    async def main() -> bool:
        with runtime.move_on_after(SHORT_SECONDS) as scope:
            async with runtime.open_task_group() as group:
                group.start_soon(sleep_forever)
                await sleep_forever()
        return scope.cancelled_caught

    assert run(main) is True


@RUNS
def test_an_event_continues_all_that_wait(run: Run) -> None:
    """A waiting task that is cancelled first must not disturb the others."""

    async def main() -> list[str]:
        event = runtime.Event()
        seen = []

        async def wait(name: str, seconds: float) -> None:
            with runtime.move_on_after(seconds):
                await event.wait()
                seen.append(name)

        async with runtime.open_task_group() as group:
            group.start_soon(wait, "first", LONG_SECONDS)
            group.start_soon(wait, "cancelled", SHORT_SECONDS)
            group.start_soon(wait, "last", LONG_SECONDS)
            await runtime.sleep(2 * SHORT_SECONDS)
            event.set()
        await event.wait()
        return sorted(seen)

    assert run(main) == ["first", "last"]


@RUNS
def test_a_cancelled_wait_for_a_socket_is_withdrawn(run: Run) -> None:
    """A later wait for the same socket must find it free and then be continued."""

    async def main() -> bytes:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            with runtime.move_on_after(SHORT_SECONDS):
                await runtime.wait_readable(near)
            far.send(b"x")
            await runtime.wait_readable(near)
            return near.recv(1)

    assert run(main) == b"x"


@RUNS
def test_a_socket_can_be_awaited_in_both_directions(run: Run) -> None:
    """A response that arrives while a large request is still sent must be seen."""

    async def main() -> list[str]:
        near, far = socket.socketpair()
        seen: list[str] = []
        with near, far:
            near.setblocking(False)
            with pytest.raises(BlockingIOError):
                while True:
                    near.send(bytes(65_536))

            async def read() -> None:
                await runtime.wait_readable(near)
                seen.append("readable")
                with contextlib.suppress(BlockingIOError):
                    while True:
                        far.recv(65_536, socket.MSG_DONTWAIT)

            async def write() -> None:
                await runtime.wait_writable(near)
                seen.append("writable")

            async with runtime.open_task_group() as group:
                group.start_soon(write)
                group.start_soon(read)
                await runtime.sleep(SHORT_SECONDS)
                far.send(b"x")
        return seen

    assert run(main) == ["readable", "writable"]


@RUNS
def test_signals_are_received_in_order_and_handlers_restored(run: Run) -> None:
    """A reload and a stop in quick succession must both be seen."""
    before = signal.getsignal(signal.SIGHUP)

    async def main() -> list[int]:
        seen = []
        with runtime.receive_signals(signal.SIGHUP, signal.SIGTERM) as received:
            async with runtime.open_task_group() as group:

                async def send() -> None:
                    os.kill(os.getpid(), signal.SIGHUP)
                    await runtime.sleep(SHORT_SECONDS)
                    os.kill(os.getpid(), signal.SIGTERM)

                group.start_soon(send)
                async for number in received:
                    seen.append(int(number))
                    if number == signal.SIGTERM:
                        break
        return seen

    assert run(main) == [signal.SIGHUP, signal.SIGTERM]
    assert signal.getsignal(signal.SIGHUP) is before


@RUNS
def test_time_advances_with_sleep(run: Run) -> None:
    """Intervals on the clock are those that tasks sleep."""

    async def main() -> float:
        started_at = runtime.current_time()
        await runtime.sleep(SHORT_SECONDS)
        return runtime.current_time() - started_at

    assert SHORT_SECONDS <= run(main) < LONG_SECONDS


def test_timers_are_called_in_the_order_of_their_times() -> None:
    """Timers of equal times must be called in the order in which they were set."""
    called: list[str] = []

    async def main() -> None:
        running = loop.require_running()
        due = time.monotonic() + SHORT_SECONDS
        running.call_at(due + SHORT_SECONDS, lambda: called.append("late"))
        running.call_at(due, lambda: called.append("first"))
        running.call_at(due, lambda: called.append("second"))
        running.call_at(due, lambda: called.append("withdrawn")).cancel()
        await runtime.sleep(3 * SHORT_SECONDS)

    loop.run(main)
    assert called == ["first", "second", "late"]


def test_a_watch_can_end_another_one_of_the_same_pass() -> None:
    """The callback of a socket that was closed by another callback is not called."""
    called = []

    async def main() -> None:
        running = loop.require_running()
        pairs = [socket.socketpair() for _ in range(2)]
        descriptors = [near.fileno() for near, _ in pairs]

        def callback(own: int, other: int) -> None:
            called.append(own)
            for descriptor in (own, other):
                running.unwatch(descriptor, loop.READABLE)

        for own, other in (descriptors, descriptors[::-1]):
            watched = functools.partial(callback, own, other)
            running.watch(own, loop.READABLE, watched)
        for _, far in pairs:
            far.send(b"x")
        await runtime.sleep(SHORT_SECONDS)
        for near, far in pairs:
            near.close()
            far.close()

    loop.run(main)
    assert len(called) == 1


def test_only_one_loop_runs_in_a_process() -> None:
    """A second loop would take over the events of the first one."""

    async def main() -> None:
        with pytest.raises(RuntimeError, match="already running"):
            loop.run(sleep_forever)

    loop.run(main)
    assert loop.running() is None


def test_the_result_and_the_error_of_the_main_function_are_passed_on() -> None:
    """An error must end the program, not the loop alone."""

    async def give() -> int:
        return 7

    async def fail() -> None:
        raise KeyError("missing")

    assert loop.run(give) == 7
    with pytest.raises(KeyError, match="missing"):
        loop.run(fail)
