"""Checks that hold in every run, whatever the faults.

Each takes what the callers were told and what the upstreams logged, and returns one
sentence for each violation.
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

WRONG_ANSWERS = ("mismatched", "truncated")
WHOLE = "matches"
SAMPLE_SECONDS = 0.2


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

    def executions(self) -> abc.Iterator[Execution]:
        """Return every execution that was read."""
        for executions in self.by_upstream.values():
            yield from executions


def _execution(
    host: cluster_module.Host, logged: abc.Mapping[str, typing.Any]
) -> Execution:
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


def without_label(log: Log, label: str) -> Log:
    """Leave out the requests of callers whose address was moved between pools."""
    kept = Log()
    for name, executions in log.by_upstream.items():
        kept.by_upstream[name] = [
            one for one in executions if not one.token.startswith(label)
        ]
    return kept


def doubled(log: Log) -> abc.Iterator[str]:
    """Find idempotency keys that ran more than once."""
    counts = collections.Counter(
        execution.key for execution in log.executions() if execution.key
    )
    for key, count in counts.items():
        if count > 1:
            yield f"Key {key} ran {count} times."


def _crossed(log: Log) -> abc.Iterator[str]:
    for execution in log.executions():
        if execution.token and not execution.token.startswith(f"{execution.pool}."):
            yield f"{execution.token} ran in pool {execution.pool}."


def untrue_refusals(
    log: Log, reports: abc.Mapping[str, caller.Report]
) -> abc.Iterator[str]:
    """Find requests that ran although every attempt was told "not run"."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, told in report.request_records.items():
            only_not_run = set(told.answers) == {_types.Outcome.NOT_RUN.value}
            if only_not_run and token in ran:
                yield f"{token} ran; its caller was told it did not."


def _wrong_answers(reports: abc.Mapping[str, caller.Report]) -> abc.Iterator[str]:
    for pool, report in reports.items():
        for name in WRONG_ANSWERS:
            if report.counts[name]:
                yield f"{report.counts[name]} answers of {pool} were {name}."


def _unanswered(
    log: Log, reports: abc.Mapping[str, caller.Report]
) -> abc.Iterator[str]:
    """Find whole answers to requests that no upstream ran."""
    ran = {execution.token for execution in log.executions()}
    for report in reports.values():
        for token, told in report.request_records.items():
            if WHOLE in told.answers and token not in ran:
                yield f"{token} was answered and never ran."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RevisionSample:
    """What one run of one balancer had in force at one moment."""

    balancer: str
    process: int
    """Tells the runs of one balancer apart."""
    revision: int
    key_revision: int


async def _sample_forever(
    cluster: cluster_module.Cluster,
    balancer: cluster_module.Balancer,
    samples: list[RevisionSample],
) -> None:
    while True:
        running = balancer.process.running
        reply = await steps.status(cluster, balancer)
        if running is not None and reply is not None and running.poll() is None:
            samples.append(
                RevisionSample(
                    balancer=str(balancer.rpc),
                    process=running.pid,
                    revision=reply.revision,
                    key_revision=reply.key_revision,
                )
            )
        await trio.sleep(SAMPLE_SECONDS)


@contextlib.asynccontextmanager
async def revisions_watched(
    cluster: cluster_module.Cluster,
) -> abc.AsyncIterator[list[RevisionSample]]:
    """Sample the revisions of every balancer while the block runs."""
    samples: list[RevisionSample] = []
    async with trio.open_nursery() as nursery:
        for balancer in cluster.balancers:
            nursery.start_soon(_sample_forever, cluster, balancer, samples)
        yield samples
        nursery.cancel_scope.cancel()


def reverted(samples: abc.Sequence[RevisionSample]) -> abc.Sequence[str]:
    """Find balancers whose configuration or key set went back."""
    found = []
    last: dict[int, RevisionSample] = {}
    for sample in samples:
        before = last.get(sample.process, sample)
        if sample.revision < before.revision:
            found.append(f"{sample.balancer} fell to revision {sample.revision}.")
        if sample.key_revision < before.key_revision:
            found.append(f"{sample.balancer} fell to keys {sample.key_revision}.")
        last[sample.process] = sample
    return found


def unanswered(running: load.Load) -> abc.Sequence[str]:
    """Find requests that never got a whole answer, with what was told instead."""
    return [
        f"{told.method} {token}: {told.answers}"
        for report in running.reports.values()
        for token, told in report.request_records.items()
        if WHOLE not in told.answers
    ]


def cut(running: load.Load) -> abc.Sequence[str]:
    """Find requests without a whole answer that were not just refused as not run."""
    return [
        f"{told.method} {token}: {told.answers}"
        for report in running.reports.values()
        for token, told in report.request_records.items()
        if WHOLE not in told.answers
        and set(told.answers) != {_types.Outcome.NOT_RUN.value}
    ]


def violations(
    log: Log, running: load.Load, *, log_is_whole: bool
) -> abc.Sequence[str]:
    """Return every violation; a lost log cannot show that a request never ran."""
    found = [
        *doubled(log),
        *_crossed(log),
        *untrue_refusals(log, running.reports),
        *_wrong_answers(running.reports),
    ]
    if log_is_whole:
        found.extend(_unanswered(log, running.reports))
    return found
