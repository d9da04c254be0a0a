"""State of a balancer's engine, changed by the functions of the other modules."""

import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, packets, policy
from plantainproxy.flows.engine import hedging, lookup, placement, upstreams, waiting

MAX_CACHED_FLOWS = 120_000
"""Capacity of the flow cache. An entry takes about 380 bytes (bench.flows), so a full
cache uses a third of the memory of the smallest instances."""

MAX_ACTIVE_LOOKUPS = 48
"""Maximum number of lookups that send queries at the same time. When balancers enter or
leave the rotation, many flows reach another balancer and need a lookup; queries for all
of them at once would saturate a small instance's link."""


class Port(typing.Protocol):
    """The engine's output interface. No call blocks."""

    def forward(
        self, packet: packets.Packet, to: _types.Address, purpose: packets.Purpose
    ) -> None:
        """Send a packet to a sidecar."""

    def reset(self, packet: packets.Packet) -> None:
        """Send a reset for the packet's flow to its caller."""


class CachedFlow(msgspec.Struct):
    """Flow cache entry: the upstream that a flow was placed on or found at."""

    upstream: _types.Address
    used_at: float
    opened_at: float
    refused_by: frozenset[_types.Address] = frozenset()
    """Upstreams that refused or did not accept the flow's opening packet."""
    is_in_use: bool = False
    """Whether the caller has sent a packet after the opening."""
    opening_sequence: int | None = None
    """Sequence number of the opening packet; ``None`` if another balancer placed it."""


def is_late_copy(cached: CachedFlow, packet: packets.Packet) -> bool:
    """Return whether an opening packet is a copy of the one that opened the flow.

    A first opening, and another sequence number, are of a new flow from the same port.
    """
    return (
        cached.is_in_use
        and packet.is_opening_copy
        and cached.opening_sequence == packet.sequence
    )


class Engine:
    """State of one balancer, changed by the functions of this module."""

    def __init__(
        self,
        *,
        port: Port,
        domain: str,
        draw: placement.Draw,
        log: event_log.EventLog,
        hedge_percent: float = 0.0,
    ) -> None:
        """Create an engine without a policy, upstreams or flows.

        ``hedge_percent`` is the limit of hedges per hundred first openings.
        """
        self.port = port
        self.domain = domain
        self.draw = draw
        self.log = log
        self.policies = policy.ActivePolicy()
        self.view = upstreams.View(domain)
        self.flows: dict[bytes, CachedFlow] = {}
        self.lookups: dict[bytes, lookup.Lookup] = {}
        self.hints: dict[bytes, _types.Address] = {}
        """Sidecars that held flows before this process started, to be queried first."""
        self.waiting = waiting.Queue()
        self.first_openings = 0
        """Openings received since the start, without retransmissions."""
        self.hedging = hedging.Hedging(hedge_percent)
        self.retry_budget = hedging.retry_budget()
        self.first_policy_at = float("inf")
        """When the first policy was applied; infinite before."""
        self.stopping = False
        self.last_tick_at = float("inf")
        self.reports_stale_until = float("-inf")
        """Until then, missing reports may be due to a pause of this process or to a
        partition of its network."""
        self.majority_silent = False
        """Whether the majority of the sidecars was silent at the last tick."""
        self.next_speed_comparison_at = float("-inf")


def is_view_reliable(engine: Engine, *, now: float) -> bool:
    """Return whether a missing report means that its sidecar is gone.

    A report may also be missing because this process was paused or partitioned, or has
    just started.
    """
    return (
        now >= max(engine.reports_stale_until, engine.view.complete_at)
        and upstreams.is_converged(engine.view, now=now)
        and not upstreams.is_majority_silent(engine.view, now=now)
    )


def send_query(engine: Engine, flow_lookup: lookup.Lookup, query: lookup.Query) -> None:
    """Send the queries of one step of a lookup."""
    for address, purpose in query.purposes.items():
        target = engine.view.upstreams[address].data_address
        engine.port.forward(query.packet, target, purpose)
    if not query.purposes:
        return
    payload_count = list(query.purposes.values()).count(packets.Purpose.LOOKUP)
    engine.log.count("lookup.queries", len(query.purposes))
    engine.log.count("lookup.payloads", payload_count)
    engine.log.write_limited(
        "flow queried",
        flow=query.packet.flow,
        queries=len(query.purposes),
        payloads=payload_count,
        wave=flow_lookup.wave,
        attempt=flow_lookup.attempts,
        denied=len(flow_lookup.denied),
    )


def forward(
    engine: Engine,
    packet: packets.Packet,
    address: _types.Address,
    purpose: packets.Purpose,
) -> None:
    """Send a packet to the sidecar of an upstream unless it has been evicted."""
    upstream = engine.view.upstreams.get(address)
    if upstream is not None:
        engine.port.forward(packet, upstream.data_address, purpose)


def refuse_unrouted(engine: Engine, packet: packets.Packet) -> None:
    """Reset a flow whose service address has no route."""
    engine.log.write_limited(
        "refused",
        flow=packet.flow,
        reason="no route",
        revision=engine.policies.revision,
    )
    engine.flows.pop(packet.flow, None)
    reset(engine, packet)


def reset(engine: Engine, packet: packets.Packet) -> None:
    """Reset a flow towards its caller, unless the caller itself resets it."""
    if packet.aborting:
        return
    engine.log.count("resets")
    engine.port.reset(packet)
