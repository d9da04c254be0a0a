"""The components of one balancer and the channels between them."""

import dataclasses
import random
import time

import trio

from plantainproxy import _lifecycle, _members, _types
from plantainproxy.balancer import (
    active_documents,
    datapath,
    operations,
    service,
    status_report,
)
from plantainproxy.config import follow
from plantainproxy.core import configuration as configuration_core
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import bridge
from plantainproxy.settings import model
from plantainproxy.store import port, seat_rules, seats

CHANNEL_BUFFER = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalancerContext:
    """The components of one balancer that its tasks share."""

    settings: model.BalancerSettings
    documents: active_documents.ActiveDocuments
    members: membership.MemberTable
    reports: status_report.RevisionReports
    seats: seats.SeatManager
    datapath: datapath.State
    lifecycle: _lifecycle.Lifecycle
    access: operations.StoreAccess


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Channels:
    """Channels from the store tasks to the tasks of ``main``."""

    send_documents: trio.MemorySendChannel[configuration_core.Document]
    receive_documents: trio.MemoryReceiveChannel[configuration_core.Document]
    send_holders: trio.MemorySendChannel[tuple[_types.Address, ...]]
    holders: trio.MemoryReceiveChannel[tuple[_types.Address, ...]]


def open_channels() -> Channels:
    """Create the channels of one balancer."""
    send_documents, receive_documents = trio.open_memory_channel[
        configuration_core.Document
    ](CHANNEL_BUFFER)
    send_holders, holders = trio.open_memory_channel[tuple[_types.Address, ...]](
        CHANNEL_BUFFER
    )
    return Channels(
        send_documents=send_documents,
        receive_documents=receive_documents,
        send_holders=send_holders,
        holders=holders,
    )


def _local_record(settings: model.BalancerSettings) -> _members.MemberRecord:
    return _members.MemberRecord(
        kind=_types.MemberKind.BALANCER,
        rpc=settings.rpc_address,
        domain=settings.domain,
        generation=int(time.time() * 1000),
        sequence=1,
    )


def _fleet_size(members: membership.MemberTable, domain: str) -> int:
    """Return the number of balancers of a failure domain in the table, at least 1."""
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
) -> BalancerContext:
    """Create the components without starting any task."""
    documents = active_documents.ActiveDocuments()
    generator = random.Random()
    members = membership.MemberTable(
        _local_record(settings),
        client=client,
        documents=documents,
        seeds=settings.seeds,
        gossip_interval_seconds=settings.gossip_interval_seconds,
        heartbeat_interval_seconds=settings.heartbeat_interval_seconds,
        rng=generator,
    )
    follower = follow.Follower(
        store,
        prefix=settings.store.prefix,
        current_documents=lambda: documents.current,
        updates=channels.send_documents,
        wall_clock=time.time,
        generator=generator,
    )

    async def run_as_holder() -> None:
        await follow.run(follower)

    return BalancerContext(
        settings=settings,
        documents=documents,
        members=members,
        reports=status_report.RevisionReports(),
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
            urgent=lambda: documents.current.configuration is None,
            generator=generator,
        ),
        datapath=datapath.State(),
        lifecycle=lifecycle,
        access=operations.StoreAccess(
            store=store,
            prefix=settings.store.prefix,
            wall_clock=time.time,
            apply_configuration=documents.apply_configuration,
            apply_key_set=documents.apply_key_set,
        ),
    )


def is_in_service(context: BalancerContext) -> bool:
    """Whether the fabric may send datagrams to this balancer."""
    return service.is_in_service(
        service.Condition(
            documents=context.documents.current,
            domain=context.settings.domain,
            is_stopping=context.lifecycle.stopping.is_set(),
            is_isolated=membership.is_isolated(context.members),
            is_store_reachable=context.seats.failures == 0,
        )
    )
