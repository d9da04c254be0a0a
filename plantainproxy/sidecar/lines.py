"""The callers' lines: one task owns them, and others talk to it by messages.

Datagrams, answers of running requests and news of the system arrive in one inbox. The
owner feeds them to the endpoint, starts and cancels request tasks as the endpoint
reports, and sends what the endpoint wants sent.
"""

import collections
from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import functools
import itertools
import logging
import socket

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, events, stateless_reset
from plantainproxy.rpc import messages
from plantainproxy.sidecar import inbox, tunnel
from plantainproxy.wire import keyring, proxy
from plantainproxy.wire import tunnel as tunnel_format

INBOX_MESSAGES = 256
FINAL_NOTICE_SECONDS = 1.0
"""How long before a line is closed its caller gets the final GOAWAY."""
NOTICE_SHARE = 0.5
"""Share of a stop's grace over which callers are told to go, one after another."""
DOMAIN_NOTICE_SECONDS = 1.0
"""Time over which callers are told to go when the failure domain is taken out."""
MOVED_SERVICE_GRACE_SECONDS = 5.0
"""How long a line of a service that has left the pool may still finish requests."""

_logger = logging.getLogger("plantain.lines")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What the lines need from the rest of the sidecar."""

    handle: Callable[[events.RequestReceived], Awaitable[messages.Response]]
    """Runs one request; it is cancelled when the caller gives up."""
    refuse: Callable[[_exceptions.ErrorKind, str], messages.Response]
    """Makes the response for an error kind and a detail."""
    extra_headers: Callable[[], tuple[messages.Header, ...]]
    """Header fields that every response carries."""
    allow_line: Callable[[float], bool]
    """Takes one new connection from the admission rate at the given time."""


class Lines:
    """The state of the owner task."""

    def __init__(
        self,
        *,
        bound: socket.socket,
        own: _types.Address,
        generation: int,
        fabric_addresses: tuple[_types.Address, ...],
        make_endpoint: Callable[
            [endpoint.Identity, keyring.Keyring], endpoint.Endpoint
        ],
        ports: Ports,
    ) -> None:
        """Hold what stays; keys and configuration arrive as messages."""
        self.bound = bound
        self.own = own
        self.generation = generation
        self.fabric_addresses = itertools.cycle(fabric_addresses)
        self.make_endpoint = make_endpoint
        self.ports = ports
        self.send, self.receive = trio.open_memory_channel[inbox.Message](
            INBOX_MESSAGES
        )
        self.counters = inbox.Counters()
        self.keys: keyring.Keyring | None = None
        self.view: model.PoolView | None = None
        self.endpoint: endpoint.Endpoint | None = None
        self.peers = handoff.Peers(own=own.pack())
        self.memory = handoff.Memory()
        self.reset_budget = stateless_reset.ResetBudget()
        self.draining = False
        self.stop_at: float | None = None
        self.final_notice_sent = False
        self.notices: collections.deque[int] = collections.deque()
        """Lines whose callers are still to be told to go."""
        self.notice_at = 0.0
        self.notice_interval_seconds = 0.0
        self.closing: dict[int, float] = {}
        """Latest closing time of each line whose service has left the pool."""
        self.running: dict[tuple[int, int], trio.CancelScope] = {}
        """Scopes of request tasks by line and stream."""


def serving(lines: Lines) -> bool:
    """Return whether new lines may be accepted here."""
    view = lines.view
    return (
        view is not None
        and view.pool is not None
        and view.domain_in
        and not view.drained
        and not lines.draining
        and lines.stop_at is None
    )


async def run(lines: Lines) -> None:
    """Own the lines until a planned stop has ended."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_receive_forever, lines)
        while not _finished(lines, trio.current_time()):
            with trio.move_on_at(_next_time(lines)):
                _take_in(lines, await lines.receive.receive(), trio.current_time())
            _step(lines, nursery, trio.current_time())
        _close_all(lines, nursery)
        nursery.cancel_scope.cancel()


async def _receive_forever(lines: Lines) -> None:
    while True:
        batch = await tunnel.receive_batch(lines.bound)
        await lines.send.send(inbox.Datagrams(batch=batch))


def _step(lines: Lines, nursery: trio.Nursery, now: float) -> None:
    """Let the endpoint act on what came in, and carry out what it reports."""
    held = lines.endpoint
    if held is None:
        return
    held.handle_timer(now)
    _give_notices(lines, held, now)
    _close_due(lines, held, now)
    _dispatch(lines, held, nursery)
    _flush(lines, held, now)
    _dispatch(lines, held, nursery)


