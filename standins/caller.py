"""Stand-in callers that keep connections open, send requests and check the responses.

Tests use it as a library; ``python -m standins.caller --help`` runs it as a process.
The process prints JSON reports, one object per line.
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
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_ATTEMPTS = 8
"""Attempts per request before it is counted as unresolved."""
GOAWAY_DRAIN_SECONDS = 10.0
"""Longest time that a connection stays open for its requests after a GOAWAY."""
MAX_LATENCY_MICROSECONDS = 120_000_000
LATENCY_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
LOST = "lost"
"""Recorded for an attempt that got no response."""
MAX_SHOWN_BYTES = 300
"""Bytes of a mismatched response that its description shows."""
EXPIRED = "expired"
"""Recorded instead of ``LOST`` for an attempt that was sent too late for a response."""
MIN_ATTEMPT_SECONDS = 0.35
"""Time before the caller's deadline that an attempt needs to get a response.

A sidecar queues a request for up to 0.25 s, and an upstream needs 0.1 s.
"""
PROBLEM_CONTENT_TYPE = b"application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Number of connections and the load that each of them generates.

    Each field is also a command-line flag with the same default.
    """

    service: _types.Address
    lines: int = 1
    seconds: float = 10.0
    gets_per_second: float = 1.0
    """Rate of idempotent requests on each connection."""
    posts_per_second: float = 0.2
    """Rate of requests on each connection that must run at most once."""
    body_bytes: int = 64
    """Approximate body size of a request that must run at most once."""
    timeout_seconds: float = 5.0
    ping_seconds: float = 5.0
    migrate_seconds: float = 0.0
    """Interval at which each connection moves to a new source port; 0 disables it."""
    open_per_second: float = 200.0
    """Rate at which connections are opened at the start."""
    idle_timeout_seconds: float = 30.0
    source_host: str = "127.0.0.1"
    authority_file: str | None = None
    """Trusted certificate; without it the server certificate is not verified."""
    seed: int = 1
    label: str = ""
    """Prefix of every request token."""


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Results of one request as its caller received them, one per attempt."""

    method: str
    answers: list[str] = dataclasses.field(default_factory=list)
    """A verdict of :func:`standins.echo.check`, the outcome stated by an error
    response or a rejected stream, or ``lost`` or ``expired`` for an attempt without a
    response."""


class Report:
    """Counters, request records and latencies of all connections of a plan."""

    def __init__(self) -> None:
        """Start with every counter at zero."""
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
                echo.UPSTREAM_TIMEOUT,
                "timeouts",
                "rejected",
                "repeated_posts",
                "unresolved",
            ),
            0,
        )
        self.refusals: dict[str, int] = {}
        """Number of error responses by error kind."""
        self.request_records: dict[str, RequestRecord] = {}
        """By request token."""
        self.mismatches: list[str] = []
        """Each response that did not match its request, and what was expected."""
        self.broken_connection_ids: list[bytes] = []
        """Destination connection IDs of broken connections, as issued by the server."""
        self.open_connections: list[Connection] = []
        self.latency = histogram.HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, LATENCY_DIGITS
        )
        """Microseconds from the first attempt to a matching response."""

    def count(self, name: str) -> None:
        """Increment the counter ``name``."""
        self.counts[name] += 1

    def record_refusal(self, kind: str) -> None:
        """Count one error response of the given error kind."""
        self.refusals[kind] = self.refusals.get(kind, 0) + 1


def summary(report: Report) -> dict[str, object]:
    """Return a report as JSON values, with latencies in milliseconds."""
    quantiles = {
        f"p{quantile:g}": report.latency.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }
    return {
        **report.counts,
        "lines_open": len(report.open_connections),
        "refusals": dict(sorted(report.refusals.items())),
        "latency_milliseconds": quantiles,
    }


class Connection:
    """A QUIC connection together with its UDP socket."""

    def __init__(
        self, udp_socket: socket.socket, client: http3_client.Http3Client
    ) -> None:
        """Wrap a connection whose handshake has started."""
        self.udp_socket = udp_socket
        self.client = client
        self.connected = trio.Event()
        self.closing = trio.Event()
        """Set on a GOAWAY frame and when the connection closes."""
        self.goaway_received = False
        self.was_reset = False
        self.migration_pending = False
        """Whether the next iteration of :func:`pump` changes the source port."""
        self.pending_requests: dict[int, trio.Event] = {}
        self.results: dict[int, http3_client.Event] = {}
        self.receive_scope = trio.CancelScope()
        """Limits the current wait for datagrams to the next QUIC timer."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.client.closed


