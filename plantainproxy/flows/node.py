"""Tasks shared by balancers and sidecars."""

from collections import abc
import functools
import socket
import typing

import msgspec
import trio

from plantainproxy import _http_server, _lifecycle, _types
from plantainproxy.flows import (
    datagrams,
    event_log,
    follower,
    policy,
    policy_exchange,
    settings,
)
from plantainproxy.store import revisioned
from plantainproxy.telemetry import exposition, logs

METRICS_PATH = "/metrics"
NOT_FOUND = _http_server.Response(404, b"{}")
READY = _http_server.Response(200, b"{}")
NOT_READY = _http_server.Response(503, b"{}")

T = typing.TypeVar("T", bound=settings.NodeSettings)

ApplyPolicy = abc.Callable[[policy.Policy], bool]
"""Activates a policy unless it is outdated; returns whether it did."""
DecodePolicy = abc.Callable[[abc.Mapping[str, bytes], int], policy.Policy | None]
"""Builds a policy from the documents in the store and their revision."""


def run(
    read: abc.Callable[[], T],
    body: abc.Callable[[_lifecycle.Lifecycle, T], abc.Awaitable[None]],
) -> None:
    """Read the settings and run a daemon until it is stopped by a signal."""
    loaded: list[T] = []

    def read_and_store() -> T:
        loaded[:] = [read()]
        return loaded[0]

    _lifecycle.run_daemon(
        read=read_and_store,
        check_only=False,
        configure=lambda _: logs.configure_json_lines(),
        body=lambda lifecycle: body(lifecycle, loaded[0]),
    )


class NodeContext(msgspec.Struct, typing.Generic[T], frozen=True, kw_only=True):
    """Settings, dependencies and callbacks of the shared tasks of one process."""

    settings: T
    read_settings: abc.Callable[[], T]
    store: revisioned.RevisionedStore
    policy_prefix: str
    """Prefix of the store keys that hold the policy."""
    decode_policy: DecodePolicy
    apply_policy: ApplyPolicy
    exchange: policy_exchange.Exchange
    log: event_log.EventLog
    is_ready: abc.Callable[[], bool]
    gauges: exposition.Gauges
    receivers: tuple[tuple[socket.socket, datagrams.Handler], ...]
    """UDP sockets, each with the handler of its datagrams."""


def start(
    nursery: trio.Nursery, lifecycle: _lifecycle.Lifecycle, context: NodeContext[T]
) -> None:
    """Start the shared tasks.

    They watch the policy in the store, receive datagrams, serve readiness and metrics,
    exchange policies with other processes, and reload the settings.
    """
    node_settings = context.settings

    def apply_documents(documents: abc.Mapping[str, bytes], revision: int) -> None:
        decoded = context.decode_policy(documents, revision)
        if decoded is not None:
            context.apply_policy(decoded)

    nursery.start_soon(
        functools.partial(
            follower.follow,
            context.store,
            context.policy_prefix,
            apply_entries=apply_documents,
            log=context.log,
        )
    )
    for udp_socket, handle in context.receivers:
        nursery.start_soon(datagrams.receive_forever, udp_socket, handle)
    nursery.start_soon(serve_readiness, node_settings.ready_address, context.is_ready)
    nursery.start_soon(
        serve_metrics, node_settings.metrics_address, context.log, context.gauges
    )
    nursery.start_soon(
        exchange_policies, context.exchange, node_settings, context.apply_policy
    )
    nursery.start_soon(_reload_forever, lifecycle, node_settings, context.read_settings)


async def _reload_forever(
    lifecycle: _lifecycle.Lifecycle, active_settings: T, read: abc.Callable[[], T]
) -> None:
    """Check the settings at each reload request and log changes that need a restart."""
    async for _ in lifecycle.reloads:
        _lifecycle.reload(active_settings, read, lambda _: None)


async def serve_readiness(
    address: _types.Address, is_ready: abc.Callable[[], bool]
) -> None:
    """Serve the readiness of this process over HTTP."""
    await _http_server.serve(address, lambda _: READY if is_ready() else NOT_READY)


async def serve_metrics(
    address: _types.Address, log: event_log.EventLog, gauges: exposition.Gauges
) -> None:
    """Serve counters, gauges and histograms over HTTP in text format."""

    def handle(request: _http_server.Request) -> _http_server.Response:
        if request.path != METRICS_PATH:
            return NOT_FOUND
        body = exposition.render(log.counters, gauges(), log.histograms)
        return _http_server.Response(200, body, exposition.CONTENT_TYPE)

    await _http_server.serve(address, handle)


async def exchange_policies(
    exchange: policy_exchange.Exchange,
    node_settings: settings.NodeSettings,
    apply_policy: ApplyPolicy,
) -> None:
    """Serve the active policy to other processes and pull newer ones from them."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(policy_exchange.pull_forever, exchange, apply_policy)
        await policy_exchange.serve(
            node_settings.message_address, exchange.active_policy, log=exchange.log
        )
