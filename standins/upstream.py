"""A stand-in upstream: an HTTP/1.1 server with slots, a cold start and faults.

``python -m standins.upstream --port 0 --slots 5`` runs it and prints ``ready`` with its
address. ``GET /standin/executions`` returns the requests it ran.
``POST /standin/settings`` changes the :class:`Settings` fields in its JSON object.
"""

import contextlib
import dataclasses
import hashlib
import json
import secrets
import sys
import typing

import fire
import h11
import msgspec
import trio

from standins import echo

RECEIVE_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
TIMEOUT_HEADER = b"request-timeout-ms"
KEY_HEADER = b"idempotency-key"
TOKEN_HEADER = b"token"
EXCHANGE_HEADER = b"plantain-exchange"
"""Number of a request on its connection; responses repeat it."""
FREEZE = "freeze"
CUT = "cut"
CLOSE = "close"
FAULTS = ("", FREEZE, CUT, CLOSE)


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Capacity and faults of the stand-in.

    Each field is a command-line flag and can be changed at runtime.
    """

    name: str = "upstream"
    slots: int = 5
    service_seconds: float = 0.02
    cold_seconds: float = 0.0
    """How long the upstream is cold after its start."""
    cold_factor: float = 5.0
    """Factor on ``service_seconds`` while cold."""
    cold_bears: int = 2
    """Concurrent requests that a cold upstream can handle; one more makes it fail."""
    fallen_seconds: float = 1.0
    """How long a failed upstream closes connections without a response."""
    max_queue: int = 20
    """Queued requests at which further ones are shed."""
    draining: bool = False
    health_delay_seconds: float = 0.0
    """Age of the running count in the health report."""
    health_lie: int = -1
    """False limit stated in the health report; -1 for none."""
    fault: str = ""
    """Fault of work requests.

    ``freeze``: no response, and none to health checks. ``cut``: half of the body, then
    a closed connection. ``close``: a closed connection without a response.
    """
    fault_count: int = -1
    """Remaining exchanges that the fault affects; -1 for all."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """One request that the upstream started to run."""

    method: str
    path: str
    key: str
    token: str
    start: float
    end: float | None = None
    """Completion time; absent while the request runs or if it was cancelled."""
    cancelled: bool = False
    cold: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamState:
    """Settings, counters and execution log of one upstream."""

    settings: Settings
    limiter: trio.CapacityLimiter
    cold_until: float
    failed_until: float = float("-inf")
    running: int = 0
    max_running: int = 0
    shed: int = 0
    failed_exchanges: int = 0
    cancelled: int = 0
    expired: int = 0
    start_id: str = dataclasses.field(default_factory=lambda: secrets.token_hex(4))
    executions: list[Execution] = dataclasses.field(default_factory=list)
    loads: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    """Running counts by time, for health reports of an earlier load."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One complete request."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One response.

    With ``cut`` only half of its body is sent before the connection is closed.
    """

    status: int
    document: dict[str, typing.Any]
    headers: tuple[tuple[bytes, bytes], ...] = ()
    cut: bool = False


class ExchangeClosedError(Exception):
    """The connection is closed without a complete response."""


def create(settings: Settings) -> UpstreamState:
    """Return the state of an upstream that starts now, cold if so configured."""
    _validate(settings)
    return UpstreamState(
        settings=settings,
        limiter=trio.CapacityLimiter(settings.slots),
        cold_until=trio.current_time() + settings.cold_seconds,
    )


async def serve_connection(state: UpstreamState, stream: trio.SocketStream) -> None:
    """Serve the requests of one connection in sequence."""
    connection = h11.Connection(our_role=h11.SERVER)
    async with stream:
        try:
            while await _serve_exchange(state, stream, connection):
                connection.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except (h11.ProtocolError, ExchangeClosedError):
            return


async def _serve_exchange(
    state: UpstreamState, stream: trio.SocketStream, connection: h11.Connection
) -> bool:
    """Serve one request and return whether the connection can carry another."""
    request = await _read_request(stream, connection)
    if request is None:
        return False
    if request.path.startswith(("/standin/", "/health")):
        response = await _handle_control(state, request)
    else:
        response = await _run_until_disconnect(state, request, stream, connection)
    await _send_response(stream, connection, request, response)
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _read_request(
    stream: trio.SocketStream, connection: h11.Connection
) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise ExchangeClosedError
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(
                method=head.method.decode(),
                path=head.target.decode(),
                headers=dict(head.headers),
                body=bytes(body),
            )
        else:
            return None


async def _run_until_disconnect(
    state: UpstreamState,
    request: Request,
    stream: trio.SocketStream,
    connection: h11.Connection,
) -> Response:
    """Run a request until it completes or its client closes the connection."""
    responses: list[Response] = []
    client_disconnected = False
    async with trio.open_nursery() as nursery:

        async def watch_client() -> None:
            nonlocal client_disconnected
            client_disconnected = await _wait_for_disconnect(stream, connection)
            if client_disconnected:
                nursery.cancel_scope.cancel()

        nursery.start_soon(watch_client)
        with contextlib.suppress(ExchangeClosedError):
            responses.append(await _run_with_fault(state, request))
        nursery.cancel_scope.cancel()
    if client_disconnected:
        state.cancelled += 1
    if not responses:
        raise ExchangeClosedError
    return responses[0]


async def _wait_for_disconnect(
    stream: trio.SocketStream, connection: h11.Connection
) -> bool:
    """Wait for data or the end of the connection; return whether it ended."""
    try:
        received = await stream.receive_some(RECEIVE_BYTES)
    except (OSError, trio.BrokenResourceError):
        return True
    if received:
        connection.receive_data(received)
    return not received


async def _run_with_fault(state: UpstreamState, request: Request) -> Response:
    response = await run_request(state, request)
    if response.status != 200:
        return response
    fault = _consume_fault(state)
    if fault == FREEZE:
        await trio.sleep_forever()
    if fault == CLOSE:
        raise ExchangeClosedError
    return dataclasses.replace(response, cut=fault == CUT)


async def run_request(state: UpstreamState, request: Request) -> Response:
    """Run one request in a slot and return its response.

    Raises ``ExchangeClosedError`` if the upstream has failed, or fails because it gets
    too many concurrent requests while cold.
    """
    now = trio.current_time()
    settings = state.settings
    if now < state.failed_until:
        state.failed_exchanges += 1
        raise ExchangeClosedError
    waiting = state.limiter.statistics().tasks_waiting
    if settings.draining or waiting >= settings.max_queue:
        state.shed += 1
        return _refusal_response("shed")
    if now < state.cold_until and state.running >= settings.cold_bears:
        state.failed_until = now + settings.fallen_seconds
        state.failed_exchanges += 1
        raise ExchangeClosedError
    deadline = now + _timeout_seconds(request)
    state.running += 1
    state.max_running = max(state.max_running, state.running)
    state.loads.append((now, state.running))
    has_started = False
    try:
        with trio.move_on_at(deadline):
            async with state.limiter:
                has_started = True
                return await _execute(state, request)
        return _expired_response(state, request, has_started=has_started)
    finally:
        state.running -= 1
        state.loads.append((trio.current_time(), state.running))
        del state.loads[:-1000]


async def _execute(state: UpstreamState, request: Request) -> Response:
    settings = state.settings
    now = trio.current_time()
    cold = now < state.cold_until
    execution = Execution(
        method=request.method,
        path=request.path,
        key=request.headers.get(KEY_HEADER, b"").decode("latin-1"),
        token=request.headers.get(TOKEN_HEADER, b"").decode("latin-1"),
        start=now,
        cold=cold,
    )
    state.executions.append(execution)
    factor = settings.cold_factor if cold else 1.0
    try:
        await trio.sleep(settings.service_seconds * factor)
    except trio.Cancelled:
        execution.cancelled = True
        raise
    execution.end = trio.current_time()
    return _echo_response(state, request, execution)


def _consume_fault(state: UpstreamState) -> str:
    settings = state.settings
    if not settings.fault or settings.fault_count == 0:
        return ""
    if settings.fault_count > 0:
        settings.fault_count -= 1
    return settings.fault


def _echo_response(
    state: UpstreamState, request: Request, execution: Execution
) -> Response:
    headers = ((TOKEN_HEADER, execution.token.encode()),) if execution.token else ()
    document = {**_echo_members(state, request), "key": execution.key}
    return Response(status=200, document=document, headers=headers)


def _echo_members(state: UpstreamState, request: Request) -> dict[str, object]:
    """Return the members by which a caller recognises the response to its request."""
    return {
        "name": state.settings.name,
        "method": request.method,
        "path": request.path,
        "token": request.headers.get(TOKEN_HEADER, b"").decode("latin-1"),
        "body_sha256": hashlib.sha256(request.body).hexdigest(),
        "body_bytes": len(request.body),
    }


def _refusal_response(reason: str) -> Response:
    return Response(
        status=503,
        document={"refused": reason},
        headers=((b"plantain-not-run", b"true"),),
    )


def _expired_response(
    state: UpstreamState, request: Request, *, has_started: bool
) -> Response:
    """Return the response to a request whose deadline passed.

    Only a request that expired in the queue is reported as not run. The response to any
    other names its request, so that a caller can tell it from one to another request.
    """
    state.expired += 1
    if not has_started:
        return _refusal_response("expired")
    document = {**_echo_members(state, request), "refused": "expired"}
    return Response(status=echo.TIMEOUT_STATUS, document=document)


def _timeout_seconds(request: Request) -> float:
    value = request.headers.get(TIMEOUT_HEADER, b"")
    return int(value) / 1000 if value.isdigit() else 3600.0


async def _handle_control(state: UpstreamState, request: Request) -> Response:
    if request.path == "/health":
        return await _handle_health(state)
    if request.path == "/standin/executions":
        executions = [dataclasses.asdict(execution) for execution in state.executions]
        return Response(
            status=200, document={"name": state.settings.name, "executions": executions}
        )
    if request.path == "/standin/counters":
        return Response(status=200, document=_counters(state))
    if request.path == "/standin/settings" and request.method == "POST":
        return _change_settings(state, request.body)
    if request.path == "/standin/cold" and request.method == "POST":
        state.cold_until = trio.current_time() + state.settings.cold_seconds
        return Response(status=200, document={"cold": True})
    return Response(status=404, document={"unknown": request.path})


async def _handle_health(state: UpstreamState) -> Response:
    settings = state.settings
    if settings.fault == FREEZE and settings.fault_count != 0:
        await trio.sleep_forever()
    if trio.current_time() < state.failed_until:
        raise ExchangeClosedError
    reported_at = trio.current_time() - settings.health_delay_seconds
    loads = [load for time, load in state.loads if time <= reported_at]
    document: dict[str, typing.Any] = {
        "started": state.start_id,
        "draining": settings.draining,
        "running": loads[-1] if loads else 0,
    }
    if settings.health_lie >= 0:
        document["limit"] = settings.health_lie
    return Response(status=200, document=document)


def _counters(state: UpstreamState) -> dict[str, typing.Any]:
    return {
        "name": state.settings.name,
        "now": trio.current_time(),
        "running": state.running,
        "most_running": state.max_running,
        "executions": len(state.executions),
        "shed": state.shed,
        "fallen": state.failed_exchanges,
        "cancelled": state.cancelled,
        "expired": state.expired,
    }


def _change_settings(state: UpstreamState, body: bytes) -> Response:
    try:
        changes = msgspec.json.decode(body, type=dict[str, typing.Any])
        merged = msgspec.structs.asdict(state.settings) | changes
        settings = msgspec.convert(merged, Settings)
        _validate(settings)
    except (msgspec.MsgspecError, ValueError) as error:
        return Response(status=400, document={"wrong": str(error)})
    state.settings = settings
    state.limiter.total_tokens = settings.slots
    return Response(status=200, document={"applied": changes})


def _validate(settings: Settings) -> None:
    if settings.fault not in FAULTS:
        raise ValueError(f"fault: expected one of {FAULTS}, got {settings.fault!r}")
    if settings.slots < 1:
        raise ValueError(f"slots: expected at least 1, got {settings.slots}")


async def _send_response(
    stream: trio.SocketStream,
    connection: h11.Connection,
    request: Request,
    response: Response,
) -> None:
    body = json.dumps(response.document).encode()
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        *response.headers,
    ]
    if number := request.headers.get(EXCHANGE_HEADER):
        fields.append((EXCHANGE_HEADER, number))
    head = connection.send(h11.Response(status_code=response.status, headers=fields))
    if request.method == "HEAD":
        body = b""
    parts = [head, connection.send(h11.Data(data=body)) if body else b""]
    encoded = b"".join(part or b"" for part in parts)
    if response.cut:
        await stream.send_all(encoded[: len(encoded) - len(body) // 2])
        raise ExchangeClosedError
    await stream.send_all(encoded + (connection.send(h11.EndOfMessage()) or b""))


async def run(settings: Settings, *, host: str, port: int) -> None:
    """Serve until cancelled; print the address once connections are accepted."""
    state = create(settings)
    listeners = await trio.open_tcp_listeners(port, host=host)

    async def serve(stream: trio.SocketStream) -> None:
        await serve_connection(state, stream)

    address = listeners[0].socket.getsockname()
    sys.stdout.write(f"ready {address[0]}:{address[1]}\n")
    sys.stdout.flush()
    await trio.serve_listeners(serve, listeners)


def main(host: str = "127.0.0.1", port: int = 0, **settings: typing.Any) -> None:
    """Run the stand-in; every field of :class:`Settings` is a flag."""
    trio.run(_run_until_stopped, msgspec.convert(settings, Settings), host, port)


async def _run_until_stopped(settings: Settings, host: str, port: int) -> None:
    await run(settings, host=host, port=port)


if __name__ == "__main__":
    fire.Fire(main)
