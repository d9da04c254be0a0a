"""Tests over real sockets: "not run" is never false and responses are complete."""

from collections import abc
import dataclasses

import pytest
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.core import admission
from plantainproxy.rpc import messages
from plantainproxy.sidecar import upstream
from standins import upstream as standin

TEST_TIMEOUT_SECONDS = 10.0
POST = messages.Request(
    method="POST",
    path="/blade",
    headers=(
        messages.Header(name=b"token", value=b"t1"),
        messages.Header(name=b"connection", value=b"x-private"),
        messages.Header(name=b"x-private", value=b"1"),
    ),
    body=b"x" * 5000,
)
HEAD = b"HTTP/1.1 200 OK\r\n"

Serve = abc.Callable[[trio.SocketStream], abc.Awaitable[None]]
Drive = abc.Callable[[upstream.ConnectionPool], abc.Awaitable[None]]


def _with_server(serve: Serve, drive: Drive) -> None:
    async def run() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = _types.Address(*listeners[0].socket.getsockname())
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                with upstream.open_connection_pool(address) as pool:
                    await drive(pool)
                nursery.cancel_scope.cancel()

    trio.run(run)


async def _read_request(stream: trio.SocketStream) -> bytes:
    """Read a request with the body of ``POST``, or one without a body."""
    received = b""
    while not received.endswith((b"\r\n\r\n", b"\r\n\r\n" + POST.body)):
        part = await stream.receive_some(65536)
        if not part:
            return received
        received += part
    return received


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExchangeCase:
    """What the server sends in one exchange, and the expected result."""

    name: str
    response_bytes: bytes | None
    """Bytes sent before the server closes the connection; ``None`` to keep it open."""
    error: _exceptions.ErrorKind
    is_complete: bool = False
    """Whether the response is complete, so that the connection may be reused."""


EXCHANGE_CASES = [
    ExchangeCase(
        name="closed after the first byte",
        response_bytes=b"",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="cut in the status line",
        response_bytes=b"HTTP/1.1 2",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="cut in a body of known length",
        response_bytes=HEAD + b"content-length: 9\r\n\r\nhalf",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="cut between chunks",
        response_bytes=HEAD + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="body length not declared",
        response_bytes=HEAD + b"\r\nperhaps whole",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="not HTTP",
        response_bytes=b"SSH-2.0\r\n\r\n",
        error=_exceptions.ErrorKind.UPSTREAM_FAILED,
    ),
    ExchangeCase(
        name="silent",
        response_bytes=None,
        error=_exceptions.ErrorKind.UPSTREAM_TIMEOUT,
    ),
    ExchangeCase(
        name="not run by contract",
        response_bytes=b"HTTP/1.1 503 Full\r\nplantain-not-run: true\r\n"
        b"plantain-exchange: 1\r\ncontent-length: 0\r\n\r\n",
        error=_exceptions.ErrorKind.OVERLOADED,
        is_complete=True,
    ),
]


@pytest.mark.parametrize("case", EXCHANGE_CASES, ids=lambda case: case.name)
def test_not_run_is_said_only_by_contract_once_a_byte_was_sent(
    case: ExchangeCase,
) -> None:
    """An exchange that fails after its first byte is not reported as "not run".

    The only exception is a 503 with the header ``plantain-not-run: true``.
    """

    async def serve(stream: trio.SocketStream) -> None:
        await _read_request(stream)
        if case.response_bytes is None:
            await trio.sleep_forever()
        await stream.send_all(case.response_bytes or b"")
        await stream.aclose()

    async def drive(pool: upstream.ConnectionPool) -> None:
        result = await upstream.exchange(pool, POST, timeout_seconds=0.3)
        assert result.response is None
        assert result.error is case.error
        assert bool(pool.idle) is case.is_complete

    _with_server(serve, drive)


def test_refused_connection_is_not_run() -> None:
    """Without a connection no byte can have been sent."""

    async def run() -> None:
        with trio.socket.socket() as unused:
            await unused.bind(("127.0.0.1", 0))
            address = _types.Address(*unused.getsockname())
            with upstream.open_connection_pool(address) as pool:
                result = await upstream.exchange(pool, POST, timeout_seconds=2.0)
        assert result.error is _exceptions.ErrorKind.NO_UPSTREAM
        assert result.signal is admission.Signal.CONNECTION_ERROR

    trio.run(run)


