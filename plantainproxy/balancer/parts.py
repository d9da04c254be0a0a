"""The parts of one balancer and how they are joined."""

import dataclasses
import random
import time

import trio

from plantainproxy import _lifecycle, _types
from plantainproxy.balancer import datapath, observed, operations, revisions, service
from plantainproxy.config import follow
from plantainproxy.core import configuration as configuration_core
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import bridge
from plantainproxy.settings import model
from plantainproxy.store import port, seat_rules, seats

CHANNEL_BUFFER = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The parts of one running balancer."""

    settings: model.BalancerSettings
    holder: revisions.Holder
    members: membership.MemberTable
    reports: observed.Reports
    seats: seats.SeatManager
    datapath: datapath.State
    lifecycle: _lifecycle.Lifecycle
    access: operations.Access


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Channels:
    """The channels between the parts."""

    send_documents: trio.MemorySendChannel[configuration_core.Document]
    documents: trio.MemoryReceiveChannel[configuration_core.Document]
    send_holders: trio.MemorySendChannel[tuple[_types.Address, ...]]
    holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]]


def open_channels() -> Channels:
    """Make the channels of one balancer."""
    send_documents, documents = trio.open_memory_channel[configuration_core.Document](
        CHANNEL_BUFFER
    )
    send_holders, holders = trio.open_memory_channel[tuple[_types.Address, ...]](
        CHANNEL_BUFFER
    )
    return Channels(
        send_documents=send_documents,
        documents=documents,
        send_holders=send_holders,
        holders=holders,
    )


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


def make(
    settings: model.BalancerSettings,
    lifecycle: _lifecycle.Lifecycle,
    store: port.Store,
    client: bridge.Client,
    channels: Channels,
) -> Parts:
    """Make the parts; nothing runs yet."""
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
        current_documents=lambda: holder.held,
        updates=channels.send_documents,
        wall_clock=time.time,
        generator=generator,
    )

    async def run_as_holder() -> None:
        await follow.run(follower)

    return Parts(
        settings=settings,
        holder=holder,
        members=members,
        reports=observed.Reports(),
        seats=seats.SeatManager(
            store,
            seat_rules.Identity(
                prefix=settings.store.prefix,
                domain=settings.domain,
                rpc=settings.rpc_address,
            ),
            run_as_holder=run_as_holder,
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


def is_in_service(parts: Parts) -> bool:
    """Tell whether the fabric may send datagrams here."""
    return service.in_service(
        service.Condition(
            held=parts.holder.held,
            domain=parts.settings.domain,
            stopping=parts.lifecycle.stopping.is_set(),
            isolated=membership.is_isolated(parts.members),
            store_reachable=parts.seats.failures == 0,
        )
    )
