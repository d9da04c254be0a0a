"""Starts, pauses and stops the child processes of a test."""

from collections import abc
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import trio

READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 30
ROOT = pathlib.Path(__file__).parent.parent


class Process:
    """A child process and the arguments with which it is started or restarted."""

    def __init__(
        self, name: str, arguments: abc.Sequence[str], log: pathlib.Path
    ) -> None:
        """Describe a process without starting it."""
        self.name = name
        self.arguments = tuple(arguments)
        self.log = log
        """The file to which the standard error of every run is appended."""
        self.handle: trio.Process | None = None
        self.ready_words: tuple[str, ...] = ()
        """The words after ``ready`` on the line that the process printed."""


async def start(process: Process, *, wait_ready: bool = True) -> None:
    """Start a process and, with ``wait_ready``, wait until it prints ``ready``."""
    with process.log.open("ab") as log:
        process.handle = await trio.lowlevel.open_process(
            [sys.executable, "-m", *process.arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
    if wait_ready:
        await _wait_ready(process)


async def _wait_ready(process: Process) -> None:
    assert process.handle is not None
    assert process.handle.stdout is not None
    received = b""
    with trio.move_on_after(READY_TIMEOUT_SECONDS):
        async for chunk in process.handle.stdout:
            received += chunk
            for line in received.decode().splitlines():
                if line.startswith("ready") and received.endswith(b"\n"):
                    process.ready_words = tuple(line.split()[1:])
                    return
    tail = process.log.read_text(errors="replace")[-2000:]
    raise RuntimeError(
        f"{process.name} exited or did not print 'ready' within "
        f"{READY_TIMEOUT_SECONDS} s; end of its log: {tail}"
    )


def is_running(process: Process) -> bool:
    """Return whether the process has been started and has not exited."""
    return process.handle is not None and process.handle.poll() is None


def send_signal(process: Process, signal_number: signal.Signals) -> None:
    """Send a signal to the process if it is running."""
    if process.handle is not None and is_running(process):
        process.handle.send_signal(signal_number)


async def kill(process: Process) -> None:
    """Kill the process with SIGKILL and wait until it has exited."""
    send_signal(process, signal.SIGKILL)
    if process.handle is not None:
        await process.handle.wait()


def freeze(process: Process) -> None:
    """Pause the process with SIGSTOP."""
    send_signal(process, signal.SIGSTOP)


def resume(process: Process) -> None:
    """Continue a paused process with SIGCONT."""
    send_signal(process, signal.SIGCONT)


async def stop(process: Process) -> int:
    """Stop the process gracefully with SIGTERM and return its exit code.

    A process that does not exit in time is killed, and an error is raised.
    """
    send_signal(process, signal.SIGTERM)
    assert process.handle is not None
    with trio.move_on_after(STOP_TIMEOUT_SECONDS):
        return await process.handle.wait()
    await kill(process)
    raise RuntimeError(
        f"{process.name} did not exit within {STOP_TIMEOUT_SECONDS} s of SIGTERM"
    )


@contextlib.asynccontextmanager
async def kill_on_exit(processes: list[Process]) -> abc.AsyncIterator[None]:
    """Kill all processes in the list, also paused ones, when the block is left."""
    try:
        yield
    finally:
        with trio.CancelScope(shield=True):
            for process in processes:
                resume(process)
                await kill(process)
