"""Counts the datagrams that reach each sidecar, using the sidecar's metrics."""

import collections
from collections import abc
import contextlib
import socket

import trio

from testbed import cluster as cluster_module

MAX_BATCH_BYTES = 65_536
ARRIVAL_COUNTERS = ("before_keys", "strangers", "received")
"""A sidecar counts each datagram at its tunnel address in exactly one of these."""
SETTLE_SECONDS = 3 * cluster_module.METRICS_INTERVAL_SECONDS
"""Wait before reading counts, so that all earlier datagrams are included."""


class DatagramCounts:
    """The counters of all sidecars, summed over the metrics received so far."""

    def __init__(self) -> None:
        """Create the counts without any sidecar."""
        self.counts: dict[str, collections.Counter[str]] = {}
        """By the host of the sidecar, then by the name of the counter."""


def _add_metrics(counts: collections.Counter[str], batch: bytes) -> None:
    for line in batch.decode().splitlines():
        name, _, rest = line.partition(":")
        value, _, kind = rest.partition("|")
        if kind == "c":
            counts[name.rpartition(".")[2]] += int(float(value))


async def _receive(
    receiver: trio.socket.SocketType, counts: collections.Counter[str]
) -> None:
    while True:
        _add_metrics(counts, await receiver.recv(MAX_BATCH_BYTES))


@contextlib.asynccontextmanager
async def receive_metrics(
    cluster: cluster_module.Cluster,
) -> abc.AsyncIterator[DatagramCounts]:
    """Receive the metrics of the sidecars that are started within the block."""
    cluster.sends_metrics = True
    datagram_counts = DatagramCounts()
    with contextlib.ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            for host in cluster.hosts:
                receiver = trio.socket.socket(type=socket.SOCK_DGRAM)
                stack.enter_context(receiver)
                await receiver.bind(host.metrics)
                counts = datagram_counts.counts[host.host] = collections.Counter()
                nursery.start_soon(_receive, receiver, counts)
            yield datagram_counts
            nursery.cancel_scope.cancel()


def count(datagram_counts: DatagramCounts, host: cluster_module.Host, name: str) -> int:
    """Return the value of one counter of one sidecar."""
    return datagram_counts.counts[host.host][name]


def received_datagrams(
    datagram_counts: DatagramCounts, host: cluster_module.Host
) -> int:
    """Return the number of datagrams that one sidecar has received."""
    return sum(count(datagram_counts, host, name) for name in ARRIVAL_COUNTERS)


def received_by_domain(
    datagram_counts: DatagramCounts, cluster: cluster_module.Cluster
) -> collections.Counter[str]:
    """Return the number of datagrams that sidecars received in each failure domain."""
    counts: collections.Counter[str] = collections.Counter()
    for host in cluster.hosts:
        counts[host.domain] += received_datagrams(datagram_counts, host)
    return counts
