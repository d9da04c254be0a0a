"""Promise 6: the outcome that a refusal reports is true.

The test runs real processes. A caller may safely repeat a request that is reported as
not run, so this outcome must never be reported for a request that an upstream ran.
"""

from collections import abc
import functools

import pytest
import trio

from plantainproxy import _types
from testbed import cluster as cluster_module
from testbed import controls, processes, single_requests, site, step_runner

POOL = "fleet-control"
SITE = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=3, slots=5),),
    balancers=2,
)
SLOW_SECONDS = 1.5
SHORT_DEADLINE_SECONDS = 1.0
ATTEMPTS = 6
OUTCOME_UNKNOWN = _types.Outcome.UNKNOWN.value
OUTCOME_NOT_RUN = _types.Outcome.NOT_RUN.value
SUCCESS_VERDICTS = frozenset({"matches"})


async def _wait_until_served(connection: single_requests.CallerConnection) -> None:
    """Wait until the upstreams complete requests again after a fault."""
    command = single_requests.new_request(connection, "GET", keyed=False)
    await single_requests.send_until(connection, command, SUCCESS_VERDICTS)


async def _inject_upstream_fault(harness: single_requests.Harness, fault: str) -> None:
    """Let every upstream run commands and then fail their responses."""
    async with single_requests.open_connection(harness, POOL) as connection:
        await single_requests.set_upstreams(harness, fault=fault)
        total_executions = 0
        for number in range(ATTEMPTS):
            command = single_requests.new_request(connection, keyed=number % 2 == 0)
            attempt = await single_requests.send(connection, command)
            executions = len(
                await single_requests.executing_upstreams(harness, command)
            )
            assert executions <= 1
            total_executions += executions
            assert attempt.verdict != "matches"
            if executions:
                assert (attempt.verdict, attempt.outcome) == (
                    "upstream-failed",
                    OUTCOME_UNKNOWN,
                )
            if attempt.outcome == OUTCOME_NOT_RUN:
                assert attempt.retry_after
        assert total_executions > 0
        await single_requests.set_upstreams(harness, fault="")
        await _wait_until_served(connection)


async def _upstream_closes(harness: single_requests.Harness) -> None:
    await _inject_upstream_fault(harness, "close")


async def _upstream_truncates_response(harness: single_requests.Harness) -> None:
    await _inject_upstream_fault(harness, "cut")


async def _upstream_freezes(harness: single_requests.Harness) -> None:
    """Run a command on upstreams that never send the response."""
    async with single_requests.open_connection(harness, POOL) as connection:
        await single_requests.set_upstreams(harness, fault="freeze")
        command = single_requests.new_request(connection)
        attempt = await single_requests.send(
            connection, command, deadline_seconds=SHORT_DEADLINE_SECONDS
        )
        assert (attempt.verdict, attempt.outcome) == (
            "upstream-timeout",
            OUTCOME_UNKNOWN,
        )
        assert len(await single_requests.executing_upstreams(harness, command)) == 1
        await single_requests.set_upstreams(harness, fault="")
        await _wait_until_served(connection)


