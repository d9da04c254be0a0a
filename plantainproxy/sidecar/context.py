"""What one sidecar knows for its requests, and the calls that they need."""

from collections import abc
import dataclasses

import trio

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import admission, claims, placement, retry
from plantainproxy.rpc import messages
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import upstream
from plantainproxy.wire import keyring

TICKET_HEADER = b"idempotency-ticket"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What the pipeline needs of the world; calls take a timeout in seconds."""

    run: upstream.Run
    """Runs a request on the own upstream."""
    execute: abc.Callable[
        [_types.Address, messages.ExecuteRequest, float],
        abc.Awaitable[messages.ExecuteReply],
    ]
    """Runs a request at a sibling; raises ``PlantainError`` for a lost answer. Any
    kind whose outcome is "not run" must mean that the request was not sent or was
    refused unseen, except PEER_UNAVAILABLE, which counts as unknown."""
    claims: claim_calls.Ports
    start_soon: abc.Callable[[abc.Callable[[], abc.Awaitable[None]]], None]
    """Starts a task that outlives the caller's connection."""
    random: abc.Callable[[], float]
    """Draws a random number in [0, 1)."""


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """All that one sidecar knows for its requests."""

    local_address: _types.Address
    """The sidecar's own gRPC address."""
    table: claims.Table
    max_body_bytes: int
    default_timeout_seconds: float
    view: model.PoolView | None = None
    ring: keyring.Keyring | None = None
    records: tuple[_types.MemberRecord, ...] = ()
    stopping: bool = False
    """Whether the sidecar is on its planned way out."""
    drained_since: float | None = None
    """When operators began to drain the own upstream."""
    admission_state: admission.State = dataclasses.field(
        default_factory=admission.State
    )
    placement_state: placement.State = dataclasses.field(
        default_factory=placement.State
    )
    retry_budget: retry.RetryBudget = dataclasses.field(default_factory=retry.RetryBudget)
    admission_queue: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )
    """Requests that wait for a place on the own upstream, first come first served."""
    ticket_cache: claim_calls.TicketCache = dataclasses.field(default_factory=claim_calls.TicketCache)


def apply_view(state: State, view: model.PoolView, *, now: float) -> None:
    """Take a newer view of the pool; an older one has no effect."""
    if state.view is not None and view.revision < state.view.revision:
        return
    state.view = view
    if not view.drained:
        state.drained_since = None
    elif state.drained_since is None:
        state.drained_since = now
    _update_placement(state)


def apply_siblings(state: State, records: tuple[_types.MemberRecord, ...]) -> None:
    """Take the members of the pool as a home balancer knows them."""
    state.records = records
    _update_placement(state)


def apply_health_report(state: State, report: admission.HealthReport | None) -> None:
    """Take a health report of the own upstream; ``None`` where nobody answered."""
    now = trio.current_time()
    if report is None:
        admission.record_unreachable(state.admission_state, now=now)
        return
    admission.apply_health_report(state.admission_state, report, now=now)


def ticket_headers(state: State) -> tuple[messages.Header, ...]:
    """Return the header that gives a caller a ticket.

    A sidecar on its way out gives none, as it could not vouch for it for long.
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
        state.placement_state, state.records, local_address=state.local_address, domains_out=domains_out
    )
