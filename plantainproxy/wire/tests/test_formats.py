"""Tests that wire formats round-trip and that invalid input is rejected."""

import pytest

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.wire import connection_id, keyring, proxy, tunnel

CALLER = _types.Address("127.0.0.9", 4433)
SERVICE = _types.Address("127.1.0.1", 443)
KEY_SET = model.KeySet(
    revision=1,
    current=7,
    keys=(model.Key(number=7, secret=b"s" * 32), model.Key(number=8, secret=b"t" * 32)),
)


def test_a_proxy_header_gives_back_its_addresses() -> None:
    """Decoding undoes encoding."""
    datagram = proxy.encode(source=CALLER, destination=SERVICE) + b"payload"
    header = proxy.decode(datagram)
    assert header is not None
    assert _types.Address.unpack(header.source) == CALLER
    assert _types.Address.unpack(header.destination) == SERVICE
    assert datagram[header.payload_offset :] == b"payload"


@pytest.mark.parametrize("size", range(proxy.HEADER_BYTES))
def test_a_truncated_proxy_header_is_refused(size: int) -> None:
    """Every proper prefix of a header is invalid."""
    datagram = proxy.encode(source=CALLER, destination=SERVICE)
    assert proxy.decode(datagram[:size]) is None


@pytest.mark.parametrize(
    ("length", "extra_bytes", "offset"),
    [(12, 0, 28), (12, 9, 28), (20, 9, 36), (20, 7, None), (11, 9, None)],
)
def test_the_length_of_a_proxy_header_says_where_the_payload_begins(
    length: int, extra_bytes: int, offset: int | None
) -> None:
    """Type-length-value fields are skipped; an impossible length is refused."""
    datagram = bytearray(proxy.encode(source=CALLER, destination=SERVICE))
    datagram[14:16] = length.to_bytes(2, "big")
    header = proxy.decode(bytes(datagram) + b"e" * extra_bytes)
    assert (None if header is None else header.payload_offset) == offset


@pytest.mark.parametrize("position", [0, 11, 12, 13])
def test_another_kind_of_proxy_header_is_refused(position: int) -> None:
    """Another signature, version, command, family or transport is invalid."""
    datagram = bytearray(proxy.encode(source=CALLER, destination=SERVICE))
    datagram[position] ^= 1
    assert proxy.decode(bytes(datagram)) is None


def test_a_connection_id_gives_back_its_destination() -> None:
    """Decoding undoes encoding under every key of the set."""
    ring = keyring.Keyring(KEY_SET)
    destination = connection_id.Destination(CALLER.pack(), 3, 60_000, 1234)
    for key in ring.by_number.values():
        encoded = connection_id.encode(key, destination, nonce=5)
        assert len(encoded) == connection_id.BYTES
        assert connection_id.decode(ring, encoded) == destination


def test_a_forged_connection_id_is_refused() -> None:
    """Flipping any bit of the block makes the check field nonzero."""
    ring = keyring.Keyring(KEY_SET)
    destination = connection_id.Destination(CALLER.pack(), 3, 60_000, 1234)
    encoded = connection_id.encode(ring.current, destination, nonce=5)
    for bit in range(8, connection_id.BYTES * 8):
        forged = bytearray(encoded)
        forged[bit // 8] ^= 1 << (bit % 8)
        assert connection_id.decode(ring, bytes(forged)) is None


def test_a_tunnel_message_gives_back_its_parts() -> None:
    """Decoding undoes encoding."""
    ring = keyring.Keyring(KEY_SET)
    owners = (CALLER.pack(), SERVICE.pack())
    prefix = tunnel.encode_prefix(ring.current.cookie, hops=1, earlier_owners=owners)
    message = tunnel.decode(prefix + b"datagram", cookies=ring.cookies)
    assert message == tunnel.Message(1, owners, b"datagram")


@pytest.mark.parametrize("position", [0, 1, 2, 4, 11])
def test_a_tunnel_message_with_an_invalid_prefix_is_refused(position: int) -> None:
    """A wrong version, count or cookie makes a message invalid."""
    ring = keyring.Keyring(KEY_SET)
    message = bytearray(tunnel.encode_prefix(ring.current.cookie) + b"datagram")
    message[position] ^= 0xFF
    assert tunnel.decode(bytes(message), cookies=ring.cookies) is None


def test_tickets_under_a_removed_key_remain_readable() -> None:
    """A rotation does not invalidate tickets of callers with open connections.

    A process retains the removed keys of its previous keyring. A new process does not
    have them.
    """
    rotated = model.KeySet(
        revision=2, current=8, keys=(model.Key(number=8, secret=b"t" * 32),)
    )
    before = keyring.Keyring(KEY_SET)
    after = keyring.Keyring(rotated, previous=before)
    assert after.by_number.keys() == {8}
    assert after.ticket_keys.keys() == {7, 8}
    assert after.cookies == {after.current.cookie}
    assert keyring.Keyring(rotated).ticket_keys.keys() == {8}


def test_only_the_newest_removed_keys_are_retained() -> None:
    """The number of retired keys is limited, so that rotations do not leak memory."""
    ring: keyring.Keyring | None = None
    for number in range(10):
        key = model.Key(number=number, secret=bytes([number]) * 32)
        key_set = model.KeySet(revision=number + 1, current=number, keys=(key,))
        ring = keyring.Keyring(key_set, previous=ring)
    assert ring is not None
    assert list(ring.ticket_keys) == [5, 6, 7, 8, 9]
