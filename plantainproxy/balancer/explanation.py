"""Explanations for operators of how the connections of a service are routed."""

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import packets, routing, slots
from plantainproxy.rpc import operator_pb2
from plantainproxy.wire import connection_id, keyring


def explain(
    state: routing.State,
    key_ring: keyring.Keyring | None,
    request: operator_pb2.ExplainRequest,
    *,
    now: float,
) -> operator_pb2.ExplainReply:
    """Explain the routing of a service address, or of one packet to it.

    Without a flow, the reply has the share of new connections of each upstream.
    ``request.flow`` is a connection ID in hexadecimal.
    """
    configuration = state.configuration
    if configuration is None or key_ring is None:
        raise _exceptions.PlantainError(_exceptions.ErrorKind.NOT_READY)
    route = _find_route(configuration, request.service)
    reply = operator_pb2.ExplainReply(route=route.name, pool=route.pool)
    if not request.flow:
        reply.reasons.extend(_eligibility_reasons(configuration, state, route))
        _add_shares(reply, state.tables[route.pool])
        return reply
    flow_key = _flow_key(request.flow)
    destination = connection_id.decode(key_ring, flow_key)
    if destination is None:
        _explain_opening(reply, configuration, state, route, flow_key, now)
    else:
        _explain_established(reply, state, route, destination, flow_key, now)
    return reply


def _find_route(configuration: model.Configuration, service: str) -> model.Route:
    for route in configuration.routes:
        if str(route.address) == service:
            return route
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.NOT_FOUND, f"No route has address {service}."
    )


def _flow_key(text: str) -> bytes:
    try:
        return bytes.fromhex(text.removeprefix("0x"))
    except ValueError:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.BAD_REQUEST,
            f"Expected a connection ID in hexadecimal, got {text!r}.",
        ) from None


def _add_shares(reply: operator_pb2.ExplainReply, table: slots.Table) -> None:
    """Add each upstream's share of the slots to the reply."""
    slot_counts: dict[_types.Address, int] = {}
    for index in table.owners:
        if index >= 0:
            address = table.tunnels[index]
            slot_counts[address] = slot_counts.get(address, 0) + 1
    for address, count in sorted(slot_counts.items()):
        share = count / len(table.owners)
        reply.shares.append(operator_pb2.Share(upstream=str(address), share=share))


def _explain_opening(
    reply: operator_pb2.ExplainReply,
    configuration: model.Configuration,
    state: routing.State,
    route: model.Route,
    flow_key: bytes,
    now: float,
) -> None:
    """Explain which upstream the slot table selects for an opening packet."""
    reply.reasons.append("The connection ID names no upstream, so it opens a line.")
    reply.reasons.extend(_eligibility_reasons(configuration, state, route))
    pick = slots.pick(state.tables[route.pool], packets.flow_hash(flow_key), now=now)
    if pick is None:
        reply.reasons.append("No upstream is eligible, so the packet is dropped.")
        return
    reply.upstream = str(pick.tunnel)
    reply.reasons.append(f"The line's slot belongs to {pick.tunnel}.")
    reply.reasons.append(
        "It may hand the line on to another upstream while it is at its limit."
    )
    reply.reasons.extend(
        f"The slot belonged to {owner} within the last "
        f"{slots.EARLIER_OWNER_SECONDS:.0f} s, so lines that it opened stay there."
        for owner in pick.earlier_owners
    )


def _explain_established(
    reply: operator_pb2.ExplainReply,
    state: routing.State,
    route: model.Route,
    destination: packets.Destination,
    flow_key: bytes,
    now: float,
) -> None:
    """Explain the routing of a packet whose connection ID encodes its upstream."""
    upstream = connection_id.tunnel_address(destination)
    reply.reasons.append(f"The connection ID names upstream {upstream}.")
    packet = packets.Packet(
        flow_key=flow_key,
        service=route.address.pack(),
        opening=False,
        destination=destination,
    )
    match routing.route(state, packet, now=now):
        case routing.Drop(reason=reason):
            reply.reasons.append(f"The packet is dropped: {reason}.")
        case routing.Reset():
            reply.reasons.append("The line has ended: its caller gets a reset.")
        case _:
            reply.upstream = str(upstream)
            reply.reasons.append("The line is established and its packets go there.")


def _eligibility_reasons(
    configuration: model.Configuration, state: routing.State, route: model.Route
) -> list[str]:
    """Return sentences: how many upstreams are eligible, and why the others are not."""
    records = state.records.get(route.pool, ())
    eligible = {
        member.tunnel for member in routing.eligible_members(configuration, records)
    }
    reasons = [
        f"Route {route.name} leads to pool {route.pool}.",
        f"{len(eligible)} of {len(records)} known upstreams are eligible.",
    ]
    domains_out = {
        domain.name
        for domain in configuration.domains
        if domain.state is _types.DomainState.OUT
    }
    for record in records:
        if record.tunnel in eligible:
            continue
        reasons.append(
            f"{record.tunnel} is not: "
            f"{_ineligibility_reason(record, configuration, domains_out)}."
        )
    return reasons


def _ineligibility_reason(
    record: _members.MemberRecord,
    configuration: model.Configuration,
    domains_out: set[str],
) -> str:
    if record.lost:
        return "it is lost"
    if record.tunnel in configuration.drained:
        return "operators drain it"
    if record.state is not _types.MemberState.SERVING:
        return f"it is {record.state}"
    if record.domain in domains_out:
        return f"failure domain {record.domain} is out"
    return f"failure domain {record.domain} is not configured"
