"""Single requests on lines that a test opens and closes by hand.

What the callers were told is kept as the callers of a load keep it, so that
:mod:`testbed.invariants` judges both.
"""

from collections import abc
import contextlib
import dataclasses
import json
import random

import trio

from plantainproxy import _types
from plantainproxy.config import keys
from plantainproxy.rpc import messages
from plantainproxy.settings import model as settings_model
from plantainproxy.store import etcd
from plantainproxy.wire import connection_id, keyring
from standins import caller, echo, http3_client
from testbed import cluster as cluster_module
from testbed import controls, invariants, load

OPEN_TIMEOUT_SECONDS = 3.0
MAX_OPENED = 60
"""How many lines are opened in search of one at a wanted sidecar."""
PAUSE_SECONDS = 0.1
DEADLINE_SECONDS = 5.0
LOST = caller.LOST
WELL = {
    "service_seconds": 0.01,
    "draining": False,
    "max_queue": 20,
    "fault": "",
    "health_lie": -1,
    "health_delay_seconds": 0.0,
}
"""Settings of a stand-in upstream without any fault."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """One request that may be sent again and again, word for word."""

    method: str
    token: str
    key: str = ""
    """The idempotency key; empty for none."""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """How one attempt ended."""

    verdict: str
    """A verdict on a whole answer, the error kind of a refusal, or ``lost``."""
    outcome: str = ""
    """What a refusal said of the request's run."""
    retry_after: str = ""


class Bench:
    """A running site with what the callers of one test were told."""

    def __init__(
        self, cluster: cluster_module.Cluster, *, seed: int, log: invariants.Log
    ) -> None:
        """Start with nothing told."""
        self.cluster = cluster
        self.random = random.Random(seed)
        self.log = log
        """What the upstreams ran since the start of the site."""
        self.log_is_whole = True
        """Whether every upstream's log was read before its end."""
        self.running = load.Load()
        for pool in cluster.services:
            self.running.reports[pool] = caller.Report()


@dataclasses.dataclass(slots=True, kw_only=True)
class Line:
    """One connection of a caller."""

    bench: Bench
    pool: str
    connection: caller.Connection
    ticket: str = ""
    """The newest ticket that an answer brought."""


async def read_log(bench: Bench) -> None:
    """Read what the running upstreams ran, beside what was read before."""
    for host in bench.cluster.hosts:
        with contextlib.suppress(OSError):
            await invariants.read_upstream(bench.log, host)


async def runs(bench: Bench, command: Command) -> list[str]:
    """Return the address of the upstream of each run of a command."""
    await read_log(bench)
    return [
        run.upstream for run in bench.log.executions() if run.token == command.token
    ]


async def until_running(bench: Bench, command: Command) -> cluster_module.Host:
    """Wait until a command has begun to run; return the upstream's instance."""
    while not (found := await runs(bench, command)):
        await trio.sleep(PAUSE_SECONDS)
    return next(
        host for host in bench.cluster.hosts if str(host.upstream_address) == found[0]
    )


async def set_upstreams(bench: Bench, **settings: object) -> None:
    """Change the settings of every stand-in upstream that runs."""
    for host in bench.cluster.hosts:
        with contextlib.suppress(OSError):
            await controls.set_upstream(host, **settings)


