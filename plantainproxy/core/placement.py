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
OVERLOADED_BACKOFF_SECONDS = 1.0
"""A sibling that said overloaded is left alone for this long."""
UNKNOWN_LIMIT = 2
"""Limit that is assumed of a sibling whose load is unknown."""
MAX_PROBES = 4
"""Siblings that each random choice looks at until one is willing."""
TOLERATED_LOAD_RATIO = 1.05
"""Ratio to the siblings' mean load up to which the own upstream keeps its work."""
SHARE_GAIN = 0.02
"""Change of the share handed over for each request, by relative difference."""
MIN_SHARE = 0.02
"""Share that is always handed over, to learn the siblings' load."""
MAX_SHARE = 0.9
LOCAL_MEAN_WEIGHT = 0.05
SIBLINGS_MEAN_WEIGHT = 0.1
"""Weights of one sample in the means of running requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalUpstream:
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
    load_received_at: float = float("-inf")
    backoff_until: float = float("-inf")


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """All siblings that may get work."""

    siblings: dict[_types.Address, Sibling] = dataclasses.field(default_factory=dict)
    order: list[_types.Address] = dataclasses.field(default_factory=list)
    """The siblings' gRPC addresses, in a fixed order for random choice."""
    share: float = MIN_SHARE
    """Share of the requests that is handed over to even out the load."""
    local_mean: float = 0.0
    """Requests that run on the own upstream when another arrives."""
    siblings_mean: float = 0.0
    """Requests that run on a sibling's upstream when it answers."""
    load_received_at: float = float("-inf")
    """When any sibling last told its load."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The decision: the own upstream, a sibling, or a refusal."""

    sibling: _types.Address | None = None
    error: _exceptions.ErrorKind | None = None


LOCAL = Placement()
"""The request runs on the own upstream."""


def update_siblings(
    state: State,
    records: abc.Iterable[_types.MemberRecord],
    *,
    local_address: _types.Address,
    domains_out: frozenset[str],
) -> None:
    """Take the members of the pool; keep the load known of those that stay."""
    eligible = {
        record.rpc
        for record in records
        if record.rpc != local_address
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
    local: LocalUpstream,
    draws: tuple[float, float, float],
    now: float,
    exclude: frozenset[_types.Address] = frozenset(),
) -> Placement:
    """Decide where a request runs; ``draws`` are random numbers in [0, 1)."""
    _update_share(state, local, now=now)
    if _local_accepts(local) and draws[2] >= state.share:
        return LOCAL
    candidate = _better_of_two(state, draws=draws[:2], now=now, exclude=exclude)
    if _local_accepts(local) and candidate is None:
        return LOCAL
    if candidate is not None:
        return Placement(sibling=candidate)
    if not state.order and (local.draining or not local.available):
        return Placement(error=_exceptions.ErrorKind.NO_UPSTREAM)
    return Placement(error=_exceptions.ErrorKind.OVERLOADED)


def record_forward_start(state: State, address: _types.Address) -> None:
    """Count a request handed over to a sibling."""
    if sibling := state.siblings.get(address):
        sibling.outstanding += 1


def record_forward_end(
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
        sibling.load_received_at = now
        _update_siblings_mean(state, running, now=now)
    if refused:
        sibling.backoff_until = now + OVERLOADED_BACKOFF_SECONDS


def _local_accepts(local: LocalUpstream) -> bool:
    return local.admits and local.available and not local.draining


def _is_load_fresh(sibling: Sibling, *, now: float) -> bool:
    return now - sibling.load_received_at < LOAD_LIFETIME_SECONDS


def _expected_running(sibling: Sibling, *, now: float) -> float:
    """Return the running requests last seen, aged, and those on the way."""
    weight = 1.0 - (now - sibling.load_received_at) / LOAD_LIFETIME_SECONDS
    return sibling.running * min(max(weight, 0.0), 1.0) + sibling.outstanding


def _limit(sibling: Sibling, *, now: float) -> int:
    return max(sibling.limit, 1) if _is_load_fresh(sibling, now=now) else UNKNOWN_LIMIT


def _utilisation(sibling: Sibling, *, now: float) -> float:
    return _expected_running(sibling, now=now) / _limit(sibling, now=now)


def _accepts(sibling: Sibling, *, now: float) -> bool:
    if now < sibling.backoff_until:
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
    candidates = (_probe(state, draw=draw, now=now, exclude=exclude) for draw in draws)
    picks = [pick for pick in candidates if pick is not None]
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
    for offset in range(min(MAX_PROBES, count)):
        address = state.order[(start + offset) % count]
        if address not in exclude and _accepts(state.siblings[address], now=now):
            return address
    return None


def _update_siblings_mean(state: State, running: int, *, now: float) -> None:
    fresh = now - state.load_received_at < LOAD_LIFETIME_SECONDS
    weight = SIBLINGS_MEAN_WEIGHT if fresh else 1.0
    state.siblings_mean += weight * (running - state.siblings_mean)
    state.load_received_at = now


def _update_share(state: State, local: LocalUpstream, *, now: float) -> None:
    """Adjust the share that is handed over until the mean loads are near."""
    state.local_mean += LOCAL_MEAN_WEIGHT * (local.running - state.local_mean)
    if now - state.load_received_at >= LOAD_LIFETIME_SECONDS:
        state.share = MIN_SHARE
        return
    lead = state.local_mean - TOLERATED_LOAD_RATIO * state.siblings_mean
    change = SHARE_GAIN * lead / max(state.local_mean, state.siblings_mean, 1.0)
    state.share = min(max(state.share + change, MIN_SHARE), MAX_SHARE)
