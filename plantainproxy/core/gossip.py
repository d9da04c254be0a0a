"""Gossip among balancers: dissemination of records, and suspicion of failed peers.

Each change is sent a bounded number of times to random peers. Periodic digest
exchanges with one random peer repair what those messages missed. Token buckets with
a fixed refill rate bound the bytes that are sent.
"""

from collections import abc
import dataclasses
import math
import random

from plantainproxy import _members, _types
from plantainproxy.core import membership
from plantainproxy.rpc import messages

BASE_SENDS = 3
"""Sends of one change, in addition to the logarithm of the balancer count."""
CHANGE_FANOUT = 1
"""Number of peers that receive changed records in one round."""
REVISION_FANOUT = 2
"""Number of peers that receive new revisions in one round."""
DIGEST_INTERVAL_SECONDS = 1.0
"""Time between digest exchanges."""
NON_PEER_CALL_INTERVAL_SECONDS = 5.0
"""Time between calls to addresses that belong to no live balancer."""
PROBE_INTERVAL_SECONDS = 0.5
"""Time between calls to a suspected peer."""
LOST_AFTER_FAILURES = 3
"""Minimum consecutive failed calls to a peer before it is marked lost."""
LOST_AFTER_SECONDS = 1.0
"""Minimum time from the first of the failed calls to the lost mark."""
OUTCOME_WINDOW_SECONDS = 5.0
"""How long the outcome of a call counts for ``is_majority_silent``."""
ISOLATED_AFTER_SECONDS = 3.0
"""Time without a message from any peer after which a balancer is isolated."""
CHANGE_BYTES_PER_SECOND = 2_048.0
CHANGE_BURST_BYTES = 524_288.0
REPAIR_BYTES_PER_SECOND = 1_024.0
REPAIR_BURST_BYTES = 524_288.0
CHANGE_MESSAGE_BYTES = 16_384.0
"""Maximum bytes of changed records in one message."""
REPAIR_MESSAGE_BYTES = 65_536.0
"""Maximum bytes of records in one message that repairs differences."""
MAX_SUMMARY_BYTES = 16_384
"""Approximate maximum of summary bytes in one reply."""
RECORD_BASE_BYTES = 88
"""Upper bound of the encoded size of a record without its names."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Token bucket that limits the bytes sent."""

    bytes_per_second: float
    burst_bytes: float
    message_bytes: float
    level_bytes: float
    refilled_at: float


def _refill(budget: Budget, now: float) -> None:
    gained = max(0.0, now - budget.refilled_at) * budget.bytes_per_second
    budget.level_bytes = min(budget.burst_bytes, budget.level_bytes + gained)
    budget.refilled_at = now


