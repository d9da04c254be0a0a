"""The task that owns the callers' QUIC connections.

Other tasks change its state only through messages. Datagrams, responses of finished
requests and updates of keys, configuration and members arrive in one inbox. The task
passes them to the QUIC endpoint, starts and cancels request tasks according to the
endpoint's events, and sends the endpoint's outgoing datagrams.
"""

import dataclasses
import functools
import logging

import trio

from plantainproxy import _exceptions
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, events
from plantainproxy.rpc import messages
from plantainproxy.sidecar import (
    connection_state,
    datagrams,
    graceful_close,
    inbox,
    tunnel,
)

_logger = logging.getLogger("plantain.lines")


async def run(connections: connection_state.Connections) -> None:
    """Process messages and timers until a planned stop has finished."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_receive_forever, connections)
        while not graceful_close.is_finished(connections, trio.current_time()):
            with trio.move_on_at(graceful_close.next_deadline(connections)):
                _handle_message(
                    connections,
                    await connections.receive.receive(),
                    trio.current_time(),
                )
            _advance(connections, nursery, trio.current_time())
        _close_all(connections, nursery)
        nursery.cancel_scope.cancel()


async def _receive_forever(connections: connection_state.Connections) -> None:
    while True:
        batch = await tunnel.receive_batch(connections.tunnel_socket)
        await connections.send.send(inbox.Datagrams(batch=batch))


def _advance(
    connections: connection_state.Connections, nursery: trio.Nursery, now: float
) -> None:
    """Run due timers, handle the endpoint's events and send its datagrams.

    Events are handled again after sending, since preparing datagrams can add events.
    """
    quic_endpoint = connections.endpoint
    if quic_endpoint is None:
        return
    quic_endpoint.handle_timer(now)
    graceful_close.send_due_goaways(connections, quic_endpoint, now)
    graceful_close.process_deadlines(connections, quic_endpoint, now)
    _dispatch(connections, quic_endpoint, nursery)
    datagrams.flush(connections, quic_endpoint, now)
    _dispatch(connections, quic_endpoint, nursery)


def _handle_message(
    connections: connection_state.Connections, message: inbox.Message, now: float
) -> None:
    match message:
        case inbox.Datagrams(batch=batch):
            for datagram in batch:
                datagrams.handle_datagram(connections, datagram, now)
        case inbox.RequestCompleted():
            _complete_request(connections, message)
        case (
            inbox.GenerationChanged()
            | inbox.KeysChanged()
            | inbox.ViewChanged() as update
        ):
            _apply_update(connections, update, now)
        case inbox.SiblingsChanged(records=records):
            connections.peers = handoff.classify_peers(
                connections.tunnel_address, records
            )
        case inbox.Drain(draining=draining):
            connections.draining = draining
        case inbox.Stop(grace_seconds=grace_seconds):
            graceful_close.begin_stop(connections, grace_seconds, now)


def _apply_update(
    connections: connection_state.Connections,
    update: inbox.GenerationChanged | inbox.KeysChanged | inbox.ViewChanged,
    now: float,
) -> None:
    """Apply a new generation, key set or view.

    They determine how connection IDs are issued and which connections stay open.
    """
    domain_was_in = connections.view is not None and connections.view.domain_in
    match update:
        case inbox.GenerationChanged(generation=generation):
            connections.generation = generation
        case inbox.KeysChanged(keys=keys):
            connections.keys = keys
        case inbox.ViewChanged(view=view):
            connections.view = view
    _update_endpoint(connections, now)
    if (
        domain_was_in
        and connections.view is not None
        and not connections.view.domain_in
    ):
        graceful_close.schedule_goaways(
            connections, graceful_close.DOMAIN_REMOVAL_GOAWAY_SECONDS, now
        )


def _update_endpoint(connections: connection_state.Connections, now: float) -> None:
    """Create the endpoint when keys and domain are available, or update it."""
    keys, view = connections.keys, connections.view
    if keys is None or view is None:
        return
    if view.domain_number >= 0:
        identity = endpoint.Identity(
            tunnel=connections.tunnel_address,
            domain_number=view.domain_number,
            generation=connections.generation,
        )
        if connections.endpoint is None:
            connections.endpoint = connections.make_endpoint(identity, keys)
        connections.endpoint.apply_identity(identity)
    if connections.endpoint is None:
        return
    connections.endpoint.apply_keys(keys)
    graceful_close.begin_closing_removed_services(
        connections, connections.endpoint, view, now
    )


def _complete_request(
    connections: connection_state.Connections, completed: inbox.RequestCompleted
) -> None:
    connections.request_scopes.pop((completed.connection, completed.stream), None)
    if connections.endpoint is not None:
        connections.endpoint.respond(
            completed.connection, completed.stream, completed.response
        )


def _dispatch(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    nursery: trio.Nursery,
) -> None:
    for event in quic_endpoint.take_events():
        match event:
            case events.RequestReceived():
                _start_request(connections, event, nursery)
            case events.RequestRefused():
                _refuse(connections, quic_endpoint, event)
            case events.RequestCancelled(connection=connection, stream=stream):
                _cancel_request(connections, connection, stream)
            case events.ConnectionOpened():
                connections.counters.lines_opened += 1
                _send_pending_goaway(connections, quic_endpoint, event)
            case events.ConnectionClosed(connection=connection):
                connections.counters.lines_closed += 1
                connections.close_deadlines.pop(connection, None)


def _send_pending_goaway(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    event: events.ConnectionOpened,
) -> None:
    """Send a GOAWAY on a connection that opened during a stop or a service removal."""
    if connections.stop_at is not None:
        quic_endpoint.send_goaway(event.connection)
    if connections.view is not None and event.service not in connections.view.services:
        quic_endpoint.send_goaway(event.connection, final=True)


def _start_request(
    connections: connection_state.Connections,
    event: events.RequestReceived,
    nursery: trio.Nursery,
) -> None:
    connections.counters.requests += 1
    scope = trio.CancelScope()
    connections.request_scopes[event.connection, event.stream] = scope
    nursery.start_soon(functools.partial(_run_request, connections, event, scope))


async def _run_request(
    connections: connection_state.Connections,
    event: events.RequestReceived,
    scope: trio.CancelScope,
) -> None:
    with scope:
        response = await _handle(connections.ports, event)
        await connections.send.send(
            inbox.RequestCompleted(
                connection=event.connection,
                stream=event.stream,
                response=_with_extra_headers(connections.ports, response),
            )
        )


async def _handle(
    ports: connection_state.Ports, event: events.RequestReceived
) -> messages.Response:
    try:
        return await ports.handle(event)
    except _exceptions.PlantainError as error:
        return ports.refuse(error.kind, error.detail)
    except Exception as error:
        _logger.error("Request handler raised %s: %s.", type(error).__name__, error)
        return ports.refuse(_exceptions.ErrorKind.INTERNAL, "")


def _refuse(
    connections: connection_state.Connections,
    quic_endpoint: endpoint.Endpoint,
    event: events.RequestRefused,
) -> None:
    connections.counters.requests_refused += 1
    response = connections.ports.refuse(event.kind, event.detail)
    quic_endpoint.respond(
        event.connection, event.stream, _with_extra_headers(connections.ports, response)
    )


def _with_extra_headers(
    ports: connection_state.Ports, response: messages.Response
) -> messages.Response:
    return dataclasses.replace(
        response, headers=response.headers + ports.extra_headers()
    )


def _cancel_request(
    connections: connection_state.Connections, connection: int, stream: int
) -> None:
    scope = connections.request_scopes.pop((connection, stream), None)
    if scope is not None:
        connections.counters.requests_cancelled += 1
        scope.cancel()


def _close_all(
    connections: connection_state.Connections, nursery: trio.Nursery
) -> None:
    quic_endpoint = connections.endpoint
    if quic_endpoint is None:
        return
    for number in list(quic_endpoint.connections):
        quic_endpoint.close(number)
    _dispatch(connections, quic_endpoint, nursery)
    datagrams.flush(connections, quic_endpoint, trio.current_time())
