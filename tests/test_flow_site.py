"""End-to-end tests of transparent flows with real processes."""

from collections import abc
import itertools
import json
import pathlib
import signal

import pytest
import trio

from plantainproxy.flows.engine import upstreams
from plantainproxy.flows.programs import upstream_monitor
from plantainproxy.flows.stored import registry
from standins import flow_ends
from testbed import flow_site

DEADLINE_SECONDS = 40.0
IMPORT_SECONDS = 2.0
"""Time from the start of a process in which it ends its imports, on a busy machine."""
AWAY_SECONDS = upstreams.SHORT_LOSS_TIMEOUT_SECONDS + 0.6
"""Time from the end of a stopped sidecar to its next start."""
DRAINING_SECONDS = 0.6
"""Time in which an upstream that drains sends several heartbeats."""
COMPLETE_SECONDS = 1.0
"""Time in which a sidecar that is ready has registered and has a complete table."""


def _run_on_site(
    directory: pathlib.Path,
    number: int,
    check: abc.Callable[[flow_site.Site], abc.Awaitable[None]],
    *,
    balancers: int = 2,
    upstreams: int = 3,
    domains: int = 2,
) -> None:
    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(
                directory,
                number=number,
                balancers=balancers,
                upstreams=upstreams,
                domains=domains,
            ) as site:
                await check(site)

    trio.run(main)


async def _restart(site: flow_site.Site, node: flow_site.Node) -> None:
    """Stop a process as planned, start the next one and wait until that is ready."""
    node.signal(signal.SIGTERM)
    assert await node.wait() == 0
    site.start(node)
    await site.wait_until_ready([node])


def test_a_flow_is_served_whichever_balancer_gets_its_packets(
    tmp_path: pathlib.Path,
) -> None:
    """The fabric distributes the packets of a flow over the balancers round robin."""

    async def check(site: flow_site.Site) -> None:
        async with flow_ends.open_flow(site.caller(), flow_site.SERVICE) as flow:
            for number in range(6):
                payload = b"request %d" % number
                assert await flow.request(payload) == payload
        executed_counts = [
            len(upstream.executed_payloads) for upstream in site.upstreams
        ]
        assert sorted(executed_counts) == [0, 0, 6]

    _run_on_site(tmp_path, 41, check)


def test_a_flow_survives_the_restart_of_every_process(
    tmp_path: pathlib.Path,
) -> None:
    """Balancers and sidecars are restarted with SIGTERM one after another."""

    async def check(site: flow_site.Site) -> None:
        caller = site.caller()
        async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
            assert await flow.request(b"before") == b"before"
            for node in [*site.balancers, *site.sidecars]:
                await _restart(site, node)
            assert await flow.request(b"after", timeout_seconds=8.0) == b"after"

    _run_on_site(tmp_path, 42, check)


