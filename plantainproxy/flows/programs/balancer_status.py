"""What ``plantain-flow-ctl status`` shows about balancers, from metrics.

The store has no list of balancers. Each sidecar has one gauge for each balancer that
subscribes to its reports, whose name contains the balancer's host.
"""

from collections import abc

SUBSCRIBER_GAUGE = "subscribed_balancer_"
DENIED_HEDGES = "hedges_denied_"
COUNTER_SUFFIX = "_total"


def subscriber_gauges(hosts: abc.Iterable[str]) -> dict[str, float]:
    """Return a sidecar's gauges of the balancers that subscribe to its reports."""
    return {f"{SUBSCRIBER_GAUGE}{host.replace('.', '_')}": 1.0 for host in hosts}


def subscriber_hosts(samples: abc.Mapping[str, float]) -> list[str]:
    """Return the hosts of the balancers that a sidecar's metrics name."""
    return [
        name.removeprefix(SUBSCRIBER_GAUGE).replace("_", ".")
        for name in samples
        if name.startswith(SUBSCRIBER_GAUGE)
    ]


def render_placements(samples: abc.Mapping[str, float]) -> str:
    """Return one line about a balancer's hedges and further placements."""

    def total(name: str) -> float:
        return samples.get(f"{name}{COUNTER_SUFFIX}", 0.0)

    denials = {
        name.removeprefix(DENIED_HEDGES).removesuffix(COUNTER_SUFFIX): count
        for name, count in samples.items()
        if name.startswith(DENIED_HEDGES)
    }
    reasons = ", ".join(f"{name} {count:g}" for name, count in sorted(denials.items()))
    hedge_percent = samples.get("hedge_percent", float("nan"))
    return (
        f"ready {samples.get('ready', float('nan')):g}, "
        f"first openings {samples.get('first_openings', float('nan')):g}, "
        f"hedge limit {hedge_percent:g}%, sent {total('hedges_sent'):g}, "
        f"won {total('hedges_won'):g}, lost {total('hedges_lost'):g}, "
        f"denied {sum(denials.values()):g}{f' ({reasons})' if reasons else ''}; "
        f"further placements {total('further_placements_sent'):g}, "
        f"denied {total('further_placements_denied'):g}"
    )