def record_bytes(record: _members.MemberRecord) -> int:
    """Return an upper estimate of the encoded size of a record."""
    return RECORD_BASE_BYTES + len(record.domain) + len(record.pool)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Revisions:
    """Configuration and key revisions that every message carries."""

    configuration: int
    keys: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """Consecutive failed calls to one peer."""

    failures: int = 0
    since: float
    probe_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Result of the last call to a peer."""

    at: float
    failed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedCall:
    """One gossip call of a round."""

    peer: _types.Address
    records: tuple[_members.MemberRecord, ...]
    has_digests: bool


class State:
    """Gossip state of one balancer: its table, queued changes and call results."""

    def __init__(self, local_record: _members.MemberRecord, *, now: float) -> None:
        """Create a state that contains only the local record."""
        self.local_record = local_record
        self.table = membership.Table()
        self.pending_sends: dict[str, int] = {}
        """Remaining sends of each changed record, in the order of sending."""
        self.changes = Budget(
            bytes_per_second=CHANGE_BYTES_PER_SECOND,
            burst_bytes=CHANGE_BURST_BYTES,
            message_bytes=CHANGE_MESSAGE_BYTES,
            level_bytes=CHANGE_BURST_BYTES,
            refilled_at=now,
        )
        self.repairs = Budget(
            bytes_per_second=REPAIR_BYTES_PER_SECOND,
            burst_bytes=REPAIR_BURST_BYTES,
            message_bytes=REPAIR_MESSAGE_BYTES,
            level_bytes=REPAIR_BURST_BYTES,
            refilled_at=now,
        )
        self.revisions = Revisions(configuration=0, keys=0)
        """Revisions at the last round."""
        self.pending_revision_calls = 0
        """Remaining calls that announce new revisions."""
        self.next_digest_at = now
        """When the next digest exchange is due."""
        self.next_non_peer_call_at = now
        self.suspicions: dict[_types.Address, Suspicion] = {}
        self.outcomes: dict[_types.Address, Outcome] = {}
        self.last_message_at = now
        """When a message from a peer was last received; initially the start time."""
        self.peers: tuple[_types.Address, ...] = ()
        """Addresses of the live balancers except this one."""
        self.peers_version = -1
        merge_records(self, (local_record,), now=now)


def sends_per_change(balancer_count: int) -> int:
    """Return how many times one balancer sends one change."""
    return BASE_SENDS + math.ceil(math.log2(balancer_count + 1))


def _refresh_peers(state: State) -> None:
    if state.peers_version == state.table.balancers_version:
        return
    state.peers_version = state.table.balancers_version
    balancers = membership.live_balancers(state.table)
    state.peers = tuple(
        sorted(
            record.rpc for record in balancers if record.key != state.local_record.key
        )
    )


def merge_records(
    state: State, records: abc.Iterable[_members.MemberRecord], *, now: float
) -> membership.MergeResult:
    """Merge records, refute those that supersede the local one, and queue changes."""
    merged = membership.merge(state.table, records, now=now)
    changed = list(merged.changed)
    for record in merged.changed:
        refutation = membership.refute(state.local_record, record)
        if refutation is not None:
            state.local_record = refutation
            changed += membership.merge(state.table, (refutation,), now=now).changed
    _refresh_peers(state)
    sends = sends_per_change(len(state.peers) + 1)
    for record in changed:
        state.pending_sends.pop(record.key, None)
        state.pending_sends[record.key] = sends
    return dataclasses.replace(merged, changed=tuple(changed))


def replace_local_record(
    state: State, local_record: _members.MemberRecord, *, now: float
) -> None:
    """Replace the local record by a newer one and queue it for sending."""
    state.local_record = local_record
    merge_records(state, (local_record,), now=now)


# --- Rounds -----------------------------------------------------------------------


def _take_within_budget(
    records: abc.Iterable[_members.MemberRecord], budget: Budget, now: float
) -> tuple[_members.MemberRecord, ...]:
    """Return the leading records that fit one message and the budget; charge them."""
    _refill(budget, now)
    remaining_bytes = min(budget.message_bytes, budget.level_bytes)
    selected = []
    for record in records:
        remaining_bytes -= record_bytes(record)
        if remaining_bytes < 0:
            break
        selected.append(record)
        budget.level_bytes -= record_bytes(record)
    return tuple(selected)


def _next_changes(state: State, now: float) -> tuple[_members.MemberRecord, ...]:
    """Return the next changes; requeue those with remaining sends at the end."""
    table = state.table
    queued = (table.records[key] for key in state.pending_sends if key in table.records)
    batch = _take_within_budget(queued, state.changes, now)
    for record in batch:
        remaining = state.pending_sends.pop(record.key) - 1
        if remaining > 0:
            state.pending_sends[record.key] = remaining
    return batch


def _non_peer_addresses(
    state: State, contacts: abc.Collection[_types.Address]
) -> list[_types.Address]:
    """Return possible balancer addresses that belong to no live balancer."""
    lost = {record.rpc for record in state.table.balancers.values() if record.lost}
    excluded = {state.local_record.rpc, *state.peers}
    return sorted((lost | set(contacts)) - excluded)


def plan_round(
    state: State,
    *,
    now: float,
    rng: random.Random,
    contacts: abc.Collection[_types.Address],
    revisions: Revisions,
) -> tuple[PlannedCall, ...]:
    """Return the calls of one round.

    ``contacts`` are addresses from the settings and the store. They are called while
    there are no peers and periodically afterwards, so that partitioned groups merge.
    """
    digest_peers = _digest_peers(state, now, rng, contacts)
    change_peers = _change_peers(state, rng, revisions)
    return tuple(
        PlannedCall(
            peer=peer,
            records=_next_changes(state, now),
            has_digests=peer in digest_peers,
        )
        for peer in dict.fromkeys([*digest_peers, *change_peers])
    )


def _digest_peers(
    state: State,
    now: float,
    rng: random.Random,
    contacts: abc.Collection[_types.Address],
) -> list[_types.Address]:
    """Select the peers for digest exchanges in this round."""
    digest_peers: list[_types.Address] = []
    if now >= state.next_digest_at and state.peers:
        state.next_digest_at = now + DIGEST_INTERVAL_SECONDS
        digest_peers.append(rng.choice(state.peers))
    if now >= state.next_non_peer_call_at or not state.peers:
        state.next_non_peer_call_at = now + NON_PEER_CALL_INTERVAL_SECONDS
        non_peers = _non_peer_addresses(state, contacts)
        digest_peers += rng.sample(non_peers, min(1, len(non_peers)))
    for peer, suspicion in state.suspicions.items():
        if now >= suspicion.probe_at and peer in state.peers:
            suspicion.probe_at = now + PROBE_INTERVAL_SECONDS
            digest_peers.append(peer)
    return digest_peers


def _change_peers(
    state: State, rng: random.Random, revisions: Revisions
) -> list[_types.Address]:
    """Select the peers that receive changed records and new revisions in this round."""
    if revisions != state.revisions:
        state.revisions = revisions
        state.pending_revision_calls = sends_per_change(len(state.peers) + 1)
    fanout = CHANGE_FANOUT if state.pending_sends else 0
    if state.pending_revision_calls:
        fanout = REVISION_FANOUT
        state.pending_revision_calls = max(0, state.pending_revision_calls - fanout)
    return rng.sample(state.peers, min(fanout, len(state.peers)))


def build_request(
    state: State, call: PlannedCall, *, revisions: Revisions
) -> messages.GossipRequest:
    """Build the request of one planned call."""
    return messages.GossipRequest(
        sender=state.local_record,
        configuration_revision=revisions.configuration,
        key_revision=revisions.keys,
        records=call.records,
        digests=membership.pack_digests(state.table) if call.has_digests else b"",
    )


# --- Exchange ---------------------------------------------------------------------


def _fit_summary_limit(
    table: membership.Table, buckets: abc.Iterable[int]
) -> tuple[int, ...]:
    """Return the leading buckets whose summaries one reply may contain."""
    remaining_bytes = MAX_SUMMARY_BYTES
    chosen = []
    for bucket in buckets:
        if remaining_bytes <= 0:
            break
        chosen.append(bucket)
        remaining_bytes -= len(table.buckets[bucket]) * membership.SUMMARY_BYTES
    return tuple(chosen)


def _rotate(buckets: tuple[int, ...], start: int) -> tuple[int, ...]:
    later = tuple(bucket for bucket in buckets if bucket >= start)
    return later + buckets[: len(buckets) - len(later)]


def handle_request(
    state: State,
    received: messages.GossipRequest,
    *,
    revisions: Revisions,
    now: float,
    rng: random.Random,
) -> tuple[messages.GossipReply, membership.MergeResult]:
    """Merge the records of a peer's request and build the reply."""
    merged = merge_records(state, (received.sender, *received.records), now=now)
    state.last_message_at = now
    table = state.table
    differing = membership.differing_buckets(table, received.digests)
    differing = _rotate(differing, rng.randrange(membership.BUCKET_COUNT))
    empty_at_peer = [
        bucket
        for bucket in differing
        if membership.is_empty_digest(received.digests, bucket)
    ]
    summarized_buckets = _fit_summary_limit(
        table, (bucket for bucket in differing if bucket not in empty_at_peer)
    )
    repairs = [
        *merged.newer,
        *membership.wanted_records(table, received.wanted),
        *membership.bucket_records(table, empty_at_peer),
    ]
    reply = messages.GossipReply(
        sender=state.local_record,
        configuration_revision=revisions.configuration,
        key_revision=revisions.keys,
        records=_take_within_budget(dict.fromkeys(repairs), state.repairs, now),
        buckets=bytes(summarized_buckets),
        summaries=membership.pack_summaries(table, summarized_buckets),
    )
    return reply, merged


