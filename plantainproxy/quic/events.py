"""What the callers' connections report to the sidecar."""

import dataclasses

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionOpened:
    """A caller completed its handshake."""

    connection: int
    """Identifies the connection within this process."""
    service: _types.Address
    caller: _types.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived:
    """A whole request arrived; it wants exactly one response."""

    connection: int
    stream: int
    """Identifies the request within its connection."""
    service: _types.Address
    """The service address that the caller opened the connection to."""
    request: messages.Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused:
    """A request that breaks a limit or a rule; it wants exactly one response."""

    connection: int
    stream: int
    service: _types.Address
    kind: _exceptions.ErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCancelled:
    """The caller no longer wants a response, or can no longer be told."""

    connection: int
    stream: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionClosed:
    """A connection ended; its requests were reported as cancelled before."""

    connection: int
    service: _types.Address
    reason: str
    is_established: bool
    """Whether the handshake had completed."""


Event = (
    ConnectionOpened
    | RequestReceived
    | RequestRefused
    | RequestCancelled
    | ConnectionClosed
)
