"""Error kinds, how each is reported, and the exception that carries them."""

import enum
import typing

from plantainproxy import _types


class ErrorKind(enum.StrEnum):
    """The closed set of reasons for which a request or an operation fails."""

    BAD_REQUEST = "bad-request"
    """The request is malformed."""
    TOO_LARGE = "too-large"
    """A header block or body exceeds the limit."""
    TICKET_REQUIRED = "ticket-required"
    """The idempotency key contains no ticket that this system issued."""
    KEY_REUSED = "key-reused"
    """The idempotency key was used before for a different request."""
    STILL_RUNNING = "still-running"
    """An earlier attempt with the same idempotency key is still running."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """It cannot be determined whether the request ran."""
    OVERLOADED = "overloaded"
    """The upstreams, the caller's connection or the claims table are at their limit."""
    NO_UPSTREAM = "no-upstream"
    """The pool has no eligible upstream."""
    DEADLINE_EXPIRED = "deadline-expired"
    """The deadline passed before the request was dispatched."""
    UPSTREAM_TIMEOUT = "upstream-timeout"
    """The deadline passed after the request was dispatched."""
    UPSTREAM_FAILED = "upstream-failed"
    """The HTTP exchange with the upstream failed after dispatch."""
    NOT_READY = "not-ready"
    """The process has not received a configuration yet."""
    INVALID_SETTINGS = "invalid-settings"
    """A settings file is invalid."""
    INVALID_CONFIGURATION = "invalid-configuration"
    """A proposed configuration is invalid; nothing was applied."""
    NOT_FOUND = "not-found"
    """The named object does not exist."""
    CONFLICT = "conflict"
    """Another change was accepted first; nothing was applied."""
    STORE_UNAVAILABLE = "store-unavailable"
    """The store did not respond; the change was not accepted."""
    CHANGE_UNKNOWN = "change-unknown"
    """The store's response to a change was lost; its outcome could not be read back."""
    PEER_UNAVAILABLE = "peer-unavailable"
    """Another balancer or sidecar did not respond."""
    USAGE = "usage"
    """A command line is invalid."""
    INTERNAL = "internal"
    """An unexpected error in the program itself."""


class Answer(typing.NamedTuple):
    """How one error kind is reported to callers, operators and peers."""

    http_status: int
    """Status code of the HTTP response to a caller (RFC 9110)."""
    outcome: _types.Outcome
    """Whether a request that failed with this kind ran."""
    exit_code: int
    """Exit code of a command-line program."""
    grpc_status: str
    """Name of the gRPC status code."""
    title: str
    """Human-readable summary in one sentence."""
    retry_after_seconds: int | None = None
    """Delay before a retry; ``None`` if a retry cannot succeed."""


_NOT_RUN = _types.Outcome.NOT_RUN
_UNKNOWN = _types.Outcome.UNKNOWN


def _answer(
    http_status: int,
    outcome: _types.Outcome,
    exit_code: int,
    grpc_status: str,
    title: str,
    retry_after_seconds: int | None = None,
) -> Answer:
    return Answer(
        http_status=http_status,
        outcome=outcome,
        exit_code=exit_code,
        grpc_status=grpc_status,
        title=title,
        retry_after_seconds=retry_after_seconds,
    )


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _answer(
        400, _NOT_RUN, 10, "INVALID_ARGUMENT", "The request is malformed."
    ),
    ErrorKind.TOO_LARGE: _answer(
        413, _NOT_RUN, 11, "INVALID_ARGUMENT", "The request is too large."
    ),
    ErrorKind.TICKET_REQUIRED: _answer(
        400, _NOT_RUN, 12, "INVALID_ARGUMENT", "The key carries no valid ticket."
    ),
    ErrorKind.KEY_REUSED: _answer(
        422, _NOT_RUN, 13, "ALREADY_EXISTS", "The key belongs to another request."
    ),
    ErrorKind.STILL_RUNNING: _answer(
        409, _UNKNOWN, 14, "ABORTED", "An earlier attempt is still running.", 1
    ),
    ErrorKind.OUTCOME_UNKNOWN: _answer(
        500, _UNKNOWN, 15, "DATA_LOSS", "Whether the request ran is not known."
    ),
    ErrorKind.OVERLOADED: _answer(
        503, _NOT_RUN, 16, "RESOURCE_EXHAUSTED", "All upstreams are at their limit.", 1
    ),
    ErrorKind.NO_UPSTREAM: _answer(
        503, _NOT_RUN, 17, "UNAVAILABLE", "No upstream can take the request.", 2
    ),
    ErrorKind.DEADLINE_EXPIRED: _answer(
        504, _NOT_RUN, 18, "DEADLINE_EXCEEDED", "The deadline passed before dispatch."
    ),
    ErrorKind.UPSTREAM_TIMEOUT: _answer(
        504, _UNKNOWN, 19, "DEADLINE_EXCEEDED", "The upstream did not answer in time."
    ),
    ErrorKind.UPSTREAM_FAILED: _answer(
        502, _UNKNOWN, 20, "UNKNOWN", "The exchange with the upstream broke."
    ),
    ErrorKind.NOT_READY: _answer(
        503, _NOT_RUN, 21, "UNAVAILABLE", "The process has no configuration yet.", 1
    ),
    ErrorKind.INVALID_SETTINGS: _answer(
        500, _NOT_RUN, 22, "FAILED_PRECONDITION", "The settings are wrong."
    ),
    ErrorKind.INVALID_CONFIGURATION: _answer(
        400, _NOT_RUN, 23, "INVALID_ARGUMENT", "The configuration is wrong."
    ),
    ErrorKind.NOT_FOUND: _answer(
        404, _NOT_RUN, 24, "NOT_FOUND", "The object does not exist."
    ),
    ErrorKind.CONFLICT: _answer(
        409, _NOT_RUN, 25, "ABORTED", "Another change was accepted first."
    ),
    ErrorKind.STORE_UNAVAILABLE: _answer(
        503, _NOT_RUN, 26, "UNAVAILABLE", "The store does not answer.", 5
    ),
    ErrorKind.CHANGE_UNKNOWN: _answer(
        500, _UNKNOWN, 27, "UNKNOWN", "Whether the change was accepted is not known."
    ),
    ErrorKind.PEER_UNAVAILABLE: _answer(
        503, _NOT_RUN, 28, "UNAVAILABLE", "The peer does not answer.", 1
    ),
    ErrorKind.USAGE: _answer(
        400, _NOT_RUN, 2, "INVALID_ARGUMENT", "The command line is wrong."
    ),
    ErrorKind.INTERNAL: _answer(
        500, _UNKNOWN, 70, "INTERNAL", "The program is at fault."
    ),
}
"""How each error kind is reported over HTTP, gRPC and the command line."""


class PlantainError(Exception):
    """An error of one kind, with a human-readable detail."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        """Create an error from its kind and its detail."""
        super().__init__(kind, detail)
        self.kind = kind
        """The error kind; it determines how the error is reported."""
        self.detail = detail
        """What was wrong and where; may be empty."""

    @property
    def answer(self) -> Answer:
        """The entry of ``ANSWERS`` for this kind."""
        return ANSWERS[self.kind]

    def __str__(self) -> str:
        """Render the title, the detail and the kind."""
        text = self.answer.title
        if self.detail:
            text = f"{text} {self.detail}"
        return f"{text} [{self.kind}]"
