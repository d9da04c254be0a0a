"""The claims table of a home and the encoding of its tickets."""

import collections
from collections import abc
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import claims, tickets
from plantainproxy.rpc import messages
from plantainproxy.wire import keyring

HOME = _types.Address("127.0.0.1", 7001)
GENERATION = 1_700_000_000_000
RING = keyring.Keyring(
    model.KeySet(
        revision=1,
        current=1,
        keys=tuple(model.Key(number=n, secret=bytes((n,)) * 32) for n in (1, 2)),
    )
)
ANSWER = messages.Response(status=200, body=b"done")


def _table(*, max_entries: int = 8, max_bytes: int = 64) -> claims.Table:
    return claims.Table(
        home=HOME,
        generation=GENERATION,
        tag=tickets.pool_tag("fleet"),
        max_entries=max_entries,
        max_bytes=max_bytes,
    )


def _claim(
    table: claims.Table,
    key: str = "t.a",
    *,
    now: float = 0.0,
    fingerprint: bytes = b"f",
    issued: int = 0,
) -> messages.ClaimReply:
    ticket = tickets.Ticket(HOME, GENERATION, table.tag, issued)
    request = messages.ClaimRequest(
        key=key, fingerprint=fingerprint, timeout_milliseconds=1000
    )
    return claims.claim(table, request, ticket=ticket, now=now)


def _settle(
    table: claims.Table,
    grant: int,
    outcome: _types.Outcome,
    key: str = "t.a",
    response: messages.Response | None = None,
) -> None:
    claims.settle(
        table,
        messages.SettleRequest(
            key=key, grant=grant, outcome=outcome, response=response
        ),
    )


@pytest.mark.parametrize(
    ("outcome", "response", "expected"),
    [
        (None, None, messages.ClaimReply(error=_exceptions.ErrorKind.STILL_RUNNING)),
        (_types.Outcome.RUN, ANSWER, messages.ClaimReply(response=ANSWER)),
        (_types.Outcome.NOT_RUN, None, messages.ClaimReply(granted=True, grant=2)),
        (
            _types.Outcome.UNKNOWN,
            None,
            messages.ClaimReply(error=_exceptions.ErrorKind.OUTCOME_UNKNOWN),
        ),
    ],
)
def test_second_claim_depends_on_how_the_first_ended(
    outcome: _types.Outcome | None,
    response: messages.Response | None,
    expected: messages.ClaimReply,
) -> None:
    """Only an attempt that did not run releases the key."""
    table = _table()
    first = _claim(table)
    assert first.granted
    if outcome is not None:
        _settle(table, first.grant, outcome, response=response)
    assert _claim(table) == expected


def test_key_of_another_request_is_refused() -> None:
    """A key that returns with a different request fingerprint is rejected."""
    table = _table()
    _claim(table)
    reply = _claim(table, fingerprint=b"other")
    assert reply.error is _exceptions.ErrorKind.KEY_REUSED


@pytest.mark.parametrize(
    "ticket",
    [
        tickets.Ticket(HOME, GENERATION - 1, tickets.pool_tag("fleet"), 0),
        tickets.Ticket(HOME, GENERATION, tickets.pool_tag("firmware"), 0),
        tickets.Ticket(HOME._replace(port=1), GENERATION, tickets.pool_tag("fleet"), 0),
        tickets.Ticket(HOME, GENERATION, tickets.pool_tag("fleet"), 60_000),
    ],
)
def test_ticket_that_the_home_cannot_verify_is_unknown(
    ticket: tickets.Ticket,
) -> None:
    """The outcome is unknown if this home cannot have issued the ticket.

    The tickets are of another generation, pool or home, or from the future.
    """
    request = messages.ClaimRequest(
        key="t.a", fingerprint=b"f", timeout_milliseconds=1000
    )
    reply = claims.claim(_table(), request, ticket=ticket, now=1.0)
    assert reply.error is _exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_entry_outlives_its_ticket() -> None:
    """A key is removed only when its ticket is too old to be granted."""
    table = _table()
    lifetime = tickets.LIFETIME_MILLISECONDS / 1000
    _settle(table, _claim(table).grant, _types.Outcome.RUN, response=ANSWER)
    assert _claim(table, now=lifetime).response == ANSWER
    late = _claim(table, now=lifetime + 0.01)
    assert late.error is _exceptions.ErrorKind.OUTCOME_UNKNOWN
    assert not table.entries
    assert table.stored_bytes == 0


