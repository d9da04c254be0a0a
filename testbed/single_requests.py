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
MAX_OPEN_ATTEMPTS = 60
"""How many lines are opened in search of one at a wanted sidecar."""
RETRY_INTERVAL_SECONDS = 0.1
DEADLINE_SECONDS = 5.0
LOST = caller.LOST
HEALTHY_SETTINGS = {
    "service_seconds": 0.01,
    "draining": False,
    "max_queue": 20,
    "fault": "",
    "health_lie": -1,
    "health_delay_seconds": 0.0,
}
"""Settings of a stand-in upstream without any fault."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request that may be sent again and again, word for word."""

    method: str
    token: str
    key: str = ""
    """The idempotency key; empty for none."""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """How one attempt ended."""

    verdict: str
    """A verdict on a whole answer, the error kind of a refusal, or ``lost``."""
    outcome: str = ""
    """What a refusal said of the request's run."""
    retry_after: str = ""


class Harness:
    """A running site with what the callers of one test were told."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        *,
        seed: int,
        log: invariants.ExecutionLog,
    ) -> None:
        """Start with nothing told."""
        self.cluster = cluster
        self.random = random.Random(seed)
        self.log = log
        """What the upstreams ran since the start of the site."""
        self.log_is_complete = True
        """Whether every upstream's log was read before its end."""
        self.load = load.Load()
        for pool in cluster.services:
            self.load.reports[pool] = caller.Report()


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerConnection:
    """One connection of a caller."""

    harness: Harness
    pool: str
    transport: caller.Connection
    ticket: str = ""
    """The newest ticket that an answer brought."""


async def read_execution_log(harness: Harness) -> None:
    """Read what the running upstreams ran, beside what was read before."""
    for host in harness.cluster.hosts:
        with contextlib.suppress(OSError):
            await invariants.read_upstream(harness.log, host)


async def executing_upstreams(harness: Harness, request: Request) -> list[str]:
    """Return the address of the upstream of each run of a command."""
    await read_execution_log(harness)
    return [
        run.upstream for run in harness.log.executions() if run.token == request.token
    ]


async def wait_until_running(harness: Harness, request: Request) -> cluster_module.Host:
    """Wait until a command has begun to run; return the upstream's instance."""
    while not (upstreams := await executing_upstreams(harness, request)):
        await trio.sleep(RETRY_INTERVAL_SECONDS)
    return next(
        host
        for host in harness.cluster.hosts
        if str(host.upstream_address) == upstreams[0]
    )


async def set_upstreams(harness: Harness, **settings: object) -> None:
    """Change the settings of every stand-in upstream that runs."""
    for host in harness.cluster.hosts:
        with contextlib.suppress(OSError):
            await controls.set_upstream(host, **settings)


