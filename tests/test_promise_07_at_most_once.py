"""Promise 7, with real processes: a command runs at most once.

One site serves all steps of a test; each step ends with every sidecar serving again.
"""

from collections import abc
import contextlib
import functools

import pytest
import trio

from plantainproxy import _types
from plantainproxy.ctl import rotation
from testbed import cluster as cluster_module
from testbed import controls, processes, single_requests, site, step_runner

POOL = "fleet-control"
PLAN = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=4, slots=5),),
    balancers=3,
)
SHORT_DEADLINE_SECONDS = 1.0
SLOW_SECONDS = 1.5
UNKNOWN = _types.Outcome.UNKNOWN.value
CANNOT_BE_KNOWN = frozenset({"outcome-unknown"})
ENDED = frozenset({"outcome-unknown", "matches"})


async def _restart_sidecar(
    bench: single_requests.Harness, host: cluster_module.Host
) -> None:
    await processes.kill(host.sidecar)
    await processes.start(host.sidecar)
    await cluster_module.wait_until_serving(bench.cluster)


def _other_than(host: cluster_module.Host) -> abc.Callable[[cluster_module.Host], bool]:
    return lambda found: found is not host


async def _repeated_while_running(bench: single_requests.Harness) -> None:
    """Repeat a running command at every other sidecar, then ask for its answer."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, line, command, answers, service_seconds=SLOW_SECONDS
            )
            for _ in range(3):
                async with single_requests.open_connection(
                    bench, POOL, _other_than(host)
                ) as other:
                    answer = await single_requests.send(other, command)
                    assert answer.verdict in {"still-running", "matches"}
                    if answer.verdict == "still-running":
                        assert (answer.outcome, answer.retry_after) == (UNKNOWN, "1")
        assert [answer.verdict for answer in answers] == ["matches"]
    async with single_requests.open_connection(bench, POOL, _other_than(host)) as other:
        assert (await single_requests.send(other, command)).verdict == "matches"
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _home_killed_before_dispatch(bench: single_requests.Harness) -> None:
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
    await processes.kill(host.sidecar)
    async with single_requests.open_connection(bench, POOL, _other_than(host)) as other:
        answer = await single_requests.send(other, command)
    assert (answer.verdict, answer.outcome) == ("outcome-unknown", UNKNOWN)
    await processes.start(host.sidecar)
    await cluster_module.wait_until_serving(bench.cluster)
    async with single_requests.open_connection(bench, POOL) as other:
        answer = await single_requests.send(other, command)
    assert (answer.verdict, answer.outcome) == ("outcome-unknown", UNKNOWN)
    assert len(await single_requests.executing_upstreams(bench, command)) == 0


async def _home_killed_while_running(bench: single_requests.Harness) -> None:
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, line, command, answers, service_seconds=SLOW_SECONDS
            )
            await processes.kill(host.sidecar)
            async with single_requests.open_connection(
                bench, POOL, _other_than(host)
            ) as other:
                answer = await single_requests.send(other, command)
                assert answer.verdict == "outcome-unknown"
            await processes.start(host.sidecar)
            await cluster_module.wait_until_serving(bench.cluster)
            async with single_requests.open_connection(bench, POOL) as other:
                answer = await single_requests.send(other, command)
                assert answer.verdict == "outcome-unknown"
            nursery.cancel_scope.cancel()
    assert [answer.verdict for answer in answers] in ([], [single_requests.LOST])
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _home_killed_after_the_answer(bench: single_requests.Harness) -> None:
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        assert (await single_requests.send(line, command)).verdict == "matches"
    await _restart_sidecar(bench, host)
    async with single_requests.open_connection(bench, POOL) as other:
        answer = await single_requests.send(other, command)
    assert (answer.verdict, answer.outcome) == ("outcome-unknown", UNKNOWN)
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _home_frozen_while_running(bench: single_requests.Harness) -> None:
    """Freeze the home past the deadline, repeat meanwhile, wake it, repeat."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                line,
                command,
                answers,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2 * SLOW_SECONDS,
            )
            processes.freeze(host.sidecar)
            async with single_requests.open_connection(
                bench, POOL, _other_than(host)
            ) as other:
                answer = await single_requests.send(
                    other, command, deadline_seconds=SHORT_DEADLINE_SECONDS
                )
                assert (answer.verdict, answer.outcome) == ("outcome-unknown", UNKNOWN)
                await trio.sleep(2 * SLOW_SECONDS)
                processes.resume(host.sidecar)
                await cluster_module.wait_until_serving(bench.cluster)
                answer = await single_requests.send_until(other, command, ENDED)
            nursery.cancel_scope.cancel()
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _holder_frozen_before_dispatch(bench: single_requests.Harness) -> None:
    """Wake a sidecar that slept on an unread command after it ran elsewhere.

    The home may hand the command to the sleeper, so it is tried with several.
    """
    while not await _ran_while_a_holder_slept(bench):
        await cluster_module.wait_until_serving(bench.cluster)


