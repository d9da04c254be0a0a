"""All callers' connections of one sidecar, as state without sockets.

Datagrams, timers and responses go in; datagrams and typed events come out. Whether an
opening datagram is accepted is decided elsewhere, before anything is kept of it.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import logging
import secrets

from aioquic.h3 import connection as h3_connection
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import events as quic_events

from plantainproxy import _types
from plantainproxy.quic import (
    connection,
    header,
    http3,
    stateless_reset,
)
from plantainproxy.quic import (
    events as line_events,
)
from plantainproxy.rpc import messages
from plantainproxy.wire import connection_id, keyring

HANDSHAKE_TIMEOUT_SECONDS = 10.0
"""A connection that is not established by then is dropped."""
NO_APPLICATION_PROTOCOL = 0x178
"""Error code for a caller that speaks none of our protocols (RFC 9001, 8.1)."""
ROTATION_LINES = 32
"""How many lines get new IDs at a time, so that other lines need not wait."""
ROTATION_INTERVAL_SECONDS = 0.05
MAX_RETIRED_IDS = 16
"""Retired IDs of a line that are remembered for packets still on their way."""

_logger = logging.getLogger("plantain.quic")


class Kind(enum.Enum):
    """What a datagram is to this sidecar."""

    OWNED = enum.auto()
    """It belongs to a connection that is held here."""
    OPENING = enum.auto()
    """It may open a connection."""
    VERSION = enum.auto()
    """It opens a connection in a version that we do not speak."""
    FOREIGN = enum.auto()
    """It names this sidecar and a connection that is not held here."""
    INVALID = enum.auto()
    """It is none of these."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Classified:
    """The verdict on one datagram."""

    kind: Kind
    packet: header.PacketHeader | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """What our connection IDs say of this sidecar."""

    tunnel: _types.Address
    domain_number: int
    """The number of the failure domain, 0 to 255."""
    generation: int
    """Start time of the process in milliseconds since the epoch."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """One datagram for a caller."""

    caller: _types.Address
    service: _types.Address
    payload: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Line:
    """One caller's connection."""

    number: int
    service: _types.Address
    opening: tuple[bytes, _types.Address]
    """The connection ID and address of the first packet."""
    quic: connection.ServerConnection
    opened_at: float
    exchange: http3.Http3 | None = None
    established: bool = False
    timer_at: float | None = None
    queued_at: float | None = None
    """The earliest entry of this line in the queue of timers."""
    retired: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )


