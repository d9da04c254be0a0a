"""The callers' lines over real sockets on loopback addresses."""

from collections import abc
import contextlib
import dataclasses
import json
import pathlib
import random
import sys

import pytest
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import messages
from plantainproxy.sidecar import inbox, line_state, lines, tunnel
from plantainproxy.wire import keyring, proxy
from plantainproxy.wire import tunnel as tunnel_format
from standins import caller, certificates, echo, http3_client, quic_pair, relay

HANG_GUARD_SECONDS = 30.0
TICKET = messages.Header(name=b"idempotency-ticket", value=b"ticket")
IDENTITY = endpoint.Identity(
    tunnel=_types.Address("127.0.0.1", 1), domain_number=3, generation=9_000_000
)


async def handle(event: events.RequestReceived) -> messages.Response:
    """Answer as the stand-in upstream does."""
    return echo.answer(event.request)


def refuse(kind: _exceptions.ErrorKind, detail: str) -> messages.Response:
    """Make a small problem document."""
    body = b'{"type": "urn:plantainproxy:error:%s"}' % kind.encode()
    header = messages.Header(name=b"content-type", value=caller.PROBLEM_CONTENT_TYPE)
    return messages.Response(
        status=_exceptions.ANSWERS[kind].http_status, headers=(header,), body=body
    )


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> certificates.Files:
    """Make one certificate for all tests."""
    return certificates.write(tmp_path_factory.mktemp("certificates"))


def ports(**changes: object) -> line_state.Ports:
    """Make ports that accept and answer everything."""
    accepting = line_state.Ports(
        handle=handle,
        refuse=refuse,
        extra_headers=lambda: (TICKET,),
        allow_line=lambda now: True,
    )
    return dataclasses.replace(accepting, **changes)  # type: ignore[arg-type]


def view(
    services: tuple[_types.Address, ...], *, drained: bool = False, revision: int = 1
) -> model.PoolView:
    """Make the view of a pool that serves the given addresses."""
    return model.PoolView(
        revision=revision,
        pool=model.Pool(name="pool"),
        services=services,
        domain_number=3,
        domain_in=True,
        drained=drained,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bench:
    """Sidecars behind one relay."""

    relay: relay.Relay
    sidecars: list[line_state.Lines]
    services: tuple[_types.Address, ...]


@contextlib.asynccontextmanager
async def open_bench(
    files: certificates.Files,
    *,
    sidecar_ports: tuple[line_state.Ports, ...] = (ports(),),
    hosts: tuple[str, ...] = ("127.1.0.1",),
    with_keys: bool = True,
    choice: int = 0,
) -> abc.AsyncIterator[Bench]:
    """Run sidecars; opening packets go to the one that ``choice`` names."""
    keys = quic_pair.make_keys()
    with contextlib.ExitStack() as stack:
        bounds = [
            stack.enter_context(tunnel.open_socket(_types.Address("127.0.0.1", 0)))
            for _ in sidecar_ports
        ]
        tunnels = [_types.Address(*bound.getsockname()) for bound in bounds]
        async with (
            relay.open_relay(
                keys=keys, choose=lambda value: tunnels[choice], hosts=hosts
            ) as opened,
            trio.open_nursery() as nursery,
        ):
            sidecars = [
                line_state.Lines(
                    bound=bound,
                    own=own,
                    generation=1_000_000,
                    fabric_addresses=(opened.fabric_address,),
                    make_endpoint=lambda identity, keys: make_endpoint(
                        files, identity, keys
                    ),
                    ports=chosen,
                )
                for bound, own, chosen in zip(
                    bounds, tunnels, sidecar_ports, strict=True
                )
            ]
            services = tuple(opened.services)
            for sidecar in sidecars:
                nursery.start_soon(lines.run, sidecar)
                if with_keys:
                    await sidecar.send.send(inbox.KeysChanged(keys=keys))
                await sidecar.send.send(inbox.ViewChanged(view=view(services)))
                await sidecar.send.send(
                    inbox.SiblingsChanged(records=tuple(map(record, tunnels)))
                )
            yield Bench(relay=opened, sidecars=sidecars, services=services)
            nursery.cancel_scope.cancel()


def make_endpoint(
    files: certificates.Files, identity: endpoint.Identity, keys: keyring.Keyring
) -> endpoint.Endpoint:
    """Make an endpoint as a sidecar does."""
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


def record(address: _types.Address) -> _types.MemberRecord:
    """Make the record of a serving sidecar."""
    return _types.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=address,
        domain="a",
        generation=1,
        sequence=1,
        tunnel=address,
    )


def plan(service: _types.Address, **changes: object) -> caller.Plan:
    """Make a plan of a few busy lines for a short time."""
    short = caller.Plan(
        service=service,
        lines=5,
        seconds=1.5,
        gets_per_second=20.0,
        posts_per_second=5.0,
    )
    return dataclasses.replace(short, **changes)  # type: ignore[arg-type]


