"""The packet format of the platform, as its protocol page describes it."""

import dataclasses
import socket
import struct

HEADER = struct.Struct("<B3sIHII4sH4sH4s")
SYN, FIN, BOUNCED, ACK, RST = 2, 8, 16, 64, 128
MASK = 0xFFFF_FFFF

End = tuple[str, int]
"""Address and port of one end of a flow."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Packet:
    """One datagram; ``raw`` is empty for a packet that is being built."""

    flags: int
    source: End
    target: End
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    raw: bytes = b""


def _pack_ip(text: str) -> bytes:
    return socket.inet_aton(text)[::-1]


def encode(packet: Packet) -> bytes:
    """Encode a packet; no stand-in checks the keyed sum."""
    head = HEADER.pack(
        packet.flags,
        bytes(3),
        1,
        len(packet.data),
        packet.seq & MASK,
        packet.ack & MASK,
        _pack_ip(packet.target[0]),
        packet.target[1],
        _pack_ip(packet.source[0]),
        packet.source[1],
        bytes(4),
    )
    return head + packet.data


def decode(raw: bytes) -> Packet:
    """Decode a datagram."""
    flags, _, _, size, seq, ack, dst, dport, src, sport, _ = HEADER.unpack_from(raw)
    data = raw[HEADER.size :]
    if size != len(data):
        raise ValueError(f"length {size} in the header, {len(data)} bytes of data")
    return Packet(
        flags=flags,
        source=(socket.inet_ntoa(src[::-1]), sport),
        target=(socket.inet_ntoa(dst[::-1]), dport),
        seq=seq,
        ack=ack,
        data=data,
        raw=raw,
    )


def bounce(raw: bytes) -> bytes:
    """Return a packet as a host returns it: BOUNCED set, ``pad`` 0, ``echo`` kept."""
    return bytes((raw[0] | BOUNCED,)) + bytes(3) + raw[4:]
