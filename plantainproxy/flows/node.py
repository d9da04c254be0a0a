"""Tasks that balancers and sidecars have in common."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from plantainproxy import _http_server, _lifecycle, _types
from plantainproxy.flows import journal, policy, policy_exchange, settings
from plantainproxy.telemetry import exposition, logs

METRICS_PATH = "/metrics"
NOT_FOUND = _http_server.Response(404, b"{}")
READY = _http_server.Response(200, b"{}")
NOT_READY = _http_server.Response(503, b"{}")

T = TypeVar("T", bound=settings.NodeSettings)

TakePolicy = Callable[[policy.Policy], bool]


def run(
    read: Callable[[], T], body: Callable[[_lifecycle.Lifecycle, T], Awaitable[None]]
) -> None:
    """Read the settings and run a daemon until a signal ends it."""
    found: list[T] = []

    def read_once() -> T:
        found[:] = [read()]
        return found[0]

    _lifecycle.run_daemon(
        read=read_once,
        check_only=False,
        configure=lambda _: logs.configure_lines(),
        body=lambda lifecycle: body(lifecycle, found[0]),
    )


async def reload_forever(
    lifecycle: _lifecycle.Lifecycle, running: T, read: Callable[[], T]
) -> None:
    """Check the settings at each request to reload and tell what needs a restart."""
    async for _ in lifecycle.reloads:
        _lifecycle.reload(running, read, lambda _: None)


async def serve_readiness(
    address: _types.Address, is_ready: Callable[[], bool]
) -> None:
    """Answer health checks of this process."""
    await _http_server.serve(address, lambda _: READY if is_ready() else NOT_READY)


async def serve_metrics(
    address: _types.Address, log: journal.Journal, gauges: exposition.Gauges
) -> None:
    """Serve counters, gauges and histograms as text."""

    def handle(request: _http_server.Request) -> _http_server.Response:
        if request.path != METRICS_PATH:
            return NOT_FOUND
        body = exposition.render(log.counters, gauges(), log.histograms)
        return _http_server.Response(200, body, exposition.CONTENT_TYPE)

    await _http_server.serve(address, handle)


async def exchange_policies(
    exchange: policy_exchange.Exchange,
    node: settings.NodeSettings,
    take: TakePolicy,
) -> None:
    """Give the own policy to other processes and take newer ones from them."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(policy_exchange.pull_forever, exchange, take)
        await policy_exchange.serve(
            node.host, node.message_port, exchange.holder, log=exchange.log
        )
