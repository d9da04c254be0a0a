"""Parsed packets of transparent flows, independent of the packet format."""

import enum
import typing

SERVICE_BYTES = 6
"""Length of the packed service address at the start of a flow key."""


class Purpose(enum.IntEnum):
    """Purpose for which a balancer sends a packet to a sidecar."""

    FORWARD = 0
    """The balancer has recorded that the sidecar's upstream holds the flow."""
    OPEN = 1
    """The balancer has selected the upstream for a new flow."""
    LOOKUP = 2
    """The flow is not in the balancer's cache. The sidecar answers whether its upstream
    holds the flow, and delivers the packet unless it does not."""
    QUERY = 3
    """Like ``LOOKUP``, but without the payload: the packet itself is not delivered."""


class Packet(typing.NamedTuple):
    """One packet of a flow."""

    flow: bytes
    """Packed service address and caller address; the same in both directions."""
    data: bytes
    """The complete datagram."""
    opening: bool
    """Whether it requests a new flow (SYN)."""
    accepting: bool
    """Whether it accepts a new flow (SYN-ACK)."""
    closing: bool
    """Whether its sender has finished sending (FIN)."""
    aborting: bool
    """Whether its sender has aborted the flow (RST)."""
    returned: bool
    """Whether the upstream returned it because it does not hold or accept the flow."""
    sequence: int
    """Sequence number of the packet's first byte, modulo 2**32."""
    acknowledgement: int
    """Next byte that the sender expects; in an opening packet, the number of
    retransmissions so far."""
    size: int
    """Payload length in bytes."""
    balancer: bytes = b""
    """Packed IPv4 address of the balancer that forwarded it, if any."""
    purpose: Purpose = Purpose.FORWARD
    """Purpose for which the balancer forwarded it."""
    waited_seconds: float = 0.0
    """Age of an opening at a balancer: the time since the caller sent the first of its
    packets, as far as the balancer that placed it knew."""

    @property
    def is_opening_copy(self) -> bool:
        """Whether the caller has sent the same opening packet before."""
        return self.opening and self.acknowledgement > 0

    @property
    def service(self) -> bytes:
        """The packed service address."""
        return self.flow[:SERVICE_BYTES]
