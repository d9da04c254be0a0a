"""HTTP API through which an upstream sends heartbeats to its sidecar."""

from collections import abc
import typing

import msgspec

from plantainproxy import _decoding, _http_server, _types
from plantainproxy.flows.engine import upstream

PREFIX = "/v1/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
DRAINING = "draining"
READY = "ready"
MILLISECONDS_PER_SECOND = 1_000.0
MAX_SLOTS = 1_000_000
"""Upper bound of the slots of one upstream. Twice as many, which a report may state,
and sums over a fleet fit the 64 bits of an encoded integer."""
MAX_INTEGER = 2**63 - 1
"""Largest integer that reports and snapshots can encode with either sign."""

OK = _http_server.Response(200, b"{}")
BAD_REQUEST = _http_server.Response(400, b"{}")
NOT_FOUND = _http_server.Response(404, b"{}")


_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _HeartbeatMessage(msgspec.Struct):
    """The fields that every upstream sends; without one, the writer is another."""

    service: str
    addr: str
    zone: str
    version: str
    state: str
    # Remaining time for which the upstream is cold after its start.
    cold_left_ms: float
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    # Sequence number of the heartbeat within one incarnation.
    seq: _Count
    # Start time of the incarnation, Unix time in milliseconds.
    born: _Count


_decoder = msgspec.json.Decoder(_HeartbeatMessage)


def decode(
    body: bytes, *, instance: str, address: _types.Address
) -> upstream.Heartbeat | None:
    """Decode a heartbeat of the upstream at ``address``.

    Returns ``None`` if the body is malformed, lacks a field, or contains a number out
    of range, an unknown state or another address: it is then of another writer.
    """
    try:
        heartbeat = _decoder.decode(body)
    except _decoding.ERRORS:
        return None
    if heartbeat.state not in (READY, DRAINING) or heartbeat.addr != str(address):
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


def make_handler(
    *,
    address: _types.Address,
    on_heartbeat: abc.Callable[[upstream.Heartbeat], bool],
    on_deregister: abc.Callable[[str], None],
    on_malformed: abc.Callable[[str], None],
) -> abc.Callable[[_http_server.Request], _http_server.Response]:
    """Return the HTTP handler for heartbeats of the upstream at ``address``.

    ``on_heartbeat`` returns whether the heartbeat is meant for this sidecar; if not,
    the upstream gets status 400. ``on_deregister`` gets the name of the instance, and
    ``on_malformed`` the one that a heartbeat of another writer states.
    """

    def handle(request: _http_server.Request) -> _http_server.Response:
        instance, _, action = request.path.removeprefix(PREFIX).partition("/")
        if request.method != "POST" or not request.path.startswith(PREFIX):
            return NOT_FOUND
        if action == DEREGISTER:
            on_deregister(instance)
            return OK
        if action != HEARTBEAT:
            return NOT_FOUND
        heartbeat = decode(request.body, instance=instance, address=address)
        if heartbeat is None:
            on_malformed(instance)
            return BAD_REQUEST
        return OK if on_heartbeat(heartbeat) else BAD_REQUEST

    return handle
