"""Bridge between trio and the synchronous API of grpcio.

A server thread runs the handler of each call in a trio task and waits for its result.
A client call is a gRPC future whose completion resumes the waiting trio task.
"""

from collections import abc
import concurrent.futures
import contextlib
import dataclasses
import functools
import logging
import queue
import typing

import grpc
import msgspec
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import codec, credentials, error_metadata, methods
from plantainproxy.settings import model

Handler = abc.Callable[[typing.Any], abc.Awaitable[typing.Any]]

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
KEEPALIVE_INTERVAL_SECONDS = 2.0
"""Time without traffic after which a connection with running calls is probed."""
KEEPALIVE_TIMEOUT_SECONDS = 2.0
"""Time after which an unacknowledged probe closes the connection."""
MAX_RECONNECT_BACKOFF_SECONDS = 1.0
"""Maximum delay between two connection attempts."""
CONNECT_TIMEOUT_SECONDS = 1.0
"""Time limit of one connection attempt."""
IDLE_TIMEOUT_SECONDS = 30.0
"""Time without calls after which a channel is closed."""
IDLE_CHECK_INTERVAL_SECONDS = 5.0
DEFAULT_WORKERS = 32
DEFAULT_GRACE_PERIOD_SECONDS = 5.0
STOP_MARGIN_SECONDS = 2.0
"""Maximum wait for a server to stop after its grace period has ended."""
MAX_UNANSWERED_CALLS = 2
"""Consecutive calls without any response after which a channel is replaced."""

_CONNECT_RESULT_STATES = frozenset(
    {
        grpc.ChannelConnectivity.READY,
        grpc.ChannelConnectivity.TRANSIENT_FAILURE,
        grpc.ChannelConnectivity.SHUTDOWN,
    }
)
"""Channel states that end a connection attempt, successfully or not."""

_log = logging.getLogger("plantain.rpc")

_COMMON_OPTIONS: list[tuple[str, int]] = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", int(KEEPALIVE_INTERVAL_SECONDS * 1000)),
    ("grpc.keepalive_timeout_ms", int(KEEPALIVE_TIMEOUT_SECONDS * 1000)),
    ("grpc.http2.ping_timeout_ms", int(KEEPALIVE_TIMEOUT_SECONDS * 1000)),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.bdp_probe", 0),
]
_SERVER_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
]
_CHANNEL_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", int(CONNECT_TIMEOUT_SECONDS * 1000)),
    ("grpc.max_reconnect_backoff_ms", int(MAX_RECONNECT_BACKOFF_SECONDS * 1000)),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
]


# --- Server -----------------------------------------------------------------------


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingCall:
    """A call that a server thread passes to a trio task."""

    handler: Handler
    request: typing.Any
    scope: trio.CancelScope
    result_queue: "queue.SimpleQueue[typing.Any]"
    """Receives the reply or the exception of the handler."""
    is_done: bool = False


async def _run_handler(pending_call: _PendingCall) -> None:
    """Run a handler and put its reply or exception into the result queue."""
    result: typing.Any = None
    error: Exception | None = None
    with pending_call.scope:
        try:
            result = await pending_call.handler(pending_call.request)
        except Exception as handler_error:
            error = handler_error
    if error is None and pending_call.scope.cancelled_caught:
        error = _exceptions.PlantainError(
            _exceptions.ErrorKind.PEER_UNAVAILABLE, "The call was cancelled."
        )
    pending_call.is_done = True
    pending_call.result_queue.put(result if error is None else error)


def _run_in_trio(
    token: trio.lowlevel.TrioToken, function: abc.Callable[[], object]
) -> bool:
    """Schedule a function in the trio thread; return whether trio is running."""
    try:
        token.run_sync_soon(function)
    except trio.RunFinishedError:
        return False
    return True


def _set_error(
    context: grpc.ServicerContext, error: _exceptions.PlantainError
) -> bytes:
    context.set_code(grpc.StatusCode[error.answer.grpc_status])
    context.set_details(error.detail)
    context.set_trailing_metadata(error_metadata.encode(error.kind))
    return b""


