"""The tasks and RPC handlers that maintain a balancer's membership table.

They answer heartbeats, exchange gossip with the other balancers, fetch newer documents
from them, and report each pool whose members changed.
"""

from collections import abc
import dataclasses
import logging
import random
import typing

import trio

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import delta, gossip, heartbeat, homes, membership
from plantainproxy.rpc import bridge, messages, methods

CALL_TIMEOUT_SECONDS = 1.0
PULL_TIMEOUT_SECONDS = 3.0
LEAVE_TIMEOUT_SECONDS = 1.0
"""How long a leaving balancer waits for replies of its peers."""
LEAVE_MAX_PEERS = 8
"""Maximum number of peers that a leaving balancer notifies directly."""
MONITOR_CHECK_RECORDS = 32
"""Number of records per interval that are checked for unmonitored members."""
CHANGES_BUFFER = 16
"""Changes that the channel buffers; further ones are combined by pool."""
PULLS_BUFFER = 4

_log = logging.getLogger("plantain.members")


class Documents(typing.Protocol):
    """The active configuration and key set of the process."""

    def configuration(self) -> model.Configuration | None:
        """Return the active configuration, or ``None`` if none was received."""

    def key_set(self) -> model.KeySet | None:
        """Return the active key set, or ``None`` if none was received."""

    async def apply_configuration(self, configuration: model.Configuration) -> None:
        """Activate a configuration if it is newer."""

    async def apply_key_set(self, key_set: model.KeySet) -> None:
        """Activate a key set if it is newer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembersChanged:
    """The records of one pool after a change."""

    pool: str
    records: tuple[_members.MemberRecord, ...]
    """All records of the pool, including those of members that ended recently."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LivePool:
    """The live members of one pool, with their rendezvous hash candidates."""

    version: int
    records: dict[_types.Address, _members.MemberRecord]
    candidates: homes.Candidates


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Siblings:
    """Cached siblings and balancers for one sidecar, valid for these versions."""

    versions: tuple[int, int]
    records: tuple[_members.MemberRecord, ...]
    balancers: tuple[_types.Address, ...]
    digest: int


class MemberTable:
    """Membership table of one balancer and the shared state of its tasks."""

    def __init__(
        self,
        local_record: _members.MemberRecord,
        *,
        client: bridge.Client,
        documents: Documents,
        seeds: abc.Iterable[_types.Address],
        gossip_interval_seconds: float,
        heartbeat_interval_seconds: float,
        rng: random.Random,
    ) -> None:
        """Create a table that contains only the local record."""
        self.state = gossip.State(local_record, now=trio.current_time())
        self.failure_detector = membership.FailureDetector(
            interval_seconds=heartbeat_interval_seconds
        )
        self.client = client
        self.documents = documents
        self.contacts = frozenset(seeds)
        self.gossip_interval_seconds = gossip_interval_seconds
        self.rng = rng
        self.changed_pools: dict[str, None] = {}
        self.has_changes = trio.Event()
        self.send_changes, self.changes = trio.open_memory_channel[MembersChanged](
            CHANGES_BUFFER
        )
        self.send_pulls, self.pulls = trio.open_memory_channel[_types.Address](
            PULLS_BUFFER
        )
        self.candidates = homes.candidates(())
        self.candidates_version = -1
        self.live_pools: dict[str, _LivePool] = {}
        self.siblings: dict[str, _Siblings] = {}
        self.unchecked_keys: list[str] = []
        self.history = delta.History()


def add_contacts(members: MemberTable, addresses: abc.Iterable[_types.Address]) -> None:
    """Add addresses of possible balancers, such as those of seat holders."""
    members.contacts |= frozenset(addresses)


def set_state(members: MemberTable, member_state: _types.MemberState) -> None:
    """Set and announce the state of this balancer."""
    local_record = members.state.local_record
    if local_record.state is member_state:
        return
    local_record = dataclasses.replace(
        local_record, state=member_state, sequence=local_record.sequence + 1
    )
    gossip.replace_local_record(members.state, local_record, now=trio.current_time())


def is_isolated(members: MemberTable) -> bool:
    """Whether there are peers but none sent a message recently."""
    return gossip.is_isolated(members.state, now=trio.current_time())


def is_majority_silent(members: MemberTable) -> bool:
    """Whether most monitored sidecars are silent or calls to most peers failed."""
    return (
        members.failure_detector.majority_silent_since is not None
        or gossip.is_majority_silent(members.state, now=trio.current_time())
    )


def pool_records(members: MemberTable, pool: str) -> tuple[_members.MemberRecord, ...]:
    """Return all records of a pool, including ended ones."""
    return membership.pool_records(members.state.table, pool)


# --- Changes ----------------------------------------------------------------------


