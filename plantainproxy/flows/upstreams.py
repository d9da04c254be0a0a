"""A balancer's view of the upstreams, from the reports of their sidecars.

An upstream is identified by the message address of its sidecar.
"""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, ring

REPORT_FRESH_SECONDS = 1.3
"""Age from which a report is stale; other upstreams are then preferred for new flows.
Twice the longest interval between reports, plus some delay."""
REPORT_OVERDUE_SECONDS = 0.7
"""Age of the last report from which reports are requested again: the sidecar may have
restarted and lost its list of balancers. Just above the longest interval between
reports."""
LOSS_TIMEOUT_SECONDS = 3.0
"""Time without a report after which a sidecar counts as lost. Above the time that a
planned restart of a sidecar takes."""
SHORT_LOSS_TIMEOUT_SECONDS = 1.6
"""The same for flows whose requests may be repeated: their callers can retry on another
upstream sooner. Above the time in which a killed sidecar is running again."""
FIRST_REPORT_TIMEOUT_SECONDS = 1.0
"""Time after which a listed sidecar that has never reported counts as lost."""
EVICTION_SECONDS = 60.0
"""An unregistered sidecar without reports is removed after this time; until then it
may return."""
LIST_LAG_SECONDS = 2.0
"""How long the store's list may lack a live sidecar: one that is registering, or whose
lease the store dropped during an outage. Above a sidecar's renewal interval."""
UNLISTED_EXPECTED_SECONDS = 10.0
"""How long after its last report a sidecar that is no longer listed is still expected
to report, as the store may have dropped its lease. Equal to the lease time."""
MAJORITY_SHARE = 0.5
"""If more than this share of the sidecars is silent at once, the fault is assumed to be
in this process or its network."""


class Upstream(msgspec.Struct, kw_only=True):
    """One upstream, its newest report, and the flows placed on it since."""

    address: _types.Address
    """The sidecar's address for messages, which identifies the upstream."""
    data_address: _types.Address
    report: messages.Report | None = None
    """The newest report; None if the upstream is only registered in the store."""
    last_report_at: float = float("-inf")
    """When the newest report arrived, on the monotonic clock."""
    added_at: float = 0.0
    registered: bool = False
    """Whether the store lists the sidecar."""
    placed_flows: int = 0
    """Number of flows placed on the upstream since the newest report."""
    backoff_until: float = float("-inf")
    """The upstream gets no new flows before this time."""


class View:
    """All upstreams by message address, and a hash ring for each pool."""

    def __init__(self) -> None:
        """Create a view without upstreams."""
        self.upstreams: dict[_types.Address, Upstream] = {}
        self.rings: dict[str, ring.Ring] = {}
        self.list_received = False
        """Whether the store's list of sidecars has been received."""
        self.complete_at = float("inf")
        """Time from which the view includes every live sidecar."""


def is_fresh(upstream: Upstream, *, now: float) -> bool:
    """Return whether the sidecar's newest report is recent."""
    return now - upstream.last_report_at < REPORT_FRESH_SECONDS


def is_lost(
    upstream: Upstream, *, now: float, timeout_seconds: float = LOSS_TIMEOUT_SECONDS
) -> bool:
    """Return whether the time without a report has reached the timeout.

    ``FIRST_REPORT_TIMEOUT_SECONDS`` applies to a sidecar that has never reported.
    """
    if upstream.report is None:
        return now - upstream.added_at >= FIRST_REPORT_TIMEOUT_SECONDS
    return now - upstream.last_report_at >= timeout_seconds


def overdue_sidecars(view: View, *, now: float) -> list[_types.Address]:
    """Return the sidecars whose report is overdue but that do not count as lost."""
    return [
        upstream.address
        for upstream in view.upstreams.values()
        if now - upstream.last_report_at >= REPORT_OVERDUE_SECONDS
        and not is_lost(upstream, now=now)
    ]


def is_converged(view: View, *, now: float) -> bool:
    """Return whether the list was received and no first report is outstanding."""
    return view.list_received and all(
        upstream.report is not None or is_lost(upstream, now=now)
        for upstream in view.upstreams.values()
    )


def is_majority_silent(view: View, *, now: float) -> bool:
    """Return whether so many sidecars are silent that the fault is probably local.

    A listed sidecar counts even if it has never reported: a process that is partitioned
    from its start has received no report at all.
    """
    expected = [
        member
        for member in view.upstreams.values()
        if member.registered or now - member.last_report_at < UNLISTED_EXPECTED_SECONDS
    ]
    silent_count = sum(not is_fresh(upstream, now=now) for upstream in expected)
    return silent_count > MAJORITY_SHARE * len(expected)


def apply_registrations(
    view: View,
    registered: abc.Iterable[tuple[_types.Address, _types.Address]],
    now: float,
) -> None:
    """Apply the store's list of sidecars: pairs of message and data address."""
    addresses = dict(registered)
    for address, data_address in addresses.items():
        _get_or_add(view, address, data_address, now=now)
    for upstream in view.upstreams.values():
        upstream.registered = upstream.address in addresses
    if not view.list_received:
        view.list_received = True
        view.complete_at = now + LIST_LAG_SECONDS


def apply_report(
    view: View, address: _types.Address, report: messages.Report, *, now: float
) -> bool:
    """Apply a report unless it is outdated.

    Returns whether the report is the first one or differs from the previous one in its
    pool, boot ID, state or flags ``cold``, ``stopping`` and ``suspect``.
    """
    data_address = _types.Address(address.host, report.data_port)
    upstream = _get_or_add(view, address, data_address, now=now)
    previous = upstream.report
    if previous and previous.boot == report.boot and previous.number >= report.number:
        return False
    upstream.report = report
    upstream.data_address = data_address
    upstream.last_report_at = now
    upstream.placed_flows = 0
    if previous is None or previous.pool != report.pool:
        rebuild_rings(view)
        return True
    return (
        previous.boot != report.boot
        or previous.state is not report.state
        or previous.cold is not report.cold
        or previous.stopping is not report.stopping
        or previous.suspect is not report.suspect
    )


def _get_or_add(
    view: View, address: _types.Address, data_address: _types.Address, *, now: float
) -> Upstream:
    """Return the upstream with a message address; add it if it is new."""
    upstream = view.upstreams.get(address)
    if upstream is None:
        upstream = view.upstreams[address] = Upstream(
            address=address, data_address=data_address, added_at=now
        )
    return upstream


def evict_silent(view: View, *, now: float) -> list[_types.Address]:
    """Remove unregistered sidecars that no longer report; return their addresses."""
    evicted = [
        upstream.address
        for upstream in view.upstreams.values()
        if not upstream.registered
        and now - max(upstream.last_report_at, upstream.added_at) >= EVICTION_SECONDS
    ]
    for address in evicted:
        del view.upstreams[address]
    if evicted:
        rebuild_rings(view)
    return evicted


def in_pools(view: View, pools: abc.Iterable[str]) -> list[Upstream]:
    """Return the upstreams of some pools, and those that have not reported a pool."""
    pool_names = frozenset(pools)
    return [
        upstream
        for upstream in view.upstreams.values()
        if upstream.report is None or upstream.report.pool in pool_names
    ]


def rebuild_rings(view: View) -> None:
    """Rebuild the hash rings of all pools from the reports."""
    by_pool: dict[str, list[_types.Address]] = {}
    for upstream in view.upstreams.values():
        if upstream.report is not None:
            by_pool.setdefault(upstream.report.pool, []).append(upstream.address)
    view.rings = {pool: ring.Ring(members) for pool, members in by_pool.items()}
