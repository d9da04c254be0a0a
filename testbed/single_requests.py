"""Single requests on connections that a test opens and closes itself.

Results are recorded in the same reports as those of the callers of a load, so that
:mod:`testbed.invariants` checks both.
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
"""Limit on the connections that are opened to reach a matching sidecar."""
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
"""Settings of a stand-in upstream without faults."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request that can be sent repeatedly with the same content."""

    method: str
    token: str
    key: str = ""
    """The idempotency key; empty for none."""
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """The result of one attempt to send a request."""

    verdict: str
    """The check of a complete response, the error kind of an error response,
    ``rejected`` for a rejected stream, or ``lost``."""
    outcome: str = ""
    """The outcome that a refusal stated: run, not run or unknown."""
    retry_after: str = ""


class Harness:
    """A running site with the results that the callers of one test received."""

    def __init__(
        self,
        cluster: cluster_module.Cluster,
        *,
        seed: int,
        log: invariants.ExecutionLog,
    ) -> None:
        """Create a harness with an empty report for each pool."""
        self.cluster = cluster
        self.random = random.Random(seed)
        self.log = log
        """The requests that upstreams have executed since the start of the site."""
        self.log_is_complete = True
        """Whether the log of every upstream was read before the upstream ended."""
        self.load = load.Load()
        for pool in cluster.services:
            self.load.reports[pool] = caller.Report()


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerConnection:
    """A caller's connection to the service of a pool."""

    harness: Harness
    pool: str
    transport: caller.Connection
    ticket: str = ""
    """The newest idempotency ticket that a response contained."""


async def read_execution_log(harness: Harness) -> None:
    """Update the execution log from the upstreams that can be reached."""
    for host in harness.cluster.hosts:
        with contextlib.suppress(OSError):
            await invariants.read_upstream(harness.log, host)


async def executing_upstreams(harness: Harness, request: Request) -> list[str]:
    """Return the upstream address of each execution of a request."""
    await read_execution_log(harness)
    return [
        run.upstream for run in harness.log.executions() if run.token == request.token
    ]


async def wait_until_running(harness: Harness, request: Request) -> cluster_module.Host:
    """Wait until a request has started to run; return the upstream's instance."""
    while not (upstreams := await executing_upstreams(harness, request)):
        await trio.sleep(RETRY_INTERVAL_SECONDS)
    return next(
        host
        for host in harness.cluster.hosts
        if str(host.upstream_address) == upstreams[0]
    )


async def set_upstreams(harness: Harness, **settings: object) -> None:
    """Change the settings of every stand-in upstream that can be reached."""
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
    """Send a request in a background task that appends the result to ``results``."""

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
    """Send a request with a long service time; return the upstream's instance.

    Requests that start after it have the usual service time.
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
    """Run a load during the block; its reports are checked with those of the test."""
    seeded_plan = dataclasses.replace(plan, seed=harness.random.getrandbits(32))
    async with load.run_load(
        harness.cluster, seeded_plan, seconds=seconds
    ) as active_load:
        for pool, report in active_load.reports.items():
            harness.load.reports[f"load of {pool}"] = report
        yield active_load


async def read_keyring(cluster: cluster_module.Cluster) -> keyring.Keyring:
    """Return a keyring with the shared keys from the store."""
    settings = settings_model.StoreSettings(address=cluster.store_address)
    async with etcd.open_store(settings) as store:
        key_set = await keys.read(store, prefix=settings.prefix)
    if key_set is None:
        raise RuntimeError(
            f"store {settings.address} contains no key set "
            f"under prefix {settings.prefix!r}"
        )
    return keyring.Keyring(key_set)


async def host_of(connection: CallerConnection) -> cluster_module.Host:
    """Return the instance whose sidecar terminates a connection."""
    cluster = connection.harness.cluster
    ring = await read_keyring(cluster)
    peer_id = connection.transport.client.peer_connection_id
    destination = connection_id.decode(ring, peer_id)
    if destination is None:
        raise RuntimeError(
            f"the keys of this site cannot decode connection ID {peer_id!r}"
        )
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
    matches: abc.Callable[[cluster_module.Host], bool] = _any_host,
) -> abc.AsyncIterator[CallerConnection]:
    """Open a connection to a sidecar that ``matches`` accepts and obtain a ticket.

    The fabric and the balancers select the sidecar, so connections are opened until
    one matches.
    """
    for _ in range(MAX_OPEN_ATTEMPTS):
        async with _try_connection(harness, pool) as connection:
            if await _is_usable(connection, matches):
                yield connection
                return
        await trio.sleep(RETRY_INTERVAL_SECONDS)
    raise RuntimeError(
        f"no usable connection to a matching sidecar of pool {pool} "
        f"after {MAX_OPEN_ATTEMPTS} attempts"
    )


async def _is_usable(
    connection: CallerConnection, matches: abc.Callable[[cluster_module.Host], bool]
) -> bool:
    if connection.transport.closed or not connection.transport.connected.is_set():
        return False
    if not matches(await host_of(connection)):
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
    """Create a request; ``keyed`` adds an idempotency key with the current ticket."""
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
    """Send a request, record its result in the report of the pool and return it."""
    report = connection.harness.load.reports[connection.pool]
    record = report.request_records.setdefault(
        request.token, caller.RequestRecord(method=request.method)
    )
    record.answers.append(LOST)
    position = len(record.answers) - 1
    event = await caller.send(
        connection.transport,
        request.method,
        f"/work/{request.token}",
        headers=_headers(request, deadline_seconds),
        body=request.body,
    )
    result = _classify(connection, request, event)
    record.answers[position] = result.outcome or result.verdict
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
    response = event.response
    verdict = echo.check(response.body, expected_body, status=response.status)
    return AttemptResult(verdict=verdict)


async def send_until(
    connection: CallerConnection, request: Request, verdicts: frozenset[str]
) -> AttemptResult:
    """Resend a request until an attempt ends with one of the given verdicts."""
    while True:
        result = await send(connection, request)
        if result.verdict in verdicts:
            return result
        if result.verdict in invariants.WRONG_RESPONSES:
            raise AssertionError(
                f"response to {request.token} was {result.verdict}, "
                f"expected one of {verdicts}"
            )
        await trio.sleep(RETRY_INTERVAL_SECONDS)
