"""Descriptions of the sites that the test bed can start."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolPlan:
    """One pool and its upstreams."""

    name: str
    hosts: int
    slots: int
    service_seconds: float = 0.01
    lines_per_second: float = 200.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Everything that one user runs."""

    domains: tuple[str, ...]
    pools: tuple[PoolPlan, ...]
    balancers: int
    """Spread over the failure domains in turn, as the hosts of each pool are."""


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
