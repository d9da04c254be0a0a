"""Tests of the request pipeline, driven through its ports without sockets."""

import collections
from collections import abc
import dataclasses
import json
import random

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import admission, pauses, tickets
from plantainproxy.core import claims as claim_table
from plantainproxy.rpc import messages
from plantainproxy.sidecar import attempts, claims, context, requests, upstream
from plantainproxy.wire import keyring

SERVICE = _types.Address("10.0.0.1", 443)
RING = keyring.Keyring(
    model.KeySet(revision=1, current=1, keys=(model.Key(number=1, secret=b"s" * 32),))
)
VIEW = model.PoolView(
    revision=1,
    pool=model.Pool(name="fleet"),
    services=(SERVICE,),
    domain_number=0,
    domain_in=True,
    drained=False,
)
Kind = _exceptions.ErrorKind
Outcome = _types.Outcome


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """Sidecars of one pool in one process and a simulated network that loses calls."""

    nursery: trio.Nursery
    rng: random.Random
    states: dict[_types.Address, context.State] = dataclasses.field(
        default_factory=dict
    )
    runs: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    """Executions by request token."""
    ran_at: "collections.Counter[_types.Address]" = dataclasses.field(
        default_factory=collections.Counter
    )
    results: list[upstream.Result] = dataclasses.field(default_factory=list)
    """Next results of the upstreams; a success when the list is empty."""
    service_seconds: float = 0.01
    loss: float = 0.0

    async def run(
        self, address: _types.Address, request: messages.Request, timeout: float
    ) -> upstream.Result:
        """Simulate the upstream of one sidecar."""
        result = self.results.pop(0) if self.results else None
        if result is not None and result.error is not None:
            if _exceptions.ANSWERS[result.error].outcome is not Outcome.NOT_RUN:
                self.runs[_token(request)] += 1
            return result
        self.runs[_token(request)] += 1
        self.ran_at[address] += 1
        with trio.move_on_after(timeout):
            await trio.sleep(self.service_seconds)
            response = messages.Response(status=200, body=request.body)
            return upstream.Result(signal=admission.Signal.SUCCESS, response=response)
        return _failed_result(Kind.UPSTREAM_TIMEOUT)

    async def deliver(self, call: abc.Callable[[], abc.Awaitable[object]]) -> object:
        """Deliver a call; lose the request or the reply at random."""
        if self.rng.random() < self.loss:
            raise _exceptions.PlantainError(Kind.PEER_UNAVAILABLE)
        reply = await call()
        await trio.sleep(self.rng.random() * 0.01)
        if self.rng.random() < self.loss:
            raise _exceptions.PlantainError(Kind.PEER_UNAVAILABLE)
        return reply

    def ports(self, address: _types.Address) -> context.Ports:
        """Return the ports of one sidecar."""

        async def run(request: messages.Request, timeout: float) -> upstream.Result:
            return await self.run(address, request, timeout)

        async def execute(
            to: _types.Address, request: messages.ExecuteRequest, _: float
        ) -> messages.ExecuteReply:
            reply = await self.deliver(
                lambda: requests.handle_execute(
                    self.states[to], self.ports(to), request
                )
            )
            assert isinstance(reply, messages.ExecuteReply)
            return reply

        async def claim(
            to: _types.Address, request: messages.ClaimRequest, _: float
        ) -> messages.ClaimReply:
            async def call() -> messages.ClaimReply:
                now = trio.current_time()
                table = self.states[to].table
                return claims.handle_claim(table, RING, request, now=now)

            reply = await self.deliver(call)
            assert isinstance(reply, messages.ClaimReply)
            return reply

        async def settle(
            to: _types.Address, request: messages.SettleRequest, _: float
        ) -> messages.SettleReply:
            async def call() -> messages.SettleReply:
                return claims.handle_settle(self.states[to].table, request)

            reply = await self.deliver(call)
            assert isinstance(reply, messages.SettleReply)
            return reply

        return context.Ports(
            run=run,
            execute=execute,
            claims=claims.Ports(claim=claim, settle=settle),
            start_soon=self.nursery.start_soon,
            random=self.rng.random,
        )

    async def send(
        self, address: _types.Address, request: messages.Request
    ) -> messages.Response:
        """Send a request to one sidecar."""
        return await requests.handle(
            self.states[address], self.ports(address), request, service=SERVICE
        )


def _failed_result(
    kind: _exceptions.ErrorKind,
    signal: admission.Signal = admission.Signal.NEUTRAL,
) -> upstream.Result:
    return upstream.Result(signal=signal, error=kind)


