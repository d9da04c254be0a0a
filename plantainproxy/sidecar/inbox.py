"""Messages to the task that owns the callers' connections, and its counters."""

import dataclasses

from plantainproxy import _members
from plantainproxy.config import model
from plantainproxy.rpc import messages
from plantainproxy.wire import keyring


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Datagrams:
    """A batch of messages received on the tunnel socket."""

    batch: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCompleted:
    """A request task has produced its response."""

    connection: int
    stream: int
    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationChanged:
    """The generation in the member record of this process was raised."""

    generation: int
    """Milliseconds since the epoch."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeysChanged:
    """A newer key set was received."""

    keys: keyring.Keyring


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ViewChanged:
    """The current view of the pool's configuration, which may be unchanged."""

    view: model.PoolView


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiblingsChanged:
    """The current member records of the pool's sidecars, which may be unchanged."""

    records: tuple[_members.MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Stop or resume accepting new connections."""

    draining: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Stop as planned: let requests finish and callers move away within the grace."""

    grace_seconds: float


Message = (
    Datagrams
    | RequestCompleted
    | GenerationChanged
    | KeysChanged
    | ViewChanged
    | SiblingsChanged
    | Drain
    | Stop
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Counters:
    """Counts of datagrams, connections and requests since the process started."""

    before_keys: int = 0
    """Datagrams dropped before a key set and a configuration were received."""
    strangers: int = 0
    """Datagrams without a valid tunnel prefix or PROXY header."""
    unknown_service: int = 0
    invalid: int = 0
    received: int = 0
    sent: int = 0
    send_failures: int = 0
    forwarded: int = 0
    dropped_openings: int = 0
    resets: int = 0
    resets_withheld: int = 0
    lines_opened: int = 0
    lines_closed: int = 0
    requests: int = 0
    requests_refused: int = 0
    requests_cancelled: int = 0
