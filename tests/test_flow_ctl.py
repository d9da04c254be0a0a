"""Tests of plantain-flow-ctl and of the metrics endpoint against a running site."""

import pathlib

import pytest
import trio

from plantainproxy import _types
from plantainproxy.store import http
from plantainproxy.telemetry import exposition
from testbed import flow_site

DEADLINE_SECONDS = 40.0
RELAY_SECONDS = 5.0
"""Time after which docs/OPERATIONS.md asks what is wrong if a domain has no relay."""


def _relays(status: str) -> dict[str, str]:
    """Return the domain of each relay in the command's output."""
    return {
        host: line.split(":")[0].removeprefix("domain ")
        for line in status.splitlines()
        if line.startswith("domain ") and not line.endswith(" none")
        for host in line.rpartition("relays ")[2].split(", ")
    }


def test_shows_policy_and_sidecars_and_explains_a_route(
    tmp_path: pathlib.Path,
) -> None:
    """Checks the output for a healthy site and the exit codes of errors.

    The errors are an address without a route, an invalid address and a store that
    returns 503.
    """

    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=55) as site:
                store = f"--store={site.store_address}"
                with trio.fail_after(RELAY_SECONDS):
                    while True:
                        status = await flow_site.run_ctl("status", store)
                        assert status.returncode == 0, status.stderr
                        if len(_relays(status.stdout)) == len(site.sidecars):
                            break
                assert "version 1, 1 routes, domains out: none" in status.stdout
                for node in site.sidecars:
                    assert f"{node.host}: ready 1, revision" in status.stdout
                assert status.stdout.count("speed not measured") == len(site.sidecars)
                assert _relays(status.stdout) == {
                    node.host: node.domain for node in site.sidecars
                }
                explained = await flow_site.run_ctl(
                    "explain", str(flow_site.SERVICE), store
                )
                assert "route r-feed: idempotent, priority 1" in explained.stdout
                assert "pool feed: 100% of new flows" in explained.stdout
                without_route = await flow_site.run_ctl(
                    "explain", "198.18.0.9:1", store
                )
                assert without_route.returncode == 24
                invalid_address = await flow_site.run_ctl("explain", "nowhere", store)
                assert invalid_address.returncode == 2
                site.store.faults.status = 503
                store_down = await flow_site.run_ctl("status", store)
                assert store_down.returncode == 26

    trio.run(main)


def test_metrics_are_served_in_the_exposition_format(tmp_path: pathlib.Path) -> None:
    """The sidecar's metrics parse, and include a gauge and an event counter."""

    async def main() -> dict[str, float]:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=56) as site:
                address = _types.Address(site.sidecars[0].host, 9180)
                reply = await http.call(
                    http.Pool(address), "GET", "/metrics", timeout_seconds=5.0
                )
                return exposition.parse(reply.body)

    samples = trio.run(main)
    assert samples["ready"] == 1.0
    assert samples["events_started_total"] == 1.0


@pytest.mark.parametrize("seconds", [0.0005, 0.3, 9.0])
def test_a_histogram_counts_each_duration_once(seconds: float) -> None:
    """Buckets are cumulative, so ``+Inf`` counts each observation once."""
    histogram = exposition.Histogram()
    histogram.observe(seconds)
    text = exposition.render({}, {}, {"answer_seconds": histogram})
    assert b'plantainproxy_answer_seconds_bucket{le="+Inf"} 1.0' in text
