"""Where one request runs: on the own upstream, on a sibling's, or nowhere.

A request makes at most one hop. Load of the siblings is known only from their last
answers; it is aged, and the hand-overs in flight are added to it, so that many
requests that are placed at once do not all go to the sibling that seemed idle.
"""

from collections.abc import Iterable
import dataclasses

from plantainproxy import _exceptions, _types

LOAD_LIFETIME_SECONDS = 2.0
"""A load seen longer ago than this is unknown."""
OVERLOADED_HOLD_SECONDS = 1.0
"""A sibling that said overloaded is left alone for this long."""
UNKNOWN_LIMIT = 2
"""Limit that is assumed of a sibling whose load is unknown."""
HAND_OVER_MARGIN = 2.0
"""Requests by which a sibling must be less busy before it gets our work."""
EXPLORE_INTERVAL_SECONDS = 0.5
"""How often load is learned by a hand-over that was not needed."""
EXPLORE_UTILISATION = 0.5
"""Utilisation of the own upstream from which on this is worth a hop."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Own:
    """The own upstream at the moment of the decision."""

    running: int
    limit: int
    admits: bool
    """Whether the admission lets one more request start."""
    draining: bool = False
    """Whether new work must go elsewhere."""
    available: bool = True
    """Whether the upstream is reachable and itself takes new work."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Sibling:
    """What is known of one sibling's load."""

    outstanding: int = 0
    """Requests handed over and not answered yet."""
    running: int = 0
    limit: int = UNKNOWN_LIMIT
    seen_at: float = float("-inf")
    held_until: float = float("-inf")


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """All siblings that may get work."""

    siblings: dict[_types.Address, Sibling] = dataclasses.field(default_factory=dict)
    order: list[_types.Address] = dataclasses.field(default_factory=list)
    """The siblings' gRPC addresses, in a fixed order for random choice."""
    explored_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The decision: the own upstream, a sibling, or a refusal."""

    sibling: _types.Address | None = None
    error: _exceptions.ErrorKind | None = None


OWN = Placement()
"""The request runs on the own upstream."""


def update_siblings(
    state: State,
    records: Iterable[_types.MemberRecord],
    *,
    own: _types.Address,
    domains_out: frozenset[str],
) -> None:
    """Take the members of the pool; keep the load known of those that stay."""
    eligible = {
        record.rpc
        for record in records
        if record.rpc != own
        and record.state is _types.MemberState.SERVING
        and not record.lost
        and record.domain not in domains_out
    }
    state.order = sorted(eligible)
    state.siblings = {
        address: state.siblings.get(address) or Sibling() for address in state.order
    }


def place(
    state: State,
    *,
    own: Own,
    draws: tuple[float, float],
    now: float,
    exclude: frozenset[_types.Address] = frozenset(),
) -> Placement:
    """Decide where a request runs; ``draws`` are two random numbers in [0, 1)."""
    candidate = _better_of_two(state, draws=draws, now=now, exclude=exclude)
    if _own_takes(own):
        if candidate is not None and _prefers(state, own, candidate, now=now):
            return Placement(sibling=candidate)
        return OWN
    if candidate is not None:
        return Placement(sibling=candidate)
    if not state.order and (own.draining or not own.available):
        return Placement(error=_exceptions.ErrorKind.NO_UPSTREAM)
    return Placement(error=_exceptions.ErrorKind.OVERLOADED)


def begin(state: State, address: _types.Address) -> None:
    """Count a request handed over to a sibling."""
    if sibling := state.siblings.get(address):
        sibling.outstanding += 1


def end(
    state: State,
    address: _types.Address,
    *,
    running: int | None,
    limit: int | None,
    refused: bool,
    now: float,
) -> None:
    """Learn from a sibling's answer; ``None`` where it gave no load."""
    sibling = state.siblings.get(address)
    if sibling is None:
        return
    sibling.outstanding = max(sibling.outstanding - 1, 0)
    if running is not None and limit is not None:
        sibling.running = running
        sibling.limit = limit
        sibling.seen_at = now
    if refused:
        sibling.held_until = now + OVERLOADED_HOLD_SECONDS


def _own_takes(own: Own) -> bool:
    return own.admits and own.available and not own.draining


def _is_known(sibling: Sibling, *, now: float) -> bool:
    return now - sibling.seen_at < LOAD_LIFETIME_SECONDS


def _expected_running(sibling: Sibling, *, now: float) -> float:
    """Return the running requests last seen, aged, and those on the way."""
    share = 1.0 - (now - sibling.seen_at) / LOAD_LIFETIME_SECONDS
    return sibling.running * min(max(share, 0.0), 1.0) + sibling.outstanding


def _limit(sibling: Sibling, *, now: float) -> int:
    return max(sibling.limit, 1) if _is_known(sibling, now=now) else UNKNOWN_LIMIT


def _utilisation(sibling: Sibling, *, now: float) -> float:
    return _expected_running(sibling, now=now) / _limit(sibling, now=now)


def _takes(sibling: Sibling, *, now: float) -> bool:
    if now < sibling.held_until:
        return False
    if sibling.outstanding >= _limit(sibling, now=now):
        return False
    return _utilisation(sibling, now=now) < 1.0


def _better_of_two(
    state: State,
    *,
    draws: tuple[float, float],
    now: float,
    exclude: frozenset[_types.Address],
) -> _types.Address | None:
    willing = [
        address
        for address in state.order
        if address not in exclude and _takes(state.siblings[address], now=now)
    ]
    if not willing:
        return None
    picks = (willing[int(draw * len(willing))] for draw in draws)
    return min(picks, key=lambda pick: _utilisation(state.siblings[pick], now=now))


def _prefers(state: State, own: Own, candidate: _types.Address, *, now: float) -> bool:
    """Tell whether a sibling runs so much less that a hop is worth it."""
    sibling = state.siblings[candidate]
    if _is_known(sibling, now=now):
        lead = own.running - _expected_running(sibling, now=now)
        return lead >= HAND_OVER_MARGIN
    if own.running < own.limit * EXPLORE_UTILISATION or sibling.outstanding:
        return False
    if now - state.explored_at < EXPLORE_INTERVAL_SECONDS:
        return False
    state.explored_at = now
    return True
