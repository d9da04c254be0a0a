"""Invariants that every run must satisfy, whatever faults are injected.

Each check compares the results that callers received with the requests that upstreams
executed. It returns one message for each violation.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import typing

import trio

from plantainproxy import _types
from standins import caller
from testbed import cluster as cluster_module
from testbed import controls, load, steps

WRONG_RESPONSES = ("mismatched", "truncated")
COMPLETE = "matches"
SAMPLE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One execution of a request on a stand-in upstream."""

    upstream: str
    pool: str
    method: str
    key: str
    """The idempotency key; empty for none."""
    token: str
    """Identifies the request; starts with the pool that the caller addressed."""


class ExecutionLog:
    """The requests that upstreams executed, also those of processes that ended."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.by_upstream: dict[str, list[Execution]] = {}

    def executions(self) -> abc.Iterator[Execution]:
        """Iterate over the executions of all upstreams."""
        for executions in self.by_upstream.values():
            yield from executions


def _parse_execution(
    host: cluster_module.Host, logged: abc.Mapping[str, typing.Any]
) -> Execution:
    return Execution(
        upstream=str(host.upstream_address),
        pool=host.pool,
        method=str(logged["method"]),
        key=str(logged["key"]),
        token=str(logged["token"]),
    )


async def read_upstream(log: ExecutionLog, host: cluster_module.Host) -> None:
    """Read the executions of one upstream process into the log.

    An upstream keeps them in memory, so call this before killing it.
    """
    logged = await controls.upstream_executions(host)
    name = f"{host.upstream_address}#{host.upstream.ready_words}"
    if host.upstream.handle is not None:
        name = f"{host.upstream_address}#{host.upstream.handle.pid}"
    log.by_upstream[name] = [_parse_execution(host, entry) for entry in logged]


async def read_all(cluster: cluster_module.Cluster) -> ExecutionLog:
    """Return the executions of all upstreams that can be reached."""
    log = ExecutionLog()
    for host in cluster.hosts:
        with contextlib.suppress(OSError):
            await read_upstream(log, host)
    return log


def without_label(log: ExecutionLog, label: str) -> ExecutionLog:
    """Return the log without the requests whose token starts with ``label``.

    Used for callers whose service address was moved to another pool during the run.
    """
    filtered = ExecutionLog()
    for name, executions in log.by_upstream.items():
        filtered.by_upstream[name] = [
            execution
            for execution in executions
            if not execution.token.startswith(label)
        ]
    return filtered


def duplicate_executions(log: ExecutionLog) -> abc.Iterator[str]:
    """Report idempotency keys with more than one execution."""
    counts = collections.Counter(
        execution.key for execution in log.executions() if execution.key
    )
    for key, count in counts.items():
        if count > 1:
            yield f"Key {key} ran {count} times."


def _wrong_pool_executions(log: ExecutionLog) -> abc.Iterator[str]:
    for execution in log.executions():
        if execution.token and not execution.token.startswith(f"{execution.pool}."):
            yield f"{execution.token} ran in pool {execution.pool}."


def false_refusals(
    log: ExecutionLog, reports: abc.Mapping[str, caller.Report]
) -> abc.Iterator[str]:
    """Report requests that ran although each attempt was refused as not run."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, record in report.request_records.items():
            only_not_run = set(record.answers) == {_types.Outcome.NOT_RUN.value}
            if only_not_run and token in ran:
                yield f"{token} ran, but all of its refusals said not run."


def _wrong_responses(reports: abc.Mapping[str, caller.Report]) -> abc.Iterator[str]:
    for pool, report in reports.items():
        for name in WRONG_RESPONSES:
            if report.counts[name]:
                details = "; ".join(report.mismatches)
                yield (
                    f"{report.counts[name]} responses of pool {pool} were {name}. "
                    f"{details}"
                )


def _responses_without_execution(
    log: ExecutionLog, reports: abc.Mapping[str, caller.Report]
) -> abc.Iterator[str]:
    """Report complete responses to requests that no upstream executed."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, record in report.request_records.items():
            if COMPLETE in record.answers and token not in ran:
                yield f"{token} got a complete response, but no upstream ran it."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionSample:
    """The active revisions of one balancer process at one time."""

    balancer: str
    process: int
    """The process ID; a restarted balancer has another one."""
    revision: int
    key_revision: int


async def _sample_forever(
    cluster: cluster_module.Cluster,
    balancer: cluster_module.Balancer,
    samples: list[RevisionSample],
) -> None:
    while True:
        handle = balancer.process.handle
        reply = await steps.status(cluster, balancer)
        if handle is not None and reply is not None and handle.poll() is None:
            samples.append(
                RevisionSample(
                    balancer=str(balancer.rpc),
                    process=handle.pid,
                    revision=reply.revision,
                    key_revision=reply.key_revision,
                )
            )
        await trio.sleep(SAMPLE_SECONDS)


@contextlib.asynccontextmanager
async def sample_revisions(
    cluster: cluster_module.Cluster,
) -> abc.AsyncIterator[list[RevisionSample]]:
    """Sample the revisions of every balancer until the block is left."""
    samples: list[RevisionSample] = []
    async with trio.open_nursery() as nursery:
        for balancer in cluster.balancers:
            nursery.start_soon(_sample_forever, cluster, balancer, samples)
        yield samples
        nursery.cancel_scope.cancel()


def revision_regressions(samples: abc.Sequence[RevisionSample]) -> abc.Sequence[str]:
    """Report balancer processes whose configuration or key revision decreased."""
    messages = []
    last: dict[int, RevisionSample] = {}
    for sample in samples:
        previous = last.get(sample.process, sample)
        if sample.revision < previous.revision:
            messages.append(
                f"{sample.balancer} went from revision {previous.revision} "
                f"back to {sample.revision}."
            )
        if sample.key_revision < previous.key_revision:
            messages.append(
                f"{sample.balancer} went from key revision {previous.key_revision} "
                f"back to {sample.key_revision}."
            )
        last[sample.process] = sample
    return messages


def unanswered_requests(active_load: load.Load) -> abc.Sequence[str]:
    """Report requests without a complete response, with the result of each attempt."""
    return [
        f"{record.method} {token}: {record.answers}"
        for report in active_load.reports.values()
        for token, record in report.request_records.items()
        if COMPLETE not in record.answers
    ]


def interrupted_requests(active_load: load.Load) -> abc.Sequence[str]:
    """Report requests without a complete response, with the result of each attempt.

    Requests whose attempts were all refused as not run are left out. A last attempt
    that the caller sent too late for a response does not count.
    """
    return [
        f"{record.method} {token}: {record.answers}"
        for report in active_load.reports.values()
        for token, record in report.request_records.items()
        if COMPLETE not in record.answers
        and set(record.answers) - {caller.EXPIRED} != {_types.Outcome.NOT_RUN.value}
    ]


def violations(
    log: ExecutionLog, active_load: load.Load, *, log_is_complete: bool
) -> abc.Sequence[str]:
    """Return the violations of all invariants.

    With an incomplete log, a missing execution does not prove that a request never
    ran, so the check for responses without an execution is skipped.
    """
    messages = [
        *duplicate_executions(log),
        *_wrong_pool_executions(log),
        *false_refusals(log, active_load.reports),
        *_wrong_responses(active_load.reports),
    ]
    if log_is_complete:
        messages.extend(_responses_without_execution(log, active_load.reports))
    return messages
