"""Counts of the datagrams that reach each sidecar, by its own metrics."""

import collections
from collections import abc
import contextlib
import socket

import trio

from testbed import cluster as cluster_module

MAX_BATCH_BYTES = 65_536
ARRIVALS = ("before_keys", "strangers", "received")
"""Every datagram at a sidecar's tunnel address is counted under one of these."""
SETTLE_SECONDS = 3 * cluster_module.METRICS_SECONDS
"""After this time the counts hold what came before."""


class Taps:
    """What the sidecars have counted so far."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counts: dict[str, collections.Counter[str]] = {}
        """By host and name of the counter."""


def _note(counts: collections.Counter[str], batch: bytes) -> None:
    for line in batch.decode().splitlines():
        name, _, rest = line.partition(":")
        value, _, kind = rest.partition("|")
        if kind == "c":
            counts[name.rpartition(".")[2]] += int(float(value))


async def _receive(
    bound: trio.socket.SocketType, counts: collections.Counter[str]
) -> None:
    while True:
        _note(counts, await bound.recv(MAX_BATCH_BYTES))


@contextlib.asynccontextmanager
async def opened(cluster: cluster_module.Cluster) -> abc.AsyncIterator[Taps]:
    """Receive the metrics of sidecars that are started within the block."""
    cluster.metered = True
    taps = Taps()
    with contextlib.ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            for host in cluster.hosts:
                bound = trio.socket.socket(type=socket.SOCK_DGRAM)
                stack.enter_context(bound)
                await bound.bind(host.metrics)
                counts = taps.counts[host.host] = collections.Counter()
                nursery.start_soon(_receive, bound, counts)
            yield taps
            nursery.cancel_scope.cancel()


def count(taps: Taps, host: cluster_module.Host, name: str) -> int:
    """Return one counter of one sidecar."""
    return taps.counts[host.host][name]


def arrived(taps: Taps, host: cluster_module.Host) -> int:
    """Return how many datagrams have reached one sidecar."""
    return sum(count(taps, host, name) for name in ARRIVALS)


def arrived_by_domain(
    taps: Taps, cluster: cluster_module.Cluster
) -> collections.Counter[str]:
    """Return how many datagrams have reached the sidecars of each failure domain."""
    counts: collections.Counter[str] = collections.Counter()
    for host in cluster.hosts:
        counts[host.domain] += arrived(taps, host)
    return counts
