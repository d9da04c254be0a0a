"""A consistent-hash ring of upstreams, to narrow choices and questions.

Every balancer that knows the same upstreams finds the same few candidates for a flow,
and an upstream that comes or goes moves only its own share. Finding them takes the
same time in a pool of ten upstreams and of ten thousand.
"""

import bisect
from collections import abc

import xxhash

from plantainproxy import _types

POINTS_PER_UPSTREAM = 4
"""Points of each upstream on the ring; evenness comes from choosing by load."""


class Ring:
    """The points of the upstreams of one pool."""

    def __init__(self, upstreams: abc.Iterable[_types.Address]) -> None:
        """Hash every upstream."""
        points = sorted(
            (xxhash.xxh3_64_intdigest(upstream.pack() + bytes((number,))), upstream)
            for upstream in upstreams
            for number in range(POINTS_PER_UPSTREAM)
        )
        self.points = [point for point, _ in points]
        self.owners = [owner for _, owner in points]
        self.size = len(points) // POINTS_PER_UPSTREAM

    def candidates(self, flow: bytes, count: int) -> list[_types.Address]:
        """Return the first ``count`` distinct upstreams after a flow's point."""
        distinct_count = min(count, self.size)
        distinct: dict[_types.Address, None] = {}
        index = bisect.bisect(self.points, xxhash.xxh3_64_intdigest(flow))
        while len(distinct) < distinct_count:
            distinct[self.owners[index % len(self.owners)]] = None
            index += 1
        return list(distinct)
