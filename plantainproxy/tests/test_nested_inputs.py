"""Nested input of another program is one refused input of the QUIC programs."""

from collections import abc

import msgspec
import pytest

from plantainproxy import _exceptions
from plantainproxy.config import document, keys, parse
from plantainproxy.core import admission
from plantainproxy.rpc import codec, messages
from plantainproxy.settings import load, model
from plantainproxy.sidecar import upstream
from plantainproxy.store import gateway

LEVELS = 100_000
NESTED = "[" * LEVELS + "]" * LEVELS
NESTED_TOML = f"a = {NESTED}"
PULL_REQUEST = messages.PullRequest(configuration_revision=1, key_revision=1)


def _with_nested_field(message: object) -> bytes:
    encoded = codec.encode(message)
    return bytes([encoded[0] + 1]) + encoded[1:] + b"\x91" * LEVELS + b"\xc0"


@pytest.mark.parametrize(
    "decode",
    [
        lambda: document.decode(f'{{"new": {NESTED}}}'.encode()),
        lambda: keys.decode(f'{{"new": {NESTED}}}'.encode()),
        lambda: parse.parse(NESTED_TOML, source="file"),
        lambda: load.parse(NESTED_TOML, model.BalancerSettings, source="file"),
    ],
    ids=["configuration", "key set", "operators' file", "settings"],
)
def test_a_nested_document_is_an_error_of_the_document(
    decode: abc.Callable[[], object],
) -> None:
    """Guards against an end of each balancer that reads the stored document.

    The followers ignore an invalid document, but a nested one raised
    ``RecursionError``.
    """
    with pytest.raises(_exceptions.PlantainError):
        decode()


def test_a_nested_message_is_a_decode_error() -> None:
    """Guards against an end of a process by the reply of another one."""
    with pytest.raises(msgspec.DecodeError):
        codec.decode(_with_nested_field(PULL_REQUEST), messages.PullRequest)


def test_a_nested_response_of_the_store_is_a_value_error() -> None:
    """Guards against an end of each process that calls the store."""
    with pytest.raises(ValueError, match="recursion"):
        gateway.decode_range(f'{{"new": {NESTED}}}'.encode())
    assert gateway.decode_watch_line(f'{{"new": {NESTED}}}'.encode()) is None


def test_a_nested_health_report_counts_as_an_empty_one() -> None:
    """Guards against an end of the sidecar by a response of its upstream."""
    body = f'{{"new": {NESTED}}}'.encode()
    assert upstream.decode_health(body) == admission.HealthReport()
