"""Handles a caller's request from its receipt to its single final response.

A request runs on the local upstream or on a sibling's, or gets a response from the
error table. The outcome in an error response covers all attempts: "not run" means that
no attempt ran and, with an idempotency key, that no earlier request with that key ran
either.
"""

import dataclasses
import logging

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.core import admission, pauses, problem, retry, tickets
from plantainproxy.rpc import messages
from plantainproxy.sidecar import attempts, checks, claims, context

NEVER_RUN_KINDS = frozenset(
    {_exceptions.ErrorKind.BAD_REQUEST, _exceptions.ErrorKind.TICKET_REQUIRED}
)
"""Errors before a claim that any earlier request with the key got as well.

They rule out that such a request ran.
"""

_log = logging.getLogger("plantain.requests")


@dataclasses.dataclass(slots=True)
class _PendingResponse:
    """Response to a waiting caller; it is sent once it is set."""

    ready: trio.Event = dataclasses.field(default_factory=trio.Event)
    response: messages.Response | None = None


async def handle(
    state: context.State,
    ports: context.Ports,
    request: messages.Request,
    *,
    service: _types.Address,
) -> messages.Response:
    """Return the response to one caller's request.

    The response carries a ticket only if this sidecar is stopping and a sibling's
    response contained one. Otherwise the connection task adds the ticket of
    ``context.ticket_headers``.
    """
    retry.deposit(state.retry_budget)
    try:
        response = await _respond(state, ports, request, service)
    except Exception:
        _log.exception("Request failed with an internal error.")
        response = problem.response(_exceptions.ErrorKind.INTERNAL)
    if not state.stopping:
        response = _without_ticket(response)
    if request.method == "HEAD":
        response = dataclasses.replace(response, body=b"")
    return response


async def handle_execute(
    state: context.State, ports: context.Ports, request: messages.ExecuteRequest
) -> messages.ExecuteReply:
    """Run a sibling's request on the local upstream, or refuse it.

    The request is never forwarded again. The sender's time also passes while this
    process is paused, so a request that may have waited that long is refused.
    """
    waited = pauses.waited_seconds(state.pause_detector, now=pauses.clock())
    deadline = trio.current_time() + request.timeout_milliseconds / 1000 - waited
    checked = _admit_execute(state, request, deadline)
    if isinstance(checked, _exceptions.ErrorKind):
        return _execute_reply(
            state, attempts.AttemptResult(outcome=_types.Outcome.NOT_RUN, error=checked)
        )
    result = await attempts.run_local(state, ports, checked)
    return _execute_reply(state, result)


def _refusal_response(
    error: _exceptions.PlantainError, *, keyed: bool
) -> messages.Response:
    """Return the response to an error before any claim or dispatch.

    With an idempotency key the outcome is unknown unless the error rules out that an
    earlier request with the key ran.
    """
    outcome = None
    if keyed and error.kind not in NEVER_RUN_KINDS:
        outcome = _types.Outcome.UNKNOWN
    return problem.response(error.kind, error.detail, outcome=outcome)


async def _respond(
    state: context.State,
    ports: context.Ports,
    request: messages.Request,
    service: _types.Address,
) -> messages.Response:
    key = checks.header_value(request, checks.KEY_HEADER)
    keyed = key is not None and request.method not in retry.SAFE_METHODS
    try:
        checked = checks.check(state, request, service, keyed=keyed)
        if not keyed:
            return _result_response(await attempts.run(state, ports, checked))
        key_text = (key or b"").decode("latin-1")
        ticket = _decode_ticket(state, key_text)
    except _exceptions.PlantainError as error:
        return _refusal_response(error, keyed=keyed)
    pending = _PendingResponse()

    async def run() -> None:
        await _run_claimed(state, ports, checked, key_text, ticket, pending)

    ports.start_soon(run)
    await pending.ready.wait()
    assert pending.response is not None
    return pending.response