async def _upstream_killed_while_running(harness: single_requests.Harness) -> None:
    """Kill the upstream while it runs a command."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            running_host = await single_requests.start_slow_request(
                nursery, connection, command, attempts, service_seconds=SLOW_SECONDS
            )
            await processes.kill(running_host.upstream)
        assert [(result.verdict, result.outcome) for result in attempts] == [
            ("upstream-failed", OUTCOME_UNKNOWN)
        ]
    await processes.start(running_host.upstream)
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _all_upstreams_killed(harness: single_requests.Harness) -> None:
    """Send commands while no upstream process runs."""
    async with single_requests.open_connection(harness, POOL) as connection:
        await single_requests.read_execution_log(harness)
        for host in harness.cluster.hosts:
            await processes.kill(host.upstream)
        for _ in range(ATTEMPTS):
            command = single_requests.new_request(connection)
            attempt = await single_requests.send(connection, command)
            assert attempt.verdict in {"no-upstream", "overloaded"}
            assert attempt.outcome == OUTCOME_NOT_RUN
            assert attempt.retry_after
        for host in harness.cluster.hosts:
            await processes.start(host.upstream)
        await _wait_until_served(connection)


async def _upstreams_shed(harness: single_requests.Harness) -> None:
    """Shed a request while an earlier one of the same connection still runs."""
    earlier_attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        running_command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                connection,
                running_command,
                earlier_attempts,
                service_seconds=SLOW_SECONDS,
            )
            await single_requests.set_upstreams(harness, max_queue=0)
            command = single_requests.new_request(connection)
            attempt = await single_requests.send(connection, command)
            assert earlier_attempts == []
        assert attempt.outcome == OUTCOME_NOT_RUN
        assert (attempt.verdict, attempt.retry_after) in {
            ("overloaded", "1"),
            ("no-upstream", "2"),
        }
        assert await single_requests.executing_upstreams(harness, command) == []
        assert [result.verdict for result in earlier_attempts] == ["matches"]
        await single_requests.set_upstreams(harness, **single_requests.HEALTHY_SETTINGS)
        await _wait_until_served(connection)
        assert (
            await single_requests.send_until(connection, command, SUCCESS_VERDICTS)
        ).verdict == "matches"


async def _deadline_expired_before_dispatch(harness: single_requests.Harness) -> None:
    """Send a request with an expired deadline while another one still runs."""
    earlier_attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        running_command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                connection,
                running_command,
                earlier_attempts,
                service_seconds=SLOW_SECONDS,
            )
            command = single_requests.new_request(connection, keyed=False)
            attempt = await single_requests.send(
                connection, command, deadline_seconds=0
            )
            assert earlier_attempts == []
        assert (attempt.verdict, attempt.outcome) == (
            "deadline-expired",
            OUTCOME_NOT_RUN,
        )
        assert await single_requests.executing_upstreams(harness, command) == []


async def _lose_sibling_while_running(
    harness: single_requests.Harness, *, killed: bool
) -> None:
    """Kill or freeze the sibling sidecar that runs a forwarded command."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        await controls.set_upstream(host, draining=True)
        await _wait_until_forwarded(harness, connection, host)
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            running_host = await single_requests.start_slow_request(
                nursery,
                connection,
                command,
                attempts,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2 * SLOW_SECONDS,
            )
            assert running_host is not host
            if killed:
                await processes.kill(running_host.sidecar)
            else:
                processes.freeze(running_host.sidecar)
    assert [result.outcome for result in attempts] == [OUTCOME_UNKNOWN]
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _wait_until_forwarded(
    harness: single_requests.Harness,
    connection: single_requests.CallerConnection,
    host: cluster_module.Host,
) -> None:
    while True:
        command = single_requests.new_request(connection, "GET", keyed=False)
        await single_requests.send_until(connection, command, SUCCESS_VERDICTS)
        if await single_requests.wait_until_running(harness, command) is not host:
            return


async def _sibling_killed_while_running(harness: single_requests.Harness) -> None:
    await _lose_sibling_while_running(harness, killed=True)


async def _sibling_frozen_while_running(harness: single_requests.Harness) -> None:
    await _lose_sibling_while_running(harness, killed=False)


async def _siblings_killed_before_dispatch(harness: single_requests.Harness) -> None:
    """Forward commands to killed sibling sidecars before the failure is detected."""
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        await controls.set_upstream(host, draining=True)
        await _wait_until_forwarded(harness, connection, host)
        for sibling in harness.cluster.hosts:
            if sibling is not host:
                await processes.kill(sibling.sidecar)
        outcomes = set()
        for _ in range(ATTEMPTS):
            command = single_requests.new_request(connection)
            attempt = await single_requests.send(connection, command)
            assert attempt.outcome in {OUTCOME_NOT_RUN, OUTCOME_UNKNOWN}
            outcomes.add(attempt.outcome)
            assert await single_requests.executing_upstreams(harness, command) == []
        assert OUTCOME_NOT_RUN in outcomes


_proof = functools.partial(step_runner.proof, 6)

PROOFS = [
    _proof(_upstream_closes, "upstream closes", "before the answer"),
    _proof(_upstream_truncates_response, "upstream cuts", "answer half sent"),
    _proof(_upstream_freezes, "upstream frozen", "running"),
    _proof(_upstream_killed_while_running, "upstream killed", "running"),
    _proof(_all_upstreams_killed, "all upstreams killed", "before dispatch"),
    _proof(_upstreams_shed, "upstreams shed", "before dispatch"),
    _proof(_deadline_expired_before_dispatch, "deadline expired", "before dispatch"),
    _proof(_sibling_killed_while_running, "sibling sidecar killed", "running"),
    _proof(_sibling_frozen_while_running, "sibling sidecar frozen", "running"),
    _proof(
        _siblings_killed_before_dispatch, "sibling sidecars killed", "before dispatch"
    ),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run all steps one after another on one site; return the result of each."""
    return step_runner.run(SITE, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_refusals_report_the_true_outcome(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """Only requests that never ran are reported as not run, with Retry-After."""
    step_runner.raise_failure(results, step)
