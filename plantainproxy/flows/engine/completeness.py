"""When the flow table of a sidecar names every flow that its upstream holds.

A sidecar process that starts beside a running upstream has not seen the openings of the
upstream's flows. It takes them from the snapshot of the process before.
"""

from collections import abc

from plantainproxy.flows import packets
from plantainproxy.flows.engine import flow_table


def presume(
    table: flow_table.FlowTable,
    flows: abc.Mapping[bytes, int],
    *,
    unconfirmed: abc.Mapping[bytes, int],
    closed: abc.Iterable[bytes],
    now: float,
) -> None:
    """Add the flows of a snapshot that no packet has shown yet.

    ``flows`` has the callers' acknowledgements of confirmed flows, and ``unconfirmed``
    the upstream's initial sequence numbers. ``closed`` flows are kept for their last
    retransmissions.
    """
    for key, acknowledgement in flows.items():
        flow = _presumed_flow(now)
        flow.confirmed, flow.caller_acknowledgement = True, acknowledgement
        table.flows.setdefault(key, flow)
    for key, sequence in unconfirmed.items():
        flow = _presumed_flow(now)
        flow.upstream_sequence = sequence
        table.flows.setdefault(key, flow)
    for key in closed:
        flow = _presumed_flow(now)
        flow.confirmed = flow.caller_closed = flow.upstream_closed = True
        table.flows.setdefault(key, flow)


def _presumed_flow(now: float) -> flow_table.Flow:
    """Return a flow whose first request counts from its arrival."""
    return flow_table.Flow(float("-inf"), now, is_presumed=True)


def is_outbound_new(table: flow_table.FlowTable, packet: packets.Packet) -> bool:
    """Return whether a packet of the upstream belongs to a flow not handed over.

    Without the packet, the caller does not use the flow. The next process sees the
    upstream's retransmission.
    """
    flow = table.flows.get(packet.flow)
    if flow is None:
        return True
    is_known = flow.confirmed or flow.upstream_sequence == packet.sequence
    return packet.accepting and not is_known
