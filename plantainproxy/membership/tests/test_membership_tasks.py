"""Tests of the membership tasks of balancers and sidecars over real sockets."""

from collections import abc
import contextlib
import dataclasses
import random

import pytest
import trio

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import heartbeat, membership
from plantainproxy.membership import balancer, sidecar
from plantainproxy.rpc import bridge, messages, methods
from plantainproxy.settings import model as settings_model

TLS = settings_model.Tls()
ANY = _types.Address("127.0.0.1", 0)
INTERVAL_SECONDS = 0.1
TEST_TIMEOUT_SECONDS = 30


def configuration(revision: int) -> model.Configuration:
    """Return a configuration with two pools."""
    return model.Configuration(
        revision=revision,
        pools=(model.Pool(name="a"), model.Pool(name="b")),
        domains=(model.Domain(name="d", number=1),),
    )


def key_set(revision: int) -> model.KeySet:
    """Return a key set with one key."""
    keys = (model.Key(number=1, secret=bytes(32)),)
    return model.KeySet(revision=revision, current=1, keys=keys)


class FakeDocuments:
    """The active configuration and key set, in memory."""

    def __init__(self) -> None:
        """Start without a configuration and a key set."""
        self.current: model.Configuration | None = None
        self.keys: model.KeySet | None = None

    def configuration(self) -> model.Configuration | None:
        """Return the configuration, or ``None`` if there is none yet."""
        return self.current

    def key_set(self) -> model.KeySet | None:
        """Return the key set, or ``None`` if there is none yet."""
        return self.keys

    async def apply_configuration(self, configuration: model.Configuration) -> None:
        """Keep the document with the higher revision."""
        if self.current is None or configuration.revision > self.current.revision:
            self.current = configuration

    async def apply_key_set(self, key_set: model.KeySet) -> None:
        """Keep the document with the higher revision."""
        if self.keys is None or key_set.revision > self.keys.revision:
            self.keys = key_set


@dataclasses.dataclass(kw_only=True)
class Balancer:
    """A running balancer and the scope that cancels it."""

    address: _types.Address
    members: balancer.MemberTable
    documents: FakeDocuments
    scope: trio.CancelScope


