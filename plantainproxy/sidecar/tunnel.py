"""The sidecar's tunnel socket.

It receives datagrams from balancers and siblings and sends to siblings and the fabric.
Datagrams are read in batches, since one wait per batch costs far less than one wait per
datagram.
"""

from collections import abc
import contextlib
import dataclasses
import socket

import trio

from plantainproxy import _types
from plantainproxy.wire import keyring, proxy, tunnel

MAX_BATCH_DATAGRAMS = 64
"""Datagrams read per wake-up before other tasks may run."""
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4_194_304
"""Requested receive buffer; holds datagrams that arrive while the process is busy."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDatagram:
    """A caller's datagram, decoded from a tunnel message."""

    caller: _types.Address
    service: _types.Address
    payload: bytes
    hops: int
    """Number of times that sidecars have forwarded the datagram."""
    earlier_owners: tuple[bytes, ...]
    """Packed tunnel addresses of the slot's earlier owners, newest first."""
    datagram: bytes
    """The fabric's datagram with its PROXY header; it is forwarded unchanged."""


@contextlib.contextmanager
def open_socket(address: _types.Address) -> abc.Iterator[socket.socket]:
    """Bind the tunnel socket and close it when the context exits."""
    with bind(address) as udp_socket:
        yield udp_socket


def bind(address: _types.Address) -> socket.socket:
    """Create a non-blocking UDP socket bound to the address."""
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
    """Wait until the socket is readable and return the datagrams already queued.

    Connection errors are ignored: they report that an earlier send failed.
    """
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
    """Decode a tunnel message.

    Returns ``None`` for a message without a valid tunnel prefix or PROXY header.
    """
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
    """Send one datagram; return whether the operating system accepted it."""
    try:
        udp_socket.sendto(message, to)
    except OSError:
        return False
    return True
