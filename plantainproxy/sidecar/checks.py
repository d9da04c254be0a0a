"""Validation of callers' requests before they are claimed or placed."""

import dataclasses

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import retry
from plantainproxy.rpc import messages
from plantainproxy.sidecar import context, upstream

MAX_TIMEOUT_SECONDS = 300.0
MAX_HEADER_BYTES = 65_536
HEADER_OVERHEAD_BYTES = 32
"""Added to the size of each header field, as in RFC 9114, 4.2.2."""
KEY_HEADER = b"idempotency-key"
TIMEOUT_HEADER = upstream.TIMEOUT_HEADER


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckedRequest:
    """A validated request with its pool and deadline."""

    request: messages.Request
    service: _types.Address
    view: model.PoolView
    pool: model.Pool
    deadline: float
    repeatable: bool
    """Whether the request may safely run more than once."""


def check(
    state: context.State,
    request: messages.Request,
    service: _types.Address,
    *,
    keyed: bool,
) -> CheckedRequest:
    """Validate a request; raise ``PlantainError`` if it is refused.

    A request with an idempotency key is not repeatable, whatever its method.
    """
    now = trio.current_time()
    _check_syntax_and_size(state, request)
    timeout = _timeout_seconds(request, state.default_timeout_seconds)
    view, pool = require_pool(state, service)
    if timeout <= 0:
        raise _error(_exceptions.ErrorKind.DEADLINE_EXPIRED)
    return CheckedRequest(
        request=request,
        service=service,
        view=view,
        pool=pool,
        deadline=now + min(timeout, MAX_TIMEOUT_SECONDS),
        repeatable=request.method in retry.IDEMPOTENT_METHODS and not keyed,
    )


def _check_syntax_and_size(state: context.State, request: messages.Request) -> None:
    if not request.method.isalpha() or request.method == "CONNECT":
        raise _error(_exceptions.ErrorKind.BAD_REQUEST, "the method is not served")
    if not request.path.startswith(("/", "*")):
        raise _error(_exceptions.ErrorKind.BAD_REQUEST, "the path is not absolute")
    if len(request.body) > state.max_body_bytes:
        raise _error(_exceptions.ErrorKind.TOO_LARGE, "the body is too large")
    header_bytes = sum(
        len(field.name) + len(field.value) + HEADER_OVERHEAD_BYTES
        for field in request.headers
    )
    if header_bytes > MAX_HEADER_BYTES:
        raise _error(_exceptions.ErrorKind.TOO_LARGE, "the header is too large")
    for name in (KEY_HEADER, TIMEOUT_HEADER):
        if sum(field.name.lower() == name for field in request.headers) > 1:
            detail = f"{name.decode()} stands more than once"
            raise _error(_exceptions.ErrorKind.BAD_REQUEST, detail)


def _timeout_seconds(request: messages.Request, default: float) -> float:
    value = header_value(request, TIMEOUT_HEADER)
    if value is None:
        return default
    if not value.isdigit() or len(value) > 9:
        detail = "request-timeout-ms is not a number of milliseconds"
        raise _error(_exceptions.ErrorKind.BAD_REQUEST, detail)
    return int(value) / 1000


def require_pool(
    state: context.State, service: _types.Address
) -> tuple[model.PoolView, model.Pool]:
    """Return the view and the pool.

    Raises ``PlantainError`` if the key set or the view is missing, or if the service is
    not in the pool.
    """
    view = state.view
    if view is None or state.ring is None:
        raise _error(_exceptions.ErrorKind.NOT_READY)
    if view.pool is None or service not in view.services:
        raise _error(
            _exceptions.ErrorKind.NO_UPSTREAM, "the service has left this pool"
        )
    return view, view.pool


def header_value(request: messages.Request, name: bytes) -> bytes | None:
    """Return the value of the first header field with this name, or ``None``."""
    for field in request.headers:
        if field.name.lower() == name:
            return field.value
    return None


def _error(kind: _exceptions.ErrorKind, detail: str = "") -> _exceptions.PlantainError:
    return _exceptions.PlantainError(kind, detail)