def _take_in(lines: Lines, message: inbox.Message, now: float) -> None:
    match message:
        case inbox.Datagrams(batch=batch):
            for datagram in batch:
                _take_datagram(lines, datagram, now)
        case inbox.Answered():
            _answer(lines, message)
        case inbox.KeysChanged(keys=keys):
            lines.keys = keys
            _refresh_endpoint(lines, now)
        case inbox.ViewChanged(view=view):
            taken_out = lines.view is not None and lines.view.domain_in
            lines.view = view
            _refresh_endpoint(lines, now)
            if taken_out and not view.domain_in:
                _begin_notices(lines, DOMAIN_NOTICE_SECONDS, now)
        case inbox.SiblingsChanged(records=records):
            lines.peers = handoff.peers_of(lines.own, records)
        case inbox.Drain(draining=draining):
            lines.draining = draining
        case inbox.Stop(grace_seconds=grace_seconds):
            _begin_stop(lines, grace_seconds, now)


def _refresh_endpoint(lines: Lines, now: float) -> None:
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
        lines.endpoint.identity_changed(identity)
    if lines.endpoint is None:
        return
    lines.endpoint.keys_changed(keys)
    _part_with_services(lines, lines.endpoint, view, now)


def _part_with_services(
    lines: Lines, held: endpoint.Endpoint, view: model.PoolView, now: float
) -> None:
    """End the lines whose service the pool no longer serves."""
    for number, line in held.lines.items():
        if line.service not in view.services and number not in lines.closing:
            lines.closing[number] = now + MOVED_SERVICE_GRACE_SECONDS
            held.go_away(number, final=True)


def _take_datagram(lines: Lines, message: bytes, now: float) -> None:
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
    if verdict.kind is endpoint.Kind.OWNED:
        held.receive(
            arrival.payload, caller=arrival.caller, service=arrival.service, now=now
        )
    elif arrival.service not in view.services:
        counters.unknown_service += 1
    elif verdict.kind is endpoint.Kind.INVALID or verdict.packet is None:
        counters.invalid += 1
    elif verdict.kind is endpoint.Kind.FOREIGN:
        _reset(lines, held, arrival, verdict, now)
    elif verdict.kind is endpoint.Kind.VERSION:
        held.negotiate(verdict.packet, arrival.caller, arrival.service)
    else:
        _open(lines, held, arrival, verdict.packet.destination_id, now)


def _reset(
    lines: Lines,
    held: endpoint.Endpoint,
    arrival: tunnel.Arrival,
    verdict: endpoint.Classified,
    now: float,
) -> None:
    if verdict.packet is None or not stateless_reset.take(lines.reset_budget, now=now):
        lines.counters.resets_withheld += 1
        return
    lines.counters.resets += held.reset(
        verdict.packet,
        caller=arrival.caller,
        service=arrival.service,
        trigger_bytes=len(arrival.payload),
    )


