"""Callers' QUIC connections over real sockets on loopback addresses."""

from collections import abc
import contextlib
import dataclasses
import json
import pathlib
import random
import sys
import threading

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import messages
from plantainproxy.sidecar import connection_state, connections, inbox, tunnel
from plantainproxy.wire import keyring, proxy
from plantainproxy.wire import tunnel as tunnel_format
from standins import caller, certificates, echo, http3_client, quic_pair, relay

HANG_GUARD_SECONDS = 30.0
IDLE_SECONDS = 0.001
"""Real time without a datagram after which a simulated clock advances.

Loopback delivers a datagram while it is sent, so that none is in flight by then.
"""
STALL_GUARD_SECONDS = 180.0
"""Real time after which a test fails whose simulated clock never advances."""
TICKET = messages.Header(name=b"idempotency-ticket", value=b"ticket")
IDENTITY = endpoint.Identity(
    tunnel=_types.Address("127.0.0.1", 1), domain_number=3, generation=9_000_000
)


async def handle(event: events.RequestReceived) -> messages.Response:
    """Return the response that the stand-in upstream gives."""
    return echo.respond(event.request)


def refuse(kind: _exceptions.ErrorKind, detail: str) -> messages.Response:
    """Return a small problem document."""
    body = b'{"type": "urn:plantainproxy:error:%s"}' % kind.encode()
    header = messages.Header(name=b"content-type", value=caller.PROBLEM_CONTENT_TYPE)
    return messages.Response(
        status=_exceptions.ANSWERS[kind].http_status, headers=(header,), body=body
    )


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> certificates.Files:
    """Write one certificate for all tests."""
    return certificates.write_self_signed(tmp_path_factory.mktemp("certificates"))


def ports(**changes: object) -> connection_state.Ports:
    """Return ports that admit every connection and answer every request."""
    default_ports = connection_state.Ports(
        handle=handle,
        refuse=refuse,
        extra_headers=lambda: (TICKET,),
        allow_connection=lambda now: True,
    )
    return dataclasses.replace(default_ports, **changes)  # type: ignore[arg-type]


