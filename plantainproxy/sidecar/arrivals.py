"""A caller's datagram on its way in and out of the sidecar."""

from plantainproxy import _types
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, stateless_reset
from plantainproxy.sidecar import line_state, tunnel
from plantainproxy.wire import proxy
from plantainproxy.wire import tunnel as tunnel_format


def take_datagram(lines: line_state.Lines, message: bytes, now: float) -> None:
    """Take in one message of the tunnel socket."""
    counters = lines.counters
    held, view = lines.endpoint, lines.view
    if held is None or view is None:
        counters.before_keys += 1
        return
    arrival = tunnel.unpack(message, keys=held.keys)
    if arrival is None:
        counters.strangers += 1
        return
    counters.received += 1
    verdict = held.classify(
        arrival.payload, caller=arrival.caller, service=arrival.service
    )
    if verdict.kind is endpoint.DatagramKind.EXISTING_CONNECTION:
        held.receive(
            arrival.payload, caller=arrival.caller, service=arrival.service, now=now
        )
    elif arrival.service not in view.services:
        counters.unknown_service += 1
    elif verdict.kind is endpoint.DatagramKind.INVALID or verdict.packet is None:
        counters.invalid += 1
    elif verdict.kind is endpoint.DatagramKind.UNKNOWN_CONNECTION:
        _reset(lines, held, arrival, verdict, now)
    elif verdict.kind is endpoint.DatagramKind.UNSUPPORTED_VERSION:
        held.send_version_negotiation(verdict.packet, arrival.caller, arrival.service)
    else:
        _open(lines, held, arrival, verdict.packet.destination_id, now)


def _reset(
    lines: line_state.Lines,
    held: endpoint.Endpoint,
    arrival: tunnel.Arrival,
    verdict: endpoint.ClassifiedDatagram,
    now: float,
) -> None:
    if verdict.packet is None or not stateless_reset.acquire(
        lines.reset_budget, now=now
    ):
        lines.counters.resets_withheld += 1
        return
    lines.counters.resets += held.send_stateless_reset(
        verdict.packet,
        caller=arrival.caller,
        service=arrival.service,
        trigger_bytes=len(arrival.payload),
    )


def _open(
    lines: line_state.Lines,
    held: endpoint.Endpoint,
    arrival: tunnel.Arrival,
    flow_key: bytes,
    now: float,
) -> None:
    decision = handoff.decide(
        handoff.Opening(
            flow_key=flow_key,
            hops=arrival.hops,
            earlier_owners=arrival.earlier_owners,
        ),
        peers=lines.peers,
        forward_cache=lines.memory,
        serving=line_state.serving(lines),
        allow_connection=lambda: lines.ports.allow_line(now),
        now=now,
    )
    match decision.action:
        case handoff.Action.ACCEPT:
            held.accept(
                arrival.payload, caller=arrival.caller, service=arrival.service, now=now
            )
        case handoff.Action.FORWARD:
            _forward(lines, held, arrival, decision)
        case handoff.Action.DROP:
            lines.counters.dropped_openings += 1


def _forward(
    lines: line_state.Lines,
    held: endpoint.Endpoint,
    arrival: tunnel.Arrival,
    decision: handoff.Decision,
) -> None:
    prefix = tunnel_format.encode_prefix(
        held.keys.current.cookie,
        hops=decision.hops,
        earlier_owners=decision.earlier_owners,
    )
    lines.counters.forwarded += 1
    _send(lines, prefix + arrival.datagram, _types.Address.unpack(decision.target))


def flush(lines: line_state.Lines, held: endpoint.Endpoint, now: float) -> None:
    """Send to the fabric what the endpoint wants sent."""
    for outgoing in held.take_datagrams(now):
        header = proxy.encode(source=outgoing.service, destination=outgoing.caller)
        lines.counters.sent += 1
        _send(lines, header + outgoing.payload, next(lines.fabric_addresses))


def _send(lines: line_state.Lines, message: bytes, to: _types.Address) -> None:
    if not tunnel.send(lines.bound, message, to):
        lines.counters.send_failures += 1
