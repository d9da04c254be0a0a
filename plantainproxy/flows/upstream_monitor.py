"""Notices the end of the upstream's process from a connection that it closes.

An idle connection costs the upstream nothing. When it breaks and a new one is refused,
nobody listens any more.
"""

from collections import abc

import msgspec
import trio

from plantainproxy import _types
from plantainproxy.store import http

CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.25
"""Wait before another attempt to reach an upstream that does not listen."""
HEARTBEAT_WAIT_SECONDS = 0.3
"""How long a sidecar that has just started waits for a heartbeat before it asks the
upstream for its health."""
HEALTH_TIMEOUT_SECONDS = 2.0
HTTP_OK = 200


class Callbacks(msgspec.Struct, frozen=True, kw_only=True):
    """What the watch tells."""

    on_refused: abc.Callable[[], None]
    """The upstream listened before and accepts no connection now."""
    on_healthy: abc.Callable[[], None]
    """The upstream says that it takes requests."""
    on_not_listening: abc.Callable[[], None]
    """No upstream listened when the watch began."""


async def monitor(
    address: _types.Address,
    callbacks: Callbacks,
    *,
    health_path: abc.Callable[[], str | None],
) -> None:
    """Watch the upstream for ever.

    ``health_path`` returns the path to ask, or ``None`` when its state is known.
    """
    is_first = True
    while True:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except trio.TooSlowError:
            is_first = False
            continue
        except OSError:
            if is_first:
                callbacks.on_not_listening()
            else:
                callbacks.on_refused()
            is_first = False
            await trio.sleep(RETRY_INTERVAL_SECONDS)
            continue
        is_first = False
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_check_health, address, callbacks, health_path)
            await _wait_until_closed(stream)
            nursery.cancel_scope.cancel()


async def _wait_until_closed(stream: trio.SocketStream) -> None:
    http.watch_for_silence(stream.socket)
    try:
        while await stream.receive_some():
            pass
    except trio.BrokenResourceError:
        return


async def _check_health(
    address: _types.Address, callbacks: Callbacks, health_path: abc.Callable[[], str | None]
) -> None:
    await trio.sleep(HEARTBEAT_WAIT_SECONDS)
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
