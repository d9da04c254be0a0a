"""The ``plantain-balancer`` binary."""

from collections import abc
import contextlib
import gc
import logging

import fire
import trio

from plantainproxy import _daemon, _lifecycle, _types
from plantainproxy.balancer import (
    active_documents,
    datapath,
    health,
    operator_api,
    status_report,
)
from plantainproxy.balancer import context as balancer_context
from plantainproxy.core import configuration as configuration_core
from plantainproxy.core import routing
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import (
    bridge,
    messages,
    methods,
    operator_service,
)
from plantainproxy.settings import check, model
from plantainproxy.store import etcd, seats
from plantainproxy.telemetry import loop_lag, metrics, names

logger = logging.getLogger("plantain.balancer")

SERVICE_CHECK_INTERVAL_SECONDS = 0.1
FABRIC_DETECTION_SECONDS = 1.0
"""How long the fabric may continue to send after the health listener is closed."""
COLLECTION_THRESHOLD_ALLOCATIONS = 50_000
"""Allocations between garbage collections; frequent full ones delay the datapath."""


async def _forward_member_changes(context: balancer_context.BalancerContext) -> None:
    """Send changes of pools and of the majority-silent state to the datapath."""
    majority_silent = False
    async for change in context.members.changes:
        await context.documents.send_events.send(
            routing.MembersChanged(pool=change.pool, records=change.records)
        )
        if membership.is_majority_silent(context.members) != majority_silent:
            majority_silent = not majority_silent
            await context.documents.send_events.send(
                routing.MajoritySilentChanged(majority_silent=majority_silent)
            )


async def _apply_documents(
    context: balancer_context.BalancerContext,
    received: trio.MemoryReceiveChannel[configuration_core.Document],
) -> None:
    async for document in received:
        await active_documents.apply_document(context.documents, document)


async def _add_seat_contacts(
    context: balancer_context.BalancerContext,
    holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]],
) -> None:
    async for addresses in holders:
        others = set(addresses) - {context.settings.rpc_address}
        membership.add_contacts(context.members, others)


async def _report_service_changes(
    context: balancer_context.BalancerContext, sender: trio.MemorySendChannel[bool]
) -> None:
    """Notify the health listener when the balancer enters or leaves service."""
    last_sent = False
    while True:
        is_in_service = balancer_context.is_in_service(context)
        if is_in_service is not last_sent:
            await sender.send(is_in_service)
            last_sent = is_in_service
        await trio.sleep(SERVICE_CHECK_INTERVAL_SECONDS)


def _peer_handlers(
    context: balancer_context.BalancerContext,
) -> dict[methods.Method, bridge.Handler]:
    handlers = dict(membership.handlers(context.members))
    handle_heartbeat = handlers[methods.Method.HEARTBEAT]

    def record_and_handle(request: messages.HeartbeatRequest) -> abc.Awaitable[object]:
        status_report.record_heartbeat(
            context.reports, request, now=trio.current_time()
        )
        return handle_heartbeat(request)

    handlers[methods.Method.HEARTBEAT] = record_and_handle
    return handlers


@contextlib.asynccontextmanager
async def _rpc_server(
    context: balancer_context.BalancerContext,
) -> abc.AsyncIterator[None]:
    """Serve peers, sidecars and operators within the ``async with`` block."""
    settings = context.settings
    operator_handler = operator_service.generic_handler(
        operator_api.operator_handlers(context)
    )
    async with bridge.serve(
        settings.rpc_address,
        _peer_handlers(context),
        tls=settings.tls,
        extra_handlers=(operator_handler,),
        grace_seconds=settings.grace_seconds,
    ):
        yield


async def _drain_and_leave(context: balancer_context.BalancerContext) -> None:
    """Announce draining, wait for the fabric's health check, then notify the peers.

    Datagrams that arrive during the wait are still forwarded.
    """
    membership.set_state(context.members, _types.MemberState.DRAINING)
    await trio.sleep(min(FABRIC_DETECTION_SECONDS, context.settings.grace_seconds))
    await membership.leave(context.members)


async def _run_tasks(
    context: balancer_context.BalancerContext,
    channels: balancer_context.Channels,
    read: abc.Callable[[], model.BalancerSettings],
) -> None:
    settings = context.settings
    send_service, in_service = trio.open_memory_channel[bool](1)
    datagrams = datapath.open_socket(settings.datagram_address)
    with contextlib.closing(datagrams):
        async with trio.open_nursery() as nursery, _rpc_server(context):
            await nursery.start(health.run, settings.health_address, in_service)
            nursery.start_soon(
                datapath.run, context.datapath, datagrams, context.documents.events
            )
            nursery.start_soon(membership.run, context.members)
            nursery.start_soon(seats.run, context.seats)
            nursery.start_soon(_forward_member_changes, context)
            nursery.start_soon(_apply_documents, context, channels.receive_documents)
            nursery.start_soon(_add_seat_contacts, context, channels.holders)
            nursery.start_soon(_report_service_changes, context, send_service)
            nursery.start_soon(
                _daemon.reload_forever, context.lifecycle, settings, read
            )
            nursery.start_soon(_report_metrics, context)
            nursery.start_soon(loop_lag.monitor)
            logger.info("Started in failure domain %s.", settings.domain)
            _tune_garbage_collector()
            print(f"ready {settings.rpc_address}", flush=True)
            await context.lifecycle.stopping.wait()
            await _drain_and_leave(context)
            nursery.cancel_scope.cancel()
    logger.info("Stopped.")


def _tune_garbage_collector() -> None:
    """Exclude the objects created at start-up from later garbage collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD_ALLOCATIONS)


async def _report_metrics(context: balancer_context.BalancerContext) -> None:
    await metrics.report(
        context.settings.telemetry,
        part=names.Part.BALANCER,
        instance=context.settings.rpc_address,
        counters=lambda: status_report.counter_values(context.datapath.counters),
        gauges=lambda: operator_api.gauges(context),
    )


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: abc.Callable[[], model.BalancerSettings]
) -> None:
    settings = read()
    channels = balancer_context.open_channels()
    async with (
        etcd.open_store(settings.store) as store,
        bridge.open_client(settings.tls) as client,
    ):
        context = balancer_context.make(settings, lifecycle, store, client, channels)
        await _run_tasks(context, channels, read)


def run(settings: str, check_only: bool = False) -> None:
    """Forward the fabric's datagrams to the sidecars of the right pool.

    --settings is the path of the TOML file; --check-only validates it and exits.
    """
    _daemon.run(
        settings,
        check_only=check_only,
        settings_type=model.BalancerSettings,
        check=check.check_balancer,
        body=_run,
    )


def main() -> None:
    """Run the command-line interface of the process."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
