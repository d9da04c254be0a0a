"""State of a sidecar's upstream, from its heartbeats and the sidecar's connection."""

import msgspec

from plantainproxy.flows import messages

RETURN_SECONDS = 3.0
"""How long heartbeats must go on for an upstream to run that seems to have ended. Late
ones of an incarnation that has ended arrive within a shorter time."""


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat that an upstream sent."""

    instance: str
    """The upstream's name; it may be the same after a restart."""
    pool: str
    draining: bool
    cold_seconds: float
    """Remaining time for which the upstream is cold."""
    slots: int
    """Requests that it runs concurrently."""
    born: int
    """Start of the incarnation in milliseconds since the epoch, on the upstream's
    clock."""
    number: int
    """Sequence number; increases with each heartbeat of one incarnation."""

    @property
    def version(self) -> tuple[int, int]:
        """Order among the heartbeats of one address; the highest is the newest."""
        return (self.born, self.number)


class UpstreamStatus(msgspec.Struct):
    """The last received state of the upstream."""

    state: messages.UpstreamState = messages.UpstreamState.UNKNOWN
    newest: Heartbeat | None = None
    cold_until: float = float("-inf")
    ended_born: int = -1
    """Start of the latest incarnation that has ended; -1 if none has."""
    first_after_end: Heartbeat | None = None
    """First heartbeat since the last end that is not of a later incarnation."""
    first_after_end_at: float = float("-inf")
    """When it arrived."""
    deregistered_born: int | None = None
    """Start of the incarnation that has announced its end; ``None`` if none has, or if
    that is not the one whose heartbeats are known."""


def record_heartbeat(
    status: UpstreamStatus, heartbeat: Heartbeat, *, now: float
) -> bool:
    """Apply a heartbeat unless it is stale; return whether it starts an incarnation."""
    if heartbeat.born <= status.ended_born:
        if not _has_returned(status, heartbeat, now=now):
            return False
        status.ended_born, status.newest = -1, None
    status.first_after_end = None
    newest = status.newest
    if newest is not None and heartbeat.version <= newest.version:
        return False
    is_new_incarnation = newest is None or heartbeat.born > newest.born
    status.newest = heartbeat
    status.cold_until = now + heartbeat.cold_seconds
    status.state = (
        messages.UpstreamState.DRAINING
        if heartbeat.draining or heartbeat.born == status.deregistered_born
        else messages.UpstreamState.READY
    )
    return is_new_incarnation


def _has_returned(status: UpstreamStatus, heartbeat: Heartbeat, *, now: float) -> bool:
    """Return whether an upstream runs whose start does not show that it is a later one.

    A connection attempt may have failed although the upstream runs on, or its clock may
    have been set back before it started again. Its heartbeats then go on; those of an
    incarnation that has ended are late, and there are no further ones.
    """
    newest = status.newest
    if newest is not None and newest.born > status.ended_born:
        return False
    first = status.first_after_end
    if first is None or first.born != heartbeat.born:
        status.first_after_end, status.first_after_end_at = heartbeat, now
        return False
    elapsed_seconds = now - status.first_after_end_at
    return heartbeat.number > first.number and elapsed_seconds >= RETURN_SECONDS


def mark_draining(status: UpstreamStatus, instance: str, born: int | None) -> bool:
    """Mark an upstream that leaves as draining; return whether it counts as leaving.

    ``born`` is the start of its incarnation, if known. Ignores an incarnation before
    that of the newest heartbeat, which may have the same name; without a start, another
    name. Before the first heartbeat, any incarnation counts, as the upstream may leave
    soon after the start of this process. A draining upstream holds its open flows until
    its process has ended.
    """
    newest = status.newest
    if newest is not None:
        if born is None and newest.instance != instance:
            return False
        born = newest.born if born is None else born
        if born < newest.born:
            return False
    if status.state is messages.UpstreamState.GONE:
        return False
    # Another writer may state any start, also that of an incarnation to come.
    is_other = newest is not None and born != newest.born
    status.deregistered_born = None if is_other else born
    status.state = messages.UpstreamState.DRAINING
    return True


def mark_gone(status: UpstreamStatus, *, inherited_born: int | None = None) -> bool:
    """Mark the upstream as gone: its process has ended.

    ``inherited_born`` is the start of the incarnation that an earlier process served.
    Returns whether the state has changed.
    """
    if status.state is messages.UpstreamState.GONE:
        return False
    if status.newest is not None:
        status.ended_born = max(status.ended_born, status.newest.born)
    if inherited_born is not None:
        status.ended_born = max(status.ended_born, inherited_born)
    status.state = messages.UpstreamState.GONE
    status.first_after_end = None
    return True


def mark_unknown(status: UpstreamStatus) -> None:
    """Mark the upstream as unknown: another incarnation listens at the address."""
    status.state = messages.UpstreamState.UNKNOWN
    status.newest = status.deregistered_born = None


def is_cold(status: UpstreamStatus, *, now: float) -> bool:
    """Return whether the upstream is cold, so that slow start limits its new flows."""
    return now < status.cold_until
