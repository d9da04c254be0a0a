"""A balancer's view of the upstreams, from the reports of their sidecars.

An upstream is identified by the message address of its sidecar.
"""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages
from plantainproxy.flows.engine import ring

REPORT_FRESH_SECONDS = 1.3
"""Age from which a report is stale; other upstreams are then preferred for new flows.
Twice the longest interval between reports, plus some delay."""
REPORT_OVERDUE_SECONDS = 0.7
"""Age of the last report from which reports are requested again: the sidecar may have
restarted and lost its list of balancers. Just above the longest interval between
reports."""
RELAYED_REPORT_OVERDUE_SECONDS = 0.95
"""The same for sidecars of other domains: relays delay their reports by up to a quarter
of a second. Early enough for several requests before the sidecar counts as lost."""
LOSS_TIMEOUT_SECONDS = 3.0
"""Time without a report after which a sidecar counts as lost. Above the time that a
planned restart of a sidecar takes."""
SHORT_LOSS_TIMEOUT_SECONDS = 1.6
"""The same for flows whose requests may be repeated: their callers can retry on another
upstream sooner. Above the time in which a killed sidecar is running again."""
RESTART_TIMEOUT_SECONDS = 10.0
"""The same for a sidecar that has announced a planned stop while its upstream runs on:
the upstream holds its flows until the next sidecar process has started. Equal to the
lease time of the sidecar's entry."""
FIRST_REPORT_TIMEOUT_SECONDS = 1.0
"""Time after which a balancer that starts is ready although a listed sidecar has not
reported."""
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
    is_stop_recorded: bool = False
    """Whether the store has a snapshot of a planned stop of the sidecar. Counts only
    before its first report."""
    placed_flows: int = 0
    """Number of flows placed on the upstream since the newest report."""
    backoff_until: float = float("-inf")
    """The upstream gets no new flows before this time."""
    listed_domain: str = ""
    """Failure domain according to the store's list."""
    service_times_at: float = float("-inf")
    """When the newest complete report, which has the service times, was sent."""
    speed_factor: float = 1.0
    """Service times of the upstream relative to the median of its pool."""

    @property
    def domain(self) -> str:
        """Failure domain of the upstream; empty if unknown."""
        return self.report.domain if self.report else self.listed_domain


class ListedSidecar(msgspec.Struct, frozen=True, kw_only=True):
    """What the store's list states about a sidecar."""

    data_address: _types.Address
    domain: str = ""


class View:
    """All upstreams by message address, and hash rings for each pool."""

    def __init__(self, domain: str) -> None:
        """Create a view without upstreams for a balancer in a failure domain."""
        self.domain = domain
        self.upstreams: dict[_types.Address, Upstream] = {}
        self.rings: dict[str, ring.Ring] = {}
        self.domain_rings: dict[str, ring.Ring] = {}
        """Rings of the upstreams in the balancer's own failure domain, by pool."""
        self.are_rings_stale = False
        """Whether the members of a pool have changed since the rings were built. A
        start brings the first report of every sidecar, so rings are built on use."""
        self.list_received = False
        """Whether the store's list of sidecars has been received."""
        self.complete_at = float("inf")
        """Time from which the view includes every live sidecar."""
        self.list_checked_at = float("-inf")
        """When the newest answered check of the list was sent to the store. The list
        names every sidecar that had registered by then."""


def is_fresh(upstream: Upstream, *, now: float) -> bool:
    """Return whether the sidecar's newest report is recent."""
    return now - upstream.last_report_at < REPORT_FRESH_SECONDS


def is_lost(
    upstream: Upstream, *, now: float, timeout_seconds: float = LOSS_TIMEOUT_SECONDS
) -> bool:
    """Return whether the time without a report has reached the timeout.

    ``RESTART_TIMEOUT_SECONDS`` applies to a sidecar that is restarting, and
    ``LOSS_TIMEOUT_SECONDS`` to any other one that has never reported: it may have
    announced a planned stop before this balancer started.
    """
    if is_restarting(upstream):
        timeout_seconds = RESTART_TIMEOUT_SECONDS
    elif upstream.report is None:
        timeout_seconds = LOSS_TIMEOUT_SECONDS
    silent_since = upstream.last_report_at if upstream.report else upstream.added_at
    return now - silent_since >= timeout_seconds


