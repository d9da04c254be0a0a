"""The task that owns a balancer's table of members.

It serves heartbeats, gossips with the other balancers, fetches newer documents from
them, and reports each pool whose members changed.
"""

from collections import abc
import dataclasses
import logging
import random
import typing

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import delta, gossip, heartbeat, homes, membership
from plantainproxy.rpc import bridge, messages, methods

CALL_TIMEOUT_SECONDS = 1.0
PULL_TIMEOUT_SECONDS = 3.0
LEAVE_SECONDS = 1.0
"""How long a leaving balancer waits for its peers."""
LEAVE_PEERS = 8
"""Peers that a leaving balancer tells itself."""
AUDITED_RECORDS = 32
"""Records that are checked in one interval for a missing watch."""
CHANGES_BUFFER = 16
"""Reports that may wait for their reader; later ones are combined by pool."""
PULLS_BUFFER = 4

_log = logging.getLogger("plantain.members")


class Revisions(typing.Protocol):
    """The holder of the configuration and the keys."""

    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, if one is known."""

    def key_set(self) -> model.KeySet | None:
        """Return the key set in force, if one is known."""

    async def offer_configuration(self, configuration: model.Configuration) -> None:
        """Put a configuration in force if it is newer."""

    async def offer_key_set(self, key_set: model.KeySet) -> None:
        """Put a key set in force if it is newer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembersChanged:
    """The records of a pool after a change."""

    pool: str
    records: tuple[_types.MemberRecord, ...]
    """All known records of the pool, with those that ended lately."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LivePool:
    """The live members of one pool, hashed for a choice among them."""

    version: int
    records: dict[_types.Address, _types.MemberRecord]
    candidates: homes.Candidates


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Siblings:
    """What one sidecar is told, as long as the versions stand."""

    versions: tuple[int, int]
    records: tuple[_types.MemberRecord, ...]
    balancers: tuple[_types.Address, ...]
    digest: int


class MemberTable:
    """The members that one balancer knows, and its tasks' shared state."""

    def __init__(
        self,
        own: _types.MemberRecord,
        *,
        client: bridge.Client,
        revisions: Revisions,
        seeds: abc.Iterable[_types.Address],
        gossip_interval_seconds: float,
        heartbeat_interval_seconds: float,
        rng: random.Random,
    ) -> None:
        """Hold the own record and the means to reach others."""
        self.state = gossip.State(own, now=trio.current_time())
        self.watch = membership.FailureDetector(
            interval_seconds=heartbeat_interval_seconds
        )
        self.client = client
        self.revisions = revisions
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
        self.audit_keys: list[str] = []
        self.history = delta.History()


def add_contacts(members: MemberTable, addresses: abc.Iterable[_types.Address]) -> None:
    """Add addresses where balancers may be, such as those of leased seats."""
    members.contacts |= frozenset(addresses)


def set_state(members: MemberTable, member_state: _types.MemberState) -> None:
    """Announce a new state of this balancer."""
    own = members.state.local_record
    if own.state is member_state:
        return
    own = dataclasses.replace(own, state=member_state, sequence=own.sequence + 1)
    gossip.replace_local_record(members.state, own, now=trio.current_time())


def is_isolated(members: MemberTable) -> bool:
    """Whether peers are known but none was heard lately."""
    return gossip.is_isolated(members.state, now=trio.current_time())


def is_blind(members: MemberTable) -> bool:
    """Whether most watched sidecars, or most peers, went silent at once."""
    return members.watch.majority_silent_since is not None or gossip.is_majority_silent(
        members.state, now=trio.current_time()
    )


def pool_records(members: MemberTable, pool: str) -> tuple[_types.MemberRecord, ...]:
    """Return all known records of a pool."""
    return membership.pool_records(members.state.table, pool)


# --- Changes ----------------------------------------------------------------------


def _note_changed(
    members: MemberTable, changed: abc.Iterable[_types.MemberRecord], now: float
) -> None:
    """Pass changed records on to the watch and to the readers of changes."""
    for record in changed:
        if record.kind is not _types.MemberKind.SIDECAR:
            continue
        membership.handle_record(members.watch, record, now=now)
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


def _revisions(members: MemberTable) -> gossip.Revisions:
    configuration = members.revisions.configuration()
    delta.record_configuration(members.history, configuration)
    key_set = members.revisions.key_set()
    return gossip.Revisions(
        configuration=0 if configuration is None else configuration.revision,
        keys=0 if key_set is None else key_set.revision,
    )