def test_grant_that_is_never_settled_becomes_unknown() -> None:
    """If the holder never settles, the key is not granted to anyone else."""
    table = _table()
    _claim(table)
    late = _claim(table, now=1.0 + claims.SETTLE_GRACE_SECONDS + 0.01)
    assert late.error is _exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_settling_of_an_earlier_grant_has_no_effect() -> None:
    """A repeated "not run" does not release the key of a later holder."""
    table = _table()
    first = _claim(table)
    _settle(table, first.grant, _types.Outcome.NOT_RUN)
    assert _claim(table).granted
    _settle(table, first.grant, _types.Outcome.NOT_RUN)
    assert _claim(table).error is _exceptions.ErrorKind.STILL_RUNNING


@pytest.mark.parametrize(
    ("outcome", "response", "open_seconds"),
    [
        (None, None, 1.0 + claims.SETTLE_GRACE_SECONDS),
        (_types.Outcome.NOT_RUN, None, 1.0),
        (_types.Outcome.RUN, ANSWER, 0.0),
        (_types.Outcome.UNKNOWN, None, 0.0),
    ],
)
def test_key_is_open_while_only_its_home_can_resolve_it(
    outcome: _types.Outcome | None,
    response: messages.Response | None,
    open_seconds: float,
) -> None:
    """A home that stops while a key is open makes a request unknown that never ran."""
    table = _table()
    grant = _claim(table).grant
    if outcome is not None:
        _settle(table, grant, outcome, response=response)
    if open_seconds:
        assert claims.has_open_keys(table, now=open_seconds - 0.01)
    assert not claims.has_open_keys(table, now=open_seconds)


def test_repeated_key_is_closed_when_its_last_grant_is_settled() -> None:
    """The refusal of an earlier attempt must not delay the stop of the home."""
    table = _table()
    _settle(table, _claim(table).grant, _types.Outcome.NOT_RUN)
    grant = _claim(table, now=0.5).grant
    assert claims.has_open_keys(table, now=1.2)
    _settle(table, grant, _types.Outcome.RUN, response=ANSWER)
    assert not claims.has_open_keys(table, now=0.6)


def test_open_keys_are_bounded() -> None:
    """Refused requests that callers do not repeat must not fill the memory."""
    table = _table(max_entries=4)
    for number in range(20):
        key = f"t.{number}"
        grant = _claim(table, key, now=number * 0.01).grant
        _settle(table, grant, _types.Outcome.NOT_RUN, key)
        assert len(table.open_until) <= 4
    _claim(table, "t.late", now=10.0)
    assert list(table.open_until) == ["t.late"]


def test_full_table_refuses_new_keys_and_keeps_old_ones() -> None:
    """At the entry bound new keys are refused and no grant is evicted."""
    table = _table(max_entries=1)
    _claim(table, "t.a")
    assert _claim(table, "t.b").error is _exceptions.ErrorKind.OVERLOADED
    assert _claim(table, "t.a").error is _exceptions.ErrorKind.STILL_RUNNING


def test_answers_beyond_the_byte_bound_become_unknown() -> None:
    """The oldest stored response is evicted first; its key is not granted again."""
    table = _table(max_bytes=6)
    for key in ("t.a", "t.b"):
        grant = _claim(table, key).grant
        _settle(table, grant, _types.Outcome.RUN, key, ANSWER)
    assert _claim(table, "t.a").error is _exceptions.ErrorKind.OUTCOME_UNKNOWN
    assert _claim(table, "t.b").response == ANSWER
    assert table.stored_bytes == 4


