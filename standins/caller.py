"""Stand-in callers: hold lines open and send requests whose answers they check.

Usable as a library by tests, and as a process: ``python -m standins.caller --help``.
The process prints one JSON object a line.
"""

import argparse
from collections import abc
import contextlib
import dataclasses
import json
import random
import socket
import sys

from hdrh import histogram
import trio

from plantainproxy import _types
from plantainproxy.rpc import messages
from plantainproxy.sidecar import tunnel
from standins import echo, http3_client

CONNECT_TIMEOUT_SECONDS = 6.0
RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 1.0
MAX_ATTEMPTS = 8
"""How often one request is sent before its outcome stays unknown."""
RETIRE_SECONDS = 10.0
"""How long a line that was told to go may still finish its requests."""
MAX_LATENCY_MICROSECONDS = 120_000_000
LATENCY_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
LOST = "lost"
"""Stands for an attempt that got no answer."""
PROBLEM_CONTENT_TYPE = b"application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What each line does."""

    service: _types.Address
    lines: int = 1
    seconds: float = 10.0
    gets_per_second: float = 1.0
    """Repeatable requests of one line."""
    posts_per_second: float = 0.2
    """Requests of one line that must not be repeated."""
    body_bytes: int = 64
    """Size of the body of a request that must not be repeated."""
    timeout_seconds: float = 5.0
    ping_seconds: float = 5.0
    migrate_seconds: float = 0.0
    """How often each line moves to a new source port; 0 for never."""
    open_per_second: float = 200.0
    """How many lines are opened a second at the start."""
    idle_timeout_seconds: float = 30.0
    source_host: str = "127.0.0.1"
    authority_file: str | None = None
    """Certificate to trust; any is trusted when absent."""
    seed: int = 1
    label: str = ""
    """What the token of every request begins with."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Told:
    """What a caller was told of one request, attempt by attempt."""

    method: str
    answers: list[str] = dataclasses.field(default_factory=list)
    """``matches`` or another verdict on a whole answer, the outcome of a refusal, or
    ``lost`` for an attempt without an answer."""


class Report:
    """What all lines together have seen."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.counts: dict[str, int] = dict.fromkeys(
            (
                "lines_opened",
                "open_failures",
                "broken_flows",
                "go_aways",
                "resets",
                "requests",
                echo.MATCHES,
                echo.MISMATCHED,
                echo.TRUNCATED,
                "timeouts",
                "rejected",
                "repeated_posts",
                "unresolved",
            ),
            0,
        )
        self.refusals: dict[str, int] = {}
        """Refusals by error kind."""
        self.told: dict[str, Told] = {}
        """By token."""
        self.broken: list[bytes] = []
        """The connection ID of each broken flow as its peer named itself."""
        self.lines_open = 0
        self.latency = histogram.HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, LATENCY_DIGITS
        )
        """Time to a matching answer in microseconds, from the first attempt on."""

    def count(self, name: str) -> None:
        """Count one occurrence."""
        self.counts[name] += 1

    def refuse(self, kind: str) -> None:
        """Count one refusal."""
        self.refusals[kind] = self.refusals.get(kind, 0) + 1


def summary(report: Report) -> dict[str, object]:
    """Return a report as JSON values; latencies are in milliseconds."""
    quantiles = {
        f"p{quantile:g}": report.latency.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }
    return {
        **report.counts,
        "lines_open": report.lines_open,
        "refusals": dict(sorted(report.refusals.items())),
        "latency_milliseconds": quantiles,
    }


class Connection:
    """One QUIC connection with its socket."""

    def __init__(self, bound: socket.socket, client: http3_client.Http3Client) -> None:
        """Hold a connection whose handshake has begun."""
        self.bound = bound
        self.client = client
        self.connected = trio.Event()
        self.leaving = trio.Event()
        """Set by a GOAWAY and by the end of the connection."""
        self.told_to_go = False
        self.was_reset = False
        self.migrating = False
        """Whether the next turn of the pump changes the source port."""
        self.waiting: dict[int, trio.Event] = {}
        self.results: dict[int, http3_client.Event] = {}
        self.scope = trio.CancelScope()
        """Bounds the present wait for datagrams."""

    @property
    def closed(self) -> bool:
        """Whether the connection is gone."""
        return self.client.closed


