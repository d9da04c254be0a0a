"""Promise 5: every response is complete and belongs to its request.

The test runs real processes. A truncated response must reach the caller as an error,
and responses that arrive late or out of order must not be given to another request.
"""

from collections import abc
import functools

import pytest
import trio

from standins import caller
from testbed import controls, load, single_requests, site, step_runner

POOL = "fleet-control"
SITE = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=3, slots=5),),
    balancers=3,
)
SLOW_SECONDS = 1.0
FAST_SECONDS = 0.01
SHORT_DEADLINE_SECONDS = 0.3
BODY_BYTES = 60_000
REQUESTS = 12
LOAD_PLAN = load.LoadPlan(lines=6, gets_per_second=4.0, posts_per_second=2.0)
LOAD_SECONDS = 4.0
FABRIC_FAULTS = {"loss": 0.05, "duplicate": 0.2, "reorder": 0.2}
SUCCESS_VERDICTS = frozenset({"matches"})


async def _answers_out_of_order(harness: single_requests.Harness) -> None:
    """Complete a later request of a connection while earlier ones still run."""
    await single_requests.set_upstreams(harness, service_seconds=SLOW_SECONDS)
    earlier_attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        slow_commands = [
            single_requests.new_request(connection, body_bytes=BODY_BYTES)
            for _ in range(3)
        ]
        async with trio.open_nursery() as nursery:
            for command in slow_commands:
                single_requests.start_sending(
                    nursery, connection, command, earlier_attempts
                )
            for command in slow_commands:
                await single_requests.wait_until_running(harness, command)
            await single_requests.set_upstreams(harness, service_seconds=FAST_SECONDS)
            fast_command = single_requests.new_request(
                connection, body_bytes=BODY_BYTES
            )
            assert (
                await single_requests.send(connection, fast_command)
            ).verdict == "matches"
            assert earlier_attempts == []
    assert [attempt.verdict for attempt in earlier_attempts] == ["matches"] * 3


async def _answers_late(harness: single_requests.Harness) -> None:
    """Cancel requests, so that their responses arrive during later requests.

    The cancelled POST requests are then repeated and must have run only once.
    """
    await single_requests.set_upstreams(harness, service_seconds=SLOW_SECONDS)
    async with single_requests.open_connection(harness, POOL) as connection:
        cancelled_commands = [
            single_requests.new_request(connection, method, keyed=method == "POST")
            for method in ("GET", "POST", "GET", "POST")
        ]
        async with trio.open_nursery() as nursery:
            for command in cancelled_commands:
                single_requests.start_sending(nursery, connection, command, [])
            for command in cancelled_commands:
                await single_requests.wait_until_running(harness, command)
            nursery.cancel_scope.cancel()
        await single_requests.set_upstreams(harness, service_seconds=FAST_SECONDS)
        for _ in range(REQUESTS):
            await single_requests.send_until(
                connection, single_requests.new_request(connection), SUCCESS_VERDICTS
            )
        for command in cancelled_commands[1::2]:
            await single_requests.send_until(connection, command, SUCCESS_VERDICTS)
            assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _answers_truncated(harness: single_requests.Harness) -> None:
    """Truncate the responses of all upstreams for some of the requests."""
    async with single_requests.open_connection(harness, POOL) as connection:
        verdicts = set()
        for _ in range(REQUESTS):
            await single_requests.set_upstreams(harness, fault="cut", fault_count=1)
            for method in ("GET", "POST"):
                command = single_requests.new_request(
                    connection, method, keyed=method == "POST", body_bytes=BODY_BYTES
                )
                verdicts.add((await single_requests.send(connection, command)).verdict)
        assert verdicts <= {"matches", "upstream-failed", "overloaded", "no-upstream"}
        assert "upstream-failed" in verdicts
        await single_requests.set_upstreams(harness, fault="")
        await single_requests.send_until(
            connection, single_requests.new_request(connection), SUCCESS_VERDICTS
        )


async def _caller_port_changes(harness: single_requests.Harness) -> None:
    """Change the caller's source port while its requests are running."""
    await single_requests.set_upstreams(harness, service_seconds=SLOW_SECONDS)
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        previous_port = connection.transport.udp_socket.getsockname()[1]
        pending_commands = [
            single_requests.new_request(connection, body_bytes=BODY_BYTES)
            for _ in range(3)
        ]
        async with trio.open_nursery() as nursery:
            for command in pending_commands:
                single_requests.start_sending(nursery, connection, command, attempts)
            for command in pending_commands:
                await single_requests.wait_until_running(harness, command)
            caller.migrate(connection.transport)
        assert connection.transport.udp_socket.getsockname()[1] != previous_port
        assert [attempt.verdict for attempt in attempts] == ["matches"] * 3
        await single_requests.set_upstreams(harness, service_seconds=FAST_SECONDS)
        for _ in range(3):
            caller.migrate(connection.transport)
            command = single_requests.new_request(connection, body_bytes=BODY_BYTES)
            assert (
                await single_requests.send(connection, command)
            ).verdict == "matches"
        assert await single_requests.host_of(connection) is host


async def _fabric_loses_and_duplicates(harness: single_requests.Harness) -> None:
    """Lose, duplicate and reorder datagrams in both directions."""
    faults = FABRIC_FAULTS
    await controls.send_fabric_command(
        harness.cluster, to_balancers=faults, to_callers=faults
    )
    async with (
        single_requests.background_load(
            harness, LOAD_PLAN, seconds=LOAD_SECONDS
        ) as running_load,
        single_requests.open_connection(harness, POOL) as connection,
    ):
        for _ in range(REQUESTS):
            command = single_requests.new_request(connection, body_bytes=BODY_BYTES)
            await single_requests.send_until(connection, command, SUCCESS_VERDICTS)
    counters = await controls.send_fabric_command(
        harness.cluster, to_balancers={}, to_callers={}
    )
    assert min(counters[name] for name in ("lost", "duplicated", "reordered")) > 0
    assert load.total(running_load, "matches") > 0
    assert load.total(running_load, "broken_flows") == 0


async def _slow_answers_overtaken_under_load(harness: single_requests.Harness) -> None:
    """Run upstreams at different speeds, so that responses arrive out of order.

    Each upstream also truncates a few responses.
    """
    service_times = (FAST_SECONDS, 10 * FAST_SECONDS, 20 * FAST_SECONDS)
    for host, seconds in zip(harness.cluster.hosts, service_times, strict=True):
        await controls.set_upstream(host, service_seconds=seconds, fault_count=3)
        await controls.set_upstream(host, fault="cut")
    async with single_requests.background_load(
        harness, LOAD_PLAN, seconds=LOAD_SECONDS
    ) as running_load:
        pass
    assert load.total(running_load, "matches") > 0
    assert load.total(running_load, "broken_flows") == 0


_proof = functools.partial(step_runner.proof, 5)

PROOFS = [
    _proof(_answers_out_of_order, "answers out of order", "running"),
    _proof(_answers_late, "answer after its caller gave up", "running"),
    _proof(_answers_truncated, "upstream cuts", "answer half sent"),
    _proof(_caller_port_changes, "caller's source port changed", "running"),
    _proof(
        _fabric_loses_and_duplicates, "packet loss, duplication, reordering", "running"
    ),
    _proof(_slow_answers_overtaken_under_load, "unequal upstreams cut", "running"),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run all steps one after another on one site; return the result of each."""
    return step_runner.run(SITE, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_every_response_is_complete_and_matches_its_request(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """No caller gets a truncated response or the response to another request."""
    step_runner.raise_failure(results, step)
