"""Promise 9: a planned stop does not cut commands that no connection waits for.

A command keeps running after its connection closes, and a refused command is repeated
through a sibling. The sidecar must wait for both before it stops.
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
PLAN_OF_TWO = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name=POOL, hosts=2, slots=5),),
    balancers=1,
)
SERVICE_SECONDS = 2.5
HEALTH_REPORT_SECONDS = 1.5
"""Longer than the interval at which sidecars read the upstreams' health."""
REPEAT_SECONDS = 2.0
"""Longer than a stop takes without connections."""
DEADLINE_SECONDS = 10.0
"""Deadline of the refused command; a stop's default grace is as long."""


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


async def _refuse_and_repeat_at_a_sibling() -> None:
    """Refuse a command at a stopping sidecar and repeat it at the other one."""
    async with cluster_module.running_cluster(PLAN_OF_TWO) as cluster:
        harness = single_requests.Harness(
            cluster, seed=9, log=invariants.ExecutionLog()
        )
        stopping, sibling = cluster.hosts
        async with (
            single_requests.open_connection(
                harness, POOL, lambda host: host is sibling
            ) as connection,
            trio.open_nursery() as nursery,
        ):
            async with single_requests.open_connection(
                harness, POOL, lambda host: host is stopping
            ) as first_connection:
                command = single_requests.new_request(first_connection)
                await single_requests.set_upstreams(harness, draining=True)
                await trio.sleep(HEALTH_REPORT_SECONDS)
                refused = await single_requests.send(
                    first_connection, command, deadline_seconds=DEADLINE_SECONDS
                )
                assert refused.outcome == "not-run"
                nursery.start_soon(processes.stop, stopping.sidecar)
            await trio.sleep(REPEAT_SECONDS)
            await single_requests.set_upstreams(harness, draining=False)
            await trio.sleep(HEALTH_REPORT_SECONDS)
            result = await single_requests.send(connection, command)
            assert result.verdict == "matches"
        executions = await single_requests.executing_upstreams(harness, command)
        assert executions == [str(sibling.upstream_address)]


@pytest.mark.proof(promise=9, fault="planned stop of a sidecar", step="refused command")
def test_a_command_refused_before_a_planned_stop_runs_at_a_sibling() -> None:
    """The stopping sidecar stays the home of the key until the command has run.

    A sidecar that stopped with its last connection left the command's outcome unknown,
    although it had been refused as not run.
    """

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _refuse_and_repeat_at_a_sibling()

    trio.run(run_with_timeout)
