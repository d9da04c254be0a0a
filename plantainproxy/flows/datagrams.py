"""UDP sockets that are read in batches and never block on a send."""

from collections import abc
import contextlib
import socket

import trio

from plantainproxy import _types
from plantainproxy.flows import event_log

MAX_BATCH_DATAGRAMS = 64
"""Datagrams that are read before other tasks get their turn."""
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1_048_576
"""Room for a burst of some thousands of full packets."""

Handler = abc.Callable[[bytes, _types.Address], None]


@contextlib.contextmanager
def bound_socket(address: _types.Address) -> abc.Iterator[socket.socket]:
    """Open a UDP socket at an address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        udp_socket.setblocking(False)
        udp_socket.bind(address)
        yield udp_socket


async def receive_forever(udp_socket: socket.socket, handle: Handler) -> None:
    """Hand every datagram and its sender to a function."""
    while True:
        await trio.lowlevel.wait_readable(udp_socket)
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data, (host, port) = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # The kernel tells of an earlier datagram that a port refused.
                continue
            handle(data, _types.Address(host, port))


def send(
    udp_socket: socket.socket,
    data: bytes,
    destination: _types.Address,
    log: event_log.EventLog,
) -> None:
    """Send one datagram, or count that it could not be sent."""
    try:
        udp_socket.sendto(data, destination)
    except OSError as error:
        log.count(f"send_failed.{type(error).__name__}")
