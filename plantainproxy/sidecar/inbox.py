"""The messages that the owner of the callers' lines takes, and its counters."""

import dataclasses

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.rpc import messages
from plantainproxy.wire import keyring


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Datagrams:
    """Messages that arrived on the tunnel socket."""

    batch: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCompleted:
    """A request task has ended."""

    connection: int
    stream: int
    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationChanged:
    """The generation that others know this process by was raised."""

    generation: int
    """Milliseconds since the epoch."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeysChanged:
    """There is a new key set."""

    keys: keyring.Keyring


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ViewChanged:
    """There is a new configuration."""

    view: model.PoolView


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiblingsChanged:
    """The members of the pool have changed."""

    records: tuple[_types.MemberRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Take new lines, or take none."""

    draining: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Let requests finish and callers leave, then end."""

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
    """What has happened to datagrams, lines and requests since the start."""

    before_keys: int = 0
    """Datagrams dropped before a key set and a configuration were known."""
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
