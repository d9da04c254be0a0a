"""Tests of the documents when the store returns from an older copy.

Each test has one fault. The store's port and its client have their own tests in
``plantainproxy/platform/tests/test_store_eras.py``.
"""

import hypothesis
from hypothesis import strategies
import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import coverage, documents
from plantainproxy.flows.engine import sidecar, upstreams
from plantainproxy.flows.stored import registry
from plantainproxy.store import revisioned
from testbed import control_site, transparent

PEER = transparent.address(9)
SETTLE_SECONDS = 4.0
CHANGE_SECONDS = 4.0
"""Bound of the users for a change, plus one second for a process that was cut off."""
POLICIES = strategies.builds(
    lambda number, era, version, out: transparent.make_policy(
        number, era=era, version=version, domains_out=out
    ),
    strategies.integers(1, 4),
    strategies.integers(0, 2),
    strategies.integers(1, 3),
    strategies.sets(strategies.sampled_from("ab")),
)


def documents_with(*applied: policy.Policy) -> documents.Documents:
    """Return the documents of a process that has applied the given policies."""
    policies = policy.ActivePolicy()
    for applied_policy in applied:
        policies.apply_if_newer(applied_policy)
    return documents.Documents(policies, log=event_log.EventLog("test"))


def listed(era: int, number: int, *hosts: str) -> registry.SidecarList:
    """Return a list with an entry for each host."""
    return registry.SidecarList(
        revision=number,
        entries={host: host.encode() for host in hosts},
        era=era,
    )


def domains_out(policies: policy.ActivePolicy) -> frozenset[str]:
    """Return the domains that are out in the policy in force."""
    assert policies.current is not None
    return policies.current.domains_out


@hypothesis.given(offered=strategies.lists(POLICIES, max_size=6))
def test_a_process_never_returns_to_an_older_version(
    offered: list[policy.Policy],
) -> None:
    """Whatever copies it reads or pulls, its version and its order only increase."""
    policies = policy.ActivePolicy()
    for offered_policy in offered:
        before = policies.order
        policies.apply_if_newer(offered_policy)
        assert policies.order >= before
        assert policies.current is not None
        assert policies.current.version >= before.version
        assert policies.current.version >= offered_policy.version


@hypothesis.given(numbers=strategies.lists(strategies.integers(1, 6), max_size=8))
def test_without_a_restoration_the_later_revision_applies(numbers: list[int]) -> None:
    """The store of era 0 is ordered by revision alone, as before there were eras."""
    policies = policy.ActivePolicy()
    newest = 0
    for number in numbers:
        offered = transparent.make_policy(number, domains_out=[f"d{number % 3}"])
        assert policies.apply_if_newer(offered) is (number > newest)
        newest = max(newest, number)
        assert policies.revision == newest
        assert domains_out(policies) == {f"d{newest % 3}"}
        assert not policies.held_domains


def test_a_lost_policy_change_is_not_reverted() -> None:
    """The copy has version 4; the process has handled requests by version 5."""
    policies = policy.ActivePolicy()
    policies.apply_if_newer(transparent.make_policy(90, version=5))
    policies.apply_if_newer(transparent.make_policy(60, era=1, version=4))
    assert policies.current is not None
    assert policies.current.version == 5
    assert policies.order == policy.Order(5, revisioned.Revision(1, 60))


def test_an_evacuation_after_the_restoration_applies_before_the_lost_version() -> None:
    """Operators may write evacuations first; version 5 must not hide them."""
    policies = policy.ActivePolicy()
    policies.apply_if_newer(transparent.make_policy(90, version=5))
    policies.apply_if_newer(
        transparent.make_policy(61, era=1, version=4, domains_out=["a"])
    )
    assert domains_out(policies) == {"a"}
    assert policies.current is not None
    assert policies.current.version == 5


