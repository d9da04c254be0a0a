"""Runs one request in one or more attempts on the local upstream or at siblings.

A request is retried within the retry budget. Its outcome is "not run" only if no
attempt may have run it.
"""

import dataclasses

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import admission, placement, retry
from plantainproxy.rpc import messages
from plantainproxy.sidecar import checks, context

DRAIN_GRACE_SECONDS = 3.0
"""Time for which a draining upstream still runs requests that no sibling accepts."""
REPLY_GRACE_SECONDS = 0.25
"""Time after the deadline in which a sibling may still reply that it has passed."""
MAX_QUEUE_SECONDS = 0.25
"""How long a request may wait for capacity before it is refused."""
MAX_QUEUED_PER_PERMIT = 4
"""Queue length per unit of the local upstream's concurrency limit."""
REFUSAL_KINDS = frozenset(
    {
        _exceptions.ErrorKind.OVERLOADED,
        _exceptions.ErrorKind.NO_UPSTREAM,
        _exceptions.ErrorKind.NOT_READY,
    }
)
"""Error kinds by which one sidecar refuses a request that another may accept."""
RETRIABLE_KINDS = REFUSAL_KINDS | {_exceptions.ErrorKind.UPSTREAM_FAILED}
"""Error kinds after which another attempt is considered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of one attempt, or of all attempts of a request."""

    outcome: _types.Outcome
    response: messages.Response | None = None
    error: _exceptions.ErrorKind | None = None
    detail: str = ""
    tried_sidecar: _types.Address | None = None
    """Sidecar of the upstream that was tried; ``None`` if no upstream was tried."""


async def run(
    state: context.State, ports: context.Ports, checked: checks.CheckedRequest
) -> AttemptResult:
    """Attempt the request until it gets a response or no retry is allowed.

    Without a response, the outcome is unknown if any attempt may have run the request.
    """
    failed_sidecars: frozenset[_types.Address] = frozenset()
    previous: AttemptResult | None = None
    may_have_run = False
    attempt = 0
    queue_until = min(trio.current_time() + MAX_QUEUE_SECONDS, checked.deadline)
    while True:
        attempt += 1
        result = await _attempt(state, ports, checked, failed_sidecars)
        if result.response is not None:
            return result
        may_have_run |= result.outcome is not _types.Outcome.NOT_RUN
        delay_seconds = _retry_delay(state, ports, checked, result, attempt)
        if delay_seconds is None and await _wait_for_capacity(
            state, checked, result, queue_until
        ):
            failed_sidecars = frozenset()
            continue
        if result.tried_sidecar is None and previous is not None:
            return _with_unknown_outcome(previous) if may_have_run else previous
        if delay_seconds is None or result.tried_sidecar is None:
            return _with_unknown_outcome(result) if may_have_run else result
        failed_sidecars |= {result.tried_sidecar}
        previous = result
        await trio.sleep(delay_seconds)


def _retry_delay(
    state: context.State,
    ports: context.Ports,
    checked: checks.CheckedRequest,
    result: AttemptResult,
    attempt: int,
) -> float | None:
    if result.error not in RETRIABLE_KINDS or result.tried_sidecar is None:
        return None
    return retry.retry_delay(
        state.retry_budget,
        retry.FailedAttempt(
            attempt=attempt, repeatable=checked.repeatable, outcome=result.outcome
        ),
        draw=ports.random(),
        now=trio.current_time(),
        deadline=checked.deadline,
    )


async def _wait_for_capacity(
    state: context.State,
    checked: checks.CheckedRequest,
    result: AttemptResult,
    until: float,
) -> bool:
    """Wait until a request on the local upstream ends; return whether one did.

    Only a request that was refused everywhere for overload waits, so that a short burst
    is queued instead of refused.
    """
    if result.error is not _exceptions.ErrorKind.OVERLOADED:
        return False
    if result.outcome is not _types.Outcome.NOT_RUN:
        return False
    now = trio.current_time()
    local = local_load(state, state.view or checked.view, checked.pool, now=now)
    if local.draining or not local.available or not local.running:
        return False
    if len(state.admission_queue) >= local.limit * MAX_QUEUED_PER_PERMIT:
        return False
    with trio.move_on_at(until):
        await state.admission_queue.park()
        return True
    return False


def _with_unknown_outcome(result: AttemptResult) -> AttemptResult:
    return dataclasses.replace(result, outcome=_types.Outcome.UNKNOWN)


async def _attempt(
    state: context.State,
    ports: context.Ports,
    checked: checks.CheckedRequest,
    failed_sidecars: frozenset[_types.Address],
) -> AttemptResult:
    now = trio.current_time()
    if now >= checked.deadline:
        return error_result(_exceptions.ErrorKind.DEADLINE_EXPIRED)
    draws = (ports.random(), ports.random(), ports.random())
    decision = _place(state, checked, failed_sidecars, draws=draws, now=now)
    if decision.error is not None:
        return error_result(decision.error)
    if decision.sibling is None:
        return await run_local(state, ports, checked)
    result = await _forward(state, ports, checked, decision.sibling)
    if result.error in REFUSAL_KINDS and _local_accepts(
        state, checked, failed_sidecars
    ):
        return await run_local(state, ports, checked)
    return result


