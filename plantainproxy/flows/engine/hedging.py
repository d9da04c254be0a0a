"""Hedged openings: opening times by route, the decision, and budgets of placements.

A hedge is a copy of an opening packet that the balancer sends to a second upstream when
the first one has not opened the flow in time. docs/design/hedging.md has the reasons.
"""

import collections
import enum
import math

import msgspec

from plantainproxy import _types
from plantainproxy.flows import messages, packets, policy
from plantainproxy.flows.engine import placement, upstreams

HEDGE_BURST = 4
"""Capacity of the hedge budget, in hedges. Unused budget of quiet times must not allow
a burst of copies when many openings become overdue at once."""
RETRY_BUDGET_PERCENT = 200.0
"""Limit of further placements after a refusal, per hundred first openings. It bounds
the placements of an overload to three for each opening. With 20, openings waited at
half of the upstreams' capacity: reports half a second old lead to refusals there."""
RETRY_MINIMUM_PER_SECOND = 10.0
"""Further placements per second that are allowed even without new openings, so that
openings in the queue are placed when callers send no others."""
RETRY_BURST = 20
"""Capacity of the budget of further placements. Above the number of upstreams that a
pool has in one failure domain, all of which may refuse at once when it is evacuated."""
PLACEMENT_COST_PERCENT = 100.0
"""Credit that one hedge or further placement takes, in percent of an opening."""

DELAY_PERCENTILE = 0.95
"""An opening is overdue when it takes longer than this share of the route's others."""
MIN_DELAY_SECONDS = 0.02
"""Minimum time before a hedge. Below it, delays of the processes' scheduling would
trigger hedges."""
MAX_DELAY_SECONDS = 0.15
"""Maximum time before a hedge, which also applies while too few times are known. Leaves
time to open the flow before the caller's retransmission."""
RETRANSMISSION_SECONDS = 0.2
"""Time after which the caller itself retransmits its opening, which is then placed on
another upstream. A hedge after that would be a third copy."""
ABANDONED_SECONDS = 1.4
"""Time after which the caller abandons the attempt."""
MAX_SAMPLES = 128
"""Number of recent opening times that are kept for each route."""
MIN_SAMPLES = 20
"""Number of opening times from which a 95th percentile is defined."""
SAMPLES_PER_ESTIMATE = 16
"""Number of new opening times after which the percentile is computed again."""
SAMPLE_LIFETIME_SECONDS = 30.0
"""Opening times are discarded when the route had none for this long."""
OVERDUE_WEIGHT = 1 / 16
"""Weight of the newest opening in the share of overdue openings. If all are overdue,
the share exceeds ``MAX_OVERDUE_SHARE`` after eleven openings."""
MAX_OVERDUE_SHARE = 0.5
"""If a larger share of a route's openings is overdue, the cause is not one upstream:
all are slow, or callers' packets now reach other balancers."""
MAX_LOAD_SHARE = 0.7
"""An upstream gets hedges only while its load is below this share of its slots."""
MAX_SATURATED_SHARE = 0.5
"""No hedges if a larger share of the pool's ready upstreams is saturated."""
MAX_WATCHED = 4_096
"""Number of openings that are watched or hedged at once; others are not hedged."""
PASS_INTERVAL_SECONDS = 0.01
"""Interval in which watched openings are checked. Half the minimum delay."""
LATE_PASS_SECONDS = 0.03
"""If the time between two checks reaches this, the process was not scheduled, and
callers' packets may wait in its socket. Overdue openings are left to the next check."""


class Denial(enum.StrEnum):
    """Reason for which an overdue opening is not hedged."""

    LATE = "late"
    """The caller's own retransmission is due."""
    STOPPING = "stopping"
    """The balancer stops, so callers' packets move to other balancers."""
    STALE_VIEW = "stale-view"
    """Reports are missing because of a pause or partition of this process."""
    WAITING = "waiting"
    """Openings wait for room at this balancer."""
    LOOKUPS = "lookups"
    """Many flows are looked up, which shows that callers' packets have moved between
    balancers."""
    SLOW_ROUTE = "slow-route"
    """More than ``MAX_OVERDUE_SHARE`` of the route's openings are overdue."""
    SATURATED = "saturated"
    """Most ready upstreams of the pool are saturated."""
    NO_UPSTREAM = "no-upstream"
    """No other upstream of the pool may get a hedge."""
    BUDGET = "budget"
    """The operators' limit is reached."""


class Budget:
    """Token bucket of additional placements, refilled by first openings and by time."""

    def __init__(
        self, *, percent: float, burst: int, per_second: float = 0.0, credit: float = 0
    ) -> None:
        """Create a budget that allows ``percent`` placements per hundred openings.

        ``per_second`` placements are allowed on top of that. The bucket holds at most
        ``burst`` placements and starts with ``credit``, in percent of a placement.
        """
        self.percent = percent
        self.max_credit = burst * PLACEMENT_COST_PERCENT
        self.credit_per_second = per_second * PLACEMENT_COST_PERCENT
        self.credit = credit
        self.counted_openings = 0
        self.refilled_at: float | None = None