def handle_reply(
    state: State,
    peer: _types.Address,
    reply: messages.GossipReply,
    *,
    revisions: Revisions,
    now: float,
) -> tuple[messages.GossipRequest | None, membership.MergeResult]:
    """Merge a reply; return the request that repairs the differences, if any."""
    merged = merge_records(state, (reply.sender, *reply.records), now=now)
    state.last_message_at = now
    state.suspicions.pop(peer, None)
    state.outcomes[peer] = Outcome(at=now, failed=False)
    difference = membership.compare_summaries(
        state.table, reply.buckets, reply.summaries
    )
    repairs = dict.fromkeys((*merged.newer, *difference.local_records))
    records = _take_within_budget(repairs, state.repairs, now)
    if reply.records or difference.wanted_hashes:
        state.next_digest_at = now
    if not records and not difference.wanted_hashes:
        return None, merged
    message = messages.GossipRequest(
        sender=state.local_record,
        configuration_revision=revisions.configuration,
        key_revision=revisions.keys,
        records=records,
        wanted=difference.wanted_hashes,
    )
    return message, merged


# --- Failures ---------------------------------------------------------------------


def is_majority_silent(state: State, *, now: float) -> bool:
    """Whether calls to most peers failed recently; this process may be cut off."""
    recent = [
        outcome
        for outcome in state.outcomes.values()
        if now - outcome.at <= OUTCOME_WINDOW_SECONDS
    ]
    failed = sum(outcome.failed for outcome in recent)
    return failed >= membership.MAJORITY_SILENT_MINIMUM and failed * 2 > len(recent)


