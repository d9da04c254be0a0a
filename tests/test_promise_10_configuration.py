"""Promise 10: an accepted configuration is in force everywhere and never reverts."""

from collections import abc
import contextlib
import dataclasses

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.rpc import operator_pb2
from standins import fault_proxy
from testbed import cluster as cluster_module
from testbed import controls, invariants, load, processes, site, steps

HANG_SECONDS = 150
PLAN = load.LoadPlan(lines=3, seed=10)
WINDOW_SECONDS = 1.0
"""How long a refused change must stay without effect."""
OUTAGE_SECONDS = 1.0
CUT_OFF_SECONDS = 2.0
CHANGES_MEANWHILE = 3
SLOW_MILLISECONDS = 300
READS_BEFORE_LOSS = (1, 2, 3)
STALE_REVISIONS = 2
STALE_READS = 2
"""How many stale answers are waited for."""
LOST_ANSWERS = 3
RACES = 3
POOL = "firmware"
NO_FAULTS = {
    "down": "",
    "slow_milliseconds": 0,
    "lose_next_answers": 0,
    "stale_reads": 0,
}
_Kind = _exceptions.ErrorKind
NOT_APPLIED = {_Kind.STORE_UNAVAILABLE, _Kind.CONFLICT}
"""Refusals that say that the change has no effect."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Bench:
    """The running site and what was accepted so far."""

    cluster: cluster_module.Cluster
    link: fault_proxy.Link
    """Between the last balancer and the store."""
    revision: int = 0
    """The newest revision that an operator was told."""
    changes: int = 0


async def _propose(
    bench: Bench, *, through: cluster_module.Balancer | None = None
) -> int | _exceptions.ErrorKind:
    """Propose a change unlike all others."""
    bench.changes += 1
    value = 100 + bench.changes
    return await steps.outcome_of(
        lambda: steps.set_pool(bench.cluster, POOL, max_running=value, through=through)
    )


async def _accept(
    bench: Bench, *, through: cluster_module.Balancer | None = None
) -> None:
    """Propose a change that must be accepted as the next revision."""
    outcome = await _propose(bench, through=through)
    assert outcome == bench.revision + 1
    bench.revision += 1


async def _in_force_everywhere(bench: Bench, name: str) -> None:
    seconds = await steps.wait_until_revision(bench.cluster, bench.revision)
    sidecars = await steps.wait_until_sidecars_have(bench.cluster, bench.revision)
    print(f"{name}: on balancers after {seconds:.2f} s, sidecars {sidecars:.2f} s more")


async def _unchanged(bench: Bench) -> None:
    await trio.sleep(WINDOW_SECONDS)
    for balancer in bench.cluster.balancers:
        reply = await steps.status(bench.cluster, balancer)
        assert reply is not None
        assert reply.revision == bench.revision


@contextlib.asynccontextmanager
async def _store_faults(bench: Bench, **faults: object) -> abc.AsyncIterator[None]:
    await controls.set_store_faults(bench.cluster, **faults)
    yield
    await controls.set_store_faults(bench.cluster, **NO_FAULTS)


async def _resolve(bench: Bench, outcome: int | _exceptions.ErrorKind) -> None:
    """Judge the answer to a change that met a fault once the store is well again."""
    print(f"  answer: {outcome}")
    if isinstance(outcome, int):
        assert outcome == bench.revision + 1
        bench.revision = outcome
    elif outcome in NOT_APPLIED:
        await _unchanged(bench)
    else:
        assert outcome is _Kind.CHANGE_UNKNOWN
        newest = await steps.newest_revision(bench.cluster)
        assert newest - bench.revision in (0, 1)
        bench.revision = newest


async def _store_lost_before(bench: Bench) -> None:
    for down in ("refused", "silent", "closed"):
        async with _store_faults(bench, down=down):
            outcome = await _propose(bench)
            assert outcome in NOT_APPLIED, outcome
            await _unchanged(bench)
        await _accept(bench)
        await steps.wait_until_revision(bench.cluster, bench.revision)
    await _in_force_everywhere(bench, "store lost before")


async def _calls_arrived(bench: Bench, kind: str) -> int:
    counts = await controls.request_json(
        bench.cluster.store_control, "GET", "/standin/counts"
    )
    return int(counts.get(kind, 0))


async def _lose_store_during(bench: Bench) -> None:
    """Lose the store while each of the change's reads, and then its write, waits."""
    for reads in READS_BEFORE_LOSS:
        await _lose_store_after(bench, reads)