def is_restarting(upstream: Upstream) -> bool:
    """Return whether the sidecar has announced a planned stop and should return.

    A sidecar whose upstream ends removes its entry as well. Until then, a draining
    upstream may hold flows.
    """
    report = upstream.report
    if report is None:
        return upstream.is_stop_recorded and upstream.registered
    if not report.stopping:
        return False
    if report.state is messages.UpstreamState.DRAINING:
        return upstream.registered
    return report.state is not messages.UpstreamState.GONE


def is_away(
    upstream: Upstream, *, now: float, timeout_seconds: float = LOSS_TIMEOUT_SECONDS
) -> bool:
    """Return whether the sidecar should return but cannot be asked for its flows now.

    It has not reported yet, is silent, or has announced a stop, and is not lost.
    """
    if is_lost(upstream, now=now, timeout_seconds=timeout_seconds):
        return False
    if has_left(upstream):
        return False
    is_stopping = upstream.report is not None and upstream.report.stopping
    return is_stopping or not is_fresh(upstream, now=now)


def oldest_report_seconds(view: View, *, now: float) -> float:
    """Return the age of the oldest of the newest reports of upstreams not lost."""
    return max(
        (
            now - upstream.last_report_at
            for upstream in view.upstreams.values()
            if upstream.report is not None and not is_lost(upstream, now=now)
        ),
        default=0.0,
    )


def overdue_sidecars(view: View, *, now: float) -> list[_types.Address]:
    """Return the sidecars whose report is overdue but that do not count as lost.

    One that has stopped together with its upstream will send none.
    """
    return [
        upstream.address
        for upstream in view.upstreams.values()
        if now - upstream.last_report_at >= _overdue_seconds(view, upstream)
        and not is_lost(upstream, now=now)
        and not has_left(upstream)
    ]


def has_left(upstream: Upstream) -> bool:
    """Return whether the sidecar has stopped for good, together with its upstream."""
    report = upstream.report
    return (
        not upstream.registered
        and report is not None
        and report.stopping
        and report.state is messages.UpstreamState.GONE
    )


def _overdue_seconds(view: View, upstream: Upstream) -> float:
    is_relayed = upstream.domain != view.domain
    return RELAYED_REPORT_OVERDUE_SECONDS if is_relayed else REPORT_OVERDUE_SECONDS


def is_converged(view: View, *, now: float) -> bool:
    """Return whether the list was received and no first report is outstanding."""
    return view.list_received and all(
        upstream.report is not None
        or now - upstream.added_at >= FIRST_REPORT_TIMEOUT_SECONDS
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
    registered: abc.Mapping[_types.Address, ListedSidecar],
    now: float,
    *,
    is_restored: bool = False,
) -> None:
    """Apply the store's list of sidecars by message address.

    The first list, and the first one since the store was restored from an older copy,
    may lack live sidecars, so the view only counts as complete after some time.
    """
    for address, listed in registered.items():
        upstream = _get_or_add(view, address, listed.data_address, now=now)
        upstream.listed_domain = listed.domain
    for upstream in view.upstreams.values():
        upstream.registered = upstream.address in registered
    if not view.list_received or is_restored:
        view.list_received = True
        view.complete_at = now + LIST_LAG_SECONDS


def record_stops(view: View, stopped: abc.Iterable[_types.Address]) -> None:
    """Record sidecars that had stopped as planned before this balancer started."""
    for address in stopped:
        upstream = view.upstreams.get(address)
        if upstream is not None:
            upstream.is_stop_recorded = True


