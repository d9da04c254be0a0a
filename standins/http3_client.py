"""A sans-I/O HTTP/3 client connection for stand-in callers.

It is built on aioquic and adds two things that aioquic's client lacks: detection of
GOAWAY frames and of stateless resets.
"""

import dataclasses
import logging
import ssl

from aioquic import _buffer
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection
from aioquic.quic import events as quic_events

from plantainproxy import _types
from plantainproxy.quic import stateless_reset
from plantainproxy.rpc import messages
from standins import certificates

logger = logging.getLogger("standins.http3_client")

RESET_TOKEN_BYTES = 16
_CONTROL_STREAM_TYPE = 0
_SERVER_UNIDIRECTIONAL_STREAM = 3
_STREAM_KIND_MASK = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Connected:
    """The handshake is complete; requests may be sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseReceived:
    """A complete response was received."""

    stream: int
    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFailed:
    """The server reset a request stream before a complete response."""

    stream: int
    error_code: int

    @property
    def not_run(self) -> bool:
        """Whether the error code states that the request was not processed."""
        return self.error_code == h3_connection.ErrorCode.H3_REQUEST_REJECTED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GoAway:
    """The server sent GOAWAY: new requests need another connection."""

    stream: int
    """Requests from this stream on were not processed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Closed:
    """The connection is closed."""

    reason: str
    was_reset: bool = False
    """Whether a stateless reset closed it."""


Event = Connected | ResponseReceived | RequestFailed | GoAway | Closed


def client_configuration(
    *, authority_file: str | None = None, idle_timeout_seconds: float = 30.0
) -> quic_configuration.QuicConfiguration:
    """Return a client configuration that trusts one certificate.

    Without ``authority_file`` the server certificate is not verified.
    """
    configuration = quic_configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        idle_timeout=idle_timeout_seconds,
        server_name=certificates.SERVER_NAME,
    )
    if authority_file is None:
        configuration.verify_mode = ssl.CERT_NONE
    else:
        configuration.load_verify_locations(cafile=authority_file)
    return configuration


@dataclasses.dataclass(slots=True, kw_only=True)
class _PartialResponse:
    status: int
    headers: tuple[messages.Header, ...]
    body: bytearray = dataclasses.field(default_factory=bytearray)


