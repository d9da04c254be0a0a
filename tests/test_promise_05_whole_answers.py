"""Promise 5, with real processes: every answer is whole and its request's own."""

from collections import abc
import functools

import pytest
import trio

from standins import caller
from testbed import controls, load, single_requests, site, step_runner

POOL = "fleet-control"
PLAN = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=3, slots=5),),
    balancers=3,
)
SLOW_SECONDS = 1.0
FAST_SECONDS = 0.01
SHORT_DEADLINE_SECONDS = 0.3
BODY_BYTES = 60_000
REQUESTS = 12
LOAD = load.LoadPlan(lines=6, gets_per_second=4.0, posts_per_second=2.0)
LOAD_SECONDS = 4.0
FABRIC_FAULTS = {"loss": 0.05, "duplicate": 0.2, "reorder": 0.2}
RUN = frozenset({"matches"})


async def _answers_out_of_order(bench: single_requests.Harness) -> None:
    """Answer a later request of a line while an earlier one still runs."""
    await single_requests.set_upstreams(bench, service_seconds=SLOW_SECONDS)
    earlier: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        slow = [
            single_requests.new_request(line, body_bytes=BODY_BYTES) for _ in range(3)
        ]
        async with trio.open_nursery() as nursery:
            for command in slow:
                single_requests.start_sending(nursery, line, command, earlier)
            for command in slow:
                await single_requests.wait_until_running(bench, command)
            await single_requests.set_upstreams(bench, service_seconds=FAST_SECONDS)
            fast = single_requests.new_request(line, body_bytes=BODY_BYTES)
            assert (await single_requests.send(line, fast)).verdict == "matches"
            assert earlier == []
    assert [answer.verdict for answer in earlier] == ["matches"] * 3


async def _answers_late(bench: single_requests.Harness) -> None:
    """Give up on requests, so that their answers come after later requests."""
    await single_requests.set_upstreams(bench, service_seconds=SLOW_SECONDS)
    async with single_requests.open_connection(bench, POOL) as line:
        left = [
            single_requests.new_request(line, method, keyed=method == "POST")
            for method in ("GET", "POST", "GET", "POST")
        ]
        async with trio.open_nursery() as nursery:
            for command in left:
                single_requests.start_sending(nursery, line, command, [])
            for command in left:
                await single_requests.wait_until_running(bench, command)
            nursery.cancel_scope.cancel()
        await single_requests.set_upstreams(bench, service_seconds=FAST_SECONDS)
        for _ in range(REQUESTS):
            await single_requests.send_until(
                line, single_requests.new_request(line), RUN
            )
        for command in left[1::2]:
            await single_requests.send_until(line, command, RUN)
            assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _answers_cut(bench: single_requests.Harness) -> None:
    """Cut the answers of all upstreams in the middle, for some of the requests."""
    async with single_requests.open_connection(bench, POOL) as line:
        verdicts = set()
        for _ in range(REQUESTS):
            await single_requests.set_upstreams(bench, fault="cut", fault_count=1)
            for method in ("GET", "POST"):
                command = single_requests.new_request(
                    line, method, keyed=method == "POST", body_bytes=BODY_BYTES
                )
                verdicts.add((await single_requests.send(line, command)).verdict)
        assert verdicts <= {"matches", "upstream-failed", "overloaded", "no-upstream"}
        assert "upstream-failed" in verdicts
        await single_requests.set_upstreams(bench, fault="")
        await single_requests.send_until(line, single_requests.new_request(line), RUN)


async def _caller_moves(bench: single_requests.Harness) -> None:
    """Change the caller's source port while requests wait for their answers."""
    await single_requests.set_upstreams(bench, service_seconds=SLOW_SECONDS)
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        port = line.transport.udp_socket.getsockname()[1]
        waiting = [
            single_requests.new_request(line, body_bytes=BODY_BYTES) for _ in range(3)
        ]
        async with trio.open_nursery() as nursery:
            for command in waiting:
                single_requests.start_sending(nursery, line, command, answers)
            for command in waiting:
                await single_requests.wait_until_running(bench, command)
            caller.migrate(line.transport)
        assert line.transport.udp_socket.getsockname()[1] != port
        assert [answer.verdict for answer in answers] == ["matches"] * 3
        await single_requests.set_upstreams(bench, service_seconds=FAST_SECONDS)
        for _ in range(3):
            caller.migrate(line.transport)
            command = single_requests.new_request(line, body_bytes=BODY_BYTES)
            assert (await single_requests.send(line, command)).verdict == "matches"
        assert await single_requests.host_of(line) is host


async def _fabric_loses_and_doubles(bench: single_requests.Harness) -> None:
    """Let the fabric lose, double and reorder datagrams in both directions."""
    faults = FABRIC_FAULTS
    await controls.send_fabric_command(
        bench.cluster, to_balancers=faults, to_callers=faults
    )
    async with (
        single_requests.background_load(bench, LOAD, seconds=LOAD_SECONDS) as running,
        single_requests.open_connection(bench, POOL) as line,
    ):
        for _ in range(REQUESTS):
            command = single_requests.new_request(line, body_bytes=BODY_BYTES)
            await single_requests.send_until(line, command, RUN)
    counters = await controls.send_fabric_command(
        bench.cluster, to_balancers={}, to_callers={}
    )
    assert min(counters[name] for name in ("lost", "duplicated", "reordered")) > 0
    assert load.total(running, "matches") > 0
    assert load.total(running, "broken_flows") == 0


async def _slow_answers_overtaken_under_load(bench: single_requests.Harness) -> None:
    """Let upstreams differ in speed, so that answers overtake each other."""
    speeds = (FAST_SECONDS, 10 * FAST_SECONDS, 20 * FAST_SECONDS)
    for host, seconds in zip(bench.cluster.hosts, speeds, strict=True):
        await controls.set_upstream(host, service_seconds=seconds, fault_count=3)
        await controls.set_upstream(host, fault="cut")
    async with single_requests.background_load(
        bench, LOAD, seconds=LOAD_SECONDS
    ) as running:
        pass
    assert load.total(running, "matches") > 0
    assert load.total(running, "broken_flows") == 0


_proof = functools.partial(step_runner.proof, 5)

PROOFS = [
    _proof(_answers_out_of_order, "answers out of order", "running"),
    _proof(_answers_late, "answer after its caller gave up", "running"),
    _proof(_answers_cut, "upstream cuts", "answer half sent"),
    _proof(_caller_moves, "caller's source port changed", "running"),
    _proof(
        _fabric_loses_and_doubles, "packet loss, duplication, reordering", "running"
    ),
    _proof(_slow_answers_overtaken_under_load, "unequal upstreams cut", "running"),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run every step on one site."""
    return step_runner.run(PLAN, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_every_answer_is_whole_and_its_own(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """No caller gets half an answer, or that of another request."""
    step_runner.raise_failure(results, step)
