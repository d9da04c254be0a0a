"""What a sidecar knows of its own upstream, from heartbeats and its connection."""

import msgspec

from plantainproxy.flows import messages


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of itself."""

    instance: str
    """The upstream's own name; it may keep it over a restart."""
    pool: str
    draining: bool
    cold_seconds: float
    """How much longer the upstream is cold."""
    slots: int
    """Requests that it runs at the same time."""
    born: int
    """Start of the incarnation, in milliseconds since the epoch on its clock."""
    number: int
    """Raised with each heartbeat of one incarnation."""

    @property
    def version(self) -> tuple[int, int]:
        """Precedence among heartbeats from one place."""
        return (self.born, self.number)


class UpstreamStatus(msgspec.Struct):
    """The present knowledge."""

    state: messages.UpstreamState = messages.UpstreamState.UNKNOWN
    newest: Heartbeat | None = None
    cold_until: float = float("-inf")
    ended_born: int = -1
    """The last incarnation that is known to have ended."""


def record_heartbeat(status: UpstreamStatus, heartbeat: Heartbeat, *, now: float) -> bool:
    """Take a heartbeat unless it is old; return whether it began an incarnation."""
    newest = status.newest
    if heartbeat.born <= status.ended_born:
        return False
    if newest is not None and heartbeat.version <= newest.version:
        return False
    is_new_incarnation = newest is None or heartbeat.born > newest.born
    status.newest = heartbeat
    status.cold_until = now + heartbeat.cold_seconds
    status.state = (
        messages.UpstreamState.DRAINING
        if heartbeat.draining
        else messages.UpstreamState.READY
    )
    return is_new_incarnation


def mark_draining(status: UpstreamStatus, instance: str) -> bool:
    """Note that an incarnation is about to end; return whether that is news.

    It still holds its open flows until its process has ended.
    """
    newest = status.newest
    if newest is None or newest.instance != instance:
        return False
    if status.state is not messages.UpstreamState.READY:
        return False
    status.state = messages.UpstreamState.DRAINING
    return True


def mark_gone(status: UpstreamStatus) -> bool:
    """Note that the present incarnation has ended; return whether that is news."""
    if status.state is messages.UpstreamState.GONE:
        return False
    if status.newest is not None:
        status.ended_born = max(status.ended_born, status.newest.born)
    status.state = messages.UpstreamState.GONE
    return True


def is_cold(status: UpstreamStatus, *, now: float) -> bool:
    """Return whether the upstream bears only little load."""
    return now < status.cold_until