def run(main: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Run a test's main function, but not for ever."""

    async def guarded() -> None:
        with trio.fail_after(HANG_GUARD_SECONDS):
            await main()

    trio.run(guarded)


def faults(report: caller.Report) -> dict[str, int]:
    """Return the counts of what must not happen."""
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
    """Every answer belongs to its request and carries the extra header fields."""

    async def main() -> None:
        async with open_bench(files) as bench:
            report = caller.Report()
            await caller.hold_lines(plan(bench.services[0]), report)
            assert not faults(report)
            assert report.counts["requests"] == report.counts["matches"] > 50
            (sidecar,) = bench.sidecars
            assert sidecar.counters.lines_opened == 5
            assert sidecar.counters.send_failures == 0

    run(main)


def test_requests_are_answered_over_a_lossy_path(files: certificates.Files) -> None:
    """Lost datagrams delay answers and break no line."""

    async def main() -> None:
        async with open_bench(files) as bench:
            bench.relay.loss = 0.05
            report = caller.Report()
            await caller.hold_lines(plan(bench.services[0], seconds=3.0), report)
            assert not faults(report)
            assert report.counts["requests"] == report.counts["matches"]

    run(main)


def test_lines_follow_callers_that_change_their_address(
    files: certificates.Files,
) -> None:
    """Answers under way reach the new address, and no line breaks."""

    async def slow(event: events.RequestReceived) -> messages.Response:
        await trio.sleep(0.1)
        return await handle(event)

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=slow),)) as bench:
            report = caller.Report()
            moving = plan(bench.services[0], seconds=3.0, migrate_seconds=0.4)
            await caller.hold_lines(moving, report)
            assert not faults(report)
            assert report.counts["lines_opened"] == 5
            assert report.counts["requests"] == report.counts["matches"]

    run(main)


def test_nothing_is_accepted_before_a_key_set_is_known(
    files: certificates.Files,
) -> None:
    """Datagrams are dropped and counted until then."""

    async def main() -> None:
        async with open_bench(files, with_keys=False) as bench:
            (sidecar,) = bench.sidecars
            report = caller.Report()
            with trio.move_on_after(0.5):
                await caller.hold_lines(plan(bench.services[0]), report)
            assert sidecar.counters.before_keys > 0
            assert report.counts["lines_opened"] == 0

    run(main)


def test_openings_above_the_admission_rate_go_to_a_sibling(
    files: certificates.Files,
) -> None:
    """Lines beyond the budget are opened at the sibling, and none is refused."""
    budget = iter([True, True])

    async def main() -> None:
        limited = ports(allow_line=lambda now: next(budget, False))
        async with open_bench(files, sidecar_ports=(limited, ports())) as bench:
            report = caller.Report()
            await caller.hold_lines(plan(bench.services[0]), report)
            assert not faults(report)
            opened = [sidecar.counters.lines_opened for sidecar in bench.sidecars]
            assert opened == [2, 3]

    run(main)


def test_a_drained_sidecar_keeps_its_lines_and_takes_no_new_ones(
    files: certificates.Files,
) -> None:
    """Draining moves new lines only."""

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(), ports())) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.hold_lines, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.0)
                drained = view(bench.services, drained=True, revision=2)
                await first.send.send(inbox.ViewChanged(view=drained))
                later = caller.Report()
                await caller.hold_lines(plan(bench.services[0]), later)
            assert not faults(report) and not faults(later)
            assert first.counters.lines_opened == 5
            assert second.counters.lines_opened == 5

    run(main)


def test_a_planned_stop_moves_lines_and_cuts_no_request(
    files: certificates.Files,
) -> None:
    """Callers open their next line before they leave the old one."""

    async def slow(event: events.RequestReceived) -> messages.Response:
        await trio.sleep(0.3)
        return await handle(event)

    async def main() -> None:
        both = (ports(handle=slow), ports(handle=slow))
        async with open_bench(files, sidecar_ports=both) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.hold_lines, plan(bench.services[0], seconds=4.0), report
                )
                await trio.sleep(1.5)
                await first.send.send(inbox.Stop(grace_seconds=5.0))
            assert not faults(report)
            assert report.counts["go_aways"] == 5
            assert report.counts["rejected"] == 0
            assert report.counts["requests"] == report.counts["matches"]
            assert second.counters.lines_opened == 5
            assert first.counters.requests_cancelled == 0

    run(main)


def test_callers_are_told_to_go_when_the_failure_domain_is_taken_out(
    files: certificates.Files,
) -> None:
    """They open their next lines at a sibling of another domain."""

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(), ports())) as bench:
            first, second = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.hold_lines, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.0)
                out = dataclasses.replace(view(bench.services), domain_in=False)
                await first.send.send(inbox.ViewChanged(view=out))
            assert not faults(report)
            assert report.counts["go_aways"] == 5
            assert second.counters.lines_opened == 5

    run(main)