def test_unencodable_request_is_refused_before_it_is_sent() -> None:
    """A request with a line break in a header never reaches the upstream."""
    invalid_header = messages.Header(name=b"x", value=b"a\r\nb: c")
    request = dataclasses.replace(POST, headers=(invalid_header,))

    async def serve(stream: trio.SocketStream) -> None:
        assert not await _read_request(stream)

    async def drive(pool: upstream.ConnectionPool) -> None:
        result = await upstream.exchange(pool, request, timeout_seconds=2.0)
        assert result.error is _exceptions.ErrorKind.BAD_REQUEST

    _with_server(serve, drive)


def test_kept_connection_that_the_upstream_closed_is_replaced() -> None:
    """An idle connection that the upstream closed is replaced without an error.

    Nothing was sent on it, so the request can safely be sent on a new connection.
    """
    accepted = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        await _read_request(stream)
        await stream.send_all(_numbered_response(1, b"ok"))
        await stream.aclose()

    async def drive(pool: upstream.ConnectionPool) -> None:
        request = messages.Request(method="GET", path="/")
        for _ in range(3):
            result = await upstream.exchange(pool, request, timeout_seconds=2.0)
            assert result.response is not None
            assert result.response.body == b"ok"
            assert len(pool.idle) == 1
            while not pool.idle[0].socket.is_readable():
                await trio.sleep(0.001)
        assert accepted == 3

    _with_server(serve, drive)


def _numbered_response(number: int, body: bytes) -> bytes:
    """Return a response that names the request of its connection that it answers."""
    fields = b"plantain-exchange: %d\r\ncontent-length: %d" % (number, len(body))
    return HEAD + fields + b"\r\n\r\n" + body


@pytest.mark.parametrize("with_first_answer", [True, False])
def test_a_second_copy_of_an_answer_reaches_no_other_caller(
    with_first_answer: bool,
) -> None:
    """An upstream repeats an answer at once, or when the connection is in use again."""
    connection_count = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal connection_count
        connection_count += 1
        name = b"answer %d" % connection_count
        await _read_request(stream)
        answer = _numbered_response(1, name)
        await stream.send_all(answer * (2 if with_first_answer else 1))
        if await _read_request(stream):
            await stream.send_all(answer + _numbered_response(2, b"own answer"))
        await stream.aclose()

    async def drive(pool: upstream.ConnectionPool) -> None:
        request = messages.Request(method="GET", path="/")
        first = await upstream.exchange(pool, request, timeout_seconds=2.0)
        assert first.response is not None
        assert first.response.body == b"answer 1"
        second = await upstream.exchange(pool, request, timeout_seconds=2.0)
        if second.response is None:
            assert second.error is _exceptions.ErrorKind.UPSTREAM_FAILED
        else:
            assert second.response.body == b"answer 2"

    _with_server(serve, drive)


def test_a_connection_is_not_reused_if_answers_name_no_request() -> None:
    """Without the number, a second copy could not be told from the next answer."""

    async def serve(stream: trio.SocketStream) -> None:
        await _read_request(stream)
        await stream.send_all(HEAD + b"content-length: 2\r\n\r\nok")
        assert not await _read_request(stream)

    async def drive(pool: upstream.ConnectionPool) -> None:
        request = messages.Request(method="GET", path="/")
        for _ in range(2):
            result = await upstream.exchange(pool, request, timeout_seconds=2.0)
            assert result.response is not None
            assert result.response.body == b"ok"
            assert pool.idle == []

    _with_server(serve, drive)


def _with_standin(settings: standin.Settings, drive: "StandinDrive") -> None:
    async def run_all(pool: upstream.ConnectionPool) -> None:
        await drive(pool, states[0])

    states: list[standin.UpstreamState] = []

    async def serve(stream: trio.SocketStream) -> None:
        if not states:
            states.append(standin.create(settings))
        await standin.serve_connection(states[0], stream)

    async def with_state(pool: upstream.ConnectionPool) -> None:
        states.append(standin.create(settings))
        await run_all(pool)

    _with_server(serve, with_state)


StandinDrive = abc.Callable[
    [upstream.ConnectionPool, standin.UpstreamState], abc.Awaitable[None]
]


