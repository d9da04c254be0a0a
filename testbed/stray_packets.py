"""Packets of open flows at upstreams that do not hold them.

A flow is open from the time at which its upstream has the end of the handshake. While
that upstream runs, it must not happen that within ``FLOW_STRAY_SECONDS`` as many as
``FLOW_STRAY_PACKETS`` of the flow's packets reach other upstreams and none its own.
"""

import bisect
import collections
from collections import abc
import dataclasses
import itertools

from standins import flow_ends

FLOW_STRAY_SECONDS = 2.0
FLOW_STRAY_PACKETS = 3
"""Every copy of a packet counts, also an opening packet that arrives late."""
SENDING_SECONDS = 0.05
"""Packets within this time may be copies of one packet of the caller, whose
retransmissions are further apart."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenFlow:
    """Arrivals of one open flow's packets, in order of time."""

    key: flow_ends.FlowKey
    opened_at: float
    closed_at: float
    """When its upstream ended, or the observation."""
    own: abc.Sequence[float]
    """Arrivals at its own upstream; the first is the end of the handshake."""
    strays: abc.Sequence[float]
    """Arrivals at other upstreams while the flow was open."""

    def __str__(self) -> str:
        """Return what identifies the flow in a report."""
        return f"flow {self.key[0]} of {self.opened_at:.2f}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Numbers of flows of one run."""

    open_flows: int
    strays: int
    """Packets at other upstreams."""
    by_copies: int
    """Flows that break the rule, with each copy of a packet counted."""
    by_sendings: int
    """Flows that break it if packets within ``SENDING_SECONDS`` count once."""
    in_a_row: int
    """Flows with as many packets at other upstreams within ``FLOW_STRAY_SECONDS`` and
    none at their own between the first and the last of them."""

    def __str__(self) -> str:
        """Return the numbers as one line of a report."""
        return (
            f"{self.strays} stray packets, flows over the limit of {self.open_flows}: "
            f"{self.by_copies} by copies, {self.by_sendings} by sendings, "
            f"{self.in_a_row} in a row"
        )


def find_stray_window(flow: OpenFlow, strays: abc.Sequence[float]) -> float | None:
    """Return the first stray of a window in which the rule is broken, if there is one.

    A window lasts ``FLOW_STRAY_SECONDS``, contains ``FLOW_STRAY_PACKETS`` strays and no
    arrival at the flow's own upstream, and lies within the time of the open flow.
    """
    for first, last in _close_strays(strays):
        before, after = _surrounding_own(flow, first)
        is_served_between = after < last
        if not is_served_between and after - before > FLOW_STRAY_SECONDS:
            return first
    return None


def find_strays_in_a_row(flow: OpenFlow) -> float | None:
    """Return the first of too many strays without an arrival at the own upstream.

    Unlike ``find_stray_window``, an arrival just before or after them does not count.
    """
    for first, last in _close_strays(flow.strays):
        if _surrounding_own(flow, first)[1] >= last:
            return first
    return None


def merge_copies(strays: abc.Iterable[float]) -> list[float]:
    """Return the times of the caller's sendings that the strays can be copies of."""
    sendings: list[float] = []
    for arrived_at in strays:
        if not sendings or arrived_at - sendings[-1] > SENDING_SECONDS:
            sendings.append(arrived_at)
    return sendings


def measure(flows: abc.Iterable[OpenFlow]) -> Figures:
    """Return the figures of a run."""
    counted = list(flows)
    return Figures(
        open_flows=len(counted),
        strays=sum(len(flow.strays) for flow in counted),
        by_copies=sum(
            find_stray_window(flow, flow.strays) is not None for flow in counted
        ),
        by_sendings=sum(
            find_stray_window(flow, merge_copies(flow.strays)) is not None
            for flow in counted
        ),
        in_a_row=sum(find_strays_in_a_row(flow) is not None for flow in counted),
    )


def find_violations(flows: abc.Iterable[OpenFlow]) -> abc.Iterator[str]:
    """Return one message for each flow that breaks the rule."""
    for flow in flows:
        first = find_stray_window(flow, flow.strays)
        if first is None:
            continue
        before, after = _surrounding_own(flow, first)
        count = bisect.bisect(flow.strays, first + FLOW_STRAY_SECONDS)
        count -= bisect.bisect_left(flow.strays, first)
        yield (
            f"{first:.2f} {flow}: {count} packets at other upstreams within "
            f"{FLOW_STRAY_SECONDS} s, none at its own from {before:.2f} to {after:.2f}"
        )


def open_flows(
    upstreams: abc.Sequence[flow_ends.Upstream], *, end: float
) -> list[OpenFlow]:
    """Return the open flows of all upstreams of a site, observed until ``end``.

    Packets from before the time since which all records are complete are left out.
    """
    arrivals: collections.defaultdict[flow_ends.FlowKey, list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    for index, upstream in enumerate(upstreams):
        for arrived_at, key in upstream.record.arrivals:
            arrivals[key].append((arrived_at, index))
    complete_since = max(
        (upstream.record.complete_since for upstream in upstreams),
        default=float("-inf"),
    )
    return [
        _open_flow(
            key,
            arrivals[key],
            own_index=index,
            opened_at=max(opened_at, complete_since),
            closed_at=min(upstream.ended_at, end),
        )
        for index, upstream in enumerate(upstreams)
        for key, opened_at in upstream.opened_at.items()
    ]


def _open_flow(
    key: flow_ends.FlowKey,
    arrivals: abc.Iterable[tuple[float, int]],
    *,
    own_index: int,
    opened_at: float,
    closed_at: float,
) -> OpenFlow:
    own: list[float] = []
    strays: list[float] = []
    for arrived_at, index in sorted(arrivals):
        if opened_at <= arrived_at <= closed_at:
            (own if index == own_index else strays).append(arrived_at)
    return OpenFlow(
        key=key, opened_at=opened_at, closed_at=closed_at, own=own, strays=strays
    )


def _close_strays(strays: abc.Sequence[float]) -> abc.Iterator[tuple[float, float]]:
    """Return the first and last of each ``FLOW_STRAY_PACKETS`` within the limit."""
    lasts = itertools.islice(strays, FLOW_STRAY_PACKETS - 1, None)
    for first, last in zip(strays, lasts, strict=False):
        if last - first <= FLOW_STRAY_SECONDS:
            yield first, last


def _surrounding_own(flow: OpenFlow, moment: float) -> tuple[float, float]:
    """Return the arrivals at the own upstream just before and after a moment.

    Without one, the limit is the time at which the flow was opened or closed.
    """
    position = bisect.bisect(flow.own, moment)
    before = flow.own[position - 1] if position else flow.opened_at
    after = flow.own[position] if position < len(flow.own) else flow.closed_at
    return before, after
