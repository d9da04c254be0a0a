"""Layouts of the sites that the test bed can start."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolPlan:
    """A pool, the number of its upstreams and their capacity."""

    name: str
    hosts: int
    slots: int
    service_seconds: float = 0.01
    lines_per_second: float = 200.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """The failure domains, pools and balancers of one organisation."""

    domains: tuple[str, ...]
    pools: tuple[PoolPlan, ...]
    balancers: int
    """Assigned to the failure domains round-robin, like the hosts of each pool."""


SMALL = Site(
    domains=("a", "b", "c"),
    pools=(
        PoolPlan(name="fleet-control", hosts=3, slots=5),
        PoolPlan(name="firmware", hosts=3, slots=5),
    ),
    balancers=3,
)
"""The site of the demo and of most tests."""

CO_OP = Site(
    domains=("rimouski", "matane", "riviere-du-loup"),
    pools=(
        PoolPlan(name="fleet-control", hosts=7, slots=5),
        PoolPlan(name="firmware", hosts=3, slots=5),
    ),
    balancers=3,
)

LE_GUENNEC = Site(
    domains=("failure-domain-a", "failure-domain-b", "toolroom", "office-block"),
    pools=(
        PoolPlan(name="press-telemetry", hosts=7, slots=3),
        PoolPlan(name="drawing-archive", hosts=4, slots=3),
    ),
    balancers=4,
)

SITES = {"small": SMALL, "co-op": CO_OP, "le-guennec": LE_GUENNEC}
