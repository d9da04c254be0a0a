"""Promise 10: an accepted configuration becomes active everywhere and never reverts.

The store fails before, during and after changes, answers with stale data, or cannot be
reached by one balancer. No process may return to an older revision.
"""

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

TEST_TIMEOUT_SECONDS = 150
LOAD_PLAN = load.LoadPlan(lines=3, seed=10)
OBSERVATION_SECONDS = 1.0
"""A change that failed must have no effect for this time."""
OUTAGE_SECONDS = 1.0
FREEZE_SECONDS = 2.0
CHANGES_DURING_FAULT = 3
SLOW_MILLISECONDS = 300
READS_BEFORE_OUTAGE = (1, 2, 3)
STALE_REVISIONS = 2
EXPECTED_STALE_READS = 2
"""Number of stale reads by the balancer to wait for."""
LOST_RESPONSES = 3
CONCURRENT_CHANGE_ROUNDS = 3
POOL = "firmware"
NO_FAULTS = {
    "down": "",
    "slow_milliseconds": 0,
    "lose_next_answers": 0,
    "stale_reads": 0,
}
_ErrorKind = _exceptions.ErrorKind
NOT_APPLIED_KINDS = {_ErrorKind.STORE_UNAVAILABLE, _ErrorKind.CONFLICT}
"""Errors that guarantee that the change has no effect."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Harness:
    """The running site and the state of the changes proposed so far."""

    cluster: cluster_module.Cluster
    link: fault_proxy.Link
    """The proxy between the last balancer and the store."""
    revision: int = 0
    """The newest revision that was returned to an operator."""
    change_count: int = 0


async def _propose(
    harness: Harness, *, through: cluster_module.Balancer | None = None
) -> int | _exceptions.ErrorKind:
    """Propose a change with a value that no other change uses."""
    harness.change_count += 1
    value = 100 + harness.change_count
    return await steps.outcome_of(
        lambda: steps.set_pool(
            harness.cluster, POOL, max_running=value, through=through
        )
    )


async def _accept(
    harness: Harness, *, through: cluster_module.Balancer | None = None
) -> None:
    """Propose a change and check that it is accepted as the next revision."""
    outcome = await _propose(harness, through=through)
    assert outcome == harness.revision + 1
    harness.revision += 1


async def _wait_until_active_everywhere(harness: Harness, label: str) -> None:
    seconds = await steps.wait_until_revision(harness.cluster, harness.revision)
    sidecars = await steps.wait_until_sidecars_have(harness.cluster, harness.revision)
    print(
        f"{label}: on balancers after {seconds:.2f} s, sidecars {sidecars:.2f} s more"
    )


async def _check_unchanged(harness: Harness) -> None:
    await trio.sleep(OBSERVATION_SECONDS)
    for balancer in harness.cluster.balancers:
        reply = await steps.status(harness.cluster, balancer)
        assert reply is not None
        assert reply.revision == harness.revision


@contextlib.asynccontextmanager
async def _store_faults(harness: Harness, **faults: object) -> abc.AsyncIterator[None]:
    await controls.set_store_faults(harness.cluster, **faults)
    yield
    await controls.set_store_faults(harness.cluster, **NO_FAULTS)


async def _check_outcome(
    harness: Harness, outcome: int | _exceptions.ErrorKind
) -> None:
    """Check the outcome of a change that was proposed during a fault.

    An accepted change is the next revision, and one of ``NOT_APPLIED_KINDS`` has no
    effect. After ``CHANGE_UNKNOWN`` the change is either active or not written.
    """
    print(f"  outcome: {outcome}")
    if isinstance(outcome, int):
        assert outcome == harness.revision + 1
        harness.revision = outcome
    elif outcome in NOT_APPLIED_KINDS:
        await _check_unchanged(harness)
    else:
        assert outcome is _ErrorKind.CHANGE_UNKNOWN
        newest = await steps.newest_revision(harness.cluster)
        assert newest - harness.revision in (0, 1)
        harness.revision = newest


async def _store_lost_before_change(harness: Harness) -> None:
    for outage in ("refused", "silent", "closed"):
        async with _store_faults(harness, down=outage):
            outcome = await _propose(harness)
            assert outcome in NOT_APPLIED_KINDS, (
                f"{outage}: expected one of {NOT_APPLIED_KINDS}, got {outcome}"
            )
            await _check_unchanged(harness)
        await _accept(harness)
        await steps.wait_until_revision(harness.cluster, harness.revision)
    await _wait_until_active_everywhere(harness, "store down before the change")


async def _count_store_calls(harness: Harness, kind: str) -> int:
    counts = await controls.request_json(
        harness.cluster.store_control, "GET", "/standin/counts"
    )
    return int(counts.get(kind, 0))


async def _store_lost_during_change(harness: Harness) -> None:
    """Take the store down after each of the reads that precede a change's write."""
    for read_count in READS_BEFORE_OUTAGE:
        await _lose_store_after_reads(harness, read_count)


