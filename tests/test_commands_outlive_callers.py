"""Promise 9: a planned stop does not cut a command whose caller has gone."""

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, processes, single_requests, site

HANG_SECONDS = 90
POOL = "fleet-control"
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name=POOL, hosts=1, slots=5),),
    balancers=1,
)
SERVICE_SECONDS = 2.5


async def _start_and_leave(bench: single_requests.Harness) -> cluster_module.Host:
    """Send a command that runs for long, and close the line while it runs."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            host = await single_requests.start_slow_request(
                nursery, line, command, answers, service_seconds=SERVICE_SECONDS
            )
            nursery.cancel_scope.cancel()
    return host


async def _scenario() -> None:
    async with cluster_module.running_cluster(PLAN) as cluster:
        bench = single_requests.Harness(cluster, seed=9, log=invariants.ExecutionLog())
        host = await _start_and_leave(bench)
        assert await processes.stop(host.sidecar) == 0
        executions = await controls.upstream_executions(host)
        commanded = [entry for entry in executions if entry["key"]]
        assert len(commanded) == 1
        assert commanded[0]["end"] is not None
        assert not commanded[0]["cancelled"]


@pytest.mark.proof(promise=9, fault="planned stop of a sidecar", step="caller gone")
def test_a_planned_stop_lets_a_command_finish_whose_caller_has_gone() -> None:
    """The upstream's exchange is not closed before the command has ended."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
