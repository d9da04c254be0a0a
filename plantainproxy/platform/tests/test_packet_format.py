"""Tests the packet format against the platform's published examples."""

import pytest

from plantainproxy import _types
from plantainproxy.flows import packets
from plantainproxy.platform import packet_format

SYN = bytes.fromhex(
    "02000000d5c3b2a100004433221100000000010012c6bb0107004064419c00000000"
)
RESET = bytes.fromhex(
    "80000000000000000000000000000000000007004064419c010012c6bb0100000000"
)
CALLER = _types.Address("100.64.0.7", 40_001)
SERVICE = _types.Address("198.18.0.1", 443)


def test_decodes_the_published_opening_packet() -> None:
    """SYN from 100.64.0.7:40001 to 198.18.0.1:443, seq 0x11223344."""
    packet = packet_format.decode(SYN)
    assert packet is not None
    assert packet.opening
    assert packet.sequence == 0x11223344
    assert packet.service == packet_format.pack_service(SERVICE)
    assert packet_format.caller_host(packet.flow) == CALLER.host


def test_renders_a_flow_for_people() -> None:
    """The caller comes first, as in the logs of the callers."""
    packet = packet_format.decode(SYN)
    assert packet is not None
    assert packet_format.render_flow(packet.flow) == f"{CALLER}>{SERVICE}"


def test_encodes_the_published_reset() -> None:
    """A reset is sent from the service address to the caller; its ``sum`` is 0."""
    packet = packet_format.decode(SYN)
    assert packet is not None
    assert packet_format.encode_reset(packet.flow, sequence=0) == RESET


def test_both_directions_have_one_key() -> None:
    """Packets from the upstream have the flow key of the caller's packets."""
    response = packet_format.decode(RESET, from_upstream=True)
    request = packet_format.decode(SYN)
    assert response is not None
    assert request is not None
    assert response.flow == request.flow


def test_forwarding_fields_leave_the_other_fields_unchanged() -> None:
    """Only ``pad`` and ``echo``, which callers and upstreams do not use, change."""
    forwarded = packet_format.set_forwarding_fields(
        SYN,
        balancer=bytes((10, 0, 0, 9)),
        purpose=packets.Purpose.LOOKUP,
        waited_seconds=0.256,
    )
    packet = packet_format.decode(forwarded)
    assert packet is not None
    assert packet.balancer == bytes((10, 0, 0, 9))
    assert packet.purpose is packets.Purpose.LOOKUP
    assert packet.waited_seconds == pytest.approx(0.25)
    assert forwarded[:1] + bytes(3) + forwarded[4:30] + bytes(4) + forwarded[34:] == SYN


def test_a_query_has_no_payload_and_is_valid_from_a_balancer_only() -> None:
    """A truncated packet of a caller must not pass as a query."""
    data = SYN[:8] + (900).to_bytes(2, "little") + SYN[10:] + bytes(900)
    query = packet_format.set_forwarding_fields(
        data, balancer=bytes((10, 0, 0, 9)), purpose=packets.Purpose.QUERY
    )
    assert len(query) == packet_format.HEADER.size
    packet = packet_format.decode(query, from_balancer=True)
    assert packet is not None
    assert packet.purpose is packets.Purpose.QUERY
    assert packet.size == 0
    assert packet_format.decode(query) is None
    assert packet_format.decode(query + b"x", from_balancer=True) is None


def test_a_returned_packet_decodes_as_its_caller_sent_it() -> None:
    """The ``BOUNCED`` flag is cleared before the packet is sent to another upstream."""
    returned = bytes((SYN[0] | packet_format.BOUNCED,)) + SYN[1:]
    returned_packet = packet_format.decode(returned, from_upstream=True)
    assert returned_packet is not None
    assert returned_packet.returned
    original = packet_format.decode_returned(returned)
    assert original is not None
    assert original.data == SYN
    assert original.opening
    assert not original.returned


@pytest.mark.parametrize(
    "data",
    [
        b"",
        SYN[:33],
        SYN + b"x",
        bytes((SYN[0] | 1,)) + SYN[1:],
        SYN[:8] + (1_201).to_bytes(2, "little") + SYN[10:] + bytes(1_201),
    ],
    ids=["empty", "short", "wrong length", "unknown flag", "too long"],
)
def test_malformed_datagrams_are_no_packets(data: bytes) -> None:
    """Decoding returns ``None``, so they are dropped before any other processing."""
    assert packet_format.decode(data) is None


def test_an_unknown_purpose_counts_as_a_usual_packet() -> None:
    """An invalid ``pad`` field decodes to ``Purpose.FORWARD`` instead of raising."""
    packet = packet_format.decode(SYN[:1] + b"\xff\x00\x00" + SYN[4:])
    assert packet is not None
    assert packet.purpose is packets.Purpose.FORWARD


def test_an_old_opening_is_stated_as_old_as_the_field_allows() -> None:
    """The age takes one byte; a larger one must not start again at zero."""
    forwarded = packet_format.set_forwarding_fields(
        SYN, balancer=bytes(4), purpose=packets.Purpose.OPEN, waited_seconds=30.0
    )
    packet = packet_format.decode(forwarded)
    assert packet is not None
    assert packet.waited_seconds == pytest.approx(2.55)