def _decode_ticket(state: context.State, key: str) -> tickets.Ticket:
    if state.ring is None:
        raise _exceptions.PlantainError(_exceptions.ErrorKind.NOT_READY)
    ticket = tickets.decode(state.ring, key)
    if ticket.tag != state.table.tag:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.OUTCOME_UNKNOWN,
            "the ticket is of another pool",
        )
    return ticket


async def _run_claimed(
    state: context.State,
    ports: context.Ports,
    checked: checks.CheckedRequest,
    key: str,
    ticket: tickets.Ticket,
    pending: _PendingResponse,
) -> None:
    """Claim, run and settle a request, even if its caller disconnects."""
    try:
        reply = await _claim(state, ports, checked, key, ticket)
        if not reply.granted:
            _deliver(pending, _claim_response(reply))
            return
        result = await attempts.run(state, ports, checked)
        _deliver(pending, _result_response(result))
    except Exception:
        _log.exception("Request with a claimed key failed with an internal error.")
        _deliver(pending, problem.response(_exceptions.ErrorKind.INTERNAL))
        return
    settle_request = messages.SettleRequest(
        key=key, grant=reply.grant, outcome=result.outcome, response=result.response
    )
    await claims.settle(state.table, ports.claims, settle_request, ticket=ticket)


async def _claim(
    state: context.State,
    ports: context.Ports,
    checked: checks.CheckedRequest,
    key: str,
    ticket: tickets.Ticket,
) -> messages.ClaimReply:
    remaining_seconds = checked.deadline - trio.current_time()
    request = messages.ClaimRequest(
        key=key,
        fingerprint=claims.fingerprint(checked.request),
        timeout_milliseconds=int(remaining_seconds * 1000),
    )
    return await claims.claim(
        state.table,
        ports.claims,
        request,
        ticket=ticket,
        timeout_seconds=remaining_seconds,
    )


def _deliver(pending: _PendingResponse, response: messages.Response) -> None:
    pending.response = response
    pending.ready.set()


def _claim_response(reply: messages.ClaimReply) -> messages.Response:
    if reply.response is not None:
        return reply.response
    return problem.response(reply.error or _exceptions.ErrorKind.OUTCOME_UNKNOWN)


def _admit_execute(
    state: context.State, request: messages.ExecuteRequest, deadline: float
) -> checks.CheckedRequest | _exceptions.ErrorKind:
    """Check a sibling's request; return the error kind if it is refused."""
    try:
        view, pool = checks.require_pool(state, request.service)
    except _exceptions.PlantainError as error:
        return error.kind
    local = attempts.local_load(state, view, pool, now=trio.current_time())
    if local.draining or not local.available:
        return _exceptions.ErrorKind.NO_UPSTREAM
    if not local.admits:
        return _exceptions.ErrorKind.OVERLOADED
    if deadline <= trio.current_time():
        return _exceptions.ErrorKind.DEADLINE_EXPIRED
    return checks.CheckedRequest(
        request=request.request,
        service=request.service,
        view=view,
        pool=pool,
        deadline=deadline,
        repeatable=False,
    )


def _execute_reply(
    state: context.State, result: attempts.AttemptResult
) -> messages.ExecuteReply:
    max_running = 1
    if state.view is not None and state.view.pool is not None:
        max_running = state.view.pool.max_running
    response = result.response
    if response is not None:
        response = _without_ticket(response)
        headers = response.headers + context.ticket_headers(state)
        response = dataclasses.replace(response, headers=headers)
    return messages.ExecuteReply(
        running=state.admission_state.running,
        limit=admission.limit(
            state.admission_state, max_running=max_running, now=trio.current_time()
        ),
        response=response,
        error=result.error,
        detail=result.detail,
    )


def _result_response(result: attempts.AttemptResult) -> messages.Response:
    if result.response is not None:
        return result.response
    kind = result.error or _exceptions.ErrorKind.INTERNAL
    return problem.response(kind, result.detail, outcome=result.outcome)


def _without_ticket(response: messages.Response) -> messages.Response:
    headers = tuple(
        field
        for field in response.headers
        if field.name.lower() != context.TICKET_HEADER
    )
    return dataclasses.replace(response, headers=headers)
