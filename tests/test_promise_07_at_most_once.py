"""Promise 7: a command runs at most once.

The test runs real processes. Callers repeat commands with the same idempotency key
while sidecars fail, members change or keys rotate. All steps share one site, and after
each step every sidecar serves again.

The home of a key is the sidecar that issued its ticket and alone grants the key. The
holder is the sidecar to which the home has granted it.
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
SITE = site.Site(
    domains=("a", "b", "c"),
    pools=(site.PoolPlan(name=POOL, hosts=4, slots=5),),
    balancers=3,
)
SHORT_DEADLINE_SECONDS = 1.0
SLOW_SECONDS = 1.5
OUTCOME_UNKNOWN = _types.Outcome.UNKNOWN.value
UNKNOWN_VERDICTS = frozenset({"outcome-unknown"})
FINAL_VERDICTS = frozenset({"outcome-unknown", "matches"})


async def _restart_sidecar(
    harness: single_requests.Harness, host: cluster_module.Host
) -> None:
    await processes.kill(host.sidecar)
    await processes.start(host.sidecar)
    await cluster_module.wait_until_serving(harness.cluster)


def _other_than(host: cluster_module.Host) -> abc.Callable[[cluster_module.Host], bool]:
    return lambda candidate: candidate is not host


async def _repeated_while_running(harness: single_requests.Harness) -> None:
    """Repeat a running command at other sidecars, then get its stored response."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, connection, command, attempts, service_seconds=SLOW_SECONDS
            )
            for _ in range(3):
                async with single_requests.open_connection(
                    harness, POOL, _other_than(host)
                ) as other:
                    attempt = await single_requests.send(other, command)
                    assert attempt.verdict in {"still-running", "matches"}
                    if attempt.verdict == "still-running":
                        assert (attempt.outcome, attempt.retry_after) == (
                            OUTCOME_UNKNOWN,
                            "1",
                        )
        assert [attempt.verdict for attempt in attempts] == ["matches"]
    async with single_requests.open_connection(
        harness, POOL, _other_than(host)
    ) as other:
        assert (await single_requests.send(other, command)).verdict == "matches"
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _home_killed_before_dispatch(harness: single_requests.Harness) -> None:
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
    await processes.kill(host.sidecar)
    async with single_requests.open_connection(
        harness, POOL, _other_than(host)
    ) as other:
        attempt = await single_requests.send(other, command)
    assert (attempt.verdict, attempt.outcome) == ("outcome-unknown", OUTCOME_UNKNOWN)
    await processes.start(host.sidecar)
    await cluster_module.wait_until_serving(harness.cluster)
    async with single_requests.open_connection(harness, POOL) as other:
        attempt = await single_requests.send(other, command)
    assert (attempt.verdict, attempt.outcome) == ("outcome-unknown", OUTCOME_UNKNOWN)
    assert len(await single_requests.executing_upstreams(harness, command)) == 0