def record_failure(
    state: State, peer: _types.Address, *, now: float, is_connected: bool
) -> membership.MergeResult | None:
    """Record a failed call; return the merge result if the peer is marked lost."""
    if peer not in state.peers:
        return None
    state.outcomes[peer] = Outcome(at=now, failed=True)
    suspicion = state.suspicions.setdefault(
        peer, Suspicion(since=now, probe_at=now + PROBE_INTERVAL_SECONDS)
    )
    suspicion.failures += 1
    suspicion.probe_at = now + PROBE_INTERVAL_SECONDS
    suspected_seconds = now - suspicion.since
    if (
        suspicion.failures < LOST_AFTER_FAILURES
        or suspected_seconds < LOST_AFTER_SECONDS
    ):
        return None
    defers_lost_mark = (
        suspected_seconds < membership.MAJORITY_SILENT_LIMIT_SECONDS or not is_connected
    )
    if is_majority_silent(state, now=now) and defers_lost_mark:
        return None
    del state.suspicions[peer]
    key = dataclasses.replace(state.local_record, rpc=peer).key
    lost = dataclasses.replace(state.table.records[key], lost=True)
    return merge_records(state, (lost,), now=now)


def is_isolated(state: State, *, now: float) -> bool:
    """Whether there are peers but none sent a message recently."""
    return bool(state.peers) and now - state.last_message_at > ISOLATED_AFTER_SECONDS


def evict_expired(state: State, *, now: float) -> tuple[_members.MemberRecord, ...]:
    """Evict expired records, call outcomes, and suspicions of former peers."""
    evicted = membership.evict_expired_records(state.table, now=now)
    for record in evicted:
        state.pending_sends.pop(record.key, None)
    expired = [
        peer
        for peer, outcome in state.outcomes.items()
        if now - outcome.at > OUTCOME_WINDOW_SECONDS
    ]
    for peer in expired:
        del state.outcomes[peer]
    for peer in [peer for peer in state.suspicions if peer not in state.peers]:
        del state.suspicions[peer]
    return evicted
