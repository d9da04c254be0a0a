"""Tests of every fault at every step of a command that must run at most once.

The pipelines of three sidecars run on a mock clock and are connected by fakes at their
ports. A fault is injected when an attempt first reaches its step; the caller repeats
the command with the same key at other sidecars. In each run the command must execute at
most once, "not run" must be true, and a complete response must be the one that the
execution produced.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import json
import random

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import admission, tickets
from plantainproxy.core import claims as claim_table
from plantainproxy.rpc import messages
from plantainproxy.sidecar import claims, context, requests, upstream
from plantainproxy.wire import keyring

SERVICE = _types.Address("127.20.0.1", 443)
POOL = model.Pool(name="press-telemetry", max_running=3)
SIDECARS = 3
ATTEMPTS = 5
ATTEMPT_TIMEOUT_SECONDS = 2.5
RETRY_PAUSE_SECONDS = 0.4
SERVICE_SECONDS = 0.2
HOP_SECONDS = 0.01
FREEZE_SECONDS = 3.0
START_SECONDS = 1_000.0
TOKEN = b"setpoint"

KEYS = (
    model.Key(number=1, secret=b"s" * 32),
    model.Key(number=2, secret=b"t" * 32),
)
Kind = _exceptions.ErrorKind
CallError = _exceptions.PlantainError


class Sidecar:
    """A simulated sidecar with its upstream."""

    def __init__(self, address: _types.Address, generation: int) -> None:
        """Set up an unpaused process without keys, view or siblings."""
        self.address = address
        self.process_scope = trio.CancelScope()
        self.resumed = trio.Event()
        self.resumed.set()
        self.upstream_fault = ""
        self.nursery: trio.Nursery | None = None
        self.state = context.State(
            local_address=address,
            table=claim_table.Table(
                home=address,
                generation=generation,
                tag=tickets.pool_tag(POOL.name),
            ),
            max_body_bytes=1_000,
            default_timeout_seconds=ATTEMPT_TIMEOUT_SECONDS,
        )


class Simulation:
    """All sidecars, the record of executions and the faults still to be injected."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Set up a simulation without sidecars and faults."""
        self.nursery = nursery
        self.sidecars: dict[_types.Address, Sidecar] = {}
        self.executions = 0
        self.upstream_responses: list[bytes] = []
        """Bodies of the complete responses of the upstreams."""
        self.pending_faults: list[tuple[str, abc.Callable[[Simulation], None]]] = []
        self.is_partitioned = False
        self.drops_replies = False
        self.entry = _types.Address("0.0.0.0", 0)
        """Sidecar of the first attempt."""
        self.home = _types.Address("0.0.0.0", 0)
        self.attempt = trio.CancelScope()
        self.random = random.Random(5)

    def inject_faults(self, step: str) -> None:
        """Inject the pending faults of a step; each is injected once."""
        due = [fault for name, fault in self.pending_faults if name == step]
        self.pending_faults = [item for item in self.pending_faults if item[0] != step]
        for fault in due:
            fault(self)


def record(address: _types.Address) -> _members.MemberRecord:
    """Return the record of one sidecar."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=address,
        domain="a",
        generation=1,
        sequence=1,
        pool=POOL.name,
        tunnel=address,
    )


def view(
    *, revision: int = 1, drained: bool = False, domain_in: bool = True
) -> model.PoolView:
    """Return a sidecar's view of its pool."""
    return model.PoolView(
        revision=revision,
        pool=POOL,
        services=(SERVICE,),
        domain_number=0,
        domain_in=domain_in,
        drained=drained,
    )


def ring(current: int) -> keyring.Keyring:
    """Return the keyring of both keys with the given one current."""
    return keyring.Keyring(model.KeySet(revision=current, current=current, keys=KEYS))


