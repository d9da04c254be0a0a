"""The platform's packet format: a 34-byte header and the payload in one datagram."""

import functools
import socket
import struct

from plantainproxy import _types
from plantainproxy.flows import packets

HEADER = struct.Struct("<B3sIHII4sH4sH4s")
"""Fields: flags, pad, sum, len, seq, ack, dst, dport, src, sport, echo."""
MAX_PAYLOAD_BYTES = 1_200

SYN = 2
FIN = 8
BOUNCED = 16
"""Set by an upstream when it returns a packet whose flow it does not hold or accept."""
ACK = 64
RST = 128
KNOWN_FLAGS = SYN | FIN | BOUNCED | ACK | RST

# ``dst`` and ``dport`` are adjacent, followed by ``src`` and ``sport``.
_DESTINATION = slice(18, 24)
_SOURCE = slice(24, 30)
_ENDPOINTS = slice(18, 30)
# Position in a flow key, not in a packet.
_FLOW_CALLER_HOST = slice(6, 10)

WAITED_UNIT_SECONDS = 0.01
"""Unit of the age of an opening in a forwarded packet, where it takes one byte."""
MAX_WAITED_UNITS = 255

_PURPOSES = {int(purpose): purpose for purpose in packets.Purpose}
_NO_ADDRESS = bytes(4)


def decode(
    data: bytes, *, from_upstream: bool = False, from_balancer: bool = False
) -> packets.Packet | None:
    """Decode a datagram; return ``None`` if it is not a valid packet.

    The flow key starts with the service address in both directions. A packet that an
    upstream returns still has the caller as its source. Only a balancer sends queries,
    which lack the payload of their packet.
    """
    size = len(data) - HEADER.size
    if not 0 <= size <= MAX_PAYLOAD_BYTES:
        return None
    # Callers and upstreams do not use ``pad`` and ``echo``. Balancers write the purpose
    # of a forwarded packet and the age of an opening into ``pad`` and their address
    # into ``echo``.
    flags, pad, _, length, sequence, acknowledgement, *_, echo = HEADER.unpack_from(
        data
    )
    purpose = _PURPOSES.get(pad[0], packets.Purpose.FORWARD)
    is_query = from_balancer and purpose is packets.Purpose.QUERY and not size
    if (length != size and not is_query) or flags & ~KNOWN_FLAGS:
        return None
    is_returned = bool(flags & BOUNCED)
    if from_upstream and not is_returned:
        flow = data[_SOURCE] + data[_DESTINATION]
    else:
        flow = data[_ENDPOINTS]
    return packets.Packet(
        flow=flow,
        data=data,
        opening=flags & (SYN | ACK) == SYN,
        accepting=flags & (SYN | ACK) == SYN | ACK,
        closing=bool(flags & FIN),
        aborting=bool(flags & RST),
        returned=is_returned,
        sequence=sequence,
        acknowledgement=acknowledgement,
        size=size,
        balancer=echo,
        purpose=purpose,
        waited_seconds=pad[1] * WAITED_UNIT_SECONDS,
    )


def decode_returned(data: bytes) -> packets.Packet | None:
    """Decode a packet that a sidecar returned, with the ``BOUNCED`` flag cleared."""
    if len(data) < HEADER.size:
        return None
    return decode(bytes((data[0] & ~BOUNCED,)) + data[1:])


def set_forwarding_fields(
    data: bytes,
    *,
    balancer: bytes,
    purpose: packets.Purpose,
    waited_seconds: float = 0.0,
) -> bytes:
    """Return a packet with the fields that the forwarding balancer sets.

    They are its address, the purpose and the age of an opening. A query has no payload.
    """
    waited = min(int(waited_seconds / WAITED_UNIT_SECONDS), MAX_WAITED_UNITS)
    pad = bytes((purpose, waited, 0))
    payload = b"" if purpose is packets.Purpose.QUERY else data[HEADER.size :]
    return data[:1] + pad + data[4:30] + balancer + payload


def encode_reset(flow: bytes, *, sequence: int) -> bytes:
    """Encode a reset from the service address of a flow to its caller."""
    service, service_port = flow[0:4], int.from_bytes(flow[4:6], "little")
    caller, caller_port = flow[6:10], int.from_bytes(flow[10:12], "little")
    return HEADER.pack(
        RST,
        bytes(3),
        0,
        0,
        sequence,
        0,
        caller,
        caller_port,
        service,
        service_port,
        _NO_ADDRESS,
    )


def pack_service(address: _types.Address) -> bytes:
    """Return a service address in the encoding of flow keys."""
    host = socket.inet_aton(address.host)[::-1]
    return host + address.port.to_bytes(2, "little")


def render_flow(flow: bytes) -> str:
    """Format a flow key as ``caller>service``, each an address and a port."""
    service, caller = (
        _types.Address(
            socket.inet_ntoa(endpoint[:4][::-1]), int.from_bytes(endpoint[4:], "little")
        )
        for endpoint in (flow[:6], flow[6:])
    )
    return f"{caller}>{service}"


@functools.lru_cache(maxsize=16_384)
def caller_host(flow: bytes) -> str:
    """Return the caller's IPv4 address from a flow key."""
    return socket.inet_ntoa(flow[_FLOW_CALLER_HOST][::-1])
