"""Simulates admission and placement of requests for cold upstreams.

Run with ``python -m bench.admission``. The load is uneven across the sidecars, and two
upstreams stop and restart cold at the same time. All of it runs on a virtual clock.
"""

import json

import fire
import numpy
import trio
import trio.testing

from bench import fleet
from standins import upstream as standin

WARM_SECONDS = 30.0
PHASE_SECONDS = 20.0


def _phase_row(phase: fleet.Phase) -> dict[str, object]:
    running_totals = list(phase.running_totals.values())
    quantiles = numpy.quantile(phase.latencies or [0.0], [0.5, 0.99])
    return {
        "phase": phase.name,
        "answers": dict(sorted(phase.status_counts.items())),
        "imbalance": round(
            max(running_totals) / (sum(running_totals) / len(running_totals)), 3
        ),
        "p50_ms": round(float(quantiles[0]) * 1000, 1),
        "p99_ms": round(float(quantiles[1]) * 1000, 1),
        "fallen": phase.closed_exchanges,
        "cold_peak": phase.cold_peak,
    }


async def _run(
    hosts: int, utilisation: float, seed: int, *, use_siblings: bool
) -> None:
    settings = standin.Settings(cold_seconds=3.0, service_seconds=0.02)

    async def measure(name: str, seconds: float) -> None:
        row = _phase_row(await fleet.measure(simulated_fleet, name, seconds))
        print(json.dumps({"siblings": use_siblings} | row))

    async with fleet.run_fleet(
        hosts, settings, utilisation=utilisation, seed=seed, use_siblings=use_siblings
    ) as simulated_fleet:
        await measure("cold start of all", WARM_SECONDS)
        await measure("steady", PHASE_SECONDS)
        for is_up, name in ((False, "two gone"), (True, "two back cold")):
            for host in list(simulated_fleet.hosts.values())[:2]:
                fleet.set_availability(host, is_up=is_up)
            fleet.notify_siblings(simulated_fleet)
            await measure(name, PHASE_SECONDS)
        await measure("steady again", PHASE_SECONDS)


async def _run_all(hosts: int, utilisation: float, seed: int) -> None:
    for use_siblings in (False, True):
        await _run(hosts, utilisation, seed, use_siblings=use_siblings)


def main(hosts: int = 7, utilisation: float = 0.4, seed: int = 1) -> None:
    """Print one JSON object per phase, first without and then with siblings."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_run_all, hosts, utilisation, seed, clock=clock)


if __name__ == "__main__":
    fire.Fire(main)
