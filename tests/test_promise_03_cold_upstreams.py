"""Promise 3: a cold upstream never gets more requests than it can handle.

The test runs real processes. A cold stand-in upstream fails as soon as it has one
request more than it can handle.
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
LOAD_BEFORE_FAULT_SECONDS = 1.0
"""Also the time for which the processes of a failed domain are down."""
LOAD_AFTER_FAULT_SECONDS = COLD_SECONDS + 1.5
"""Covers the cold period and some time at full limits. It begins when the fault is
over, so it does not depend on how long the processes take to start."""
HEALTH_DELAY_SECONDS = 5.0
REPORTED_LIMIT = 50


async def _read_counters(
    hosts: abc.Sequence[cluster_module.Host],
) -> list[abc.Mapping[str, int]]:
    return [await controls.upstream_counters(host) for host in hosts]


async def _check_none_overloaded(harness: single_requests.Harness) -> None:
    """Check that no upstream failed, shed requests or ran more requests than slots."""
    counters = await _read_counters(harness.cluster.hosts)
    assert [counts["fallen"] for counts in counters] == [0] * len(counters)
    assert [counts["shed"] for counts in counters] == [0] * len(counters)
    assert max(counts["most_running"] for counts in counters) <= SLOTS


async def _run_under_load(
    harness: single_requests.Harness, fault: step_runner.Step
) -> None:
    """Inject a fault under full load and check all upstreams at the end."""
    async with single_requests.background_load(
        harness, LOAD, seconds=math.inf
    ) as running_load:
        await trio.sleep(LOAD_BEFORE_FAULT_SECONDS)
        await fault(harness)
        await trio.sleep(LOAD_AFTER_FAULT_SECONDS)
        running_load.stop_requested.set()
    assert load.total(running_load, "matches") > 0
    await _check_none_overloaded(harness)
    for counters in await _read_counters(harness.cluster.hosts):
        assert counters["executions"] > 0


async def _restart_upstreams(
    harness: single_requests.Harness, hosts: abc.Sequence[cluster_module.Host]
) -> None:
    """Kill upstreams and restart them at once, without notice to their sidecars."""
    await single_requests.read_execution_log(harness)
    harness.log_is_complete = False
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(_restart, host.upstream)


async def _restart(process: processes.Process) -> None:
    await processes.kill(process)
    await processes.start(process)


async def _site_starts_cold(harness: single_requests.Harness) -> None:
    """Restart all upstreams, so that the whole site is cold under full load."""

    async def fault(harness: single_requests.Harness) -> None:
        await _restart_upstreams(harness, harness.cluster.hosts)

    await _run_under_load(harness, fault)


async def _restarted_unannounced(harness: single_requests.Harness) -> None:
    """Restart one upstream while its sidecar keeps running."""

    async def fault(harness: single_requests.Harness) -> None:
        await _restart_upstreams(harness, harness.cluster.hosts[:1])

    await _run_under_load(harness, fault)


async def _misleading_health_report(harness: single_requests.Harness) -> None:
    """Restart one upstream whose health reports are delayed and overstate its limit."""

    async def fault(harness: single_requests.Harness) -> None:
        host = harness.cluster.hosts[0]
        misleading_options = (
            f"--health_lie={REPORTED_LIMIT}",
            f"--health_delay_seconds={HEALTH_DELAY_SECONDS}",
        )
        original_arguments = host.upstream.arguments
        host.upstream.arguments = (*original_arguments, *misleading_options)
        await _restart_upstreams(harness, [host])
        host.upstream.arguments = original_arguments

    await _run_under_load(harness, fault)


async def _domain_returns_cold(harness: single_requests.Harness) -> None:
    """Kill the sidecars and upstreams of a failure domain, then restart them all."""

    async def fault(harness: single_requests.Harness) -> None:
        await single_requests.read_execution_log(harness)
        harness.log_is_complete = False
        domain_hosts = [host for host in harness.cluster.hosts if host.domain == "a"]
        for host in domain_hosts:
            await processes.kill(host.sidecar)
            await processes.kill(host.upstream)
        await trio.sleep(LOAD_BEFORE_FAULT_SECONDS)
        async with trio.open_nursery() as nursery:
            for host in domain_hosts:
                nursery.start_soon(cluster_module.start_host, harness.cluster, host)

    await _run_under_load(harness, fault)


_proof = functools.partial(step_runner.proof, 3)

PROOFS = [
    _proof(_site_starts_cold, "all upstreams cold at once", "full load"),
    _proof(_restarted_unannounced, "upstream cold without warning", "full load"),
    _proof(_misleading_health_report, "misleading health report", "full load"),
    _proof(_domain_returns_cold, "failure domain out and in", "full load"),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run every step on one site."""
    return step_runner.run(
        PLAN, step_runner.steps_of(PROOFS), upstream_options=COLD_OPTIONS
    )


@pytest.mark.parametrize("step", PROOFS)
def test_no_upstream_gets_more_than_it_can_handle(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """Neither a cold upstream nor its siblings fail or shed requests."""
    step_runner.raise_failure(results, step)
