"""Waiting, cancellation and task groups, on the loop of this package or on trio.

The loop of this package is used if it runs, otherwise trio.
"""

from collections import abc
import contextlib
import functools
import math
import signal
import socket
import sys
import time
import typing

from plantainproxy.eventloop import loop


class TooSlowError(Exception):
    """The time limit of ``fail_after`` was exceeded."""


class CancelScope(typing.Protocol):
    """A block that can be cancelled."""

    @property
    def cancelled_caught(self) -> bool:
        """Whether the block ended early because it was cancelled."""

    def cancel(self) -> None:
        """Cancel all waits of the block."""


class TaskGroup(typing.Protocol):
    """Tasks that end before the block that opened their group does."""

    @property
    def cancel_scope(self) -> CancelScope:
        """The scope of the block and of all tasks."""

    def start_soon(
        self,
        function: abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, object]],
        /,
        *arguments: typing.Any,
    ) -> None:
        """Start a task that calls a function."""


class Event:
    """A flag that tasks can wait for."""

    def __init__(self) -> None:
        """Create an event that is not set."""
        self.was_set = False
        self.waiters: dict[loop.Callback, None] = {}
        """Callbacks that continue the waiting tasks, in order."""

    def is_set(self) -> bool:
        """Return whether the event has happened."""
        return self.was_set

    def set(self) -> None:
        """Set the flag and continue all tasks that wait for it."""
        self.was_set = True
        waiters, self.waiters = self.waiters, {}
        for wake in waiters:
            wake()

    async def wait(self) -> None:
        """Wait until the event is set."""
        if self.was_set:
            return
        running = loop.running()
        if running is not None:
            await loop.park(running, self.waiters)
            return
        await _park_in_trio(self.waiters)


def _trio() -> typing.Any:
    """Return trio, which is loaded if one of its tasks runs."""
    return sys.modules["trio"]


async def _park_in_trio(waiters: dict[loop.Callback, None]) -> None:
    lowlevel = _trio().lowlevel
    wake = functools.partial(lowlevel.reschedule, lowlevel.current_task())
    waiters[wake] = None

    def abort(raise_cancel: object) -> typing.Any:
        del waiters[wake]
        return lowlevel.Abort.SUCCEEDED

    await lowlevel.wait_task_rescheduled(abort)


def current_time() -> float:
    """Return the seconds of a clock that never goes back."""
    if loop.running() is not None:
        return time.monotonic()
    return float(_trio().current_time())


async def sleep(seconds: float) -> None:
    """Wait for a time."""
    running = loop.running()
    if running is not None:
        await loop.sleep_until(running, time.monotonic() + seconds)
        return
    await _trio().sleep(seconds)


async def wait_readable(watched: socket.socket) -> None:
    """Wait until a socket can be read."""
    running = loop.running()
    if running is not None:
        await loop.wait_for(running, watched.fileno(), loop.READABLE)
        return
    await _trio().lowlevel.wait_readable(watched)


async def wait_writable(watched: socket.socket) -> None:
    """Wait until a socket can be written."""
    running = loop.running()
    if running is not None:
        await loop.wait_for(running, watched.fileno(), loop.WRITABLE)
        return
    await _trio().lowlevel.wait_writable(watched)


def move_on_after(
    seconds: float,
) -> contextlib.AbstractContextManager[CancelScope]:
    """Open a block that is cancelled after a time."""
    running = loop.running()
    if running is not None:
        return loop.open_cancel_scope(running, seconds)
    scope: contextlib.AbstractContextManager[CancelScope]
    scope = _trio().move_on_after(seconds)
    return scope


def open_cancel_scope() -> contextlib.AbstractContextManager[CancelScope]:
    """Open a block that can be cancelled."""
    return move_on_after(math.inf)


@contextlib.contextmanager
def fail_after(seconds: float) -> abc.Iterator[None]:
    """Open a block that is cancelled after a time and then raises ``TooSlowError``."""
    with move_on_after(seconds) as scope:
        yield
    if scope.cancelled_caught:
        raise TooSlowError(f"no end within {seconds:g} s")


def open_task_group() -> contextlib.AbstractAsyncContextManager[TaskGroup]:
    """Open a group of tasks and wait for their end when the block ends."""
    running = loop.running()
    if running is not None:
        return loop.open_task_group(running)
    group: contextlib.AbstractAsyncContextManager[TaskGroup]
    group = _trio().open_nursery()
    return group


def receive_signals(
    *numbers: signal.Signals,
) -> contextlib.AbstractContextManager[abc.AsyncIterator[int]]:
    """Open an iterator over the signals that the process receives from now on."""
    running = loop.running()
    if running is not None:
        return _receive_signals(running, numbers)
    received: contextlib.AbstractContextManager[abc.AsyncIterator[int]]
    received = _trio().open_signal_receiver(*numbers)
    return received


class _Signals:
    """Received signals, in the order of their arrival."""

    def __init__(self, source: socket.socket) -> None:
        self.source = source
        """Socket to which the interpreter writes the number of each signal."""

    def __aiter__(self) -> "_Signals":
        return self

    async def __anext__(self) -> int:
        while True:
            try:
                return self.source.recv(1)[0]
            except BlockingIOError:
                await wait_readable(self.source)


@contextlib.contextmanager
def _receive_signals(
    running: loop.Loop, numbers: tuple[signal.Signals, ...]
) -> abc.Iterator[abc.AsyncIterator[int]]:
    source, wakeup = socket.socketpair()
    source.setblocking(False)
    wakeup.setblocking(False)
    previous_wakeup = signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    # Only signals with a handler in Python are written to the socket.
    previous_handlers = {
        number: signal.signal(number, lambda *_: None) for number in numbers
    }
    # A signal that arrived before there was a handler may be blocked and pending.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
    try:
        yield _Signals(source)
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_wakeup)
        source.close()
        wakeup.close()