def _token(request: messages.Request) -> str:
    return request.body.decode()


def _address(number: int) -> _types.Address:
    return _types.Address("127.0.0.1", 7000 + number)


def _state(address: _types.Address) -> context.State:
    table = claim_table.Table(
        home=address, generation=address.port, tag=tickets.pool_tag("fleet")
    )
    state = context.State(
        local_address=address,
        table=table,
        max_body_bytes=1000,
        default_timeout_seconds=5.0,
        ring=RING,
    )
    context.apply_view(state, VIEW, now=0.0)
    return state


def _run(
    scenario: abc.Callable[[Fleet], abc.Awaitable[None]],
    *,
    sidecars: int = 2,
    seed: int = 1,
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery=nursery, rng=random.Random(seed))
            records = []
            for number in range(sidecars):
                address = _address(number)
                fleet.states[address] = _state(address)
                records.append(
                    _members.MemberRecord(
                        kind=_types.MemberKind.SIDECAR,
                        rpc=address,
                        domain="matane",
                        generation=address.port,
                        sequence=1,
                    )
                )
            for state in fleet.states.values():
                context.apply_siblings(state, tuple(records))
            await scenario(fleet)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def _request(
    method: str = "GET", *, body: bytes = b"a", **headers: str
) -> messages.Request:
    fields = tuple(
        messages.Header(name=name.replace("_", "-").encode(), value=value.encode())
        for name, value in headers.items()
    )
    return messages.Request(method=method, path="/x", headers=fields, body=body)


def _ticket(fleet: Fleet, number: int = 0) -> str:
    headers = context.ticket_headers(fleet.states[_address(number)])
    return headers[0].value.decode()


def _error_fields(response: messages.Response) -> tuple[str, str]:
    """Return the error kind and the outcome in an error response."""
    document = json.loads(response.body)
    return document["type"].rpartition(":")[2], document["outcome"]


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (_request("CONNECT"), ("bad-request", "not-run")),
        (_request(body=b"x" * 1001), ("too-large", "not-run")),
        (_request(x="y" * 70_000), ("too-large", "not-run")),
        (_request(request_timeout_ms="soon"), ("bad-request", "not-run")),
        (_request(request_timeout_ms="0"), ("deadline-expired", "not-run")),
        (
            _request("POST", idempotency_key="mine"),
            ("ticket-required", "not-run"),
        ),
        (
            _request("POST", idempotency_key="mine", request_timeout_ms="0"),
            ("deadline-expired", "unknown"),
        ),
    ],
)
def test_bad_requests_are_refused_before_anything_runs(
    request_: messages.Request, expected: tuple[str, str]
) -> None:
    """An invalid request causes no execution.

    With a key the outcome of an expired deadline is unknown, since an earlier attempt
    with the same key may have run.
    """

    async def scenario(fleet: Fleet) -> None:
        response = await fleet.send(_address(0), request_)
        assert _error_fields(response) == expected
        assert not fleet.runs

    _run(scenario)


def test_without_view_or_service_nothing_runs() -> None:
    """A sidecar without a view, or for another pool's service, runs nothing."""

    async def scenario(fleet: Fleet) -> None:
        state = fleet.states[_address(0)]
        view_without_service = dataclasses.replace(VIEW, revision=2, services=())
        context.apply_view(state, view_without_service, now=0.0)
        response = await fleet.send(_address(0), _request())
        assert _error_fields(response) == ("no-upstream", "not-run")
        state.view = None
        response = await fleet.send(_address(0), _request())
        assert _error_fields(response) == ("not-ready", "not-run")
        assert not fleet.runs

    _run(scenario)