def refill(budget: Budget, *, openings: int, now: float) -> None:
    """Add the credit for the time and the first openings since the last refill.

    ``openings`` is the number of first openings since the start of the process. They
    are added here and not one by one, so that an opening costs one increment.
    """
    elapsed = 0.0 if budget.refilled_at is None else now - budget.refilled_at
    added = (openings - budget.counted_openings) * budget.percent
    added += elapsed * budget.credit_per_second
    budget.credit = min(budget.credit + added, budget.max_credit)
    budget.counted_openings = openings
    budget.refilled_at = now


def has_credit(budget: Budget, *, openings: int, now: float) -> bool:
    """Return whether the budget allows one more placement now."""
    refill(budget, openings=openings, now=now)
    return budget.credit >= PLACEMENT_COST_PERCENT


def spend(budget: Budget) -> None:
    """Take the credit of one placement."""
    budget.credit -= PLACEMENT_COST_PERCENT


def retry_budget() -> Budget:
    """Return the budget of a new process for further placements after refusals."""
    return Budget(
        percent=RETRY_BUDGET_PERCENT,
        burst=RETRY_BURST,
        per_second=RETRY_MINIMUM_PER_SECOND,
        credit=RETRY_MINIMUM_PER_SECOND * PLACEMENT_COST_PERCENT,
    )


class OpeningTimes:
    """Recent opening times of one route: from placement to the caller's next packet."""

    def __init__(self) -> None:
        """Create an empty sample."""
        self.samples: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self.last_sample_at = float("-inf")
        self.samples_since_estimate = 0
        self.delay_seconds = MAX_DELAY_SECONDS
        self.overdue_share = 0.0
        """Weighted share of recent openings that were overdue."""


def record_time(times: OpeningTimes, seconds: float, *, now: float) -> None:
    """Add the time of a successful opening.

    Only successes are measured: a caller's next packet may also be missing because it
    reached another balancer.
    """
    if now - times.last_sample_at >= SAMPLE_LIFETIME_SECONDS:
        times.samples.clear()
        times.delay_seconds = MAX_DELAY_SECONDS
    times.last_sample_at = now
    times.samples.append(seconds)
    times.samples_since_estimate += 1
    count = len(times.samples)
    if count < MIN_SAMPLES or (
        count > MIN_SAMPLES and times.samples_since_estimate < SAMPLES_PER_ESTIMATE
    ):
        return
    times.samples_since_estimate = 0
    percentile = sorted(times.samples)[math.ceil(DELAY_PERCENTILE * count) - 1]
    times.delay_seconds = min(max(percentile, MIN_DELAY_SECONDS), MAX_DELAY_SECONDS)


def record_outcome(times: OpeningTimes, *, is_overdue: bool) -> None:
    """Update the share of overdue openings; called once for each opening."""
    times.overdue_share += OVERDUE_WEIGHT * (is_overdue - times.overdue_share)


def delay_seconds(times: OpeningTimes, *, now: float) -> float:
    """Return the time without success after which an opening is overdue."""
    if now - times.last_sample_at >= SAMPLE_LIFETIME_SECONDS:
        return MAX_DELAY_SECONDS
    return times.delay_seconds


class WatchedOpening(msgspec.Struct):
    """An opening whose caller has sent no further packet yet."""

    packet: packets.Packet
    route: policy.Route
    placed_at: float
    overdue_at: float
    is_decided: bool = False
    """Whether it was decided, once overdue, if the opening is hedged."""


class HedgedOpening(msgspec.Struct):
    """An opening of which two upstreams or more have a copy."""

    opening: WatchedOpening
    first: _types.Address
    """The upstream on which the opening was placed."""
    upstreams: list[_types.Address]
    """Upstreams that have a copy and have not refused it, in the order of sending."""
    refused_by: frozenset[_types.Address]
    is_opened: bool = False
    """Whether the caller has sent a further packet."""


class Hedging:
    """Watched and hedged openings of one balancer, its budget and opening times."""

    def __init__(self, percent: float) -> None:
        """Allow ``percent`` hedges per hundred first openings; 0 turns hedging off.

        The budget starts empty, so that restarts do not raise the limit.
        """
        self.percent = percent
        self.budget = Budget(percent=percent, burst=HEDGE_BURST)
        self.times: dict[bytes, OpeningTimes] = {}
        """Opening times by service address."""
        self.watched: dict[bytes, WatchedOpening] = {}
        self.hedged: dict[bytes, HedgedOpening] = {}
        self.last_pass_at = float("-inf")


