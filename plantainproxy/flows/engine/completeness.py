"""When the flow table of a sidecar names every flow that its upstream holds.

A sidecar process that starts beside a running upstream has not seen the openings of the
upstream's flows. It takes them from the snapshot of the process before, or observes
packets until it has seen one of each flow.
"""

from collections import abc

from plantainproxy.flows import packets
from plantainproxy.flows.engine import flow_table

MAX_TICK_INTERVAL_SECONDS = 1.0
"""Time between two ticks from which packets may have been lost: the process or the
machine was paused."""
OBSERVATION_MARGIN_SECONDS = 10.0
"""Time of observation beyond the idle time. A flow's packet may be lost, or wait in
balancers while another sidecar restarts (``upstreams.RESTART_TIMEOUT_SECONDS``); the
next retransmission is then later than the end of the idle time."""


def observe(table: flow_table.FlowTable, *, idle_seconds: float, now: float) -> bool:
    """Extend the observation of packets to now; return whether it completes the table.

    A flow without a packet for ``idle_seconds`` may be evicted, so a table that has
    been observed for longer has every flow that is in use. The observation starts again
    after a pause. ``now`` must also count while the machine is suspended.
    """
    if now - table.observed_until >= MAX_TICK_INTERVAL_SECONDS:
        table.observed_since = now
    table.observed_until = now
    if table.complete or not idle_seconds:
        return False
    observed_seconds = now - table.observed_since
    table.complete = observed_seconds >= idle_seconds + OBSERVATION_MARGIN_SECONDS
    return table.complete


def restart_observation(table: flow_table.FlowTable) -> None:
    """Observe again from the next tick on: the upstream may hold unknown flows."""
    table.complete = False
    table.observed_until = float("-inf")


def inherit(
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
        flow = _inherited_flow(now)
        flow.confirmed, flow.caller_acknowledgement = True, acknowledgement
        table.flows.setdefault(key, flow)
    for key, sequence in unconfirmed.items():
        flow = _inherited_flow(now)
        flow.upstream_sequence = sequence
        table.flows.setdefault(key, flow)
    for key in closed:
        flow = _inherited_flow(now)
        flow.confirmed = flow.caller_closed = flow.upstream_closed = True
        table.flows.setdefault(key, flow)


def _inherited_flow(now: float) -> flow_table.Flow:
    """Return a flow whose first request counts from its arrival."""
    return flow_table.Flow(float("-inf"), now, is_inherited=True)


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
