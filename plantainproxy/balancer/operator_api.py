"""The operator RPC handlers of a balancer, and the gauges that it exports."""

from collections import abc

import trio

from plantainproxy.balancer import context as balancer_context
from plantainproxy.balancer import explanation, operations, status_report
from plantainproxy.membership import balancer as membership
from plantainproxy.rpc import operator_pb2, operator_service
from plantainproxy.store import seats


def operator_handlers(
    context: balancer_context.BalancerContext,
) -> operator_service.Handlers:
    """Return the handlers of the operator service."""

    async def show(request: operator_pb2.ShowRequest) -> operator_pb2.ShowReply:
        return operations.show(context.documents.configuration())

    async def change(request: operator_pb2.ChangeRequest) -> operator_pb2.ChangeReply:
        return await operations.apply_change(context.access, request)

    async def status(request: operator_pb2.StatusRequest) -> operator_pb2.StatusReply:
        return status_of(context)

    async def audit(request: operator_pb2.AuditRequest) -> operator_pb2.AuditReply:
        return await operations.read_audit(context.access, request)

    async def explain(
        request: operator_pb2.ExplainRequest,
    ) -> operator_pb2.ExplainReply:
        datapath_state = context.datapath
        now = trio.current_time()
        return explanation.explain(
            datapath_state.routing, datapath_state.key_ring, request, now=now
        )

    async def rotate_keys(
        request: operator_pb2.RotateKeysRequest,
    ) -> operator_pb2.RotateKeysReply:
        return await operations.rotate_keys(context.access, request)

    return operator_service.Handlers(
        show=show,
        change=change,
        status=status,
        audit=audit,
        explain=explain,
        rotate_keys=rotate_keys,
    )


def status_of(context: balancer_context.BalancerContext) -> operator_pb2.StatusReply:
    """Return the status of this balancer and of the members in its table."""
    documents = context.documents.current
    records = context.members.state.table.records.values()
    return operator_pb2.StatusReply(
        rpc_address=str(context.settings.rpc_address),
        domain=context.settings.domain,
        revision=documents.configuration_revision,
        key_revision=documents.key_revision,
        in_service=balancer_context.is_in_service(context),
        isolated=membership.is_isolated(context.members),
        seat_holder=seats.is_holder(context.seats),
        store="reachable" if context.seats.failures == 0 else "unreachable",
        members=[status_report.render_member(record) for record in records],
        sidecars=status_report.revision_reports(
            context.reports, now=trio.current_time()
        ),
        counters=status_report.counter_values(context.datapath.counters),
    )


def gauges(context: balancer_context.BalancerContext) -> abc.Mapping[str, float]:
    """Return the current value of each gauge."""
    documents = context.documents.current
    now = trio.current_time()
    return {
        "revision": documents.configuration_revision,
        "key_revision": documents.key_revision,
        "lagging_sidecars": status_report.count_lagging(
            context.reports, documents.configuration_revision, now=now
        ),
        "members": len(context.members.state.table.records),
        "in_service": balancer_context.is_in_service(context),
        "isolated": membership.is_isolated(context.members),
        "blind": membership.is_majority_silent(context.members),
        "seat_holder": seats.is_holder(context.seats),
        "store_failures": context.seats.failures,
    }