def _serve_call(
    method: methods.Method,
    handler: Handler,
    submit: abc.Callable[[_PendingCall], bool],
    cancel: abc.Callable[[_PendingCall], None],
    encoded: bytes,
    context: grpc.ServicerContext,
) -> bytes:
    """Handle one call in a server thread; return the encoded reply."""
    try:
        request: typing.Any = codec.decode(encoded, method.value.request)
    except (msgspec.MsgspecError, ValueError) as error:
        return _set_error(
            context,
            _exceptions.PlantainError(_exceptions.ErrorKind.BAD_REQUEST, str(error)),
        )
    pending_call = _PendingCall(
        handler=handler,
        request=request,
        scope=trio.CancelScope(shield=True),
        result_queue=queue.SimpleQueue(),
    )
    if not context.add_callback(functools.partial(cancel, pending_call)):
        return b""
    if not submit(pending_call):
        return _set_error(
            context, _exceptions.PlantainError(_exceptions.ErrorKind.PEER_UNAVAILABLE)
        )
    result = pending_call.result_queue.get()
    if isinstance(result, _exceptions.PlantainError):
        return _set_error(context, result)
    if isinstance(result, Exception):
        _log.error(
            "RPC handler of %s raised an unexpected exception.",
            method.value.name,
            exc_info=result,
        )
        return _set_error(
            context, _exceptions.PlantainError(_exceptions.ErrorKind.INTERNAL)
        )
    return codec.encode(result)


def _bind(server: grpc.Server, address: _types.Address, tls: model.Tls) -> int:
    server_credentials = credentials.for_server(tls)
    if server_credentials is None:
        credentials.check_plaintext(address, tls)
    try:
        if server_credentials is None:
            port = server.add_insecure_port(str(address))
        else:
            port = server.add_secure_port(str(address), server_credentials)
    except RuntimeError:
        port = 0
    if port == 0:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"cannot listen on {address}"
        )
    return port


async def _stop(server: grpc.Server, grace_seconds: float) -> None:
    """Reject new calls and wait for running ones for at most the grace period."""
    stopped = server.stop(grace_seconds)
    await trio.to_thread.run_sync(stopped.wait, grace_seconds + STOP_MARGIN_SECONDS)


@contextlib.asynccontextmanager
async def serve(
    address: _types.Address,
    handlers: abc.Mapping[methods.Method, Handler],
    *,
    tls: model.Tls,
    extra_handlers: "abc.Sequence[grpc.GenericRpcHandler[typing.Any, typing.Any]]" = (),
    workers: int = DEFAULT_WORKERS,
    grace_seconds: float = DEFAULT_GRACE_PERIOD_SECONDS,
) -> abc.AsyncIterator[_types.Address]:
    """Serve calls while the context is open; yield the bound address.

    Each handler runs in a separate task, which is cancelled when the call is cancelled
    or its deadline expires. On exit new calls are rejected, and running calls may
    finish within the grace period.
    """
    token = trio.lowlevel.current_trio_token()
    pool = concurrent.futures.ThreadPoolExecutor(
        max_workers=workers, thread_name_prefix="plantain-rpc"
    )
    server = grpc.server(pool, options=_SERVER_OPTIONS)

    def submit(pending_call: _PendingCall) -> bool:
        return _run_in_trio(
            token,
            lambda: trio.lowlevel.spawn_system_task(_run_handler, pending_call),
        )

    def cancel(pending_call: _PendingCall) -> None:
        if not pending_call.is_done:
            _run_in_trio(token, pending_call.scope.cancel)

    routes = {
        method.value.name: grpc.unary_unary_rpc_method_handler(
            functools.partial(_serve_call, method, handler, submit, cancel)
        )
        for method, handler in handlers.items()
    }
    server.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(methods.SERVICE, routes),
            *extra_handlers,
        )
    )
    port = _bind(server, address, tls)
    server.start()
    try:
        yield _types.Address(address.host, port)
    finally:
        with trio.CancelScope(shield=True):
            await _stop(server, grace_seconds)
            await trio.to_thread.run_sync(pool.shutdown)