class Http3Client:
    """An HTTP/3 connection to one service address.

    The owner passes in received datagrams and expired timers, and sends the datagrams
    that :meth:`take_datagrams` returns.
    """

    def __init__(
        self,
        *,
        configuration: quic_configuration.QuicConfiguration,
        service: _types.Address,
        now: float,
    ) -> None:
        """Start the handshake; :meth:`take_datagrams` returns its first datagram."""
        self.service = service
        self.quic = quic_connection.QuicConnection(configuration=configuration)
        self.quic.connect(service, now)
        self.h3: h3_connection.H3Connection | None = None
        self.closed = False
        self.open_requests: set[int] = set()
        self._partial_responses: dict[int, _PartialResponse] = {}
        self._control_buffers: dict[int, bytes] = {}
        self._events: list[Event] = []

    def receive(self, payload: bytes, now: float) -> None:
        """Handle one datagram from the server."""
        if self.closed:
            return
        if self._is_reset(payload):
            self._close("stateless reset from the server", was_reset=True)
            return
        self.quic.receive_datagram(payload, self.service, now)
        self._read_events()

    def take_datagrams(self, now: float) -> list[bytes]:
        """Return the datagrams to send to the service address."""
        if self.closed:
            return []
        payloads = [payload for payload, _ in self.quic.datagrams_to_send(now)]
        self._read_events()
        return payloads

    def take_events(self) -> list[Event]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def next_timer(self) -> float | None:
        """Return when :meth:`handle_timer` is due, or ``None`` without a timer."""
        return None if self.closed else self.quic.get_timer()

    def handle_timer(self, now: float) -> None:
        """Handle an expired QUIC timer."""
        if not self.closed:
            self.quic.handle_timer(now)
            self._read_events()

    def request(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[messages.Header, ...] = (),
        body: bytes = b"",
    ) -> int:
        """Send a complete request and return its stream ID."""
        if self.h3 is None:
            raise RuntimeError("cannot send a request before the handshake completes")
        stream = self.quic.get_next_available_stream_id()
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", certificates.SERVER_NAME.encode()),
            (b":path", path.encode()),
        ]
        fields += [(header.name, header.value) for header in headers]
        self.h3.send_headers(stream, fields, end_stream=not body)
        if body:
            self.h3.send_data(stream, body, end_stream=True)
        self.open_requests.add(stream)
        return stream

    def cancel(self, stream: int) -> None:
        """Cancel a request by resetting its stream in both directions."""
        code = h3_connection.ErrorCode.H3_REQUEST_CANCELLED
        self.open_requests.discard(stream)
        self._partial_responses.pop(stream, None)
        try:
            self.quic.reset_stream(stream, code)
            self.quic.stop_stream(stream, code)
        except ValueError as error:
            # The response was completed just before, and aioquic discarded the stream.
            logger.debug(
                "HTTP/3 request on stream %d has already ended: %s", stream, error
            )

    def ping(self) -> None:
        """Send a PING frame, which restarts the idle timeout."""
        self.quic.send_ping(0)

    @property
    def peer_connection_id(self) -> bytes:
        """The destination connection ID currently in use."""
        return bytes(self.quic._peer_cid.cid)

    def close(self) -> None:
        """Close the connection; :meth:`take_datagrams` returns the final datagram."""
        self.quic.close(error_code=h3_connection.ErrorCode.H3_NO_ERROR)

    def _is_reset(self, payload: bytes) -> bool:
        if len(payload) < stateless_reset.MIN_RESET_BYTES or payload[0] & 0x80:
            return False
        reset_token = self.quic._peer_cid.stateless_reset_token
        return bool(reset_token) and payload[-RESET_TOKEN_BYTES:] == reset_token

    def _read_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._read_event(event)

    def _read_event(self, event: quic_events.QuicEvent) -> None:
        if isinstance(event, quic_events.HandshakeCompleted):
            self.h3 = h3_connection.H3Connection(self.quic)
            self._events.append(Connected())
        elif isinstance(event, quic_events.ConnectionTerminated):
            self._close(event.reason_phrase)
        elif self.h3 is not None:
            self._read_http3(self.h3, event)

    def _read_http3(
        self, h3: h3_connection.H3Connection, event: quic_events.QuicEvent
    ) -> None:
        if isinstance(event, quic_events.StreamReset):
            self._fail(event.stream_id, event.error_code)
        if isinstance(event, quic_events.StreamDataReceived):
            self._read_control(event)
        for http_event in h3.handle_event(event):
            if isinstance(http_event, h3_events.HeadersReceived):
                self._read_headers(http_event)
            elif isinstance(http_event, h3_events.DataReceived):
                self._read_data(http_event)

    def _read_headers(self, event: h3_events.HeadersReceived) -> None:
        if event.stream_id not in self._partial_responses:
            fields = dict(event.headers)
            self._partial_responses[event.stream_id] = _PartialResponse(
                status=int(fields[b":status"]),
                headers=tuple(
                    messages.Header(name=name, value=value)
                    for name, value in event.headers
                    if not name.startswith(b":")
                ),
            )
        if event.stream_ended:
            self._finish(event.stream_id)

    def _read_data(self, event: h3_events.DataReceived) -> None:
        partial = self._partial_responses.get(event.stream_id)
        if partial is None:
            return
        partial.body += event.data
        if event.stream_ended:
            self._finish(event.stream_id)

    def _finish(self, stream: int) -> None:
        partial = self._partial_responses.pop(stream)
        if stream not in self.open_requests:
            return
        self.open_requests.discard(stream)
        response = messages.Response(
            status=partial.status, headers=partial.headers, body=bytes(partial.body)
        )
        self._events.append(ResponseReceived(stream=stream, response=response))

    def _fail(self, stream: int, error_code: int) -> None:
        self._partial_responses.pop(stream, None)
        if stream in self.open_requests:
            self.open_requests.discard(stream)
            self._events.append(RequestFailed(stream=stream, error_code=error_code))

    def _close(self, reason: str, *, was_reset: bool = False) -> None:
        if not self.closed:
            self.closed = True
            self._events.append(Closed(reason=reason, was_reset=was_reset))

    def _read_control(self, event: quic_events.StreamDataReceived) -> None:
        """Parse the server's control stream for GOAWAY frames."""
        stream = event.stream_id
        if stream & _STREAM_KIND_MASK != _SERVER_UNIDIRECTIONAL_STREAM:
            return
        pending = self._control_buffers.get(stream, b"") + event.data
        buffer = _buffer.Buffer(data=pending)
        try:
            if stream not in self._control_buffers:
                if buffer.pull_uint_var() != _CONTROL_STREAM_TYPE:
                    self._control_buffers[stream] = b""
                    return
                pending = pending[buffer.tell() :]
                buffer = _buffer.Buffer(data=pending)
            while not buffer.eof():
                self._read_control_frame(buffer)
                pending = pending[buffer.tell() :]
                buffer = _buffer.Buffer(data=pending)
        except _buffer.BufferReadError:
            pass
        self._control_buffers[stream] = pending

    def _read_control_frame(self, buffer: _buffer.Buffer) -> None:
        frame_type = buffer.pull_uint_var()
        frame = buffer.pull_bytes(buffer.pull_uint_var())
        if frame_type == h3_connection.FrameType.GOAWAY:
            stream = _buffer.Buffer(data=frame).pull_uint_var()
            self._events.append(GoAway(stream=stream))
