"""Settings, reload, logs and metrics of the balancer and sidecar processes."""

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

TEST_TIMEOUT_SECONDS = 90
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
        timeout=TEST_TIMEOUT_SECONDS,
    )


@pytest.mark.parametrize("part", ["balancer", "sidecar"])
def test_check_only_reports_whether_the_settings_are_valid(
    part: str, tmp_path: pathlib.Path
) -> None:
    """The documented example is valid; each problem of an invalid file is reported."""
    for name in ("caller-facing.pem", "caller-facing.key"):
        (tmp_path / name).touch()
    module = f"plantainproxy.{part}.main"
    example = EXAMPLES / f"{part}.toml"
    valid_result = _run_module(
        module, f"--settings={example}", "--check-only", cwd=tmp_path
    )
    assert valid_result.returncode == 0, valid_result.stderr
    assert valid_result.stdout == "The settings are valid.\n"
    invalid_file = tmp_path / "wrong.toml"
    text = example.read_text().replace('domain = "rimouski"', "domain = 5")
    invalid_file.write_text("surprise = 1\n" + text)
    invalid_result = _run_module(
        module, f"--settings={invalid_file}", "--check-only", cwd=tmp_path
    )
    assert invalid_result.returncode == INVALID_SETTINGS
    assert f"{invalid_file}: surprise: unknown key" in invalid_result.stderr
    assert f"{invalid_file}: domain: Expected `str`" in invalid_result.stderr


def test_the_example_configuration_passes_the_command_lines_check(
    tmp_path: pathlib.Path,
) -> None:
    """The example configuration and the example settings of plantainctl are valid."""
    file = EXAMPLES / "configuration.toml"
    check_result = _run_module(
        "plantainproxy.ctl.main", "check", str(file), cwd=tmp_path
    )
    assert check_result.returncode == 0, check_result.stderr
    settings = EXAMPLES / "plantainctl.toml"
    help_result = _run_module(
        "plantainproxy.ctl.main", f"--settings={settings}", "--help", cwd=tmp_path
    )
    assert help_result.returncode == 0, help_result.stderr


async def _wait_for_log(
    process: processes.Process, condition: abc.Callable[[list[str]], bool]
) -> list[str]:
    while True:
        lines = process.log.read_text().splitlines()
        if condition(lines):
            return lines
        await trio.sleep(POLL_SECONDS)


def _messages(lines: list[str]) -> list[str]:
    """Return the messages of the JSON log lines; plain-text lines are skipped."""
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
        lines = await _wait_for_log(
            process, lambda lines: "The settings are reloaded." in _messages(lines)
        )
        assert "A change of grace_seconds needs a restart." in _messages(lines)
        path.write_text("nonsense\n")
        processes.send_signal(process, signal.SIGHUP)
        lines = await _wait_for_log(
            process,
            lambda lines: any("not reloaded" in text for text in _messages(lines)),
        )
        assert processes.is_running(process)
        record = json.loads(lines[-1])
        assert set(record) >= {"time", "level", "part", "message"}
        assert await processes.stop(process) == 0


def test_a_hangup_reloads_the_settings_of_a_running_daemon() -> None:
    """SIGHUP applies the new log format; an invalid file changes nothing."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _reload_scenario()

    trio.run(run_with_timeout)


async def _collect_metrics(
    server: trio.socket.SocketType, received_metrics: set[str]
) -> None:
    while True:
        datagram = await server.recv(65_536)
        for line in datagram.decode().splitlines():
            name, _, kind = line.partition(":")
            received_metrics.add(f"{name} {kind.partition('|')[2]}")


def _unlisted_metrics(received_metrics: set[str]) -> set[str]:
    """Return the metrics that ``telemetry.names`` does not list, with their kinds."""
    kinds = {names.Kind.COUNTER: "c", names.Kind.GAUGE: "g"}
    listed = {
        (metric.part.value, metric.name, kinds[metric.kind]) for metric in names.METRICS
    }
    unlisted = set()
    for entry in received_metrics:
        name, _, kind = entry.partition(" ")
        _, part, _, metric = name.split(".", 3)
        if (part, metric, kind) not in listed:
            unlisted.add(entry)
    return unlisted


async def _metrics_scenario() -> set[str]:
    received_metrics: set[str] = set()
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
            nursery.start_soon(_collect_metrics, server, received_metrics)
            await cluster_module.start(cluster)
            plan = caller.Plan(
                service=cluster.services["mowers"],
                seconds=2.0,
                posts_per_second=5.0,
                body_bytes=TOO_LARGE_BYTES,
            )
            while not any("refusals.too-large" in name for name in received_metrics):
                await caller.run_plan(plan, caller.Report())
            nursery.cancel_scope.cancel()
    return received_metrics


def test_daemons_send_only_listed_metrics() -> None:
    """Every listed gauge of both programs is sent, and refusals are counted by kind."""

    async def run_with_timeout() -> set[str]:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            return await _metrics_scenario()

    received_metrics = trio.run(run_with_timeout)
    assert _unlisted_metrics(received_metrics) == set()
    sent = {(name.split(".")[1], name.split(".", 3)[3]) for name in received_metrics}
    for metric in names.METRICS:
        if metric.kind is names.Kind.GAUGE:
            assert (metric.part.value, f"{metric.name} g") in sent
