"""Checks that hold in every run, whatever the faults.

Each takes what the callers were told and what the upstreams logged, and returns one
sentence for each violation.
"""

import collections
from collections.abc import Iterator, Mapping, Sequence
import contextlib
import dataclasses
from typing import Any

from plantainproxy import _types
from standins import caller
from testbed import cluster as cluster_module
from testbed import controls, load

WRONG_ANSWERS = ("mismatched", "truncated")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One run of a request on a stand-in upstream."""

    upstream: str
    pool: str
    method: str
    key: str
    """The idempotency key; empty for none."""
    token: str
    """Names the request; begins with the pool that the caller meant."""


class Log:
    """What the upstreams ran; kept over the end of an upstream's process."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_upstream: dict[str, list[Execution]] = {}

    def executions(self) -> Iterator[Execution]:
        """Return every execution that was read."""
        for executions in self.by_upstream.values():
            yield from executions


def _execution(host: cluster_module.Host, logged: Mapping[str, Any]) -> Execution:
    return Execution(
        upstream=str(host.upstream_address),
        pool=host.pool,
        method=str(logged["method"]),
        key=str(logged["key"]),
        token=str(logged["token"]),
    )


async def read_upstream(log: Log, host: cluster_module.Host) -> None:
    """Read what one upstream ran since its start; call it before killing one."""
    logged = await controls.upstream_executions(host)
    name = f"{host.upstream_address}#{host.upstream.ready_words}"
    if host.upstream.running is not None:
        name = f"{host.upstream_address}#{host.upstream.running.pid}"
    log.by_upstream[name] = [_execution(host, entry) for entry in logged]


async def read_all(cluster: cluster_module.Cluster) -> Log:
    """Read what every running upstream ran."""
    log = Log()
    for host in cluster.hosts:
        with contextlib.suppress(OSError):
            await read_upstream(log, host)
    return log


def _doubled(log: Log) -> Iterator[str]:
    counts = collections.Counter(
        execution.key for execution in log.executions() if execution.key
    )
    for key, count in counts.items():
        if count > 1:
            yield f"Key {key} ran {count} times."


def _crossed(log: Log) -> Iterator[str]:
    for execution in log.executions():
        if execution.token and not execution.token.startswith(f"{execution.pool}."):
            yield f"{execution.token} ran in pool {execution.pool}."


def _untrue_refusals(log: Log, reports: Mapping[str, caller.Report]) -> Iterator[str]:
    """Find requests that ran although every attempt was told "not run"."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, told in report.told.items():
            only_not_run = set(told.answers) == {_types.Outcome.NOT_RUN.value}
            if only_not_run and token in ran:
                yield f"{token} ran; its caller was told it did not."


def _wrong_answers(reports: Mapping[str, caller.Report]) -> Iterator[str]:
    for pool, report in reports.items():
        for name in WRONG_ANSWERS:
            if report.counts[name]:
                yield f"{report.counts[name]} answers of {pool} were {name}."


def _unanswered(log: Log, reports: Mapping[str, caller.Report]) -> Iterator[str]:
    """Find whole answers to requests that no upstream ran."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, told in report.told.items():
            if "matches" in told.answers and token not in ran:
                yield f"{token} was answered and never ran."


def violations(log: Log, running: load.Load, *, log_is_whole: bool) -> Sequence[str]:
    """Return every violation; a lost log cannot show that a request never ran."""
    found = [
        *_doubled(log),
        *_crossed(log),
        *_untrue_refusals(log, running.reports),
        *_wrong_answers(running.reports),
    ]
    if log_is_whole:
        found.extend(_unanswered(log, running.reports))
    return found