@contextlib.contextmanager
def open_connection(plan: Plan) -> abc.Iterator[Connection]:
    """Open a socket and start a handshake, which :func:`pump` drives to completion."""
    with contextlib.ExitStack() as stack:
        source = _types.Address(plan.source_host, 0)
        udp_socket = stack.enter_context(tunnel.open_socket(source))
        client = http3_client.Http3Client(
            configuration=http3_client.client_configuration(
                authority_file=plan.authority_file,
                idle_timeout_seconds=plan.idle_timeout_seconds,
            ),
            service=plan.service,
            now=trio.current_time(),
        )
        connection = Connection(udp_socket, client)
        stack.callback(_close, connection)
        yield connection


def _close(connection: Connection) -> None:
    if not connection.closed:
        connection.client.close()
        flush(connection)
    connection.udp_socket.close()


def migrate(connection: Connection) -> None:
    """Move a connection to a new source port, as a NAT rebinding does."""
    connection.migration_pending = True
    connection.receive_scope.cancel()


def _rebind(connection: Connection) -> None:
    connection.migration_pending = False
    host, _ = connection.udp_socket.getsockname()
    connection.udp_socket.close()
    connection.udp_socket = tunnel.bind(_types.Address(host, 0))
    connection.client.ping()
    flush(connection)


async def pump(connection: Connection) -> None:
    """Receive datagrams and run QUIC timers until the connection closes."""
    flush(connection)
    while not connection.closed:
        batch: list[bytes] = []
        with trio.move_on_at(_next_timer_at(connection)) as connection.receive_scope:
            batch = await tunnel.receive_batch(connection.udp_socket)
        now = trio.current_time()
        for payload in batch:
            connection.client.receive(payload, now)
        timer = connection.client.next_timer()
        if timer is not None and timer <= now:
            connection.client.handle_timer(now)
        if connection.migration_pending:
            _rebind(connection)
        flush(connection)


def flush(connection: Connection) -> None:
    """Send the pending datagrams and handle the pending events."""
    for payload in connection.client.take_datagrams(trio.current_time()):
        tunnel.send(connection.udp_socket, payload, connection.client.service)
    for event in connection.client.take_events():
        _handle_event(connection, event)
    connection.receive_scope.deadline = _next_timer_at(connection)


def _next_timer_at(connection: Connection) -> float:
    timer = connection.client.next_timer()
    return float("inf") if timer is None else timer


def _handle_event(connection: Connection, event: http3_client.Event) -> None:
    match event:
        case http3_client.Connected():
            connection.connected.set()
        case http3_client.GoAway():
            connection.goaway_received = True
            connection.closing.set()
        case http3_client.Closed(was_reset=was_reset):
            connection.was_reset = was_reset
            connection.connected.set()
            connection.closing.set()
            connection.receive_scope.cancel()
            for stream in list(connection.pending_requests):
                _complete_request(connection, stream, event)
        case http3_client.ResponseReceived(stream=stream):
            _complete_request(connection, stream, event)
        case http3_client.RequestFailed(stream=stream):
            _complete_request(connection, stream, event)


def _complete_request(
    connection: Connection, stream: int, event: http3_client.Event
) -> None:
    completion = connection.pending_requests.pop(stream, None)
    if completion is not None:
        connection.results[stream] = event
        completion.set()


async def send(
    connection: Connection,
    method: str,
    path: str,
    *,
    headers: tuple[messages.Header, ...] = (),
    body: bytes = b"",
) -> http3_client.Event:
    """Send a request and return the event that ends it.

    Cancelling this call cancels the request on the connection.
    """
    if connection.closed:
        return http3_client.Closed(reason="connection closed before the request")
    stream = connection.client.request(method, path, headers=headers, body=body)
    completion = connection.pending_requests[stream] = trio.Event()
    flush(connection)
    try:
        await completion.wait()
        return connection.results.pop(stream)
    finally:
        if connection.pending_requests.pop(stream, None) is not None:
            connection.client.cancel(stream)
            flush(connection)


class CallerSession:
    """One caller, which keeps a connection open and replaces it when it closes."""

    def __init__(self, plan: Plan, report: Report, seed: int) -> None:
        """Start without a connection."""
        self.plan = plan
        self.report = report
        self.random = random.Random(seed)
        self.current: Connection | None = None
        self.connection_changed = trio.Event()
        self.ticket = ""
        """Most recent idempotency ticket.

        Cleared on a new connection, because the sidecar that issued the ticket may
        have stopped along with the old connection.
        """


