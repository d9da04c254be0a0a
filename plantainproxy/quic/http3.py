"""HTTP/3 on one connection of a caller: buffers requests and sends responses.

aioquic parses the frames. It neither sends nor reports GOAWAY frames, so this module
writes them to the control stream (RFC 9114, 5.2 and 7.2.6).
"""

import dataclasses

from aioquic import buffer
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import connection as quic_connection
from aioquic.quic import events as quic_events

from plantainproxy import _exceptions
from plantainproxy.quic import connection
from plantainproxy.rpc import messages

FIELD_OVERHEAD_BYTES = 32
"""Added to the size of each header field (RFC 9114, 4.2.2)."""
MAX_FRAME_BUFFER_BYTES = 65_536
"""Maximum number of bytes buffered for one incomplete frame."""
MAX_PARTIAL_BODIES = 4
"""Limit on all incomplete bodies of a connection, in bodies of maximum size."""
CONNECTION_SPECIFIC_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Fields of HTTP/1.1 responses that HTTP/3 forbids (RFC 9114, 4.2)."""
INITIAL_GOAWAY_ID = (1 << 62) - 4
"""Stream ID of a GOAWAY that announces a shutdown but rejects no request yet."""
REQUEST_STREAM_STEP = 4
"""Difference between the IDs of successive request streams."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Size limits of a request."""

    max_header_bytes: int = 16_384
    """Maximum size of a header block, calculated as in RFC 9114, section 4.2.2."""
    max_body_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompleteRequest:
    """A request that was received completely."""

    stream: int
    request: messages.Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusedRequest:
    """A request that exceeds a limit or is invalid."""

    stream: int
    kind: _exceptions.ErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelledRequest:
    """A request that the caller cancelled after it was reported."""

    stream: int


Event = CompleteRequest | RefusedRequest | CancelledRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class _PartialRequest:
    """A request that has not been received completely."""

    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytearray = dataclasses.field(default_factory=bytearray)