# --- Client -----------------------------------------------------------------------


@dataclasses.dataclass(slots=True, kw_only=True)
class _Channel:
    """A gRPC channel to a peer, with the state of its recent calls."""

    channel: grpc.Channel
    last_used_at: float
    running_calls: int = 0
    unanswered_calls: int = 0
    """Consecutive calls that timed out without a response, or before connecting."""
    last_call_answered: bool = False
    """Whether the peer responded to the call that ended last."""
    is_retired: bool = False
    """Whether the channel takes no new calls; it closes when its last call ends."""


class NotSentError(_exceptions.PlantainError):
    """Raised for a call that was not sent because its peer was not connected."""


class Client:
    """The gRPC channels from this process to its peers, by address."""

    def __init__(self, tls: model.Tls) -> None:
        """Load the certificates; channels are opened on the first call."""
        self.credentials = credentials.for_channel(tls)
        self.tls = tls
        self.channels: dict[_types.Address, _Channel] = {}
        self.next_idle_check_at = 0.0
        """Time of the next check for idle channels, on the trio clock."""


def _open_channel(client: Client, address: _types.Address) -> _Channel:
    if client.credentials is None:
        credentials.check_plaintext(address, client.tls)
        channel = grpc.insecure_channel(str(address), options=_CHANNEL_OPTIONS)
    else:
        channel = grpc.secure_channel(
            str(address), client.credentials, options=_CHANNEL_OPTIONS
        )
    return _Channel(channel=channel, last_used_at=trio.current_time())


def _retire_channel(client: Client, address: _types.Address, entry: _Channel) -> None:
    """Remove a channel from use and close it when it has no running calls."""
    entry.is_retired = True
    if client.channels.get(address) is entry:
        del client.channels[address]
    if entry.running_calls == 0:
        entry.channel.close()


def _close_idle(client: Client, now: float) -> None:
    if now < client.next_idle_check_at:
        return
    client.next_idle_check_at = now + IDLE_CHECK_INTERVAL_SECONDS
    for address, entry in list(client.channels.items()):
        if (
            entry.running_calls == 0
            and now - entry.last_used_at >= IDLE_TIMEOUT_SECONDS
        ):
            _retire_channel(client, address, entry)


@contextlib.asynccontextmanager
async def open_client(tls: model.Tls) -> abc.AsyncIterator[Client]:
    """Yield a client whose channels are closed when the context exits."""
    client = Client(tls)
    try:
        yield client
    finally:
        for address, entry in list(client.channels.items()):
            entry.running_calls = 0
            _retire_channel(client, address, entry)


@contextlib.contextmanager
def _acquire_channel(client: Client, address: _types.Address) -> abc.Iterator[_Channel]:
    _close_idle(client, trio.current_time())
    entry = client.channels.get(address)
    if entry is None:
        entry = client.channels[address] = _open_channel(client, address)
    entry.running_calls += 1
    try:
        yield entry
    finally:
        entry.running_calls -= 1
        entry.last_used_at = trio.current_time()
        if entry.is_retired and entry.running_calls == 0:
            entry.channel.close()


def _error_from_call(
    call: typing.Any, address: _types.Address
) -> _exceptions.PlantainError:
    """Return the error that the peer reported, or ``PEER_UNAVAILABLE``."""
    peer_error = error_metadata.error_from_call(call)
    if peer_error is not None:
        return peer_error
    detail = call.details() or ""
    return _exceptions.PlantainError(
        _exceptions.ErrorKind.PEER_UNAVAILABLE,
        f"{address}: {call.code().name.lower()} {detail}".strip(),
    )


