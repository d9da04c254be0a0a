"""The subset of etcd v3's JSON gateway that the stand-in store answers."""

import base64
from collections import abc
import dataclasses
import typing

from standins import store_data

MAX_VALUE_BYTES = 1_048_576
MAX_REQUEST_BYTES = 1_572_864

Body = dict[str, typing.Any]


class GatewayError(Exception):
    """A refusal in the form of the gateway."""

    def __init__(self, status: int, code: int, message: str) -> None:
        """Hold the HTTP status, the gRPC code and the message."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message

    @property
    def body(self) -> Body:
        """The answer's body."""
        return {"error": self.message, "code": self.code, "message": self.message}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call with what it needs besides its body."""

    data: store_data.Data
    body: Body
    now: float
    stale_revisions: int = 0
    """How many revisions behind reads are answered."""


def _bytes(body: Body, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _header(data: store_data.Data) -> Body:
    return {"cluster_id": "1", "member_id": "1", "revision": str(data.revision)}


def render_version(version: store_data.Version) -> Body:
    """Render one key-value pair."""
    rendered: Body = {
        "key": _text(version.key),
        "create_revision": str(version.create_revision),
        "mod_revision": str(version.mod_revision),
        "version": str(version.version),
    }
    if version.value:
        rendered["value"] = _text(version.value)
    if version.lease:
        rendered["lease"] = str(version.lease)
    return rendered


def _range(call: Call) -> Body:
    revision = max(0, call.data.revision - call.stale_revisions)
    found = store_data.scan(
        call.data,
        _bytes(call.body, "key"),
        _bytes(call.body, "range_end"),
        at_revision=revision,
    )
    if call.body.get("sort_order") == "DESCEND":
        found.reverse()
    limit = int(call.body.get("limit", 0))
    kept = found[:limit] if limit else found
    answer: Body = {"header": _header(call.data)}
    if found:
        answer["kvs"] = [render_version(version) for version in kept]
        if call.body.get("keys_only"):
            for rendered in answer["kvs"]:
                rendered.pop("value", None)
        answer["count"] = str(len(found))
    if len(kept) < len(found):
        answer["more"] = True
    return answer


def _holds(data: store_data.Data, compare: Body) -> bool:
    if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
        raise GatewayError(400, 3, "standin: only MOD EQUAL compares are served")
    expected = int(compare.get("mod_revision", 0))
    return store_data.mod_revision(data, _bytes(compare, "key")) == expected


def _write(data: store_data.Data, operation: Body) -> store_data.Write:
    removal = operation.get("request_delete_range")
    if removal is not None:
        return store_data.Write(key=_bytes(removal, "key"), value=None)
    put = operation.get("request_put")
    if put is None:
        raise GatewayError(400, 3, "standin: only puts and removals are served")
    value = _bytes(put, "value")
    lease = int(put.get("lease", 0))
    if len(value) > MAX_VALUE_BYTES:
        raise GatewayError(400, 3, "etcdserver: request is too large")
    if lease and lease not in data.leases:
        raise GatewayError(404, 5, "etcdserver: requested lease not found")
    return store_data.Write(key=_bytes(put, "key"), value=value, lease=lease)


def _txn(call: Call) -> Body:
    compares = call.body.get("compare", [])
    succeeded = all([_holds(call.data, compare) for compare in compares])
    operations = call.body.get("success" if succeeded else "failure", [])
    writes = [_write(call.data, operation) for operation in operations]
    if len({write.key for write in writes}) < len(writes):
        raise GatewayError(400, 3, "etcdserver: duplicate key given in txn request")
    if sum(len(write.value or b"") for write in writes) > MAX_REQUEST_BYTES:
        raise GatewayError(400, 3, "etcdserver: request is too large")
    store_data.apply(call.data, writes)
    answer: Body = {"header": _header(call.data)}
    if succeeded:
        answer["succeeded"] = True
    return answer


def _grant(call: Call) -> Body:
    ttl_seconds = int(call.body["TTL"])
    lease = store_data.grant(call.data, ttl_seconds=ttl_seconds, now=call.now)
    return {
        "header": _header(call.data),
        "ID": str(lease),
        "TTL": str(ttl_seconds),
    }


def _revoke(call: Call) -> Body:
    if not store_data.revoke(call.data, int(call.body["ID"])):
        raise GatewayError(404, 5, "etcdserver: requested lease not found")
    return {"header": _header(call.data)}


def _keepalive(call: Call) -> Body:
    number = int(call.body["ID"])
    result: Body = {"header": _header(call.data), "ID": str(number)}
    lease = call.data.leases.get(number)
    if lease is not None:
        lease.deadline = call.now + lease.ttl_seconds
        result["TTL"] = str(lease.ttl_seconds)
    return {"result": result}


CALLS: dict[str, tuple[str, abc.Callable[[Call], Body]]] = {
    "/v3/kv/range": ("range", _range),
    "/v3/kv/txn": ("txn", _txn),
    "/v3/lease/grant": ("grant", _grant),
    "/v3/lease/revoke": ("revoke", _revoke),
    "/v3/lease/keepalive": ("keepalive", _keepalive),
}
"""The kind of each path's call and the function that answers it."""

WATCH_PATH = "/v3/watch"


def watch_range(body: Body) -> tuple[bytes, bytes]:
    """Return the key range that a watch asks for."""
    request = body.get("create_request", {})
    return _bytes(request, "key"), _bytes(request, "range_end")


def render_created(data: store_data.Data) -> Body:
    """Render the first line of a watch."""
    return {"result": {"header": _header(data), "created": True}}


def render_events(data: store_data.Data, versions: list[store_data.Version]) -> Body:
    """Render the writes of one revision as a line of a watch."""
    events = []
    for version in versions:
        event: Body = {"kv": render_version(version)}
        if version.value is None:
            event = {
                "type": "DELETE",
                "kv": {
                    "key": _text(version.key),
                    "mod_revision": str(version.mod_revision),
                },
            }
        events.append(event)
    return {"result": {"header": _header(data), "events": events}}