@dataclasses.dataclass
class _Holder:
    """Model of a sidecar with a grant: it runs and settles at most one outcome."""

    key: str
    grant: int
    executed: bool = False
    settled_outcome: _types.Outcome | None = None


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["claim", "claim", "run", "settle", "wait"]),
        strategies.integers(0, 2),
        strategies.sampled_from([1.0, 1.0, 700.0]),
    ),
    min_size=15,
    max_size=40,
)


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(steps=_STEPS)
def test_no_interleaving_runs_a_key_twice(
    steps: list[tuple[str, int, float]],
) -> None:
    """Holders run and settle late, repeatedly or never while keys are claimed again."""
    table = _table(max_entries=2, max_bytes=6)
    issued: dict[str, int] = {}
    holders: list[_Holder] = []
    runs: collections.Counter[str] = collections.Counter()
    now = 0.0
    for action, number, wait in steps:
        key = f"t.{number % 2}"
        now += wait if action == "wait" else 0.0
        if action == "claim":
            at = issued.setdefault(key, tickets.round_issue_time(int(now * 1000)))
            reply = _claim(table, key, now=now, issued=at)
            if reply.granted:
                holders.append(_Holder(key, reply.grant))
        holder = holders[-1 - number % len(holders)] if holders else None
        if action == "run" and holder is not None:
            _run(holder, runs)
        if action == "settle" and holder is not None:
            _settle_holder(table, holder)
        assert max(runs.values(), default=0) <= 1
        assert len(table.entries) <= table.max_entries
        assert 0 <= table.stored_bytes <= table.max_bytes


def _run(holder: _Holder, runs: "collections.Counter[str]") -> None:
    """Execute as a holder does: once, and never after it settled as "not run"."""
    if holder.executed or holder.settled_outcome is not None:
        return
    holder.executed = True
    runs[holder.key] += 1


def _settle_holder(table: claims.Table, holder: _Holder) -> None:
    """Settle with the actual outcome, or repeat the previous settlement."""
    if holder.settled_outcome is None:
        ran = holder.executed
        holder.settled_outcome = _types.Outcome.RUN if ran else _types.Outcome.NOT_RUN
    response = ANSWER if holder.settled_outcome is _types.Outcome.RUN else None
    _settle(table, holder.grant, holder.settled_outcome, holder.key, response)


def test_ticket_round_trips_through_its_encoding() -> None:
    """A ticket decodes to its original value under each key."""
    ticket = tickets.Ticket(HOME, GENERATION, 77, 60_000)
    for key in RING.by_number.values():
        assert tickets.decode(RING, tickets.encode(key, ticket) + ".x") == ticket


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda text: text, _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: text + ".", _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: text[:-2] + ".x", _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: text[:-4] + "AAAA.x", _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: "é" + text[1:] + ".x", _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: text + "." + "x" * 300, _exceptions.ErrorKind.TICKET_REQUIRED),
        (lambda text: "_w" + text[2:] + ".x", _exceptions.ErrorKind.OUTCOME_UNKNOWN),
        (lambda text: "random.x", _exceptions.ErrorKind.TICKET_REQUIRED),
    ],
)
def test_key_without_a_valid_ticket_is_refused(
    change: abc.Callable[[str], str],
    expected: _exceptions.ErrorKind,
) -> None:
    """Forged tickets are rejected; an inactive encryption key gives "unknown"."""
    ticket = tickets.Ticket(HOME, GENERATION, 77, 60_000)
    text = change(tickets.encode(RING.current, ticket))
    with pytest.raises(_exceptions.PlantainError) as caught:
        tickets.decode(RING, text)
    assert caught.value.kind is expected
