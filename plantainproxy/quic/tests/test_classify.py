"""Stateless classification of QUIC packets."""

import random

from aioquic.quic import configuration, connection
import pytest

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import packets
from plantainproxy.quic import classify
from plantainproxy.wire import connection_id, keyring

RING = keyring.Keyring(
    model.KeySet(revision=1, current=7, keys=(model.Key(number=7, secret=b"s" * 32),))
)
SERVICE = _types.Address("127.1.0.1", 443).pack()
DESTINATION = packets.Destination(b"\x7f\x00\x03\x01\x00\x05", 3, 4, 5)
SIDECAR_ID = connection_id.encode(RING.current, DESTINATION, nonce=9)
CLIENT_ID = b"\x01" * 8


def long_header(first_byte: int, destination_id: bytes, version: int = 1) -> bytes:
    """Build the start of a packet with a long header."""
    start = bytes((first_byte,)) + version.to_bytes(4, "big")
    return start + bytes((len(destination_id),)) + destination_id + b"\x00" * 1200


ESTABLISHED = packets.Packet(SIDECAR_ID, SERVICE, False, DESTINATION)
OPENING = packets.Packet(CLIENT_ID, SERVICE, True)


@pytest.mark.parametrize(
    ("payload", "expected"),
    [
        (b"\x40" + SIDECAR_ID + b"body", ESTABLISHED),
        (b"\x40" + SIDECAR_ID[:-1], None),
        (b"\x40" + b"x" * 40, None),
        (long_header(0xC0, SIDECAR_ID), ESTABLISHED),
        (long_header(0xE0, SIDECAR_ID), ESTABLISHED),
        (long_header(0xC0, CLIENT_ID), OPENING),
        (long_header(0xD0, CLIENT_ID), OPENING),
        (long_header(0xE0, CLIENT_ID), None),
        (long_header(0xF0, CLIENT_ID), None),
        (long_header(0xD0, CLIENT_ID, 0x6B3343CF), OPENING),
        (long_header(0xC0, CLIENT_ID, 0x6B3343CF), None),
        (long_header(0xF0, CLIENT_ID, 0x1A2A3A4A), OPENING),
        (long_header(0xC0, CLIENT_ID, 0), None),
        (long_header(0xC0, CLIENT_ID[:7]), None),
        (long_header(0xC0, b"x" * 21), None),
        (long_header(0xC0, CLIENT_ID)[:5], None),
        (long_header(0xC0, CLIENT_ID)[:10], None),
        (b"", None),
    ],
)
def test_a_payload_is_classified(
    payload: bytes, expected: packets.Packet | None
) -> None:
    """The result does not depend on the packet's offset in the datagram."""
    for offset in (0, 28):
        datagram = b"h" * offset + payload
        packet = classify.classify_packet(
            RING, service=SERVICE, datagram=datagram, offset=offset
        )
        assert packet == expected


@pytest.mark.parametrize("version", [0x00000001, 0x6B3343CF])
def test_the_first_datagram_of_a_real_client_opens(version: int) -> None:
    """The flow key is the connection ID that the client chose."""
    options = configuration.QuicConfiguration(
        is_client=True, original_version=version, supported_versions=[version]
    )
    client = connection.QuicConnection(configuration=options)
    client.connect(("127.1.0.1", 443), now=0.0)
    ((datagram, _),) = client.datagrams_to_send(now=0.0)
    packet = classify.classify_packet(RING, SERVICE, datagram)
    key = client.original_destination_connection_id
    assert packet == packets.Packet(key, SERVICE, True)


def test_random_bytes_never_raise() -> None:
    """Random bytes are never classified as an established flow and raise no error."""
    generator = random.Random(1)
    for _ in range(5000):
        datagram = generator.randbytes(generator.randrange(60))
        offset = generator.randrange(40)
        packet = classify.classify_packet(
            RING, service=SERVICE, datagram=datagram, offset=offset
        )
        assert packet is None or packet.opening