async def run_upstream(
    simulation: Simulation, sidecar: Sidecar, request: messages.Request, timeout: float
) -> upstream.Result:
    """Simulate the upstream of one sidecar."""
    await sidecar.resumed.wait()
    simulation.inject_faults("dispatching")
    await trio.sleep(HOP_SECONDS)
    fault = sidecar.upstream_fault
    if fault == "shed":
        return upstream.Result(signal=admission.Signal.OVERLOAD, error=Kind.OVERLOADED)
    if fault == "gone":
        return upstream.Result(
            signal=admission.Signal.CONNECTION_ERROR, error=Kind.NO_UPSTREAM
        )
    simulation.executions += 1
    simulation.inject_faults("running")
    with trio.move_on_after(timeout):
        await trio.sleep(SERVICE_SECONDS)
        if sidecar.upstream_fault == "frozen":
            await trio.sleep_forever()
        if sidecar.upstream_fault:
            return upstream.Result(
                signal=admission.Signal.CONNECTION_ERROR, error=Kind.UPSTREAM_FAILED
            )
        simulation.inject_faults("answered")
        body = b"%s %d" % (request.body, simulation.executions)
        simulation.upstream_responses.append(body)
        response = messages.Response(status=200, body=body)
        return upstream.Result(signal=admission.Signal.SUCCESS, response=response)
    return upstream.Result(signal=admission.Signal.TIMEOUT, error=Kind.UPSTREAM_TIMEOUT)


async def run_in_sidecar(
    simulation: Simulation,
    address: _types.Address,
    call: abc.Callable[[Sidecar], abc.Awaitable[object]],
) -> object:
    """Run a call in a sidecar; raise ``CallError`` if the sidecar ends first."""
    sidecar = simulation.sidecars.get(address)
    if sidecar is None or sidecar.nursery is None:
        raise CallError(Kind.PEER_UNAVAILABLE)
    results: list[object] = []
    done = trio.Event()

    async def run() -> None:
        try:
            await sidecar.resumed.wait()
            results.append(await call(sidecar))
            await sidecar.resumed.wait()
        finally:
            done.set()

    sidecar.nursery.start_soon(run)
    await done.wait()
    if not results:
        raise CallError(Kind.PEER_UNAVAILABLE)
    return results[0]


async def peer_call(
    simulation: Simulation,
    address: _types.Address,
    call: abc.Callable[[Sidecar], abc.Awaitable[object]],
    timeout: float,
) -> object:
    """Deliver a call between sidecars; a partition makes it fail."""
    with trio.move_on_after(timeout):
        await trio.sleep(HOP_SECONDS)
        if simulation.is_partitioned:
            raise CallError(Kind.PEER_UNAVAILABLE)
        reply = await run_in_sidecar(simulation, address, call)
        await trio.sleep(HOP_SECONDS)
        if simulation.is_partitioned or simulation.drops_replies:
            raise CallError(Kind.PEER_UNAVAILABLE)
        return reply
    raise CallError(Kind.PEER_UNAVAILABLE)


def make_ports(simulation: Simulation, sidecar: Sidecar) -> context.Ports:
    """Return the ports of one sidecar."""

    async def run(request: messages.Request, timeout: float) -> upstream.Result:
        return await run_upstream(simulation, sidecar, request, timeout)

    async def execute(
        address: _types.Address, request: messages.ExecuteRequest, timeout: float
    ) -> messages.ExecuteReply:
        async def serve(peer: Sidecar) -> object:
            return await requests.handle_execute(
                peer.state, make_ports(simulation, peer), request
            )

        reply = await peer_call(simulation, address, serve, timeout)
        assert isinstance(reply, messages.ExecuteReply)
        return reply

    async def claim(
        address: _types.Address, request: messages.ClaimRequest, timeout: float
    ) -> messages.ClaimReply:
        async def serve(peer: Sidecar) -> object:
            reply = claims.handle_claim(
                peer.state.table, peer.state.ring, request, now=trio.current_time()
            )
            simulation.inject_faults("claimed")
            return reply

        simulation.inject_faults("claiming")
        reply = await peer_call(simulation, address, serve, timeout)
        assert isinstance(reply, messages.ClaimReply)
        return reply

    async def settle(
        address: _types.Address, request: messages.SettleRequest, timeout: float
    ) -> messages.SettleReply:
        async def serve(peer: Sidecar) -> object:
            return claims.handle_settle(peer.state.table, request)

        simulation.inject_faults("settling")
        reply = await peer_call(simulation, address, serve, timeout)
        assert isinstance(reply, messages.SettleReply)
        return reply

    def start_soon(task: abc.Callable[[], abc.Awaitable[None]]) -> None:
        assert sidecar.nursery is not None
        sidecar.nursery.start_soon(task)

    return context.Ports(
        run=run,
        execute=execute,
        claims=claims.Ports(claim=claim, settle=settle),
        start_soon=start_soon,
        random=simulation.random.random,
    )