async def _home_killed_while_running(harness: single_requests.Harness) -> None:
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery, connection, command, attempts, service_seconds=SLOW_SECONDS
            )
            await processes.kill(host.sidecar)
            async with single_requests.open_connection(
                harness, POOL, _other_than(host)
            ) as other:
                attempt = await single_requests.send(other, command)
                assert attempt.verdict == "outcome-unknown"
            await processes.start(host.sidecar)
            await cluster_module.wait_until_serving(harness.cluster)
            async with single_requests.open_connection(harness, POOL) as other:
                attempt = await single_requests.send(other, command)
                assert attempt.verdict == "outcome-unknown"
            nursery.cancel_scope.cancel()
    assert [attempt.verdict for attempt in attempts] in ([], [single_requests.LOST])
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _home_killed_after_the_answer(harness: single_requests.Harness) -> None:
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        assert (await single_requests.send(connection, command)).verdict == "matches"
    await _restart_sidecar(harness, host)
    async with single_requests.open_connection(harness, POOL) as other:
        attempt = await single_requests.send(other, command)
    assert (attempt.verdict, attempt.outcome) == ("outcome-unknown", OUTCOME_UNKNOWN)
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _home_frozen_while_running(harness: single_requests.Harness) -> None:
    """Freeze the home past the deadline; repeat the command during and after that."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                connection,
                command,
                attempts,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2 * SLOW_SECONDS,
            )
            processes.freeze(host.sidecar)
            async with single_requests.open_connection(
                harness, POOL, _other_than(host)
            ) as other:
                attempt = await single_requests.send(
                    other, command, deadline_seconds=SHORT_DEADLINE_SECONDS
                )
                assert (attempt.verdict, attempt.outcome) == (
                    "outcome-unknown",
                    OUTCOME_UNKNOWN,
                )
                await trio.sleep(2 * SLOW_SECONDS)
                processes.resume(host.sidecar)
                await cluster_module.wait_until_serving(harness.cluster)
                attempt = await single_requests.send_until(
                    other, command, FINAL_VERDICTS
                )
            nursery.cancel_scope.cancel()
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _holder_frozen_before_dispatch(harness: single_requests.Harness) -> None:
    """Freeze a sidecar before it reads a command; resume it after the command ran.

    The home may forward the command to the frozen sidecar, which then cannot run it.
    New commands are tried until one runs elsewhere.
    """
    while not await _runs_while_holder_is_frozen(harness):
        await cluster_module.wait_until_serving(harness.cluster)


async def _runs_while_holder_is_frozen(harness: single_requests.Harness) -> bool:
    """Return whether the command ran while the other sidecar was frozen."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as home_connection:
        home = await single_requests.host_of(home_connection)
        async with single_requests.open_connection(
            harness, POOL, _other_than(home)
        ) as holder_connection:
            holder = await single_requests.host_of(holder_connection)
            command = single_requests.new_request(home_connection)
            processes.freeze(holder.sidecar)
            async with trio.open_nursery() as nursery:
                single_requests.start_sending(
                    nursery, holder_connection, command, attempts
                )
                attempt = await single_requests.send(home_connection, command)
                processes.resume(holder.sidecar)
    assert len(await single_requests.executing_upstreams(harness, command)) <= 1
    if attempt.verdict != "matches":
        assert attempt.outcome == OUTCOME_UNKNOWN
        return False
    assert [attempt.verdict for attempt in attempts] == ["matches"]
    return True


async def _holder_frozen_while_running(harness: single_requests.Harness) -> None:
    """Freeze the holder of a key past the deadline of its command.

    The home must not grant the key again, since the command may have run.
    """
    attempts: list[single_requests.AttemptResult] = []
    async with (
        single_requests.open_connection(harness, POOL) as home_connection,
        contextlib.AsyncExitStack() as stack,
    ):
        home = await single_requests.host_of(home_connection)
        holder_connection = await stack.enter_async_context(
            single_requests.open_connection(harness, POOL, _other_than(home))
        )
        holder = await single_requests.host_of(holder_connection)
        command = single_requests.new_request(home_connection)
        async with trio.open_nursery() as nursery:
            await single_requests.start_slow_request(
                nursery,
                holder_connection,
                command,
                attempts,
                service_seconds=SLOW_SECONDS,
                deadline_seconds=2.0,
            )
            processes.freeze(holder.sidecar)
            attempt = await single_requests.send(home_connection, command)
            assert (attempt.verdict, attempt.outcome) == (
                "still-running",
                OUTCOME_UNKNOWN,
            )
            await single_requests.send_until(home_connection, command, UNKNOWN_VERDICTS)
            processes.resume(holder.sidecar)
            await cluster_module.wait_until_serving(harness.cluster)
            await single_requests.send_until(home_connection, command, FINAL_VERDICTS)
            nursery.cancel_scope.cancel()
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _answer_lost_between_sidecars(harness: single_requests.Harness) -> None:
    """Kill a sibling sidecar while it runs a forwarded command."""
    attempts: list[single_requests.AttemptResult] = []
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        await controls.set_upstream(host, draining=True)
        await _wait_until_forwarded(harness, connection, host)
        command = single_requests.new_request(connection)
        async with trio.open_nursery() as nursery:
            running_host = await single_requests.start_slow_request(
                nursery, connection, command, attempts, service_seconds=SLOW_SECONDS
            )
            assert running_host is not host
            await processes.kill(running_host.sidecar)
        assert [(result.verdict, result.outcome) for result in attempts] == [
            ("upstream-failed", OUTCOME_UNKNOWN)
        ]
        async with single_requests.open_connection(
            harness, POOL, _other_than(running_host)
        ) as other:
            attempt = await single_requests.send(other, command)
            assert (attempt.verdict, attempt.outcome) == (
                "outcome-unknown",
                OUTCOME_UNKNOWN,
            )
        await controls.set_upstream(host, draining=False)
    await processes.start(running_host.sidecar)
    await cluster_module.wait_until_serving(harness.cluster)
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _wait_until_forwarded(
    harness: single_requests.Harness,
    connection: single_requests.CallerConnection,
    host: cluster_module.Host,
) -> None:
    while True:
        command = single_requests.new_request(connection, "GET", keyed=False)
        attempt = await single_requests.send(connection, command)
        if attempt.verdict == "matches":
            assert (
                await single_requests.wait_until_running(harness, command) is not host
            )
            return


