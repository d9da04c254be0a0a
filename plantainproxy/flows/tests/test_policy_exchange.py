"""Which policies of other processes are worth a transfer."""

import msgspec

from plantainproxy.flows import journal, messages, policy, policy_exchange
from testbed import transparent

OTHER = transparent.address(9)


def exchange_with(*offered: policy.Policy) -> policy_exchange.Exchange:
    """Return the exchange of a process that has taken some policies."""
    holder = policy.Holder()
    for one in offered:
        holder.offer(one)
    return policy_exchange.Exchange(holder, journal.Journal("test"))


def test_a_later_reading_of_the_same_policy_is_not_transferred() -> None:
    """A restarted process reads the store at a higher revision; nothing has changed."""
    own = exchange_with(transparent.table(5))
    later = msgspec.structs.replace(transparent.table(5), revision=9)
    own.hear(9, policy.digest(later), OTHER)
    assert not own.heard.is_set()
    assert own.holder.revision == 9


def test_another_policy_between_the_two_readings_is_refused() -> None:
    """What was confirmed at a later revision does not go back to an earlier one."""
    own = exchange_with(transparent.table(5))
    own.hear(9, own.holder.digest, OTHER)
    own.hear(7, policy.digest(transparent.table(7, domains_out=["hall-a"])), OTHER)
    assert not own.heard.is_set()


def test_a_changed_policy_is_asked_for() -> None:
    """Anything but the revision may differ."""
    changed = transparent.table(9, domains_out=["hall-a"])
    own = exchange_with(transparent.table(5))
    own.hear(9, policy.digest(changed), OTHER)
    assert own.heard.is_set()
    assert own.newest == (9, OTHER)


def test_a_process_without_a_policy_asks_for_any() -> None:
    """Its digest matches nobody's, also not that of an older version's messages."""
    own = exchange_with()
    own.hear(9, policy.digest(transparent.table(9)), OTHER)
    assert own.heard.is_set()


def test_the_digest_does_not_depend_on_the_order_of_sets_and_mappings() -> None:
    """Each process orders its sets in its own way."""
    names = [f"hall-{number}" for number in range(20)]
    first = transparent.table(1, domains_out=names)
    decoded = messages.decode_policy(
        messages.encode(transparent.table(1, domains_out=reversed(names)))
    )
    assert decoded is not None
    turned = msgspec.structs.replace(
        decoded, routes=dict(reversed(list(decoded.routes.items())))
    )
    assert policy.digest(first) == policy.digest(turned)
