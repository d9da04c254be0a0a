"""All callers' connections of one sidecar, as a state machine without I/O.

Its inputs are datagrams, timers and responses; its outputs are datagrams and typed
events. The caller of :class:`Endpoint` decides whether to accept an opening datagram;
until then no state is stored for it.
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
from plantainproxy.quic import connection as server_connection
from plantainproxy.quic import events as endpoint_events
from plantainproxy.quic import header, http3, stateless_reset
from plantainproxy.rpc import messages
from plantainproxy.wire import connection_id, keyring

HANDSHAKE_TIMEOUT_SECONDS = 10.0
"""A connection is dropped if its handshake takes longer."""
NO_APPLICATION_PROTOCOL = 0x178
"""Error code for a caller that does not offer HTTP/3 (RFC 9001, 8.1)."""
ROTATION_BATCH_CONNECTIONS = 32
"""Connections per batch of an ID rotation; datagrams wait for one batch at most."""
ROTATION_INTERVAL_SECONDS = 0.05
MAX_RETIRED_IDS = 16
"""Retired IDs per connection that still match packets in flight."""

_logger = logging.getLogger("plantain.quic")


class DatagramKind(enum.Enum):
    """How a datagram relates to the connections of this sidecar."""

    EXISTING_CONNECTION = enum.auto()
    """It belongs to a connection of this endpoint."""
    OPENING = enum.auto()
    """It may open a connection."""
    UNSUPPORTED_VERSION = enum.auto()
    """It opens a connection with an unsupported QUIC version."""
    UNKNOWN_CONNECTION = enum.auto()
    """Its connection ID encodes this sidecar, but the connection does not exist."""
    INVALID = enum.auto()
    """It matches none of the other kinds."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClassifiedDatagram:
    """A datagram's kind and the header of its first packet."""

    kind: DatagramKind
    packet: header.PacketHeader | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """The properties of this sidecar that its connection IDs encode."""

    tunnel: _types.Address
    domain_number: int
    """The number of the failure domain, 0 to 255."""
    generation: int
    """Start time of the process in milliseconds since the epoch."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingDatagram:
    """A datagram to send to a caller."""

    caller: _types.Address
    service: _types.Address
    payload: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Connection:
    """One caller's connection."""

    number: int
    service: _types.Address
    opening_key: tuple[bytes, _types.Address]
    """Destination connection ID and source address of the opening packet."""
    quic: server_connection.ServerConnection
    opened_at: float
    http3_connection: http3.Http3Connection | None = None
    is_established: bool = False
    timer_at: float | None = None
    queued_timer_at: float | None = None
    """Time of the connection's earliest entry in the timer queue."""
    retired_ids: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )


