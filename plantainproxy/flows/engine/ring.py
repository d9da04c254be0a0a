"""Consistent-hash ring of upstreams, which limits the candidates of a flow.

Balancers with the same set of upstreams compute the same few candidates for a flow, and
adding or removing an upstream remaps only the upstream's share of the flows. The time
of a lookup is nearly the same for ten upstreams and for ten thousand.
"""

import bisect
from collections import abc

import xxhash

from plantainproxy import _types

POINTS_PER_UPSTREAM = 4
"""Points of each upstream on the ring. Few are enough, as the choice among the
candidates by load evens out the distribution."""


class Ring:
    """Hash ring of the upstreams of one pool."""

    def __init__(self, upstreams: abc.Iterable[_types.Address]) -> None:
        """Hash the points of all upstreams."""
        points = sorted(
            (xxhash.xxh3_64_intdigest(upstream.pack() + bytes((number,))), upstream)
            for upstream in upstreams
            for number in range(POINTS_PER_UPSTREAM)
        )
        self.points = [point for point, _ in points]
        self.owners = [owner for _, owner in points]
        self.size = len(points) // POINTS_PER_UPSTREAM

    def candidates(self, flow: bytes, count: int) -> list[_types.Address]:
        """Return the first ``count`` distinct upstreams after the flow's hash."""
        distinct_count = min(count, self.size)
        distinct: dict[_types.Address, None] = {}
        index = bisect.bisect(self.points, xxhash.xxh3_64_intdigest(flow))
        while len(distinct) < distinct_count:
            distinct[self.owners[index % len(self.owners)]] = None
            index += 1
        return list(distinct)