class Endpoint:
    """The connections, the maps that find them, and what they want to send."""

    def __init__(
        self,
        *,
        configuration: quic_configuration.QuicConfiguration,
        limits: http3.Limits,
        identity: Identity,
        keys: keyring.Keyring,
    ) -> None:
        """Start without any connection."""
        self.configuration = configuration
        self.limits = limits
        self.identity = identity
        self.keys = keys
        self.lines: dict[int, Line] = {}
        self.faults = 0
        """Connections that were dropped because the QUIC library raised."""
        self._by_id: dict[bytes, Line] = {}
        self._by_opening: dict[tuple[bytes, _types.Address], Line] = {}
        self._numbers = itertools.count(1)
        self._nonces = itertools.count(secrets.randbits(24))
        self._timers: list[tuple[float, int]] = []
        self._datagrams: list[Outgoing] = []
        self._events: list[line_events.Event] = []
        self._touched: dict[int, Line] = {}
        self._rotations: collections.deque[int] = collections.deque()
        """Lines that still hold IDs of an earlier key or identity."""
        self._rotate_at = 0.0

    def classify(
        self, payload: bytes, *, caller: _types.Address, service: _types.Address
    ) -> Classified:
        """Say what a datagram is, without keeping anything of it."""
        found = header.read(payload)
        if found is None:
            return Classified(kind=Kind.INVALID)
        line = self._find(found, caller)
        if line is not None:
            kind = Kind.OWNED if line.service == service else Kind.INVALID
            return Classified(kind=kind, packet=found)
        if found.is_long:
            return Classified(kind=_kind_of_long(found, len(payload)), packet=found)
        kind = Kind.FOREIGN if self._names_us(found, service) else Kind.INVALID
        return Classified(kind=kind, packet=found)

    def receive(
        self,
        payload: bytes,
        *,
        caller: _types.Address,
        service: _types.Address,
        now: float,
    ) -> bool:
        """Take in a datagram of a connection that is held here."""
        found = header.read(payload)
        line = None if found is None else self._find(found, caller)
        if line is None or line.service != service:
            return False
        self._feed(line, payload, caller, now)
        return True

    def accept(
        self,
        payload: bytes,
        *,
        caller: _types.Address,
        service: _types.Address,
        now: float,
    ) -> int | None:
        """Open a connection for an opening datagram; return its number."""
        found = header.read(payload)
        if found is None or not found.is_initial:
            return None
        line = Line(
            number=next(self._numbers),
            service=service,
            opening=(found.destination_id, caller),
            quic=connection.ServerConnection(
                configuration=self.configuration,
                opening_id=found.destination_id,
                issue=lambda: self._issue(service),
            ),
            opened_at=now,
        )
        self.lines[line.number] = line
        self._by_opening[line.opening] = line
        for held in connection.held_ids(line.quic):
            self._by_id[held] = line
        self._feed(line, payload, caller, now)
        if not connection.has_started(line.quic):
            self._forget(line, "The first packet is malformed.")
            return None
        return line.number

    def negotiate(
        self,
        found: header.PacketHeader,
        caller: _types.Address,
        service: _types.Address,
    ) -> None:
        """Tell a caller which version we speak; keeps nothing."""
        payload = connection.version_negotiation(found)
        self._datagrams.append(
            Outgoing(caller=caller, service=service, payload=payload)
        )

    def reset(
        self,
        found: header.PacketHeader,
        *,
        caller: _types.Address,
        service: _types.Address,
        trigger_bytes: int,
    ) -> bool:
        """Tell a caller that its connection is gone; return whether one can."""
        key = self.keys.by_number.get(found.destination_id[0])
        if key is None:
            return False
        token = key.reset_token(found.destination_id)
        payload = stateless_reset.encode(token, trigger_bytes=trigger_bytes)
        if payload is None:
            return False
        self._datagrams.append(
            Outgoing(caller=caller, service=service, payload=payload)
        )
        return True

    def respond(self, line: int, stream: int, response: messages.Response) -> bool:
        """Answer a request; return whether the caller still wants the answer."""
        known = self.lines.get(line)
        if known is None or known.exchange is None:
            return False
        self._touched[line] = known
        return known.exchange.respond(stream, response)

    def is_busy(self, line: int) -> bool:
        """Return whether a request of a connection still wants its answer."""
        known = self.lines.get(line)
        return known is not None and bool(known.exchange and known.exchange.unanswered)

    def go_away(self, line: int, *, final: bool = False) -> None:
        """Tell a caller to open its next connection elsewhere."""
        known = self.lines.get(line)
        if known is None or known.exchange is None:
            return
        self._touched[line] = known
        known.exchange.go_away(final=final)

    def close(self, line: int) -> None:
        """Close a connection at once; its requests are cancelled."""
        known = self.lines.get(line)
        if known is None:
            return
        self._touched[line] = known
        known.quic.close(
            error_code=h3_connection.ErrorCode.H3_NO_ERROR, reason_phrase="Closed."
        )
        self._cancel_requests(known)

    def keys_changed(self, keys: keyring.Keyring) -> None:
        """Use a new key set; connections get new IDs when its current key differs."""
        rotated = keys.current.number != self.keys.current.number
        self.keys = keys
        if rotated:
            self._rotations = collections.deque(self.lines)

    def identity_changed(self, identity: Identity) -> None:
        """Use a new identity; connections get new IDs when it differs."""
        if identity == self.identity:
            return
        self.identity = identity
        self._rotations = collections.deque(self.lines)

    def next_timer(self) -> float | None:
        """Return when :meth:`handle_timer` wants to be called."""
        earliest = self._timers[0][0] if self._timers else None
        if not self._rotations:
            return earliest
        return self._rotate_at if earliest is None else min(earliest, self._rotate_at)

    def handle_timer(self, now: float) -> None:
        """Let every connection act whose time has come."""
        if self._rotations and self._rotate_at <= now:
            self._rotate_some(now)
        while self._timers and self._timers[0][0] <= now:
            queued_at, number = heapq.heappop(self._timers)
            line = self.lines.get(number)
            if line is not None and line.queued_at == queued_at:
                line.queued_at = None
                self._touched[number] = line
                self._on_timer(line, now)

    def take_datagrams(self, now: float) -> list[Outgoing]:
        """Return what is to be sent."""
        while self._touched:
            _, line = self._touched.popitem()
            if line.number in self.lines:
                self._flush(line, now)
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def take_events(self) -> list[line_events.Event]:
        """Return what happened since the last call."""
        events, self._events = self._events, []
        return events

    def _find(self, found: header.PacketHeader, caller: _types.Address) -> Line | None:
        line = self._by_id.get(found.destination_id)
        if line is None and found.is_long:
            line = self._by_opening.get((found.destination_id, caller))
        return line

    def _names_us(self, found: header.PacketHeader, service: _types.Address) -> bool:
        destination = connection_id.decode(self.keys, found.destination_id)
        return (
            destination is not None
            and destination.tunnel == self.identity.tunnel.pack()
            and destination.tag == connection_id.service_tag(service.pack())
        )

    def _issue(self, service: _types.Address) -> connection.IssuedId:
        identity = self.identity
        key = self.keys.current
        destination = connection_id.Destination(
            identity.tunnel.pack(),
            identity.domain_number,
            connection_id.generation_tag(identity.generation),
            connection_id.service_tag(service.pack()),
        )
        while True:
            value = connection_id.encode(key, destination, nonce=next(self._nonces))
            if value not in self._by_id:
                return connection.IssuedId(
                    value=value, reset_token=key.reset_token(value)
                )

    def _rotate_some(self, now: float) -> None:
        for _ in range(min(ROTATION_LINES, len(self._rotations))):
            line = self.lines.get(self._rotations.popleft())
            if line is not None:
                line.quic.rotate_ids()
                self._touched[line.number] = line
        self._rotate_at = now + ROTATION_INTERVAL_SECONDS

    def _feed(
        self, line: Line, payload: bytes, caller: _types.Address, now: float
    ) -> None:
        self._touched[line.number] = line
        try:
            line.quic.receive_datagram(payload, caller, now)
            self._read_events(line)
        except Exception as error:
            self._fault(line, error)

    def _on_timer(self, line: Line, now: float) -> None:
        if not line.established and now >= line.opened_at + HANDSHAKE_TIMEOUT_SECONDS:
            self._forget(line, "The handshake took too long.")
            return
        if line.timer_at is None or line.timer_at > now:
            return
        try:
            line.quic.handle_timer(now)
            self._read_events(line)
        except Exception as error:
            self._fault(line, error)

    def _flush(self, line: Line, now: float) -> None:
        try:
            sent = line.quic.datagrams_to_send(now)
            self._read_events(line)
        except Exception as error:
            self._fault(line, error)
            return
        for payload, caller in sent:
            self._datagrams.append(
                Outgoing(caller=caller, service=line.service, payload=payload)
            )
        if line.number in self.lines:
            self._schedule(line)

    def _schedule(self, line: Line) -> None:
        line.timer_at = line.quic.get_timer()
        if line.timer_at is None:
            return
        wanted = line.timer_at
        if not line.established:
            wanted = min(wanted, line.opened_at + HANDSHAKE_TIMEOUT_SECONDS)
        if line.queued_at is None or wanted < line.queued_at:
            line.queued_at = wanted
            heapq.heappush(self._timers, (wanted, line.number))

    def _read_events(self, line: Line) -> None:
        while (event := line.quic.next_event()) is not None:
            self._read_event(line, event)

    def _read_event(self, line: Line, event: quic_events.QuicEvent) -> None:
        match event:
            case quic_events.ConnectionIdIssued(connection_id=value):
                self._by_id[value] = line
            case quic_events.ConnectionIdRetired(connection_id=value):
                self._retire(line, value)
            case quic_events.HandshakeCompleted(alpn_protocol=connection.ALPN):
                self._establish(line)
            case quic_events.HandshakeCompleted():
                line.quic.close(error_code=NO_APPLICATION_PROTOCOL)
            case quic_events.ConnectionTerminated(reason_phrase=reason):
                self._forget(line, reason or "Closed.")
            case _:
                self._read_http3(line, event)

    def _establish(self, line: Line) -> None:
        line.established = True
        connection.forget_handshake(line.quic)
        line.exchange = http3.Http3(line.quic, self.limits)
        if connection.held_ids(line.quic)[0][0] != self.keys.current.number:
            line.quic.rotate_ids()
        self._events.append(
            line_events.LineOpened(
                line=line.number, service=line.service, caller=line.opening[1]
            )
        )

    def _read_http3(self, line: Line, event: quic_events.QuicEvent) -> None:
        if line.exchange is None:
            return
        for produced in line.exchange.receive(event):
            self._events.append(_line_event(line, produced))

    def _retire(self, line: Line, value: bytes) -> None:
        line.retired.append(value)
        if len(line.retired) > MAX_RETIRED_IDS:
            self._by_id.pop(line.retired.popleft(), None)

    def _cancel_requests(self, line: Line) -> None:
        if line.exchange is None:
            return
        for stream in sorted(line.exchange.unanswered):
            self._events.append(
                line_events.RequestCancelled(line=line.number, stream=stream)
            )
        line.exchange.unanswered.clear()

    def _forget(self, line: Line, reason: str) -> None:
        if self.lines.pop(line.number, None) is None:
            return
        self._cancel_requests(line)
        self._by_opening.pop(line.opening, None)
        for value in (*connection.held_ids(line.quic), *line.retired):
            self._by_id.pop(value, None)
        self._events.append(
            line_events.LineClosed(
                line=line.number,
                service=line.service,
                reason=reason,
                established=line.established,
            )
        )

    def _fault(self, line: Line, error: Exception) -> None:
        """Drop the one connection whose input the QUIC library stumbled over."""
        self.faults += 1
        _logger.warning("Dropped a line after %s: %s.", type(error).__name__, error)
        self._forget(line, "The QUIC library failed.")


def _kind_of_long(found: header.PacketHeader, size: int) -> Kind:
    if size < header.MIN_INITIAL_DATAGRAM_BYTES:
        return Kind.INVALID
    if found.version not in (0, header.VERSION_1):
        return Kind.VERSION
    if not found.is_initial:
        return Kind.INVALID
    if len(found.destination_id) < header.MIN_OPENING_ID_BYTES:
        return Kind.INVALID
    return Kind.OPENING


def _line_event(line: Line, event: http3.Event) -> line_events.Event:
    match event:
        case http3.Whole(stream=stream, request=request):
            return line_events.RequestReceived(
                line=line.number, stream=stream, service=line.service, request=request
            )
        case http3.Refused(stream=stream, kind=kind, detail=detail):
            return line_events.RequestRefused(
                line=line.number,
                stream=stream,
                service=line.service,
                kind=kind,
                detail=detail,
            )
        case http3.Cancelled(stream=stream):
            return line_events.RequestCancelled(line=line.number, stream=stream)
