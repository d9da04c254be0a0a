"""Encoding and decoding of the messages of etcd v3's JSON gateway.

The gateway encodes keys and values as Base64 and 64-bit integers as strings.
"""

import base64
import typing

import msgspec

from plantainproxy.store import port

T = typing.TypeVar("T")

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
REVOKE_PATH = "/v3/lease/revoke"
KEEPALIVE_PATH = "/v3/lease/keepalive"
WATCH_PATH = "/v3/watch"

LEASE_NOT_FOUND_CODE = 5
"""The gRPC status code NOT_FOUND, returned for a lease that no longer exists."""


class KeyValue(msgspec.Struct):
    """A key with its value in the gateway's encoding."""

    key: str
    value: str = ""
    mod_revision: int = 0


class RangeResponse(msgspec.Struct):
    """The response to a range read."""

    kvs: list[KeyValue] = []


class TxnResponse(msgspec.Struct):
    """The response to a transaction."""

    succeeded: bool = False


class LeaseResponse(msgspec.Struct):
    """The response to a lease grant, and the result of a lease renewal."""

    ID: int = 0
    TTL: int = 0


class KeepaliveResponse(msgspec.Struct):
    """The response to a lease renewal."""

    result: LeaseResponse


class Event(msgspec.Struct):
    """A change that a watch received; the type is ``PUT`` or ``DELETE``."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The content of a line of a watch stream."""

    created: bool = False
    canceled: bool = False
    events: list[Event] = []


class WatchLine(msgspec.Struct):
    """A line of a watch stream; a line without a result reports an error."""

    result: WatchResult | None = None


class ErrorResponse(msgspec.Struct):
    """The body of a response whose status is not 200."""

    code: int = 0
    message: str = ""


def decode(body: bytes, response_type: type[T]) -> T:
    """Decode a response body; raise ``ValueError`` if it does not match the type."""
    try:
        return msgspec.json.decode(body, type=response_type, strict=False)
    except RecursionError as error:
        raise ValueError(str(error)) from None


def _encode_base64(key: str | bytes) -> str:
    encoded = key.encode() if isinstance(key, str) else key
    return base64.b64encode(encoded).decode()


def prefix_end(prefix: str) -> bytes:
    """Return the smallest key that is greater than all keys with a prefix."""
    encoded = prefix.encode()
    while encoded and encoded[-1] == 0xFF:
        encoded = encoded[:-1]
    if not encoded:
        return b"\0"
    return encoded[:-1] + bytes((encoded[-1] + 1,))


def encode_get(key: str) -> bytes:
    """Encode a request to read one key."""
    return msgspec.json.encode({"key": _encode_base64(key)})


def encode_get_revision(key: str) -> bytes:
    """Encode a request to read the metadata of one key without its value."""
    return msgspec.json.encode({"key": _encode_base64(key), "keys_only": True})


def encode_scan(prefix: str, *, start: str, limit: int, newest_first: bool) -> bytes:
    """Encode a request to read the keys with a prefix."""
    range_start: str | bytes = prefix
    range_end = prefix_end(prefix)
    if start and newest_first:
        range_end = start.encode() + b"\0"
    elif start:
        range_start = start
    body: dict[str, typing.Any] = {
        "key": _encode_base64(range_start),
        "range_end": _encode_base64(range_end),
        "sort_target": "KEY",
        "sort_order": "DESCEND" if newest_first else "ASCEND",
        "limit": str(limit),
    }
    return msgspec.json.encode(body)


def decode_range(body: bytes) -> tuple[port.Entry, ...]:
    """Decode the response to a read."""
    response = decode(body, RangeResponse)
    return tuple(decode_entry(kv) for kv in response.kvs)


def decode_entry(kv: KeyValue) -> port.Entry:
    """Decode a key with its value and revision."""
    return port.Entry(
        key=base64.b64decode(kv.key, validate=True).decode(),
        value=base64.b64decode(kv.value, validate=True),
        mod_revision=kv.mod_revision,
    )


def encode_transaction(transaction: port.Transaction) -> bytes:
    """Encode a transaction request."""
    compares = [
        {
            "key": _encode_base64(compare.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(compare.mod_revision),
        }
        for compare in transaction.compares
    ]
    operations: list[dict[str, typing.Any]] = [
        {
            "request_put": {
                "key": _encode_base64(put.key),
                "value": _encode_base64(put.value),
                "lease": str(put.lease),
            }
        }
        for put in transaction.puts
    ]
    operations += [
        {"request_delete_range": {"key": _encode_base64(delete.key)}}
        for delete in transaction.deletes
    ]
    return msgspec.json.encode({"compare": compares, "success": operations})


def encode_watch(prefix: str) -> bytes:
    """Encode a request to watch a prefix, starting at the current revision."""
    request = {
        "key": _encode_base64(prefix),
        "range_end": _encode_base64(prefix_end(prefix)),
    }
    return msgspec.json.encode({"create_request": request})


def decode_watch_line(line: bytes) -> WatchResult | None:
    """Decode a line of a watch stream.

    Returns ``None`` if the line is malformed, reports an error or cancels the watch.
    The watch has then ended.
    """
    try:
        result = decode(line, WatchLine).result
    except ValueError:
        return None
    if result is None or result.canceled:
        return None
    return result


def decode_changes(result: WatchResult) -> tuple[port.Change, ...] | None:
    """Decode the changes in a line of a watch; return ``None`` if one is malformed."""
    try:
        return tuple(_decode_change(event) for event in result.events)
    except ValueError:
        return None


def _decode_change(event: Event) -> port.Change:
    entry = decode_entry(event.kv)
    deleted = event.type == "DELETE"
    return port.Change(key=entry.key, entry=None if deleted else entry)


def decode_error(body: bytes) -> ErrorResponse:
    """Decode the body of an error response.

    For a body in another format, the message holds its first 200 bytes.
    """
    try:
        return decode(body, ErrorResponse)
    except ValueError:
        return ErrorResponse(message=repr(body[:200]))