def _open(
    lines: Lines,
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
        memory=lines.memory,
        serving=serving(lines),
        allow_line=lambda: lines.ports.allow_line(now),
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
    lines: Lines,
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


def _answer(lines: Lines, answered: inbox.Answered) -> None:
    lines.running.pop((answered.line, answered.stream), None)
    if lines.endpoint is not None:
        lines.endpoint.respond(answered.line, answered.stream, answered.response)


def _dispatch(lines: Lines, held: endpoint.Endpoint, nursery: trio.Nursery) -> None:
    for event in held.take_events():
        match event:
            case events.RequestReceived():
                _start_request(lines, event, nursery)
            case events.RequestRefused():
                _refuse(lines, held, event)
            case events.RequestCancelled(line=line, stream=stream):
                _cancel_request(lines, line, stream)
            case events.LineOpened():
                lines.counters.lines_opened += 1
                _welcome(lines, held, event)
            case events.LineClosed(line=line):
                lines.counters.lines_closed += 1
                lines.closing.pop(line, None)


def _welcome(lines: Lines, held: endpoint.Endpoint, event: events.LineOpened) -> None:
    """Send a line on that was opened while its end had already been decided."""
    if lines.stop_at is not None:
        held.go_away(event.line)
    if lines.view is not None and event.service not in lines.view.services:
        held.go_away(event.line, final=True)


def _start_request(
    lines: Lines, event: events.RequestReceived, nursery: trio.Nursery
) -> None:
    lines.counters.requests += 1
    scope = trio.CancelScope()
    lines.running[event.line, event.stream] = scope
    nursery.start_soon(functools.partial(_run_request, lines, event, scope))


async def _run_request(
    lines: Lines, event: events.RequestReceived, scope: trio.CancelScope
) -> None:
    with scope:
        response = await _handle(lines.ports, event)
        await lines.send.send(
            inbox.Answered(
                line=event.line,
                stream=event.stream,
                response=_with_extra_headers(lines.ports, response),
            )
        )


async def _handle(ports: Ports, event: events.RequestReceived) -> messages.Response:
    try:
        return await ports.handle(event)
    except _exceptions.PlantainError as error:
        return ports.refuse(error.kind, error.detail)
    except Exception as error:
        _logger.error("A request failed with %s: %s.", type(error).__name__, error)
        return ports.refuse(_exceptions.ErrorKind.INTERNAL, "")


def _refuse(
    lines: Lines, held: endpoint.Endpoint, event: events.RequestRefused
) -> None:
    lines.counters.requests_refused += 1
    response = lines.ports.refuse(event.kind, event.detail)
    held.respond(event.line, event.stream, _with_extra_headers(lines.ports, response))


def _with_extra_headers(ports: Ports, response: messages.Response) -> messages.Response:
    return dataclasses.replace(
        response, headers=response.headers + ports.extra_headers()
    )


def _cancel_request(lines: Lines, line: int, stream: int) -> None:
    scope = lines.running.pop((line, stream), None)
    if scope is not None:
        lines.counters.requests_cancelled += 1
        scope.cancel()


def _begin_stop(lines: Lines, grace_seconds: float, now: float) -> None:
    if lines.stop_at is not None:
        lines.stop_at = min(lines.stop_at, now + grace_seconds)
        return
    lines.stop_at = now + grace_seconds
    _begin_notices(lines, NOTICE_SHARE * grace_seconds, now)
    _logger.info("Stopping with %d lines.", len(lines.notices))


def _begin_notices(lines: Lines, over_seconds: float, now: float) -> None:
    """Tell all callers to go, one after another: they open their next lines then."""
    if lines.endpoint is None:
        return
    lines.notices = collections.deque(lines.endpoint.lines)
    lines.notice_at = now
    lines.notice_interval_seconds = over_seconds / max(1, len(lines.notices))


def _give_notices(lines: Lines, held: endpoint.Endpoint, now: float) -> None:
    while lines.notices and lines.notice_at <= now:
        held.go_away(lines.notices.popleft())
        lines.notice_at += lines.notice_interval_seconds


def _close_due(lines: Lines, held: endpoint.Endpoint, now: float) -> None:
    """Give the final notice before a stop and close lines of moved services."""
    if _final_notice_due(lines, now):
        lines.final_notice_sent = True
        for number in held.lines:
            held.go_away(number, final=True)
    for number, close_at in list(lines.closing.items()):
        notice_ends_at = close_at - MOVED_SERVICE_GRACE_SECONDS + FINAL_NOTICE_SECONDS
        done = now >= notice_ends_at and not _running_on(lines, number)
        if done or now >= close_at:
            del lines.closing[number]
            held.close(number)


def _final_notice_due(lines: Lines, now: float) -> bool:
    return (
        lines.stop_at is not None
        and not lines.final_notice_sent
        and now >= lines.stop_at - FINAL_NOTICE_SECONDS
    )


def _running_on(lines: Lines, number: int) -> bool:
    return any(line == number for line, _ in lines.running)


def _flush(lines: Lines, held: endpoint.Endpoint, now: float) -> None:
    for outgoing in held.take_datagrams(now):
        header = proxy.encode(source=outgoing.service, destination=outgoing.caller)
        lines.counters.sent += 1
        _send(lines, header + outgoing.payload, next(lines.fabric_addresses))


def _send(lines: Lines, message: bytes, to: _types.Address) -> None:
    if not tunnel.send(lines.bound, message, to):
        lines.counters.send_failures += 1


def _next_time(lines: Lines) -> float:
    times: list[float] = []
    if lines.endpoint is not None:
        times += _present(lines.endpoint.next_timer())
    if lines.notices:
        times.append(lines.notice_at)
    if lines.stop_at is not None:
        times.append(lines.stop_at)
        if not lines.final_notice_sent:
            times.append(lines.stop_at - FINAL_NOTICE_SECONDS)
    for number, close_at in lines.closing.items():
        notice_ends_at = close_at - MOVED_SERVICE_GRACE_SECONDS + FINAL_NOTICE_SECONDS
        waits = _running_on(lines, number)
        times.append(close_at if waits else notice_ends_at)
    return min(times, default=float("inf"))


def _present(time: float | None) -> Iterable[float]:
    return () if time is None else (time,)


def _finished(lines: Lines, now: float) -> bool:
    if lines.stop_at is None:
        return False
    return now >= lines.stop_at or not (lines.endpoint and lines.endpoint.lines)


def _close_all(lines: Lines, nursery: trio.Nursery) -> None:
    held = lines.endpoint
    if held is None:
        return
    for number in list(held.lines):
        held.close(number)
    _dispatch(lines, held, nursery)
    _flush(lines, held, trio.current_time())
