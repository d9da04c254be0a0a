"""A balancer's view of the upstreams, from their sidecars' reports."""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, ring

REPORT_FRESH_SECONDS = 1.3
"""A report older than this is late; new flows go elsewhere. Twice the reports'
longest interval, and some delay."""
REPORT_OVERDUE_SECONDS = 0.7
"""A sidecar that missed a report may have restarted, and knows nobody then; just above
the reports' longest interval."""
LOSS_TIMEOUT_SECONDS = 3.0
"""A sidecar that was silent for this long is taken as gone. Above the time that a
planned restart of a sidecar takes."""
SHORT_LOSS_TIMEOUT_SECONDS = 1.6
"""The same for flows whose requests may be repeated: their callers are served sooner
elsewhere. Above the time in which a killed sidecar is back."""
FIRST_REPORT_TIMEOUT_SECONDS = 1.0
"""A listed sidecar that has never answered a greeting is taken as gone after this."""
EVICTION_SECONDS = 60.0
"""A silent sidecar is greeted for this long, in case it returns."""
LIST_LAG_SECONDS = 2.0
"""The store's list may lack a sidecar that lives for this long: one that registers just
now, or whose lease the store dropped while it was away. Above a sidecar's renewal
interval."""
UNLISTED_EXPECTED_SECONDS = 10.0
"""A sidecar that is no longer listed is expected for this long after its last report,
as the store may have dropped its lease; the same time as a lease's."""
MAJORITY_SHARE = 0.5
"""When more sidecars than this share fall silent at once, the fault is here."""


class Upstream(msgspec.Struct, kw_only=True):
    """What is known of one upstream."""

    address: _types.Address
    """The sidecar's address for messages; it names the upstream."""
    data_address: _types.Address
    report: messages.Report | None = None
    """The newest report; absent when the store alone names the upstream."""
    last_report_at: float = float("-inf")
    """When the newest report came, on the steady clock."""
    added_at: float = 0.0
    registered: bool = False
    """Whether the store lists the sidecar."""
    placed_flows: int = 0
    """Flows placed there since the newest report."""
    backoff_until: float = float("-inf")
    """No new flow goes there before this time."""


class View:
    """All upstreams by their sidecars' addresses, and a ring for each pool."""

    def __init__(self) -> None:
        """Start with none."""
        self.upstreams: dict[_types.Address, Upstream] = {}
        self.rings: dict[str, ring.Ring] = {}
        self.list_received = False
        """Whether the store's list has been read."""
        self.complete_at = float("inf")
        """From when on every sidecar that lives is known."""


def is_fresh(upstream: Upstream, *, now: float) -> bool:
    """Return whether the sidecar was heard lately."""
    return now - upstream.last_report_at < REPORT_FRESH_SECONDS


def is_lost(
    upstream: Upstream, *, now: float, timeout_seconds: float = LOSS_TIMEOUT_SECONDS
) -> bool:
    """Return whether the sidecar has been silent for too long."""
    if upstream.report is None:
        return now - upstream.added_at >= FIRST_REPORT_TIMEOUT_SECONDS
    return now - upstream.last_report_at >= timeout_seconds


def overdue_sidecars(view: View, *, now: float) -> list[_types.Address]:
    """Return the sidecars that may live and do not know that reports are wanted."""
    return [
        upstream.address
        for upstream in view.upstreams.values()
        if now - upstream.last_report_at >= REPORT_OVERDUE_SECONDS
        and not is_lost(upstream, now=now)
    ]


def is_converged(view: View, *, now: float) -> bool:
    """Return whether every sidecar that is expected has been heard or is lost."""
    return view.list_received and all(
        upstream.report is not None or is_lost(upstream, now=now)
        for upstream in view.upstreams.values()
    )


def is_majority_silent(view: View, *, now: float) -> bool:
    """Return whether so many sidecars are silent that the fault is likely here.

    One that is listed counts even if it was never heard: a process that is cut off
    from its start on has heard nobody.
    """
    expected = [
        member
        for member in view.upstreams.values()
        if member.registered or now - member.last_report_at < UNLISTED_EXPECTED_SECONDS
    ]
    silent = sum(not is_fresh(upstream, now=now) for upstream in expected)
    return silent > MAJORITY_SHARE * len(expected)


def apply_registrations(
    view: View,
    registered: abc.Iterable[tuple[_types.Address, _types.Address]],
    now: float,
) -> None:
    """Take the store's list of sidecars: addresses for messages and for data."""
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
    """Take a sidecar's report; return whether anything but its load is new."""
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
    """Return what is known of an upstream; it may be new."""
    upstream = view.upstreams.get(address)
    if upstream is None:
        upstream = view.upstreams[address] = Upstream(
            address=address, data_address=data_address, added_at=now
        )
    return upstream


def evict_silent(view: View, *, now: float) -> list[_types.Address]:
    """Forget sidecars that are neither listed nor heard; return their addresses."""
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
    """Return every known upstream of the pools, and those of unknown pool."""
    wanted = frozenset(pools)
    return [
        upstream
        for upstream in view.upstreams.values()
        if upstream.report is None or upstream.report.pool in wanted
    ]


def rebuild_rings(view: View) -> None:
    """Make the rings of all pools anew from the reports."""
    by_pool: dict[str, list[_types.Address]] = {}
    for upstream in view.upstreams.values():
        if upstream.report is not None:
            by_pool.setdefault(upstream.report.pool, []).append(upstream.address)
    view.rings = {pool: ring.Ring(members) for pool, members in by_pool.items()}
