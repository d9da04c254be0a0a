"""Detects the end of the upstream's process over an idle TCP connection.

The idle connection puts no load on the upstream. When it breaks and a new connection is
refused, the upstream no longer listens.
"""

from collections import abc
import contextlib

import msgspec

from plantainproxy import _types
from plantainproxy.eventloop import runtime, tcp
from plantainproxy.store import http

CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.25
"""Interval between connection attempts to an upstream that does not listen."""
HEARTBEAT_WAIT_SECONDS = 0.3
"""How long to wait for a heartbeat on a new connection before a health check. Only a
sidecar that has just started needs the check, as its upstream's state is unknown."""
HEALTH_TIMEOUT_SECONDS = 2.0
RECEIVE_BUFFER_BYTES = 4_096
HTTP_OK = 200


class Callbacks(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that the monitor calls on changes of the upstream."""

    on_connected: abc.Callable[[], None]
    """A connection was accepted: the upstream listens."""
    on_refused: abc.Callable[[], None]
    """A connection was refused, other than in the monitor's first attempt."""
    on_healthy: abc.Callable[[], None]
    """A health check succeeded: the upstream accepts requests."""
    on_not_listening: abc.Callable[[], None]
    """The monitor's first connection attempt was refused: no upstream listens."""
    on_failed: abc.Callable[[OSError], None]
    """A connection attempt failed for another reason."""


async def monitor(
    address: _types.Address,
    callbacks: Callbacks,
    *,
    health_path: abc.Callable[[], str | None],
) -> None:
    """Monitor the upstream until cancelled.

    ``health_path`` returns the path of the health check, or ``None`` to skip the check,
    which is only needed while the upstream's state is unknown.
    """
    is_first = True
    while True:
        try:
            with runtime.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await tcp.connect(address)
        except runtime.TooSlowError:
            is_first = False
            continue
        except ConnectionRefusedError:
            if is_first:
                callbacks.on_not_listening()
            else:
                callbacks.on_refused()
            is_first = False
            await runtime.sleep(RETRY_INTERVAL_SECONDS)
            continue
        except OSError as error:
            # An error of this machine shows nothing about the upstream.
            callbacks.on_failed(error)
            await runtime.sleep(RETRY_INTERVAL_SECONDS)
            continue
        is_first = False
        callbacks.on_connected()
        with contextlib.closing(stream):
            async with runtime.open_task_group() as group:
                group.start_soon(_check_health, address, callbacks, health_path)
                await _wait_until_closed(stream)
                group.cancel_scope.cancel()


async def refuses_connections(address: _types.Address) -> bool:
    """Return whether the upstream refuses a connection, as one that has ended does."""
    try:
        with runtime.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await tcp.connect(address)
    except ConnectionRefusedError:
        return True
    except (runtime.TooSlowError, OSError):
        return False
    stream.close()
    return False


async def _wait_until_closed(stream: tcp.Stream) -> None:
    http.enable_keepalive(stream.socket)
    with contextlib.suppress(OSError):
        while await stream.receive_some(RECEIVE_BUFFER_BYTES):
            pass


async def _check_health(
    address: _types.Address,
    callbacks: Callbacks,
    health_path: abc.Callable[[], str | None],
) -> None:
    await runtime.sleep(HEARTBEAT_WAIT_SECONDS)
    path = health_path()
    if not path:
        return
    pool = http.Pool(address)
    try:
        reply = await http.call(
            pool, "GET", path, timeout_seconds=HEALTH_TIMEOUT_SECONDS
        )
    except (http.UnsentError, http.UnansweredError):
        return
    finally:
        http.close_idle(pool)
    if reply.status == HTTP_OK:
        callbacks.on_healthy()