def view(
    services: tuple[_types.Address, ...], *, drained: bool = False, revision: int = 1
) -> model.PoolView:
    """Return the view of a pool that serves the given addresses."""
    return model.PoolView(
        revision=revision,
        pool=model.Pool(name="pool"),
        services=services,
        domain_number=3,
        domain_in=True,
        drained=drained,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SidecarBench:
    """Sidecars behind one relay."""

    relay: relay.Relay
    sidecars: list[connection_state.Connections]
    services: tuple[_types.Address, ...]


@contextlib.asynccontextmanager
async def open_bench(
    files: certificates.Files,
    *,
    sidecar_ports: tuple[connection_state.Ports, ...] = (ports(),),
    hosts: tuple[str, ...] = ("127.1.0.1",),
    with_keys: bool = True,
    choice: int = 0,
) -> abc.AsyncIterator[SidecarBench]:
    """Run sidecars; opening packets go to the one with the index ``choice``."""
    keys = quic_pair.make_keys()
    with contextlib.ExitStack() as stack:
        tunnel_sockets = [
            stack.enter_context(tunnel.open_socket(_types.Address("127.0.0.1", 0)))
            for _ in sidecar_ports
        ]
        tunnel_addresses = [
            _types.Address(*tunnel_socket.getsockname())
            for tunnel_socket in tunnel_sockets
        ]
        async with (
            relay.open_relay(
                keys=keys,
                choose_sidecar=lambda value: tunnel_addresses[choice],
                hosts=hosts,
            ) as fabric_relay,
            trio.open_nursery() as nursery,
        ):
            sidecars = [
                connection_state.Connections(
                    tunnel_socket=tunnel_socket,
                    tunnel_address=address,
                    generation=1_000_000,
                    fabric_addresses=(fabric_relay.fabric_address,),
                    make_endpoint=lambda identity, keys: make_endpoint(
                        files, identity, keys
                    ),
                    ports=connection_ports,
                )
                for tunnel_socket, address, connection_ports in zip(
                    tunnel_sockets, tunnel_addresses, sidecar_ports, strict=True
                )
            ]
            services = tuple(fabric_relay.services)
            for sidecar in sidecars:
                nursery.start_soon(connections.run, sidecar)
                if with_keys:
                    await sidecar.send.send(inbox.KeysChanged(keys=keys))
                await sidecar.send.send(inbox.ViewChanged(view=view(services)))
                await sidecar.send.send(
                    inbox.SiblingsChanged(records=tuple(map(record, tunnel_addresses)))
                )
            yield SidecarBench(relay=fabric_relay, sidecars=sidecars, services=services)
            nursery.cancel_scope.cancel()


def make_endpoint(
    files: certificates.Files, identity: endpoint.Identity, keys: keyring.Keyring
) -> endpoint.Endpoint:
    """Return an endpoint configured like a sidecar's."""
    return endpoint.Endpoint(
        configuration=connection.server_configuration(
            certificate_file=str(files.certificate),
            private_key_file=str(files.private_key),
            idle_timeout_seconds=30.0,
            max_body_bytes=100_000,
        ),
        limits=http3.Limits(max_body_bytes=100_000),
        identity=identity,
        keys=keys,
    )


def record(address: _types.Address) -> _members.MemberRecord:
    """Return the member record of a serving sidecar."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=address,
        domain="a",
        generation=1,
        sequence=1,
        tunnel=address,
    )


def plan(service: _types.Address, **changes: object) -> caller.Plan:
    """Return a plan of five busy connections for 1.5 seconds."""
    default_plan = caller.Plan(
        service=service,
        lines=5,
        seconds=1.5,
        gets_per_second=20.0,
        posts_per_second=5.0,
    )
    return dataclasses.replace(default_plan, **changes)  # type: ignore[arg-type]


def run(
    main: abc.Callable[[], abc.Awaitable[None]], *, clock: trio.abc.Clock | None = None
) -> None:
    """Run a test's main function with a timeout."""

    async def guarded() -> None:
        with trio.fail_after(HANG_GUARD_SECONDS):
            await main()

    trio.run(guarded, clock=clock)


def run_simulated(main: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Run a test's main function on a clock that advances only while all tasks wait.

    Callers, relay and sidecars share one process and need most of a core. On the real
    clock, a process that gets less takes as long for a round trip as a caller needs to
    time out.
    """

    async def guarded() -> None:
        with trio.CancelScope() as scope:
            token = trio.lowlevel.current_trio_token()
            timer = threading.Timer(
                STALL_GUARD_SECONDS, token.run_sync_soon, (scope.cancel,)
            )
            timer.start()
            try:
                await main()
            finally:
                timer.cancel()
        assert not scope.cancelled_caught

    run(guarded, clock=trio.testing.MockClock(autojump_threshold=IDLE_SECONDS))


def violations(report: caller.Report) -> dict[str, int]:
    """Return the non-zero counts of failures."""
    names = (
        "broken_flows",
        "mismatched",
        "truncated",
        "timeouts",
        "unresolved",
        "open_failures",
    )
    return {name: report.counts[name] for name in names if report.counts[name]}


def test_requests_of_several_lines_are_answered_with_a_ticket(
    files: certificates.Files,
) -> None:
    """Each response matches its request and carries the extra header fields."""

    async def main() -> None:
        async with open_bench(files) as bench:
            report = caller.Report()
            await caller.run_plan(plan(bench.services[0]), report)
            assert not violations(report)
            assert report.counts["requests"] == report.counts["matches"] > 50
            (sidecar,) = bench.sidecars
            assert sidecar.counters.lines_opened == 5
            assert sidecar.counters.send_failures == 0

    run(main)


def test_requests_are_answered_over_a_lossy_path(files: certificates.Files) -> None:
    """Lost datagrams delay responses but break no connection."""

    async def main() -> None:
        async with open_bench(files) as bench:
            bench.relay.loss = 0.05
            report = caller.Report()
            await caller.run_plan(plan(bench.services[0], seconds=3.0), report)
            assert not violations(report)
            assert report.counts["requests"] == report.counts["matches"]

    run(main)


def test_lines_follow_callers_that_change_their_address(
    files: certificates.Files,
) -> None:
    """Responses in flight reach the new address, and no connection breaks."""

    async def slow(event: events.RequestReceived) -> messages.Response:
        await trio.sleep(0.1)
        return await handle(event)

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=slow),)) as bench:
            report = caller.Report()
            migrating_plan = plan(bench.services[0], seconds=3.0, migrate_seconds=0.4)
            await caller.run_plan(migrating_plan, report)
            assert not violations(report)
            assert report.counts["lines_opened"] == 5
            assert report.counts["requests"] == report.counts["matches"]

    run_simulated(main)


def test_nothing_is_accepted_before_a_key_set_is_known(
    files: certificates.Files,
) -> None:
    """Before a key set is received, datagrams are dropped and counted."""

    async def main() -> None:
        async with open_bench(files, with_keys=False) as bench:
            (sidecar,) = bench.sidecars
            report = caller.Report()
            with trio.move_on_after(0.5):
                await caller.run_plan(plan(bench.services[0]), report)
            assert sidecar.counters.before_keys > 0
            assert report.counts["lines_opened"] == 0

    run(main)


def test_openings_above_the_admission_rate_go_to_a_sibling(
    files: certificates.Files,
) -> None:
    """Connections above the rate are opened at the sibling; none is refused."""
    budget = iter([True, True])

    async def main() -> None:
        limited = ports(allow_connection=lambda now: next(budget, False))
        async with open_bench(files, sidecar_ports=(limited, ports())) as bench:
            report = caller.Report()
            await caller.run_plan(plan(bench.services[0]), report)
            assert not violations(report)
            opened_counts = [
                sidecar.counters.lines_opened for sidecar in bench.sidecars
            ]
            assert opened_counts == [2, 3]

    run(main)


def test_a_drained_sidecar_keeps_its_lines_and_takes_no_new_ones(
    files: certificates.Files,
) -> None:
    """Draining redirects only new connections."""

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(), ports())) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.run_plan, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.0)
                drained = view(bench.services, drained=True, revision=2)
                await first.send.send(inbox.ViewChanged(view=drained))
                later_report = caller.Report()
                await caller.run_plan(plan(bench.services[0]), later_report)
            assert not violations(report) and not violations(later_report)
            assert first.counters.lines_opened == 5
            assert second.counters.lines_opened == 5

    run(main)


def test_a_planned_stop_moves_lines_and_cuts_no_request(
    files: certificates.Files,
) -> None:
    """Callers open a new connection before they leave the old one."""

    async def slow(event: events.RequestReceived) -> messages.Response:
        await trio.sleep(0.3)
        return await handle(event)

    async def main() -> None:
        slow_ports = (ports(handle=slow), ports(handle=slow))
        async with open_bench(files, sidecar_ports=slow_ports) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.run_plan, plan(bench.services[0], seconds=4.0), report
                )
                await trio.sleep(1.5)
                await first.send.send(inbox.Stop(grace_seconds=5.0))
            assert not violations(report)
            assert report.counts["go_aways"] == 5
            assert report.counts["rejected"] == 0
            assert report.counts["requests"] == report.counts["matches"]
            assert second.counters.lines_opened == 5
            assert first.counters.requests_cancelled == 0

    run_simulated(main)


def test_callers_are_told_to_go_when_the_failure_domain_is_taken_out(
    files: certificates.Files,
) -> None:
    """Each caller gets a GOAWAY and opens a new connection at a sibling."""

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(), ports())) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.run_plan, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.0)
                view_out = dataclasses.replace(view(bench.services), domain_in=False)
                await first.send.send(inbox.ViewChanged(view=view_out))
            assert not violations(report)
            assert report.counts["go_aways"] == 5
            assert second.counters.lines_opened == 5

    run(main)


def test_a_stop_ends_within_its_grace_when_callers_stay(
    files: certificates.Files,
) -> None:
    """Connections of callers that ignore the GOAWAY are closed."""

    async def main() -> None:
        async with open_bench(files) as bench:
            (sidecar,) = bench.sidecars
            connecting = caller.open_connection(plan(bench.services[0]))
            with connecting as caller_connection:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, caller_connection)
                    await caller_connection.connected.wait()
                    await sidecar.send.send(inbox.Stop(grace_seconds=1.5))
            assert caller_connection.goaway_received
            assert caller_connection.closed and not caller_connection.was_reset

    run(main)


def test_a_line_ends_when_its_service_leaves_the_pool(
    files: certificates.Files,
) -> None:
    """Running requests finish, later ones are rejected, and the connection closes.

    The rejected request must not reach the handler.
    """
    started_paths: list[str] = []

    async def slow(event: events.RequestReceived) -> messages.Response:
        started_paths.append(event.request.path)
        await trio.sleep(0.5)
        return messages.Response(status=200, body=b"done")

    async def main() -> None:
        hosts = ("127.1.0.1", "127.1.0.2")
        slow_ports = (ports(handle=slow),)
        async with open_bench(files, sidecar_ports=slow_ports, hosts=hosts) as bench:
            (sidecar,) = bench.sidecars
            with caller.open_connection(plan(bench.services[0])) as caller_connection:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, caller_connection)
                    await caller_connection.connected.wait()
                    results: list[object] = []

                    async def send_get(path: str) -> None:
                        results.append(
                            await caller.send(caller_connection, "GET", path)
                        )

                    nursery.start_soon(send_get, "/before")
                    await trio.sleep(0.2)
                    view_without_service = view(bench.services[1:], revision=2)
                    await sidecar.send.send(
                        inbox.ViewChanged(view=view_without_service)
                    )
                    await trio.sleep(0.1)
                    await send_get("/after")
            rejected, completed = results
            assert getattr(rejected, "not_run", False)
            assert getattr(completed, "response").body == b"done"  # noqa: B009
            assert started_paths == ["/before"]
            assert caller_connection.goaway_received and not caller_connection.was_reset

    run(main)


def test_a_lost_sidecar_breaks_its_lines_at_once_and_callers_come_back(
    files: certificates.Files,
) -> None:
    """The replacement process sends stateless resets for connections it does not have.

    So callers do not wait for responses on connections that are lost.
    """

    async def main() -> None:
        async with open_bench(files) as bench:
            (sidecar,) = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.run_plan, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.5)
                replacement = make_endpoint(
                    files,
                    dataclasses.replace(IDENTITY, tunnel=sidecar.tunnel_address),
                    quic_pair.make_keys(),
                )
                sidecar.endpoint = replacement
            assert report.counts["broken_flows"] == report.counts["resets"] == 5
            assert report.counts["lines_opened"] == 10
            assert report.counts["requests"] == report.counts["matches"]
            assert sidecar.counters.resets >= 5

    run(main)


def test_the_caller_process_reports_json_lines(files: certificates.Files) -> None:
    """The last JSON line is the final report."""

    async def main() -> None:
        async with open_bench(files) as bench:
            command = [sys.executable, "-m", "standins.caller", "--lines", "2"]
            command += ["--service", str(bench.services[0]), "--seconds", "1.5"]
            completed_process = await trio.run_process(
                command,
                capture_stdout=True,
                cwd=pathlib.Path(caller.__file__).parents[1],
            )
            *earlier, last = map(json.loads, completed_process.stdout.splitlines())
            assert last["final"] and not any(line["final"] for line in earlier)
            assert last["lines_opened"] == 2
            assert last["requests"] == last["matches"] > 0

    run(main)


def test_a_request_given_up_by_its_caller_cancels_its_task(
    files: certificates.Files,
) -> None:
    """Cancelling a request at the caller cancels its task in the sidecar."""
    ended_paths: list[str] = []

    async def stuck(event: events.RequestReceived) -> messages.Response:
        try:
            await trio.sleep_forever()
        finally:
            ended_paths.append(event.request.path)

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=stuck),)) as bench:
            (sidecar,) = bench.sidecars
            with caller.open_connection(plan(bench.services[0])) as caller_connection:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, caller_connection)
                    await caller_connection.connected.wait()
                    with trio.move_on_after(0.3):
                        await caller.send(caller_connection, "GET", "/stuck")
                    while not ended_paths:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()
            assert ended_paths == ["/stuck"]
            assert sidecar.counters.requests_cancelled == 1

    run(main)


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        (
            _exceptions.PlantainError(_exceptions.ErrorKind.OVERLOADED, "full"),
            _exceptions.ErrorKind.OVERLOADED,
        ),
        (ValueError("a fault"), _exceptions.ErrorKind.INTERNAL),
    ],
)
def test_a_failing_handler_is_answered_from_the_error_table(
    files: certificates.Files, failure: Exception, kind: _exceptions.ErrorKind
) -> None:
    """Errors with a kind keep it; other exceptions become internal errors."""

    async def fail(event: events.RequestReceived) -> messages.Response:
        raise failure

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=fail),)) as bench:
            with caller.open_connection(plan(bench.services[0])) as caller_connection:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, caller_connection)
                    await caller_connection.connected.wait()
                    result = await caller.send(caller_connection, "GET", "/x")
                    nursery.cancel_scope.cancel()
            assert result == http3_client.ResponseReceived(
                stream=0,
                response=dataclasses.replace(
                    refuse(kind, ""), headers=(*refuse(kind, "").headers, TICKET)
                ),
            )

    run(main)


def test_bad_tunnel_messages_are_dropped_and_counted(
    files: certificates.Files,
) -> None:
    """Messages with a bad prefix, PROXY header or service create no connection."""
    generator = random.Random(1)
    cookie = quic_pair.make_keys().current.cookie
    prefix = tunnel_format.encode_prefix(cookie)
    unknown_service_header = proxy.encode(
        source=_types.Address("127.0.0.1", 1),
        destination=_types.Address("127.9.9.9", 443),
    )
    initial = b"\xc0\x00\x00\x00\x01\x08" + b"d" * 8 + b"\x00" * 1200

    async def main() -> None:
        async with open_bench(files) as bench:
            (sidecar,) = bench.sidecars
            for message in (
                *(generator.randbytes(size) for size in range(60)),
                prefix + b"no proxy header",
                prefix + unknown_service_header + initial,
            ):
                tunnel.send(bench.relay.fabric_socket, message, sidecar.tunnel_address)
            while sidecar.counters.unknown_service == 0:
                await trio.sleep(0.01)
            assert sidecar.counters.strangers == 61
            assert sidecar.counters.received == 1
            assert sidecar.endpoint is not None and not sidecar.endpoint.connections

    run(main)
