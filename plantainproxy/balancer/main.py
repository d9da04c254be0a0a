"""The ``plantain-balancer`` binary."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
import contextlib
import dataclasses
import gc
import logging
import random
import time

import fire
import trio

from plantainproxy import _daemon, _lifecycle, _types
from plantainproxy.balancer import (
    datapath,
    explanation,
    health,
    observed,
    operations,
    revisions,
    service,
)
from plantainproxy.config import follow
from plantainproxy.core import configuration as configuration_core
from plantainproxy.core import routing
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import (
    bridge,
    messages,
    methods,
    operator_pb2,
    operator_service,
)
from plantainproxy.settings import check, model
from plantainproxy.store import etcd, port, seat_rules, seats
from plantainproxy.telemetry import metrics, names

logger = logging.getLogger("plantain.balancer")

SERVICE_CHECK_SECONDS = 0.1
FABRIC_NOTICE_SECONDS = 1.0
"""How long the fabric may go on sending after the health address was closed."""
CHANNEL_BUFFER = 16
COLLECTOR_ALLOCATIONS = 50_000
"""Allocations between two runs of the garbage collector, whose full runs would hold
up the datapath."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The parts of one running balancer."""

    settings: model.BalancerSettings
    holder: revisions.Holder
    members: membership.MemberTable
    reports: observed.Reports
    seats: seats.Seats
    datapath: datapath.State
    lifecycle: _lifecycle.Lifecycle
    access: operations.Access


def _own_record(settings: model.BalancerSettings) -> _types.MemberRecord:
    return _types.MemberRecord(
        kind=_types.MemberKind.BALANCER,
        rpc=settings.rpc_address,
        domain=settings.domain,
        generation=int(time.time() * 1000),
        sequence=1,
    )


def _fleet_size(members: membership.MemberTable, domain: str) -> int:
    """Count the known balancers of one failure domain."""
    records = members.state.table.records.values()
    return max(
        1,
        sum(
            1
            for record in records
            if record.kind is _types.MemberKind.BALANCER and record.domain == domain
        ),
    )


def _is_in_service(parts: Parts) -> bool:
    return service.in_service(
        service.Condition(
            held=parts.holder.held,
            domain=parts.settings.domain,
            stopping=parts.lifecycle.stopping.is_set(),
            isolated=membership.is_isolated(parts.members),
            store_reachable=parts.seats.failures == 0,
        )
    )


def _operator_handlers(parts: Parts) -> operator_service.Handlers:
    """Return the functions that answer operators."""

    async def show(request: operator_pb2.ShowRequest) -> operator_pb2.ShowReply:
        return operations.show(parts.holder.configuration())

    async def change(request: operator_pb2.ChangeRequest) -> operator_pb2.ChangeReply:
        return await operations.apply_change(parts.access, request)

    async def status(request: operator_pb2.StatusRequest) -> operator_pb2.StatusReply:
        return _status(parts)

    async def audit(request: operator_pb2.AuditRequest) -> operator_pb2.AuditReply:
        return await operations.read_audit(parts.access, request)

    async def explain(
        request: operator_pb2.ExplainRequest,
    ) -> operator_pb2.ExplainReply:
        held = parts.datapath
        now = trio.current_time()
        return explanation.explain(held.routing, held.ring, request, now=now)

    async def rotate_keys(
        request: operator_pb2.RotateKeysRequest,
    ) -> operator_pb2.RotateKeysReply:
        return await operations.rotate_keys(parts.access, request)

    return operator_service.Handlers(
        show=show,
        change=change,
        status=status,
        audit=audit,
        explain=explain,
        rotate_keys=rotate_keys,
    )


def _status(parts: Parts) -> operator_pb2.StatusReply:
    held = parts.holder.held
    records = parts.members.state.table.records.values()
    return operator_pb2.StatusReply(
        rpc_address=str(parts.settings.rpc_address),
        domain=parts.settings.domain,
        revision=held.configuration_revision,
        key_revision=held.key_revision,
        in_service=_is_in_service(parts),
        isolated=membership.is_isolated(parts.members),
        seat_holder=seats.is_holder(parts.seats),
        store="reachable" if parts.seats.failures == 0 else "unreachable",
        members=[observed.member(record) for record in records],
        sidecars=observed.revisions_seen(parts.reports, now=trio.current_time()),
        counters=observed.counters(parts.datapath.counters),
    )


async def _follow_members(parts: Parts) -> None:
    """Hand each changed pool and our own blindness on to the datapath."""
    blind = False
    async for changed in parts.members.changes:
        await parts.holder.send_events.send(
            routing.MembersChanged(pool=changed.pool, records=changed.records)
        )
        if membership.is_blind(parts.members) != blind:
            blind = not blind
            await parts.holder.send_events.send(routing.BlindnessChanged(blind=blind))


async def _follow_documents(
    parts: Parts, news: trio.MemoryReceiveChannel[configuration_core.Document]
) -> None:
    async for document in news:
        await revisions.offer(parts.holder, document)


async def _follow_seats(
    parts: Parts, holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]]
) -> None:
    async for addresses in holders:
        others = set(addresses) - {parts.settings.rpc_address}
        membership.add_contacts(parts.members, others)


