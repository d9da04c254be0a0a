"""What a sidecar announces, to whom, and what it takes from the replies."""

from collections import abc
import dataclasses

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import homes, membership
from plantainproxy.rpc import messages

HOME_COUNT = 3
"""Balancers that one sidecar calls."""
BALANCER_LIMIT = 8
"""Balancers that a home offers to a sidecar."""
SIBLING_LIMIT = 64
"""Siblings that a home tells a sidecar of."""
FAILED_HOME_BACKOFF_SECONDS = 5.0
"""How long a balancer that failed is not picked as a home."""
DISCONNECTED_AFTER_SECONDS = 3.0
"""Silence of all homes after which a sidecar counts itself disconnected."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """What a sidecar knows of the system at one moment."""

    record: _types.MemberRecord
    """The own record as last announced."""
    view: model.PoolView | None = None
    """Absent until the first answer; then its revision only rises."""
    key_set: model.KeySet | None = None
    """Absent until the first answer; then its revision only rises."""
    siblings: tuple[_types.MemberRecord, ...] = ()
    """Live members of the own pool, this one included."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedHeartbeat:
    """One heartbeat to send."""

    home: _types.Address
    is_final: bool = False
    """Whether the balancer is a home no more."""


class State:
    """What a sidecar knows and whom it calls."""

    def __init__(
        self, record: _types.MemberRecord, seeds: abc.Sequence[_types.Address]
    ) -> None:
        """Begin with the seeds as the only balancers."""
        self.snapshot = Snapshot(record=record)
        self.seeds = tuple(seeds)
        self.balancers: tuple[_types.Address, ...] = ()
        """The balancers that a reply offered last."""
        self.siblings_digest = 0
        self.homes: tuple[_types.Address, ...] = ()
        self.intervals: dict[_types.Address, float] = {}
        """The interval in seconds that each home asked for."""
        self.failed_at: dict[_types.Address, float] = {}
        self.last_reply_at: float | None = None
        """When any home last answered."""


def update_record(
    state: State,
    *,
    member_state: _types.MemberState | None = None,
    weight: float | None = None,
) -> None:
    """Change the own record; raise its sequence when it really changes."""
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
    """Whether a home answered lately."""
    return (
        state.last_reply_at is not None
        and now - state.last_reply_at <= DISCONNECTED_AFTER_SECONDS
    )


def heartbeat_interval(state: State, *, default_seconds: float) -> float:
    """Return the interval that suits all homes."""
    return max(
        default_seconds, *(state.intervals.get(home, 0.0) for home in state.homes), 0.0
    )


def build_request(
    state: State, planned: PlannedHeartbeat, *, interval_seconds: float
) -> messages.HeartbeatRequest:
    """Make the message of one heartbeat, when it is sent."""
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
    """Pick homes among the balancers that did not fail lately, else call all."""
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
    """Return the heartbeats of one interval, with a last one for former homes."""
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
    """Note a heartbeat that got no answer."""
    state.failed_at[home] = now


def handle_reply(
    state: State,
    home: _types.Address,
    reply: messages.HeartbeatReply,
    *,
    now: float,
) -> bool:
    """Take what is newer from a reply; return whether the own record was raised."""
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
    refutation = membership.refute(snapshot.record, reply.known)
    state.snapshot = Snapshot(
        record=snapshot.record if refutation is None else refutation,
        view=view,
        key_set=key_set,
        siblings=siblings,
    )
    return refutation is not None