def _record_call_status(
    client: Client, address: _types.Address, entry: _Channel, code: grpc.StatusCode
) -> None:
    """Record how a call ended; retire a channel after too many unanswered calls."""
    if code is not grpc.StatusCode.DEADLINE_EXCEEDED:
        entry.unanswered_calls = 0
        return
    entry.unanswered_calls += 1
    if entry.unanswered_calls >= MAX_UNANSWERED_CALLS and not entry.is_retired:
        _log.warning(
            "%d consecutive calls to %s got no response; replacing the connection.",
            entry.unanswered_calls,
            address,
        )
        _retire_channel(client, address, entry)


async def _wait_for_completion(call: typing.Any) -> None:
    """Wait for a gRPC future; cancel it if the waiting task is cancelled."""
    token = trio.lowlevel.current_trio_token()
    done = trio.Event()
    call.add_done_callback(lambda _: _run_in_trio(token, done.set))
    try:
        await done.wait()
    except trio.Cancelled:
        call.cancel()
        raise


async def _connect(entry: _Channel, timeout_seconds: float) -> grpc.StatusCode:
    """Connect a channel; return ``OK`` or the reason for which it is not connected.

    This only subscribes to the state of the channel and sends no call.
    """
    token = trio.lowlevel.current_trio_token()
    connect_finished = trio.Event()
    states: list[grpc.ChannelConnectivity] = []

    def record_state(state: grpc.ChannelConnectivity) -> None:
        if state in _CONNECT_RESULT_STATES:
            states.append(state)
            _run_in_trio(token, connect_finished.set)

    entry.channel.subscribe(record_state, try_to_connect=True)
    try:
        with trio.move_on_after(timeout_seconds):
            await connect_finished.wait()
    finally:
        entry.channel.unsubscribe(record_state)
    if not states:
        return grpc.StatusCode.DEADLINE_EXCEEDED
    if states[-1] is grpc.ChannelConnectivity.READY:
        return grpc.StatusCode.OK
    return grpc.StatusCode.UNAVAILABLE


async def _require_connection(
    client: Client, address: _types.Address, entry: _Channel, timeout_seconds: float
) -> None:
    """Raise ``NotSentError`` unless the channel is connected within the timeout.

    A channel whose last call got a response counts as connected.
    """
    if entry.last_call_answered:
        return
    code = await _connect(entry, timeout_seconds)
    if code is grpc.StatusCode.OK:
        return
    _record_call_status(client, address, entry, code)
    raise NotSentError(
        _exceptions.ErrorKind.PEER_UNAVAILABLE, f"{address}: not connected"
    )


async def call(
    client: Client,
    address: _types.Address,
    method: methods.Method,
    request: typing.Any,
    *,
    timeout_seconds: float,
    connect_first: bool = False,
) -> typing.Any:
    """Make one call and return its reply.

    Raises ``PlantainError`` of the kind that the peer returned, or of kind
    ``PEER_UNAVAILABLE`` if no valid reply arrived within the timeout.

    With ``connect_first``, a channel that is new or whose last call got no response
    is connected before the call is sent. If that fails, ``NotSentError`` is raised:
    the peer cannot have received the request.
    """
    with _acquire_channel(client, address) as entry:
        if connect_first:
            await _require_connection(client, address, entry, timeout_seconds)
        future = entry.channel.unary_unary(method.path, None, None).future(
            codec.encode(request), timeout=timeout_seconds
        )
        await _wait_for_completion(future)
        code = future.code()
        peer_responded = error_metadata.error_from_call(future) is not None
        entry.last_call_answered = peer_responded or code is grpc.StatusCode.OK
        _record_call_status(
            client, address, entry, grpc.StatusCode.OK if peer_responded else code
        )
        if code is not grpc.StatusCode.OK:
            raise _error_from_call(future, address)
        try:
            return codec.decode(future.result(), method.value.reply)
        except (msgspec.MsgspecError, ValueError) as error:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.PEER_UNAVAILABLE, f"{address}: {error}"
            ) from None