@pytest.mark.parametrize(
    ("method", "results", "status", "runs"),
    [
        ("GET", [Kind.UPSTREAM_FAILED], 200, 2),
        ("PUT", [Kind.UPSTREAM_FAILED, Kind.UPSTREAM_FAILED], 200, 3),
        ("GET", [Kind.UPSTREAM_FAILED] * 3, 502, 3),
        ("GET", [Kind.UPSTREAM_FAILED, Kind.OVERLOADED, Kind.OVERLOADED], 503, 1),
        ("GET", [Kind.UPSTREAM_TIMEOUT], 504, 1),
        ("POST", [Kind.UPSTREAM_FAILED], 502, 1),
        ("POST", [Kind.OVERLOADED, Kind.NO_UPSTREAM], 200, 1),
        ("POST", [Kind.OVERLOADED, Kind.UPSTREAM_FAILED], 502, 1),
        ("BREW", [Kind.UPSTREAM_FAILED], 502, 1),
        ("POST", [Kind.BAD_REQUEST], 400, 0),
    ],
)
def test_retries_follow_method_and_outcome(
    method: str, results: list[_exceptions.ErrorKind], status: int, runs: int
) -> None:
    """Once a byte was sent, only idempotent methods are retried."""

    async def scenario(fleet: Fleet) -> None:
        fleet.results = [_failed_result(kind) for kind in results]
        response = await fleet.send(_address(0), _request(method))
        assert response.status == status
        assert fleet.runs["a"] == runs
        if status >= 400:
            expected = Outcome.UNKNOWN if runs else Outcome.NOT_RUN
            assert _error_fields(response)[1] == expected.value

    _run(scenario)


def test_lost_answer_of_a_sibling_is_unknown() -> None:
    """The sibling may have run the request, so it is not retried."""

    async def scenario(fleet: Fleet) -> None:
        fleet.states[_address(0)].stopping = True
        fleet.loss = 1.0
        response = await fleet.send(_address(0), _request("POST"))
        assert _error_fields(response) == ("upstream-failed", "unknown")

    _run(scenario)


def test_draining_upstream_gets_no_new_work_while_siblings_take_it() -> None:
    """A stopping sidecar forwards requests and responds with the sibling's ticket.

    It issues no tickets itself, since its claim table is lost when it ends.
    """

    async def scenario(fleet: Fleet) -> None:
        state = fleet.states[_address(0)]
        state.stopping = True
        response = await fleet.send(_address(0), _request())
        assert response.status == 200
        assert fleet.ran_at == {_address(1): 1}
        header_values = {field.name: field.value for field in response.headers}
        ticket_key = header_values[context.TICKET_HEADER].decode() + ".x"
        assert tickets.decode(RING, ticket_key).home == _address(1)
        assert context.ticket_headers(state) == ()

    _run(scenario)


@pytest.mark.parametrize(
    ("wait_seconds", "status"), [(0.0, 200), (2.9, 200), (3.1, 503), (60.0, 503)]
)
def test_drained_upstream_without_siblings_serves_only_for_a_moment(
    wait_seconds: float, status: int
) -> None:
    """Without siblings a draining upstream serves for the drain grace, 3 s."""

    async def scenario(fleet: Fleet) -> None:
        drained = dataclasses.replace(VIEW, revision=2, drained=True)
        now = trio.current_time()
        context.apply_view(fleet.states[_address(0)], drained, now=now)
        await trio.sleep(wait_seconds)
        response = await fleet.send(_address(0), _request())
        assert response.status == status

    _run(scenario, sidecars=1)


def test_execute_makes_no_second_hop() -> None:
    """A sidecar that cannot run a sibling's request refuses it.

    It does not forward the request again.
    """

    async def scenario(fleet: Fleet) -> None:
        address = _address(1)
        fleet.states[address].stopping = True
        reply = await requests.handle_execute(
            fleet.states[address],
            fleet.ports(address),
            messages.ExecuteRequest(
                service=SERVICE, request=_request(), timeout_milliseconds=1000
            ),
        )
        assert reply.error is Kind.NO_UPSTREAM
        wrong_service_request = messages.ExecuteRequest(
            service=_address(9), request=_request(), timeout_milliseconds=1000
        )
        state = fleet.states[_address(0)]
        reply = await requests.handle_execute(
            state, fleet.ports(_address(0)), wrong_service_request
        )
        assert reply.error is Kind.NO_UPSTREAM
        assert not fleet.runs

    _run(scenario)


@pytest.mark.parametrize(
    ("pause_seconds", "detected_first", "runs"),
    [(0.0, False, 1), (2.0, False, 0), (2.0, True, 0), (0.6, True, 1)],
)
def test_a_request_that_waited_for_a_paused_sidecar_is_not_started_late(
    pause_seconds: float, detected_first: bool, runs: int
) -> None:
    """The sibling that handed it over has given it up and told its caller so.

    After the pause the periodic check or the request may be handled first.
    """

    async def scenario(fleet: Fleet) -> None:
        state = fleet.states[_address(0)]
        state.pause_detector.last_run_at = pauses.clock() - pause_seconds
        if detected_first:
            pauses.record_run(state.pause_detector, now=pauses.clock())
        reply = await requests.handle_execute(
            state,
            fleet.ports(_address(0)),
            messages.ExecuteRequest(
                service=SERVICE, request=_request(), timeout_milliseconds=1000
            ),
        )
        assert len(fleet.runs) == runs
        if not runs:
            assert reply.error is Kind.DEADLINE_EXPIRED
            assert _exceptions.ANSWERS[reply.error].outcome is Outcome.NOT_RUN

    _run(scenario)


