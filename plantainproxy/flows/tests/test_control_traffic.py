"""Control traffic of fleets of 30, 100 and 300 processes, on the engines alone."""

import functools

import pytest

from plantainproxy.flows import messages
from plantainproxy.flows.engine import sidecar_reports, upstreams
from plantainproxy.flows.engine import waiting as queue
from testbed import control_site, transparent

SIZES = (30, 100, 300)
GROWTH = 1.3
"""Largest growth of a process's traffic between domains from 30 to 300 processes."""
MAX_CONTROL_BYTES_PER_SECOND = 10_000
"""Target of the users for the control traffic of one node."""
BUSY_REQUESTS = 3
SERVICES = (transparent.SERVICE, b"other1", b"other2", b"other3")
"""Routes with service times in every complete report, as many as a report has."""
SETTLE_SECONDS = 4.0
MEASURED_SECONDS = 4.0


@functools.cache
def run_busy_site(processes: int) -> control_site.Site:
    """Run a site whose load changes all the time; count after it has settled.

    The tests share one run of each size and do not change it.
    """
    site = control_site.Site(processes)
    site.run_for(SETTLE_SECONDS)
    for node in site.nodes.values():
        node.traffic = control_site.Traffic()
    site.store_reads = 0
    for _ in range(round(MEASURED_SECONDS / control_site.STEP_SECONDS)):
        for node in site.sidecars:
            node.set_load(site.random.randrange(BUSY_REQUESTS))
            node.set_service_times(
                {service: site.random.uniform(0.005, 0.3) for service in SERVICES}
            )
        site.step()
    return site


def bytes_per_process(site: control_site.Site) -> float:
    """Return the bytes between domains for each process and second."""
    total = sum(node.traffic.bytes for node in site.nodes.values())
    return total / len(site.nodes) / MEASURED_SECONDS


def test_bytes_between_domains_stay_flat_for_each_process() -> None:
    """Before there were relays, they grew with the number of processes."""
    small, medium, large = (bytes_per_process(run_busy_site(size)) for size in SIZES)
    assert medium <= GROWTH * small
    assert large <= GROWTH * small
    assert large <= MAX_CONTROL_BYTES_PER_SECOND


@pytest.mark.parametrize("size", SIZES)
def test_every_balancer_has_recent_reports_of_all_domains(size: int) -> None:
    """Relays delay reports by less than the age at which they count as stale."""
    site = run_busy_site(size)
    for node in site.balancers:
        view = node.engine.view
        assert len(view.upstreams) == len(site.sidecars)
        for upstream in view.upstreams.values():
            assert upstreams.is_fresh(upstream, now=site.now)
            assert not upstreams.overdue_sidecars(view, now=site.now)


@pytest.mark.parametrize("size", SIZES)
def test_only_relays_follow_the_store(size: int) -> None:
    """All other processes leave it to the two relays of their domain."""
    site = run_busy_site(size)
    relays = [node for node in site.sidecars if node.is_relay()]
    assert len(relays) == min(2 * 5, len(site.sidecars))
    steps = round(MEASURED_SECONDS / control_site.STEP_SECONDS)
    assert site.store_reads == len(relays) * steps


def test_a_changed_policy_is_everywhere_within_a_second() -> None:
    """It takes the relays' watch, a notice and a transfer within each domain."""
    site = control_site.Site(100)
    site.run_for(SETTLE_SECONDS)
    site.change_policy()
    site.run_for(1.0)
    assert {node.policies.order for node in site.nodes.values()} == {
        site.stored_policy.order
    }


def test_a_draining_upstream_is_known_in_all_domains_within_a_second() -> None:
    """Relays send a change of status at once, not with the next batch."""
    site = control_site.Site(100)
    site.run_for(SETTLE_SECONDS)
    leaving = site.sidecars[7]
    leaving.is_draining = True
    site.run_for(0.4)
    for node in site.balancers:
        report = node.engine.view.upstreams[leaving.address].report
        assert report is not None
        assert report.state is messages.UpstreamState.DRAINING


def test_a_start_with_a_partial_list_subscribes_to_other_domains_for_a_moment() -> None:
    """Balancers that start before the sidecars of their domain see no relay there.

    Pattern: all processes start within a second, and the first lists are partial. The
    subscriptions to all sidecars of other domains sent a report for each pair of a
    balancer and a sidecar, twice a second for half a minute.
    """
    site = control_site.Site(30, domains=3)
    site.list_only(site.sidecars[:1])
    site.run_for(1.0)
    assert _foreign_subscriptions(site) > 0
    site.list_only(site.sidecars)
    site.run_for(
        sidecar_reports.SHORT_SUBSCRIPTION_TIMEOUT_SECONDS
        + control_site.EVICTION_SECONDS
    )
    assert _foreign_subscriptions(site) == 0


def _foreign_subscriptions(site: control_site.Site) -> int:
    return sum(
        not subscriber.is_local_domain
        for node in site.sidecars
        for subscriber in node.engine.subscribers.values()
    )


HOPS = 4
"""Sidecar, relay, relay, balancer: each message arrives with the next step."""


@pytest.mark.parametrize(("waits", "most_seconds"), [(True, 0.1), (False, 0.3)])
def test_room_in_another_domain_is_seen_sooner_while_callers_wait(
    waits: bool, most_seconds: float
) -> None:
    """All upstreams are saturated after a mass restart, and the domain's own are full.

    Pattern: callers of one domain queue until an upstream of any domain has room. With
    the usual interval of batches they would wait a quarter of a second more.
    ``most_seconds`` is the sum of the intervals of reports and batches.
    """
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    for node in site.sidecars:
        node.set_load(8)
    site.run_for(2.0)
    waiting_balancer = site.balancers[0]
    if waits:
        opening = transparent.make_packet(transparent.flow_key(1), opening=True)
        waiting_balancer.engine.waiting.openings[opening.flow] = queue.Opening(
            packet=opening, first_sent_at=float("inf")
        )
    site.run_for(0.7)
    delays = []
    for node in site.sidecars:
        if node.domain == waiting_balancer.domain:
            continue
        node.set_load(7)
        freed_at = site.now
        while not _knows_room(waiting_balancer, node):
            site.step()
        delays.append(site.now - freed_at)
        node.set_load(8)
        site.run_for(0.35)
    assert max(delays) <= most_seconds + HOPS * control_site.STEP_SECONDS + 1e-6


def _knows_room(
    balancer: control_site.BalancerNode, node: control_site.SidecarNode
) -> bool:
    report = balancer.engine.view.upstreams[node.address].report
    return report is not None and report.room > 0
