"""Tests of the bridge between trio and gRPC over real sockets."""

from collections import abc
import contextlib
import datetime
import functools
import ipaddress
import pathlib
import socket
import typing

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
import grpc
import pytest
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import bridge, error_metadata, messages, methods
from plantainproxy.settings import model

ANY_PORT = _types.Address("127.0.0.1", 0)
TLS = model.Tls()
PULL = methods.Method.PULL
REQUEST = messages.PullRequest(configuration_revision=0, key_revision=0)
TEST_TIMEOUT_SECONDS = 20
SHORTEST_DEADLINE_SECONDS = 0.002
"""Mostly shorter than the time until a handler starts."""


def run(main: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Run a test under trio; fail it if it exceeds the time limit."""

    async def main_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await main()

    trio.run(main_with_timeout)


async def pull(
    client: bridge.Client, address: _types.Address, *, timeout: float = 5.0
) -> typing.Any:
    """Make one PULL call."""
    return await bridge.call(client, address, PULL, REQUEST, timeout_seconds=timeout)


@contextlib.asynccontextmanager
async def client_and_server(
    handler: bridge.Handler, **options: typing.Any
) -> abc.AsyncIterator[tuple[bridge.Client, _types.Address]]:
    """Start a server and a client; yield the client and the server's address."""
    async with (
        bridge.open_client(TLS) as client,
        bridge.serve(ANY_PORT, {PULL: handler}, tls=TLS, **options) as address,
    ):
        yield client, address


async def reply_at_once(request: messages.PullRequest) -> messages.PullReply:
    """Return an empty reply without delay."""
    return messages.PullReply()


def test_a_call_is_answered() -> None:
    """A request reaches its handler, and the client receives the reply."""

    async def main() -> None:
        async with client_and_server(reply_at_once) as (client, address):
            assert await pull(client, address) == messages.PullReply()

    run(main)


@pytest.mark.parametrize("kind", list(_exceptions.ErrorKind))
def test_every_error_kind_reaches_the_client(kind: _exceptions.ErrorKind) -> None:
    """The client receives the kind and the detail that the handler raised."""

    async def fail(request: typing.Any) -> typing.Any:
        raise _exceptions.PlantainError(kind, "détail")

    async def main() -> None:
        async with client_and_server(fail) as (client, address):
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(client, address)
            assert (caught.value.kind, caught.value.detail) == (kind, "détail")

    run(main)


def test_a_fault_of_a_handler_is_answered() -> None:
    """An unexpected exception is reported as INTERNAL, and the server keeps running."""
    faults: list[Exception] = [ZeroDivisionError("first")]

    async def fail_once(request: typing.Any) -> typing.Any:
        if faults:
            raise faults.pop()
        return messages.PullReply()

    async def main() -> None:
        async with client_and_server(fail_once) as (client, address):
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(client, address)
            assert caught.value.kind is _exceptions.ErrorKind.INTERNAL
            assert await pull(client, address) == messages.PullReply()

    run(main)


@pytest.mark.parametrize(
    "encoded", [b"", b"\xc1", b"\x93\x01", b"\x80", b"\xff" * 999, b"\x91\xc0"]
)
def test_malformed_bytes_are_answered(encoded: bytes) -> None:
    """Bytes that cannot be decoded are rejected as a bad request."""

    async def main() -> None:
        async with client_and_server(reply_at_once) as (_, address):

            def send() -> grpc.RpcError:
                with (
                    grpc.insecure_channel(str(address)) as channel,
                    pytest.raises(grpc.RpcError) as caught,
                ):
                    channel.unary_unary(PULL.path, None, None)(
                        encoded, timeout=TEST_TIMEOUT_SECONDS
                    )
                return caught.value

            error: typing.Any = await trio.to_thread.run_sync(send)
            assert error.code() is grpc.StatusCode.INVALID_ARGUMENT
            assert dict(error.trailing_metadata())[error_metadata.METADATA_NAME] == (
                "bad-request"
            )

    run(main)


def test_a_call_without_handler_is_refused() -> None:
    """A method that the peer does not serve is reported as unavailable."""

    async def main() -> None:
        async with client_and_server(reply_at_once) as (client, address):
            with pytest.raises(_exceptions.PlantainError) as caught:
                await bridge.call(
                    client,
                    address,
                    methods.Method.CLAIM,
                    messages.ClaimRequest(
                        key="k", fingerprint=b"", timeout_milliseconds=1000
                    ),
                    timeout_seconds=5,
                )
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE

    run(main)


@pytest.mark.parametrize("cancelled_by", ["deadline", "cancel"])
def test_a_cancelled_call_cancels_the_handler(cancelled_by: str) -> None:
    """An expired deadline and a cancelled task both reach the handler."""

    async def main() -> None:
        started, ended = trio.Event(), trio.Event()

        async def wait(request: typing.Any) -> typing.Any:
            started.set()
            try:
                await trio.sleep_forever()
            finally:
                ended.set()

        async with client_and_server(wait) as (client, address):
            if cancelled_by == "deadline":
                # A call whose deadline passes first never starts its handler.
                timeout_seconds = SHORTEST_DEADLINE_SECONDS
                while not started.is_set():
                    with pytest.raises(_exceptions.PlantainError):
                        await pull(client, address, timeout=timeout_seconds)
                    timeout_seconds *= 2
            else:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(pull, client, address)
                    await started.wait()
                    nursery.cancel_scope.cancel()
            await ended.wait()

    run(main)


def test_calls_do_not_wait_for_one_another() -> None:
    """A call gets its reply while another one to the same peer is running."""

    async def main() -> None:
        release = trio.Event()
        calls: list[int] = []

        async def first_waits(request: typing.Any) -> messages.PullReply:
            calls.append(1)
            if len(calls) == 1:
                await release.wait()
            return messages.PullReply()

        async with (
            client_and_server(first_waits) as (client, address),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(pull, client, address)
            while not calls:
                await trio.sleep(0.01)
            await pull(client, address)
            release.set()

    run(main)


def test_a_stop_finishes_running_calls_and_refuses_new_ones() -> None:
    """A call that is running when the server stops still gets its reply."""

    async def main() -> None:
        started = trio.Event()
        answered = trio.Event()
        replies: list[typing.Any] = []

        async def slow(request: typing.Any) -> messages.PullReply:
            started.set()
            await trio.sleep(0.3)
            return messages.PullReply()

        async with bridge.open_client(TLS) as client, trio.open_nursery() as nursery:

            async def record(address: _types.Address) -> None:
                replies.append(await pull(client, address))
                answered.set()

            async with bridge.serve(ANY_PORT, {PULL: slow}, tls=TLS) as address:
                nursery.start_soon(record, address)
                await started.wait()
            await answered.wait()
            assert replies == [messages.PullReply()]
            with pytest.raises(_exceptions.PlantainError):
                await pull(client, address, timeout=1)

    run(main)


def test_a_stop_cancels_what_outlasts_the_grace() -> None:
    """A handler that does not end is cancelled after the grace period."""

    async def main() -> None:
        started = trio.Event()

        async def never_return(request: typing.Any) -> typing.Any:
            started.set()
            await trio.sleep_forever()

        async with bridge.open_client(TLS) as client, trio.open_nursery() as nursery:

            async def expect_failure(address: _types.Address) -> None:
                with pytest.raises(_exceptions.PlantainError):
                    await pull(client, address)

            server = bridge.serve(
                ANY_PORT, {PULL: never_return}, tls=TLS, grace_seconds=0.1
            )
            async with server as address:
                nursery.start_soon(expect_failure, address)
                await started.wait()

    run(main)


class TcpRelay:
    """A TCP relay that can stop forwarding on its existing connections."""

    def __init__(self) -> None:
        """Create a relay that forwards on all connections."""
        self.connections = 0
        self.blocked_connections = 0
        """Number of the oldest connections on which all bytes are dropped."""

    async def copy(
        self, number: int, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        """Copy one direction; drop the bytes while the connection is blocked."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some():
                if number > self.blocked_connections:
                    await sink.send_all(data)

    async def handle(self, target: _types.Address, client: trio.SocketStream) -> None:
        """Relay one connection."""
        self.connections += 1
        number = self.connections
        server = await trio.open_tcp_stream(*target)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.copy, number, client, server)
            nursery.start_soon(self.copy, number, server, client)

    async def start(
        self, nursery: trio.Nursery, target: _types.Address
    ) -> _types.Address:
        """Listen on behalf of a target and return the address."""
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp,
                functools.partial(self.handle, target),
                0,
                host="127.0.0.1",
            )
        )
        return _types.Address(*listeners[0].socket.getsockname())


def test_a_connection_without_replies_is_replaced() -> None:
    """A TCP connection stays open but delivers no data: calls reach their deadline.

    After ``MAX_UNANSWERED_CALLS`` of them the next call succeeds on a new connection.
    """

    async def main() -> None:
        relay = TcpRelay()
        async with (
            client_and_server(reply_at_once) as (client, address),
            trio.open_nursery() as nursery,
        ):
            relay_address = await relay.start(nursery, address)
            await pull(client, relay_address)
            relay.blocked_connections = relay.connections
            for _ in range(bridge.MAX_UNANSWERED_CALLS):
                with pytest.raises(_exceptions.PlantainError) as caught:
                    await pull(client, relay_address, timeout=0.3)
                assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE
            assert await pull(client, relay_address) == messages.PullReply()
            assert relay.connections == 2
            nursery.cancel_scope.cancel()

    run(main)


def test_a_peer_that_never_answers_fails_within_the_deadline() -> None:
    """A peer that accepts a connection and never responds is unavailable."""

    async def main() -> None:
        relay = TcpRelay()
        relay.blocked_connections = 99
        async with (
            client_and_server(reply_at_once) as (client, address),
            trio.open_nursery() as nursery,
        ):
            relay_address = await relay.start(nursery, address)
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(client, relay_address, timeout=0.5)
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE
            nursery.cancel_scope.cancel()

    run(main)


def test_keepalive_detects_a_connection_without_replies() -> None:
    """Keepalive fails a running call long before the deadline of the call."""

    async def main() -> None:
        relay = TcpRelay()
        started = trio.Event()

        async def never_return(request: typing.Any) -> typing.Any:
            started.set()
            await trio.sleep_forever()

        async with (
            client_and_server(never_return, grace_seconds=0.1) as (client, address),
            trio.open_nursery() as nursery,
        ):
            relay_address = await relay.start(nursery, address)

            async def stop_forwarding() -> None:
                await started.wait()
                relay.blocked_connections = relay.connections

            nursery.start_soon(stop_forwarding)
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(client, relay_address, timeout=TEST_TIMEOUT_SECONDS * 2)
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE
            nursery.cancel_scope.cancel()

    run(main)


def test_a_killed_peer_is_reached_again_after_its_restart() -> None:
    """Calls fail while the peer is stopped and succeed after its restart."""

    async def main() -> None:
        async with bridge.open_client(TLS) as client:
            async with bridge.serve(
                ANY_PORT, {PULL: reply_at_once}, tls=TLS
            ) as address:
                await pull(client, address)
            with pytest.raises(_exceptions.PlantainError):
                await pull(client, address, timeout=1)
            async with bridge.serve(address, {PULL: reply_at_once}, tls=TLS):
                for _ in range(20):
                    with contextlib.suppress(_exceptions.PlantainError):
                        await pull(client, address, timeout=1)
                        return
                    await trio.sleep(0.2)
                pytest.fail("no call succeeded after the restart of the peer")

    run(main)


def test_a_call_without_a_connection_is_not_sent() -> None:
    """``NotSentError`` shows that the peer cannot have received the request.

    A lost connection is detected only by a call that fails on it; that first call may
    have been sent. The next call finds no connection and is not sent.
    """
    calls = 0

    async def count(request: messages.PullRequest) -> messages.PullReply:
        nonlocal calls
        calls += 1
        return await reply_at_once(request)

    async def main() -> None:
        async with bridge.open_client(TLS) as client:

            async def pull_first(address: _types.Address) -> None:
                await bridge.call(
                    client,
                    address,
                    PULL,
                    REQUEST,
                    timeout_seconds=5.0,
                    connect_first=True,
                )

            async with bridge.serve(ANY_PORT, {PULL: count}, tls=TLS) as address:
                await pull_first(address)
            with pytest.raises(_exceptions.PlantainError):
                await pull_first(address)
            with pytest.raises(bridge.NotSentError) as caught:
                await pull_first(address)
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE
            async with bridge.serve(address, {PULL: count}, tls=TLS):
                while calls == 1:
                    with contextlib.suppress(bridge.NotSentError):
                        await pull_first(address)
            assert calls == 2

    run(main)


def test_a_call_to_an_unresponsive_peer_may_have_been_sent() -> None:
    """A call on a connection that delivers no data may have reached the peer."""

    async def main() -> None:
        async with (
            client_and_server(reply_at_once) as (client, address),
            trio.open_nursery() as nursery,
        ):
            relay = TcpRelay()
            relay_address = await relay.start(nursery, address)
            await pull(client, relay_address)
            relay.blocked_connections = 99
            with pytest.raises(_exceptions.PlantainError) as caught:
                await bridge.call(
                    client,
                    relay_address,
                    PULL,
                    REQUEST,
                    timeout_seconds=0.5,
                    connect_first=True,
                )
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE
            assert not isinstance(caught.value, bridge.NotSentError)
            nursery.cancel_scope.cancel()

    run(main)


def test_an_idle_channel_is_closed() -> None:
    """Only channels without a call within the idle timeout are closed."""

    async def main() -> None:
        async with client_and_server(reply_at_once) as (client, address):
            await pull(client, address)
            client.next_idle_check_at = 0
            bridge._close_idle(client, trio.current_time())
            assert address in client.channels
            bridge._close_idle(
                client, trio.current_time() + bridge.IDLE_TIMEOUT_SECONDS
            )
            assert address not in client.channels
            await pull(client, address)

    run(main)


def test_plaintext_beyond_loopback_is_refused() -> None:
    """Plaintext to a non-loopback address is refused by client and server."""

    async def main() -> None:
        remote_address = _types.Address("192.0.2.1", 9)
        async with bridge.open_client(TLS) as client:
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(client, remote_address)
            assert caught.value.kind is _exceptions.ErrorKind.INVALID_SETTINGS
        with pytest.raises(_exceptions.PlantainError):
            async with bridge.serve(remote_address, {}, tls=TLS):
                pytest.fail("plaintext was served beyond loopback")

    run(main)


def test_an_address_in_use_is_reported() -> None:
    """A server on an address in use fails to start."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as bound_socket:
            address = _types.Address(*bound_socket.getsockname())
            with pytest.raises(_exceptions.PlantainError):
                async with bridge.serve(address, {}, tls=TLS):
                    pytest.fail("the server started on an address in use")

    run(main)


def _write_certificates(directory: pathlib.Path) -> model.Tls:
    """Create a self-signed certificate for both ends and as the authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "peer")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    chain = directory / "chain.pem"
    chain.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    private_key = directory / "key.pem"
    private_key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return model.Tls(
        certificate_file=str(chain),
        private_key_file=str(private_key),
        authority_file=str(chain),
    )


def test_tls_needs_the_right_certificate_at_both_ends(tmp_path: pathlib.Path) -> None:
    """A client with a valid certificate is served; a plaintext client is not."""
    tls = _write_certificates(tmp_path)

    async def main() -> None:
        async with (
            bridge.serve(ANY_PORT, {PULL: reply_at_once}, tls=tls) as address,
            bridge.open_client(tls) as client,
            bridge.open_client(TLS) as plaintext_client,
        ):
            assert await pull(client, address) == messages.PullReply()
            with pytest.raises(_exceptions.PlantainError) as caught:
                await pull(plaintext_client, address, timeout=1)
            assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE

    run(main)