async def _watch_service(parts: Parts, sender: trio.MemorySendChannel[bool]) -> None:
    """Tell the health listener whenever we come into or leave service."""
    told = False
    while True:
        present = _is_in_service(parts)
        if present is not told:
            await sender.send(present)
            told = present
        await trio.sleep(SERVICE_CHECK_SECONDS)


def _make_parts(
    settings: model.BalancerSettings,
    lifecycle: _lifecycle.Lifecycle,
    store: port.Store,
    client: bridge.Client,
    channels: "_Channels",
) -> Parts:
    holder = revisions.Holder()
    generator = random.Random()
    members = membership.MemberTable(
        _own_record(settings),
        client=client,
        revisions=holder,
        seeds=settings.seeds,
        gossip_interval_seconds=settings.gossip_interval_seconds,
        heartbeat_interval_seconds=settings.heartbeat_interval_seconds,
        rng=generator,
    )
    follower = follow.Follower(
        store,
        prefix=settings.store.prefix,
        held=lambda: holder.held,
        news=channels.send_documents,
        wall_clock=time.time,
        generator=generator,
    )

    async def as_holder() -> None:
        await follow.run(follower)

    return Parts(
        settings=settings,
        holder=holder,
        members=members,
        reports=observed.Reports(),
        seats=seats.Seats(
            store,
            seat_rules.Identity(
                prefix=settings.store.prefix,
                domain=settings.domain,
                rpc=settings.rpc_address,
            ),
            as_holder=as_holder,
            holders=channels.send_holders,
            fleet_size=lambda: _fleet_size(members, settings.domain),
            urgent=lambda: holder.held.configuration is None,
            generator=generator,
        ),
        datapath=datapath.State(),
        lifecycle=lifecycle,
        access=operations.Access(
            store=store,
            prefix=settings.store.prefix,
            wall_clock=time.time,
            offer=holder.offer_configuration,
            offer_keys=holder.offer_key_set,
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Channels:
    """The channels between the parts."""

    send_documents: trio.MemorySendChannel[configuration_core.Document]
    documents: trio.MemoryReceiveChannel[configuration_core.Document]
    send_holders: trio.MemorySendChannel[tuple[_types.Address, ...]]
    holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]]


def _open_channels() -> _Channels:
    send_documents, documents = trio.open_memory_channel[configuration_core.Document](
        CHANNEL_BUFFER
    )
    send_holders, holders = trio.open_memory_channel[tuple[_types.Address, ...]](
        CHANNEL_BUFFER
    )
    return _Channels(
        send_documents=send_documents,
        documents=documents,
        send_holders=send_holders,
        holders=holders,
    )


def _peer_handlers(parts: Parts) -> dict[methods.Method, bridge.Handler]:
    handlers = dict(membership.handlers(parts.members))
    serve = handlers[methods.Method.HEARTBEAT]

    def serve_and_note(request: messages.HeartbeatRequest) -> Awaitable[object]:
        observed.note(parts.reports, request, now=trio.current_time())
        return serve(request)

    handlers[methods.Method.HEARTBEAT] = serve_and_note
    return handlers


@contextlib.asynccontextmanager
async def _serving(parts: Parts) -> AsyncIterator[None]:
    """Answer peers, sidecars and operators while the context lasts."""
    settings = parts.settings
    operator_handler = operator_service.generic_handler(_operator_handlers(parts))
    async with bridge.serve(
        settings.rpc_address,
        _peer_handlers(parts),
        tls=settings.tls,
        extra_handlers=(operator_handler,),
        grace_seconds=settings.grace_seconds,
    ):
        yield


async def _leave(parts: Parts) -> None:
    """Let the fabric notice, go on forwarding meanwhile, then tell the peers."""
    membership.set_state(parts.members, _types.MemberState.DRAINING)
    await trio.sleep(min(FABRIC_NOTICE_SECONDS, parts.settings.grace_seconds))
    await membership.leave(parts.members)


async def _run_parts(
    parts: Parts, channels: _Channels, read: Callable[[], model.BalancerSettings]
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


def _gauges(parts: Parts) -> Mapping[str, float]:
    held = parts.holder.held
    now = trio.current_time()
    return {
        "revision": held.configuration_revision,
        "key_revision": held.key_revision,
        "lagging_sidecars": observed.lagging(
            parts.reports, held.configuration_revision, now=now
        ),
        "members": len(parts.members.state.table.records),
        "in_service": _is_in_service(parts),
        "isolated": membership.is_isolated(parts.members),
        "blind": membership.is_blind(parts.members),
        "seat_holder": seats.is_holder(parts.seats),
        "store_failures": parts.seats.failures,
    }


async def _report_metrics(parts: Parts) -> None:
    await metrics.report(
        parts.settings.telemetry,
        part=names.Part.BALANCER,
        instance=parts.settings.rpc_address,
        counters=lambda: observed.counters(parts.datapath.counters),
        gauges=lambda: _gauges(parts),
    )


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: Callable[[], model.BalancerSettings]
) -> None:
    settings = read()
    channels = _open_channels()
    async with (
        etcd.open_store(settings.store) as store,
        bridge.open_client(settings.tls) as client,
    ):
        parts = _make_parts(settings, lifecycle, store, client, channels)
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