async def _lose_store_after_reads(harness: Harness, read_count: int) -> None:
    range_calls_before = await _count_store_calls(harness, "range")
    outcomes: list[int | _exceptions.ErrorKind] = []

    async def propose_change() -> None:
        outcomes.append(await _propose(harness))

    await controls.set_store_faults(
        harness.cluster, slow_milliseconds=SLOW_MILLISECONDS
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(propose_change)
        while (
            await _count_store_calls(harness, "range") < range_calls_before + read_count
        ):
            await trio.sleep(cluster_module.POLL_SECONDS)
        await controls.set_store_faults(harness.cluster, down="refused")
        await trio.sleep(OUTAGE_SECONDS)
        await controls.set_store_faults(harness.cluster, **NO_FAULTS)
    await _check_outcome(harness, outcomes[0])
    await _wait_until_active_everywhere(harness, f"store down after {read_count} reads")


async def _store_response_lost(harness: Harness) -> None:
    async with _store_faults(harness, lose_next_answers=LOST_RESPONSES):
        outcome = await _propose(harness)
    assert outcome not in NOT_APPLIED_KINDS, (
        f"expected none of {NOT_APPLIED_KINDS}, got {outcome}"
    )
    await _check_outcome(harness, outcome)
    await _wait_until_active_everywhere(harness, "store response lost")


async def _store_lost_after_change(harness: Harness) -> None:
    """Mute the watches before a change and take the store down right after it.

    The change can then spread only between the processes.
    """
    await controls.set_store_faults(harness.cluster, mute_connections=True)
    await _accept(harness)
    async with _store_faults(harness, down="refused"):
        await _wait_until_active_everywhere(harness, "store down after the change")


async def _concurrent_operators(harness: Harness) -> None:
    for _ in range(CONCURRENT_CHANGE_ROUNDS):
        limits = [harness.change_count + 101, harness.change_count + 102]
        harness.change_count += 2
        outcomes = await steps.propose_concurrently(
            harness.cluster,
            [
                operator_pb2.ChangeRequest(
                    set_pool=operator_pb2.SetPool(name=POOL, max_running=value),
                    expected_revision=harness.revision,
                )
                for value in limits
            ],
            through=harness.cluster.balancers,
        )
        harness.revision += 1
        assert sorted(map(str, outcomes)) == sorted(
            map(str, [harness.revision, _ErrorKind.CONFLICT])
        )
        await steps.wait_until_revision(harness.cluster, harness.revision)
    await _wait_until_active_everywhere(harness, "concurrent operators")


async def _balancer_partitioned_from_store(harness: Harness) -> None:
    """Partition one balancer from the store without closing its connections."""
    harness.link.forward = fault_proxy.Faults(silent=True)
    harness.link.backward = fault_proxy.Faults(silent=True)
    for _ in range(CHANGES_DURING_FAULT):
        await _accept(harness, through=harness.cluster.balancers[0])
        await steps.wait_until_revision(harness.cluster, harness.revision)
    await _wait_until_active_everywhere(harness, "one balancer without the store")
    harness.link.restore()


async def _seat_holder_frozen(harness: Harness) -> None:
    """Freeze a seat holder until its lease has expired, while changes are made."""
    frozen_balancer = harness.cluster.balancers[1]
    # The steps before take the store down, so the seat may not be claimed again yet.
    await steps.wait_until_seat_holder(harness.cluster, frozen_balancer)
    reply = await steps.status(harness.cluster, frozen_balancer)
    assert reply is not None
    assert reply.seat_holder
    processes.freeze(frozen_balancer.process)
    await controls.set_store_faults(harness.cluster, expire_lease=True)
    for _ in range(CHANGES_DURING_FAULT):
        await _accept(harness, through=harness.cluster.balancers[0])
    await trio.sleep(FREEZE_SECONDS)
    processes.resume(frozen_balancer.process)
    await _wait_until_active_everywhere(harness, "frozen seat holder resumed")


async def _stale_store_reads(harness: Harness) -> None:
    """Return stale data to a seat holder while its peers are frozen.

    No peer can send it the newest revision, so only its own state protects it.
    """
    *peers, stale_reader = harness.cluster.balancers
    await steps.wait_until_seat_holder(harness.cluster, stale_reader)
    for _ in range(CHANGES_DURING_FAULT):
        await _accept(harness)
    await _wait_until_active_everywhere(harness, "before stale reads")
    async with _store_faults(harness, stale_reads=STALE_REVISIONS):
        outcome = await _propose(harness)
        await _check_outcome(harness, outcome)
        range_calls_before = await _count_store_calls(harness, "range")
        for peer in peers:
            processes.freeze(peer.process)
        await controls.set_store_faults(harness.cluster, down="refused")
        await controls.set_store_faults(harness.cluster, down="")
        while (
            await _count_store_calls(harness, "range")
            < range_calls_before + EXPECTED_STALE_READS
        ):
            await trio.sleep(cluster_module.POLL_SECONDS)
        await trio.sleep(OBSERVATION_SECONDS)
        reply = await steps.status(harness.cluster, stale_reader)
        assert reply is not None
        assert reply.revision == harness.revision
        for peer in peers:
            processes.resume(peer.process)
    await _accept(harness)
    await _wait_until_active_everywhere(harness, "after stale reads")


async def _restart_without_store(harness: Harness) -> None:
    """Restart a balancer with the store down; it gets the revision from its peers."""
    balancer = harness.cluster.balancers[2]
    async with _store_faults(harness, down="refused"):
        await processes.kill(balancer.process)
        await cluster_module.start_balancer(harness.cluster, balancer)
        await steps.wait_until_healthy(harness.cluster, harness.cluster.balancers)
        await steps.wait_until_store_is(harness.cluster, balancer, state="unreachable")
        await _check_unchanged(harness)
        print("restarted without the store: the newest revision is active")


STEPS: tuple[abc.Callable[[Harness], abc.Awaitable[None]], ...] = (
    _stale_store_reads,
    _store_lost_before_change,
    _store_lost_during_change,
    _store_response_lost,
    _store_lost_after_change,
    _concurrent_operators,
    _balancer_partitioned_from_store,
    _seat_holder_frozen,
    _restart_without_store,
)


async def _scenario() -> None:
    async with (
        cluster_module.open_cluster(site.SMALL) as cluster,
        fault_proxy.open_tcp_link(cluster.store_address) as link,
    ):
        cluster.store_endpoints[cluster.balancers[2].host] = link.address
        await cluster_module.start(cluster)
        harness = Harness(cluster=cluster, link=link, revision=1)
        async with (
            load.steady_load(cluster, LOAD_PLAN) as running_load,
            invariants.sample_revisions(cluster) as samples,
        ):
            for step in STEPS:
                await step(harness)
        log = await invariants.read_all(cluster)
        assert invariants.violations(log, running_load, log_is_complete=True) == []
        assert invariants.revision_regressions(samples) == []
        assert max(sample.revision for sample in samples) == harness.revision
        assert load.total(running_load, "broken_flows") == 0
        assert load.total(running_load, "matches") > 0


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
    """Every revision returned to an operator spreads, whatever the store's faults."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)