def _handle_changed_records(
    members: MemberTable, changed: abc.Iterable[_members.MemberRecord], now: float
) -> None:
    """Pass changed sidecar records to the failure detector; report their pools."""
    for record in changed:
        if record.kind is not _types.MemberKind.SIDECAR:
            continue
        membership.handle_record(members.failure_detector, record, now=now)
        members.changed_pools[record.pool] = None
    if members.changed_pools:
        members.has_changes.set()


async def _report_changes(members: MemberTable) -> None:
    while True:
        await members.has_changes.wait()
        members.has_changes = trio.Event()
        while members.changed_pools:
            pool = next(iter(members.changed_pools))
            del members.changed_pools[pool]
            await members.send_changes.send(
                MembersChanged(pool=pool, records=pool_records(members, pool))
            )


def _local_revisions(members: MemberTable) -> gossip.Revisions:
    configuration = members.documents.configuration()
    delta.record_configuration(members.history, configuration)
    key_set = members.documents.key_set()
    return gossip.Revisions(
        configuration=0 if configuration is None else configuration.revision,
        keys=0 if key_set is None else key_set.revision,
    )


def _request_pull_if_newer(
    members: MemberTable, peer: _types.Address, configuration: int, keys: int
) -> None:
    """Request a pull from a peer that has newer documents.

    The request is dropped if the queue is full; later gossip repeats it.
    """
    local_revisions = _local_revisions(members)
    if configuration <= local_revisions.configuration and keys <= local_revisions.keys:
        return
    try:
        members.send_pulls.send_nowait(peer)
    except trio.WouldBlock:
        return


async def _pull(members: MemberTable) -> None:
    """Fetch newer documents from peers, one pull at a time."""
    async for peer in members.pulls:
        local_revisions = _local_revisions(members)
        try:
            reply = await bridge.call(
                members.client,
                peer,
                methods.Method.PULL,
                messages.PullRequest(
                    configuration_revision=local_revisions.configuration,
                    key_revision=local_revisions.keys,
                ),
                timeout_seconds=PULL_TIMEOUT_SECONDS,
            )
        except _exceptions.PlantainError as error:
            _log.info("Pulling newer documents from %s failed: %s", peer, error)
            continue
        if reply.key_set is not None:
            await members.documents.apply_key_set(reply.key_set)
        configuration = reply.configuration
        if reply.configuration_delta is not None:
            configuration = delta.apply(
                members.documents.configuration(), reply.configuration_delta
            )
        if configuration is not None:
            await members.documents.apply_configuration(configuration)


# --- Handlers ---------------------------------------------------------------------


def _home_candidates(members: MemberTable) -> homes.Candidates:
    """Return the serving balancers as home candidates; rebuild them after a change."""
    table = members.state.table
    if members.candidates_version != table.balancers_version:
        members.candidates_version = table.balancers_version
        members.candidates = homes.candidates(
            [
                record.rpc
                for record in membership.live_balancers(table)
                if record.state is _types.MemberState.SERVING
            ]
        )
    return members.candidates


def _is_home(members: MemberTable, key: str) -> bool:
    """Whether this balancer is one of a member's homes."""
    picked = homes.pick(_home_candidates(members), key, heartbeat.HOME_COUNT)
    return members.state.local_record.rpc in picked


def _live_pool(members: MemberTable, pool: str) -> _LivePool:
    """Return the live members of a pool; rebuild them after a change."""
    table = members.state.table
    version = table.pool_versions.get(pool, 0)
    cached = members.live_pools.get(pool)
    if cached is not None and cached.version == version:
        return cached
    live = {
        record.rpc: record
        for record in table.pools.get(pool, {}).values()
        if not membership.has_ended(record)
    }
    live_pool = _LivePool(
        version=version, records=live, candidates=homes.candidates(tuple(live))
    )
    members.live_pools[pool] = live_pool
    return live_pool


def _choose_siblings(
    members: MemberTable, record: _members.MemberRecord
) -> tuple[_members.MemberRecord, ...]:
    """Return the live members of a pool, or a stable selection if there are many."""
    pool = _live_pool(members, record.pool)
    chosen = homes.pick(pool.candidates, record.key, heartbeat.SIBLING_LIMIT)
    return tuple(pool.records[rpc] for rpc in sorted(chosen))


def _siblings(members: MemberTable, record: _members.MemberRecord) -> _Siblings:
    table = members.state.table
    versions = (table.pool_versions.get(record.pool, 0), table.balancers_version)
    cached = members.siblings.get(record.key)
    if cached is not None and cached.versions == versions:
        return cached
    records = _choose_siblings(members, record)
    balancers = homes.pick(
        _home_candidates(members), record.key, heartbeat.BALANCER_LIMIT
    )
    digest = membership.records_digest(records) ^ homes.hash_text(repr(balancers))
    siblings = _Siblings(
        versions=versions, records=records, balancers=balancers, digest=digest
    )
    members.siblings[record.key] = siblings
    return siblings


