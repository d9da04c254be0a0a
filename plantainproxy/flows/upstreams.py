"""A balancer's view of the upstreams, from their sidecars' reports."""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, ring

FRESH_SECONDS = 1.3
"""A report older than this is late; new flows go elsewhere. Twice the reports'
longest interval, and some delay."""
SILENT_SECONDS = 0.7
"""A sidecar that missed a report may have restarted, and knows nobody then; just above
the reports' longest interval."""
LOST_SECONDS = 3.0
"""A sidecar that was silent for this long is taken as gone. Above the time that a
planned restart of a sidecar takes."""
SUSPECT_SECONDS = 1.6
"""The same for flows whose requests may be repeated: their callers are served sooner
elsewhere. Above the time in which a killed sidecar is back."""
UNHEARD_SECONDS = 1.0
"""A listed sidecar that has never answered a greeting is taken as gone after this."""
FORGET_SECONDS = 60.0
"""A silent sidecar is greeted for this long, in case it returns."""
COMPLETE_SECONDS = 2.0
"""The store's list may lack a sidecar that lives for this long: one that registers just
now, or whose lease the store dropped while it was away. Above a sidecar's renewal
interval."""
EXPECTED_SECONDS = 10.0
"""A sidecar that is no longer listed is expected for this long after its last report,
as the store may have dropped its lease; the same time as a lease's."""
BLIND_SHARE = 0.5
"""When more sidecars than this share fall silent at once, the fault is here."""


class Upstream(msgspec.Struct, kw_only=True):
    """What is known of one upstream."""

    address: _types.Address
    """The sidecar's address for messages; it names the upstream."""
    data_address: _types.Address
    report: messages.Report | None = None
    """The newest report; absent when the store alone names the upstream."""
    heard_at: float = float("-inf")
    """When the newest report came, on the steady clock."""
    known_since: float = 0.0
    registered: bool = False
    """Whether the store lists the sidecar."""
    placed: int = 0
    """Flows placed there since the newest report."""
    held_off_until: float = float("-inf")
    """No new flow goes there before this time."""


class View:
    """All upstreams by their sidecars' addresses, and a ring for each pool."""

    def __init__(self) -> None:
        """Start with none."""
        self.upstreams: dict[_types.Address, Upstream] = {}
        self.rings: dict[str, ring.Ring] = {}
        self.listed = False
        """Whether the store's list has been read."""
        self.complete_at = float("inf")
        """From when on every sidecar that lives is known."""


def is_fresh(upstream: Upstream, *, now: float) -> bool:
    """Return whether the sidecar was heard lately."""
    return now - upstream.heard_at < FRESH_SECONDS


def is_lost(
    upstream: Upstream, *, now: float, after_seconds: float = LOST_SECONDS
) -> bool:
    """Return whether the sidecar has been silent for too long."""
    if upstream.report is None:
        return now - upstream.known_since >= UNHEARD_SECONDS
    return now - upstream.heard_at >= after_seconds


def without_reports(view: View, *, now: float) -> list[_types.Address]:
    """Return the sidecars that may live and do not know that reports are wanted."""
    return [
        upstream.address
        for upstream in view.upstreams.values()
        if now - upstream.heard_at >= SILENT_SECONDS and not is_lost(upstream, now=now)
    ]


def is_settled(view: View, *, now: float) -> bool:
    """Return whether every sidecar that is expected has been heard or is lost."""
    return view.listed and all(
        upstream.report is not None or is_lost(upstream, now=now)
        for upstream in view.upstreams.values()
    )


def is_blind(view: View, *, now: float) -> bool:
    """Return whether so many sidecars are silent that the fault is likely here.

    One that is listed counts even if it was never heard: a process that is cut off
    from its start on has heard nobody.
    """
    expected = [
        one
        for one in view.upstreams.values()
        if one.registered or now - one.heard_at < EXPECTED_SECONDS
    ]
    silent = sum(not is_fresh(upstream, now=now) for upstream in expected)
    return silent > BLIND_SHARE * len(expected)


def list_registered(
    view: View,
    registered: abc.Iterable[tuple[_types.Address, _types.Address]],
    now: float,
) -> None:
    """Take the store's list of sidecars: addresses for messages and for data."""
    addresses = dict(registered)
    for address, data_address in addresses.items():
        _known(view, address, data_address, now=now)
    for upstream in view.upstreams.values():
        upstream.registered = upstream.address in addresses
    if not view.listed:
        view.listed = True
        view.complete_at = now + COMPLETE_SECONDS


def take_report(
    view: View, address: _types.Address, report: messages.Report, *, now: float
) -> bool:
    """Take a sidecar's report; return whether anything but its load is new."""
    data_address = _types.Address(address.host, report.data_port)
    upstream = _known(view, address, data_address, now=now)
    known = upstream.report
    if known and known.boot == report.boot and known.number >= report.number:
        return False
    upstream.report = report
    upstream.data_address = data_address
    upstream.heard_at = now
    upstream.placed = 0
    if known is None or known.pool != report.pool:
        rebuild_rings(view)
        return True
    return (
        known.boot != report.boot
        or known.state is not report.state
        or known.cold is not report.cold
        or known.stopping is not report.stopping
        or known.suspect is not report.suspect
    )


def _known(
    view: View, address: _types.Address, data_address: _types.Address, *, now: float
) -> Upstream:
    """Return what is known of an upstream; it may be new."""
    found = view.upstreams.get(address)
    if found is None:
        found = view.upstreams[address] = Upstream(
            address=address, data_address=data_address, known_since=now
        )
    return found


def forget_silent(view: View, *, now: float) -> list[_types.Address]:
    """Forget sidecars that are neither listed nor heard; return their addresses."""
    gone = [
        upstream.address
        for upstream in view.upstreams.values()
        if not upstream.registered
        and now - max(upstream.heard_at, upstream.known_since) >= FORGET_SECONDS
    ]
    for address in gone:
        del view.upstreams[address]
    if gone:
        rebuild_rings(view)
    return gone


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