async def _lose_store_after(bench: Bench, reads: int) -> None:
    ranges = await _calls_arrived(bench, "range")
    outcomes: list[int | _exceptions.ErrorKind] = []

    async def change() -> None:
        outcomes.append(await _propose(bench))

    await controls.set_store_faults(bench.cluster, slow_milliseconds=SLOW_MILLISECONDS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(change)
        while await _calls_arrived(bench, "range") < ranges + reads:
            await trio.sleep(cluster_module.POLL_SECONDS)
        await controls.set_store_faults(bench.cluster, down="refused")
        await trio.sleep(OUTAGE_SECONDS)
        await controls.set_store_faults(bench.cluster, **NO_FAULTS)
    await _resolve(bench, outcomes[0])
    await _in_force_everywhere(bench, f"store lost after {reads} reads")


async def _answer_lost(bench: Bench) -> None:
    async with _store_faults(bench, lose_next_answers=LOST_ANSWERS):
        outcome = await _propose(bench)
    assert outcome not in NOT_APPLIED, outcome
    await _resolve(bench, outcome)
    await _in_force_everywhere(bench, "answer lost")


async def _store_lost_after(bench: Bench) -> None:
    """Watches are silent before the change and the store is gone right after it."""
    await controls.set_store_faults(bench.cluster, mute_connections=True)
    await _accept(bench)
    async with _store_faults(bench, down="refused"):
        await _in_force_everywhere(bench, "store lost after")


async def _two_operators(bench: Bench) -> None:
    for _ in range(RACES):
        pools = [bench.changes + 101, bench.changes + 102]
        bench.changes += 2
        outcomes = await steps.propose_concurrently(
            bench.cluster,
            [
                operator_pb2.ChangeRequest(
                    set_pool=operator_pb2.SetPool(name=POOL, max_running=value),
                    expected_revision=bench.revision,
                )
                for value in pools
            ],
            through=bench.cluster.balancers,
        )
        bench.revision += 1
        assert sorted(map(str, outcomes)) == sorted(
            map(str, [bench.revision, _Kind.CONFLICT])
        )
        await steps.wait_until_revision(bench.cluster, bench.revision)
    await _in_force_everywhere(bench, "two operators")


async def _cut_from_store(bench: Bench) -> None:
    """One balancer of several is cut from the store, at first without notice."""
    bench.link.forward = fault_proxy.Faults(silent=True)
    bench.link.backward = fault_proxy.Faults(silent=True)
    for _ in range(CHANGES_MEANWHILE):
        await _accept(bench, through=bench.cluster.balancers[0])
        await steps.wait_until_revision(bench.cluster, bench.revision)
    await _in_force_everywhere(bench, "one balancer cut from the store")
    bench.link.restore()


async def _frozen_holder(bench: Bench) -> None:
    """Freeze a seat holder past the end of its lease while changes are made."""
    frozen = bench.cluster.balancers[1]
    reply = await steps.status(bench.cluster, frozen)
    assert reply is not None
    assert reply.seat_holder
    processes.freeze(frozen.process)
    await controls.set_store_faults(bench.cluster, expire_lease=True)
    for _ in range(CHANGES_MEANWHILE):
        await _accept(bench, through=bench.cluster.balancers[0])
    await trio.sleep(CUT_OFF_SECONDS)
    processes.resume(frozen.process)
    await _in_force_everywhere(bench, "frozen holder woken")


async def _stale_answers(bench: Bench) -> None:
    """Let a seat holder read stale answers while no peer can tell it better."""
    *peers, reader = bench.cluster.balancers
    await steps.wait_until_seat_holder(bench.cluster, reader)
    for _ in range(CHANGES_MEANWHILE):
        await _accept(bench)
    await _in_force_everywhere(bench, "before stale answers")
    async with _store_faults(bench, stale_reads=STALE_REVISIONS):
        outcome = await _propose(bench)
        await _resolve(bench, outcome)
        ranges = await _calls_arrived(bench, "range")
        for peer in peers:
            processes.freeze(peer.process)
        await controls.set_store_faults(bench.cluster, down="refused")
        await controls.set_store_faults(bench.cluster, down="")
        while await _calls_arrived(bench, "range") < ranges + STALE_READS:
            await trio.sleep(cluster_module.POLL_SECONDS)
        await trio.sleep(WINDOW_SECONDS)
        reply = await steps.status(bench.cluster, reader)
        assert reply is not None
        assert reply.revision == bench.revision
        for peer in peers:
            processes.resume(peer.process)
    await _accept(bench)
    await _in_force_everywhere(bench, "after stale answers")


async def _restart_without_store(bench: Bench) -> None:
    """With the store down a new process takes the newest revision from its peers."""
    balancer = bench.cluster.balancers[2]
    async with _store_faults(bench, down="refused"):
        await processes.kill(balancer.process)
        await cluster_module.start_balancer(bench.cluster, balancer)
        await steps.wait_until_healthy(bench.cluster, bench.cluster.balancers)
        await steps.wait_until_store_is(bench.cluster, balancer, state="unreachable")
        await _unchanged(bench)
        print("restarted without the store: has the newest revision")


STEPS: tuple[abc.Callable[[Bench], abc.Awaitable[None]], ...] = (
    _stale_answers,
    _store_lost_before,
    _lose_store_during,
    _answer_lost,
    _store_lost_after,
    _two_operators,
    _cut_from_store,
    _frozen_holder,
    _restart_without_store,
)


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        fault_proxy.open_tcp_link(cluster.store_address) as link,
    ):
        cluster.store_endpoints[cluster.balancers[2].host] = link.address
        await cluster_module.start(cluster)
        bench = Bench(cluster=cluster, link=link, revision=1)
        async with (
            load.steady_load(cluster, PLAN) as running,
            invariants.sample_revisions(cluster) as samples,
        ):
            for step in STEPS:
                await step(bench)
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running, log_is_complete=True) == []
        assert invariants.revision_regressions(samples) == []
        assert max(sample.revision for sample in samples) == bench.revision
        assert load.total(running, "broken_flows") == 0
        assert load.total(running, "matches") > 0


@pytest.mark.proof(promise=10, fault="store down", step="before the write")
@pytest.mark.proof(promise=10, fault="store down", step="during the change")
@pytest.mark.proof(promise=10, fault="answer lost", step="between write and answer")
@pytest.mark.proof(
    promise=10, fault="store down, watches silent", step="between answer and spread"
)
@pytest.mark.proof(promise=10, fault="two operators at once", step="configuration")
@pytest.mark.proof(
    promise=10, fault="balancer cut from the store", step="configuration"
)
@pytest.mark.proof(
    promise=10, fault="seat holder frozen past its lease", step="configuration"
)
@pytest.mark.proof(promise=10, fault="stale answers", step="configuration")
@pytest.mark.proof(promise=10, fault="balancer killed, store down", step="announcing")
def test_accepted_configuration_spreads_and_never_reverts() -> None:
    """Whatever happens to the store, what operators were told holds everywhere."""

    async def guarded() -> None:
        with trio.fail_after(HANG_SECONDS):
            await _scenario()

    trio.run(guarded)
