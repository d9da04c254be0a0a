"""Request handlers of the stand-in store: a subset of etcd v3's JSON gateway.

Keys and values are base64 text and 64-bit integers are strings, as in etcd.
"""

import base64
from collections import abc
import dataclasses
import typing

from standins import store_data

MAX_VALUE_BYTES = 1_048_576
MAX_REQUEST_BYTES = 1_572_864

Body = dict[str, typing.Any]


class GatewayError(Exception):
    """An error response of the JSON gateway."""

    def __init__(self, status: int, code: int, message: str) -> None:
        """Create an error from HTTP status, gRPC status code and message."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message

    @property
    def body(self) -> Body:
        """Body of the error response."""
        return {"error": self.message, "code": self.code, "message": self.message}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewayCall:
    """Body of one call with the store data and the time at which it is executed."""

    data: store_data.StoreData
    body: Body
    now: float
    stale_revisions: int = 0
    """Number of revisions by which reads lag behind the newest one."""


def _decode_bytes(body: Body, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _response_header(data: store_data.StoreData) -> Body:
    return {"cluster_id": "1", "member_id": "1", "revision": str(data.revision)}


def render_key_value(version: store_data.Version) -> Body:
    """Return a version in the gateway's key-value format."""
    rendered: Body = {
        "key": _encode_bytes(version.key),
        "create_revision": str(version.create_revision),
        "mod_revision": str(version.mod_revision),
        "version": str(version.version),
    }
    if version.value:
        rendered["value"] = _encode_bytes(version.value)
    if version.lease_id:
        rendered["lease"] = str(version.lease_id)
    return rendered


def _handle_range(call: GatewayCall) -> Body:
    revision = max(0, call.data.revision - call.stale_revisions)
    versions = store_data.scan(
        call.data,
        _decode_bytes(call.body, "key"),
        _decode_bytes(call.body, "range_end"),
        at_revision=revision,
    )
    if call.body.get("sort_order") == "DESCEND":
        versions.reverse()
    limit = int(call.body.get("limit", 0))
    returned = versions[:limit] if limit else versions
    response: Body = {"header": _response_header(call.data)}
    if versions:
        response["kvs"] = [render_key_value(version) for version in returned]
        if call.body.get("keys_only"):
            for rendered in response["kvs"]:
                rendered.pop("value", None)
        response["count"] = str(len(versions))
    if len(returned) < len(versions):
        response["more"] = True
    return response


def _evaluate_compare(data: store_data.StoreData, compare: Body) -> bool:
    if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
        raise GatewayError(400, 3, "standin: only MOD EQUAL compares are served")
    expected = int(compare.get("mod_revision", 0))
    return store_data.mod_revision(data, _decode_bytes(compare, "key")) == expected


def _parse_write(data: store_data.StoreData, operation: Body) -> store_data.Write:
    removal = operation.get("request_delete_range")
    if removal is not None:
        return store_data.Write(key=_decode_bytes(removal, "key"), value=None)
    put = operation.get("request_put")
    if put is None:
        raise GatewayError(400, 3, "standin: only puts and removals are served")
    value = _decode_bytes(put, "value")
    lease_id = int(put.get("lease", 0))
    if len(value) > MAX_VALUE_BYTES:
        raise GatewayError(400, 3, "etcdserver: request is too large")
    if lease_id and lease_id not in data.leases:
        raise GatewayError(404, 5, "etcdserver: requested lease not found")
    return store_data.Write(
        key=_decode_bytes(put, "key"), value=value, lease_id=lease_id
    )


def _handle_txn(call: GatewayCall) -> Body:
    compares = call.body.get("compare", [])
    succeeded = all([_evaluate_compare(call.data, compare) for compare in compares])
    operations = call.body.get("success" if succeeded else "failure", [])
    writes = [_parse_write(call.data, operation) for operation in operations]
    if len({write.key for write in writes}) < len(writes):
        raise GatewayError(400, 3, "etcdserver: duplicate key given in txn request")
    if sum(len(write.value or b"") for write in writes) > MAX_REQUEST_BYTES:
        raise GatewayError(400, 3, "etcdserver: request is too large")
    store_data.apply_writes(call.data, writes)
    response: Body = {"header": _response_header(call.data)}
    if succeeded:
        response["succeeded"] = True
    return response


def _handle_grant(call: GatewayCall) -> Body:
    ttl_seconds = int(call.body["TTL"])
    lease_id = store_data.grant_lease(call.data, ttl_seconds=ttl_seconds, now=call.now)
    return {
        "header": _response_header(call.data),
        "ID": str(lease_id),
        "TTL": str(ttl_seconds),
    }


def _handle_revoke(call: GatewayCall) -> Body:
    if not store_data.revoke_lease(call.data, int(call.body["ID"])):
        raise GatewayError(404, 5, "etcdserver: requested lease not found")
    return {"header": _response_header(call.data)}


def _handle_keepalive(call: GatewayCall) -> Body:
    lease_id = int(call.body["ID"])
    result: Body = {"header": _response_header(call.data), "ID": str(lease_id)}
    lease = call.data.leases.get(lease_id)
    if lease is not None:
        lease.deadline = call.now + lease.ttl_seconds
        result["TTL"] = str(lease.ttl_seconds)
    return {"result": result}


HANDLERS: dict[str, tuple[str, abc.Callable[[GatewayCall], Body]]] = {
    "/v3/kv/range": ("range", _handle_range),
    "/v3/kv/txn": ("txn", _handle_txn),
    "/v3/lease/grant": ("grant", _handle_grant),
    "/v3/lease/revoke": ("revoke", _handle_revoke),
    "/v3/lease/keepalive": ("keepalive", _handle_keepalive),
}
"""By request path: the kind of call, used for counting, and its handler."""

WATCH_PATH = "/v3/watch"


def parse_watch_range(body: Body) -> tuple[bytes, bytes]:
    """Return ``key`` and ``range_end`` of a watch request."""
    request = body.get("create_request", {})
    return _decode_bytes(request, "key"), _decode_bytes(request, "range_end")


def render_created(data: store_data.StoreData) -> Body:
    """Return the first message of a watch, which confirms its creation."""
    return {"result": {"header": _response_header(data), "created": True}}


def render_events(
    data: store_data.StoreData, versions: list[store_data.Version]
) -> Body:
    """Return the watch message for the writes of one revision."""
    events = []
    for version in versions:
        event: Body = {"kv": render_key_value(version)}
        if version.value is None:
            event = {
                "type": "DELETE",
                "kv": {
                    "key": _encode_bytes(version.key),
                    "mod_revision": str(version.mod_revision),
                },
            }
        events.append(event)
    return {"result": {"header": _response_header(data), "events": events}}