def _target_interval(members: MemberTable) -> float:
    return membership.target_heartbeat_interval(
        members.failure_detector, members.state.table, home_count=heartbeat.HOME_COUNT
    )


async def _serve_heartbeat(
    members: MemberTable, request: messages.HeartbeatRequest
) -> messages.HeartbeatReply:
    now = trio.current_time()
    record = request.record
    if record.kind is not _types.MemberKind.SIDECAR:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.BAD_REQUEST, "Only sidecars send heartbeats."
        )
    if not membership.is_valid(record):
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.BAD_REQUEST,
            "The member record has values that are out of bounds.",
        )
    merged = gossip.merge_records(members.state, (record,), now=now)
    if request.is_final or record.state is _types.MemberState.LEFT:
        membership.stop_monitoring(members.failure_detector, (record.key,))
    else:
        announced = request.interval_milliseconds / 1_000
        membership.record_heartbeat(
            members.failure_detector,
            record.key,
            now=now,
            interval_seconds=max(announced, _target_interval(members)),
        )
    _handle_changed_records(members, merged.changed, now)
    return _heartbeat_reply(members, request, next(iter(merged.newer), record))


def _heartbeat_reply(
    members: MemberTable,
    request: messages.HeartbeatRequest,
    newest_record: _members.MemberRecord,
) -> messages.HeartbeatReply:
    """Build a reply with the values that are newer than the sidecar's."""
    configuration = members.documents.configuration()
    key_set = members.documents.key_set()
    siblings = _siblings(members, request.record)
    view = None
    if configuration and configuration.revision > request.configuration_revision:
        view = model.build_pool_view(configuration, record=request.record)
    if key_set and key_set.revision <= request.key_revision:
        key_set = None
    siblings_changed = siblings.digest != request.siblings_digest
    return messages.HeartbeatReply(
        stored_record=newest_record,
        view=view,
        key_set=key_set,
        siblings=siblings.records if siblings_changed else None,
        siblings_digest=siblings.digest,
        balancers=siblings.balancers if siblings_changed else (),
        interval_milliseconds=round(_target_interval(members) * 1_000),
    )


async def _serve_gossip(
    members: MemberTable, request: messages.GossipRequest
) -> messages.GossipReply:
    now = trio.current_time()
    reply, merged = gossip.handle_request(
        members.state,
        request,
        revisions=_local_revisions(members),
        now=now,
        rng=members.rng,
    )
    _handle_changed_records(members, merged.changed, now)
    _request_pull_if_newer(
        members,
        request.sender.rpc,
        request.configuration_revision,
        request.key_revision,
    )
    return reply


async def _serve_pull(
    members: MemberTable, request: messages.PullRequest
) -> messages.PullReply:
    configuration = members.documents.configuration()
    key_set = members.documents.key_set()
    if key_set and key_set.revision <= request.key_revision:
        key_set = None
    if not configuration or configuration.revision <= request.configuration_revision:
        return messages.PullReply(key_set=key_set)
    delta.record_configuration(members.history, configuration)
    configuration_delta = delta.compute(
        members.history, configuration, base_revision=request.configuration_revision
    )
    if configuration_delta is not None:
        return messages.PullReply(
            key_set=key_set, configuration_delta=configuration_delta
        )
    return messages.PullReply(key_set=key_set, configuration=configuration)


def handlers(members: MemberTable) -> abc.Mapping[methods.Method, bridge.Handler]:
    """Return the handlers to serve on the balancer's gRPC address."""

    async def serve_heartbeat(
        request: messages.HeartbeatRequest,
    ) -> messages.HeartbeatReply:
        return await _serve_heartbeat(members, request)

    async def serve_gossip(request: messages.GossipRequest) -> messages.GossipReply:
        return await _serve_gossip(members, request)

    async def serve_pull(request: messages.PullRequest) -> messages.PullReply:
        return await _serve_pull(members, request)

    return {
        methods.Method.HEARTBEAT: serve_heartbeat,
        methods.Method.GOSSIP: serve_gossip,
        methods.Method.PULL: serve_pull,
    }


# --- Tasks ------------------------------------------------------------------------


