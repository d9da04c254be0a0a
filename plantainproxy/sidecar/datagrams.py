"""Routing of callers' datagrams between the tunnel socket and the QUIC endpoint.

Incoming tunnel messages go to the endpoint, are forwarded to a sibling, are answered
with a stateless reset or a version negotiation, or are dropped and counted.
"""

from plantainproxy import _types
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, stateless_reset
from plantainproxy.sidecar import connection_state, tunnel
from plantainproxy.wire import proxy
from plantainproxy.wire import tunnel as tunnel_format


def handle_datagram(
    connections: connection_state.Connections, message: bytes, now: float
) -> None:
    """Handle one message received on the tunnel socket.

    Messages are dropped until a key set and a configuration have been received, since
    neither the tunnel prefix nor the service address can be checked before.
    """
    counters = connections.counters
    quic_endpoint, view = connections.endpoint, connections.view
    if quic_endpoint is None or view is None:
        counters.before_keys += 1
        return
    received = tunnel.unpack(message, keys=quic_endpoint.keys)
    if received is None:
        counters.strangers += 1
        return
    counters.received += 1
    classified = quic_endpoint.classify(
        received.payload, caller=received.caller, service=received.service
    )
    if classified.kind is endpoint.DatagramKind.EXISTING_CONNECTION:
        quic_endpoint.receive(
            received.payload, caller=received.caller, service=received.service, now=now
        )
    elif received.service not in view.services:
        counters.unknown_service += 1
    elif classified.kind is endpoint.DatagramKind.INVALID or classified.packet is None:
        counters.invalid += 1
    elif classified.kind is endpoint.DatagramKind.UNKNOWN_CONNECTION:
        _reset(connections, quic_endpoint, received, classified, now)
    elif classified.kind is endpoint.DatagramKind.UNSUPPORTED_VERSION:
        quic_endpoint.send_version_negotiation(
            classified.packet, received.caller, received.service
        )
    else:
        _handle_opening(
            connections, quic_endpoint, received, classified.packet.destination_id, now
        )


def _reset(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    received: tunnel.CallerDatagram,
    classified: endpoint.ClassifiedDatagram,
    now: float,
) -> None:
    if classified.packet is None or not stateless_reset.acquire(
        connections.reset_budget, now=now
    ):
        connections.counters.resets_withheld += 1
        return
    connections.counters.resets += quic_endpoint.send_stateless_reset(
        classified.packet,
        caller=received.caller,
        service=received.service,
        trigger_bytes=len(received.payload),
    )


def _handle_opening(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    received: tunnel.CallerDatagram,
    flow_key: bytes,
    now: float,
) -> None:
    decision = handoff.decide(
        handoff.Opening(
            flow_key=flow_key,
            hops=received.hops,
            earlier_owners=received.earlier_owners,
        ),
        peers=connections.peers,
        forward_cache=connections.forward_cache,
        serving=connection_state.is_accepting(connections),
        allow_connection=lambda: connections.ports.allow_connection(now),
        now=now,
    )
    match decision.action:
        case handoff.Action.ACCEPT:
            quic_endpoint.accept(
                received.payload,
                caller=received.caller,
                service=received.service,
                now=now,
            )
        case handoff.Action.FORWARD:
            _forward(connections, quic_endpoint, received, decision)
        case handoff.Action.DROP:
            connections.counters.dropped_openings += 1


def _forward(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    received: tunnel.CallerDatagram,
    decision: handoff.Decision,
) -> None:
    prefix = tunnel_format.encode_prefix(
        quic_endpoint.keys.current.cookie,
        hops=decision.hops,
        earlier_owners=decision.earlier_owners,
    )
    connections.counters.forwarded += 1
    _send(
        connections, prefix + received.datagram, _types.Address.unpack(decision.target)
    )


def flush(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    now: float,
) -> None:
    """Send the endpoint's pending datagrams through the fabric, round-robin."""
    for outgoing in quic_endpoint.take_datagrams(now):
        header = proxy.encode(source=outgoing.service, destination=outgoing.caller)
        connections.counters.sent += 1
        _send(
            connections, header + outgoing.payload, next(connections.fabric_addresses)
        )


def _send(
    connections: connection_state.Connections, message: bytes, to: _types.Address
) -> None:
    if not tunnel.send(connections.tunnel_socket, message, to):
        connections.counters.send_failures += 1
