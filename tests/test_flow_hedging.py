"""Tests of hedged openings with real processes."""

import pathlib
import signal
import subprocess
import sys

import pytest
import trio

from plantainproxy import _types
from plantainproxy.platform import settings as platform_settings
from plantainproxy.store import http
from plantainproxy.telemetry import exposition
from standins import flow_ends
from testbed import flow_site, processes

DEADLINE_SECONDS = 100.0
COMMAND_TIMEOUT_SECONDS = 20
FIRST_FLOWS = 30
"""Flows that fill the budget and give opening times."""
PAUSE_SECONDS = 1.2
"""Duration of a pause; shorter than the time after which the sidecar's reports are
stale, so that openings are still placed on it."""
MAX_PAUSES = 8


async def _metrics(node: flow_site.Node) -> dict[str, float]:
    address = _types.Address(node.host, platform_settings.METRICS_PORT)
    reply = await http.call(http.Pool(address), "GET", "/metrics", timeout_seconds=5.0)
    return exposition.parse(reply.body)


async def _use_flow(caller: flow_ends.Caller, payload: bytes) -> None:
    async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
        assert await flow.request(payload) == payload
        assert await flow.request(payload + b" again") == payload + b" again"


async def _status(site: flow_site.Site) -> str:
    words = ["status", f"--store={site.store_address}"]
    completed = await trio.to_thread.run_sync(
        lambda: subprocess.run(
            [sys.executable, "-m", "plantainproxy.flows.programs.ctl_main", *words],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_SECONDS,
            check=True,
        )
    )
    return completed.stdout


def test_openings_at_a_paused_sidecar_are_hedged_and_status_shows_it(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each flow is served, by one upstream only, whichever acceptance the caller took.

    The paused sidecar delivers its copies when it resumes, after the flow has opened at
    the other upstream.
    """
    monkeypatch.setenv(platform_settings.HEDGE_PERCENT_VARIABLE, "20")

    async def check(site: flow_site.Site) -> None:
        (balancer,) = site.balancers
        caller = site.caller()
        count = 0
        for _ in range(FIRST_FLOWS):
            count += 1
            await _use_flow(caller, b"request %d" % count)
        for _ in range(MAX_PAUSES):
            site.sidecars[0].signal(signal.SIGSTOP)
            resume_at = trio.current_time() + PAUSE_SECONDS
            while trio.current_time() < resume_at:
                count += 1
                await _use_flow(caller, b"request %d" % count)
            site.sidecars[0].signal(signal.SIGCONT)
            await trio.sleep(PAUSE_SECONDS)
            samples = await _metrics(balancer)
            if samples.get("hedges_won_total"):
                break
        assert samples.get("hedges_won_total", 0) >= 1
        assert samples["hedges_sent_total"] * 100 <= 20 * samples["first_openings"]
        assert samples.get("resets_total", 0) == 0
        executed = [
            payload
            for upstream in site.upstreams
            for payload in upstream.executed_payloads
        ]
        assert len(executed) == len(set(executed)) == 2 * count
        line = next(
            line
            for line in (await _status(site)).splitlines()
            if line.startswith(f"balancer {balancer.host}: ready 1")
        )
        assert "hedge limit 20%" in line
        assert f"won {samples['hedges_won_total']:g}" in line

    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=58, balancers=1) as site:
                await check(site)

    trio.run(main)


def test_an_invalid_limit_ends_the_balancer_at_its_start(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that ignored the value would run without the limit that was meant."""
    monkeypatch.setenv(platform_settings.HEDGE_PERCENT_VARIABLE, "30")

    async def main() -> int:
        site = flow_site.Site(tmp_path, number=59)
        node = site.add_node("balancer", 0, domain="d0")
        site.start(node)
        with trio.fail_after(DEADLINE_SECONDS):
            code = await node.wait()
        assert "HEDGE_PERCENT: '30': expected" in site.log_path(node).read_text()
        return code

    assert trio.run(main) == 22
