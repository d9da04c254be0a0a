"""Senders of connection IDs that were seen on real lines, whatever became of those."""

from collections import abc
import contextlib
import os
import socket

import trio

from plantainproxy import _types
from standins import caller
from testbed import cluster as cluster_module

SHORT_HEADER = 0x40
REST_BYTES = 60
"""Size of what follows the connection ID in a replayed packet."""
PAUSE_SECONDS = 0.01


def packet(connection_id: bytes) -> bytes:
    """Make a short-header packet whose protected part is random."""
    return bytes((SHORT_HEADER,)) + connection_id + os.urandom(REST_BYTES)


async def harvest(service: _types.Address, *, lines: int) -> abc.Sequence[bytes]:
    """Open lines one after another and return the connection IDs they were given."""
    plan = caller.Plan(service=service)
    return [await _connection_id(plan) for _ in range(lines)]


async def _connection_id(plan: caller.Plan) -> bytes:
    while True:
        with caller.open_connection(plan) as connection:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.pump, connection)
                await connection.connected.wait()
                nursery.cancel_scope.cancel()
            if not connection.closed:
                found: bytes = connection.client.quic._peer_cid.cid
                return found


async def _send_forever(service: _types.Address, packets: abc.Iterable[bytes]) -> None:
    with trio.socket.socket(type=socket.SOCK_DGRAM) as bound:
        await bound.bind(("127.0.0.1", 0))
        while True:
            for one in packets:
                await bound.sendto(one, service)
                await trio.sleep(PAUSE_SECONDS)


@contextlib.asynccontextmanager
async def sending(
    cluster: cluster_module.Cluster, packets: dict[str, abc.Sequence[bytes]]
) -> abc.AsyncIterator[None]:
    """Send packets to the services, by pool, over and over while the block runs."""
    async with trio.open_nursery() as nursery:
        for pool, payloads in packets.items():
            nursery.start_soon(_send_forever, cluster.services[pool], payloads)
        yield
        nursery.cancel_scope.cancel()