@contextlib.contextmanager
def open_connection(plan: Plan) -> abc.Iterator[Connection]:
    """Make a socket and begin a handshake; :func:`pump` carries it on."""
    with contextlib.ExitStack() as stack:
        source = _types.Address(plan.source_host, 0)
        bound = stack.enter_context(tunnel.open_socket(source))
        client = http3_client.Http3Client(
            configuration=http3_client.client_configuration(
                authority_file=plan.authority_file,
                idle_timeout_seconds=plan.idle_timeout_seconds,
            ),
            service=plan.service,
            now=trio.current_time(),
        )
        connection = Connection(bound, client)
        stack.callback(_leave, connection)
        yield connection


def _leave(connection: Connection) -> None:
    if not connection.closed:
        connection.client.close()
        flush(connection)
    connection.bound.close()


def migrate(connection: Connection) -> None:
    """Move a connection to a new source port, as a rebinding NAT does."""
    connection.migrating = True
    connection.scope.cancel()


def _rebind(connection: Connection) -> None:
    connection.migrating = False
    host, _ = connection.bound.getsockname()
    connection.bound.close()
    connection.bound = tunnel.bind(_types.Address(host, 0))
    connection.client.ping()
    flush(connection)


async def pump(connection: Connection) -> None:
    """Move datagrams and timers of a connection until it is gone."""
    flush(connection)
    while not connection.closed:
        batch: list[bytes] = []
        with trio.move_on_at(_deadline_of(connection)) as connection.scope:
            batch = await tunnel.receive_batch(connection.bound)
        now = trio.current_time()
        for payload in batch:
            connection.client.receive(payload, now)
        timer = connection.client.next_timer()
        if timer is not None and timer <= now:
            connection.client.handle_timer(now)
        if connection.migrating:
            _rebind(connection)
        flush(connection)


def flush(connection: Connection) -> None:
    """Send what waits to be sent and report what happened."""
    for payload in connection.client.take_datagrams(trio.current_time()):
        tunnel.send(connection.bound, payload, connection.client.service)
    for event in connection.client.take_events():
        _report(connection, event)
    connection.scope.deadline = _deadline_of(connection)


def _deadline_of(connection: Connection) -> float:
    timer = connection.client.next_timer()
    return float("inf") if timer is None else timer


def _report(connection: Connection, event: http3_client.Event) -> None:
    match event:
        case http3_client.Connected():
            connection.connected.set()
        case http3_client.GoAway():
            connection.told_to_go = True
            connection.leaving.set()
        case http3_client.Closed(was_reset=was_reset):
            connection.was_reset = was_reset
            connection.connected.set()
            connection.leaving.set()
            connection.scope.cancel()
            for stream in list(connection.waiting):
                _settle(connection, stream, event)
        case http3_client.ResponseReceived(stream=stream):
            _settle(connection, stream, event)
        case http3_client.RequestFailed(stream=stream):
            _settle(connection, stream, event)


def _settle(connection: Connection, stream: int, event: http3_client.Event) -> None:
    waiting = connection.waiting.pop(stream, None)
    if waiting is not None:
        connection.results[stream] = event
        waiting.set()


async def send(
    connection: Connection,
    method: str,
    path: str,
    *,
    headers: tuple[messages.Header, ...] = (),
    body: bytes = b"",
) -> http3_client.Event:
    """Send a request and wait for its end; giving up cancels it."""
    if connection.closed:
        return http3_client.Closed(reason="Closed before the request.")
    stream = connection.client.request(method, path, headers=headers, body=body)
    waiting = connection.waiting[stream] = trio.Event()
    flush(connection)
    try:
        await waiting.wait()
        return connection.results.pop(stream)
    finally:
        if connection.waiting.pop(stream, None) is not None:
            connection.client.cancel(stream)
            flush(connection)


class Holder:
    """One line: the connection that takes its requests at present."""

    def __init__(self, plan: Plan, report: Report, seed: int) -> None:
        """Start without a connection."""
        self.plan = plan
        self.report = report
        self.random = random.Random(seed)
        self.current: Connection | None = None
        self.changed = trio.Event()
        self.ticket = ""
        """The newest ticket; dropped with the connection, as its home may go too."""


async def hold_lines(
    plan: Plan, report: Report, *, over: trio.Event | None = None
) -> None:
    """Hold all lines of a plan for its time, then let the last requests finish.

    ``over`` ends the plan before its time.
    """
    over = trio.Event() if over is None else over
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_after, over, plan.seconds)
        for index in range(plan.lines):
            holder = Holder(plan, report, plan.seed * 1_000_003 + index)
            nursery.start_soon(hold, holder, over)
            await trio.sleep(1 / plan.open_per_second)