async def _ran_while_a_holder_slept(bench: single_requests.Harness) -> bool:
    """Tell whether the home ran the command while the other sidecar slept."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as home_line:
        home = await single_requests.host_of(home_line)
        async with single_requests.open_connection(
            bench, POOL, _other_than(home)
        ) as holder_line:
            holder = await single_requests.host_of(holder_line)
            command = single_requests.new_request(home_line)
            processes.freeze(holder.sidecar)
            async with trio.open_nursery() as nursery:
                single_requests.start_sending(nursery, holder_line, command, answers)
                answer = await single_requests.send(home_line, command)
                processes.resume(holder.sidecar)
    assert len(await single_requests.executing_upstreams(bench, command)) <= 1
    if answer.verdict != "matches":
        assert answer.outcome == UNKNOWN
        return False
    assert [answer.verdict for answer in answers] == ["matches"]
    return True


async def _holder_frozen_while_running(bench: single_requests.Harness) -> None:
    """Freeze a holder past its deadline; its home never grants the key again."""
    answers: list[single_requests.AttemptResult] = []
    async with (
        single_requests.open_connection(bench, POOL) as home_line,
        contextlib.AsyncExitStack() as stack,
    ):
        home = await single_requests.host_of(home_line)
        holder_line = await stack.enter_async_context(
            single_requests.open_connection(bench, POOL, _other_than(home))
        )
        holder = await single_requests.host_of(holder_line)
        command = single_requests.new_request(home_line)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                holder_line,
                command,
                answers,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2.0,
            )
            processes.freeze(holder.sidecar)
            answer = await single_requests.send(home_line, command)
            assert (answer.verdict, answer.outcome) == ("still-running", UNKNOWN)
            await single_requests.send_until(home_line, command, CANNOT_BE_KNOWN)
            processes.resume(holder.sidecar)
            await cluster_module.wait_until_serving(bench.cluster)
            await single_requests.send_until(home_line, command, ENDED)
            nursery.cancel_scope.cancel()
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _answer_lost_between_sidecars(bench: single_requests.Harness) -> None:
    """Kill a sibling while it runs a command that was handed over."""
    answers: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        await controls.set_upstream(host, draining=True)
        await _until_handed_over(bench, line, host)
        command = single_requests.new_request(line)
        async with trio.open_nursery() as nursery:
            runner = await single_requests.start_slow_request(
                nursery, line, command, answers, service_seconds=SLOW_SECONDS
            )
            assert runner is not host
            await processes.kill(runner.sidecar)
        assert [(one.verdict, one.outcome) for one in answers] == [
            ("upstream-failed", UNKNOWN)
        ]
        async with single_requests.open_connection(
            bench, POOL, _other_than(runner)
        ) as other:
            answer = await single_requests.send(other, command)
            assert (answer.verdict, answer.outcome) == ("outcome-unknown", UNKNOWN)
        await controls.set_upstream(host, draining=False)
    await processes.start(runner.sidecar)
    await cluster_module.wait_until_serving(bench.cluster)
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _until_handed_over(
    bench: single_requests.Harness,
    line: single_requests.CallerConnection,
    host: cluster_module.Host,
) -> None:
    while True:
        command = single_requests.new_request(line, "GET", keyed=False)
        answer = await single_requests.send(line, command)
        if answer.verdict == "matches":
            assert await single_requests.wait_until_running(bench, command) is not host
            return


async def _members_changed_between_attempts(bench: single_requests.Harness) -> None:
    """One member leaves and one joins between a command and its repeats."""
    async with single_requests.open_connection(bench, POOL) as line:
        home = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        assert (await single_requests.send(line, command)).verdict == "matches"
    leaving = next(host for host in bench.cluster.hosts if host is not home)
    await processes.stop(leaving.sidecar)
    joining = bench.cluster.add_host(PLAN.pools[0], "a")
    await cluster_module.start_host(bench.cluster, joining)
    await cluster_module.wait_until_serving(bench.cluster)
    for _ in range(3):
        async with single_requests.open_connection(
            bench, POOL, _other_than(home)
        ) as other:
            assert (await single_requests.send(other, command)).verdict == "matches"
    await processes.start(leaving.sidecar)
    await cluster_module.wait_until_serving(bench.cluster)
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


async def _keys_rotated_between_attempts(bench: single_requests.Harness) -> None:
    """Make a new shared key current between a command and its repeat."""
    async with single_requests.open_connection(bench, POOL) as line:
        host = await single_requests.host_of(line)
        command = single_requests.new_request(line)
        assert (await single_requests.send(line, command)).verdict == "matches"
        before = (await single_requests.read_keyring(bench.cluster)).current.number
        while (
            await single_requests.read_keyring(bench.cluster)
        ).current.number == before:
            await trio.to_thread.run_sync(_rotate, bench)
        async with single_requests.open_connection(
            bench, POOL, _other_than(host)
        ) as other:
            assert (await single_requests.send(other, command)).verdict == "matches"
            repeated = single_requests.new_request(other)
            assert (await single_requests.send(other, repeated)).verdict == "matches"
    assert len(await single_requests.executing_upstreams(bench, command)) == 1


def _rotate(bench: single_requests.Harness) -> None:
    """Take the next step of a rotation and wait until it is everywhere."""
    settings = bench.cluster.client_settings()
    rotation.commands(lambda: settings)["rotate"](reason="test", wait=True)


_proof = functools.partial(step_runner.proof, 7)

PROOFS = [
    _proof(_repeated_while_running, "repeated over new connections", "running"),
    _proof(_home_killed_before_dispatch, "home sidecar killed", "before dispatch"),
    _proof(_home_killed_while_running, "home sidecar killed", "running"),
    _proof(_home_killed_after_the_answer, "home sidecar killed", "after the answer"),
    _proof(_home_frozen_while_running, "home sidecar frozen and woken", "running"),
    _proof(
        _holder_frozen_before_dispatch, "sidecar frozen and woken", "before dispatch"
    ),
    _proof(_holder_frozen_while_running, "sidecar frozen and woken", "running"),
    _proof(_answer_lost_between_sidecars, "sibling sidecar killed", "running"),
    _proof(
        _members_changed_between_attempts,
        "sidecar leaves, upstream joins",
        "between attempts",
    ),
    _proof(_keys_rotated_between_attempts, "keys rotated", "between attempts"),
]


@pytest.fixture(scope="module")
def results() -> abc.Mapping[str, step_runner.Result]:
    """Run every step on one site."""
    return step_runner.run(PLAN, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_a_command_runs_at_most_once(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """A repeat gets the stored answer, or is told that the outcome is unknown."""
    step_runner.raise_failure(results, step)
