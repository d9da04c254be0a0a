"""A seat holder follows the store over real sockets."""

import dataclasses
import random

import trio

from plantainproxy import _types
from plantainproxy.config import change, edit, follow, model
from plantainproxy.core import configuration as configuration_core
from plantainproxy.settings import model as settings_model
from plantainproxy.store import etcd, port, seat_rules, seats
from standins import store as store_stand_in

HANG_GUARD_SECONDS = 30.0
PREFIX = "plantainproxy/"


async def apply(
    store: port.Store, base: model.Configuration | None, pool: str
) -> model.Configuration:
    """Commit a change that sets one pool."""
    return await change.apply(
        store,
        prefix=PREFIX,
        base=base,
        proposed=edit.set_pool(
            base or model.Configuration(revision=0), model.Pool(name=pool)
        ),
        change_id=pool,
        operator="o",
        reason="r",
        now=5.0,
    )


def build_seats(
    store: port.Store,
    updates: trio.MemorySendChannel[configuration_core.Document],
    holders: trio.MemorySendChannel[tuple[_types.Address, ...]],
) -> seats.SeatManager:
    """Build the seat state of a balancer that follows the store as a seat holder."""
    follower = follow.Follower(
        store,
        prefix=PREFIX,
        current_documents=configuration_core.DocumentSet,
        updates=updates,
        wall_clock=lambda: 7.0,
        generator=random.Random(1),
    )

    async def follow_store() -> None:
        await follow.run(follower)

    return seats.SeatManager(
        store,
        seat_rules.Identity(
            prefix=PREFIX, domain="z", rpc=_types.Address("127.0.0.1", 5)
        ),
        run_as_holder=follow_store,
        holders=holders,
        fleet_size=lambda: 1,
        urgent=lambda: True,
        generator=random.Random(1),
    )


def test_a_seat_holder_receives_changes_after_a_silent_watch_and_an_outage() -> None:
    """A watch without events is restarted, and missed changes are read."""

    async def main() -> None:
        stand_in = store_stand_in.StandIn("127.0.0.1", 0)
        settings = settings_model.StoreSettings(
            address=_types.Address(*stand_in.address),
            call_timeout_seconds=1.0,
            watch_rearm_seconds=0.5,
        )
        long_timeout_settings = dataclasses.replace(settings, call_timeout_seconds=5.0)
        updates, receiver = trio.open_memory_channel[configuration_core.Document](9)
        holders, _holders_receiver = trio.open_memory_channel[
            tuple[_types.Address, ...]
        ](99)
        with trio.fail_after(HANG_GUARD_SECONDS):
            async with (
                trio.open_nursery() as nursery,
                etcd.open_store(settings) as holder_store,
            ):
                await nursery.start(store_stand_in.run, stand_in)
                nursery.start_soon(
                    seats.run, build_seats(holder_store, updates, holders)
                )
                assert isinstance(await receiver.receive(), model.KeySet)
                current = None
                for pool, fault in (("a", ""), ("b", "silent"), ("c", "refused")):
                    store_stand_in.set_faults(stand_in, mute_connections=True)
                    store_stand_in.set_faults(stand_in, down=fault)
                    await trio.sleep(0.2)
                    store_stand_in.set_faults(stand_in, down="")
                    await trio.sleep(0.1)
                    async with etcd.open_store(long_timeout_settings) as operator_store:
                        current = await apply(operator_store, current, pool)
                    assert await receiver.receive() == current
                nursery.cancel_scope.cancel()
        assert stand_in.counts["watch"] >= 3

    trio.run(main)
