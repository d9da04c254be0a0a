"""Attempts to run one request: where, how often, and what is known at the end."""

import dataclasses

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import admission, placement, retry
from plantainproxy.rpc import messages
from plantainproxy.sidecar import checks, context

DRAIN_GRACE_SECONDS = 3.0
"""A draining upstream still runs what no sibling takes for this long."""
REPLY_MARGIN_SECONDS = 0.25
"""Extra time for a sibling to say that the deadline has passed."""
WAIT_SECONDS = 0.25
"""How long a request waits for a place before it is given up."""
WAITING_PER_PLACE = 4
"""Requests that may wait for each place on the own upstream."""
REFUSALS = frozenset(
    {
        _exceptions.ErrorKind.OVERLOADED,
        _exceptions.ErrorKind.NO_UPSTREAM,
        _exceptions.ErrorKind.NOT_READY,
    }
)
"""Kinds by which one upstream refuses what another may take."""
RETRIED = REFUSALS | {_exceptions.ErrorKind.UPSTREAM_FAILED}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """How an attempt, or a request as a whole, ended."""

    outcome: _types.Outcome
    response: messages.Response | None = None
    error: _exceptions.ErrorKind | None = None
    detail: str = ""
    ran_by: _types.Address | None = None
    """The sidecar beside the upstream that was tried; absent when none was."""


async def run(state: context.State, ports: context.Ports, job: checks.Job) -> Ended:
    """Try until there is an answer or no retry is allowed."""
    failed: frozenset[_types.Address] = frozenset()
    last: Ended | None = None
    may_have_run = False
    attempt = 0
    wait_until = min(trio.current_time() + WAIT_SECONDS, job.deadline)
    while True:
        attempt += 1
        ended = await _attempt(state, ports, job, failed)
        if ended.response is not None:
            return ended
        may_have_run |= ended.outcome is not _types.Outcome.NOT_RUN
        wait = _retry_delay(state, ports, job, ended, attempt)
        if wait is None and await _gets_place(state, job, ended, wait_until):
            failed = frozenset()
            continue
        if ended.ran_by is None and last is not None:
            return _weakened(last) if may_have_run else last
        if wait is None or ended.ran_by is None:
            return _weakened(ended) if may_have_run else ended
        failed |= {ended.ran_by}
        last = ended
        await trio.sleep(wait)


def _retry_delay(
    state: context.State,
    ports: context.Ports,
    job: checks.Job,
    ended: Ended,
    attempt: int,
) -> float | None:
    if ended.error not in RETRIED or ended.ran_by is None:
        return None
    return retry.retry_delay(
        state.budget,
        retry.FailedAttempt(
            attempt=attempt, repeatable=job.repeatable, outcome=ended.outcome
        ),
        draw=ports.random(),
        now=trio.current_time(),
        deadline=job.deadline,
    )


async def _gets_place(
    state: context.State, job: checks.Job, ended: Ended, until: float
) -> bool:
    """Wait until a request on the own upstream ends; tell whether one did.

    Only a request that found everything full waits, so that a short burst is served
    in place of refused.
    """
    if ended.error is not _exceptions.ErrorKind.OVERLOADED:
        return False
    if ended.outcome is not _types.Outcome.NOT_RUN:
        return False
    now = trio.current_time()
    own = own_load(state, state.view or job.view, job.pool, now=now)
    if own.draining or not own.available or not own.running:
        return False
    if len(state.waiting) >= own.limit * WAITING_PER_PLACE:
        return False
    with trio.move_on_at(until):
        await state.waiting.park()
        return True
    return False


def _weakened(ended: Ended) -> Ended:
    return dataclasses.replace(ended, outcome=_types.Outcome.UNKNOWN)


async def _attempt(
    state: context.State,
    ports: context.Ports,
    job: checks.Job,
    failed: frozenset[_types.Address],
) -> Ended:
    now = trio.current_time()
    if now >= job.deadline:
        return refusal(_exceptions.ErrorKind.DEADLINE_EXPIRED)
    draws = (ports.random(), ports.random(), ports.random())
    placed = _place(state, job, failed, draws=draws, now=now)
    if placed.error is not None:
        return refusal(placed.error)
    if placed.sibling is None:
        return await run_own(state, ports, job)
    ended = await _run_sibling(state, ports, job, placed.sibling)
    if ended.error in REFUSALS and _own_takes(state, job, failed):
        return await run_own(state, ports, job)
    return ended


def _own_takes(
    state: context.State, job: checks.Job, failed: frozenset[_types.Address]
) -> bool:
    """Tell whether work that a sibling refused may run here, at no further cost."""
    now = trio.current_time()
    own = own_load(state, state.view or job.view, job.pool, now=now)
    if own.draining or state.own in failed:
        return False
    return own.admits and now < job.deadline