def _note_revisions(
    members: MemberTable, peer: _types.Address, configuration: int, keys: int
) -> None:
    """Ask for a pull from a peer that holds newer documents."""
    own = _revisions(members)
    if configuration <= own.configuration and keys <= own.keys:
        return
    try:
        members.send_pulls.send_nowait(peer)
    except trio.WouldBlock:
        return


async def _pull(members: MemberTable) -> None:
    """Fetch newer documents, one pull at a time."""
    async for peer in members.pulls:
        own = _revisions(members)
        try:
            reply = await bridge.call(
                members.client,
                peer,
                methods.Method.PULL,
                messages.PullRequest(
                    configuration_revision=own.configuration, key_revision=own.keys
                ),
                timeout_seconds=PULL_TIMEOUT_SECONDS,
            )
        except _exceptions.PlantainError as error:
            _log.info("Pulling newer documents from %s failed. %s", peer, error)
            continue
        if reply.key_set is not None:
            await members.revisions.offer_key_set(reply.key_set)
        configuration = reply.configuration
        if reply.configuration_delta is not None:
            configuration = delta.apply(
                members.revisions.configuration(), reply.configuration_delta
            )
        if configuration is not None:
            await members.revisions.offer_configuration(configuration)


# --- Handlers ---------------------------------------------------------------------


def _home_candidates(members: MemberTable) -> homes.Candidates:
    """Return the balancers that take sidecars, hashed again only after a change."""
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
    """Return the live members of a pool, hashed again only after a change."""
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
    made = _LivePool(
        version=version, records=live, candidates=homes.candidates(tuple(live))
    )
    members.live_pools[pool] = made
    return made


def _choose_siblings(
    members: MemberTable, record: _types.MemberRecord
) -> tuple[_types.MemberRecord, ...]:
    """Return the live members of a pool, or a stable choice out of many."""
    pool = _live_pool(members, record.pool)
    chosen = homes.pick(pool.candidates, record.key, heartbeat.SIBLING_LIMIT)
    return tuple(pool.records[rpc] for rpc in sorted(chosen))


def _siblings(members: MemberTable, record: _types.MemberRecord) -> _Siblings:
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
    made = _Siblings(
        versions=versions, records=records, balancers=balancers, digest=digest
    )
    members.siblings[record.key] = made
    return made


def _wanted_interval(members: MemberTable) -> float:
    return membership.target_heartbeat_interval(
        members.watch, members.state.table, home_count=heartbeat.HOME_COUNT
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
            _exceptions.ErrorKind.BAD_REQUEST, "The record is out of bounds."
        )
    merged = gossip.merge_records(members.state, (record,), now=now)
    if request.is_final or record.state is _types.MemberState.LEFT:
        membership.stop_monitoring(members.watch, (record.key,))
    else:
        announced = request.interval_milliseconds / 1_000
        membership.record_heartbeat(
            members.watch,
            record.key,
            now=now,
            interval_seconds=max(announced, _wanted_interval(members)),
        )
    _note_changed(members, merged.changed, now)
    return _heartbeat_reply(members, request, next(iter(merged.newer), record))


def _heartbeat_reply(
    members: MemberTable,
    request: messages.HeartbeatRequest,
    stored_record: _types.MemberRecord,
) -> messages.HeartbeatReply:
    """Tell a sidecar what it does not know yet."""
    configuration = members.revisions.configuration()
    key_set = members.revisions.key_set()
    siblings = _siblings(members, request.record)
    view = None
    if configuration and configuration.revision > request.configuration_revision:
        view = model.pool_view(configuration, record=request.record)
    if key_set and key_set.revision <= request.key_revision:
        key_set = None
    is_new = siblings.digest != request.siblings_digest
    return messages.HeartbeatReply(
        stored_record=stored_record,
        view=view,
        key_set=key_set,
        siblings=siblings.records if is_new else None,
        siblings_digest=siblings.digest,
        balancers=siblings.balancers if is_new else (),
        interval_milliseconds=round(_wanted_interval(members) * 1_000),
    )


async def _serve_gossip(
    members: MemberTable, request: messages.GossipRequest
) -> messages.GossipReply:
    now = trio.current_time()
    reply, merged = gossip.handle_request(
        members.state,
        request,
        revisions=_revisions(members),
        now=now,
        rng=members.rng,
    )
    _note_changed(members, merged.changed, now)
    _note_revisions(
        members,
        request.sender.rpc,
        request.configuration_revision,
        request.key_revision,
    )
    return reply


