"""State of one sidecar's request pipeline and the calls that the pipeline makes."""

from collections import abc
import dataclasses

import trio

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import admission, claims, pauses, placement, retry
from plantainproxy.rpc import messages
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import upstream
from plantainproxy.wire import keyring

TICKET_HEADER = b"idempotency-ticket"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """External calls of the request pipeline; timeouts are in seconds."""

    run: upstream.Run
    """Runs a request on the local upstream."""
    execute: abc.Callable[
        [_types.Address, messages.ExecuteRequest, float],
        abc.Awaitable[messages.ExecuteReply],
    ]
    """Runs a request at a sibling; raises ``PlantainError`` when no reply arrives.

    An error kind whose outcome is "not run" must mean that the request was not sent or
    was refused before it was processed. PEER_UNAVAILABLE is the exception: its outcome
    counts as unknown."""
    claims: claim_calls.Ports
    start_soon: abc.Callable[[abc.Callable[[], abc.Awaitable[None]]], None]
    """Starts a task that outlives the caller's connection."""
    random: abc.Callable[[], float]
    """Returns a random number in [0, 1)."""


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """State of one sidecar's request pipeline."""

    local_address: _types.Address
    """gRPC address of this sidecar."""
    table: claims.Table
    max_body_bytes: int
    default_timeout_seconds: float
    view: model.PoolView | None = None
    ring: keyring.Keyring | None = None
    records: tuple[_members.MemberRecord, ...] = ()
    stopping: bool = False
    """Whether a planned stop of the sidecar is in progress."""
    drained_since: float | None = None
    """When operators began to drain the local upstream; ``None`` if it is undrained."""
    admission_state: admission.State = dataclasses.field(
        default_factory=admission.State
    )
    placement_state: placement.State = dataclasses.field(
        default_factory=placement.State
    )
    retry_budget: retry.RetryBudget = dataclasses.field(
        default_factory=retry.RetryBudget
    )
    admission_queue: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )
    """Requests that wait for capacity on the local upstream, first in, first out."""
    pause_detector: pauses.Detector = dataclasses.field(
        default_factory=lambda: pauses.Detector(last_run_at=pauses.clock())
    )
    ticket_cache: claim_calls.TicketCache = dataclasses.field(
        default_factory=claim_calls.TicketCache
    )


def apply_view(state: State, view: model.PoolView, *, now: float) -> None:
    """Replace the view of the pool unless the given one is older."""
    if state.view is not None and view.revision < state.view.revision:
        return
    state.view = view
    if not view.drained:
        state.drained_since = None
    elif state.drained_since is None:
        state.drained_since = now
    _update_placement(state)


def apply_siblings(state: State, records: tuple[_members.MemberRecord, ...]) -> None:
    """Replace the member records of the pool with those of a home balancer."""
    state.records = records
    _update_placement(state)


def apply_health_report(state: State, report: admission.HealthReport | None) -> None:
    """Apply a health report of the local upstream; ``None`` means no response."""
    now = trio.current_time()
    if report is None:
        admission.record_unreachable(state.admission_state, now=now)
        return
    admission.apply_health_report(state.admission_state, report, now=now)


def ticket_headers(state: State) -> tuple[messages.Header, ...]:
    """Return the header that carries an idempotency ticket.

    A stopping sidecar issues none: it is the home of its tickets' keys, and its claim
    table is lost when the process ends.
    """
    if state.ring is None or state.stopping:
        return ()
    text = claim_calls.issue_ticket(
        state.table, state.ring, state.ticket_cache, now=trio.current_time()
    )
    return (messages.Header(name=TICKET_HEADER, value=text.encode()),)


def _update_placement(state: State) -> None:
    domains_out = frozenset(() if state.view is None else state.view.domains_out)
    placement.update_siblings(
        state.placement_state,
        state.records,
        local_address=state.local_address,
        domains_out=domains_out,
    )
