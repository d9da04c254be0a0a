"""HTTP API through which an upstream sends heartbeats to its sidecar."""

from collections import abc
import functools
import typing

import msgspec

from plantainproxy import _decoding, _http_server, _types
from plantainproxy.flows.engine import upstream

PREFIX = "/v1/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
DRAINING = "draining"
MILLISECONDS_PER_SECOND = 1_000.0
MAX_SLOTS = 1_000_000
"""Upper bound of the slots of one upstream. Twice as many, which a report may state,
and sums over a fleet fit the 64 bits of an encoded integer."""

OK = _http_server.Response(200, b"{}")
BAD_REQUEST = _http_server.Response(400, b"{}")
NOT_FOUND = _http_server.Response(404, b"{}")


class HeartbeatMessage(msgspec.Struct):
    """The fields that every upstream sends; without one, the writer is another."""

    service: _decoding.Name
    addr: _decoding.Name
    zone: _decoding.Name
    version: _decoding.Name
    state: typing.Literal["ready", "draining"]
    # Remaining time for which the upstream is cold after its start.
    cold_left_ms: _decoding.Number
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    # Sequence number of the heartbeat within one incarnation.
    seq: _decoding.Count
    # Start time of the incarnation, Unix time in milliseconds.
    born: _decoding.Count


class DeregistrationMessage(msgspec.Struct):
    """The fields of a deregistration; its body may be empty."""

    # Start time of the incarnation that ends, Unix time in milliseconds.
    born: _decoding.Count | None = None


_decoder = msgspec.json.Decoder(HeartbeatMessage)
_deregistration_decoder = msgspec.json.Decoder(DeregistrationMessage | None)


def decode(
    body: bytes,
    *,
    instance: str,
    address: _types.Address,
    on_refused: abc.Callable[[Exception], None] = _decoding.ignore,
) -> upstream.Heartbeat | None:
    """Decode a heartbeat of the upstream at ``address``.

    Returns ``None`` if the body is malformed, lacks a field, or contains a number out
    of range, an unknown state or another address: it is then of another writer.
    """
    try:
        heartbeat = _decoder.decode(body)
        _check_address(heartbeat.addr, address)
    except _decoding.ERRORS as error:
        on_refused(error)
        return None
    return upstream.Heartbeat(
        instance=instance,
        pool=heartbeat.service,
        draining=heartbeat.state == DRAINING,
        cold_seconds=max(heartbeat.cold_left_ms, 0.0) / MILLISECONDS_PER_SECOND,
        slots=max(heartbeat.slots, 1),
        born=heartbeat.born,
        number=heartbeat.seq,
    )


def _check_address(stated: str, address: _types.Address) -> None:
    if stated != str(address):
        raise msgspec.ValidationError(f"expected the address {address}, got {stated!r}")


def make_handler(
    *,
    address: _types.Address,
    on_heartbeat: abc.Callable[[upstream.Heartbeat], bool],
    on_deregister: abc.Callable[[str, int | None], None],
    on_malformed: abc.Callable[[str, Exception], None],
) -> abc.Callable[[_http_server.Request], _http_server.Response]:
    """Return the HTTP handler for heartbeats of the upstream at ``address``.

    ``on_heartbeat`` returns whether the heartbeat is meant for this sidecar; if not,
    the upstream gets status 400. ``on_deregister`` gets the name of the instance and
    the start of its incarnation if it is stated, and ``on_malformed`` the name that a
    call of another writer states, with the reason.
    """

    def handle_deregistration(instance: str, body: bytes) -> _http_server.Response:
        try:
            message = _deregistration_decoder.decode(body) if body else None
        except _decoding.ERRORS as error:
            on_malformed(instance, error)
            return BAD_REQUEST
        on_deregister(instance, message.born if message else None)
        return OK

    def handle(request: _http_server.Request) -> _http_server.Response:
        instance, _, action = request.path.removeprefix(PREFIX).partition("/")
        if request.method != "POST" or not request.path.startswith(PREFIX):
            return NOT_FOUND
        if len(instance) > _decoding.MAX_NAME_LENGTH:
            return NOT_FOUND
        if action == DEREGISTER:
            return handle_deregistration(instance, request.body)
        if action != HEARTBEAT:
            return NOT_FOUND
        heartbeat = decode(
            request.body,
            instance=instance,
            address=address,
            on_refused=functools.partial(on_malformed, instance),
        )
        if heartbeat is None:
            return BAD_REQUEST
        return OK if on_heartbeat(heartbeat) else BAD_REQUEST

    return handle