async def run_plan(
    plan: Plan, report: Report, *, stop: trio.Event | None = None
) -> None:
    """Run all connections of a plan, then wait for the last requests to finish.

    Setting ``stop`` ends the plan before its duration has passed.
    """
    stop = trio.Event() if stop is None else stop
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_after, stop, plan.seconds)
        for index in range(plan.lines):
            session = CallerSession(plan, report, plan.seed * 1_000_003 + index)
            nursery.start_soon(run_session, session, stop)
            await trio.sleep(1 / plan.open_per_second)


async def _stop_after(stop: trio.Event, seconds: float) -> None:
    with trio.move_on_after(seconds):
        await stop.wait()
    stop.set()


async def run_session(session: CallerSession, stop: trio.Event) -> None:
    """Keep one caller connected and send its requests until ``stop`` is set."""
    plan = session.plan
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_maintain_connection, session, nursery)
        async with trio.open_nursery() as requests:
            requests.start_soon(_send_at_rate, session, plan.gets_per_second, get, stop)
            requests.start_soon(
                _send_at_rate, session, plan.posts_per_second, post, stop
            )
            await stop.wait()
        nursery.cancel_scope.cancel()


async def _maintain_connection(session: CallerSession, nursery: trio.Nursery) -> None:
    backoff_seconds = MIN_BACKOFF_SECONDS
    while True:
        connection: Connection | None = await nursery.start(_run_connection, session)
        if connection is None:
            session.report.count("open_failures")
            await trio.sleep(backoff_seconds * (0.5 + session.random.random()))
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            continue
        backoff_seconds = MIN_BACKOFF_SECONDS
        session.current = connection
        session.ticket = ""
        session.connection_changed.set()
        session.connection_changed = trio.Event()
        await connection.closing.wait()


async def _run_connection(
    session: CallerSession, task_status: trio.TaskStatus[Connection | None]
) -> None:
    """Run one connection until it closes.

    ``task_status`` receives the connection when its handshake completes, or ``None``
    if it could not be opened.
    """
    with open_connection(session.plan) as connection:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pump, connection)
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                await connection.connected.wait()
            if connection.closed or not connection.connected.is_set():
                nursery.cancel_scope.cancel()
                task_status.started(None)
                return
            session.report.count("lines_opened")
            session.report.open_connections.append(connection)
            nursery.start_soon(_send_pings, connection, session.plan.ping_seconds)
            nursery.start_soon(
                _migrate_periodically, connection, session.plan.migrate_seconds
            )
            task_status.started(connection)
            try:
                await _wait_for_end(connection, session)
            finally:
                session.report.open_connections.remove(connection)
            nursery.cancel_scope.cancel()


async def _wait_for_end(connection: Connection, session: CallerSession) -> None:
    report = session.report
    await connection.closing.wait()
    if connection.goaway_received:
        report.count("go_aways")
        with trio.move_on_after(GOAWAY_DRAIN_SECONDS):
            await _wait_until_replaced(connection, session)
            while connection.pending_requests and not connection.closed:
                await trio.sleep(MIN_BACKOFF_SECONDS)
        return
    report.count("broken_flows")
    report.broken_connection_ids.append(connection.client.peer_connection_id)
    if connection.was_reset:
        report.count("resets")


async def _wait_until_replaced(connection: Connection, session: CallerSession) -> None:
    while session.current is connection:
        await session.connection_changed.wait()


async def _send_pings(connection: Connection, ping_seconds: float) -> None:
    while not connection.closed:
        await trio.sleep(ping_seconds)
        connection.client.ping()
        flush(connection)


async def _migrate_periodically(
    connection: Connection, interval_seconds: float
) -> None:
    while interval_seconds > 0 and not connection.closed:
        await trio.sleep(interval_seconds)
        migrate(connection)


async def _wait_for_connection(session: CallerSession) -> Connection:
    while session.current is None or session.current.closed:
        await session.connection_changed.wait()
    return session.current


async def _send_at_rate(
    session: CallerSession,
    per_second: float,
    perform: abc.Callable[[CallerSession], abc.Awaitable[None]],
    stop: trio.Event,
) -> None:
    """Send requests at a mean rate, without waiting for earlier ones to finish."""
    if per_second <= 0:
        return
    async with trio.open_nursery() as nursery:
        with trio.CancelScope() as sending:
            nursery.start_soon(_cancel_when, stop, sending)
            while True:
                await trio.sleep(session.random.expovariate(per_second))
                nursery.start_soon(perform, session)