@pytest.mark.parametrize("second", [0, 1, 2])
def test_repeated_key_gets_the_stored_answer_everywhere(second: int) -> None:
    """A repeated key gets the stored response through any sidecar.

    It does not matter whether the sidecar is the key's home.
    """

    async def scenario(fleet: Fleet) -> None:
        key = _ticket(fleet, 1) + ".k"
        request = _request("POST", idempotency_key=key)
        first = await fleet.send(_address(0), request)
        await trio.sleep(1.0)
        repeated = await fleet.send(_address(second), request)
        assert (first.status, repeated) == (200, first)
        different_request = _request("POST", body=b"b", idempotency_key=key)
        reused = await fleet.send(_address(second), different_request)
        assert _error_fields(reused) == ("key-reused", "not-run")
        assert fleet.runs == {"a": 1}

    _run(scenario, sidecars=3)


def test_key_whose_caller_left_runs_on_and_keeps_its_answer() -> None:
    """A keyed request continues when its caller disconnects.

    Until it ends, a repetition gets the error "still-running"; then it gets the stored
    response.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.service_seconds = 2.0
        request = _request("POST", idempotency_key=_ticket(fleet) + ".k")
        with trio.move_on_after(0.5):
            await fleet.send(_address(0), request)
        response = await fleet.send(_address(1), request)
        assert _error_fields(response) == ("still-running", "unknown")
        await trio.sleep(2.0)
        response = await fleet.send(_address(1), request)
        assert response.body == b"a"
        assert fleet.runs == {"a": 1}

    _run(scenario)


def test_request_without_a_key_ends_with_its_caller() -> None:
    """Cancelling a request without a key releases its admission permit."""

    async def scenario(fleet: Fleet) -> None:
        fleet.service_seconds = 2.0
        with trio.move_on_after(0.5):
            await fleet.send(_address(0), _request("POST"))
        assert fleet.states[_address(0)].admission_state.running == 0

    _run(scenario)


def test_key_of_a_replaced_home_is_unknown() -> None:
    """A new process at the home's address has no record of earlier keys.

    It must report their outcome as unknown.
    """

    async def scenario(fleet: Fleet) -> None:
        key = _ticket(fleet) + ".k"
        fleet.states[_address(0)].table.generation += 1
        for number in (0, 1):
            response = await fleet.send(
                _address(number), _request("POST", idempotency_key=key)
            )
            assert _error_fields(response) == ("outcome-unknown", "unknown")
        assert not fleet.runs

    _run(scenario)


@pytest.mark.parametrize("repeat_after", [0.0, 0.4, 3.0])
def test_key_refused_during_a_planned_stop_can_be_repeated_at_a_sibling(
    repeat_after: float,
) -> None:
    """The stopping home stays until the repeated command has run at a sibling.

    A home that ended with its last connection made the outcome of the command unknown,
    although every earlier answer said that it had not run.
    """

    async def scenario(fleet: Fleet) -> None:
        home = fleet.states[_address(0)]
        request = _request("POST", idempotency_key=_ticket(fleet) + ".k")
        home.stopping = True
        fleet.results = [_failed_result(Kind.NO_UPSTREAM)]
        refused = await fleet.send(_address(0), request)
        assert _error_fields(refused)[1] == "not-run"
        stopped = trio.Event()

        async def stop() -> None:
            await claims.wait_for_open_keys(
                home.table, until=trio.current_time() + 10.0
            )
            home.table.generation += 1  # The process ends and loses its table.
            stopped.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            await trio.sleep(repeat_after)
            assert (await fleet.send(_address(1), request)).body == b"a"
            with trio.fail_after(2 * claims.OPEN_KEYS_CHECK_SECONDS):
                await stopped.wait()
        assert fleet.runs == {"a": 1}

    _run(scenario)


def test_stopping_home_waits_no_longer_than_its_grace() -> None:
    """A caller that does not repeat its command must not hold up a planned stop."""

    async def scenario(fleet: Fleet) -> None:
        request = _request("POST", idempotency_key=_ticket(fleet) + ".k")
        fleet.states[_address(0)].stopping = True
        fleet.results = [_failed_result(Kind.NO_UPSTREAM)]
        await fleet.send(_address(0), request)
        started_at = trio.current_time()
        table = fleet.states[_address(0)].table
        await claims.wait_for_open_keys(table, until=started_at + 1.05)
        assert trio.current_time() == pytest.approx(started_at + 1.05)
        await claims.wait_for_open_keys(table, until=started_at + 100.0)
        assert trio.current_time() - started_at == pytest.approx(5.0, abs=0.2)

    _run(scenario)


def test_key_of_another_pool_never_gets_that_pools_answer() -> None:
    """A ticket of another pool is refused.

    The key's home has a stored response for the same request, which must not be
    returned.
    """

    async def scenario(fleet: Fleet) -> None:
        request = _request("POST", idempotency_key=_ticket(fleet, 1) + ".k")
        assert (await fleet.send(_address(1), request)).status == 200
        fleet.states[_address(0)].table.tag = tickets.pool_tag("firmware")
        response = await fleet.send(_address(0), request)
        assert _error_fields(response) == ("outcome-unknown", "unknown")

    _run(scenario)


def test_internal_error_gets_a_response() -> None:
    """An unexpected exception ends the request with an error response.

    The outcome in the response is unknown.
    """

    async def scenario(fleet: Fleet) -> None:
        async def run(request: messages.Request, timeout: float) -> upstream.Result:
            raise RuntimeError

        state = fleet.states[_address(0)]
        ports = dataclasses.replace(fleet.ports(_address(0)), run=run)
        key = _ticket(fleet) + ".k"
        for request in (_request("POST"), _request("POST", idempotency_key=key)):
            response = await requests.handle(state, ports, request, service=SERVICE)
            assert _error_fields(response) == ("internal", "unknown")
        assert state.admission_state.running == 0

    _run(scenario, sidecars=1)


@pytest.mark.parametrize("seed", range(20))
def test_lost_calls_cause_no_second_run_and_no_false_not_run(seed: int) -> None:
    """Callers repeat keys through any sidecar while calls are lost.

    Each key must run exactly once, and "not run" must be true.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.loss = 0.3
        rng = fleet.rng

        async def caller(token: str) -> None:
            key = f"{_ticket(fleet, rng.randrange(4))}.{token}"
            request = _request("POST", body=token.encode(), idempotency_key=key)
            for _ in range(5):
                with trio.move_on_after(rng.choice([0.005, 5.0])):
                    response = await fleet.send(_address(rng.randrange(4)), request)
                    if response.status == 200:
                        assert response.body == token.encode()
                        return
                    if _error_fields(response)[1] == Outcome.NOT_RUN.value:
                        assert fleet.runs[token] == 0
                await trio.sleep(rng.random() * 3)

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(caller, str(number))
        assert set(fleet.runs.values()) == {1}

    _run(scenario, sidecars=4, seed=seed)


