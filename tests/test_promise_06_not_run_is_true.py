"""Promise 6, with real processes: what a refusal says of a request's run is true."""

from collections import abc
import functools

import pytest
import trio

from plantainproxy import _types
from testbed import cluster as cluster_module
from testbed import controls, processes, single_requests, site, step_runner

POOL = "fleet-control"
PLAN = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=3, slots=5),),
    balancers=2,
)
SLOW_SECONDS = 1.5
SHORT_DEADLINE_SECONDS = 1.0
ATTEMPTS = 6
UNKNOWN = _types.Outcome.UNKNOWN.value
NOT_RUN = _types.Outcome.NOT_RUN.value
RUN = frozenset({"matches"})


async def _until_served(line: single_requests.CallerConnection) -> None:
    """Wait until the upstreams take requests again after a fault."""
    command = single_requests.new_request(line, "GET", keyed=False)
    await single_requests.send_until(line, command, RUN)


async def _upstream_fails(bench: single_requests.Harness, fault: str) -> None:
    """Let every upstream run commands and break their answers."""
    async with single_requests.open_connection(bench, POOL) as line:
        await single_requests.set_upstreams(bench, fault=fault)
        ran = 0
        for number in range(ATTEMPTS):
            command = single_requests.new_request(line, keyed=number % 2 == 0)
            answer = await single_requests.send(line, command)
            runs = len(await single_requests.executing_upstreams(bench, command))
            assert runs <= 1
            ran += runs
            assert answer.verdict != "matches"
            if runs:
                assert (answer.verdict, answer.outcome) == ("upstream-failed", UNKNOWN)
            if answer.outcome == NOT_RUN:
                assert answer.retry_after
        assert ran > 0
        await single_requests.set_upstreams(bench, fault="")
        await _until_served(line)


async def _upstream_closes(bench: single_requests.Harness) -> None:
    await _upstream_fails(bench, "close")


async def _upstream_cuts(bench: single_requests.Harness) -> None:
    await _upstream_fails(bench, "cut")


async def _upstream_freezes(bench: single_requests.Harness) -> None:
    """Let every upstream stop answering after it ran a command."""
    async with single_requests.open_connection(bench, POOL) as line:
        await single_requests.set_upstreams(bench, fault="freeze")
        command = single_requests.new_request(line)
        answer = await single_requests.send(
            line, command, deadline_seconds=SHORT_DEADLINE_SECONDS
        )
        assert (answer.verdict, answer.outcome) == ("upstream-timeout", UNKNOWN)
        assert len(await single_requests.executing_upstreams(bench, command)) == 1
        await single_requests.set_upstreams(bench, fault="")
        await _until_served(line)


async def _upstream_killed_while_running(bench: single_requests.Harness) -> None:
    """Kill the upstream that runs a command."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            runner = await single_requests.start_slow_request(
                nursery, line, command, answers, service_seconds=SLOW_SECONDS
            )
            await processes.kill(runner.upstream)
        assert [(one.verdict, one.outcome) for one in answers] == [
            ("upstream-failed", UNKNOWN)
        ]
    await processes.start(runner.upstream)
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _all_upstreams_killed(bench: single_requests.Harness) -> None:
    """Send commands while no upstream listens."""
    async with single_requests.open_connection(bench, POOL) as line:
        await single_requests.read_execution_log(bench)
        for host in bench.cluster.hosts:
            await processes.kill(host.upstream)
        for _ in range(ATTEMPTS):
            command = single_requests.new_request(line)
            answer = await single_requests.send(line, command)
            assert answer.verdict in {"no-upstream", "overloaded"}
            assert answer.outcome == NOT_RUN
            assert answer.retry_after
        for host in bench.cluster.hosts:
            await processes.start(host.upstream)
        await _until_served(line)


async def _upstreams_shed(bench: single_requests.Harness) -> None:
    """Refuse at once, while an earlier request of the same line still runs."""
    earlier: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        running = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, line, running, earlier, service_seconds=SLOW_SECONDS
            )
            await single_requests.set_upstreams(bench, max_queue=0)
            command = single_requests.new_request(line)
            answer = await single_requests.send(line, command)
            assert earlier == []
        assert answer.outcome == NOT_RUN
        assert (answer.verdict, answer.retry_after) in {
            ("overloaded", "1"),
            ("no-upstream", "2"),
        }
        assert await single_requests.executing_upstreams(bench, command) == []
        assert [one.verdict for one in earlier] == ["matches"]
        await single_requests.set_upstreams(bench, **single_requests.HEALTHY_SETTINGS)
        await _until_served(line)
        assert (
            await single_requests.send_until(line, command, RUN)
        ).verdict == "matches"


async def _deadline_expired_before_dispatch(bench: single_requests.Harness) -> None:
    """Refuse a request without time left, while another one still runs."""
    earlier: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        running = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, line, running, earlier, service_seconds=SLOW_SECONDS
            )
            command = single_requests.new_request(line, keyed=False)
            answer = await single_requests.send(line, command, deadline_seconds=0)
            assert earlier == []
        assert (answer.verdict, answer.outcome) == ("deadline-expired", NOT_RUN)
        assert await single_requests.executing_upstreams(bench, command) == []


async def _sibling_frozen_or_killed(
    bench: single_requests.Harness, *, killed: bool
) -> None:
    """Lose the sibling that runs a handed-over command."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        await controls.set_upstream(host, draining=True)
        await _until_handed_over(bench, line, host)
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            runner = await single_requests.start_slow_request(
                nursery,
                line,
                command,
                answers,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2 * SLOW_SECONDS,
            )
            assert runner is not host
            if killed:
                await processes.kill(runner.sidecar)
            else:
                processes.freeze(runner.sidecar)
    assert [one.outcome for one in answers] == [UNKNOWN]
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _until_handed_over(
    bench: single_requests.Harness,
    line: single_requests.CallerConnection,
    host: cluster_module.Host,
) -> None:
    while True:
        command = single_requests.new_request(line, "GET", keyed=False)
        await single_requests.send_until(line, command, RUN)
        if await single_requests.wait_until_running(bench, command) is not host:
            return


async def _sibling_killed_while_running(bench: single_requests.Harness) -> None:
    await _sibling_frozen_or_killed(bench, killed=True)


async def _sibling_frozen_while_running(bench: single_requests.Harness) -> None:
    await _sibling_frozen_or_killed(bench, killed=False)


async def _siblings_killed_before_dispatch(bench: single_requests.Harness) -> None:
    """Hand commands to siblings that are dead and not yet known to be."""
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        await controls.set_upstream(host, draining=True)
        await _until_handed_over(bench, line, host)
        for other in bench.cluster.hosts:
            if other is not host:
                await processes.kill(other.sidecar)
        told = set()
        for _ in range(ATTEMPTS):
            command = single_requests.new_request(line)
            answer = await single_requests.send(line, command)
            assert answer.outcome in {NOT_RUN, UNKNOWN}
            told.add(answer.outcome)
            assert await single_requests.executing_upstreams(bench, command) == []
        assert NOT_RUN in told


_proof = functools.partial(step_runner.proof, 6)

PROOFS = [
    _proof(_upstream_closes, "upstream closes", "before the answer"),
    _proof(_upstream_cuts, "upstream cuts", "answer half sent"),
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
    """Run every step on one site."""
    return step_runner.run(PLAN, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_what_a_refusal_says_is_true(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """Only what never ran is said not to have run; Retry-After stands with it."""
    step_runner.raise_failure(results, step)
