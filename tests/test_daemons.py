"""Settings, reload, logs and metrics of the real daemons."""

from collections import abc
import json
import pathlib
import signal
import socket
import subprocess
import sys

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.telemetry import names
from standins import caller
from testbed import cluster as cluster_module
from testbed import processes, site

HANG_SECONDS = 90
POLL_SECONDS = 0.05
TOO_LARGE_BYTES = 1_100_000
EXAMPLES = processes.ROOT / "examples"
INVALID_SETTINGS = _exceptions.ANSWERS[_exceptions.ErrorKind.INVALID_SETTINGS].exit_code
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name="mowers", hosts=1, slots=2),),
    balancers=1,
)


def _run_module(
    module: str, *arguments: str, cwd: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        cwd=cwd,
        env={"PYTHONPATH": str(processes.ROOT)},
        capture_output=True,
        text=True,
        timeout=HANG_SECONDS,
    )


@pytest.mark.parametrize("part", ["balancer", "sidecar"])
def test_check_only_tells_whether_the_settings_are_valid(
    part: str, tmp_path: pathlib.Path
) -> None:
    """The documented example passes; a wrong file names every problem."""
    for name in ("caller-facing.pem", "caller-facing.key"):
        (tmp_path / name).touch()
    module = f"plantainproxy.{part}.main"
    example = EXAMPLES / f"{part}.toml"
    valid = _run_module(module, f"--settings={example}", "--check-only", cwd=tmp_path)
    assert valid.returncode == 0, valid.stderr
    assert valid.stdout == "The settings are valid.\n"
    wrong = tmp_path / "wrong.toml"
    text = example.read_text().replace('domain = "rimouski"', "domain = 5")
    wrong.write_text("surprise = 1\n" + text)
    refused = _run_module(module, f"--settings={wrong}", "--check-only", cwd=tmp_path)
    assert refused.returncode == INVALID_SETTINGS
    assert f"{wrong}: surprise: unknown key" in refused.stderr
    assert f"{wrong}: domain: Expected `str`" in refused.stderr


def test_the_example_configuration_passes_the_command_lines_check(
    tmp_path: pathlib.Path,
) -> None:
    """An operator can begin with the example."""
    file = EXAMPLES / "configuration.toml"
    checked = _run_module("plantainproxy.ctl.main", "check", str(file), cwd=tmp_path)
    assert checked.returncode == 0, checked.stderr
    settings = EXAMPLES / "plantainctl.toml"
    asked = _run_module(
        "plantainproxy.ctl.main", f"--settings={settings}", "--help", cwd=tmp_path
    )
    assert asked.returncode == 0, asked.stderr


async def _log_until(
    process: processes.Process, holds: abc.Callable[[list[str]], bool]
) -> list[str]:
    while True:
        lines = process.log.read_text().splitlines()
        if holds(lines):
            return lines
        await trio.sleep(POLL_SECONDS)


def _messages(lines: list[str]) -> list[str]:
    """Return the messages of the lines that are JSON."""
    return [json.loads(line)["message"] for line in lines if line.startswith("{")]


async def _reload_scenario() -> None:
    async with cluster_module.open_cluster(PLAN) as cluster:
        balancer = cluster.balancers[0]
        process = balancer.process
        await cluster_module.start_balancer(cluster, balancer)
        extra = "grace_seconds = 1.5\n"
        cluster_module.write_balancer_settings(cluster, balancer, extra=extra)
        path = cluster.directory / f"{process.name}.toml"
        path.write_text(path.read_text() + '[telemetry]\nlog_format = "json"\n')
        processes.send_signal(process, signal.SIGHUP)
        lines = await _log_until(
            process, lambda lines: "The settings are reloaded." in _messages(lines)
        )
        assert "A change of grace_seconds needs a restart." in _messages(lines)
        path.write_text("nonsense\n")
        processes.send_signal(process, signal.SIGHUP)
        lines = await _log_until(
            process,
            lambda lines: any("not reloaded" in text for text in _messages(lines)),
        )
        assert processes.is_running(process)
        record = json.loads(lines[-1])
        assert set(record) >= {"time", "level", "part", "message"}
        assert await processes.stop(process) == 0


def test_a_hangup_reloads_the_settings_of_a_running_daemon() -> None:
    """The log changes to JSON lines; a wrong file changes nothing."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _reload_scenario()

    trio.run(guarded)


async def _receive_names(server: trio.socket.SocketType, found: set[str]) -> None:
    while True:
        received = await server.recv(65_536)
        for line in received.decode().splitlines():
            name, _, kind = line.partition(":")
            found.add(f"{name} {kind.partition('|')[2]}")


def _unlisted(found: set[str]) -> set[str]:
    """Return what was sent and is not in the closed list."""
    kinds = {names.Kind.COUNTER: "c", names.Kind.GAUGE: "g"}
    listed = {
        (metric.part.value, metric.name, kinds[metric.kind]) for metric in names.METRICS
    }
    strange = set()
    for entry in found:
        name, _, kind = entry.partition(" ")
        _, part, _, metric = name.split(".", 3)
        if (part, metric, kind) not in listed:
            strange.add(entry)
    return strange


async def _metrics_scenario() -> set[str]:
    found: set[str] = set()
    with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        await server.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        async with (
            cluster_module.open_cluster(PLAN) as cluster,
            trio.open_nursery() as nursery,
        ):
            cluster.extra_settings = (
                f'[telemetry]\nstatsd_address = "{address}"\n'
                "statsd_interval_seconds = 0.2\n"
            )
            nursery.start_soon(_receive_names, server, found)
            await cluster_module.start(cluster)
            plan = caller.Plan(
                service=cluster.services["mowers"],
                seconds=2.0,
                posts_per_second=5.0,
                body_bytes=TOO_LARGE_BYTES,
            )
            while not any("refusals.too-large" in name for name in found):
                await caller.hold_lines(plan, caller.Report())
            nursery.cancel_scope.cancel()
    return found


def test_daemons_send_only_listed_metrics() -> None:
    """Each gauge of each part arrives, and refusals are counted by kind."""

    async def guarded() -> set[str]:
        with trio.fail_after(HANG_SECONDS):
            return await _metrics_scenario()

    found = trio.run(guarded)
    assert _unlisted(found) == set()
    sent = {(name.split(".")[1], name.split(".", 3)[3]) for name in found}
    for metric in names.METRICS:
        if metric.kind is names.Kind.GAUGE:
            assert (metric.part.value, f"{metric.name} g") in sent
