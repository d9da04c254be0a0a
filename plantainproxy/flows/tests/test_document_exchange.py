"""Tests of when a process pulls a policy that another process advertises."""

import msgspec

from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import coverage, document_exchange, documents
from testbed import transparent

PEER = transparent.address(9)


def exchange_with(
    *applied: policy.Policy,
) -> document_exchange.Exchange[policy.Order]:
    """Return the exchange of a process that has applied the given policies."""
    active_policy = policy.ActivePolicy()
    for applied_policy in applied:
        active_policy.apply_if_newer(applied_policy)
    return document_exchange.Exchange(active_policy, event_log.EventLog("test"))


def test_a_later_reading_of_the_same_policy_is_not_transferred() -> None:
    """A restarted process reads the unchanged policy at a higher store revision."""
    exchange = exchange_with(transparent.make_policy(5))
    later = transparent.make_policy(9, version=5)
    exchange.handle_order(later.order, policy.digest(later), PEER)
    assert not exchange.update_available.is_set()
    assert exchange.document.order == later.order


def test_another_policy_between_the_two_readings_is_refused() -> None:
    """A policy that is current at revision 9 is not replaced by one of revision 7."""
    exchange = exchange_with(transparent.make_policy(5))
    later = transparent.make_policy(9, version=5)
    exchange.handle_order(later.order, exchange.document.digest, PEER)
    earlier = transparent.make_policy(7, version=5, domains_out=["hall-a"])
    exchange.handle_order(earlier.order, policy.digest(earlier), PEER)
    assert not exchange.update_available.is_set()


def test_a_changed_policy_is_asked_for() -> None:
    """A higher revision with a different digest starts a pull from its sender."""
    changed = transparent.make_policy(9, domains_out=["hall-a"])
    exchange = exchange_with(transparent.make_policy(5))
    exchange.handle_order(changed.order, policy.digest(changed), PEER)
    assert exchange.update_available.is_set()
    assert exchange.newest == (changed.order, PEER)


def _is_covered_by(notice: messages.Notice) -> bool:
    """Return whether a notice covers a process that holds a policy of revision 5."""
    active_policy = policy.ActivePolicy()
    active_policy.apply_if_newer(transparent.make_policy(5))
    held = documents.Documents(active_policy, log=event_log.EventLog("test"))
    documents.handle_notice(held, notice, PEER, now=1.0)
    return coverage.is_covered(held.coverage, now=1.0)


def test_only_a_relay_that_is_up_to_date_covers_a_process() -> None:
    """A relay that was paused may still state that its old copies are current."""
    newer, older = (
        messages.Notice(
            revision=revision,
            order=transparent.make_order(revision),
            digest=policy.digest(transparent.make_policy(revision)),
            list_revision=1,
            list_digest=1,
            is_current=True,
        )
        for revision in (9, 4)
    )
    assert _is_covered_by(newer)
    assert not _is_covered_by(older)
    same_content = policy.digest(transparent.make_policy(5))
    assert _is_covered_by(msgspec.structs.replace(older, digest=same_content))
    assert not _is_covered_by(msgspec.structs.replace(newer, is_current=False))


def test_a_relay_of_the_domain_is_asked_before_others() -> None:
    """A transfer from another domain costs more, even if it starts earlier."""
    order = transparent.make_order(9)
    changed = policy.digest(transparent.make_policy(9, domains_out=["hall-a"]))
    exchange = exchange_with(transparent.make_policy(5))
    exchange.handle_order(order, changed, PEER)
    assert not exchange.relay_has_update.is_set()
    relay = transparent.address(8)
    exchange.handle_order(order, changed, relay, is_relay=True)
    exchange.handle_order(order, changed, PEER)
    assert exchange.relay_has_update.is_set()
    assert exchange.newest == (order, relay)


def test_a_process_without_a_policy_asks_for_any() -> None:
    """The digest of a process without a policy differs from that of every policy."""
    exchange = exchange_with()
    offered = transparent.make_policy(9)
    exchange.handle_order(offered.order, policy.digest(offered), PEER)
    assert exchange.update_available.is_set()


def test_the_digest_does_not_depend_on_the_order_of_sets_and_mappings() -> None:
    """Processes may iterate over equal sets and mappings in different orders."""
    names = [f"hall-{number}" for number in range(20)]
    first = transparent.make_policy(1, domains_out=names)
    decoded = messages.decode_policy(
        messages.encode(transparent.make_policy(1, domains_out=reversed(names)))
    )
    assert decoded is not None
    reordered = msgspec.structs.replace(
        decoded, routes=dict(reversed(list(decoded.routes.items())))
    )
    assert policy.digest(first) == policy.digest(reordered)
