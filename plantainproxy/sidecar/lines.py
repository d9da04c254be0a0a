"""The callers' lines: one task owns them, and others talk to it by messages.

Datagrams, answers of running requests and news of the system arrive in one inbox. The
owner feeds them to the endpoint, starts and cancels request tasks as the endpoint
reports, and sends what the endpoint wants sent.
"""

import dataclasses
import functools
import logging

import trio

from plantainproxy import _exceptions
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, events
from plantainproxy.rpc import messages
from plantainproxy.sidecar import arrivals, endings, inbox, line_state, tunnel

_logger = logging.getLogger("plantain.lines")


async def run(lines: line_state.Lines) -> None:
    """Own the lines until a planned stop has ended."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_receive_forever, lines)
        while not endings.finished(lines, trio.current_time()):
            with trio.move_on_at(endings.next_time(lines)):
                _take_in(lines, await lines.receive.receive(), trio.current_time())
            _step(lines, nursery, trio.current_time())
        _close_all(lines, nursery)
        nursery.cancel_scope.cancel()


async def _receive_forever(lines: line_state.Lines) -> None:
    while True:
        batch = await tunnel.receive_batch(lines.bound)
        await lines.send.send(inbox.Datagrams(batch=batch))


def _step(lines: line_state.Lines, nursery: trio.Nursery, now: float) -> None:
    """Let the endpoint act on what came in, and carry out what it reports."""
    held = lines.endpoint
    if held is None:
        return
    held.handle_timer(now)
    endings.give_notices(lines, held, now)
    endings.close_due(lines, held, now)
    _dispatch(lines, held, nursery)
    arrivals.flush(lines, held, now)
    _dispatch(lines, held, nursery)


def _take_in(lines: line_state.Lines, message: inbox.Message, now: float) -> None:
    match message:
        case inbox.Datagrams(batch=batch):
            for datagram in batch:
                arrivals.take_datagram(lines, datagram, now)
        case inbox.Answered():
            _answer(lines, message)
        case (
            inbox.GenerationChanged()
            | inbox.KeysChanged()
            | inbox.ViewChanged() as news
        ):
            _take_news(lines, news, now)
        case inbox.SiblingsChanged(records=records):
            lines.peers = handoff.classify_peers(lines.own, records)
        case inbox.Drain(draining=draining):
            lines.draining = draining
        case inbox.Stop(grace_seconds=grace_seconds):
            endings.begin_stop(lines, grace_seconds, now)


def _take_news(
    lines: line_state.Lines,
    news: inbox.GenerationChanged | inbox.KeysChanged | inbox.ViewChanged,
    now: float,
) -> None:
    """Take what decides how connection IDs are made and which lines may stay."""
    was_in = lines.view is not None and lines.view.domain_in
    match news:
        case inbox.GenerationChanged(generation=generation):
            lines.generation = generation
        case inbox.KeysChanged(keys=keys):
            lines.keys = keys
        case inbox.ViewChanged(view=view):
            lines.view = view
    _refresh_endpoint(lines, now)
    if was_in and lines.view is not None and not lines.view.domain_in:
        endings.begin_notices(lines, endings.DOMAIN_NOTICE_SECONDS, now)


def _refresh_endpoint(lines: line_state.Lines, now: float) -> None:
    """Make the endpoint once keys and domain are known, and keep it up to date."""
    keys, view = lines.keys, lines.view
    if keys is None or view is None:
        return
    if view.domain_number >= 0:
        identity = endpoint.Identity(
            tunnel=lines.own,
            domain_number=view.domain_number,
            generation=lines.generation,
        )
        if lines.endpoint is None:
            lines.endpoint = lines.make_endpoint(identity, keys)
        lines.endpoint.apply_identity(identity)
    if lines.endpoint is None:
        return
    lines.endpoint.apply_keys(keys)
    endings.part_with_services(lines, lines.endpoint, view, now)


def _answer(lines: line_state.Lines, answered: inbox.Answered) -> None:
    lines.running.pop((answered.line, answered.stream), None)
    if lines.endpoint is not None:
        lines.endpoint.respond(answered.line, answered.stream, answered.response)


def _dispatch(
    lines: line_state.Lines, held: endpoint.Endpoint, nursery: trio.Nursery
) -> None:
    for event in held.take_events():
        match event:
            case events.RequestReceived():
                _start_request(lines, event, nursery)
            case events.RequestRefused():
                _refuse(lines, held, event)
            case events.RequestCancelled(connection=line, stream=stream):
                _cancel_request(lines, line, stream)
            case events.ConnectionOpened():
                lines.counters.lines_opened += 1
                _welcome(lines, held, event)
            case events.ConnectionClosed(connection=line):
                lines.counters.lines_closed += 1
                lines.closing.pop(line, None)


def _welcome(
    lines: line_state.Lines, held: endpoint.Endpoint, event: events.ConnectionOpened
) -> None:
    """Send a line on that was opened while its end had already been decided."""
    if lines.stop_at is not None:
        held.send_goaway(event.connection)
    if lines.view is not None and event.service not in lines.view.services:
        held.send_goaway(event.connection, final=True)


def _start_request(
    lines: line_state.Lines, event: events.RequestReceived, nursery: trio.Nursery
) -> None:
    lines.counters.requests += 1
    scope = trio.CancelScope()
    lines.running[event.connection, event.stream] = scope
    nursery.start_soon(functools.partial(_run_request, lines, event, scope))


async def _run_request(
    lines: line_state.Lines, event: events.RequestReceived, scope: trio.CancelScope
) -> None:
    with scope:
        response = await _handle(lines.ports, event)
        await lines.send.send(
            inbox.Answered(
                line=event.connection,
                stream=event.stream,
                response=_with_extra_headers(lines.ports, response),
            )
        )


async def _handle(
    ports: line_state.Ports, event: events.RequestReceived
) -> messages.Response:
    try:
        return await ports.handle(event)
    except _exceptions.PlantainError as error:
        return ports.refuse(error.kind, error.detail)
    except Exception as error:
        _logger.error("A request failed with %s: %s.", type(error).__name__, error)
        return ports.refuse(_exceptions.ErrorKind.INTERNAL, "")


def _refuse(
    lines: line_state.Lines, held: endpoint.Endpoint, event: events.RequestRefused
) -> None:
    lines.counters.requests_refused += 1
    response = lines.ports.refuse(event.kind, event.detail)
    held.respond(
        event.connection, event.stream, _with_extra_headers(lines.ports, response)
    )


def _with_extra_headers(
    ports: line_state.Ports, response: messages.Response
) -> messages.Response:
    return dataclasses.replace(
        response, headers=response.headers + ports.extra_headers()
    )


def _cancel_request(lines: line_state.Lines, line: int, stream: int) -> None:
    scope = lines.running.pop((line, stream), None)
    if scope is not None:
        lines.counters.requests_cancelled += 1
        scope.cancel()


def _close_all(lines: line_state.Lines, nursery: trio.Nursery) -> None:
    held = lines.endpoint
    if held is None:
        return
    for number in list(held.connections):
        held.close(number)
    _dispatch(lines, held, nursery)
    arrivals.flush(lines, held, trio.current_time())
