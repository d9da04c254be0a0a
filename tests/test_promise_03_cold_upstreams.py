"""Promise 3, with real processes: a cold upstream never gets more than it bears.

A stand-in that is cold falls over as soon as it has one request more than it bears.
"""

from collections import abc
import functools
import math

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, load, processes, single_requests, site, step_runner

POOL = "press-telemetry"
SLOTS = 5
PLAN = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=3, slots=SLOTS, service_seconds=0.05),),
    balancers=3,
)
COLD_SECONDS = 4.0
COLD_OPTIONS = (f"--cold_seconds={COLD_SECONDS}", "--cold_bears=2", "--cold_factor=5")
LOAD = load.LoadPlan(lines=24, gets_per_second=3.0, posts_per_second=1.0)
BEFORE_SECONDS = 1.0
AFTER_SECONDS = COLD_SECONDS + 1.5
"""How long the load goes on once a fault is over: the cold time and some seconds at
full limits, however long the processes took to start."""
HEALTH_DELAY_SECONDS = 5.0
CLAIMED_LIMIT = 50


async def _counters(
    hosts: abc.Sequence[cluster_module.Host],
) -> list[abc.Mapping[str, int]]:
    return [await controls.upstream_counters(host) for host in hosts]


async def _check_none_overloaded(bench: single_requests.Harness) -> None:
    """No upstream fell, shed work, or ever had more than its slots."""
    counters = await _counters(bench.cluster.hosts)
    assert [found["fallen"] for found in counters] == [0] * len(counters)
    assert [found["shed"] for found in counters] == [0] * len(counters)
    assert max(found["most_running"] for found in counters) <= SLOTS


async def _under_load(bench: single_requests.Harness, fault: step_runner.Step) -> None:
    """Bring about a fault under full load, and judge all upstreams at the end."""
    async with single_requests.background_load(
        bench, LOAD, seconds=math.inf
    ) as running:
        await trio.sleep(BEFORE_SECONDS)
        await fault(bench)
        await trio.sleep(AFTER_SECONDS)
        running.stop_requested.set()
    assert load.total(running, "matches") > 0
    await _check_none_overloaded(bench)
    for counters in await _counters(bench.cluster.hosts):
        assert counters["executions"] > 0


async def _restart_upstreams(
    bench: single_requests.Harness, hosts: abc.Sequence[cluster_module.Host]
) -> None:
    """Kill upstreams and start them again at once; nobody is told."""
    await single_requests.read_execution_log(bench)
    bench.log_is_complete = False
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(_restart, host.upstream)


async def _restart(process: processes.Process) -> None:
    await processes.kill(process)
    await processes.start(process)


async def _site_starts_cold(bench: single_requests.Harness) -> None:
    """Offer full load to a site whose upstreams are all cold."""

    async def fault(bench: single_requests.Harness) -> None:
        await _restart_upstreams(bench, bench.cluster.hosts)

    await _under_load(bench, fault)


async def _restarted_unannounced(bench: single_requests.Harness) -> None:
    """Restart one upstream under its sidecar."""

    async def fault(bench: single_requests.Harness) -> None:
        await _restart_upstreams(bench, bench.cluster.hosts[:1])

    await _under_load(bench, fault)


async def _health_report_lies(bench: single_requests.Harness) -> None:
    """Restart one upstream whose reports claim much and are late."""

    async def fault(bench: single_requests.Harness) -> None:
        host = bench.cluster.hosts[0]
        lies = (
            f"--health_lie={CLAIMED_LIMIT}",
            f"--health_delay_seconds={HEALTH_DELAY_SECONDS}",
        )
        told = host.upstream.arguments
        host.upstream.arguments = (*told, *lies)
        await _restart_upstreams(bench, [host])
        host.upstream.arguments = told

    await _under_load(bench, fault)


async def _domain_returns_cold(bench: single_requests.Harness) -> None:
    """Kill all processes of a failure domain, and start them again at once."""

    async def fault(bench: single_requests.Harness) -> None:
        await single_requests.read_execution_log(bench)
        bench.log_is_complete = False
        gone = [host for host in bench.cluster.hosts if host.domain == "a"]
        for host in gone:
            await processes.kill(host.sidecar)
            await processes.kill(host.upstream)
        await trio.sleep(BEFORE_SECONDS)
        async with trio.open_nursery() as nursery:
            for host in gone:
                nursery.start_soon(cluster_module.start_host, bench.cluster, host)

    await _under_load(bench, fault)


_proof = functools.partial(step_runner.proof, 3)

PROOFS = [
    _proof(_site_starts_cold, "all upstreams cold at once", "full load"),
    _proof(_restarted_unannounced, "upstream cold without warning", "full load"),
    _proof(_health_report_lies, "misleading health report", "full load"),
    _proof(_domain_returns_cold, "failure domain out and in", "full load"),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run every step on one site."""
    return step_runner.run(
        PLAN, step_runner.steps_of(PROOFS), upstream_options=COLD_OPTIONS
    )


@pytest.mark.parametrize("step", PROOFS)
def test_no_upstream_gets_more_than_it_bears(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """Neither a cold upstream nor its siblings fall or have to shed work."""
    step_runner.raise_failure(results, step)