def test_answer_is_whole_and_connections_are_kept() -> None:
    """Responses match, without hop-by-hop fields, and the connection is reused."""

    async def drive(
        pool: upstream.ConnectionPool, state: standin.UpstreamState
    ) -> None:
        for _ in range(3):
            result = await upstream.exchange(pool, POST, timeout_seconds=2.0)
            assert result.response is not None
            assert b'"body_bytes": 5000' in result.response.body
            assert messages.Header(name=b"token", value=b"t1") in (
                result.response.headers
            )
        assert len(pool.idle) == 1
        assert len(state.executions) == 3

    _with_standin(standin.Settings(service_seconds=0.001), drive)


def test_answers_of_concurrent_requests_are_not_mixed_up() -> None:
    """Concurrent exchanges use separate connections."""

    async def drive(pool: upstream.ConnectionPool, _: standin.UpstreamState) -> None:
        async def run_exchange(number: int) -> None:
            request = messages.Request(method="GET", path=f"/{number}")
            result = await upstream.exchange(pool, request, timeout_seconds=5.0)
            assert result.response is not None
            assert b'"path": "/%d"' % number in result.response.body

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(run_exchange, number)
        assert len(pool.idle) <= upstream.MAX_IDLE_CONNECTIONS

    _with_standin(standin.Settings(service_seconds=0.002), drive)


def test_cancellation_reaches_the_upstream() -> None:
    """Cancellation closes the connection, and the upstream ends the execution."""

    async def drive(
        pool: upstream.ConnectionPool, state: standin.UpstreamState
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_exchange_forever, pool)
            while not state.executions:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
        while not state.cancelled:
            await trio.sleep(0.001)
        assert state.executions[0].cancelled
        assert state.running == 0

    _with_standin(standin.Settings(service_seconds=60.0), drive)


async def _exchange_forever(pool: upstream.ConnectionPool) -> None:
    await upstream.exchange(pool, POST, timeout_seconds=60.0)


def test_deadline_reaches_the_upstream() -> None:
    """The upstream and the client both abandon the request at the deadline."""

    async def drive(
        pool: upstream.ConnectionPool, state: standin.UpstreamState
    ) -> None:
        result = await upstream.exchange(pool, POST, timeout_seconds=0.05)
        assert result.response is None or result.response.status == 504
        while not state.expired and not state.cancelled:
            await trio.sleep(0.001)
        assert state.executions[0].end is None

    _with_standin(standin.Settings(service_seconds=60.0), drive)


@pytest.mark.parametrize(
    ("settings", "expected"),
    [
        (
            standin.Settings(fault="cut"),
            _exceptions.ErrorKind.UPSTREAM_FAILED,
        ),
        (
            standin.Settings(fault="close"),
            _exceptions.ErrorKind.UPSTREAM_FAILED,
        ),
        (
            standin.Settings(fault="freeze"),
            _exceptions.ErrorKind.UPSTREAM_TIMEOUT,
        ),
        (
            standin.Settings(draining=True),
            _exceptions.ErrorKind.OVERLOADED,
        ),
    ],
)
def test_faults_of_the_upstream_have_their_kind(
    settings: standin.Settings, expected: _exceptions.ErrorKind
) -> None:
    """A fault after the execution began is never reported as "not run"."""

    async def drive(
        pool: upstream.ConnectionPool, state: standin.UpstreamState
    ) -> None:
        result = await upstream.exchange(pool, POST, timeout_seconds=0.3)
        assert result.error is expected
        not_run = _exceptions.ANSWERS[expected].outcome is _types.Outcome.NOT_RUN
        assert not_run == (not state.executions)

    _with_standin(settings, drive)


@pytest.mark.parametrize(
    ("settings", "expected"),
    [
        (standin.Settings(draining=True), admission.HealthReport(draining=True)),
        (standin.Settings(health_lie=3), admission.HealthReport(limit=3)),
        (standin.Settings(fault="freeze"), None),
    ],
)
def test_health_report_is_read(
    settings: standin.Settings, expected: admission.HealthReport | None
) -> None:
    """An upstream that does not respond has no health report."""

    async def drive(
        pool: upstream.ConnectionPool, state: standin.UpstreamState
    ) -> None:
        report = await upstream.read_health(pool)
        if expected is not None:
            assert report == dataclasses.replace(expected, started=state.start_id)
        else:
            assert report is None

    _with_standin(settings, drive)
