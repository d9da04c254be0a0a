"""The sidecar's datagram socket: from balancers and siblings, to siblings and fabric.

The socket is drained in batches: waiting once for many datagrams costs far less than
waiting for each.
"""

from collections import abc
import contextlib
import dataclasses
import socket

import trio

from plantainproxy import _types
from plantainproxy.wire import keyring, proxy, tunnel

MAX_BATCH_DATAGRAMS = 64
"""Most datagrams that are read before other tasks get their turn."""
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4_194_304
"""Wanted room for datagrams that arrive while the process is busy."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDatagram:
    """A datagram of a caller, unpacked."""

    caller: _types.Address
    service: _types.Address
    payload: bytes
    hops: int
    """How often sidecars have passed it on."""
    earlier_owners: tuple[bytes, ...]
    """Packed tunnel addresses that owned the flow's slot before, newest first."""
    datagram: bytes
    """The fabric's datagram with its PROXY header, to be passed on unchanged."""


@contextlib.contextmanager
def open_socket(address: _types.Address) -> abc.Iterator[socket.socket]:
    """Bind the datagram socket and close it in the end."""
    with bind(address) as udp_socket:
        yield udp_socket


def bind(address: _types.Address) -> socket.socket:
    """Make a datagram socket that never blocks."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.setblocking(False)
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket


async def receive_batch(udp_socket: socket.socket) -> list[bytes]:
    """Wait for datagrams and return those that are there."""
    await trio.lowlevel.wait_readable(udp_socket)
    batch: list[bytes] = []
    while len(batch) < MAX_BATCH_DATAGRAMS:
        try:
            batch.append(udp_socket.recv(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return batch
        except ConnectionError:
            continue
    return batch


def unpack(message: bytes, *, keys: keyring.Keyring) -> CallerDatagram | None:
    """Read a tunnel message; ``None`` for strangers and bad PROXY headers."""
    tunnel_message = tunnel.decode(message, cookies=keys.cookies)
    if tunnel_message is None:
        return None
    addresses = proxy.decode(tunnel_message.datagram)
    if addresses is None:
        return None
    return CallerDatagram(
        caller=_types.Address.unpack(addresses.source),
        service=_types.Address.unpack(addresses.destination),
        payload=tunnel_message.datagram[addresses.payload_offset :],
        hops=tunnel_message.hops,
        earlier_owners=tunnel_message.earlier_owners,
        datagram=tunnel_message.datagram,
    )


def send(udp_socket: socket.socket, message: bytes, to: _types.Address) -> bool:
    """Send one datagram; return whether the system took it."""
    try:
        udp_socket.sendto(message, to)
    except OSError:
        return False
    return True