class Http3Connection:
    """The HTTP/3 state of one connection."""

    def __init__(self, quic: quic_connection.QuicConnection, limits: Limits) -> None:
        """Open the control streams on an established connection."""
        self.quic = quic
        self.limits = limits
        self.h3 = h3_connection.H3Connection(quic)
        self.partial_requests: dict[int, _PartialRequest] = {}
        self.unanswered_streams: set[int] = set()
        """Streams of requests that were reported and not yet answered."""
        self.next_stream = 0
        """The request stream ID after the highest one that was not rejected."""
        self.rejects_new_requests = False
        """Set by the final GOAWAY; later requests are rejected and not reported."""

    def receive(self, event: quic_events.QuicEvent) -> list[Event]:
        """Process one event of the QUIC connection; return the resulting events."""
        if isinstance(event, quic_events.StopSendingReceived):
            self.h3.handle_event(event)
            return self._cancel_request(event.stream_id)
        if isinstance(event, quic_events.StreamReset):
            self.h3.handle_event(event)
            self._discard_incomplete(event.stream_id)
            return []
        events: list[Event] = []
        for http_event in self.h3.handle_event(event):
            if isinstance(http_event, h3_events.HeadersReceived):
                events += self._receive_headers(http_event)
            elif isinstance(http_event, h3_events.DataReceived):
                events += self._receive_data(http_event)
        if isinstance(event, quic_events.StreamDataReceived):
            events += self._check_frame_buffer(event.stream_id)
        return events

    def respond(self, stream: int, response: messages.Response) -> bool:
        """Send a complete response; return whether the request was still open."""
        if stream not in self.unanswered_streams:
            return False
        self.unanswered_streams.discard(stream)
        fields = [(b":status", str(response.status).encode())]
        fields += [
            (header.name.lower(), header.value)
            for header in response.headers
            if header.name.lower() not in CONNECTION_SPECIFIC_FIELDS
        ]
        has_body = bool(response.body)
        self.h3.send_headers(stream, fields, end_stream=not has_body)
        if has_body:
            self.h3.send_data(stream, response.body, end_stream=True)
        return True

    def send_goaway(self, *, final: bool) -> None:
        """Send GOAWAY, so that the caller uses another connection for new requests.

        All requests are still accepted until the final GOAWAY, which contains the
        stream ID of the first request that was not and will not be processed.
        """
        goaway_id = self.next_stream if final else INITIAL_GOAWAY_ID
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY, buffer.encode_uint_var(goaway_id)
        )
        control_stream = self.h3._local_control_stream_id
        if control_stream is not None:
            self.quic.send_stream_data(control_stream, frame)
        self.rejects_new_requests = self.rejects_new_requests or final

    def _receive_headers(self, event: h3_events.HeadersReceived) -> list[Event]:
        stream = event.stream_id
        if stream in self.partial_requests:
            return self._complete_request(stream) if event.stream_ended else []
        if stream < self.next_stream and stream in self.unanswered_streams:
            return []
        if self.rejects_new_requests:
            self._reject(stream)
            return []
        self.next_stream = max(self.next_stream, stream + REQUEST_STREAM_STEP)
        header_bytes = sum(
            len(name) + len(value) + FIELD_OVERHEAD_BYTES
            for name, value in event.headers
        )
        if header_bytes > self.limits.max_header_bytes:
            return self._refuse_too_large(stream, "The header block is too large.")
        partial = _parse_header_block(event.headers)
        if partial is None:
            return self._refuse(
                stream, _exceptions.ErrorKind.BAD_REQUEST, "The request line is bad."
            )
        self.partial_requests[stream] = partial
        return self._complete_request(stream) if event.stream_ended else []

    def _receive_data(self, event: h3_events.DataReceived) -> list[Event]:
        partial = self.partial_requests.get(event.stream_id)
        if partial is None:
            return []
        if len(partial.body) + len(event.data) > self.limits.max_body_bytes:
            return self._refuse_too_large(event.stream_id, "The body is too large.")
        buffered_bytes = sum(
            len(other.body) for other in self.partial_requests.values()
        )
        if buffered_bytes > MAX_PARTIAL_BODIES * self.limits.max_body_bytes:
            return self._refuse(
                event.stream_id,
                _exceptions.ErrorKind.OVERLOADED,
                "Too much is under way on this connection.",
            )
        partial.body += event.data
        return self._complete_request(event.stream_id) if event.stream_ended else []

    def _complete_request(self, stream: int) -> list[Event]:
        partial = self.partial_requests.pop(stream)
        self.unanswered_streams.add(stream)
        request = messages.Request(
            method=partial.method,
            path=partial.path,
            headers=partial.headers,
            body=bytes(partial.body),
        )
        return [CompleteRequest(stream=stream, request=request)]

    def _refuse_too_large(self, stream: int, detail: str) -> list[Event]:
        return self._refuse(stream, _exceptions.ErrorKind.TOO_LARGE, detail)

    def _refuse(
        self, stream: int, kind: _exceptions.ErrorKind, detail: str
    ) -> list[Event]:
        self.partial_requests.pop(stream, None)
        self.unanswered_streams.add(stream)
        connection.stop_receiving(
            self.quic, stream, h3_connection.ErrorCode.H3_NO_ERROR
        )
        return [RefusedRequest(stream=stream, kind=kind, detail=detail)]

    def _reject(self, stream: int) -> None:
        """Reset a stream whose request was not processed (RFC 9114, 4.1.1)."""
        code = h3_connection.ErrorCode.H3_REQUEST_REJECTED
        self.quic.reset_stream(stream, code)
        connection.stop_receiving(self.quic, stream, code)

    def _cancel_request(self, stream: int) -> list[Event]:
        self.partial_requests.pop(stream, None)
        if stream not in self.unanswered_streams:
            return []
        self.unanswered_streams.discard(stream)
        return [CancelledRequest(stream=stream)]

    def _discard_incomplete(self, stream: int) -> None:
        """Discard an incomplete request whose stream the caller has reset.

        A caller also resets its side of a stream in reply to the STOP_SENDING of a
        refusal. It still expects the response, so that stream is left open.
        """
        if self.partial_requests.pop(stream, None) is not None:
            self.quic.reset_stream(
                stream, h3_connection.ErrorCode.H3_REQUEST_INCOMPLETE
            )

    def _check_frame_buffer(self, stream: int) -> list[Event]:
        """Close the connection if an incomplete frame exceeds the buffer limit."""
        stream_state = self.h3._stream.get(stream)
        if stream_state is None or len(stream_state.buffer) <= MAX_FRAME_BUFFER_BYTES:
            return []
        stream_state.buffer = b""
        self.quic.close(
            error_code=h3_connection.ErrorCode.H3_EXCESSIVE_LOAD,
            reason_phrase="A frame is too large.",
        )
        return []


def _parse_header_block(fields: h3_events.Headers) -> _PartialRequest | None:
    """Build a request from a header block; ``None`` if method or path is invalid.

    aioquic has checked before that the required pseudo-headers are present.
    """
    pseudo_headers = {name: value for name, value in fields if name.startswith(b":")}
    path = pseudo_headers.get(b":path", b"")
    method = pseudo_headers[b":method"]
    if b":protocol" in pseudo_headers or not path.startswith((b"/", b"*")):
        return None
    if not method.isalpha() or not (method + path).isascii():
        return None
    headers = [messages.Header(name=b"host", value=pseudo_headers[b":authority"])]
    headers += [
        messages.Header(name=name, value=value)
        for name, value in fields
        if not name.startswith(b":") and name != b"host"
    ]
    return _PartialRequest(
        method=method.decode(), path=path.decode(), headers=tuple(headers)
    )