def test_a_lost_policy_change_reaches_a_process_that_had_not_applied_it() -> None:
    """It was paused at the change, and wakes up after the store has lost it."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    missed = [node for node in site.sidecars if node.is_relay()][:2]
    for node in missed:
        node.is_paused = True
    site.change_policy()
    version = site.wanted_policy.version
    site.run_for(CHANGE_SECONDS)
    site.restore_store(seconds_older=CHANGE_SECONDS + 1.0, rewrite_seconds=1e6)
    assert site.stored_policy.version < version
    for node in missed:
        node.is_paused = False
    for _ in range(round(CHANGE_SECONDS / control_site.STEP_SECONDS)):
        site.step()
        for other in site.nodes.values():
            assert other.policies.current is not None
            assert other in missed or other.policies.current.version == version
    orders = {node.policies.order for node in site.nodes.values()}
    assert orders == {policy.Order(version, site.stored_policy.order.revision)}


def test_all_processes_apply_what_the_operators_write_again() -> None:
    """Its revision is lower than the lost one, which they have applied."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    for _ in range(5):
        site.change_policy()
    lost = site.stored_policy
    site.run_for(2.0)
    site.restore_store(seconds_older=3.0, rewrite_seconds=2.0)
    site.run_for(2.0 + CHANGE_SECONDS)
    assert site.stored_policy.revision < lost.revision
    assert {node.policies.order for node in site.nodes.values()} == {
        site.stored_policy.order
    }


def test_a_lost_evacuation_stays_in_force_for_five_seconds() -> None:
    """The copy does not have it, and the operators do not write it again."""
    harness = transparent.ready_sidecar()
    policies = harness.engine.policies
    harness.apply_policy(
        transparent.make_policy(90, version=5, domains_out=[transparent.DOMAIN])
    )
    harness.apply_policy(transparent.make_policy(60, era=1, version=5))
    for _ in range(9):
        policies.elapse_hold(0.5)
        assert domains_out(policies) == {transparent.DOMAIN}
        assert policies.stored is not None
        assert not policies.stored.domains_out
    assert policies.elapse_hold(0.5)
    assert not domains_out(policies)


def test_an_evacuation_that_is_written_again_follows_the_store() -> None:
    """It ends when the operators remove it, also within the five seconds."""
    policies = policy.ActivePolicy()
    policies.apply_if_newer(
        transparent.make_policy(90, version=5, domains_out=["a", "b"])
    )
    policies.apply_if_newer(transparent.make_policy(60, era=1, version=5))
    policies.apply_if_newer(
        transparent.make_policy(61, era=1, version=5, domains_out=["a"])
    )
    assert domains_out(policies) == {"a", "b"}
    policies.apply_if_newer(transparent.make_policy(62, era=1, version=5))
    assert domains_out(policies) == {"b"}
    policies.elapse_hold(policy.EVACUATION_HOLD_SECONDS)
    assert not domains_out(policies)


def test_a_second_restoration_holds_an_evacuation_again() -> None:
    """The operators have not had five seconds since then."""
    policies = policy.ActivePolicy()
    policies.apply_if_newer(transparent.make_policy(90, version=5, domains_out=["a"]))
    policies.apply_if_newer(transparent.make_policy(60, era=1, version=5))
    policies.elapse_hold(4.0)
    policies.apply_if_newer(transparent.make_policy(50, era=2, version=5))
    policies.elapse_hold(4.0)
    assert domains_out(policies) == {"a"}


def test_the_upstreams_of_a_released_domain_count_as_cold() -> None:
    """They got no flows while it was out, as after an evacuation that operators end."""
    harness = transparent.ready_sidecar()
    engine = harness.engine
    harness.apply_policy(
        transparent.make_policy(90, version=5, domains_out=[transparent.DOMAIN])
    )
    harness.apply_policy(transparent.make_policy(60, era=1, version=5))
    assert engine.upstream.cold_until <= harness.now
    sidecar.elapse_hold(engine, policy.EVACUATION_HOLD_SECONDS, now=harness.now)
    assert engine.upstream.cold_until > harness.now