def start_sending(
    nursery: trio.Nursery,
    line: "Line",
    command: Command,
    answers: list[Answer],
    *,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> None:
    """Send a command in the background; its answer is appended when it comes."""

    async def run() -> None:
        answers.append(await send(line, command, deadline_seconds=deadline_seconds))

    nursery.start_soon(run)


async def start_slowly(
    nursery: trio.Nursery,
    line: "Line",
    command: Command,
    answers: list[Answer],
    *,
    service_seconds: float,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> cluster_module.Host:
    """Send a command that runs for long; return the upstream's instance.

    Requests that begin after it run as fast as usual.
    """
    await set_upstreams(line.bench, service_seconds=service_seconds)
    start_sending(nursery, line, command, answers, deadline_seconds=deadline_seconds)
    host = await until_running(line.bench, command)
    await set_upstreams(line.bench, service_seconds=WELL["service_seconds"])
    return host


@contextlib.asynccontextmanager
async def loaded(
    bench: Bench, plan: load.LoadPlan, *, seconds: float
) -> abc.AsyncIterator[load.Load]:
    """Run a load beside the test's own lines; it is judged with the rest."""
    own = dataclasses.replace(plan, seed=bench.random.getrandbits(32))
    async with load.offered(bench.cluster, own, seconds=seconds) as running:
        for pool, report in running.reports.items():
            bench.running.reports[f"load of {pool}"] = report
        yield running


async def read_keyring(cluster: cluster_module.Cluster) -> keyring.Keyring:
    """Read the shared keys from the store."""
    settings = settings_model.StoreSettings(address=cluster.store_address)
    async with etcd.open_store(settings) as store:
        key_set = await keys.read(store, prefix=settings.prefix)
    if key_set is None:
        raise RuntimeError("The store holds no key set.")
    return keyring.Keyring(key_set)


async def host_of(line: Line) -> cluster_module.Host:
    """Return the instance whose sidecar holds a line."""
    cluster = line.bench.cluster
    ring = await read_keyring(cluster)
    named = line.connection.client.peer_connection_id
    destination = connection_id.decode(ring, named)
    if destination is None:
        raise RuntimeError("The line's connection ID is not of this site.")
    tunnel = connection_id.tunnel_address(destination)
    return next(host for host in cluster.hosts if host.tunnel == tunnel)


@contextlib.asynccontextmanager
async def _try_line(bench: Bench, pool: str) -> abc.AsyncIterator[Line]:
    plan = caller.Plan(service=bench.cluster.services[pool])
    with caller.open_connection(plan) as connection:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.pump, connection)
            with trio.move_on_after(OPEN_TIMEOUT_SECONDS):
                await connection.connected.wait()
            yield Line(bench=bench, pool=pool, connection=connection)
            nursery.cancel_scope.cancel()


def _any_host(_: cluster_module.Host) -> bool:
    return True


@contextlib.asynccontextmanager
async def open_line(
    bench: Bench,
    pool: str,
    wanted: abc.Callable[[cluster_module.Host], bool] = _any_host,
) -> abc.AsyncIterator[Line]:
    """Open lines until one is at a wanted sidecar and an answer brought a ticket."""
    for _ in range(MAX_OPENED):
        async with _try_line(bench, pool) as line:
            if await _is_usable(line, wanted):
                yield line
                return
        await trio.sleep(PAUSE_SECONDS)
    raise RuntimeError(f"No line of pool {pool} came to a wanted sidecar.")


async def _is_usable(
    line: Line, wanted: abc.Callable[[cluster_module.Host], bool]
) -> bool:
    if line.connection.closed or not line.connection.connected.is_set():
        return False
    if not wanted(await host_of(line)):
        return False
    await send(line, new_command(line, "GET", keyed=False))
    return bool(line.ticket)


def new_command(
    line: Line, method: str = "POST", *, keyed: bool = True, body_bytes: int = 64
) -> Command:
    """Make a request that was never sent, with a key under the line's ticket."""
    draw = line.bench.random
    token = f"{line.pool}.{draw.getrandbits(64):016x}"
    key = f"{line.ticket}.{draw.getrandbits(96):024x}" if keyed else ""
    body = b"" if method == "GET" else (token.encode() * body_bytes)[:body_bytes]
    return Command(method=method, token=token, key=key, body=body)


async def send(
    line: Line, command: Command, *, deadline_seconds: float = DEADLINE_SECONDS
) -> Answer:
    """Send a request and wait for its end."""
    report = line.bench.running.reports[line.pool]
    told = report.request_records.setdefault(
        command.token, caller.RequestRecord(method=command.method)
    )
    told.answers.append(LOST)
    place = len(told.answers) - 1
    result = await caller.send(
        line.connection,
        command.method,
        f"/work/{command.token}",
        headers=_headers(command, deadline_seconds),
        body=command.body,
    )
    answer = _judge(line, command, result)
    told.answers[place] = answer.outcome or answer.verdict
    if answer.verdict in report.counts:
        report.count(answer.verdict)
    return answer


def _headers(command: Command, deadline_seconds: float) -> tuple[messages.Header, ...]:
    fields = {
        echo.TOKEN_HEADER: command.token,
        b"request-timeout-ms": str(int(deadline_seconds * 1000)),
    }
    if command.key:
        fields[b"idempotency-key"] = command.key
    return tuple(
        messages.Header(name=name, value=value.encode())
        for name, value in fields.items()
    )


def _judge(line: Line, command: Command, result: http3_client.Event) -> Answer:
    if isinstance(result, http3_client.RequestFailed) and result.not_run:
        return Answer(verdict="rejected", outcome=_types.Outcome.NOT_RUN.value)
    if not isinstance(result, http3_client.ResponseReceived):
        return Answer(verdict=LOST)
    fields = {field.name: field.value for field in result.response.headers}
    line.ticket = fields.get(b"idempotency-ticket", b"").decode() or line.ticket
    if fields.get(b"content-type") == caller.PROBLEM_CONTENT_TYPE:
        document = json.loads(result.response.body)
        return Answer(
            verdict=str(document["type"]).rpartition(":")[2],
            outcome=str(document["outcome"]),
            retry_after=fields.get(b"retry-after", b"").decode(),
        )
    wanted = echo.expected(
        command.method, f"/work/{command.token}", command.token, command.body
    )
    return Answer(verdict=echo.check(result.response.body, wanted))


async def send_until(line: Line, command: Command, verdicts: frozenset[str]) -> Answer:
    """Send a request again and again until an attempt ends as wanted."""
    while True:
        answer = await send(line, command)
        if answer.verdict in verdicts:
            return answer
        if answer.verdict in invariants.WRONG_ANSWERS:
            raise AssertionError(f"The answer to {command.token} {answer.verdict}.")
        await trio.sleep(PAUSE_SECONDS)