def test_a_planned_restart_beside_open_flows_reports_a_complete_table(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against packets at other upstreams while sidecars restart as planned.

    The next process knew none of its upstream's flows, so that lookups delivered the
    packets of any flow to its upstream. The table is complete at first because the
    sidecar has seen the upstream start.
    """

    async def check(site: flow_site.Site) -> None:
        (node,) = site.sidecars
        site.upstreams[0].crash()
        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            upstream = site.add_upstream(node)
            nursery.start_soon(upstream.run)
            while not (await site.report(node)).complete:
                await trio.sleep(flow_site.POLL_SECONDS)
            async with (
                flow_ends.open_flow(site.caller(0), flow_site.SERVICE) as used,
                flow_ends.open_flow(site.caller(1), flow_site.SERVICE) as idle,
            ):
                assert await used.request(b"before") == b"before"
                await _restart(site, node)
                with trio.fail_after(COMPLETE_SECONDS):
                    while not (report := await site.report(node)).complete:
                        await trio.sleep(flow_site.POLL_SECONDS)
                assert report.flows == 2
                assert await used.request(b"after") == b"after"
                assert await idle.request(b"first") == b"first"
            nursery.cancel_scope.cancel()

    _run_on_site(tmp_path, 60, check, upstreams=1)


def test_a_leaving_upstream_answers_after_a_restart_of_its_sidecar(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against resets of flows whose upstream has stopped listening to leave.

    It announced that to the sidecar process before, and sends the new one no heartbeat
    (review/11, with a lost deregistration).
    """

    async def check(site: flow_site.Site) -> None:
        (node,), (upstream,) = site.sidecars, site.upstreams
        async with flow_ends.open_flow(site.caller(), flow_site.SERVICE) as flow:
            assert await flow.request(b"before") == b"before"
            upstream.draining = True
            await trio.sleep(DRAINING_SECONDS)
            upstream.stop_heartbeats()
            await _restart(site, node)
            upstream.stop_listening()
            await trio.sleep(2 * upstream_monitor.RETRY_INTERVAL_SECONDS)
            assert await flow.request(b"last") == b"last"

    _run_on_site(tmp_path, 61, check, upstreams=1)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_sidecar_that_ends_with_its_upstream_serves_the_last_flows(
    tmp_path: pathlib.Path, is_restarted: bool
) -> None:
    """Guards against requests whose answers are lost as the upstream leaves.

    The sidecar is stopped when the upstream no longer listens. A process that had been
    started just before left its entry, so that callers were not told for 10 s that the
    flow had ended.
    """

    async def check(site: flow_site.Site) -> None:
        (node,), (upstream,) = site.sidecars, site.upstreams
        async with flow_ends.open_flow(site.caller(), flow_site.SERVICE) as flow:
            assert await flow.request(b"before") == b"before"
            upstream.draining = True
            await trio.sleep(DRAINING_SECONDS)
            upstream.stop_heartbeats()
            if is_restarted:
                await _restart(site, node)
                await trio.sleep(upstream_monitor.RETRY_INTERVAL_SECONDS)
            upstream.stop_listening()
            node.signal(signal.SIGTERM)
            await trio.sleep(upstream_monitor.RETRY_INTERVAL_SECONDS)
            assert await flow.request(b"last") == b"last"
            upstream.crash()
            with pytest.raises(flow_ends.FlowResetError):
                await flow.request(b"too late", timeout_seconds=2.0)
            assert await node.wait() == 0
            assert not [
                key for key in site.store.items if key.startswith(registry.PREFIX)
            ]

    _run_on_site(tmp_path, 62 + is_restarted, check, upstreams=1)


@pytest.mark.parametrize("draining", [False, True])
def test_no_flow_is_reset_while_sidecars_restart_slowly(
    tmp_path: pathlib.Path, draining: bool
) -> None:
    """Guards against balancers that reset the flows of a sidecar stopped as planned.

    Each sidecar is away for longer than one that is killed may be. It is the only one
    of its domain, so it relays its own announcement to the balancers of the others. A
    draining upstream keeps its flows, also while its sidecar restarts.
    """

    async def keep_flow(site: flow_site.Site, index: int) -> None:
        number = 0
        async with flow_ends.open_flow(site.caller(index), flow_site.SERVICE) as flow:
            while True:
                number += 1
                payload = b"request %d" % number
                assert await flow.request(payload, timeout_seconds=8.0) == payload
                await trio.sleep(0.2)

    async def check(site: flow_site.Site) -> None:
        async with trio.open_nursery() as nursery:
            for index in itertools.count():
                nursery.start_soon(keep_flow, site, index)
                await trio.sleep(0.1)
                if index >= 9 and all(upstream.flows for upstream in site.upstreams):
                    break
            for upstream in site.upstreams:
                upstream.draining = draining
            await trio.sleep(3 * site.upstreams[0].heartbeat_seconds)
            for node in site.sidecars:
                node.signal(signal.SIGTERM)
                assert await node.wait() == 0
                await trio.sleep(AWAY_SECONDS)
                site.start(node)
                await site.wait_until_ready([node])
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    _run_on_site(tmp_path, 49 if draining else 48, check, balancers=3, domains=3)


def test_a_settings_reload_does_not_end_a_starting_process(
    tmp_path: pathlib.Path,
) -> None:
    """The signal arrives while the process imports its libraries.

    Only the interpreter's own start is left, before it has run any line of the program.
    """

    async def check(site: flow_site.Site) -> None:
        for node in (site.balancers[0], site.sidecars[0]):
            node.signal(signal.SIGTERM)
            await node.wait()
            site.start(node)
            assert node.process is not None
            started_at = trio.current_time()
            while not flow_site.is_reload_safe(node, masks=("SigBlk",)):
                assert trio.current_time() - started_at < IMPORT_SECONDS
                await trio.sleep(0.002)
            while trio.current_time() - started_at < IMPORT_SECONDS:
                node.signal(signal.SIGHUP)
                await trio.sleep(0.02)
            assert node.process.poll() is None
            await site.wait_until_ready([node])

    _run_on_site(tmp_path, 47, check)


def test_openings_avoid_a_draining_upstream(tmp_path: pathlib.Path) -> None:
    """The sidecar refuses new flows once it has acknowledged the draining heartbeat."""

    async def check(site: flow_site.Site) -> None:
        draining_upstream = site.upstreams[0]
        draining_upstream.draining = True
        await trio.sleep(3 * draining_upstream.heartbeat_seconds)
        opened = draining_upstream.opening_packet_count
        for index in range(12):
            async with flow_ends.open_flow(
                site.caller(index), flow_site.SERVICE
            ) as flow:
                assert await flow.request(b"x") == b"x"
        assert draining_upstream.opening_packet_count == opened

    _run_on_site(tmp_path, 43, check)


def test_flows_without_a_route_are_reset(tmp_path: pathlib.Path) -> None:
    """The removal of a route is active on all processes within 1.5 s."""

    async def check(site: flow_site.Site) -> None:
        site.configure(routes=False)
        await trio.sleep(1.5)
        with pytest.raises(flow_ends.FlowResetError):
            async with flow_ends.open_flow(site.caller(), flow_site.SERVICE):
                pass

    _run_on_site(tmp_path, 44, check)


def test_serves_while_the_store_is_down(tmp_path: pathlib.Path) -> None:
    """A balancer that starts during the outage also serves flows."""

    async def check(site: flow_site.Site) -> None:
        site.store.faults.status = 503
        restarted = site.balancers[0]
        restarted.signal(signal.SIGKILL)
        await restarted.wait()
        site.start(restarted)
        await site.wait_until_ready([restarted])
        caller = flow_ends.Caller(site.caller(5).address, [site.caller().balancers[0]])
        async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
            assert await flow.request(b"x") == b"x"

    _run_on_site(tmp_path, 45, check)


def test_a_request_can_be_followed_in_the_logs(tmp_path: pathlib.Path) -> None:
    """Log lines are JSON; ``placed`` states the flow and why it was placed there."""

    async def check(site: flow_site.Site) -> None:
        async with flow_ends.open_flow(site.caller(), flow_site.SERVICE) as flow:
            await flow.request(b"x")
        await trio.sleep(0.2)
        lines = [
            json.loads(line)
            for node in site.balancers
            for line in site.log_path(node).read_text().splitlines()
        ]
        placed = [line for line in lines if line["message"] == "placed"]
        assert placed
        assert {"flow", "route", "upstream", "report_age", "revision"} <= set(placed[0])

    _run_on_site(tmp_path, 46, check)
