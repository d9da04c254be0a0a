"""Event loop for coroutines with cancel scopes and task groups.

Cancellation is that of trio: a task whose scope is cancelled gets ``Cancelled`` at each
wait until it has left the scope. Unlike in trio, an operation that can complete at once
does not check for cancellation.
"""

import collections
from collections import abc
import contextlib
import functools
import heapq
import itertools
import math
import select
import time
import types
import typing

T = typing.TypeVar("T")

Callback = abc.Callable[[], object]
AsyncFunction = abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, object]]

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_FAILED = select.EPOLLERR | select.EPOLLHUP


class Cancelled(BaseException):
    """Raised in a task at a wait inside a cancelled scope."""


class Timer:
    """A callback that is due at a time, unless it is cancelled before."""

    def __init__(self, callback: Callback) -> None:
        """Hold the callback; ``Loop.call_at`` schedules it."""
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Withdraw the callback."""
        self.callback = None


class CancelScope:
    """A part of a task, or of all tasks of a group, that is cancelled as a whole."""

    def __init__(self, loop: "Loop", parent: "CancelScope | None") -> None:
        """Create a scope inside another one."""
        self.loop = loop
        self.parent = parent
        self.cancel_called = False
        self.cancelled_caught = False
        """Whether the scope ended early because it was cancelled."""

    def cancel(self) -> None:
        """Cancel all waits inside the scope."""
        if not self.cancel_called:
            self.cancel_called = True
            self.loop.interrupt_cancelled_tasks()


def _is_cancelled(scope: CancelScope | None) -> bool:
    while scope is not None:
        if scope.cancel_called:
            return True
        scope = scope.parent
    return False


class Task:
    """A coroutine that the loop runs."""

    def __init__(
        self,
        coroutine: abc.Coroutine[typing.Any, typing.Any, object],
        scope: CancelScope | None,
        group: "TaskGroup | None",
    ) -> None:
        """Create a task that has not started."""
        self.coroutine = coroutine
        self.scope = scope
        """Innermost scope that the task is in."""
        self.group = group
        self.abort: Callback | None = None
        """Withdraws the wait in which the task is; ``None`` if the task is not waiting
        or its wait cannot be cancelled."""


class TaskGroup:
    """Tasks that end before the block that opened their group does."""

    def __init__(self, loop: "Loop", cancel_scope: CancelScope) -> None:
        """Create an empty group."""
        self.loop = loop
        self.cancel_scope = cancel_scope
        self.tasks: set[Task] = set()
        self.errors: list[BaseException] = []
        self.waiting: Task | None = None
        """The task that waits for the end of all tasks."""

    def start_soon(self, function: AsyncFunction, *arguments: typing.Any) -> None:
        """Start a task that calls a function."""
        task = Task(function(*arguments), self.cancel_scope, self)
        self.tasks.add(task)
        self.loop.add(task)


class Loop:
    """The tasks, timers and watched descriptors of one thread."""

    def __init__(self) -> None:
        """Create a loop without tasks."""
        self.epoll = select.epoll()
        self.watched: dict[int, dict[int, Callback]] = {}
        """Callbacks by descriptor and event."""
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_numbers = itertools.count()
        self.tasks: set[Task] = set()
        self.ready: collections.deque[tuple[Task, BaseException | None]] = (
            collections.deque()
        )
        self.current: Task | None = None
        """The task that runs now."""

    def add(self, task: Task) -> None:
        """Run a new task soon."""
        self.tasks.add(task)
        self.ready.append((task, None))

    def wake(self, task: Task) -> None:
        """Continue a task whose wait is over."""
        task.abort = None
        self.ready.append((task, None))

    def interrupt_cancelled_tasks(self) -> None:
        """End the waits of all tasks that are in a cancelled scope."""
        for task in self.tasks:
            self._interrupt_if_cancelled(task)

    def call_at(self, deadline: float, callback: Callback) -> Timer:
        """Call a function at a time of ``time.monotonic``."""
        timer = Timer(callback)
        heapq.heappush(self.timers, (deadline, next(self.timer_numbers), timer))
        return timer

    def watch(self, descriptor: int, event: int, callback: Callback) -> None:
        """Call a function whenever a descriptor is readable or writable."""
        callbacks = self.watched.get(descriptor)
        if callbacks is None:
            self.watched[descriptor] = {event: callback}
            self.epoll.register(descriptor, event)
            return
        if event in callbacks:
            raise RuntimeError(f"descriptor {descriptor} is watched for {event} twice")
        callbacks[event] = callback
        self.epoll.modify(descriptor, READABLE | WRITABLE)

    def unwatch(self, descriptor: int, event: int) -> None:
        """End the effect of ``watch``."""
        callbacks = self.watched[descriptor]
        del callbacks[event]
        if callbacks:
            self.epoll.modify(descriptor, next(iter(callbacks)))
            return
        del self.watched[descriptor]
        self.epoll.unregister(descriptor)

    def run_until_done(self, task: Task) -> None:
        """Run all tasks until one has ended."""
        while task in self.tasks:
            self._handle_events()
            self._call_due_timers()
            for _ in range(len(self.ready)):
                self._step(*self.ready.popleft())

    def _handle_events(self) -> None:
        for descriptor, events in self.epoll.poll(self._poll_seconds()):
            for event in (READABLE, WRITABLE):
                if not events & (event | _FAILED):
                    continue
                # An earlier callback may have ended the watch.
                callback = self.watched.get(descriptor, {}).get(event)
                if callback is not None:
                    callback()

    def _poll_seconds(self) -> float | None:
        """Return the time until the next timer; ``None`` without one."""
        if self.ready:
            return 0.0
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return None
        return max(0.0, self.timers[0][0] - time.monotonic())

    def _call_due_timers(self) -> None:
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                callback()

    def _step(self, task: Task, error: BaseException | None) -> None:
        """Run a task until its next wait or its end."""
        self.current = task
        try:
            if error is None:
                task.abort = task.coroutine.send(None)
            else:
                task.abort = task.coroutine.throw(error)
        except (StopIteration, Cancelled):
            self._finish(task, None)
        except BaseException as failure:
            self._finish(task, failure)
        else:
            self._interrupt_if_cancelled(task)
        finally:
            self.current = None

    def _interrupt_if_cancelled(self, task: Task) -> None:
        abort = task.abort
        if abort is None or not _is_cancelled(task.scope):
            return
        task.abort = None
        abort()
        self.ready.append((task, Cancelled()))

    def _finish(self, task: Task, failure: BaseException | None) -> None:
        self.tasks.discard(task)
        group = task.group
        if group is None:
            if failure is not None:
                raise failure
            return
        group.tasks.discard(task)
        if failure is not None:
            group.errors.append(failure)
            group.cancel_scope.cancel()
        if not group.tasks and group.waiting is not None:
            self.wake(group.waiting)
            group.waiting = None


_running: Loop | None = None


def running() -> Loop | None:
    """Return the loop that runs in this process, if any."""
    return _running


def require_running() -> Loop:
    """Return the loop that runs in this process."""
    if _running is None:
        raise RuntimeError("no loop is running in this process")
    return _running


def run(
    function: abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, T]],
    *arguments: typing.Any,
) -> T:
    """Run an async function and all tasks that it starts; return its result."""
    global _running
    if _running is not None:
        raise RuntimeError("a loop is already running in this process")
    results: list[T] = []

    async def store_result() -> None:
        results.append(await function(*arguments))

    loop = Loop()
    task = Task(store_result(), None, None)
    loop.add(task)
    _running = loop
    try:
        loop.run_until_done(task)
    finally:
        _running = None
        loop.epoll.close()
    return results[0]


@types.coroutine
def suspend(abort: Callback | None) -> abc.Generator[Callback | None, None, None]:
    """Wait until ``Loop.wake`` is called for the current task.

    ``abort`` withdraws the wait when the task's scope is cancelled; the wait cannot be
    cancelled without it.
    """
    yield abort


def _current(loop: Loop) -> Task:
    if loop.current is None:
        raise RuntimeError("no task is running")
    return loop.current


async def sleep_until(loop: Loop, deadline: float) -> None:
    """Wait until a time of ``time.monotonic``."""
    task = _current(loop)
    timer = loop.call_at(deadline, functools.partial(loop.wake, task))
    await suspend(timer.cancel)


async def wait_for(loop: Loop, descriptor: int, event: int) -> None:
    """Wait until a descriptor is readable or writable, or has failed."""
    task = _current(loop)

    def wake() -> None:
        loop.unwatch(descriptor, event)
        loop.wake(task)

    loop.watch(descriptor, event, wake)
    await suspend(functools.partial(loop.unwatch, descriptor, event))


async def park(loop: Loop, waiters: dict[Callback, None]) -> None:
    """Wait until the callback that this adds to ``waiters`` is called."""
    wake = functools.partial(loop.wake, _current(loop))
    waiters[wake] = None
    await suspend(functools.partial(waiters.pop, wake))


@contextlib.contextmanager
def open_cancel_scope(loop: Loop, seconds: float) -> abc.Iterator[CancelScope]:
    """Open a scope that is cancelled after a time."""
    task = _current(loop)
    scope = CancelScope(loop, task.scope)
    task.scope = scope
    timer = None
    if seconds != math.inf:
        timer = loop.call_at(time.monotonic() + seconds, scope.cancel)
    try:
        yield scope
    except Cancelled:
        if not scope.cancel_called or _is_cancelled(scope.parent):
            raise
        scope.cancelled_caught = True
    finally:
        task.scope = scope.parent
        if timer is not None:
            timer.cancel()


@contextlib.asynccontextmanager
async def open_task_group(loop: Loop) -> abc.AsyncIterator[TaskGroup]:
    """Open a group of tasks and wait for their end when the block ends.

    An error of the block or of a task cancels all others; all errors are raised as one
    exception group.
    """
    with open_cancel_scope(loop, math.inf) as scope:
        group = TaskGroup(loop, scope)
        cancelled: Cancelled | None = None
        try:
            yield group
        except Cancelled as error:
            cancelled = error
        except BaseException as error:
            group.errors.append(error)
            scope.cancel()
        if group.tasks:
            group.waiting = _current(loop)
            await suspend(None)
        if group.errors:
            raise BaseExceptionGroup("errors of a task group", group.errors)
        if cancelled is not None:
            raise cancelled