def _local_accepts(
    state: context.State,
    checked: checks.CheckedRequest,
    failed_sidecars: frozenset[_types.Address],
) -> bool:
    """Return whether a request that a sibling refused may run locally.

    Such a local run takes nothing from the retry budget.
    """
    now = trio.current_time()
    local = local_load(state, state.view or checked.view, checked.pool, now=now)
    if local.draining or state.local_address in failed_sidecars:
        return False
    return local.admits and now < checked.deadline


def _place(
    state: context.State,
    checked: checks.CheckedRequest,
    failed_sidecars: frozenset[_types.Address],
    *,
    draws: tuple[float, float, float],
    now: float,
) -> placement.Placement:
    """Choose where to run a request; siblings where it failed are excluded.

    If no other sidecar accepts it, the local upstream is the last resort: even if the
    request failed there, or if it is draining but within the drain grace.
    """
    local = local_load(state, state.view or checked.view, checked.pool, now=now)
    candidate = local
    if state.local_address in failed_sidecars:
        candidate = dataclasses.replace(local, admits=False)
    decision = placement.place(
        state.placement_state,
        local=candidate,
        draws=draws,
        now=now,
        exclude=failed_sidecars,
    )
    if decision.error is None:
        return decision
    if local.admits and not local.draining:
        return placement.LOCAL
    if _is_within_drain_grace(state, local, now=now):
        return placement.LOCAL
    return decision


def local_load(
    state: context.State, view: model.PoolView, pool: model.Pool, *, now: float
) -> placement.LocalUpstream:
    """Return the state of the local upstream for placement."""
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


def _is_within_drain_grace(
    state: context.State, local: placement.LocalUpstream, *, now: float
) -> bool:
    """Return whether the local upstream admits a request within the drain grace.

    The grace begins when operators drain the upstream. Within it, running a request
    here is preferred to refusing it. The grace does not apply to a planned stop or to
    a failure domain that was taken out.
    """
    view = state.view
    if state.stopping or view is None or not view.domain_in or not local.admits:
        return False
    if state.drained_since is None:
        return False
    return now - state.drained_since < DRAIN_GRACE_SECONDS


async def run_local(
    state: context.State, ports: context.Ports, checked: checks.CheckedRequest
) -> AttemptResult:
    """Run a request on the local upstream and record the result for admission."""
    started_at = trio.current_time()
    signal = admission.Signal.NEUTRAL
    admission.record_request_start(state.admission_state)
    try:
        result = await ports.run(checked.request, checked.deadline - started_at)
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
            max_running=checked.pool.max_running,
            now=now,
        )
        state.admission_queue.unpark()
    if result.response is not None:
        return AttemptResult(outcome=_types.Outcome.RUN, response=result.response)
    kind = result.error or _exceptions.ErrorKind.INTERNAL
    return dataclasses.replace(
        error_result(kind, result.detail), tried_sidecar=state.local_address
    )


async def _forward(
    state: context.State,
    ports: context.Ports,
    checked: checks.CheckedRequest,
    address: _types.Address,
) -> AttemptResult:
    """Forward the request to a sibling.

    Without a reply the outcome is unknown, unless the request was not sent.
    """
    reply: messages.ExecuteReply | None = None
    placement.record_forward_start(state.placement_state, address)
    try:
        reply = await _call_execute(ports, checked, address)
    except _exceptions.PlantainError as error:
        return _failed_call_result(error, address)
    finally:
        placement.record_forward_end(
            state.placement_state,
            address,
            running=None if reply is None else reply.running,
            limit=None if reply is None else reply.limit,
            refused=reply is None or reply.error in REFUSAL_KINDS,
            now=trio.current_time(),
        )
    if reply.response is not None:
        return AttemptResult(outcome=_types.Outcome.RUN, response=reply.response)
    kind = reply.error or _exceptions.ErrorKind.INTERNAL
    return dataclasses.replace(error_result(kind, reply.detail), tried_sidecar=address)


async def _call_execute(
    ports: context.Ports, checked: checks.CheckedRequest, address: _types.Address
) -> messages.ExecuteReply:
    remaining_seconds = max(checked.deadline - trio.current_time(), 0.001)
    request = messages.ExecuteRequest(
        service=checked.service,
        request=checked.request,
        timeout_milliseconds=max(int(remaining_seconds * 1000), 1),
    )
    with trio.move_on_after(remaining_seconds + REPLY_GRACE_SECONDS):
        return await ports.execute(
            address, request, remaining_seconds + REPLY_GRACE_SECONDS
        )
    raise _exceptions.PlantainError(_exceptions.ErrorKind.UPSTREAM_TIMEOUT)


def _failed_call_result(
    error: _exceptions.PlantainError, address: _types.Address
) -> AttemptResult:
    kind = error.kind
    if kind is _exceptions.ErrorKind.PEER_UNAVAILABLE:
        kind = _exceptions.ErrorKind.UPSTREAM_FAILED
    return dataclasses.replace(error_result(kind, error.detail), tried_sidecar=address)


def error_result(kind: _exceptions.ErrorKind, detail: str = "") -> AttemptResult:
    """Return the result for an error kind, with the outcome from the error table."""
    outcome = _exceptions.ANSWERS[kind].outcome
    return AttemptResult(outcome=outcome, error=kind, detail=detail)
