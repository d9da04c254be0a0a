"""A sidecar's selection of homes and handling of replies."""

import dataclasses

import pytest

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import heartbeat
from plantainproxy.rpc import messages

RECORD = _members.MemberRecord(
    kind=_types.MemberKind.SIDECAR,
    rpc=_types.Address("127.0.0.1", 1),
    domain="d",
    generation=5,
    sequence=1,
    pool="p",
)
SEEDS = tuple(_types.Address("127.0.0.1", 7000 + number) for number in range(2))
BALANCERS = tuple(_types.Address("127.0.0.1", 8000 + number) for number in range(8))


def view(revision: int) -> model.PoolView:
    """Return a pool view."""
    return model.PoolView(
        revision=revision,
        pool=None,
        services=(),
        domain_number=1,
        domain_in=True,
        drained=False,
    )


def reply(**fields: object) -> messages.HeartbeatReply:
    """Return a reply that confirms the announced record."""
    default_reply = messages.HeartbeatReply(stored_record=RECORD)
    return dataclasses.replace(default_reply, **fields)  # type: ignore[arg-type]


def state_with_balancers() -> heartbeat.State:
    """Return the state of a sidecar that received eight balancers from a seed."""
    state = heartbeat.State(RECORD, SEEDS)
    update = reply(siblings=(RECORD,), siblings_digest=9, balancers=BALANCERS)
    heartbeat.handle_reply(state, SEEDS[0], update, now=0)
    return state


def planned_calls(state: heartbeat.State, now: float) -> dict[_types.Address, bool]:
    """Return the called balancers, and whether each heartbeat is final."""
    return {
        planned.home: planned.is_final
        for planned in heartbeat.plan_heartbeats(state, now=now)
    }


def test_the_seeds_are_called_until_one_returns_balancers() -> None:
    """After the first reply with balancers, three homes replace the seeds."""
    state = heartbeat.State(RECORD, SEEDS)
    assert planned_calls(state, 0) == dict.fromkeys(SEEDS, False)
    update = reply(siblings=(), siblings_digest=9, balancers=BALANCERS)
    heartbeat.handle_reply(state, SEEDS[0], update, now=0)
    homes = planned_calls(state, 0.5)
    assert {home for home, is_final in homes.items() if is_final} == set(SEEDS)
    assert len(set(homes) & set(BALANCERS)) == heartbeat.HOME_COUNT
    assert set(planned_calls(state, 1)) == set(homes) & set(BALANCERS)


def test_a_failed_home_is_excluded_temporarily() -> None:
    """Another balancer replaces it until the backoff has passed."""
    state = state_with_balancers()
    homes = set(planned_calls(state, 1))
    failed_home = min(homes)
    heartbeat.record_failure(state, failed_home, now=1)
    replaced = planned_calls(state, 2)
    assert failed_home not in replaced
    assert len(replaced) == heartbeat.HOME_COUNT
    assert failed_home in planned_calls(
        state, 1 + heartbeat.FAILED_HOME_BACKOFF_SECONDS
    )


def test_seeds_and_balancers_are_called_when_all_homes_fail() -> None:
    """The snapshot is retained while seeds and balancers are called."""
    state = state_with_balancers()
    before = state.snapshot
    for balancer in BALANCERS:
        heartbeat.record_failure(state, balancer, now=5)
    assert set(planned_calls(state, 6)) == {*SEEDS, *BALANCERS}
    assert state.snapshot == before
    assert not heartbeat.is_connected(state, now=6)


@pytest.mark.parametrize(
    ("revisions", "expected"), [([3, 2], 3), ([3, 4], 4), ([3, 3], 3)]
)
def test_revisions_only_rise(revisions: list[int], expected: int) -> None:
    """An older view or key set never replaces a newer one."""
    state = heartbeat.State(RECORD, SEEDS)
    for revision in revisions:
        keys = model.KeySet(revision=revision, current=0, keys=())
        update = reply(view=view(revision), key_set=keys)
        heartbeat.handle_reply(state, SEEDS[0], update, now=0)
    snapshot = state.snapshot
    assert snapshot.view is not None
    assert snapshot.key_set is not None
    assert (snapshot.view.revision, snapshot.key_set.revision) == (expected, expected)
    planned = heartbeat.plan_heartbeats(state, now=0)[0]
    request = heartbeat.build_request(state, planned, interval_seconds=1)
    assert (request.configuration_revision, request.key_revision) == (
        expected,
        expected,
    )


def test_a_lost_mark_is_refuted_once() -> None:
    """The same mark from several homes raises the sequence once."""
    state = heartbeat.State(RECORD, SEEDS)
    mark = reply(stored_record=dataclasses.replace(RECORD, lost=True))
    assert heartbeat.handle_reply(state, SEEDS[0], mark, now=0)
    assert not heartbeat.handle_reply(state, SEEDS[1], mark, now=0)
    assert state.snapshot.record == dataclasses.replace(RECORD, sequence=2)


def test_only_a_real_change_raises_the_sequence() -> None:
    """Announcing the same state again leaves the sequence unchanged."""
    state = heartbeat.State(RECORD, SEEDS)
    heartbeat.update_record(state, member_state=_types.MemberState.SERVING, weight=1.0)
    assert state.snapshot.record.sequence == 1
    heartbeat.update_record(state, weight=0.5)
    heartbeat.update_record(state, member_state=_types.MemberState.DRAINING)
    assert state.snapshot.record.sequence == 3
    assert state.snapshot.record.weight == 0.5


def test_the_longest_interval_of_the_homes_is_used() -> None:
    """Current homes may lengthen the interval; the request of a former home may not."""
    state = state_with_balancers()
    homes = list(planned_calls(state, 1))[: heartbeat.HOME_COUNT]
    assert heartbeat.heartbeat_interval(state, default_seconds=0.5) == 0.5
    heartbeat.handle_reply(state, homes[0], reply(interval_milliseconds=2_000), now=1)
    heartbeat.handle_reply(state, SEEDS[1], reply(interval_milliseconds=4_000), now=1)
    assert heartbeat.heartbeat_interval(state, default_seconds=0.5) == 2.0
    heartbeat.handle_reply(state, homes[0], reply(interval_milliseconds=100), now=2)
    assert heartbeat.heartbeat_interval(state, default_seconds=0.5) == 0.5


def test_a_reply_without_siblings_leaves_them_unchanged() -> None:
    """Absent siblings mean no change since the last reply, not an empty pool."""
    state = state_with_balancers()
    heartbeat.handle_reply(state, BALANCERS[0], reply(), now=1)
    assert state.snapshot.siblings == (RECORD,)
    assert state.balancers == BALANCERS