async def _members_changed_between_attempts(harness: single_requests.Harness) -> None:
    """Stop one member and add one between a command and its repeats."""
    async with single_requests.open_connection(harness, POOL) as connection:
        home = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        assert (await single_requests.send(connection, command)).verdict == "matches"
    stopped_host = next(host for host in harness.cluster.hosts if host is not home)
    await processes.stop(stopped_host.sidecar)
    added_host = harness.cluster.add_host(SITE.pools[0], "a")
    await cluster_module.start_host(harness.cluster, added_host)
    await cluster_module.wait_until_serving(harness.cluster)
    for _ in range(3):
        async with single_requests.open_connection(
            harness, POOL, _other_than(home)
        ) as other:
            assert (await single_requests.send(other, command)).verdict == "matches"
    await processes.start(stopped_host.sidecar)
    await cluster_module.wait_until_serving(harness.cluster)
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


async def _keys_rotated_between_attempts(harness: single_requests.Harness) -> None:
    """Rotate to a new current key between a command and its repeat."""
    async with single_requests.open_connection(harness, POOL) as connection:
        host = await single_requests.host_of(connection)
        command = single_requests.new_request(connection)
        assert (await single_requests.send(connection, command)).verdict == "matches"
        previous_number = (
            await single_requests.read_keyring(harness.cluster)
        ).current.number
        while (
            await single_requests.read_keyring(harness.cluster)
        ).current.number == previous_number:
            await trio.to_thread.run_sync(_rotate_keys, harness)
        async with single_requests.open_connection(
            harness, POOL, _other_than(host)
        ) as other:
            assert (await single_requests.send(other, command)).verdict == "matches"
            second_command = single_requests.new_request(other)
            assert (
                await single_requests.send(other, second_command)
            ).verdict == "matches"
    assert len(await single_requests.executing_upstreams(harness, command)) == 1


def _rotate_keys(harness: single_requests.Harness) -> None:
    """Run the next step of a key rotation and wait until it is active everywhere."""
    settings = harness.cluster.client_settings()
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
    """Run all steps one after another on one site; return the result of each."""
    return step_runner.run(SITE, step_runner.steps_of(PROOFS))


@pytest.mark.parametrize("step", PROOFS)
def test_a_command_runs_at_most_once(
    results: abc.Mapping[str, step_runner.Result], step: step_runner.Step
) -> None:
    """A repeat gets the stored response or the error that the outcome is unknown."""
    step_runner.raise_failure(results, step)
