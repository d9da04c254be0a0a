"""What a balancer answers operators and tells the metrics server."""

from collections import abc

import trio

from plantainproxy.balancer import explanation, observed, operations
from plantainproxy.balancer import parts as balancer_parts
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import operator_pb2, operator_service
from plantainproxy.store import seats


def operator_handlers(parts: balancer_parts.Parts) -> operator_service.Handlers:
    """Return the functions that answer operators."""

    async def show(request: operator_pb2.ShowRequest) -> operator_pb2.ShowReply:
        return operations.show(parts.holder.configuration())

    async def change(request: operator_pb2.ChangeRequest) -> operator_pb2.ChangeReply:
        return await operations.apply_change(parts.access, request)

    async def status(request: operator_pb2.StatusRequest) -> operator_pb2.StatusReply:
        return status_of(parts)

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


def status_of(parts: balancer_parts.Parts) -> operator_pb2.StatusReply:
    """Return what this balancer knows of itself and of the members."""
    held = parts.holder.held
    records = parts.members.state.table.records.values()
    return operator_pb2.StatusReply(
        rpc_address=str(parts.settings.rpc_address),
        domain=parts.settings.domain,
        revision=held.configuration_revision,
        key_revision=held.key_revision,
        in_service=balancer_parts.is_in_service(parts),
        isolated=membership.is_isolated(parts.members),
        seat_holder=seats.is_holder(parts.seats),
        store="reachable" if parts.seats.failures == 0 else "unreachable",
        members=[observed.member(record) for record in records],
        sidecars=observed.revisions_seen(parts.reports, now=trio.current_time()),
        counters=observed.counters(parts.datapath.counters),
    )


def gauges(parts: balancer_parts.Parts) -> abc.Mapping[str, float]:
    """Return the present value of each gauge."""
    held = parts.holder.held
    now = trio.current_time()
    return {
        "revision": held.configuration_revision,
        "key_revision": held.key_revision,
        "lagging_sidecars": observed.lagging(
            parts.reports, held.configuration_revision, now=now
        ),
        "members": len(parts.members.state.table.records),
        "in_service": balancer_parts.is_in_service(parts),
        "isolated": membership.is_isolated(parts.members),
        "blind": membership.is_blind(parts.members),
        "seat_holder": seats.is_holder(parts.seats),
        "store_failures": parts.seats.failures,
    }
