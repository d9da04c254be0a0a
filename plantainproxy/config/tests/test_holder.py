"""A seat holder that follows the store over real sockets."""

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
    """Accept a change that sets one pool."""
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


def make_seats(
    store: port.Store,
    news: trio.MemorySendChannel[configuration_core.Document],
    found: trio.MemorySendChannel[tuple[_types.Address, ...]],
) -> seats.SeatManager:
    """Make the task state of one balancer that follows while it holds a seat."""
    follower = follow.Follower(
        store,
        prefix=PREFIX,
        held=configuration_core.DocumentSet,
        news=news,
        wall_clock=lambda: 7.0,
        generator=random.Random(1),
    )

    async def act() -> None:
        await follow.run(follower)

    return seats.SeatManager(
        store,
        seat_rules.Identity(
            prefix=PREFIX, domain="z", rpc=_types.Address("127.0.0.1", 5)
        ),
        run_as_holder=act,
        holders=found,
        fleet_size=lambda: 1,
        urgent=lambda: True,
        generator=random.Random(1),
    )


def test_a_holder_hears_of_changes_after_silence_and_outage() -> None:
    """A silent watch is armed again; what was missed is read."""

    async def main() -> None:
        stand_in = store_stand_in.StandIn("127.0.0.1", 0)
        settings = settings_model.StoreSettings(
            address=_types.Address(*stand_in.address),
            call_timeout_seconds=1.0,
            watch_rearm_seconds=0.5,
        )
        patient = dataclasses.replace(settings, call_timeout_seconds=5.0)
        news, receiver = trio.open_memory_channel[configuration_core.Document](9)
        found, _kept = trio.open_memory_channel[tuple[_types.Address, ...]](99)
        with trio.fail_after(HANG_GUARD_SECONDS):
            async with trio.open_nursery() as nursery, etcd.open_store(settings) as own:
                await nursery.start(store_stand_in.run, stand_in)
                nursery.start_soon(seats.run, make_seats(own, news, found))
                assert isinstance(await receiver.receive(), model.KeySet)
                held = None
                for pool, fault in (("a", ""), ("b", "silent"), ("c", "refused")):
                    store_stand_in.set_faults(stand_in, mute_connections=True)
                    store_stand_in.set_faults(stand_in, down=fault)
                    await trio.sleep(0.2)
                    store_stand_in.set_faults(stand_in, down="")
                    await trio.sleep(0.1)
                    async with etcd.open_store(patient) as other:
                        held = await apply(other, held, pool)
                    assert await receiver.receive() == held
                nursery.cancel_scope.cancel()
        assert stand_in.counts["watch"] >= 3

    trio.run(main)
