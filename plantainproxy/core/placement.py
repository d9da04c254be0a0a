"""Placement of requests on the local upstream or that of a sibling sidecar.

A request is forwarded at most once. The load of a sibling comes from its last reply.
The estimate decays with the age of the reply and includes the requests in flight, so
that many requests placed at once do not all go to a sibling that looked idle.
"""

from collections import abc
import dataclasses

from plantainproxy import _exceptions, _members, _types

LOAD_LIFETIME_SECONDS = 2.0
"""Age at which a reported load expires."""
OVERLOADED_BACKOFF_SECONDS = 1.0
"""How long no requests are forwarded to a sibling that refused one."""
UNKNOWN_LIMIT = 2
"""Concurrency limit assumed for a sibling without a current load report."""
MAX_PROBES = 4
"""Maximum number of siblings that each random choice examines."""
TOLERATED_LOAD_RATIO = 1.05
"""Ratio of local to sibling mean load above which the forwarded share grows."""
SHARE_GAIN = 0.02
"""Change of the forwarded share per request, times the relative load difference."""
MIN_SHARE = 0.02
"""Share that is always forwarded, to obtain the siblings' load."""
MAX_SHARE = 0.9
"""Maximum share forwarded to even out the load."""
LOCAL_MEAN_WEIGHT = 0.05
SIBLINGS_MEAN_WEIGHT = 0.1
"""Smoothing weights of one sample in the means of running requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalUpstream:
    """State of the local upstream at the time of the decision."""

    running: int
    limit: int
    admits: bool
    """Whether the admission check allows one more request."""
    draining: bool = False
    """Whether new requests must be placed elsewhere."""
    available: bool = True
    """Whether the upstream is reachable and accepts new requests."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Sibling:
    """Load estimate of one sibling."""

    outstanding: int = 0
    """Forwarded requests without a reply yet."""
    running: int = 0
    limit: int = UNKNOWN_LIMIT
    load_received_at: float = float("-inf")
    backoff_until: float = float("-inf")


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """Placement state: the eligible siblings and the forwarded share."""

    siblings: dict[_types.Address, Sibling] = dataclasses.field(default_factory=dict)
    order: list[_types.Address] = dataclasses.field(default_factory=list)
    """The siblings' gRPC addresses in sorted order, indexed by random draws."""
    share: float = MIN_SHARE
    """Share of the requests that is forwarded to even out the load."""
    local_mean: float = 0.0
    """Mean number of requests running on the local upstream on arrival of another."""
    siblings_mean: float = 0.0
    """Mean number of running requests in the siblings' replies."""
    load_received_at: float = float("-inf")
    """When any sibling last reported its load."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where to run a request: a sibling, an error, or locally if neither is set."""

    sibling: _types.Address | None = None
    error: _exceptions.ErrorKind | None = None


LOCAL = Placement()
"""Run the request on the local upstream."""


def update_siblings(
    state: State,
    records: abc.Iterable[_members.MemberRecord],
    *,
    local_address: _types.Address,
    domains_out: frozenset[str],
) -> None:
    """Apply the pool's member records; remaining siblings keep their estimates."""
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
    """Decide where a request runs; ``draws`` are random numbers in [0, 1).

    The sibling is the less utilised of two random choices.
    """
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
    """Record the start of a request forwarded to a sibling."""
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
    """Record the end of a forwarded request and the load in its reply, if any."""
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
    """Return the last reported running requests, aged, plus those in flight."""
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
    """Return the first sibling that accepts requests, from a random one on."""
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
    """Adjust the forwarded share so that the mean loads converge."""
    state.local_mean += LOCAL_MEAN_WEIGHT * (local.running - state.local_mean)
    if now - state.load_received_at >= LOAD_LIFETIME_SECONDS:
        state.share = MIN_SHARE
        return
    excess_load = state.local_mean - TOLERATED_LOAD_RATIO * state.siblings_mean
    change = SHARE_GAIN * excess_load / max(state.local_mean, state.siblings_mean, 1.0)
    state.share = min(max(state.share + change, MIN_SHARE), MAX_SHARE)