def test_held_evacuations_last_while_the_store_does_not_respond() -> None:
    """The operators cannot write either; a pause of the process does not count."""
    held = documents_with(transparent.make_policy(1))
    held.policy_status.is_current = True
    assert documents.elapsed_seconds(held, now=100.0) == 0.0
    assert documents.elapsed_seconds(held, now=100.25) == 0.25
    held.policy_status.is_current = False
    assert documents.elapsed_seconds(held, now=100.5) == 0.0
    coverage.record_notice(
        held.coverage, transparent.address(1), is_current=True, now=100.6
    )
    assert documents.elapsed_seconds(held, now=100.75) == 0.25
    held.policy_status.is_current = True
    paused_seconds = documents.elapsed_seconds(held, now=160.0)
    assert paused_seconds == documents.MAX_HOLD_STEP_SECONDS


def test_a_lost_evacuation_is_in_force_at_every_process() -> None:
    """Processes that read the store and those that pull from relays hold it alike."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    site.evacuate("domain-1")
    site.run_for(CHANGE_SECONDS)
    site.restore_store(seconds_older=CHANGE_SECONDS + 1.0, rewrite_seconds=1e6)
    restored_at = site.now
    while site.now < restored_at + policy.EVACUATION_HOLD_SECONDS - 0.1:
        site.step()
        for node in site.nodes.values():
            assert domains_out(node.policies) == {"domain-1"}
    site.run_for(CHANGE_SECONDS)
    for node in site.nodes.values():
        assert not domains_out(node.policies)


def test_entries_that_the_copy_lacks_stay_listed_for_two_seconds() -> None:
    """A sidecar that registered after the copy is alive and registers again."""
    active = registry.ActiveList()
    active.apply_if_newer(listed(0, 90, "a", "b", "c"))
    active.apply_if_newer(listed(1, 60, "a"))
    assert set(active.entries) == {"a", "b", "c"}
    active.apply_if_newer(listed(1, 61, "a", "b"))
    active.elapse_hold(1.5)
    assert set(active.entries) == {"a", "b", "c"}
    assert active.elapse_hold(0.5)
    assert set(active.entries) == {"a", "b"}
    active.apply_if_newer(listed(1, 62, "a"))
    assert set(active.entries) == {"a"}


def test_an_older_era_of_the_list_is_discarded() -> None:
    """A process that read before the restoration may still offer it."""
    active = registry.ActiveList()
    active.apply_if_newer(listed(1, 10, "a"))
    assert not active.apply_if_newer(listed(0, 90, "a", "b"))
    assert set(active.entries) == {"a"}


def test_a_view_is_incomplete_after_a_restoration() -> None:
    """A sidecar that a balancer never saw may be missing from the copy, too."""
    view = upstreams.View("hall-a")
    entries = {PEER: transparent.listed_sidecar(9)}
    upstreams.apply_registrations(view, entries, 100.0)
    upstreams.apply_registrations(view, entries, 110.0)
    assert view.complete_at == 100.0 + upstreams.LIST_LAG_SECONDS
    upstreams.apply_registrations(view, entries, 110.0, is_restored=True)
    assert view.complete_at == 110.0 + upstreams.LIST_LAG_SECONDS


def test_no_balancer_unlists_a_live_sidecar() -> None:
    """Half of the entries are lost with the copy and return within two seconds."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    site.restore_store(seconds_older=1.0, lost_entries=10)
    for _ in range(round(SETTLE_SECONDS / control_site.STEP_SECONDS)):
        site.step()
        for node in site.balancers:
            for upstream in node.engine.view.upstreams.values():
                assert upstream.registered
                assert upstreams.is_fresh(upstream, now=site.now)


def _covers(held: documents.Documents, notice: messages.Notice) -> bool:
    documents.handle_notice(held, notice, PEER, now=1.0)
    return coverage.is_covered(held.coverage, now=1.0)


def test_a_relay_that_missed_the_change_of_era_covers_nobody() -> None:
    """Its copies look current to itself: its watch is on a connection that failed."""
    relay_documents = documents_with(transparent.make_policy(90, version=5))
    relay_documents.policy_status.is_current = True
    relay_documents.list_status.is_current = True
    notice = documents.make_notice(relay_documents)
    assert notice.is_current
    assert _covers(documents_with(transparent.make_policy(90, version=5)), notice)
    later = documents_with(
        transparent.make_policy(90, version=5),
        transparent.make_policy(60, era=1, version=5),
    )
    assert not _covers(later, notice)


