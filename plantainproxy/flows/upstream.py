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


class Upstream(msgspec.Struct):
    """The present knowledge."""

    state: messages.UpstreamState = messages.UpstreamState.UNKNOWN
    newest: Heartbeat | None = None
    cold_until: float = float("-inf")
    ended_born: int = -1
    """The last incarnation that is known to have ended."""


def take_heartbeat(upstream: Upstream, beat: Heartbeat, *, now: float) -> bool:
    """Take a heartbeat unless it is old; return whether it began an incarnation."""
    newest = upstream.newest
    if beat.born <= upstream.ended_born:
        return False
    if newest is not None and beat.version <= newest.version:
        return False
    began = newest is None or beat.born > newest.born
    upstream.newest = beat
    upstream.cold_until = now + beat.cold_seconds
    upstream.state = (
        messages.UpstreamState.DRAINING
        if beat.draining
        else messages.UpstreamState.READY
    )
    return began


def take_leave(upstream: Upstream, instance: str) -> bool:
    """Note that an incarnation is about to end; return whether that is news.

    It still holds its open flows until its process has ended.
    """
    newest = upstream.newest
    if newest is None or newest.instance != instance:
        return False
    if upstream.state is not messages.UpstreamState.READY:
        return False
    upstream.state = messages.UpstreamState.DRAINING
    return True


def take_end(upstream: Upstream) -> bool:
    """Note that the present incarnation has ended; return whether that is news."""
    if upstream.state is messages.UpstreamState.GONE:
        return False
    if upstream.newest is not None:
        upstream.ended_born = max(upstream.ended_born, upstream.newest.born)
    upstream.state = messages.UpstreamState.GONE
    return True


def is_cold(upstream: Upstream, *, now: float) -> bool:
    """Return whether the upstream bears only little load."""
    return now < upstream.cold_until
