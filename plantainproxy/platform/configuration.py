"""Decodes the operators' documents in the platform's metadata store."""

from collections import abc
import re
import typing

import msgspec
import xxhash

from plantainproxy import _decoding, _types
from plantainproxy.flows import policy
from plantainproxy.platform import packet_format
from plantainproxy.store import http, revisioned

T = typing.TypeVar("T")

PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
"""Followed by the name of a failure domain that must not receive new flows."""
_MAX_EVACUATION_LENGTH = len(EVACUATION_PREFIX) + _decoding.MAX_NAME_LENGTH

MILLISECONDS_PER_SECOND = 1_000.0
MAX_REASON_CHARACTERS = 200
"""Limit on the reason of a refusal, which may quote a value of the document."""
MAX_DEPTH = 64
"""Nesting below which values are left out if a document is nested too deeply for the
decoder. The fields that are used are nested five times."""
MAX_BRACKET_RUNS = 20_000
"""Limit on the work for such a document, which is otherwise refused. A table of 3,000
routes has fewer."""


# The bounds are those of ``policy.Policy``, which processes send to each other.


class _Split(msgspec.Struct):
    service: _decoding.Name
    weight: _decoding.Amount = 0.0


class _Route(msgspec.Struct):
    name: _decoding.Name
    # IPv4 address of the service for callers; ``prefix`` is its port between slashes.
    host: str
    prefix: str
    # Whether requests may be repeated: a key of ``_ROUTE_KINDS``, or any other value
    # for routes that are not idempotent.
    type: str = "non_idempotent"
    priority: _decoding.Integer = 0
    slo_ms: _decoding.Amount = 1_000.0
    service: _decoding.Name | None = None
    traffic_split: list[_Split] = []


class _Service(msgspec.Struct):
    name: _decoding.Name
    health_path: str = ""
    cold_start_s: _decoding.Amount = 0.0
    cold_per_s: _decoding.Amount = 0.0


class _Limits(msgspec.Struct):
    idle_timeout_ms: _decoding.Amount = 60_000.0


class Configuration(msgspec.Struct):
    """The operators' configuration document."""

    version: _decoding.Count
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Versioned(msgspec.Struct):
    version: _decoding.Count


_decoder = msgspec.json.Decoder(Configuration)
_version_decoder = msgspec.json.Decoder(_Versioned)
_NEXT_BRACKETS = re.compile(
    rb'(?:[^\[\]{}"]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[{]+|[\]}]+)', re.DOTALL
)
"""Skips texts, and matches brackets of one direction without any other character."""

_ROUTE_KINDS = {
    "idempotent": policy.RouteKind.IDEMPOTENT,
    "download": policy.RouteKind.DOWNLOAD,
}


def decode_policy(
    items: abc.Mapping[str, bytes], revision: revisioned.Revision
) -> policy.Policy | policy.Refused | None:
    """Build the policy from all entries under ``PREFIX``.

    The configuration document is applied as a whole or refused as a whole. Returns
    ``None`` if it is missing.
    """
    document = items.get(CONFIGURATION_KEY)
    if document is None:
        return None
    domains_out = frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in items
        if key.startswith(EVACUATION_PREFIX) and len(key) <= _MAX_EVACUATION_LENGTH
    )
    try:
        decoded = _decode(document, _decoder)
        routes = {route.service: route for route in map(_decode_route, decoded.routes)}
        pools = {service.name: _decode_service(service) for service in decoded.services}
    except (*_decoding.ERRORS, ValueError) as error:
        return policy.Refused(
            version=_read_version(document),
            revision=revision,
            reason=str(error)[:MAX_REASON_CHARACTERS],
            digest=xxhash.xxh32_intdigest(document),
            domains_out=domains_out,
        )
    return policy.Policy(
        revision=revision.number,
        era=revision.era,
        version=decoded.version,
        routes=routes,
        pools=pools,
        idle_seconds=decoded.limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        domains_out=domains_out,
    )


def _decode_service(service: _Service) -> policy.PoolLimits:
    path = http.encode_target(service.health_path)
    if len(path) > _decoding.MAX_NAME_LENGTH:
        raise ValueError(
            f"service {service.name!r}: expected a health path of up to "
            f"{_decoding.MAX_NAME_LENGTH} characters, got {len(path)}"
        )
    return policy.PoolLimits(
        cold_seconds=service.cold_start_s,
        # A rate of 0 means that no limit is set; see docs/QUESTIONS.md.
        cold_flows_per_second=service.cold_per_s or None,
        health_path=path,
    )


def _read_version(document: bytes) -> int | None:
    try:
        return _decode(document, _version_decoder).version
    except (*_decoding.ERRORS, ValueError):
        return None


def _decode(document: bytes, decoder: msgspec.json.Decoder[T]) -> T:
    try:
        return decoder.decode(document)
    except RecursionError:
        # An unknown field may hold any value.
        return decoder.decode(_leave_out_nested(document))


def _leave_out_nested(document: bytes) -> bytes:
    """Return a JSON document with ``null`` for values nested below ``MAX_DEPTH``."""
    parts: list[bytes] = []
    depth = 0
    kept_from = position = 0
    for _ in range(MAX_BRACKET_RUNS):
        match = _NEXT_BRACKETS.match(document, position)
        if match is None:
            return b"".join((*parts, document[kept_from:]))
        start, position = match.span(1)
        count = position - start
        if document[start] in b"[{":
            if depth <= MAX_DEPTH < depth + count:
                parts += (document[kept_from : start + MAX_DEPTH - depth], b"null")
            depth += count
        else:
            if depth - count <= MAX_DEPTH < depth:
                kept_from = start + depth - MAX_DEPTH
            depth -= count
    raise ValueError(f"values are nested too deeply in {len(document)} bytes")


def _decode_route(route: _Route) -> policy.Route:
    try:
        address = _types.Address.parse(f"{route.host}:{route.prefix.strip('/')}")
    except ValueError as error:
        raise ValueError(f"route {route.name!r}: {error}") from error
    if route.service is not None:
        shares: tuple[policy.Share, ...] = (
            policy.Share(pool=route.service, weight=1.0),
        )
    else:
        shares = tuple(
            policy.Share(pool=split.service, weight=split.weight)
            for split in route.traffic_split
        )
    return policy.Route(
        name=route.name,
        service=packet_format.pack_service(address),
        kind=_ROUTE_KINDS.get(route.type, policy.RouteKind.NON_IDEMPOTENT),
        shares=shares,
        priority=route.priority,
        objective_seconds=route.slo_ms / MILLISECONDS_PER_SECOND,
    )