@pytest.mark.parametrize(
    ("service_seconds", "statuses"),
    [(0.1, {200: 6}), (1.0, {200: 2, 503: 4})],
)
def test_a_short_burst_waits_and_a_long_one_is_refused(
    service_seconds: float, statuses: dict[int, int]
) -> None:
    """A cold upstream runs two requests at once; the others queue briefly."""

    async def scenario(fleet: Fleet) -> None:
        fleet.service_seconds = service_seconds
        responses: list[messages.Response] = []

        async def send(number: int) -> None:
            request = _request("POST", body=b"%d" % number)
            responses.append(await fleet.send(_address(0), request))

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(send, number)
        counts = collections.Counter(response.status for response in responses)
        assert counts == statuses
        refused = [response for response in responses if response.status == 503]
        assert {_error_fields(response) for response in refused} <= {
            ("overloaded", "not-run")
        }
        assert sum(fleet.runs.values()) == counts[200]
        assert trio.current_time() - started_at <= max(service_seconds, 0.3) + 0.05

    _run(scenario, sidecars=1)


def test_admission_queue_is_bounded() -> None:
    """Requests beyond the queue limit are refused immediately."""

    async def scenario(fleet: Fleet) -> None:
        fleet.service_seconds = 1.0
        state = fleet.states[_address(0)]
        async with trio.open_nursery() as nursery:
            for number in range(40):
                request = _request(body=b"%d" % number)
                nursery.start_soon(fleet.send, _address(0), request)
            await trio.sleep(0.01)
            assert len(state.admission_queue) == 2 * attempts.MAX_QUEUED_PER_PERMIT

    _run(scenario, sidecars=1)