async def _serve_pull(
    members: MemberTable, request: messages.PullRequest
) -> messages.PullReply:
    configuration = members.revisions.configuration()
    key_set = members.revisions.key_set()
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
    """Make one gossip call; note a failure."""
    try:
        reply: messages.GossipReply = await bridge.call(
            members.client,
            peer,
            methods.Method.GOSSIP,
            request,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    except _exceptions.PlantainError as error:
        _log.debug("Gossip with %s failed. %s", peer, error)
        now = trio.current_time()
        merged = gossip.record_failure(
            members.state, peer, now=now, is_connected=_is_connected(members, now)
        )
        if merged is not None:
            _log.warning("Balancer %s is lost.", peer)
        return None
    return reply


async def _exchange(members: MemberTable, send: gossip.PlannedCall) -> None:
    """Carry out one planned call and settle the differences that it finds."""
    peer = send.peer
    message: messages.GossipRequest | None = gossip.build_request(
        members.state, send, revisions=_revisions(members)
    )
    for _ in range(2):
        if message is None:
            return
        reply = await _call_peer(members, peer, message)
        if reply is None:
            return
        now = trio.current_time()
        message, merged = gossip.handle_reply(
            members.state, peer, reply, revisions=_revisions(members), now=now
        )
        _note_changed(members, merged.changed, now)
        _note_revisions(members, peer, reply.configuration_revision, reply.key_revision)


async def _gossip(members: MemberTable) -> None:
    async with trio.open_nursery() as nursery:
        while True:
            sends = gossip.plan_round(
                members.state,
                now=trio.current_time(),
                rng=members.rng,
                contacts=members.contacts,
                revisions=_revisions(members),
            )
            for send in sends:
                nursery.start_soon(_exchange, members, send)
            spread = members.rng.uniform(0.9, 1.1)
            await trio.sleep(members.gossip_interval_seconds * spread)


def _is_connected(members: MemberTable, now: float) -> bool:
    """Whether any peer or sidecar was heard lately."""
    if membership.has_recent_heartbeat(members.watch, now=now):
        return True
    return bool(members.state.peers) and not gossip.is_isolated(members.state, now=now)


def _audit(members: MemberTable, now: float) -> None:
    """Begin to watch members that have this balancer as home but never called."""
    if not members.audit_keys:
        members.audit_keys = list(members.state.table.records)
    keys = members.audit_keys[-AUDITED_RECORDS:]
    del members.audit_keys[-AUDITED_RECORDS:]
    for key in keys:
        record = members.state.table.records.get(key)
        if record is None or record.kind is not _types.MemberKind.SIDECAR:
            continue
        if membership.has_ended(record) or key in members.watch.members:
            continue
        if _is_home(members, key):
            membership.expect_first_heartbeat(members.watch, key, now=now)


def _tick(members: MemberTable, now: float) -> None:
    """Mark silent members lost, audit some records and forget old ones."""
    was_blind = members.watch.majority_silent_since is not None
    lost = membership.mark_lost(
        members.watch,
        members.state.table,
        now=now,
        is_connected=_is_connected(members, now),
        is_home=lambda key: _is_home(members, key),
    )
    if members.watch.majority_silent_since is not None and not was_blind:
        _log.warning("Most sidecars went silent at once; none is marked lost.")
    for record in lost:
        _log.warning("Sidecar %s is lost.", record.rpc)
    merged = gossip.merge_records(members.state, lost, now=now)
    _audit(members, now)
    forgotten = gossip.evict_expired(members.state, now=now)
    for record in forgotten:
        members.siblings.pop(record.key, None)
    membership.stop_monitoring(members.watch, [record.key for record in forgotten])
    _note_changed(members, (*merged.changed, *forgotten), now)


async def _watch(members: MemberTable) -> None:
    while True:
        await trio.sleep(members.watch.interval_seconds)
        _tick(members, trio.current_time())


async def run(members: MemberTable) -> None:
    """Gossip, watch, pull and report until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_gossip, members)
        nursery.start_soon(_watch, members)
        nursery.start_soon(_pull, members)
        nursery.start_soon(_report_changes, members)


async def leave(members: MemberTable) -> None:
    """Tell some peers that this balancer has left; wait for them briefly."""
    set_state(members, _types.MemberState.LEFT)
    peers = members.state.peers
    told = members.rng.sample(peers, min(LEAVE_PEERS, len(peers)))
    with trio.move_on_after(LEAVE_SECONDS):
        async with trio.open_nursery() as nursery:
            for peer in told:
                message = gossip.PlannedCall(peer=peer, records=(), has_digests=False)
                nursery.start_soon(_exchange, members, message)