def watch(
    hedging: Hedging, packet: packets.Packet, route: policy.Route, *, now: float
) -> None:
    """Watch an opening that was just placed, if the route's requests are repeatable."""
    if not route.is_repeatable:
        return
    if len(hedging.watched) + len(hedging.hedged) >= MAX_WATCHED:
        return
    times = hedging.times.setdefault(packet.service, OpeningTimes())
    hedging.watched[packet.flow] = WatchedOpening(
        packet, route, now, now + delay_seconds(times, now=now)
    )


def record_success(
    hedging: Hedging, opening: WatchedOpening, *, opened_at: float, now: float
) -> float:
    """Record that an opening succeeded; return its opening time in seconds."""
    seconds = opened_at - opening.placed_at
    times = hedging.times[opening.packet.service]
    record_time(times, seconds, now=now)
    if not opening.is_decided:
        record_outcome(times, is_overdue=opened_at >= opening.overdue_at)
    return seconds


def start_pass(hedging: Hedging, *, now: float) -> bool:
    """Record the time of a check; return whether it is on time."""
    is_on_time = now - hedging.last_pass_at < LATE_PASS_SECONDS
    hedging.last_pass_at = now
    return is_on_time


class Conditions(msgspec.Struct, frozen=True, kw_only=True):
    """State of the balancer that decides whether it may send hedges."""

    is_stopping: bool
    is_view_reliable: bool
    waiting_openings: int
    are_lookups_full: bool
    """Whether as many lookups as allowed send queries."""
    first_openings: int
    """Number of first openings since the start of the process."""


def decide(
    hedging: Hedging,
    opening: WatchedOpening,
    view: upstreams.View,
    *,
    first: _types.Address,
    refused_by: frozenset[_types.Address],
    conditions: Conditions,
    context: placement.Context,
) -> upstreams.Upstream | Denial:
    """Return the upstream that gets a hedge of an overdue opening, or the denial.

    ``first`` is the upstream on which the opening was placed. Takes the credit of the
    hedge from the budget.
    """
    now = context.now
    for is_denied, reason in (
        (now - opening.placed_at >= RETRANSMISSION_SECONDS, Denial.LATE),
        (conditions.is_stopping, Denial.STOPPING),
        (not conditions.is_view_reliable, Denial.STALE_VIEW),
        (conditions.waiting_openings > 0, Denial.WAITING),
        (conditions.are_lookups_full, Denial.LOOKUPS),
        (
            hedging.times[opening.packet.service].overdue_share > MAX_OVERDUE_SHARE,
            Denial.SLOW_ROUTE,
        ),
    ):
        if is_denied:
            return reason
    chosen = choose_second(
        view, opening, first=first, refused_by=refused_by, context=context
    )
    if isinstance(chosen, Denial):
        return chosen
    if not has_credit(hedging.budget, openings=conditions.first_openings, now=now):
        return Denial.BUDGET
    spend(hedging.budget)
    return chosen


def choose_second(
    view: upstreams.View,
    opening: WatchedOpening,
    *,
    first: _types.Address,
    refused_by: frozenset[_types.Address],
    context: placement.Context,
) -> upstreams.Upstream | Denial:
    """Return the upstream for a hedge: another one of the first upstream's pool."""
    placed_on = view.upstreams.get(first)
    route = context.policy.routes.get(opening.packet.service)
    if placed_on is None or placed_on.report is None or route is None:
        return Denial.NO_UPSTREAM
    pool = placed_on.report.pool
    shares = tuple(
        share for share in route.shares if share.pool == pool and share.weight > 0
    )
    if not shares or not route.is_repeatable:
        return Denial.NO_UPSTREAM
    members = upstreams.pool_members(view, pool)
    if _are_most_saturated(members):
        return Denial.SATURATED
    unsuitable = {
        member.address
        for member in members
        if not _may_get_hedge(member, now=context.now)
    }
    chosen = placement.choose(
        view,
        msgspec.structs.replace(route, shares=shares),
        opening.packet.flow,
        context=context,
        excluded=refused_by | unsuitable | {first},
    )
    return chosen or Denial.NO_UPSTREAM


def _are_most_saturated(members: list[upstreams.Upstream]) -> bool:
    ready = [
        member
        for member in members
        if member.report and member.report.state is messages.UpstreamState.READY
    ]
    saturated_count = sum(_is_saturated(member) for member in ready)
    return saturated_count > MAX_SATURATED_SHARE * len(ready)


def _is_saturated(upstream: upstreams.Upstream) -> bool:
    report = upstream.report
    assert report is not None
    return report.running >= report.slots or upstream.placed_flows >= report.room


def _may_get_hedge(upstream: upstreams.Upstream, *, now: float) -> bool:
    """Return whether an upstream meets the conditions beyond those of a placement."""
    report = upstream.report
    return (
        report is not None
        and not report.cold
        and not report.suspect
        and upstreams.is_fresh(upstream, now=now)
        and report.running + upstream.placed_flows < MAX_LOAD_SHARE * report.slots
    )