async def _cancel_when(stop: trio.Event, scope: trio.CancelScope) -> None:
    await stop.wait()
    scope.cancel()


async def get(session: CallerSession) -> None:
    """Send one idempotent request."""
    await _send_with_retries(session, "GET", headers=())


async def post(session: CallerSession) -> None:
    """Send one request that must run at most once, with an idempotency key.

    If the session has no ticket yet, a GET request is sent first to obtain one. If the
    session still has none after that, the POST request is not sent.
    """
    if not session.ticket:
        await get(session)
    if not session.ticket:
        return
    key = f"{session.ticket}.{session.random.getrandbits(96):024x}"
    header = messages.Header(name=b"idempotency-key", value=key.encode())
    await _send_with_retries(session, "POST", headers=(header,))


async def _send_with_retries(
    session: CallerSession, method: str, *, headers: tuple[messages.Header, ...]
) -> None:
    plan, report = session.plan, session.report
    token = f"{plan.label}{session.random.getrandbits(64):016x}"
    record = report.request_records[token] = RequestRecord(method=method)
    path = f"/work/{token}"
    body = token.encode() * (plan.body_bytes // len(token)) if method == "POST" else b""
    expected_fields = echo.expected(method, path, token, body)
    token_header = messages.Header(name=echo.TOKEN_HEADER, value=token.encode())
    report.count("requests")
    started_at = trio.current_time()
    with trio.move_on_after(plan.timeout_seconds) as scope:
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(
                    MIN_BACKOFF_SECONDS * 2**attempt * session.random.random()
                )
            connection = await _wait_for_connection(session)
            remaining_seconds = scope.deadline - trio.current_time()
            is_late = remaining_seconds < MIN_ATTEMPT_SECONDS
            record.answers.append(EXPIRED if is_late else LOST)
            result = await send(
                connection,
                method,
                path,
                headers=(token_header, *headers, _timeout_header(scope)),
                body=body,
            )
            verdict = _record_result(session, expected_fields, result)
            record.answers[-1] = verdict or _outcome(result)
            if verdict == echo.MATCHES:
                elapsed = trio.current_time() - started_at
                report.latency.record_value(max(1, int(elapsed * 1e6)))
            if verdict is not None:
                return
            if method == "POST":
                report.count("repeated_posts")
    report.count("timeouts" if scope.cancelled_caught else "unresolved")


def _timeout_header(scope: trio.CancelScope) -> messages.Header:
    remaining_milliseconds = max(1, int((scope.deadline - trio.current_time()) * 1000))
    return messages.Header(
        name=b"request-timeout-ms", value=b"%d" % remaining_milliseconds
    )


def _record_result(
    session: CallerSession,
    expected_fields: dict[str, object],
    result: http3_client.Event,
) -> str | None:
    """Count the result of an attempt.

    Returns the verdict on a complete response, or ``None`` if the request is to be
    retried.
    """
    report = session.report
    if isinstance(result, http3_client.RequestFailed) and result.not_run:
        report.count("rejected")
    if not isinstance(result, http3_client.ResponseReceived):
        return None
    fields = {field.name: field.value for field in result.response.headers}
    session.ticket = fields.get(b"idempotency-ticket", b"").decode() or session.ticket
    if fields.get(b"content-type") == PROBLEM_CONTENT_TYPE:
        report.record_refusal(_problem_kind(result.response.body))
        return None
    response = result.response
    verdict = echo.check(response.body, expected_fields, status=response.status)
    report.count(verdict)
    if verdict == echo.MISMATCHED:
        report.mismatches.append(
            f"status {response.status}, {response.body[:MAX_SHOWN_BYTES]!r} "
            f"instead of {expected_fields}"
        )
    return verdict


def _outcome(result: http3_client.Event) -> str:
    """Return the outcome that the server stated, or ``lost`` without a response.

    An error response states it in its body, a rejected stream in its error code.
    """
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
        await run_plan(plan, report)
        nursery.cancel_scope.cancel()
    print(json.dumps({"final": True, **summary(report)}), flush=True)


def main() -> None:
    """Run the callers that the command line describes."""
    options = vars(_parse_arguments(sys.argv[1:]))
    report_seconds = options.pop("report_seconds")
    trio.run(_main, Plan(**options), report_seconds)


if __name__ == "__main__":
    main()
