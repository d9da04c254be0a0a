"""Tests the decoding of the operators' documents."""

import json
import re
import time

import msgspec
import pytest

from plantainproxy import _types
from plantainproxy.flows import messages, policy
from plantainproxy.flows.engine import upstreams
from plantainproxy.platform import configuration, packet_format
from plantainproxy.store import revisioned

REVISION = revisioned.Revision(0, 1)
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "idempotent",
            "timeout_ms": 4000,
            "slo_ms": 269,
            "priority": 2,
            "traffic_split": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "attempts": 2,
            "something_new": True,
        },
        {
            "name": "r-2",
            "host": "198.18.0.2",
            "prefix": "/8080/",
            "type": "non_idempotent",
            "service": "a",
        },
    ],
    "services": [
        {
            "name": "a",
            "health_path": "/healthz",
            "max_conns": 2000,
            "cold_start_s": 2.0,
            "cold_per_s": 0.0,
        }
    ],
    "limits": {"idle_timeout_ms": 15000},
}


def _items(document: object, **others: bytes) -> dict[str, bytes]:
    return {configuration.CONFIGURATION_KEY: msgspec.json.encode(document), **others}


def _pack_service(host: str, port: int) -> bytes:
    return packet_format.pack_service(_types.Address(host, port))


def test_decodes_routes_pools_and_limits() -> None:
    """Times are converted to seconds, and unknown fields are ignored."""
    decoded_policy = configuration.decode_policy(
        _items(DOCUMENT), revision=revisioned.Revision(0, 12)
    )
    assert isinstance(decoded_policy, policy.Policy)
    assert (
        decoded_policy.revision,
        decoded_policy.version,
        decoded_policy.idle_seconds,
    ) == (12, 7, 15.0)
    split_route = decoded_policy.routes[_pack_service("198.18.0.1", 8443)]
    assert split_route.kind is policy.RouteKind.IDEMPOTENT
    assert split_route.shares == (
        policy.Share(pool="a", weight=90.0),
        policy.Share(pool="b", weight=10.0),
    )
    assert (split_route.priority, split_route.objective_seconds) == (2, 0.269)
    single_route = decoded_policy.routes[_pack_service("198.18.0.2", 8080)]
    assert single_route.pools == {"a"}
    assert single_route.kind is policy.RouteKind.NON_IDEMPOTENT
    assert decoded_policy.pools["a"].cold_seconds == 2.0


def test_a_rate_of_zero_states_no_cold_limit() -> None:
    """The platform uses 0 for a missing limit; see docs/QUESTIONS.md."""
    decoded_policy = configuration.decode_policy(_items(DOCUMENT), revision=REVISION)
    assert isinstance(decoded_policy, policy.Policy)
    assert decoded_policy.pools["a"].cold_flows_per_second is None


def test_an_evacuation_takes_its_domain_out() -> None:
    """The key contains the domain; the value is not used."""
    items = {**_items(DOCUMENT), "op/evacuate/hall-a": b"{}"}
    decoded_policy = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(decoded_policy, policy.Policy)
    assert decoded_policy.domains_out == {"hall-a"}


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"version":"seven","routes":[]}',
        b'{"version":1,"routes":[{"name":"r","host":"x","prefix":"/1/"}]}',
        b'{"version":1,"routes":[{"name":"r","host":"1.2.3.4","prefix":"/x/"}]}',
    ],
)
def test_an_unreadable_configuration_is_refused(document: bytes) -> None:
    """Decoding returns no policy, so the active policy is not replaced."""
    items = {configuration.CONFIGURATION_KEY: document}
    refused = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(refused, policy.Refused)


MAX_REFUSAL_SECONDS = upstreams.SHORT_LOSS_TIMEOUT_SECONDS / 8
"""Processor time of a refusal, on a core of which a balancer may have a fraction."""
NESTED = b"[" * 100_000 + b"]" * 100_000
"""A value that is nested more deeply than the decoder can follow."""


@pytest.mark.parametrize("at", [b'{"version"', b'{"name": "r-2"', b'{"name": "a"'])
def test_a_deeply_nested_unknown_field_is_ignored(at: bytes) -> None:
    """Guards against the end of every process by a field that no process uses.

    The decoder raised a ``RecursionError``, again after each start.
    """
    document = json.dumps(DOCUMENT).encode()
    field = b'{"something_new": {"b\\"[": %s}, ' % NESTED
    assert at in document
    items = {configuration.CONFIGURATION_KEY: document.replace(at, field + at[1:])}
    expected = configuration.decode_policy(_items(DOCUMENT), revision=REVISION)
    assert configuration.decode_policy(items, revision=REVISION) == expected


