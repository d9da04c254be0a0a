"""Replays connection IDs of real QUIC connections.

The packets are sent whether or not the connections are still open.
"""

from collections import abc
import contextlib
import os
import socket

import trio

from plantainproxy import _types
from standins import caller
from testbed import cluster as cluster_module

SHORT_HEADER = 0x40
PAYLOAD_BYTES = 60
"""Size of the random bytes that follow the connection ID in a replayed packet."""
SEND_INTERVAL_SECONDS = 0.01


def build_packet(connection_id: bytes) -> bytes:
    """Return a short-header packet whose protected part is random."""
    return bytes((SHORT_HEADER,)) + connection_id + os.urandom(PAYLOAD_BYTES)


async def collect_connection_ids(
    service: _types.Address, *, connections: int
) -> abc.Sequence[bytes]:
    """Open connections in sequence and return the connection IDs issued to them."""
    plan = caller.Plan(service=service)
    return [await _connection_id(plan) for _ in range(connections)]


async def _connection_id(plan: caller.Plan) -> bytes:
    while True:
        with caller.open_connection(plan) as connection:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.pump, connection)
                await connection.connected.wait()
                nursery.cancel_scope.cancel()
            if not connection.closed:
                connection_id: bytes = connection.client.quic._peer_cid.cid
                return connection_id


async def _send_forever(service: _types.Address, packets: abc.Iterable[bytes]) -> None:
    with trio.socket.socket(type=socket.SOCK_DGRAM) as udp_socket:
        await udp_socket.bind(("127.0.0.1", 0))
        while True:
            for packet in packets:
                await udp_socket.sendto(packet, service)
                await trio.sleep(SEND_INTERVAL_SECONDS)


@contextlib.asynccontextmanager
async def sending(
    cluster: cluster_module.Cluster, packets: dict[str, abc.Sequence[bytes]]
) -> abc.AsyncIterator[None]:
    """Send packets repeatedly while the block runs.

    ``packets`` maps each pool to the packets that are sent to the pool's service.
    """
    async with trio.open_nursery() as nursery:
        for pool, payloads in packets.items():
            nursery.start_soon(_send_forever, cluster.services[pool], payloads)
        yield
        nursery.cancel_scope.cancel()