def _place(
    state: context.State,
    job: checks.Job,
    failed: frozenset[_types.Address],
    *,
    draws: tuple[float, float, float],
    now: float,
) -> placement.Placement:
    """Place a request; where it failed once comes last."""
    own = own_load(state, state.view or job.view, job.pool, now=now)
    first = own
    if state.own in failed:
        first = dataclasses.replace(own, admits=False)
    placed = placement.place(
        state.placement_state, local=first, draws=draws, now=now, exclude=failed
    )
    if placed.error is None:
        return placed
    if own.admits and not own.draining:
        return placement.LOCAL
    if _serves_while_draining(state, own, now=now):
        return placement.LOCAL
    return placed


def own_load(
    state: context.State, view: model.PoolView, pool: model.Pool, *, now: float
) -> placement.LocalUpstream:
    """Return the own upstream as placement sees it."""
    limit = admission.limit(
        state.admission_state, max_running=pool.max_running, now=now
    )
    return placement.LocalUpstream(
        running=state.admission_state.running,
        limit=limit,
        admits=admission.admits(
            state.admission_state, max_running=pool.max_running, now=now
        ),
        draining=state.stopping or view.drained or not view.domain_in,
        available=admission.is_available(state.admission_state),
    )


def _serves_while_draining(
    state: context.State, own: placement.LocalUpstream, *, now: float
) -> bool:
    """Tell whether a drain of operators is young enough to prefer serving."""
    view = state.view
    if state.stopping or view is None or not view.domain_in or not own.admits:
        return False
    if state.drained_since is None:
        return False
    return now - state.drained_since < DRAIN_GRACE_SECONDS


async def run_own(state: context.State, ports: context.Ports, job: checks.Job) -> Ended:
    """Run on the own upstream and learn from the exchange."""
    started_at = trio.current_time()
    signal = admission.Signal.NEUTRAL
    admission.record_request_start(state.admission_state)
    try:
        result = await ports.run(job.request, job.deadline - started_at)
        signal = result.signal
        admission.record_process_start(
            state.admission_state, result.started, now=trio.current_time()
        )
    finally:
        now = trio.current_time()
        admission.record_request_end(
            state.admission_state,
            signal=signal,
            latency_seconds=now - started_at,
            max_running=job.pool.max_running,
            now=now,
        )
        state.waiting.unpark()
    if result.response is not None:
        return Ended(outcome=_types.Outcome.RUN, response=result.response)
    kind = result.error or _exceptions.ErrorKind.INTERNAL
    return dataclasses.replace(refusal(kind, result.detail), ran_by=state.own)


async def _run_sibling(
    state: context.State, ports: context.Ports, job: checks.Job, address: _types.Address
) -> Ended:
    """Hand the request over; a lost answer leaves its outcome unknown."""
    reply: messages.ExecuteReply | None = None
    placement.record_forward_start(state.placement_state, address)
    try:
        reply = await _call_execute(ports, job, address)
    except _exceptions.PlantainError as error:
        return _lost(error, address)
    finally:
        placement.record_forward_end(
            state.placement_state,
            address,
            running=None if reply is None else reply.running,
            limit=None if reply is None else reply.limit,
            refused=reply is None or reply.error in REFUSALS,
            now=trio.current_time(),
        )
    if reply.response is not None:
        return Ended(outcome=_types.Outcome.RUN, response=reply.response)
    kind = reply.error or _exceptions.ErrorKind.INTERNAL
    return dataclasses.replace(refusal(kind, reply.detail), ran_by=address)


async def _call_execute(
    ports: context.Ports, job: checks.Job, address: _types.Address
) -> messages.ExecuteReply:
    left = max(job.deadline - trio.current_time(), 0.001)
    request = messages.ExecuteRequest(
        service=job.service,
        request=job.request,
        timeout_milliseconds=max(int(left * 1000), 1),
    )
    with trio.move_on_after(left + REPLY_MARGIN_SECONDS):
        return await ports.execute(address, request, left + REPLY_MARGIN_SECONDS)
    raise _exceptions.PlantainError(_exceptions.ErrorKind.UPSTREAM_TIMEOUT)


def _lost(error: _exceptions.PlantainError, address: _types.Address) -> Ended:
    kind = error.kind
    if kind is _exceptions.ErrorKind.PEER_UNAVAILABLE:
        kind = _exceptions.ErrorKind.UPSTREAM_FAILED
    return dataclasses.replace(refusal(kind, error.detail), ran_by=address)


def refusal(kind: _exceptions.ErrorKind, detail: str = "") -> Ended:
    """Return the end of an attempt that has the outcome of the error table."""
    outcome = _exceptions.ANSWERS[kind].outcome
    return Ended(outcome=outcome, error=kind, detail=detail)
