"""Where one request runs: on the own upstream, on a sibling's, or nowhere.

A request makes at most one hop. Load of the siblings is known only from their last
answers; it is aged, and the hand-overs in flight are added to it, so that many
requests that are placed at once do not all go to the sibling that seemed idle.
"""

from collections import abc
import dataclasses

from plantainproxy import _exceptions, _types

LOAD_LIFETIME_SECONDS = 2.0
"""A load seen longer ago than this is unknown."""
OVERLOADED_HOLD_SECONDS = 1.0
"""A sibling that said overloaded is left alone for this long."""
UNKNOWN_LIMIT = 2
"""Limit that is assumed of a sibling whose load is unknown."""
PROBES = 4
"""Siblings that each random choice looks at until one is willing."""
TOLERATED_LEAD = 1.05
"""Ratio to the siblings' mean load up to which the own upstream keeps its work."""
SHARE_GAIN = 0.02
"""Change of the share handed over for each request, by relative difference."""
MIN_SHARE = 0.02
"""Share that is always handed over, to learn the siblings' load."""
MAX_SHARE = 0.9
OWN_MEAN_WEIGHT = 0.05
SIBLINGS_MEAN_WEIGHT = 0.1
"""Weights of one sample in the means of running requests."""


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
    share: float = MIN_SHARE
    """Share of the requests that is handed over to even out the load."""
    mean_running: float = 0.0
    """Requests that run on the own upstream when another arrives."""
    siblings_mean: float = 0.0
    """Requests that run on a sibling's upstream when it answers."""
    seen_at: float = float("-inf")
    """When any sibling last told its load."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The decision: the own upstream, a sibling, or a refusal."""

    sibling: _types.Address | None = None
    error: _exceptions.ErrorKind | None = None


OWN = Placement()
"""The request runs on the own upstream."""


def update_siblings(
    state: State,
    records: abc.Iterable[_types.MemberRecord],
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
    draws: tuple[float, float, float],
    now: float,
    exclude: frozenset[_types.Address] = frozenset(),
) -> Placement:
    """Decide where a request runs; ``draws`` are random numbers in [0, 1)."""
    _balance(state, own, now=now)
    if _own_takes(own) and draws[2] >= state.share:
        return OWN
    candidate = _better_of_two(state, draws=draws[:2], now=now, exclude=exclude)
    if _own_takes(own) and candidate is None:
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
        _learn_mean(state, running, now=now)
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
    found = (_probe(state, draw=draw, now=now, exclude=exclude) for draw in draws)
    picks = [pick for pick in found if pick is not None]
    if not picks:
        return None
    return min(picks, key=lambda pick: _utilisation(state.siblings[pick], now=now))


def _probe(
    state: State,
    *,
    draw: float,
    now: float,
    exclude: frozenset[_types.Address],
) -> _types.Address | None:
    """Return the first willing sibling from a random one on."""
    count = len(state.order)
    start = int(draw * count)
    for offset in range(min(PROBES, count)):
        address = state.order[(start + offset) % count]
        if address not in exclude and _takes(state.siblings[address], now=now):
            return address
    return None


def _learn_mean(state: State, running: int, *, now: float) -> None:
    fresh = now - state.seen_at < LOAD_LIFETIME_SECONDS
    weight = SIBLINGS_MEAN_WEIGHT if fresh else 1.0
    state.siblings_mean += weight * (running - state.siblings_mean)
    state.seen_at = now


def _balance(state: State, own: Own, *, now: float) -> None:
    """Adjust the share that is handed over until the mean loads are near."""
    state.mean_running += OWN_MEAN_WEIGHT * (own.running - state.mean_running)
    if now - state.seen_at >= LOAD_LIFETIME_SECONDS:
        state.share = MIN_SHARE
        return
    lead = state.mean_running - TOLERATED_LEAD * state.siblings_mean
    change = SHARE_GAIN * lead / max(state.mean_running, state.siblings_mean, 1.0)
    state.share = min(max(state.share + change, MIN_SHARE), MAX_SHARE)
