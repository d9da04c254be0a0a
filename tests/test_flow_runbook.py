"""Tests that the runbook's commands find the cause of a failed request in real logs."""

from collections import abc
import pathlib
import re
import signal
import subprocess

import pytest
import trio

from standins import flow_ends
from testbed import flow_site, processes

BLOCK = re.compile(r"^```shell\n(.*?)^```$", re.MULTILINE | re.DOTALL)
DEADLINE_SECONDS = 40.0
SETTLE_SECONDS = 0.5


def _runbook(number: int) -> list[str]:
    text = (processes.ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    lines = BLOCK.findall(text)[number].splitlines()
    return [line.removeprefix("$ ") for line in lines]


def _run_command(command: str, *, caller: str, logs: pathlib.Path) -> str:
    completed = subprocess.run(
        ["bash", "-c", command],
        env={"PATH": "/usr/bin:/bin", "CALLER": caller, "LOGS": str(logs)},
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout


async def _remove_route(site: flow_site.Site) -> str:
    """Remove the route and return the address of a caller whose flow is reset."""
    site.configure(routes=False)
    await trio.sleep(1.5)
    caller = site.caller()
    with pytest.raises(flow_ends.FlowResetError):
        async with flow_ends.open_flow(caller, flow_site.SERVICE):
            pass
    return f"{caller.address.host}:{caller.port}"


async def _pause_sidecars(site: flow_site.Site) -> str:
    """Pause all sidecars and return the address of a caller that gets no response."""
    for node in site.sidecars:
        node.signal(signal.SIGSTOP)
    await trio.sleep(3.5)
    caller = site.caller()
    with pytest.raises(flow_ends.NoAnswerError):
        async with flow_ends.open_flow(caller, flow_site.SERVICE):
            pass
    for node in site.sidecars:
        node.signal(signal.SIGCONT)
    return f"{caller.address.host}:{caller.port}"


async def _crash_upstreams(site: flow_site.Site) -> str:
    """Crash the upstreams during a flow and return the address of its caller."""
    caller = site.caller()
    async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
        await flow.request(b"x")
        for upstream in site.upstreams:
            upstream.crash()
        with pytest.raises(flow_ends.FlowResetError):
            await flow.request(b"y")
    return f"{caller.address.host}:{caller.port}"


@pytest.mark.parametrize(
    ("number", "cause_failure", "cause"),
    [
        (0, _remove_route, '"reason":"no route"'),
        (1, _pause_sidecars, '"message":"waiting"'),
        (2, _crash_upstreams, '"reason":"connection refused"'),
    ],
    ids=["refused", "timed out", "cut"],
)
def test_the_runbook_leads_to_the_cause(
    tmp_path: pathlib.Path,
    number: int,
    cause_failure: abc.Callable[[flow_site.Site], abc.Awaitable[str]],
    cause: str,
) -> None:
    """Every command prints at least one line, and the cause is among them."""

    async def main() -> str:
        with trio.fail_after(DEADLINE_SECONDS):
            async with flow_site.running(tmp_path, number=50 + number) as site:
                caller = await cause_failure(site)
                await trio.sleep(SETTLE_SECONDS)
                return caller

    caller = trio.run(main)
    printed = [
        _run_command(command, caller=caller, logs=tmp_path)
        for command in _runbook(number)
    ]
    assert all(printed), printed
    assert cause in "".join(printed)