class Endpoint:
    """The connections, their lookup tables, and their pending datagrams and events."""

    def __init__(
        self,
        *,
        configuration: quic_configuration.QuicConfiguration,
        limits: http3.Limits,
        identity: Identity,
        keys: keyring.Keyring,
    ) -> None:
        """Create an endpoint without connections."""
        self.configuration = configuration
        self.limits = limits
        self.identity = identity
        self.keys = keys
        self.connections: dict[int, Connection] = {}
        self.library_errors = 0
        """Number of connections dropped because aioquic raised an exception."""
        self._by_id: dict[bytes, Connection] = {}
        self._by_opening: dict[tuple[bytes, _types.Address], Connection] = {}
        self._connection_numbers = itertools.count(1)
        self._nonces = itertools.count(secrets.randbits(24))
        self._timers: list[tuple[float, int]] = []
        self._datagrams: list[OutgoingDatagram] = []
        self._events: list[endpoint_events.Event] = []
        self._pending_flush: dict[int, Connection] = {}
        self._rotation_queue: collections.deque[int] = collections.deque()
        """Connections whose IDs were made with an earlier key or identity."""
        self._next_rotation_at = 0.0

    def classify(
        self, payload: bytes, *, caller: _types.Address, service: _types.Address
    ) -> ClassifiedDatagram:
        """Classify a datagram without storing any state."""
        packet_header = header.parse(payload)
        if packet_header is None:
            return ClassifiedDatagram(kind=DatagramKind.INVALID)
        connection = self._find_connection(packet_header, caller)
        if connection is not None:
            kind = (
                DatagramKind.EXISTING_CONNECTION
                if connection.service == service
                else DatagramKind.INVALID
            )
            return ClassifiedDatagram(kind=kind, packet=packet_header)
        if packet_header.is_long:
            return ClassifiedDatagram(
                kind=_classify_long_header(packet_header, len(payload)),
                packet=packet_header,
            )
        kind = (
            DatagramKind.UNKNOWN_CONNECTION
            if self._is_addressed_here(packet_header, service)
            else DatagramKind.INVALID
        )
        return ClassifiedDatagram(kind=kind, packet=packet_header)

    def receive(
        self,
        payload: bytes,
        *,
        caller: _types.Address,
        service: _types.Address,
        now: float,
    ) -> bool:
        """Pass a datagram to its connection; return whether there is one."""
        packet_header = header.parse(payload)
        connection = (
            None
            if packet_header is None
            else self._find_connection(packet_header, caller)
        )
        if connection is None or connection.service != service:
            return False
        self._receive_datagram(connection, payload, caller, now)
        return True

    def accept(
        self,
        payload: bytes,
        *,
        caller: _types.Address,
        service: _types.Address,
        now: float,
    ) -> int | None:
        """Open a connection; return its number, ``None`` if the packet is invalid."""
        packet_header = header.parse(payload)
        if packet_header is None or not packet_header.is_initial:
            return None
        connection = Connection(
            number=next(self._connection_numbers),
            service=service,
            opening_key=(packet_header.destination_id, caller),
            quic=server_connection.ServerConnection(
                configuration=self.configuration,
                opening_id=packet_header.destination_id,
                issue_id=lambda: self._issue_id(service),
            ),
            opened_at=now,
        )
        self.connections[connection.number] = connection
        self._by_opening[connection.opening_key] = connection
        for active_id in server_connection.active_ids(connection.quic):
            self._by_id[active_id] = connection
        self._receive_datagram(connection, payload, caller, now)
        if not server_connection.has_started(connection.quic):
            self._remove(connection, "The first packet is malformed.")
            return None
        return connection.number

    def send_version_negotiation(
        self,
        packet_header: header.PacketHeader,
        caller: _types.Address,
        service: _types.Address,
    ) -> None:
        """Queue a Version Negotiation packet; no state is stored."""
        payload = server_connection.encode_version_negotiation(packet_header)
        self._datagrams.append(
            OutgoingDatagram(caller=caller, service=service, payload=payload)
        )

    def send_stateless_reset(
        self,
        packet_header: header.PacketHeader,
        *,
        caller: _types.Address,
        service: _types.Address,
        trigger_bytes: int,
    ) -> bool:
        """Queue a stateless reset; return whether one can be sent.

        None can be sent if the key of the connection ID is unavailable or the trigger
        is too small.
        """
        key = self.keys.by_number.get(packet_header.destination_id[0])
        if key is None:
            return False
        token = key.reset_token(packet_header.destination_id)
        payload = stateless_reset.encode(token, trigger_bytes=trigger_bytes)
        if payload is None:
            return False
        self._datagrams.append(
            OutgoingDatagram(caller=caller, service=service, payload=payload)
        )
        return True

    def respond(self, number: int, stream: int, response: messages.Response) -> bool:
        """Send a response; return whether the request was still open."""
        connection = self.connections.get(number)
        if connection is None or connection.http3_connection is None:
            return False
        self._pending_flush[number] = connection
        return connection.http3_connection.respond(stream, response)

    def is_busy(self, number: int) -> bool:
        """Return whether a connection has unanswered requests."""
        connection = self.connections.get(number)
        return connection is not None and bool(
            connection.http3_connection
            and connection.http3_connection.unanswered_streams
        )

    def send_goaway(self, number: int, *, final: bool = False) -> None:
        """Send GOAWAY, so that the caller opens a new connection."""
        connection = self.connections.get(number)
        if connection is None or connection.http3_connection is None:
            return
        self._pending_flush[number] = connection
        connection.http3_connection.send_goaway(final=final)

    def close(self, number: int) -> None:
        """Close a connection immediately and cancel its requests."""
        connection = self.connections.get(number)
        if connection is None:
            return
        self._pending_flush[number] = connection
        connection.quic.close(
            error_code=h3_connection.ErrorCode.H3_NO_ERROR, reason_phrase="Closed."
        )
        self._cancel_requests(connection)

    def apply_keys(self, keys: keyring.Keyring) -> None:
        """Replace the key set; rotate all connection IDs if the current key changed."""
        has_new_current_key = keys.current.number != self.keys.current.number
        self.keys = keys
        if has_new_current_key:
            self._rotation_queue = collections.deque(self.connections)

    def apply_identity(self, identity: Identity) -> None:
        """Replace the identity; rotate all connection IDs if it changed."""
        if identity == self.identity:
            return
        self.identity = identity
        self._rotation_queue = collections.deque(self.connections)

    def next_timer(self) -> float | None:
        """Return when :meth:`handle_timer` is due; ``None`` without a timer."""
        earliest = self._timers[0][0] if self._timers else None
        if not self._rotation_queue:
            return earliest
        return (
            self._next_rotation_at
            if earliest is None
            else min(earliest, self._next_rotation_at)
        )

    def handle_timer(self, now: float) -> None:
        """Rotate the next batch of IDs and run the connection timers that are due."""
        if self._rotation_queue and self._next_rotation_at <= now:
            self._rotate_batch(now)
        while self._timers and self._timers[0][0] <= now:
            queued_timer_at, number = heapq.heappop(self._timers)
            connection = self.connections.get(number)
            if connection is not None and connection.queued_timer_at == queued_timer_at:
                connection.queued_timer_at = None
                self._pending_flush[number] = connection
                self._handle_connection_timer(connection, now)

    def take_datagrams(self, now: float) -> list[OutgoingDatagram]:
        """Flush connections with pending output; return and clear the datagrams."""
        while self._pending_flush:
            _, connection = self._pending_flush.popitem()
            if connection.number in self.connections:
                self._flush(connection, now)
        datagrams, self._datagrams = self._datagrams, []
        return datagrams

    def take_events(self) -> list[endpoint_events.Event]:
        """Return and clear the events since the last call."""
        events, self._events = self._events, []
        return events

    def _find_connection(
        self, packet_header: header.PacketHeader, caller: _types.Address
    ) -> Connection | None:
        connection = self._by_id.get(packet_header.destination_id)
        if connection is None and packet_header.is_long:
            connection = self._by_opening.get((packet_header.destination_id, caller))
        return connection

    def _is_addressed_here(
        self, packet_header: header.PacketHeader, service: _types.Address
    ) -> bool:
        destination = connection_id.decode(self.keys, packet_header.destination_id)
        return (
            destination is not None
            and destination.tunnel == self.identity.tunnel.pack()
            and destination.tag == connection_id.service_tag(service.pack())
        )

    def _issue_id(self, service: _types.Address) -> server_connection.IssuedId:
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
                return server_connection.IssuedId(
                    value=value, reset_token=key.reset_token(value)
                )

    def _rotate_batch(self, now: float) -> None:
        for _ in range(min(ROTATION_BATCH_CONNECTIONS, len(self._rotation_queue))):
            connection = self.connections.get(self._rotation_queue.popleft())
            if connection is not None:
                connection.quic.rotate_ids()
                self._pending_flush[connection.number] = connection
        self._next_rotation_at = now + ROTATION_INTERVAL_SECONDS

    def _receive_datagram(
        self, connection: Connection, payload: bytes, caller: _types.Address, now: float
    ) -> None:
        self._pending_flush[connection.number] = connection
        try:
            connection.quic.receive_datagram(payload, caller, now)
            self._handle_events(connection)
        except Exception as error:
            self._drop_after_error(connection, error)

    def _handle_connection_timer(self, connection: Connection, now: float) -> None:
        if (
            not connection.is_established
            and now >= connection.opened_at + HANDSHAKE_TIMEOUT_SECONDS
        ):
            self._remove(connection, "The handshake took too long.")
            return
        if connection.timer_at is None or connection.timer_at > now:
            return
        try:
            connection.quic.handle_timer(now)
            self._handle_events(connection)
        except Exception as error:
            self._drop_after_error(connection, error)

    def _flush(self, connection: Connection, now: float) -> None:
        try:
            outgoing = connection.quic.datagrams_to_send(now)
            self._handle_events(connection)
        except Exception as error:
            self._drop_after_error(connection, error)
            return
        for payload, caller in outgoing:
            self._datagrams.append(
                OutgoingDatagram(
                    caller=caller, service=connection.service, payload=payload
                )
            )
        if connection.number in self.connections:
            self._schedule_timer(connection)

    def _schedule_timer(self, connection: Connection) -> None:
        connection.timer_at = connection.quic.get_timer()
        if connection.timer_at is None:
            return
        due_at = connection.timer_at
        if not connection.is_established:
            due_at = min(due_at, connection.opened_at + HANDSHAKE_TIMEOUT_SECONDS)
        if connection.queued_timer_at is None or due_at < connection.queued_timer_at:
            connection.queued_timer_at = due_at
            heapq.heappush(self._timers, (due_at, connection.number))

    def _handle_events(self, connection: Connection) -> None:
        while (event := connection.quic.next_event()) is not None:
            self._handle_event(connection, event)

    def _handle_event(
        self, connection: Connection, event: quic_events.QuicEvent
    ) -> None:
        match event:
            case quic_events.ConnectionIdIssued(connection_id=value):
                self._by_id[value] = connection
            case quic_events.ConnectionIdRetired(connection_id=value):
                self._retire_id(connection, value)
            case quic_events.HandshakeCompleted(alpn_protocol=server_connection.ALPN):
                self._establish(connection)
            case quic_events.HandshakeCompleted():
                connection.quic.close(error_code=NO_APPLICATION_PROTOCOL)
            case quic_events.ConnectionTerminated(reason_phrase=reason):
                self._remove(connection, reason or "Closed.")
            case _:
                self._handle_http3_event(connection, event)

    def _establish(self, connection: Connection) -> None:
        connection.is_established = True
        server_connection.release_handshake_buffers(connection.quic)
        connection.http3_connection = http3.Http3Connection(
            connection.quic, self.limits
        )
        # A key change during the handshake could not rotate the IDs.
        if (
            server_connection.active_ids(connection.quic)[0][0]
            != self.keys.current.number
        ):
            connection.quic.rotate_ids()
        self._events.append(
            endpoint_events.ConnectionOpened(
                connection=connection.number,
                service=connection.service,
                caller=connection.opening_key[1],
            )
        )

    def _handle_http3_event(
        self, connection: Connection, event: quic_events.QuicEvent
    ) -> None:
        if connection.http3_connection is None:
            return
        for http3_event in connection.http3_connection.receive(event):
            self._events.append(_make_endpoint_event(connection, http3_event))

    def _retire_id(self, connection: Connection, value: bytes) -> None:
        connection.retired_ids.append(value)
        if len(connection.retired_ids) > MAX_RETIRED_IDS:
            self._by_id.pop(connection.retired_ids.popleft(), None)

    def _cancel_requests(self, connection: Connection) -> None:
        if connection.http3_connection is None:
            return
        for stream in sorted(connection.http3_connection.unanswered_streams):
            self._events.append(
                endpoint_events.RequestCancelled(
                    connection=connection.number, stream=stream
                )
            )
        connection.http3_connection.unanswered_streams.clear()

    def _remove(self, connection: Connection, reason: str) -> None:
        if self.connections.pop(connection.number, None) is None:
            return
        self._cancel_requests(connection)
        self._by_opening.pop(connection.opening_key, None)
        for value in (
            *server_connection.active_ids(connection.quic),
            *connection.retired_ids,
        ):
            self._by_id.pop(value, None)
        self._events.append(
            endpoint_events.ConnectionClosed(
                connection=connection.number,
                service=connection.service,
                reason=reason,
                is_established=connection.is_established,
            )
        )

    def _drop_after_error(self, connection: Connection, error: Exception) -> None:
        """Drop only the connection for which aioquic raised an exception."""
        self.library_errors += 1
        _logger.warning(
            "Dropped connection %d opened from %s because aioquic raised %s: %s.",
            connection.number,
            connection.opening_key[1],
            type(error).__name__,
            error,
        )
        self._remove(connection, "The QUIC library raised an exception.")


def _classify_long_header(
    packet_header: header.PacketHeader, size: int
) -> DatagramKind:
    if size < header.MIN_INITIAL_DATAGRAM_BYTES:
        return DatagramKind.INVALID
    if packet_header.version not in (0, header.VERSION_1):
        return DatagramKind.UNSUPPORTED_VERSION
    if not packet_header.is_initial:
        return DatagramKind.INVALID
    if len(packet_header.destination_id) < header.MIN_OPENING_ID_BYTES:
        return DatagramKind.INVALID
    return DatagramKind.OPENING


def _make_endpoint_event(
    connection: Connection, event: http3.Event
) -> endpoint_events.Event:
    match event:
        case http3.CompleteRequest(stream=stream, request=request):
            return endpoint_events.RequestReceived(
                connection=connection.number,
                stream=stream,
                service=connection.service,
                request=request,
            )
        case http3.RefusedRequest(stream=stream, kind=kind, detail=detail):
            return endpoint_events.RequestRefused(
                connection=connection.number,
                stream=stream,
                service=connection.service,
                kind=kind,
                detail=detail,
            )
        case http3.CancelledRequest(stream=stream):
            return endpoint_events.RequestCancelled(
                connection=connection.number, stream=stream
            )
