"""The calls with which an upstream announces itself to its sidecar."""

from collections import abc

import msgspec

from plantainproxy import _http_server, _types
from plantainproxy.flows import upstream

PREFIX = "/v1/instances/"
HEARTBEAT = "heartbeat"
LEAVE = "deregister"
DRAINING = "draining"
READY = "ready"
MILLISECONDS = 1_000.0

OK = _http_server.Response(200, b"{}")
BAD_REQUEST = _http_server.Response(400, b"{}")
NOT_FOUND = _http_server.Response(404, b"{}")


class _Beat(msgspec.Struct):
    service: str
    addr: str
    state: str
    # How much longer the upstream is slow after its start.
    cold_left_ms: float
    slots: int
    # Counts the calls of one incarnation.
    seq: int
    # Start of the incarnation, Unix time in milliseconds.
    born: int = 0


_decoder = msgspec.json.Decoder(_Beat)


def decode(
    body: bytes, *, instance: str, address: _types.Address
) -> upstream.Heartbeat | None:
    """Decode the heartbeat of the upstream at an address; ``None`` if it is none."""
    try:
        beat = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    if beat.state not in (READY, DRAINING) or beat.addr != str(address):
        return None
    return upstream.Heartbeat(
        instance=instance,
        pool=beat.service,
        draining=beat.state == DRAINING,
        cold_seconds=max(beat.cold_left_ms, 0.0) / MILLISECONDS,
        slots=max(beat.slots, 1),
        born=beat.born,
        number=beat.seq,
    )


def make_handler(
    *,
    address: _types.Address,
    on_heartbeat: abc.Callable[[upstream.Heartbeat], bool],
    on_leave: abc.Callable[[str], None],
) -> abc.Callable[[_http_server.Request], _http_server.Response]:
    """Make the HTTP handler that the upstream at an address calls.

    ``on_heartbeat`` returns whether the heartbeat was meant for this sidecar.
    """

    def handle(request: _http_server.Request) -> _http_server.Response:
        instance, _, action = request.path.removeprefix(PREFIX).partition("/")
        if request.method != "POST" or not request.path.startswith(PREFIX):
            return NOT_FOUND
        if action == LEAVE:
            on_leave(instance)
            return OK
        if action != HEARTBEAT:
            return NOT_FOUND
        beat = decode(request.body, instance=instance, address=address)
        if beat is None or not on_heartbeat(beat):
            return BAD_REQUEST
        return OK

    return handle
