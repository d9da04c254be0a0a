"""Non-blocking UDP sockets that are read in batches.

The loop calls the handlers directly. A task that waits for each batch would cost more
than the handling of a packet.
"""

from collections import abc
import contextlib
import functools
import socket

from plantainproxy import _lifecycle, _types
from plantainproxy.eventloop import binding, loop, runtime
from plantainproxy.flows import event_log

MAX_BATCH_DATAGRAMS = 64
"""Datagrams read per wake-up before other tasks may run."""
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1_048_576
"""Holds a burst of several thousand packets of full size."""

Handler = abc.Callable[[bytes, _types.Address], None]
ErrorHandler = abc.Callable[[Exception], None]


@contextlib.asynccontextmanager
async def bound_sockets(
    lifecycle: _lifecycle.Lifecycle, *addresses: _types.Address
) -> abc.AsyncIterator[list[socket.socket]]:
    """Open a UDP socket at each address; none if the process is stopped meanwhile."""
    with contextlib.ExitStack() as stack:
        sockets: list[socket.socket] = []
        async with runtime.open_task_group() as group:
            group.start_soon(_cancel_when_stopping, lifecycle, group.cancel_scope)
            for address in addresses:
                opened = await binding.open_when_free(open_socket, address)
                sockets.append(stack.enter_context(opened))
            group.cancel_scope.cancel()
        yield sockets if len(sockets) == len(addresses) else []


async def _cancel_when_stopping(
    lifecycle: _lifecycle.Lifecycle, scope: runtime.CancelScope
) -> None:
    await lifecycle.stopping.wait()
    scope.cancel()


def open_socket(address: _types.Address) -> socket.socket:
    """Open a non-blocking UDP socket bound to an address that no other one has.

    With ``SO_REUSEADDR`` a second process would get the datagrams of the first.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        udp_socket.setblocking(False)
        udp_socket.bind(address)
    except BaseException:
        udp_socket.close()
        raise
    return udp_socket


@contextlib.contextmanager
def receiving(
    udp_socket: socket.socket, handle: Handler, on_error: ErrorHandler
) -> abc.Iterator[None]:
    """Pass each received datagram and its sender to the handler until the exit.

    ``on_error`` gets what the handler raises; the datagram is lost.
    """
    running = loop.require_running()
    descriptor = udp_socket.fileno()
    receive = functools.partial(_receive_batch, udp_socket, handle, on_error)
    running.watch(descriptor, loop.READABLE, receive)
    try:
        yield
    finally:
        running.unwatch(descriptor, loop.READABLE)


def _receive_batch(
    udp_socket: socket.socket, handle: Handler, on_error: ErrorHandler
) -> None:
    for _ in range(MAX_BATCH_DATAGRAMS):
        try:
            data, (host, port) = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # ICMP error for an earlier datagram, such as port unreachable.
            continue
        try:
            handle(data, _types.Address(host, port))
        except Exception as error:
            on_error(error)


def send(
    udp_socket: socket.socket,
    data: bytes,
    destination: _types.Address,
    log: event_log.EventLog,
) -> None:
    """Send one datagram; count a failure instead of raising it."""
    try:
        udp_socket.sendto(data, destination)
    except OSError as error:
        log.count(f"send_failed.{type(error).__name__}")
