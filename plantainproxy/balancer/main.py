"""The ``plantain-balancer`` binary."""

from collections import abc
import contextlib
import gc
import logging

import fire
import trio

from plantainproxy import _daemon, _lifecycle, _types
from plantainproxy.balancer import answers, datapath, health, observed, revisions
from plantainproxy.balancer import parts as balancer_parts
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
from plantainproxy.telemetry import metrics, names

logger = logging.getLogger("plantain.balancer")

SERVICE_CHECK_SECONDS = 0.1
FABRIC_NOTICE_SECONDS = 1.0
"""How long the fabric may go on sending after the health address was closed."""
COLLECTOR_ALLOCATIONS = 50_000
"""Allocations between two runs of the garbage collector, whose full runs would hold
up the datapath."""


async def _follow_members(parts: balancer_parts.Parts) -> None:
    """Hand each changed pool and our own blindness on to the datapath."""
    blind = False
    async for changed in parts.members.changes:
        await parts.holder.send_events.send(
            routing.MembersChanged(pool=changed.pool, records=changed.records)
        )
        if membership.is_blind(parts.members) != blind:
            blind = not blind
            await parts.holder.send_events.send(
                routing.MajoritySilentChanged(majority_silent=blind)
            )


async def _follow_documents(
    parts: balancer_parts.Parts,
    news: trio.MemoryReceiveChannel[configuration_core.Document],
) -> None:
    async for document in news:
        await revisions.offer(parts.holder, document)


async def _follow_seats(
    parts: balancer_parts.Parts,
    holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]],
) -> None:
    async for addresses in holders:
        others = set(addresses) - {parts.settings.rpc_address}
        membership.add_contacts(parts.members, others)


async def _watch_service(
    parts: balancer_parts.Parts, sender: trio.MemorySendChannel[bool]
) -> None:
    """Tell the health listener whenever we come into or leave service."""
    told = False
    while True:
        present = balancer_parts.is_in_service(parts)
        if present is not told:
            await sender.send(present)
            told = present
        await trio.sleep(SERVICE_CHECK_SECONDS)


def _peer_handlers(parts: balancer_parts.Parts) -> dict[methods.Method, bridge.Handler]:
    handlers = dict(membership.handlers(parts.members))
    serve = handlers[methods.Method.HEARTBEAT]

    def serve_and_note(request: messages.HeartbeatRequest) -> abc.Awaitable[object]:
        observed.note(parts.reports, request, now=trio.current_time())
        return serve(request)

    handlers[methods.Method.HEARTBEAT] = serve_and_note
    return handlers


@contextlib.asynccontextmanager
async def _serving(parts: balancer_parts.Parts) -> abc.AsyncIterator[None]:
    """Answer peers, sidecars and operators while the context lasts."""
    settings = parts.settings
    operator_handler = operator_service.generic_handler(
        answers.operator_handlers(parts)
    )
    async with bridge.serve(
        settings.rpc_address,
        _peer_handlers(parts),
        tls=settings.tls,
        extra_handlers=(operator_handler,),
        grace_seconds=settings.grace_seconds,
    ):
        yield


async def _leave(parts: balancer_parts.Parts) -> None:
    """Let the fabric notice, go on forwarding meanwhile, then tell the peers."""
    membership.set_state(parts.members, _types.MemberState.DRAINING)
    await trio.sleep(min(FABRIC_NOTICE_SECONDS, parts.settings.grace_seconds))
    await membership.leave(parts.members)


async def _run_parts(
    parts: balancer_parts.Parts,
    channels: balancer_parts.Channels,
    read: abc.Callable[[], model.BalancerSettings],
) -> None:
    settings = parts.settings
    send_service, in_service = trio.open_memory_channel[bool](1)
    datagrams = datapath.open_socket(settings.datagram_address)
    with contextlib.closing(datagrams):
        async with trio.open_nursery() as nursery, _serving(parts):
            await nursery.start(health.run, settings.health_address, in_service)
            nursery.start_soon(
                datapath.run, parts.datapath, datagrams, parts.holder.events
            )
            nursery.start_soon(membership.run, parts.members)
            nursery.start_soon(seats.run, parts.seats)
            nursery.start_soon(_follow_members, parts)
            nursery.start_soon(_follow_documents, parts, channels.documents)
            nursery.start_soon(_follow_seats, parts, channels.holders)
            nursery.start_soon(_watch_service, parts, send_service)
            nursery.start_soon(_daemon.reload_forever, parts.lifecycle, settings, read)
            nursery.start_soon(_report_metrics, parts)
            logger.info("Started in failure domain %s.", settings.domain)
            _calm_collector()
            print(f"ready {settings.rpc_address}", flush=True)
            await parts.lifecycle.stopping.wait()
            await _leave(parts)
            nursery.cancel_scope.cancel()
    logger.info("Stopped.")


def _calm_collector() -> None:
    """Keep what lives as long as the process out of the garbage collector's runs."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTOR_ALLOCATIONS)


async def _report_metrics(parts: balancer_parts.Parts) -> None:
    await metrics.report(
        parts.settings.telemetry,
        part=names.Part.BALANCER,
        instance=parts.settings.rpc_address,
        counters=lambda: observed.counters(parts.datapath.counters),
        gauges=lambda: answers.gauges(parts),
    )


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: abc.Callable[[], model.BalancerSettings]
) -> None:
    settings = read()
    channels = balancer_parts.open_channels()
    async with (
        etcd.open_store(settings.store) as store,
        bridge.open_client(settings.tls) as client,
    ):
        parts = balancer_parts.make(settings, lifecycle, store, client, channels)
        await _run_parts(parts, channels, read)


def run(settings: str, check_only: bool = False) -> None:
    """Forward the fabric's datagrams to the sidecars of the right pool.

    --settings names the TOML file; --check-only reads and checks it and ends.
    """
    _daemon.run(
        settings,
        check_only=check_only,
        settings_type=model.BalancerSettings,
        check=check.check_balancer,
        body=_run,
    )


def main() -> None:
    """Run the process's own command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