class Fleet:
    """Balancers and sidecars that run in one process."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Create an empty fleet."""
        self.nursery = nursery
        self.balancers: list[Balancer] = []
        self.announcers: list[sidecar.Announcer] = []
        self.scopes: list[trio.CancelScope] = []

    async def _run_balancer(
        self,
        address: _types.Address,
        seeds: list[_types.Address],
        task_status: trio.TaskStatus[Balancer] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        documents = FakeDocuments()
        generation = 1 + len(self.balancers)
        bound_handlers: dict[methods.Method, bridge.Handler] = {}

        def forward(method: methods.Method) -> bridge.Handler:
            async def handle(request: object) -> object:
                return await bound_handlers[method](request)

            return handle

        forwarding_handlers = {
            method: forward(method)
            for method in (
                methods.Method.HEARTBEAT,
                methods.Method.GOSSIP,
                methods.Method.PULL,
            )
        }
        async with (
            bridge.open_client(TLS) as client,
            bridge.serve(
                address, forwarding_handlers, tls=TLS, grace_seconds=0.1
            ) as bound_address,
        ):
            members = balancer.MemberTable(
                _members.MemberRecord(
                    kind=_types.MemberKind.BALANCER,
                    rpc=bound_address,
                    domain="d",
                    generation=generation,
                    sequence=1,
                ),
                client=client,
                documents=documents,
                seeds=seeds,
                gossip_interval_seconds=INTERVAL_SECONDS,
                heartbeat_interval_seconds=INTERVAL_SECONDS * 3,
                rng=random.Random(generation),
            )
            bound_handlers.update(balancer.handlers(members))
            with trio.CancelScope() as scope:
                task_status.started(
                    Balancer(
                        address=bound_address,
                        members=members,
                        documents=documents,
                        scope=scope,
                    )
                )
                await balancer.run(members)

    async def add_balancer(self, address: _types.Address = ANY) -> Balancer:
        """Start a balancer with the addresses of the others as seeds."""
        seeds = [other.address for other in self.balancers]
        started: Balancer = await self.nursery.start(self._run_balancer, address, seeds)
        self.balancers.append(started)
        return started

    async def _run_sidecar(
        self,
        pool: str,
        task_status: trio.TaskStatus[sidecar.Announcer] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        number = 20_000 + len(self.announcers)
        async with bridge.open_client(TLS) as client:
            announcer = sidecar.Announcer(
                _members.MemberRecord(
                    kind=_types.MemberKind.SIDECAR,
                    rpc=_types.Address("127.0.0.9", number),
                    domain="d",
                    generation=1,
                    sequence=1,
                    pool=pool,
                    tunnel=_types.Address("127.0.0.8", number),
                ),
                client=client,
                seeds=[other.address for other in self.balancers],
                interval_seconds=INTERVAL_SECONDS,
                rng=random.Random(number),
            )
            with trio.CancelScope() as scope:
                self.scopes.append(scope)
                task_status.started(announcer)
                await sidecar.run(announcer)
            with trio.CancelScope(shield=True):
                if announcer.state.snapshot.record.state is _types.MemberState.LEFT:
                    await sidecar.leave(announcer)

    async def add_sidecar(self, pool: str) -> sidecar.Announcer:
        """Start a sidecar with the addresses of the balancers as seeds."""
        started: sidecar.Announcer = await self.nursery.start(self._run_sidecar, pool)
        self.announcers.append(started)
        return started


@contextlib.asynccontextmanager
async def fleet(
    balancers: int, pools: str
) -> abc.AsyncIterator[tuple[Fleet, list[Balancer], list[sidecar.Announcer]]]:
    """Start a fleet with one sidecar for each letter of ``pools``."""
    async with trio.open_nursery() as nursery:
        started = Fleet(nursery)
        for _ in range(balancers):
            await started.add_balancer()
        for pool in pools:
            await started.add_sidecar(pool)
        yield started, started.balancers, started.announcers
        nursery.cancel_scope.cancel()


async def eventually(condition: abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await trio.sleep(0.02)


def live_members(running: Balancer, pool: str) -> set[_types.Address]:
    """Return the live members of a pool in a balancer's table."""
    return {
        record.rpc
        for record in balancer.pool_records(running.members, pool)
        if not membership.has_ended(record)
    }


def run(main: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Run a test under trio with a timeout."""

    async def main_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await main()

    trio.run(main_with_timeout)


def rpc_addresses(
    announcers: list[sidecar.Announcer], pool: str
) -> set[_types.Address]:
    """Return the addresses of the sidecars of a pool."""
    records = [sidecar.snapshot(announcer).record for announcer in announcers]
    return {record.rpc for record in records if record.pool == pool}


def test_three_balancers_and_four_sidecars_converge() -> None:
    """All processes receive all members, the configuration and the key set."""

    async def main() -> None:
        async with fleet(3, "aaab") as (_, balancers, announcers):
            await balancers[2].documents.apply_configuration(configuration(7))
            await balancers[1].documents.apply_key_set(key_set(3))

            def converged() -> bool:
                return all(
                    live_members(running, pool) == rpc_addresses(announcers, pool)
                    for running in balancers
                    for pool in "ab"
                ) and all(
                    running.documents.current == configuration(7)
                    and running.documents.keys == key_set(3)
                    and len(running.members.state.peers) == 2
                    for running in balancers
                )

            def is_up_to_date(announcer: sidecar.Announcer) -> bool:
                received = sidecar.snapshot(announcer)
                return (
                    received.view is not None
                    and received.view.revision == 7
                    and received.key_set == key_set(3)
                    and {record.rpc for record in received.siblings}
                    == rpc_addresses(announcers, received.record.pool)
                    and len(announcer.state.homes) == heartbeat.HOME_COUNT
                )

            await eventually(converged)
            await eventually(lambda: all(map(is_up_to_date, announcers)))
            assert not any(
                balancer.is_isolated(running.members) for running in balancers
            )
            assert not any(
                balancer.is_majority_silent(running.members) for running in balancers
            )

    run(main)


def test_a_change_of_members_is_reported_by_pool() -> None:
    """The reader of changes receives the newest records of each pool."""

    async def main() -> None:
        async with fleet(2, "ab") as (_, balancers, announcers):
            seen: dict[str, set[_types.Address]] = {}
            while set(seen) != {"a", "b"}:
                changed = await balancers[1].members.changes.receive()
                seen[changed.pool] = {record.rpc for record in changed.records}
            assert seen == {pool: rpc_addresses(announcers, pool) for pool in "ab"}

    run(main)


def test_a_sidecar_that_dies_is_lost_and_one_that_drains_is_not() -> None:
    """Missed heartbeats mark a member lost everywhere; draining does not."""

    async def main() -> None:
        async with fleet(3, "aaaa") as (started, balancers, announcers):
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 4 for running in balancers
                )
            )
            started.scopes[0].cancel()
            sidecar.update_record(
                announcers[1], member_state=_types.MemberState.DRAINING
            )

            def converged(running: Balancer) -> bool:
                records = balancer.pool_records(running.members, "a")
                states = [(record.lost, record.state) for record in records]
                serving = (False, _types.MemberState.SERVING)
                return states == [
                    (True, _types.MemberState.SERVING),
                    (False, _types.MemberState.DRAINING),
                    serving,
                    serving,
                ]

            await eventually(lambda: all(map(converged, balancers)))

    run(main)


def test_a_planned_stop_is_known_everywhere() -> None:
    """A sidecar that leaves notifies its homes, and all balancers store its state."""

    async def main() -> None:
        async with fleet(2, "aa") as (started, balancers, announcers):
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 2 for running in balancers
                )
            )
            started.scopes[0].cancel()
            await sidecar.leave(announcers[0])
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 1 for running in balancers
                )
            )
            records = balancer.pool_records(balancers[0].members, "a")
            assert records[0].state is _types.MemberState.LEFT

    run(main)


def test_a_sidecar_that_is_marked_lost_refutes_it() -> None:
    """The sidecar increments its sequence and is live again everywhere."""

    async def main() -> None:
        async with fleet(3, "aa") as (_, balancers, announcers):
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 2 for running in balancers
                )
            )
            record = sidecar.snapshot(announcers[0]).record
            lost_record = dataclasses.replace(record, lost=True)
            sender = balancers[0].members.state.local_record
            await bridge.call(
                balancers[0].members.client,
                balancers[1].address,
                methods.Method.GOSSIP,
                messages.GossipRequest(
                    sender=sender,
                    configuration_revision=0,
                    key_revision=0,
                    records=(lost_record,),
                ),
                timeout_seconds=5,
            )
            await eventually(
                lambda: sidecar.snapshot(announcers[0]).record.sequence == 2
            )
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 2 for running in balancers
                )
            )

    run(main)


def test_a_sidecar_without_balancers_keeps_what_it_knows() -> None:
    """The view stays while all balancers are down; a restarted one is found again."""

    async def main() -> None:
        async with fleet(1, "a") as (started, balancers, announcers):
            await balancers[0].documents.apply_configuration(configuration(3))
            announcer = announcers[0]
            await eventually(lambda: sidecar.snapshot(announcer).view is not None)
            address = balancers[0].address
            balancers[0].scope.cancel()
            await eventually(lambda: not sidecar.is_connected(announcer))
            view = sidecar.snapshot(announcer).view
            assert view is not None
            assert view.revision == 3
            restarted = await started.add_balancer(address)
            await eventually(lambda: len(live_members(restarted, "a")) == 1)
            await eventually(lambda: sidecar.is_connected(announcer))
            assert sidecar.snapshot(announcer).view == view

    run(main)


def test_a_dead_balancer_is_lost_and_its_sidecars_move() -> None:
    """The others mark the balancer lost; its sidecars get new homes and stay live."""

    async def main() -> None:
        async with fleet(5, "aaaa") as (_, balancers, announcers):
            await eventually(
                lambda: all(
                    len(live_members(running, "a")) == 4 for running in balancers
                )
            )
            stopped_balancer = balancers.pop(2)
            stopped_balancer.scope.cancel()
            await eventually(
                lambda: all(
                    stopped_balancer.address not in running.members.state.peers
                    for running in balancers
                )
            )
            await eventually(
                lambda: all(
                    stopped_balancer.address not in announcer.state.homes
                    and len(announcer.state.homes) == heartbeat.HOME_COUNT
                    for announcer in announcers
                )
            )
            assert all(len(live_members(running, "a")) == 4 for running in balancers)

    run(main)


def test_a_heartbeat_of_no_sidecar_is_refused() -> None:
    """A heartbeat with the record of a balancer is a bad request."""

    async def main() -> None:
        async with fleet(1, "") as (_, balancers, _):
            record = balancers[0].members.state.local_record
            with pytest.raises(_exceptions.PlantainError) as caught:
                await bridge.call(
                    balancers[0].members.client,
                    balancers[0].address,
                    methods.Method.HEARTBEAT,
                    messages.HeartbeatRequest(
                        record=record,
                        configuration_revision=0,
                        key_revision=0,
                        siblings_digest=0,
                    ),
                    timeout_seconds=5,
                )
            assert caught.value.kind is _exceptions.ErrorKind.BAD_REQUEST

    run(main)
