"""The task that looks for a seat and holds it."""

from collections import abc
import dataclasses
import logging
import random

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.store import port, seat_rules

logger = logging.getLogger("plantain.seats")

REVOKE_TIMEOUT_SECONDS = 1.0


class Seats:
    """What the task works with."""

    def __init__(
        self,
        store: port.Store,
        identity: seat_rules.Identity,
        *,
        as_holder: abc.Callable[[], abc.Awaitable[None]],
        holders: trio.MemorySendChannel[tuple[_types.Address, ...]],
        fleet_size: abc.Callable[[], int],
        urgent: abc.Callable[[], bool],
        generator: random.Random,
    ) -> None:
        """Take the store, the duties of a holder and where its findings go."""
        self.store = store
        self.identity = identity
        self.as_holder = as_holder
        """Runs while a seat is held and is cancelled when the lease may lapse."""
        self.holders = holders
        """Receives the gRPC addresses in all seats after each look."""
        self.fleet_size = fleet_size
        """Returns the known number of balancers in the own failure domain."""
        self.urgent = urgent
        """Returns whether the process still holds no configuration."""
        self.generator = generator
        self.seat: seat_rules.Seat | None = None
        """The seat that is held."""
        self.failures = 0
        """Looks and renewals that failed in a row."""


def is_holder(seats: Seats) -> bool:
    """Tell whether the process may act as a holder at this moment."""
    return seats.seat is not None and seat_rules.holds(seats.seat, trio.current_time())


async def run(seats: Seats) -> None:
    """Look for a seat, hold it while the lease lasts, and look again."""
    await trio.sleep(seats.generator.uniform(0.0, seat_rules.FIRST_RETRY_SECONDS))
    while True:
        await _look_and_claim(seats)
        if seats.seat is not None:
            logger.info("Seat %d is held.", seats.seat.number)
            await _hold(seats)
            logger.info("The seat is given up.")
        await trio.sleep(_look_delay(seats))


def _look_delay(seats: Seats) -> float:
    if seats.failures:
        return seat_rules.retry_delay(
            failures=seats.failures,
            fleet_size=seats.fleet_size(),
            generator=seats.generator,
        )
    return seat_rules.look_delay(
        fleet_size=seats.fleet_size(),
        generator=seats.generator,
        urgent=seats.urgent(),
    )


async def _look_and_claim(seats: Seats) -> None:
    try:
        entries = await _look(seats)
        number = seat_rules.pick_free(seats.identity, entries, seats.generator)
        if number is not None:
            seats.seat = await _claim(seats, number)
        seats.failures = 0
    except _exceptions.PlantainError as error:
        seats.failures += 1
        logger.info("Looking for a seat failed: %s", error)


async def _look(seats: Seats) -> tuple[port.Entry, ...]:
    entries = await seats.store.scan(seat_rules.key_prefix(seats.identity.prefix))
    await seats.holders.send(seat_rules.holders(entries))
    return entries


async def _claim(seats: Seats, number: int) -> seat_rules.Seat | None:
    """Take a seat; a claim of unknown outcome is taken back with its lease."""
    asked_at = trio.current_time()
    lease = await seats.store.grant_lease(ttl_seconds=seat_rules.LEASE_SECONDS)
    seat = seat_rules.Seat(
        number=number, lease=lease, held_until=seat_rules.held_until(asked_at)
    )
    claimed = False
    try:
        if seat_rules.holds(seat, trio.current_time()):
            transaction = seat_rules.claim(seats.identity, number, lease)
            claimed = await seats.store.commit(transaction)
    finally:
        if not claimed:
            await _revoke(seats, lease)
    return seat if claimed else None


async def _hold(seats: Seats) -> None:
    """Do a holder's duties and renew, until the lease may have lapsed."""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(seats.as_holder)
            await _renew_while_held(seats, nursery.cancel_scope)
            nursery.cancel_scope.cancel()
    finally:
        seat = seats.seat
        seats.seat = None
        if seat is not None and seat_rules.holds(seat, trio.current_time()):
            await _revoke(seats, seat.lease)


async def _renew_while_held(seats: Seats, duties: trio.CancelScope) -> None:
    """Renew the lease; the scope's deadline always is the seat's end."""
    look_at = trio.current_time() + _holder_look_delay(seats)
    renewed = True
    while seats.seat is not None:
        duties.deadline = seats.seat.held_until
        delay = seat_rules.renew_delay(renewed=renewed, generator=seats.generator)
        await trio.sleep(delay)
        # A process that was frozen wakes up here and has to stop, not to write.
        if not is_holder(seats):
            return
        renewed = await _renew(seats, seats.seat)
        if trio.current_time() >= look_at:
            await _look_as_holder(seats)
            look_at = trio.current_time() + _holder_look_delay(seats)


def _holder_look_delay(seats: Seats) -> float:
    return seat_rules.look_delay(fleet_size=1, generator=seats.generator)


async def _renew(seats: Seats, seat: seat_rules.Seat) -> bool:
    asked_at = trio.current_time()
    try:
        existed = await seats.store.keep_lease(seat.lease)
    except _exceptions.PlantainError as error:
        seats.failures += 1
        logger.info("Renewing the seat failed: %s", error)
        return False
    seats.failures = 0
    if not existed:
        seats.seat = None
        return False
    until = seat_rules.held_until(asked_at)
    seats.seat = dataclasses.replace(seat, held_until=until)
    return True


async def _look_as_holder(seats: Seats) -> None:
    try:
        await _look(seats)
    except _exceptions.PlantainError as error:
        logger.info("Looking at the seats failed: %s", error)


async def _revoke(seats: Seats, lease: int) -> None:
    """End a lease early, as far as that works; it lapses anyway."""
    with trio.move_on_after(REVOKE_TIMEOUT_SECONDS, shield=True):
        try:
            await seats.store.revoke_lease(lease)
        except _exceptions.PlantainError as error:
            logger.info("Ending the lease failed: %s", error)
