"""Tests of the stand-in upstream: load shedding, cold overload and settings."""

import json

import trio

from plantainproxy import _types
from plantainproxy.rpc import messages
from plantainproxy.sidecar import upstream
from standins import echo
from standins import upstream as standin


async def _exchange(
    address: _types.Address, path: str, body: bytes = b""
) -> upstream.Result:
    request = messages.Request(method="POST" if body else "GET", path=path, body=body)
    with upstream.open_connection_pool(address) as pool:
        return await upstream.exchange(pool, request, timeout_seconds=5.0)


def _statuses(settings: standin.Settings, requests: int) -> list[int | None]:
    """Send concurrent requests; return 200 or ``None`` for each.

    ``None`` stands for a request that was shed or got no response. Also checks that
    the upstream logged one execution per successful request.
    """
    statuses: list[int | None] = []

    async def run() -> None:
        state = standin.create(settings)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = _types.Address(*listeners[0].socket.getsockname())

        async def serve(stream: trio.SocketStream) -> None:
            await standin.serve_connection(state, stream)

        async def send_request() -> None:
            result = await _exchange(address, "/work")
            statuses.append(None if result.response is None else 200)

        async with trio.open_nursery() as server:
            server.start_soon(trio.serve_listeners, serve, listeners)
            async with trio.open_nursery() as nursery:
                for _ in range(requests):
                    nursery.start_soon(send_request)
            executions_result = await _exchange(address, "/standin/executions")
            assert executions_result.response is not None
            executions = json.loads(executions_result.response.body)["executions"]
            assert len(executions) == statuses.count(200)
            server.cancel_scope.cancel()

    trio.run(run)
    return statuses


def test_queue_beyond_the_slots_is_bounded() -> None:
    """With two slots and a queue of one, all other requests are shed."""
    settings = standin.Settings(slots=2, max_queue=1, service_seconds=0.2)
    assert _statuses(settings, 6).count(200) == 3


def test_cold_upstream_falls_over_under_full_load() -> None:
    """A cold upstream handles two concurrent requests and fails on the third."""
    settings = standin.Settings(
        slots=5, cold_seconds=60.0, cold_factor=10.0, service_seconds=0.02
    )
    assert _statuses(settings, 2).count(200) == 2
    assert _statuses(settings, 6).count(200) == 2


def test_settings_change_while_it_runs() -> None:
    """Invalid settings are refused and change nothing."""

    async def run() -> None:
        state = standin.create(standin.Settings())
        accepted = standin._change_settings(state, b'{"slots": 7, "fault": "cut"}')
        assert (accepted.status, state.settings.slots) == (200, 7)
        for invalid in (b'{"slots": 0}', b'{"slot": 1}', b'{"fault": "melt"}', b"x"):
            assert standin._change_settings(state, invalid).status == 400
        assert state.limiter.total_tokens == 7

    trio.run(run)


def test_a_timeout_names_its_request() -> None:
    """An upstream's own timeout must not look like the response to another request."""

    async def run() -> standin.Response:
        state = standin.create(standin.Settings(service_seconds=5.0))
        request = standin.Request(
            method="GET",
            path="/work/t1",
            headers={b"token": b"t1", b"request-timeout-ms": b"20"},
            body=b"",
        )
        return await standin.run_request(state, request)

    response = trio.run(run)
    body = json.dumps(response.document).encode()
    own = echo.expected("GET", "/work/t1", "t1", b"")
    other = echo.expected("GET", "/work/t2", "t2", b"")
    assert response.status == 504
    assert echo.check(body, own, status=504) == echo.UPSTREAM_TIMEOUT
    assert echo.check(body, other, status=504) == echo.MISMATCHED