async def _end_after(over: trio.Event, seconds: float) -> None:
    with trio.move_on_after(seconds):
        await over.wait()
    over.set()


async def hold(holder: Holder, over: trio.Event) -> None:
    """Hold one line and send its requests until the plan is over."""
    plan = holder.plan
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep_connected, holder, nursery)
        async with trio.open_nursery() as requests:
            requests.start_soon(_repeat, holder, plan.gets_per_second, get, over)
            requests.start_soon(_repeat, holder, plan.posts_per_second, post, over)
            await over.wait()
        nursery.cancel_scope.cancel()


async def _keep_connected(holder: Holder, nursery: trio.Nursery) -> None:
    backoff_seconds = RECONNECT_SECONDS
    while True:
        connection: Connection | None = await nursery.start(_run_connection, holder)
        if connection is None:
            holder.report.count("open_failures")
            await trio.sleep(backoff_seconds * (0.5 + holder.random.random()))
            backoff_seconds = min(2 * backoff_seconds, MAX_RECONNECT_SECONDS)
            continue
        backoff_seconds = RECONNECT_SECONDS
        holder.current = connection
        holder.ticket = ""
        holder.changed.set()
        holder.changed = trio.Event()
        await connection.leaving.wait()


async def _run_connection(
    holder: Holder, task_status: trio.TaskStatus[Connection | None]
) -> None:
    """Run one connection to its end; report it as started once it is usable."""
    with open_connection(holder.plan) as connection:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pump, connection)
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                await connection.connected.wait()
            if connection.closed or not connection.connected.is_set():
                nursery.cancel_scope.cancel()
                task_status.started(None)
                return
            holder.report.count("lines_opened")
            holder.report.lines_open += 1
            nursery.start_soon(_keep_alive, connection, holder.plan.ping_seconds)
            nursery.start_soon(_migrate_often, connection, holder.plan.migrate_seconds)
            task_status.started(connection)
            try:
                await _until_left(connection, holder)
            finally:
                holder.report.lines_open -= 1
            nursery.cancel_scope.cancel()


async def _until_left(connection: Connection, holder: Holder) -> None:
    report = holder.report
    await connection.leaving.wait()
    if connection.told_to_go:
        report.count("go_aways")
        with trio.move_on_after(RETIRE_SECONDS):
            await _until_replaced(connection, holder)
            while connection.waiting and not connection.closed:
                await trio.sleep(RECONNECT_SECONDS)
        return
    report.count("broken_flows")
    report.broken.append(connection.client.peer_connection_id)
    if connection.was_reset:
        report.count("resets")


async def _until_replaced(connection: Connection, holder: Holder) -> None:
    while holder.current is connection:
        await holder.changed.wait()


async def _keep_alive(connection: Connection, ping_seconds: float) -> None:
    while not connection.closed:
        await trio.sleep(ping_seconds)
        connection.client.ping()
        flush(connection)


async def _migrate_often(connection: Connection, interval_seconds: float) -> None:
    while interval_seconds > 0 and not connection.closed:
        await trio.sleep(interval_seconds)
        migrate(connection)


async def _usable(holder: Holder) -> Connection:
    while holder.current is None or holder.current.closed:
        await holder.changed.wait()
    return holder.current


async def _repeat(
    holder: Holder,
    per_second: float,
    perform: abc.Callable[[Holder], abc.Awaitable[None]],
    over: trio.Event,
) -> None:
    """Send requests at a mean rate, each without waiting for the last one."""
    if per_second <= 0:
        return
    async with trio.open_nursery() as nursery:
        with trio.CancelScope() as sending:
            nursery.start_soon(_cancel_when, over, sending)
            while True:
                await trio.sleep(holder.random.expovariate(per_second))
                nursery.start_soon(perform, holder)


async def _cancel_when(over: trio.Event, scope: trio.CancelScope) -> None:
    await over.wait()
    scope.cancel()


async def get(holder: Holder) -> None:
    """Send one request that may be repeated."""
    await _perform(holder, "GET", headers=())