def test_a_relay_that_hears_of_a_later_era_is_not_current() -> None:
    """The report of a sidecar tells it; its own read of the store follows."""
    held = documents_with(transparent.make_policy(90, version=5))
    held.policy_status.is_current = held.list_status.is_current = True
    documents.handle_era(held, 1)
    assert not documents.make_notice(held).is_current
    held.policies.apply_if_newer(transparent.make_policy(60, era=1, version=5))
    notice = documents.make_notice(held)
    assert notice.is_current
    assert notice.era == 1


def test_the_relays_of_a_domain_miss_the_restoration() -> None:
    """They do not reach the store; the other processes of the domain follow it."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    for sidecar_node in site.sidecars:
        is_cut_off = sidecar_node.is_relay() and sidecar_node.domain == "domain-0"
        sidecar_node.reaches_store = not is_cut_off
    site.change_policy()
    site.restore_store(seconds_older=0.0, rewrite_seconds=1.0)
    site.run_for(1.0 + CHANGE_SECONDS)
    for node in site.nodes.values():
        assert node.policies.order == site.stored_policy.order, node.address


def test_a_process_that_was_paused_during_the_change_reads_late() -> None:
    """It holds what was lost, and takes over the later era when it wakes up."""
    site = control_site.Site(30, domains=3)
    site.run_for(SETTLE_SECONDS)
    paused = site.balancers[0]
    site.evacuate("domain-1")
    site.run_for(1.0)
    paused.is_paused = True
    site.restore_store(seconds_older=2.0, lost_entries=5, rewrite_seconds=1e6)
    site.run_for(10.0)
    paused.is_paused = False
    woke_at = site.now
    site.run_for(2.0)
    assert paused.policies.era == 1
    assert domains_out(paused.policies) == {"domain-1"}
    site.run_for(woke_at + policy.EVACUATION_HOLD_SECONDS + CHANGE_SECONDS - site.now)
    assert not domains_out(paused.policies)
    assert paused.policies.order == site.stored_policy.order


def test_a_sidecar_reports_a_new_era_at_once() -> None:
    """The relays of its domain and thereby all others then check the store."""
    harness = transparent.ready_sidecar()
    harness.handle_report_request(_types.Address("10.0.0.1", transparent.MESSAGE_PORT))
    sidecar.tick(harness.engine, now=harness.now)
    harness.engine.policies.era = 3
    sidecar.tick(harness.engine, now=harness.now + 0.02)
    reports = [
        message
        for _, message in harness.port.sent_messages
        if isinstance(message, messages.Report)
    ]
    assert [report.era for report in reports[-2:]] == [0, 3]


def test_messages_of_an_earlier_release_are_understood_and_lead_to_no_pull() -> None:
    """During an update, processes of both releases exchange messages.

    An earlier release states no order, so its documents are not ordered by era.
    """
    notice = documents.make_notice(documents_with(transparent.make_policy(90)))
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(notice))
    earlier = messages.decode(msgspec.msgpack.encode(fields[:6]))
    assert isinstance(earlier, messages.Notice)
    assert (earlier.revision, earlier.order) == (90, policy.NO_ORDER)
    held = documents_with(transparent.make_policy(60))
    assert not _covers(held, earlier)
    assert not held.policy_exchange.update_available.is_set()


def test_an_earlier_release_can_read_the_documents() -> None:
    """It knows the fields of era 0, which keep their types."""
    encoded = messages.encode(transparent.make_policy(90, era=1))
    assert msgspec.msgpack.decode(encoded)["revision"] == 90
    sidecars = msgspec.msgpack.decode(msgspec.msgpack.encode(listed(1, 60, "a")))
    assert sidecars[:2] == [60, {"a": b"a"}]
