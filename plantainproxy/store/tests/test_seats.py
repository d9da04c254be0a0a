"""Tests of seats: number of holders, call rate, and stopping before lease expiry."""

from collections import abc
import random

import pytest
import trio
import trio.testing

from plantainproxy import _types
from plantainproxy.store import memory, port, seat_rules, seats

PREFIX = "t/"


class Fleet:
    """Several balancers of one failure domain that share a store."""

    def __init__(self, size: int) -> None:
        """Create the store and the seat managers of the balancers."""
        self.store = memory.MemoryStore()
        self.acting: set[int] = set()
        """Numbers of the balancers that currently act as holders."""
        self.max_acting = 0
        self.urgent = False
        self.holder_addresses: tuple[_types.Address, ...] = ()
        self.managers = [self._make(number, size) for number in range(size)]

    def _make(self, number: int, size: int) -> seats.SeatManager:
        async def act() -> None:
            self.acting.add(number)
            self.max_acting = max(self.max_acting, len(self.acting))
            try:
                await trio.sleep_forever()
            finally:
                self.acting.discard(number)

        sender, receiver = trio.open_memory_channel[tuple[_types.Address, ...]](0)
        self.receivers = [*getattr(self, "receivers", []), receiver]
        return seats.SeatManager(
            self.store,
            seat_rules.Identity(
                prefix=PREFIX,
                domain="z",
                rpc=_types.Address("127.0.0.1", 1_000 + number),
            ),
            run_as_holder=act,
            holders=sender,
            fleet_size=lambda: size,
            urgent=lambda: self.urgent,
            generator=random.Random(number),
        )


def run(size: int, main: abc.Callable[[Fleet], abc.Awaitable[None]]) -> None:
    """Run a test together with a fleet, in virtual time."""

    async def run_fleet() -> None:
        fleet = Fleet(size)

        async def drain(
            receiver: trio.MemoryReceiveChannel[tuple[_types.Address, ...]],
        ) -> None:
            async for addresses in receiver:
                fleet.holder_addresses = addresses

        async with trio.open_nursery() as nursery:
            for manager, receiver in zip(fleet.managers, fleet.receivers, strict=True):
                nursery.start_soon(seats.run, manager)
                nursery.start_soon(drain, receiver)
            await main(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run_fleet, clock=trio.testing.MockClock(autojump_threshold=0))


def test_each_seat_has_one_holder() -> None:
    """There are as many holders as seats, and every poll returns their addresses."""

    async def main(fleet: Fleet) -> None:
        await trio.sleep(1_000)
        assert len(fleet.acting) == seat_rules.SEATS_PER_DOMAIN
        assert fleet.max_acting == seat_rules.SEATS_PER_DOMAIN
        assert {
            address.port - 1_000 for address in fleet.holder_addresses
        } == fleet.acting

    run(8, main)


def test_calls_do_not_grow_with_the_fleet() -> None:
    """64 balancers make about as many store calls per hour as 4 balancers."""
    call_counts: dict[int, int] = {}

    async def main(fleet: Fleet) -> None:
        await trio.sleep(3_600)
        call_counts[len(fleet.managers)] = fleet.store.reads + fleet.store.writes

    for size in (4, 64):
        run(size, main)
    assert call_counts[64] <= 1.25 * call_counts[4]


def test_a_frozen_holder_stops_before_it_writes() -> None:
    """A holder that resumes after its lease expired stops and sends no renewal."""

    async def main(fleet: Fleet) -> None:
        await trio.sleep(30)
        [manager] = fleet.managers
        assert fleet.acting == {0}
        assert seats.is_holder(manager)
        writes = fleet.store.writes
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(60)
        assert not seats.is_holder(manager)
        await trio.testing.wait_all_tasks_blocked()
        assert fleet.acting == set()
        assert fleet.store.writes == writes

    run(1, main)


def test_a_holder_cut_off_from_the_store_stops_before_its_lease_lapses() -> None:
    """After the outage the seat is claimed again."""

    async def main(fleet: Fleet) -> None:
        await trio.sleep(30)
        fleet.store.down = True
        lease_deadlines = [lease.deadline for lease in fleet.store.leases.values()]
        while fleet.acting:
            await trio.sleep(0.1)
        assert trio.current_time() < min(lease_deadlines)
        await trio.sleep(600)
        assert fleet.acting == set()
        fleet.store.down = False
        await trio.sleep(60)
        assert len(fleet.acting) == 1

    run(1, main)


def test_a_holder_whose_lease_ended_stops() -> None:
    """A holder stops when a renewal reports that its lease no longer exists."""

    async def main(fleet: Fleet) -> None:
        await trio.sleep(30)
        [lease] = fleet.store.leases
        memory.end_lease(fleet.store, lease)
        await trio.sleep(2 * seat_rules.RENEW_INTERVAL_SECONDS)
        assert fleet.acting == set()

    run(1, main)


@pytest.mark.parametrize("lost", range(1, 4))
def test_lost_answers_leave_no_seat_without_a_holder(lost: int) -> None:
    """After a claim of unknown outcome, the lease is revoked and the seat reclaimed.

    Otherwise the seat would stay occupied by a process that does not act as holder.
    """

    async def main(fleet: Fleet) -> None:
        fleet.store.lose_answers = lost
        await trio.sleep(120)
        assert fleet.acting == {0}
        assert len(await fleet.store.scan(PREFIX)) == 1

    run(1, main)


def test_a_restarted_fleet_soon_claims_the_seats_of_its_earlier_run() -> None:
    """Processes without a configuration poll the seats at a shorter interval."""

    async def main(fleet: Fleet) -> None:
        fleet.urgent = True
        for number in range(seat_rules.SEATS_PER_DOMAIN):
            ttl_seconds = seat_rules.LEASE_SECONDS
            lease = await fleet.store.grant_lease(ttl_seconds=ttl_seconds)
            identity = fleet.managers[number].identity
            await fleet.store.commit(seat_rules.build_claim(identity, number, lease))
        await trio.sleep(
            seat_rules.LEASE_SECONDS + 2 * seat_rules.URGENT_POLL_INTERVAL_SECONDS
        )
        assert len(fleet.acting) == seat_rules.SEATS_PER_DOMAIN

    run(32, main)


def test_a_planned_stop_frees_the_seat() -> None:
    """A holder that is cancelled revokes its lease, so the seat is free at once."""
    stores: list[memory.MemoryStore] = []

    async def main(fleet: Fleet) -> None:
        await trio.sleep(30)
        assert len(fleet.store.entries) == 1
        stores.append(fleet.store)

    run(1, main)
    assert stores[0].entries == {}


def test_a_process_does_not_claim_beside_its_own_earlier_lease() -> None:
    """A seat is chosen only if no seat of the domain contains the local address."""
    identity = seat_rules.Identity(
        prefix=PREFIX, domain="z", rpc=_types.Address("127.0.0.1", 5)
    )

    def entry(key: str, value: bytes) -> port.Entry:
        return port.Entry(key=key, value=value, mod_revision=1)

    def pick(*entries: port.Entry) -> int | None:
        return seat_rules.choose_free_seat(identity, entries, random.Random(1))

    other = entry("t/seats/z/0", b"127.0.0.1:6")
    assert pick(other) == 1
    assert pick(other, entry("t/seats/y/1", b"127.0.0.1:5")) == 1
    assert pick(entry("t/seats/z/1", b"127.0.0.1:5")) is None
    assert pick(other, entry("t/seats/z/1", b"?")) is None
    assert seat_rules.holder_addresses((other, entry("t/seats/z/1", b"\xff"))) == (
        _types.Address("127.0.0.1", 6),
    )