async def run_process(
    sidecar: Sidecar, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Run a sidecar's tasks until its cancel scope is cancelled."""
    with sidecar.process_scope:
        async with trio.open_nursery() as nursery:
            sidecar.nursery = nursery
            task_status.started()
            await trio.sleep_forever()


def distribute_members(simulation: Simulation) -> None:
    """Apply the records of the current sidecars at every sidecar."""
    records = tuple(record(address) for address in simulation.sidecars)
    for sidecar in simulation.sidecars.values():
        context.apply_siblings(sidecar.state, records)


def add_sidecar(
    simulation: Simulation, address: _types.Address, generation: int
) -> Sidecar:
    """Start a sidecar that has the first key and the view of the pool."""
    sidecar = Sidecar(address, generation)
    sidecar.state.ring = ring(1)
    context.apply_view(sidecar.state, view(), now=trio.current_time())
    simulation.sidecars[address] = sidecar
    simulation.nursery.start_soon(run_process, sidecar)
    return sidecar


# --- Faults -----------------------------------------------------------------------


def kill(simulation: Simulation, address: _types.Address) -> None:
    """End a sidecar without a planned stop."""
    sidecar = simulation.sidecars.pop(address, None)
    if sidecar is not None:
        sidecar.process_scope.cancel()
        sidecar.nursery = None
        distribute_members(simulation)


def kill_home(simulation: Simulation) -> None:
    """Kill the key's home."""
    kill(simulation, simulation.home)


def restart_home(simulation: Simulation) -> None:
    """Kill the key's home and start another process at its address."""
    kill(simulation, simulation.home)
    add_sidecar(simulation, simulation.home, generation=2_000)
    distribute_members(simulation)


def kill_entry(simulation: Simulation) -> None:
    """Kill the sidecar of the first attempt."""
    kill(simulation, simulation.entry)


def _freeze(simulation: Simulation, address: _types.Address) -> None:
    sidecar = simulation.sidecars.get(address)
    if sidecar is None:
        return
    sidecar.resumed = trio.Event()

    async def resume_later() -> None:
        await trio.sleep(FREEZE_SECONDS)
        sidecar.resumed.set()

    simulation.nursery.start_soon(resume_later)


def freeze_home(simulation: Simulation) -> None:
    """Pause the key's home for a fixed time."""
    _freeze(simulation, simulation.home)


def freeze_entry(simulation: Simulation) -> None:
    """Pause the sidecar of the first attempt for a fixed time."""
    _freeze(simulation, simulation.entry)


def partition_sidecars(simulation: Simulation) -> None:
    """Make every call between sidecars fail."""
    simulation.is_partitioned = True


def drop_replies(simulation: Simulation) -> None:
    """Deliver calls between sidecars but drop every reply."""
    simulation.drops_replies = True


def _break_upstreams(fault: str) -> abc.Callable[[Simulation], None]:
    def inject(simulation: Simulation) -> None:
        for sidecar in simulation.sidecars.values():
            sidecar.upstream_fault = fault

    return inject


def cancel_attempt(simulation: Simulation) -> None:
    """Cancel the current attempt, as when the caller disconnects."""
    simulation.attempt.cancel()


def drain_entry(simulation: Simulation) -> None:
    """Drain the upstream of the first attempt, as an operator does."""
    sidecar = simulation.sidecars.get(simulation.entry)
    if sidecar is not None:
        drained = view(revision=2, drained=True)
        context.apply_view(sidecar.state, drained, now=trio.current_time())


def take_domain_out(simulation: Simulation) -> None:
    """Take the failure domain of the first attempt's sidecar out of service."""
    sidecar = simulation.sidecars.get(simulation.entry)
    if sidecar is not None:
        view_out = view(revision=3, domain_in=False)
        context.apply_view(sidecar.state, view_out, now=trio.current_time())


def stop_entry(simulation: Simulation) -> None:
    """Begin a planned stop of the sidecar of the first attempt."""
    sidecar = simulation.sidecars.get(simulation.entry)
    if sidecar is not None:
        sidecar.state.stopping = True


def rotate_keys(simulation: Simulation) -> None:
    """Make another key current everywhere."""
    for sidecar in simulation.sidecars.values():
        sidecar.state.ring = ring(2)


def remove_siblings(simulation: Simulation) -> None:
    """Replace the sibling records of every sidecar by an empty list."""
    for sidecar in simulation.sidecars.values():
        context.apply_siblings(sidecar.state, ())


FAULTS: dict[str, abc.Callable[[Simulation], None]] = {
    "home killed": kill_home,
    "home restarted": restart_home,
    "home frozen and woken": freeze_home,
    "entry killed": kill_entry,
    "entry frozen and woken": freeze_entry,
    "sidecars cut from one another": partition_sidecars,
    "replies lost": drop_replies,
    "upstreams cut": _break_upstreams("cut"),
    "upstreams frozen": _break_upstreams("frozen"),
    "upstreams shed": _break_upstreams("shed"),
    "upstreams gone": _break_upstreams("gone"),
    "caller leaves": cancel_attempt,
    "entry drained": drain_entry,
    "entry stopping": stop_entry,
    "failure domain out": take_domain_out,
    "keys rotated": rotate_keys,
    "members forgotten": remove_siblings,
}
STEPS = (
    "idle",
    "claiming",
    "claimed",
    "dispatching",
    "running",
    "answered",
    "settling",
)
PAIRED_STEPS = (
    ("running", "running"),
    ("claimed", "answered"),
    ("idle", "settling"),
    ("dispatching", "running"),
)


# --- Runs -------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptReport:
    """Result of one attempt as the caller received it."""

    outcome: str
    """``run``, the outcome in an error response, or ``lost`` without a response."""
    body: bytes = b""


async def attempt(
    simulation: Simulation, address: _types.Address, key: str
) -> AttemptReport:
    """Send the command once."""
    request = messages.Request(
        method="POST",
        path="/setpoint",
        headers=(messages.Header(name=b"idempotency-key", value=key.encode()),),
        body=TOKEN,
    )

    async def serve(sidecar: Sidecar) -> object:
        ports = make_ports(simulation, sidecar)
        return await requests.handle(sidecar.state, ports, request, service=SERVICE)

    with simulation.attempt, trio.move_on_after(ATTEMPT_TIMEOUT_SECONDS):
        try:
            response = await run_in_sidecar(simulation, address, serve)
        except CallError:
            return AttemptReport(outcome="lost")
        assert isinstance(response, messages.Response)
        if response.status == 200:
            return AttemptReport(outcome=_types.Outcome.RUN, body=response.body)
        return AttemptReport(outcome=json.loads(response.body)["outcome"])
    return AttemptReport(outcome="lost")


async def run_caller(
    simulation: Simulation, key: str, order: list[_types.Address]
) -> list[AttemptReport]:
    """Repeat the command at other sidecars until one returns a success."""
    reports = []
    for number in range(ATTEMPTS):
        simulation.attempt = trio.CancelScope()
        reports.append(await attempt(simulation, order[number % len(order)], key))
        if reports[-1].outcome == _types.Outcome.RUN:
            break
        await trio.sleep(RETRY_PAUSE_SECONDS)
    return reports


def violations(
    simulation: Simulation, reports: list[AttemptReport]
) -> abc.Iterator[str]:
    """Yield a description of each violated guarantee."""
    if simulation.executions > 1:
        yield f"ran {simulation.executions} times"
    outcomes = [report.outcome for report in reports]
    if set(outcomes) == {_types.Outcome.NOT_RUN} and simulation.executions:
        yield "ran although every attempt was reported as not run"
    for report in reports:
        if (
            report.outcome == _types.Outcome.RUN
            and report.body not in simulation.upstream_responses
        ):
            yield f"got {report.body!r}, which no upstream returned"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartCondition:
    """Conditions under which the first attempt starts."""

    entry_is_home: bool
    entry_is_busy: bool
    """Whether the entry's local upstream is full, so that a sibling is used."""


START_CONDITIONS = tuple(
    StartCondition(entry_is_home=is_home, entry_is_busy=is_busy)
    for is_home, is_busy in itertools.product((True, False), repeat=2)
)


async def scenario(
    injections: list[tuple[str, str]], condition: StartCondition
) -> tuple[Simulation, list[AttemptReport]]:
    """Run one command while each fault is injected at its step."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(nursery)
        addresses = [
            _types.Address(f"127.30.0.{number}", 7001) for number in range(SIDECARS)
        ]
        for address in addresses:
            add_sidecar(simulation, address, generation=1_000)
        await trio.testing.wait_all_tasks_blocked()
        distribute_members(simulation)
        await trio.sleep(START_SECONDS)
        home = simulation.sidecars[addresses[0]]
        ticket = claims.issue_ticket(
            home.state.table,
            ring(1),
            home.state.ticket_cache,
            now=trio.current_time(),
        )
        simulation.home = addresses[0]
        order = addresses if condition.entry_is_home else [*addresses[1:], addresses[0]]
        simulation.entry = order[0]
        if condition.entry_is_busy:
            busy = simulation.sidecars[simulation.entry].state.admission_state
            busy.running = POOL.max_running
        simulation.pending_faults = [
            (step, FAULTS[fault]) for fault, step in injections
        ]
        simulation.inject_faults("idle")
        reports = await run_caller(simulation, f"{ticket}.key", order)
        nursery.cancel_scope.cancel()
    return simulation, reports


def run(
    injections: list[tuple[str, str]], condition: StartCondition
) -> tuple[Simulation, list[AttemptReport]]:
    """Run a scenario on a mock clock that skips waiting times."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    results: list[tuple[Simulation, list[AttemptReport]]] = []

    async def main() -> None:
        with contextlib.suppress(trio.Cancelled):
            results.append(await scenario(injections, condition))

    trio.run(main, clock=clock)
    return results[0]


@pytest.mark.parametrize("condition", START_CONDITIONS)
def test_without_a_fault_the_command_runs_once_and_is_answered(
    condition: StartCondition,
) -> None:
    """Without a fault the simulation runs the command once and returns a success."""
    simulation, reports = run([], condition)
    assert [report.outcome for report in reports] == [_types.Outcome.RUN]
    assert simulation.executions == 1


def _proofs(fault: str, step: str) -> list[pytest.MarkDecorator]:
    return [
        pytest.mark.proof(promise=promise, fault=fault, step=step)
        for promise in (5, 6, 7)
    ]


@pytest.mark.parametrize(
    ("fault", "step"),
    [
        pytest.param(fault, step, marks=_proofs(fault, step))
        for fault, step in itertools.product(FAULTS, STEPS)
    ],
)
def test_one_fault_at_one_step(fault: str, step: str) -> None:
    """With any single fault, every guarantee holds."""
    for condition in START_CONDITIONS:
        simulation, reports = run([(fault, step)], condition)
        assert list(violations(simulation, reports)) == [], (condition, reports)


@pytest.mark.parametrize("first", FAULTS)
@pytest.mark.parametrize("second", FAULTS)
def test_two_faults_together_and_in_turn(first: str, second: str) -> None:
    """With any two faults, at the same step or at two steps, every guarantee holds."""
    for condition, steps in itertools.product(START_CONDITIONS[2:], PAIRED_STEPS):
        injections = [(first, steps[0]), (second, steps[1])]
        simulation, reports = run(injections, condition)
        assert list(violations(simulation, reports)) == [], (condition, steps, reports)
