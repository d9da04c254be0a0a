"""The task that claims a seat and renews its lease."""

from collections import abc
import dataclasses
import logging
import random

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.store import port, seat_rules

logger = logging.getLogger("plantain.seats")

REVOKE_TIMEOUT_SECONDS = 1.0


class SeatManager:
    """State and dependencies of the seat task of one process."""

    def __init__(
        self,
        store: port.Store,
        identity: seat_rules.Identity,
        *,
        run_as_holder: abc.Callable[[], abc.Awaitable[None]],
        holders: trio.MemorySendChannel[tuple[_types.Address, ...]],
        fleet_size: abc.Callable[[], int],
        urgent: abc.Callable[[], bool],
        generator: random.Random,
    ) -> None:
        """Create the state of a process that holds no seat."""
        self.store = store
        self.identity = identity
        self.run_as_holder = run_as_holder
        """Runs while a seat is held; cancelled before the lease may expire."""
        self.holders = holders
        """Receives the gRPC addresses in all seats after each poll."""
        self.fleet_size = fleet_size
        """Returns the number of balancers in the local failure domain."""
        self.urgent = urgent
        """Returns whether the process has no configuration yet."""
        self.generator = generator
        self.seat: seat_rules.Seat | None = None
        """The seat that the process holds, if any."""
        self.failures = 0
        """Number of consecutive failed polls and renewals."""


def is_holder(manager: SeatManager) -> bool:
    """Return whether the process may currently act as a seat holder."""
    return manager.seat is not None and seat_rules.is_valid(
        manager.seat, trio.current_time()
    )


async def run(manager: SeatManager) -> None:
    """Claim a seat, hold it while the lease is valid, and repeat."""
    await trio.sleep(manager.generator.uniform(0.0, seat_rules.MIN_BACKOFF_SECONDS))
    while True:
        await _poll_and_claim(manager)
        if manager.seat is not None:
            logger.info("Seat %d claimed.", manager.seat.number)
            await _run_holder(manager)
            logger.info("Seat released or its lease expired.")
        await trio.sleep(_poll_delay(manager))


def _poll_delay(manager: SeatManager) -> float:
    if manager.failures:
        return seat_rules.retry_delay(
            failures=manager.failures,
            fleet_size=manager.fleet_size(),
            generator=manager.generator,
        )
    return seat_rules.poll_delay(
        fleet_size=manager.fleet_size(),
        generator=manager.generator,
        urgent=manager.urgent(),
    )


async def _poll_and_claim(manager: SeatManager) -> None:
    try:
        entries = await _poll_seats(manager)
        number = seat_rules.choose_free_seat(
            manager.identity, entries, manager.generator
        )
        if number is not None:
            manager.seat = await _claim(manager, number)
        manager.failures = 0
    except _exceptions.PlantainError as error:
        manager.failures += 1
        logger.info("Polling the seats or claiming one failed: %s", error)


async def _poll_seats(manager: SeatManager) -> tuple[port.Entry, ...]:
    entries = await manager.store.scan(seat_rules.key_prefix(manager.identity.prefix))
    await manager.holders.send(seat_rules.holder_addresses(entries))
    return entries


async def _claim(manager: SeatManager, number: int) -> seat_rules.Seat | None:
    """Claim a seat; on any failure or unknown outcome, revoke the lease."""
    requested_at = trio.current_time()
    lease = await manager.store.grant_lease(ttl_seconds=seat_rules.LEASE_SECONDS)
    seat = seat_rules.Seat(
        number=number,
        lease=lease,
        valid_until=seat_rules.lease_valid_until(requested_at),
    )
    claimed = False
    try:
        if seat_rules.is_valid(seat, trio.current_time()):
            transaction = seat_rules.build_claim(manager.identity, number, lease)
            claimed = await manager.store.commit(transaction)
    finally:
        if not claimed:
            await _revoke(manager, lease)
    return seat if claimed else None


async def _run_holder(manager: SeatManager) -> None:
    """Run the holder's task and renew the lease until it may have expired."""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(manager.run_as_holder)
            await _renew_until_expired(manager, nursery.cancel_scope)
            nursery.cancel_scope.cancel()
    finally:
        seat = manager.seat
        manager.seat = None
        if seat is not None and seat_rules.is_valid(seat, trio.current_time()):
            await _revoke(manager, seat.lease)


async def _renew_until_expired(
    manager: SeatManager, holder_scope: trio.CancelScope
) -> None:
    """Renew the lease and keep the scope's deadline at the end of its validity."""
    next_poll_at = trio.current_time() + _holder_poll_delay(manager)
    renewed = True
    while manager.seat is not None:
        holder_scope.deadline = manager.seat.valid_until
        delay = seat_rules.renew_delay(renewed=renewed, generator=manager.generator)
        await trio.sleep(delay)
        # A process that was paused beyond its lease resumes here. It must stop without
        # another write to the store.
        if not is_holder(manager):
            return
        renewed = await _renew(manager, manager.seat)
        if trio.current_time() >= next_poll_at:
            await _poll_as_holder(manager)
            next_poll_at = trio.current_time() + _holder_poll_delay(manager)


def _holder_poll_delay(manager: SeatManager) -> float:
    return seat_rules.poll_delay(fleet_size=1, generator=manager.generator)


async def _renew(manager: SeatManager, seat: seat_rules.Seat) -> bool:
    requested_at = trio.current_time()
    try:
        lease_exists = await manager.store.renew_lease(seat.lease)
    except _exceptions.PlantainError as error:
        manager.failures += 1
        logger.info("Renewing the seat's lease failed: %s", error)
        return False
    manager.failures = 0
    if not lease_exists:
        manager.seat = None
        return False
    valid_until = seat_rules.lease_valid_until(requested_at)
    manager.seat = dataclasses.replace(seat, valid_until=valid_until)
    return True


async def _poll_as_holder(manager: SeatManager) -> None:
    try:
        await _poll_seats(manager)
    except _exceptions.PlantainError as error:
        logger.info("Polling the seats as a holder failed: %s", error)


async def _revoke(manager: SeatManager, lease: int) -> None:
    """Try to revoke a lease; if that fails, it expires by itself."""
    with trio.move_on_after(REVOKE_TIMEOUT_SECONDS, shield=True):
        try:
            await manager.store.revoke_lease(lease)
        except _exceptions.PlantainError as error:
            logger.info("Revoking the seat's lease failed: %s", error)