async def post(holder: Holder) -> None:
    """Send one request that must run at most once."""
    if not holder.ticket:
        await get(holder)
    if not holder.ticket:
        return
    key = f"{holder.ticket}.{holder.random.getrandbits(96):024x}"
    header = messages.Header(name=b"idempotency-key", value=key.encode())
    await _perform(holder, "POST", headers=(header,))


async def _perform(
    holder: Holder, method: str, *, headers: tuple[messages.Header, ...]
) -> None:
    plan, report = holder.plan, holder.report
    token = f"{plan.label}{holder.random.getrandbits(64):016x}"
    told = report.told[token] = Told(method=method)
    path = f"/work/{token}"
    body = token.encode() * (plan.body_bytes // len(token)) if method == "POST" else b""
    wanted = echo.expected(method, path, token, body)
    token_header = messages.Header(name=echo.TOKEN_HEADER, value=token.encode())
    report.count("requests")
    started_at = trio.current_time()
    with trio.move_on_after(plan.timeout_seconds) as scope:
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(
                    RECONNECT_SECONDS * 2**attempt * holder.random.random()
                )
            connection = await _usable(holder)
            told.answers.append(LOST)
            result = await send(
                connection,
                method,
                path,
                headers=(token_header, *headers, _deadline(scope)),
                body=body,
            )
            verdict = _judge(holder, wanted, result)
            told.answers[-1] = verdict or _outcome(result)
            if verdict == echo.MATCHES:
                elapsed = trio.current_time() - started_at
                report.latency.record_value(max(1, int(elapsed * 1e6)))
            if verdict is not None:
                return
            if method == "POST":
                report.count("repeated_posts")
    report.count("timeouts" if scope.cancelled_caught else "unresolved")


def _deadline(scope: trio.CancelScope) -> messages.Header:
    left = max(1, int((scope.deadline - trio.current_time()) * 1000))
    return messages.Header(name=b"request-timeout-ms", value=b"%d" % left)


def _judge(
    holder: Holder, wanted: dict[str, object], result: http3_client.Event
) -> str | None:
    """Count how an attempt ended; return the verdict on an answer that ends it."""
    report = holder.report
    if isinstance(result, http3_client.RequestFailed) and result.not_run:
        report.count("rejected")
    if not isinstance(result, http3_client.ResponseReceived):
        return None
    fields = {field.name: field.value for field in result.response.headers}
    holder.ticket = fields.get(b"idempotency-ticket", b"").decode() or holder.ticket
    if fields.get(b"content-type") == PROBLEM_CONTENT_TYPE:
        report.refuse(_problem_kind(result.response.body))
        return None
    verdict = echo.check(result.response.body, wanted)
    report.count(verdict)
    return verdict


def _outcome(result: http3_client.Event) -> str:
    """Return what a refusal said of the request's run, or ``lost``."""
    if isinstance(result, http3_client.RequestFailed) and result.not_run:
        return _types.Outcome.NOT_RUN
    if not isinstance(result, http3_client.ResponseReceived):
        return LOST
    return _problem_member(result.response.body, "outcome")


def _problem_kind(body: bytes) -> str:
    return _problem_member(body, "type").rpartition(":")[2]


def _problem_member(body: bytes, name: str) -> str:
    try:
        return str(json.loads(body)[name])
    except (ValueError, KeyError, TypeError):
        return "unreadable"


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="standins.caller", description=__doc__)
    parser.add_argument("--service", type=_types.Address.parse, required=True)
    parser.add_argument("--report-seconds", type=float, default=1.0)
    for field in dataclasses.fields(Plan):
        if field.name in ("service", "authority_file"):
            continue
        option = "--" + field.name.replace("_", "-")
        parser.add_argument(option, type=type(field.default), default=field.default)
    parser.add_argument("--authority-file", default=None)
    return parser.parse_args(arguments)


async def _report_forever(report: Report, interval_seconds: float) -> None:
    while True:
        await trio.sleep(interval_seconds)
        print(json.dumps({"final": False, **summary(report)}), flush=True)


async def _main(plan: Plan, report_seconds: float) -> None:
    report = Report()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report_forever, report, report_seconds)
        await hold_lines(plan, report)
        nursery.cancel_scope.cancel()
    print(json.dumps({"final": True, **summary(report)}), flush=True)


def main() -> None:
    """Run the process."""
    options = vars(_parse_arguments(sys.argv[1:]))
    report_seconds = options.pop("report_seconds")
    trio.run(_main, Plan(**options), report_seconds)


if __name__ == "__main__":
    main()