def test_a_stop_ends_within_its_grace_when_callers_stay(
    files: certificates.Files,
) -> None:
    """Callers that ignore the notice are closed."""

    async def main() -> None:
        async with open_bench(files) as bench:
            (sidecar,) = bench.sidecars
            opened = caller.open_connection(plan(bench.services[0]))
            with opened as held:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, held)
                    await held.connected.wait()
                    await sidecar.send.send(inbox.Stop(grace_seconds=1.5))
            assert held.told_to_go
            assert held.closed and not held.was_reset

    run(main)


def test_a_line_ends_when_its_service_leaves_the_pool(
    files: certificates.Files,
) -> None:
    """Running requests finish, later ones are rejected unseen, the line closes."""
    seen: list[str] = []

    async def slow(event: events.RequestReceived) -> messages.Response:
        seen.append(event.request.path)
        await trio.sleep(0.5)
        return messages.Response(status=200, body=b"done")

    async def main() -> None:
        hosts = ("127.1.0.1", "127.1.0.2")
        slow_ports = (ports(handle=slow),)
        async with open_bench(files, sidecar_ports=slow_ports, hosts=hosts) as bench:
            (sidecar,) = bench.sidecars
            with caller.open_connection(plan(bench.services[0])) as held:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, held)
                    await held.connected.wait()
                    results: list[object] = []

                    async def ask(path: str) -> None:
                        results.append(await caller.send(held, "GET", path))

                    nursery.start_soon(ask, "/before")
                    await trio.sleep(0.2)
                    moved = view(bench.services[1:], revision=2)
                    await sidecar.send.send(inbox.ViewChanged(view=moved))
                    await trio.sleep(0.1)
                    await ask("/after")
            rejected, answered = results
            assert getattr(rejected, "not_run", False)
            assert getattr(answered, "response").body == b"done"  # noqa: B009
            assert seen == ["/before"]
            assert held.told_to_go and not held.was_reset

    run(main)


def test_a_lost_sidecar_breaks_its_lines_at_once_and_callers_come_back(
    files: certificates.Files,
) -> None:
    """The process that replaces it answers with resets, so no line stays silent."""

    async def main() -> None:
        async with open_bench(files) as bench:
            (sidecar,) = bench.sidecars
            report = caller.Report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    caller.hold_lines, plan(bench.services[0], seconds=3.0), report
                )
                await trio.sleep(1.5)
                replaced = make_endpoint(
                    files,
                    dataclasses.replace(IDENTITY, tunnel=sidecar.own),
                    quic_pair.make_keys(),
                )
                sidecar.endpoint = replaced
            assert report.counts["broken_flows"] == report.counts["resets"] == 5
            assert report.counts["lines_opened"] == 10
            assert report.counts["requests"] == report.counts["matches"]
            assert sidecar.counters.resets >= 5

    run(main)


def test_the_caller_process_reports_json_lines(files: certificates.Files) -> None:
    """The last line is the final report."""

    async def main() -> None:
        async with open_bench(files) as bench:
            command = [sys.executable, "-m", "standins.caller", "--lines", "2"]
            command += ["--service", str(bench.services[0]), "--seconds", "1.5"]
            finished = await trio.run_process(
                command,
                capture_stdout=True,
                cwd=pathlib.Path(caller.__file__).parents[1],
            )
            *earlier, last = map(json.loads, finished.stdout.splitlines())
            assert last["final"] and not any(line["final"] for line in earlier)
            assert last["lines_opened"] == 2
            assert last["requests"] == last["matches"] > 0

    run(main)


def test_a_request_given_up_by_its_caller_cancels_its_task(
    files: certificates.Files,
) -> None:
    """The scope of the request's task is cancelled."""
    ended: list[str] = []

    async def stuck(event: events.RequestReceived) -> messages.Response:
        try:
            await trio.sleep_forever()
        finally:
            ended.append(event.request.path)

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=stuck),)) as bench:
            (sidecar,) = bench.sidecars
            with caller.open_connection(plan(bench.services[0])) as held:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, held)
                    await held.connected.wait()
                    with trio.move_on_after(0.3):
                        await caller.send(held, "GET", "/stuck")
                    while not ended:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()
            assert ended == ["/stuck"]
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
    """Errors of the closed list keep their kind; faults are internal errors."""

    async def fail(event: events.RequestReceived) -> messages.Response:
        raise failure

    async def main() -> None:
        async with open_bench(files, sidecar_ports=(ports(handle=fail),)) as bench:
            with caller.open_connection(plan(bench.services[0])) as held:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(caller.pump, held)
                    await held.connected.wait()
                    result = await caller.send(held, "GET", "/x")
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
    """Strangers, bad PROXY headers and unknown services leave nothing behind."""
    generator = random.Random(1)
    cookie = quic_pair.make_keys().current.cookie
    prefix = tunnel_format.encode_prefix(cookie)
    foreign = proxy.encode(
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
                prefix + foreign + initial,
            ):
                tunnel.send(bench.relay.fabric, message, sidecar.own)
            while sidecar.counters.unknown_service == 0:
                await trio.sleep(0.01)
            assert sidecar.counters.strangers == 61
            assert sidecar.counters.received == 1
            assert sidecar.endpoint is not None and not sidecar.endpoint.connections

    run(main)
