"""Promise 9: a planned stop does not cancel a command whose caller has disconnected.

The command keeps running after its connection closes. The sidecar must wait for it
before it stops, although no connection waits for the response any more.
"""

import pytest
import trio

from testbed import cluster as cluster_module
from testbed import controls, invariants, processes, single_requests, site

TEST_TIMEOUT_SECONDS = 90
POOL = "fleet-control"
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name=POOL, hosts=1, slots=5),),
    balancers=1,
)
SERVICE_SECONDS = 2.5


async def _start_command_and_disconnect(
    harness: single_requests.Harness,
) -> cluster_module.Host:
    """Send a long-running command and close its connection while it runs.

    Returns the host whose upstream runs the command.
    """
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            host = await single_requests.start_slow_request(
                nursery, connection, command, answers, service_seconds=SERVICE_SECONDS
            )
            nursery.cancel_scope.cancel()
    return host


async def _scenario() -> None:
    async with cluster_module.running_cluster(PLAN) as cluster:
        harness = single_requests.Harness(
            cluster, seed=9, log=invariants.ExecutionLog()
        )
        host = await _start_command_and_disconnect(harness)
        assert await processes.stop(host.sidecar) == 0
        executions = await controls.upstream_executions(host)
        command_executions = [execution for execution in executions if execution["key"]]
        assert len(command_executions) == 1
        assert command_executions[0]["end"] is not None
        assert not command_executions[0]["cancelled"]


@pytest.mark.proof(promise=9, fault="planned stop of a sidecar", step="caller gone")
def test_a_planned_stop_lets_a_command_finish_whose_caller_has_gone() -> None:
    """The sidecar keeps its exchange with the upstream open until the command ends."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
