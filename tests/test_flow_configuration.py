"""Tests of configurations that cannot be applied, with real processes."""

import json
import pathlib
import signal

import msgspec
import trio

from plantainproxy import _types
from plantainproxy.store import http
from plantainproxy.telemetry import exposition
from standins import flow_ends
from testbed import flow_site

DEADLINE_SECONDS = 50.0
APPLY_SECONDS = 5.0
"""Time in which a change of the store takes effect, on a busy machine."""
INVALID_CONFIGURATION_EXIT_CODE = 23
NESTED = b"[" * 100_000 + b"]" * 100_000


def _document(version: int, *, fields: bytes = b"", port: object = 8443) -> bytes:
    route = {
        "name": "r-feed",
        "host": flow_site.SERVICE.host,
        "prefix": f"/{port}/",
        "type": "idempotent",
        "service": flow_site.SERVICE_NAME,
    }
    document = {"version": version, "routes": [route], "services": []}
    return b"{" + fields + msgspec.json.encode(document)[1:]


def _lines(site: flow_site.Site, node: flow_site.Node) -> list[dict[str, object]]:
    return [
        json.loads(line)
        for line in site.log_path(node).read_text().splitlines()
        if line.startswith("{")
    ]


def _refusing_hosts(status: str, *, version: int) -> list[str]:
    """Return the hosts whose line in the status states that they refuse a version."""
    refusals = [
        line for line in status.splitlines() if "refuses the configuration at" in line
    ]
    assert all(f", version {version}" in line for line in refusals)
    return [line.partition(":")[0].removeprefix("balancer ") for line in refusals]


def _hosts_that_refused(site: flow_site.Site) -> set[str]:
    """Return the hosts of the processes that have logged a refusal."""
    return {
        node.host
        for node in _nodes(site)
        if any(
            line["message"] == "configuration refused" for line in _lines(site, node)
        )
    }


async def _request(site: flow_site.Site) -> None:
    async with flow_ends.open_flow(site.caller(), flow_site.SERVICE) as flow:
        assert await flow.request(b"request") == b"request"


async def _gauges(node: flow_site.Node) -> dict[str, float]:
    pool = http.Pool(_types.Address(node.host, 9180))
    reply = await http.call(pool, "GET", "/metrics", timeout_seconds=5.0)
    http.close_idle(pool)
    return exposition.parse(reply.body)


async def _wait_for_version(
    nodes: list[flow_site.Node], version: int, *, gauge: str = "configuration_version"
) -> None:
    with trio.fail_after(APPLY_SECONDS):
        for node in nodes:
            while (await _gauges(node)).get(gauge) != version:
                await trio.sleep(flow_site.POLL_SECONDS)


async def _restart(site: flow_site.Site, node: flow_site.Node) -> None:
    node.signal(signal.SIGKILL)
    await node.wait()
    site.start(node)


def _nodes(site: flow_site.Site) -> list[flow_site.Node]:
    return [*site.balancers, *site.sidecars]


def test_a_configuration_with_a_nested_unknown_field_is_applied(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the end of every process by a valid configuration."""

    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=34) as site:
                field = b'"something_new":' + NESTED + b","
                site.write_entry("op/config", _document(5, fields=field))
                await _wait_for_version(_nodes(site), 5)
                for node in (site.balancers[0], site.sidecars[0]):
                    await _restart(site, node)
                await site.wait_until_ready(_nodes(site))
                await _request(site)
                assert all(
                    node.process is not None and node.process.poll() is None
                    for node in _nodes(site)
                )

    trio.run(main)


def test_a_refused_configuration_leaves_the_one_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """Processes state the refusal, take evacuations, and return after an end.

    Balancers and sidecars that start meanwhile get the policy from other processes.
    """

    async def main() -> None:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=35) as site:
                nodes = _nodes(site)
                store = f"--store={site.store_address}"
                site.write_entry("op/config", _document(5, port="none"))
                await _wait_for_version(
                    site.sidecars, 5, gauge="configuration_refused_version"
                )
                refusals = [
                    line
                    for node in site.sidecars
                    for line in _lines(site, node)
                    if line["message"] == "configuration refused"
                ]
                assert {line["version"] for line in refusals} == {5}
                assert all("route 'r-feed'" in str(line["reason"]) for line in refusals)
                assert len(refusals) == len(site.sidecars)
                await _wait_for_version(nodes, 1)

                status = await flow_site.run_ctl("status", store)
                assert status.returncode == INVALID_CONFIGURATION_EXIT_CODE
                assert "configuration refused, version 5 at revision" in status.stdout
                # A balancer that no relay covers yet follows the store itself.
                refusing = _refusing_hosts(status.stdout, version=5)
                assert {node.host for node in site.sidecars} <= set(refusing)
                assert set(refusing) <= _hosts_that_refused(site)
                assert len(refusing) == len(set(refusing))

                for node in (site.balancers[0], site.sidecars[0]):
                    await _restart(site, node)
                await site.wait_until_ready(nodes)
                await _wait_for_version(nodes, 1)
                await _request(site)

                site.write_entry("op/evacuate/d1", b"{}")
                with trio.fail_after(APPLY_SECONDS):
                    while not all(
                        _lines_of_policies(site, node)[-1:] == [["d1"]]
                        for node in nodes
                    ):
                        await trio.sleep(flow_site.POLL_SECONDS)

                site.version = 5
                site.configure()
                await _wait_for_version(nodes, 6)
                await _request(site)
                status = await flow_site.run_ctl("status", store)
                assert status.returncode == 0, status.stderr
                assert "refuse" not in status.stdout

    trio.run(main)


def _lines_of_policies(site: flow_site.Site, node: flow_site.Node) -> list[object]:
    """Return the evacuated domains of each policy that the node has put in force."""
    return [
        line["domains_out"]
        for line in _lines(site, node)
        if line["message"] == "policy in force"
    ]