async def _call_peer(
    members: MemberTable, peer: _types.Address, request: messages.GossipRequest
) -> messages.GossipReply | None:
    """Make one gossip call; if it fails, record the failure and return ``None``."""
    try:
        reply: messages.GossipReply = await bridge.call(
            members.client,
            peer,
            methods.Method.GOSSIP,
            request,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    except _exceptions.PlantainError as error:
        _log.debug("Gossip with %s failed: %s", peer, error)
        now = trio.current_time()
        merged = gossip.record_failure(
            members.state, peer, now=now, is_connected=_is_connected(members, now)
        )
        if merged is not None:
            _log.warning("Balancer %s is marked lost: gossip calls to it failed.", peer)
        return None
    return reply


async def _exchange(members: MemberTable, planned_call: gossip.PlannedCall) -> None:
    """Make one planned call, and a second one to repair the differences found."""
    peer = planned_call.peer
    request: messages.GossipRequest | None = gossip.build_request(
        members.state, planned_call, revisions=_local_revisions(members)
    )
    for _ in range(2):
        if request is None:
            return
        reply = await _call_peer(members, peer, request)
        if reply is None:
            return
        now = trio.current_time()
        request, merged = gossip.handle_reply(
            members.state, peer, reply, revisions=_local_revisions(members), now=now
        )
        _handle_changed_records(members, merged.changed, now)
        _request_pull_if_newer(
            members, peer, reply.configuration_revision, reply.key_revision
        )


async def _gossip(members: MemberTable) -> None:
    async with trio.open_nursery() as nursery:
        while True:
            planned_calls = gossip.plan_round(
                members.state,
                now=trio.current_time(),
                rng=members.rng,
                contacts=members.contacts,
                revisions=_local_revisions(members),
            )
            for planned_call in planned_calls:
                nursery.start_soon(_exchange, members, planned_call)
            jitter = members.rng.uniform(0.9, 1.1)
            await trio.sleep(members.gossip_interval_seconds * jitter)


def _is_connected(members: MemberTable, now: float) -> bool:
    """Whether any peer or sidecar sent a message recently."""
    if membership.has_recent_heartbeat(members.failure_detector, now=now):
        return True
    return bool(members.state.peers) and not gossip.is_isolated(members.state, now=now)


def _monitor_missing(members: MemberTable, now: float) -> None:
    """Monitor sidecars that have this balancer as home but sent it no heartbeat."""
    if not members.unchecked_keys:
        members.unchecked_keys = list(members.state.table.records)
    keys = members.unchecked_keys[-MONITOR_CHECK_RECORDS:]
    del members.unchecked_keys[-MONITOR_CHECK_RECORDS:]
    for key in keys:
        record = members.state.table.records.get(key)
        if record is None or record.kind is not _types.MemberKind.SIDECAR:
            continue
        if membership.has_ended(record) or key in members.failure_detector.members:
            continue
        if _is_home(members, key):
            membership.expect_first_heartbeat(members.failure_detector, key, now=now)


def _check_members(members: MemberTable, now: float) -> None:
    """Mark silent members lost, find unmonitored ones, and evict expired records."""
    was_majority_silent = members.failure_detector.majority_silent_since is not None
    lost = membership.mark_lost(
        members.failure_detector,
        members.state.table,
        now=now,
        is_connected=_is_connected(members, now),
        is_home=lambda key: _is_home(members, key),
    )
    if (
        members.failure_detector.majority_silent_since is not None
        and not was_majority_silent
    ):
        _log.warning(
            "More than half of the monitored sidecars are silent, so this balancer may "
            "be cut off; none is marked lost for now."
        )
    for record in lost:
        _log.warning(
            "Sidecar %s is marked lost: no heartbeat within its timeout.", record.rpc
        )
    merged = gossip.merge_records(members.state, lost, now=now)
    _monitor_missing(members, now)
    evicted = gossip.evict_expired(members.state, now=now)
    for record in evicted:
        members.siblings.pop(record.key, None)
    membership.stop_monitoring(
        members.failure_detector, [record.key for record in evicted]
    )
    _handle_changed_records(members, (*merged.changed, *evicted), now)


async def _detect_failures(members: MemberTable) -> None:
    while True:
        await trio.sleep(members.failure_detector.interval_seconds)
        _check_members(members, trio.current_time())


async def run(members: MemberTable) -> None:
    """Run gossip, failure detection, pulls and change reports until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_gossip, members)
        nursery.start_soon(_detect_failures, members)
        nursery.start_soon(_pull, members)
        nursery.start_soon(_report_changes, members)


async def leave(members: MemberTable) -> None:
    """Notify some peers that this balancer has left; wait briefly for their replies."""
    set_state(members, _types.MemberState.LEFT)
    peers = members.state.peers
    notified = members.rng.sample(peers, min(LEAVE_MAX_PEERS, len(peers)))
    with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for peer in notified:
                planned_call = gossip.PlannedCall(
                    peer=peer, records=(), has_digests=False
                )
                nursery.start_soon(_exchange, members, planned_call)
