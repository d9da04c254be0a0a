"""Packets of transparent flows, as the decisions see them."""

import enum
import typing

SERVICE_BYTES = 6
"""Length of a packed service address; it comes first in a flow's key."""


class Purpose(enum.IntEnum):
    """Why a balancer sends a packet to a sidecar."""

    FORWARD = 0
    """The balancer believes that the upstream there holds the flow."""
    OPEN = 1
    """The balancer has chosen the upstream for a new flow."""
    LOOKUP = 2
    """The balancer does not know the flow and asks several sidecars at once."""


class Packet(typing.NamedTuple):
    """One packet of a flow."""

    flow: bytes
    """Packed service address and packed caller address; the same both ways."""
    data: bytes
    """The whole datagram."""
    opening: bool
    """Whether it asks for a new flow."""
    accepting: bool
    """Whether it accepts a new flow."""
    closing: bool
    """Whether its sender has nothing more to send."""
    aborting: bool
    """Whether its sender has given the flow up."""
    returned: bool
    """Whether the upstream handed it back because it does not hold the flow."""
    sequence: int
    """Number of the packet's first byte, modulo 2**32."""
    acknowledgement: int
    """The next byte that the sender expects; an opening's count of copies."""
    size: int
    """Bytes of payload."""
    balancer: bytes = b""
    """Packed IPv4 address of the balancer that forwarded it, if any."""
    purpose: Purpose = Purpose.FORWARD
    """Why the balancer forwarded it."""

    @property
    def service(self) -> bytes:
        """The packed service address."""
        return self.flow[:SERVICE_BYTES]
