"""Heartbeats of a sidecar: contents, receivers, and handling of replies."""

from collections import abc
import dataclasses

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import homes, membership
from plantainproxy.rpc import messages

HOME_COUNT = 3
"""Number of balancers that are homes of one sidecar."""
BALANCER_LIMIT = 8
"""Maximum number of balancer addresses that a home returns to a sidecar."""
SIBLING_LIMIT = 64
"""Maximum number of siblings that a home returns to a sidecar."""
FAILED_HOME_BACKOFF_SECONDS = 5.0
"""How long a balancer is not selected as a home after a failed heartbeat."""
DISCONNECTED_AFTER_SECONDS = 3.0
"""Time without a reply from any home after which a sidecar is disconnected."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Local record of a sidecar and the latest state received from its homes."""

    record: _members.MemberRecord
    """Local record, as sent in heartbeats."""
    view: model.PoolView | None = None
    """``None`` until the first reply with a value; its revision never decreases."""
    key_set: model.KeySet | None = None
    """``None`` until the first reply with a value; its revision never decreases."""
    siblings: tuple[_members.MemberRecord, ...] = ()
    """Live members of the sidecar's pool, including the sidecar itself."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedHeartbeat:
    """One heartbeat to send."""

    home: _types.Address
    is_final: bool = False
    """Whether the balancer is no longer a home."""


class State:
    """Heartbeat state of one sidecar: its snapshot and its homes."""

    def __init__(
        self, record: _members.MemberRecord, seeds: abc.Sequence[_types.Address]
    ) -> None:
        """Create a state in which the seeds are the only balancers."""
        self.snapshot = Snapshot(record=record)
        self.seeds = tuple(seeds)
        self.balancers: tuple[_types.Address, ...] = ()
        """Balancers from the last reply that contained siblings."""
        self.siblings_digest = 0
        self.homes: tuple[_types.Address, ...] = ()
        self.intervals: dict[_types.Address, float] = {}
        """Heartbeat interval in seconds that each home requested."""
        self.failed_at: dict[_types.Address, float] = {}
        self.last_reply_at: float | None = None
        """When any home last replied."""


def update_record(
    state: State,
    *,
    member_state: _types.MemberState | None = None,
    weight: float | None = None,
) -> None:
    """Update the local record; increment its sequence only if a field changes."""
    record = state.snapshot.record
    changed = dataclasses.replace(
        record,
        state=record.state if member_state is None else member_state,
        weight=record.weight if weight is None else weight,
    )
    if changed == record:
        return
    changed = dataclasses.replace(changed, sequence=record.sequence + 1)
    state.snapshot = dataclasses.replace(state.snapshot, record=changed)


def is_connected(state: State, *, now: float) -> bool:
    """Whether a home replied within ``DISCONNECTED_AFTER_SECONDS``."""
    return (
        state.last_reply_at is not None
        and now - state.last_reply_at <= DISCONNECTED_AFTER_SECONDS
    )


def heartbeat_interval(state: State, *, default_seconds: float) -> float:
    """Return the longest of the default and the intervals requested by the homes."""
    return max(
        default_seconds, *(state.intervals.get(home, 0.0) for home in state.homes), 0.0
    )


def build_request(
    state: State, planned: PlannedHeartbeat, *, interval_seconds: float
) -> messages.HeartbeatRequest:
    """Build the request of a heartbeat from the state at the time of sending."""
    snapshot = state.snapshot
    view, key_set = snapshot.view, snapshot.key_set
    return messages.HeartbeatRequest(
        record=snapshot.record,
        configuration_revision=0 if view is None else view.revision,
        key_revision=0 if key_set is None else key_set.revision,
        siblings_digest=state.siblings_digest,
        is_final=planned.is_final,
        interval_milliseconds=round(interval_seconds * 1_000),
    )


def _pick_homes(state: State, now: float) -> tuple[_types.Address, ...]:
    """Select homes among the balancers without recent failures.

    Without any, select all seeds and balancers.
    """
    state.failed_at = {
        home: at
        for home, at in state.failed_at.items()
        if now - at < FAILED_HOME_BACKOFF_SECONDS
    }
    usable = [home for home in state.balancers if home not in state.failed_at]
    if not usable:
        return tuple(dict.fromkeys((*state.seeds, *state.balancers)))
    key = state.snapshot.record.key
    return homes.pick(homes.candidates(usable), key, HOME_COUNT)


def plan_heartbeats(state: State, *, now: float) -> tuple[PlannedHeartbeat, ...]:
    """Return the heartbeats of one interval, and final ones for former homes."""
    previous = state.homes
    state.homes = _pick_homes(state, now)
    former = [
        home
        for home in previous
        if home not in state.homes and home not in state.failed_at
    ]
    return (
        *(PlannedHeartbeat(home=home) for home in state.homes),
        *(PlannedHeartbeat(home=home, is_final=True) for home in former),
    )


def record_failure(state: State, home: _types.Address, *, now: float) -> None:
    """Record a heartbeat that received no reply."""
    state.failed_at[home] = now


def handle_reply(
    state: State,
    home: _types.Address,
    reply: messages.HeartbeatReply,
    *,
    now: float,
) -> bool:
    """Apply the newer values of a reply; return whether the local record was raised."""
    state.last_reply_at = now
    state.failed_at.pop(home, None)
    state.intervals = {
        address: seconds
        for address, seconds in state.intervals.items()
        if address in state.homes
    }
    state.intervals[home] = reply.interval_milliseconds / 1_000
    snapshot = state.snapshot
    view, key_set = snapshot.view, snapshot.key_set
    if reply.view is not None and (view is None or reply.view.revision > view.revision):
        view = reply.view
    if reply.key_set is not None and (
        key_set is None or reply.key_set.revision > key_set.revision
    ):
        key_set = reply.key_set
    siblings = snapshot.siblings
    if reply.siblings is not None:
        siblings = reply.siblings
        state.siblings_digest = reply.siblings_digest
        state.balancers = reply.balancers
    refutation = membership.refute(snapshot.record, reply.stored_record)
    state.snapshot = Snapshot(
        record=snapshot.record if refutation is None else refutation,
        view=view,
        key_set=key_set,
        siblings=siblings,
    )
    return refutation is not None
