"""Events of the callers' connections, as reported to the sidecar."""

import dataclasses

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionOpened:
    """A caller completed its handshake."""

    connection: int
    """Number of the connection, unique within this process."""
    service: _types.Address
    caller: _types.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived:
    """A complete request was received; it requires exactly one response."""

    connection: int
    stream: int
    """Stream ID, which identifies the request within its connection."""
    service: _types.Address
    """Service address to which the caller opened the connection."""
    request: messages.Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused:
    """A request exceeds a limit or is invalid; it requires exactly one response."""

    connection: int
    stream: int
    service: _types.Address
    kind: _exceptions.ErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCancelled:
    """The caller cancelled a request, or its connection ended before the response."""

    connection: int
    stream: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionClosed:
    """A connection ended; its open requests were reported as cancelled before."""

    connection: int
    service: _types.Address
    reason: str
    is_established: bool
    """Whether the handshake was completed."""


Event = (
    ConnectionOpened
    | RequestReceived
    | RequestRefused
    | RequestCancelled
    | ConnectionClosed
)