def start_sending(
    nursery: trio.Nursery,
    connection: "CallerConnection",
    request: Request,
    results: list[AttemptResult],
    *,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> None:
    """Send a command in the background; its answer is appended when it comes."""

    async def run() -> None:
        results.append(
            await send(connection, request, deadline_seconds=deadline_seconds)
        )

    nursery.start_soon(run)


async def start_slow_request(
    nursery: trio.Nursery,
    connection: "CallerConnection",
    request: Request,
    results: list[AttemptResult],
    *,
    service_seconds: float,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> cluster_module.Host:
    """Send a command that runs for long; return the upstream's instance.

    Requests that begin after it run as fast as usual.
    """
    await set_upstreams(connection.harness, service_seconds=service_seconds)
    start_sending(
        nursery, connection, request, results, deadline_seconds=deadline_seconds
    )
    host = await wait_until_running(connection.harness, request)
    await set_upstreams(
        connection.harness, service_seconds=HEALTHY_SETTINGS["service_seconds"]
    )
    return host


@contextlib.asynccontextmanager
async def background_load(
    harness: Harness, plan: load.LoadPlan, *, seconds: float
) -> abc.AsyncIterator[load.Load]:
    """Run a load beside the test's own lines; it is judged with the rest."""
    seeded_plan = dataclasses.replace(plan, seed=harness.random.getrandbits(32))
    async with load.run_load(
        harness.cluster, seeded_plan, seconds=seconds
    ) as active_load:
        for pool, report in active_load.reports.items():
            harness.load.reports[f"load of {pool}"] = report
        yield active_load


async def read_keyring(cluster: cluster_module.Cluster) -> keyring.Keyring:
    """Read the shared keys from the store."""
    settings = settings_model.StoreSettings(address=cluster.store_address)
    async with etcd.open_store(settings) as store:
        key_set = await keys.read(store, prefix=settings.prefix)
    if key_set is None:
        raise RuntimeError("The store holds no key set.")
    return keyring.Keyring(key_set)


async def host_of(connection: CallerConnection) -> cluster_module.Host:
    """Return the instance whose sidecar holds a line."""
    cluster = connection.harness.cluster
    ring = await read_keyring(cluster)
    peer_id = connection.transport.client.peer_connection_id
    destination = connection_id.decode(ring, peer_id)
    if destination is None:
        raise RuntimeError("The line's connection ID is not of this site.")
    tunnel = connection_id.tunnel_address(destination)
    return next(host for host in cluster.hosts if host.tunnel == tunnel)


@contextlib.asynccontextmanager
async def _try_connection(
    harness: Harness, pool: str
) -> abc.AsyncIterator[CallerConnection]:
    plan = caller.Plan(service=harness.cluster.services[pool])
    with caller.open_connection(plan) as transport:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.pump, transport)
            with trio.move_on_after(OPEN_TIMEOUT_SECONDS):
                await transport.connected.wait()
            yield CallerConnection(harness=harness, pool=pool, transport=transport)
            nursery.cancel_scope.cancel()


def _any_host(_: cluster_module.Host) -> bool:
    return True


@contextlib.asynccontextmanager
async def open_connection(
    harness: Harness,
    pool: str,
    wanted: abc.Callable[[cluster_module.Host], bool] = _any_host,
) -> abc.AsyncIterator[CallerConnection]:
    """Open lines until one is at a wanted sidecar and an answer brought a ticket."""
    for _ in range(MAX_OPEN_ATTEMPTS):
        async with _try_connection(harness, pool) as connection:
            if await _is_usable(connection, wanted):
                yield connection
                return
        await trio.sleep(RETRY_INTERVAL_SECONDS)
    raise RuntimeError(f"No line of pool {pool} came to a wanted sidecar.")


async def _is_usable(
    connection: CallerConnection, wanted: abc.Callable[[cluster_module.Host], bool]
) -> bool:
    if connection.transport.closed or not connection.transport.connected.is_set():
        return False
    if not wanted(await host_of(connection)):
        return False
    await send(connection, new_request(connection, "GET", keyed=False))
    return bool(connection.ticket)


def new_request(
    connection: CallerConnection,
    method: str = "POST",
    *,
    keyed: bool = True,
    body_bytes: int = 64,
) -> Request:
    """Make a request that was never sent, with a key under the line's ticket."""
    generator = connection.harness.random
    token = f"{connection.pool}.{generator.getrandbits(64):016x}"
    key = f"{connection.ticket}.{generator.getrandbits(96):024x}" if keyed else ""
    body = b"" if method == "GET" else (token.encode() * body_bytes)[:body_bytes]
    return Request(method=method, token=token, key=key, body=body)


async def send(
    connection: CallerConnection,
    request: Request,
    *,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> AttemptResult:
    """Send a request and wait for its end."""
    report = connection.harness.load.reports[connection.pool]
    told = report.told.setdefault(request.token, caller.Told(method=request.method))
    told.answers.append(LOST)
    position = len(told.answers) - 1
    event = await caller.send(
        connection.transport,
        request.method,
        f"/work/{request.token}",
        headers=_headers(request, deadline_seconds),
        body=request.body,
    )
    result = _classify(connection, request, event)
    told.answers[position] = result.outcome or result.verdict
    if result.verdict in report.counts:
        report.count(result.verdict)
    return result


def _headers(request: Request, deadline_seconds: float) -> tuple[messages.Header, ...]:
    fields = {
        echo.TOKEN_HEADER: request.token,
        b"request-timeout-ms": str(int(deadline_seconds * 1000)),
    }
    if request.key:
        fields[b"idempotency-key"] = request.key
    return tuple(
        messages.Header(name=name, value=value.encode())
        for name, value in fields.items()
    )


def _classify(
    connection: CallerConnection, request: Request, event: http3_client.Event
) -> AttemptResult:
    if isinstance(event, http3_client.RequestFailed) and event.not_run:
        return AttemptResult(verdict="rejected", outcome=_types.Outcome.NOT_RUN.value)
    if not isinstance(event, http3_client.ResponseReceived):
        return AttemptResult(verdict=LOST)
    fields = {field.name: field.value for field in event.response.headers}
    connection.ticket = (
        fields.get(b"idempotency-ticket", b"").decode() or connection.ticket
    )
    if fields.get(b"content-type") == caller.PROBLEM_CONTENT_TYPE:
        document = json.loads(event.response.body)
        return AttemptResult(
            verdict=str(document["type"]).rpartition(":")[2],
            outcome=str(document["outcome"]),
            retry_after=fields.get(b"retry-after", b"").decode(),
        )
    expected_body = echo.expected(
        request.method, f"/work/{request.token}", request.token, request.body
    )
    return AttemptResult(verdict=echo.check(event.response.body, expected_body))


async def send_until(
    connection: CallerConnection, request: Request, verdicts: frozenset[str]
) -> AttemptResult:
    """Send a request again and again until an attempt ends as wanted."""
    while True:
        result = await send(connection, request)
        if result.verdict in verdicts:
            return result
        if result.verdict in invariants.WRONG_ANSWERS:
            raise AssertionError(f"The answer to {request.token} {result.verdict}.")
        await trio.sleep(RETRY_INTERVAL_SECONDS)