@pytest.mark.parametrize(
    "document",
    [
        b'{"version":1,"routes":' + NESTED + b"}",
        b'{"version":1,"routes":[],"new":' + NESTED[:-1] + b"}",
        b'{"version":1,"routes":[],"new":' + NESTED[:100_000],
        b"[" * 1_000_000,
        b'{"version":1,"routes":[],"new":' + b"[0," * 300_000,
        b'{"version":1,"routes":[],"new":' + b'{"":' * 200_000 + b'"' * 200_000,
        b'{"version":1,"routes":' + b"[" * 1_000 + b'"\\"' * 500_000,
    ],
)
def test_a_deeply_nested_document_that_is_not_valid_is_refused(document: bytes) -> None:
    """The nested value belongs to a known field, does not end, or takes long to skip.

    The process handles no packet meanwhile. A pass that took 0.6 s for 200 kB let the
    balancers reset flows, as most sidecars were silent.
    """
    items = {configuration.CONFIGURATION_KEY: document}
    started_at = time.thread_time()
    refused = configuration.decode_policy(items, revision=REVISION)
    assert time.thread_time() - started_at < MAX_REFUSAL_SECONDS
    assert isinstance(refused, policy.Refused)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", "9" * 40),
        ("version", "9" * 5_000),
        ("version", 2**64),
        ("version", -(2**70)),
        ("version", -1),
        ("priority", 2**64),
        ("priority", -(2**64)),
        ("slo_ms", "1e400"),
        ("slo_ms", "NaN"),
        ("slo_ms", -1),
        ("weight", -1),
        ("cold_start_s", -1),
        ("cold_per_s", -1),
        ("idle_timeout_ms", "-1e308"),
        ("idle_timeout_ms", 1e308),
        ("slo_ms", 1e308),
        ("weight", 1e308),
        ("cold_start_s", 1e308),
    ],
)
def test_a_number_out_of_range_is_refused(field: str, value: object) -> None:
    """Guards against the end of every process by a number that cannot be encoded.

    The decoder accepted integers of any size, and the encoder of the policy's digest
    raised an ``OverflowError``.
    """
    document = json.dumps(DOCUMENT)
    changed = re.sub(f'("{field}": )[0-9.]+', rf"\g<1>{value}", document, count=1)
    assert changed != document
    items = {configuration.CONFIGURATION_KEY: changed.encode()}
    refused = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(refused, policy.Refused)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", 0),
        ("version", 2**63 - 1),
        ("priority", -3),
        ("priority", 2**63 - 1),
        ("slo_ms", 1e15),
        ("weight", 0),
        ("weight", 5e-324),
        ("weight", 1e15),
        ("cold_start_s", 1e15),
        ("cold_per_s", 5e-324),
        ("idle_timeout_ms", 0),
        ("idle_timeout_ms", 1e15),
    ],
)
def test_the_policy_of_an_extreme_number_can_be_encoded(
    field: str, value: object
) -> None:
    """A process sends its policy to others, and its digest in each message."""
    document = json.dumps(DOCUMENT)
    changed = re.sub(f'("{field}": )[0-9.]+', rf"\g<1>{value}", document, count=1)
    items = {configuration.CONFIGURATION_KEY: changed.encode()}
    decoded = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(decoded, policy.Policy)
    assert policy.digest(decoded)
    assert messages.decode_policy(messages.encode(decoded)) == decoded
    assert messages.encode(messages.ReportRequest(1, "d", 0, order=decoded.order))


@pytest.mark.parametrize(
    ("old", "new", "version", "reason"),
    [
        ('"198.18.0.2"', '"x"', 7, "route 'r-2': expected an IPv4 address, got 'x'"),
        ('"/8080/"', '"/a/"', 7, "route 'r-2': expected an IPv4 address and port"),
        ('"cold_start_s": 2.0', '"cold_start_s": -2', 7, "$.services[0].cold_start_s"),
        ('"version": 7', '"version": "7"', None, "$.version"),
        ('"198.18.0.2"', f'"{"x" * 2**20}"', 7, "expected an IPv4 address, got 'xxx"),
        ("}", "", None, "JSON is malformed"),
    ],
)
def test_a_refusal_states_the_version_and_the_reason(
    old: str, new: str, version: int | None, reason: str
) -> None:
    """The operators find the field to correct in the logs and in the status."""
    items = {
        configuration.CONFIGURATION_KEY: json.dumps(DOCUMENT).replace(old, new).encode()
    }
    items["op/evacuate/hall-a"] = b"{}"
    refused = configuration.decode_policy(items, revision=revisioned.Revision(2, 5))
    assert isinstance(refused, policy.Refused)
    assert refused.version == version
    assert refused.revision == revisioned.Revision(2, 5)
    assert reason in refused.reason
    assert len(refused.reason) <= configuration.MAX_REASON_CHARACTERS
    assert refused.domains_out == {"hall-a"}


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("/healthz", "/santé", "/sant%C3%A9"),
        ("/healthz", "/a b\\r\\n", "/a%20b%0D%0A"),
        ('"a"', '"b"', "/healthz"),
        ('"idempotent"', '"\\u0000\\ud83d\\ude00"', "/healthz"),
    ],
)
def test_the_policy_of_odd_texts_can_be_pulled(old: str, new: str, path: str) -> None:
    """A process that has no policy takes it from another one, with the same bounds."""
    document = json.dumps(DOCUMENT).replace(old, new).encode()
    items = {
        configuration.CONFIGURATION_KEY: document,
        f"op/evacuate/{'x' * 2_000}": b"",
        "op/evacuate/hall-a": b"",
    }
    decoded = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(decoded, policy.Policy)
    assert messages.decode_policy(messages.encode(decoded)) == decoded
    assert [limits.health_path for limits in decoded.pools.values()] == [path]
    assert decoded.domains_out == {"hall-a"}


@pytest.mark.parametrize("old", ["/healthz", '"r-1"', '"a"', '"b"'])
def test_a_text_that_is_too_long_is_refused(old: str) -> None:
    """Processes without a policy could not pull it."""
    document = json.dumps(DOCUMENT).replace(old.strip('"'), "é" * 1_025).encode()
    items = {configuration.CONFIGURATION_KEY: document}
    refused = configuration.decode_policy(items, revision=REVISION)
    assert isinstance(refused, policy.Refused)
    assert refused.version == 7


def test_evacuations_alone_make_no_policy() -> None:
    """Evacuations have no effect before the first configuration document."""
    assert (
        configuration.decode_policy({"op/evacuate/x": b"{}"}, revision=REVISION) is None
    )
