"""Dissemination of records among balancers over a lossy link."""

import dataclasses
import random

import pytest

from plantainproxy import _members, _types
from plantainproxy.core import gossip, membership
from plantainproxy.rpc import codec

REVISIONS = gossip.Revisions(configuration=1, keys=1)
ROUND_SECONDS = 0.25


def balancer(number: int) -> _members.MemberRecord:
    """Return the record of a balancer."""
    return _members.MemberRecord(
        kind=_types.MemberKind.BALANCER,
        rpc=_types.Address("127.0.0.1", 7000 + number),
        domain="d",
        generation=1,
        sequence=1,
    )


def sidecar(number: int, *, sequence: int = 1) -> _members.MemberRecord:
    """Return the record of a sidecar."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address("127.0.0.2", number),
        domain="d",
        generation=1,
        sequence=sequence,
        pool="p",
    )


class Group:
    """Balancers whose gossip calls are lost with a given probability."""

    def __init__(self, count: int, *, seed: int, loss: float = 0.0) -> None:
        """Create balancers that have only each other's addresses."""
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.states = {
            balancer(number).rpc: gossip.State(balancer(number), now=0.0)
            for number in range(count)
        }
        self.contacts = list(self.states)
        self.stopped: set[_types.Address] = set()
        self.sent_records = 0
        self.revisions = dict.fromkeys(self.states, REVISIONS)

    def _apply_revision(self, rpc: _types.Address, revision: int) -> None:
        """Apply a higher revision as if it had been pulled."""
        if revision > self.revisions[rpc].configuration:
            self.revisions[rpc] = gossip.Revisions(configuration=revision, keys=1)

    def _is_message_lost(self, peer: _types.Address) -> bool:
        return peer in self.stopped or self.rng.random() < self.loss

    def exchange(self, state: gossip.State, planned_call: gossip.PlannedCall) -> None:
        """Execute one planned call; requests and replies may be lost."""
        revisions = self.revisions[state.local_record.rpc]
        message = gossip.build_request(state, planned_call, revisions=revisions)
        for _ in range(2):
            self.sent_records += len(message.records)
            if self._is_message_lost(planned_call.peer):
                gossip.record_failure(
                    state, planned_call.peer, now=self.now, is_connected=True
                )
                return
            reply, _ = gossip.handle_request(
                self.states[planned_call.peer],
                message,
                revisions=self.revisions[planned_call.peer],
                now=self.now,
                rng=self.rng,
            )
            self._apply_revision(planned_call.peer, message.configuration_revision)
            if self._is_message_lost(planned_call.peer):
                gossip.record_failure(
                    state, planned_call.peer, now=self.now, is_connected=True
                )
                return
            self._apply_revision(state.local_record.rpc, reply.configuration_revision)
            following, _ = gossip.handle_reply(
                state, planned_call.peer, reply, revisions=revisions, now=self.now
            )
            if following is None:
                return
            message = following

    def run(self, seconds: float) -> None:
        """Run gossip rounds for a period of simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND_SECONDS
            for rpc, state in self.states.items():
                if rpc in self.stopped:
                    continue
                for planned_call in gossip.plan_round(
                    state,
                    now=self.now,
                    rng=self.rng,
                    contacts=self.contacts,
                    revisions=self.revisions[rpc],
                ):
                    self.exchange(state, planned_call)
                gossip.evict_expired(state, now=self.now)

    def live(self) -> list[gossip.State]:
        """Return the states of the running balancers."""
        return [state for rpc, state in self.states.items() if rpc not in self.stopped]

    def tables(self) -> list[dict[str, _members.MemberRecord]]:
        """Return the live records in the table of each running balancer."""
        return [
            {
                key: record
                for key, record in state.table.records.items()
                if not membership.has_ended(record)
            }
            for state in self.live()
        ]


@pytest.mark.parametrize("seed", range(4))
def test_digest_exchange_repairs_lost_messages(seed: int) -> None:
    """With half of all messages lost, every balancer receives every record."""
    group = Group(6, seed=seed, loss=0.5)
    group.run(10)
    states = group.live()
    for number in range(300):
        gossip.merge_records(states[number % 6], (sidecar(number),), now=group.now)
    group.run(60)
    tables = group.tables()
    expected = {sidecar(number).key for number in range(300)}
    assert all(expected <= set(table) for table in tables)


def test_digest_exchange_alone_spreads_records() -> None:
    """Records that are not queued as changes are spread by digest exchanges."""
    group = Group(4, seed=1)
    group.run(5)
    first = group.live()[0]
    gossip.merge_records(
        first, [sidecar(number) for number in range(500)], now=group.now
    )
    first.pending_sends.clear()
    group.run(20)
    assert all(len(table) == 504 for table in group.tables())


def test_a_change_is_sent_a_bounded_number_of_times() -> None:
    """After a change has reached all balancers, no more records are sent."""
    group = Group(16, seed=3)
    group.run(10)
    group.sent_records = 0
    gossip.merge_records(group.live()[0], (sidecar(1),), now=group.now)
    group.run(20)
    assert all(sidecar(1).key in table for table in group.tables())
    assert 15 <= group.sent_records <= 16 * gossip.sends_per_change(16)
    group.sent_records = 0
    group.run(5)
    assert group.sent_records == 0


def test_a_new_revision_reaches_every_balancer_in_few_rounds() -> None:
    """A new revision causes calls even if no record changes."""
    group = Group(64, seed=8)
    group.run(30)
    newer = gossip.Revisions(configuration=2, keys=1)
    group.revisions[group.contacts[0]] = newer
    group.run(16 * ROUND_SECONDS)
    assert set(group.revisions.values()) == {newer}


def test_a_stopped_balancer_is_marked_lost_by_all() -> None:
    """Repeated failures mark a peer lost, and all balancers receive the mark."""
    group = Group(5, seed=2)
    group.run(5)
    stopped_peer = group.contacts[4]
    group.stopped.add(stopped_peer)
    group.run(15)
    assert all(stopped_peer not in state.peers for state in group.live())


def test_a_balancer_marked_lost_refutes_and_returns() -> None:
    """A live balancer that was marked lost becomes a peer of all again."""
    group = Group(4, seed=4)
    group.run(5)
    states = group.live()
    mark = dataclasses.replace(states[1].local_record, lost=True)
    gossip.merge_records(states[0], (mark,), now=group.now)
    group.run(10)
    assert states[1].local_record.sequence == 2
    assert all(len(state.peers) == 3 for state in states)


def test_a_disconnected_balancer_marks_no_peer_lost() -> None:
    """If calls to most peers fail, the observer itself is assumed to be cut off."""
    group = Group(6, seed=6)
    group.run(5)
    observer = group.live()[0]
    for _ in range(5):
        group.now += 0.5
        for peer in group.contacts[1:]:
            assert (
                gossip.record_failure(observer, peer, now=group.now, is_connected=False)
                is None
            )
    assert gossip.is_majority_silent(observer, now=group.now)
    assert gossip.is_isolated(observer, now=group.now + gossip.ISOLATED_AFTER_SECONDS)


def test_partitioned_groups_merge_through_their_contacts() -> None:
    """Two groups that marked each other lost reconnect through contact addresses."""
    group = Group(6, seed=7)
    group.run(5)
    states = list(group.states.values())
    for observer in states[:3]:
        marks = [
            dataclasses.replace(state.local_record, lost=True) for state in states[3:]
        ]
        gossip.merge_records(observer, marks, now=group.now)
    group.run(30)
    assert all(len(state.peers) == 5 for state in states)


def test_budgets_bound_the_bytes_per_second() -> None:
    """Under constant changes a balancer sends no more than its budget allows."""
    state = gossip.State(balancer(0), now=0.0)
    gossip.merge_records(state, [balancer(number) for number in range(1, 9)], now=0.0)
    rng = random.Random(1)
    sent = 0
    seconds = 300
    for tick in range(int(seconds / ROUND_SECONDS)):
        now = tick * ROUND_SECONDS
        changed = [sidecar(number, sequence=tick + 2) for number in range(50)]
        gossip.merge_records(state, changed, now=now)
        for planned_call in gossip.plan_round(
            state, now=now, rng=rng, contacts=(), revisions=REVISIONS
        ):
            sent += sum(map(gossip.record_bytes, planned_call.records))
    allowed = gossip.CHANGE_BURST_BYTES + seconds * gossip.CHANGE_BYTES_PER_SECOND
    assert allowed * 0.9 <= sent <= allowed


def test_the_size_estimate_is_not_below_the_encoded_size() -> None:
    """The estimate is an upper bound of the encoded size."""
    record = dataclasses.replace(
        sidecar(65535, sequence=70_000),
        rpc=_types.Address("255.255.255.255", 65535),
        tunnel=_types.Address("255.255.255.255", 65535),
        generation=1_790_000_000_000,
        weight=0.3,
        state=_types.MemberState.DRAINING,
    )
    assert len(codec.encode(record)) <= gossip.record_bytes(record)
