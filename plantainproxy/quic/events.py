"""What the callers' connections report to the sidecar."""

import dataclasses

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LineOpened:
    """A caller completed its handshake."""

    line: int
    """Identifies the connection within this process."""
    service: _types.Address
    caller: _types.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived:
    """A whole request arrived; it wants exactly one response."""

    line: int
    stream: int
    """Identifies the request within its connection."""
    service: _types.Address
    """The service address that the caller opened the connection to."""
    request: messages.Request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused:
    """A request that breaks a limit or a rule; it wants exactly one response."""

    line: int
    stream: int
    service: _types.Address
    kind: _exceptions.ErrorKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCancelled:
    """The caller no longer wants a response, or can no longer be told."""

    line: int
    stream: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LineClosed:
    """A connection ended; its requests were reported as cancelled before."""

    line: int
    service: _types.Address
    reason: str
    established: bool
    """Whether the handshake had completed."""


Event = LineOpened | RequestReceived | RequestRefused | RequestCancelled | LineClosed