def apply_report(
    view: View,
    address: _types.Address,
    report: messages.Report,
    *,
    now: float,
    is_relayed: bool = False,
) -> bool:
    """Apply a report that the sidecar sent at ``now`` unless it is outdated.

    A relay that was paused may pass on reports of an earlier process of the sidecar.
    So a relayed report replaces that of another process only if its process started
    later. If the sidecar's clock was set back between the two starts, the next report
    that this balancer requests from the sidecar itself ends the confusion.

    Returns whether the report is the first one or differs from the previous one in its
    pool, boot ID, state or flags ``cold``, ``stopping`` and ``suspect``.
    """
    data_address = _types.Address(address.host, report.data_port)
    upstream = _get_or_add(view, address, data_address, now=now)
    previous = upstream.report
    if previous and previous.boot == report.boot and previous.number >= report.number:
        return False
    if is_relayed and previous and previous.boot > report.boot:
        return False
    upstream.report = report
    upstream.data_address = data_address
    upstream.last_report_at = max(upstream.last_report_at, now)
    upstream.service_times_at = now
    upstream.placed_flows = 0
    if previous is None or (previous.pool, previous.domain) != (
        report.pool,
        report.domain,
    ):
        view.are_rings_stale = True
        return True
    return (
        previous.boot != report.boot
        or previous.state is not report.state
        or previous.cold is not report.cold
        or previous.stopping is not report.stopping
        or previous.suspect is not report.suspect
    )


def apply_load(
    view: View, address: _types.Address, load: messages.LoadReport, *, now: float
) -> None:
    """Apply the load that a sidecar reported at ``now`` unless it is outdated.

    Ignores a load that belongs to a process without a complete report.
    """
    upstream = view.upstreams.get(address)
    if upstream is None or upstream.report is None:
        return
    if upstream.report.boot != load.boot or upstream.report.number >= load.number:
        return
    upstream.report = msgspec.structs.replace(
        upstream.report,
        number=load.number,
        running=load.running,
        flows=load.flows,
        room=load.room,
    )
    upstream.last_report_at = max(upstream.last_report_at, now)
    upstream.placed_flows = 0


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
        view.are_rings_stale = True
    return evicted


def in_pools(view: View, pools: abc.Iterable[str]) -> list[Upstream]:
    """Return the upstreams of some pools, and those that have not reported a pool."""
    pool_names = frozenset(pools)
    return [
        upstream
        for upstream in view.upstreams.values()
        if upstream.report is None or upstream.report.pool in pool_names
    ]


def candidates(view: View, pool: str, flow: bytes, count: int) -> list[_types.Address]:
    """Return the ring candidates of a flow: those of the own domain, then the others.

    At most ``count`` are in the own failure domain, and ``count`` on the ring of the
    whole pool; the latter are the same for the balancers of all domains.
    """
    if view.are_rings_stale:
        rebuild_rings(view)
    found: dict[_types.Address, None] = {}
    for rings in (view.domain_rings, view.rings):
        if pool in rings:
            found.update(dict.fromkeys(rings[pool].candidates(flow, count)))
    return list(found)


def pool_members(view: View, pool: str) -> list[Upstream]:
    """Return the upstreams that have reported a pool."""
    return [
        upstream
        for upstream in view.upstreams.values()
        if upstream.report is not None and upstream.report.pool == pool
    ]


def rebuild_rings(view: View) -> None:
    """Rebuild the hash rings of all pools from the reports."""
    view.are_rings_stale = False
    by_pool: dict[str, list[_types.Address]] = {}
    in_domain_by_pool: dict[str, list[_types.Address]] = {}
    for upstream in view.upstreams.values():
        if upstream.report is None:
            continue
        by_pool.setdefault(upstream.report.pool, []).append(upstream.address)
        if upstream.domain == view.domain:
            members = in_domain_by_pool.setdefault(upstream.report.pool, [])
            members.append(upstream.address)
    view.rings = {pool: ring.Ring(members) for pool, members in by_pool.items()}
    view.domain_rings = {
        pool: ring.Ring(members) for pool, members in in_domain_by_pool.items()
    }
