"""Rules for polling, claiming, renewing and releasing seats.

Each failure domain has a few seats, stored as keys attached to leases. The holders
of the seats watch the store, and other balancers contact the holders first to find
the rest of the fleet. The functions perform no I/O; times are readings of the local
monotonic clock.
"""

import dataclasses
import random

from plantainproxy import _types
from plantainproxy.store import port

SEATS_PER_DOMAIN = 2
LEASE_SECONDS = 10
EXPIRY_MARGIN_SECONDS = 2.0
"""A holder stops acting as one this long before its lease may expire."""
RENEW_INTERVAL_SECONDS = 3.0
RENEW_RETRY_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 10.0
"""Mean time between polls by all balancers of a failure domain, per seat."""
URGENT_POLL_INTERVAL_SECONDS = 2.0
"""Mean time between two polls of a process that has no configuration."""
MIN_BACKOFF_SECONDS = 1.0
"""Delay after the first failed poll; it doubles with each further failure."""
JITTER_RANGE = (0.5, 1.5)
"""Bounds of the random factor on the delays between polls."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """The identity under which a balancer claims a seat."""

    prefix: str
    domain: str
    rpc: _types.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seat:
    """A seat that this process has claimed."""

    number: int
    lease: int
    valid_until: float
    """When the holder must stop acting as one, unless it renews the lease before."""


def key_prefix(prefix: str) -> str:
    """Return the common key prefix of all seats."""
    return f"{prefix}seats/"


def key(identity: Identity, number: int) -> str:
    """Return the store key of a seat."""
    return f"{key_prefix(identity.prefix)}{identity.domain}/{number}"


def build_claim(identity: Identity, number: int, lease: int) -> port.Transaction:
    """Build the transaction that claims a seat if it is free."""
    seat_key = key(identity, number)
    value = str(identity.rpc).encode()
    return port.Transaction(
        compares=(port.Compare(key=seat_key, mod_revision=0),),
        puts=(port.Put(key=seat_key, value=value, lease=lease),),
    )


def choose_free_seat(
    identity: Identity, entries: tuple[port.Entry, ...], generator: random.Random
) -> int | None:
    """Choose a free seat of the local failure domain at random.

    Returns ``None`` if there is none, or if a seat already contains the local
    address. That seat is from an earlier lease, which must expire first, so that a
    process never holds two seats.
    """
    seat_values = {entry.key: entry.value for entry in entries}
    domain_keys = [key(identity, number) for number in range(SEATS_PER_DOMAIN)]
    if any(
        seat_values.get(seat_key) == str(identity.rpc).encode()
        for seat_key in domain_keys
    ):
        return None
    free_numbers = [
        number
        for number, seat_key in enumerate(domain_keys)
        if seat_key not in seat_values
    ]
    return generator.choice(free_numbers) if free_numbers else None


def holder_addresses(entries: tuple[port.Entry, ...]) -> tuple[_types.Address, ...]:
    """Return the gRPC addresses in all seats; malformed ones are skipped."""
    addresses = []
    for entry in entries:
        try:
            addresses.append(_types.Address.parse(entry.value.decode()))
        except ValueError:
            continue
    return tuple(addresses)


def lease_valid_until(requested_at: float) -> float:
    """Return until when a granted or renewed lease is certainly valid.

    ``requested_at`` is the time at which the request was sent. The store starts the
    lease's time to live later, so the lease expires after the returned time.
    """
    return requested_at + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS


def is_valid(seat: Seat, now: float) -> bool:
    """Return whether the process may still act as the holder of the seat."""
    return now < seat.valid_until


def poll_delay(
    *, fleet_size: int, generator: random.Random, urgent: bool = False
) -> float:
    """Return the delay until a process polls the seats again.

    The delay grows with the number of balancers in the failure domain, so that
    their total call rate stays constant. A poll is urgent while the process has no
    configuration, for instance after a restart of the entire fleet, when the old
    seats exist until their leases expire.
    """
    if urgent:
        return URGENT_POLL_INTERVAL_SECONDS * generator.uniform(*JITTER_RANGE)
    share = max(1.0, fleet_size / SEATS_PER_DOMAIN)
    return POLL_INTERVAL_SECONDS * share * generator.uniform(*JITTER_RANGE)


def retry_delay(*, failures: int, fleet_size: int, generator: random.Random) -> float:
    """Return the delay until the next poll after consecutive failed polls."""
    backoff = MIN_BACKOFF_SECONDS * 2.0 ** min(failures - 1, 16)
    max_delay = poll_delay(fleet_size=fleet_size, generator=generator)
    return min(backoff * generator.uniform(*JITTER_RANGE), max_delay)


def renew_delay(*, renewed: bool, generator: random.Random) -> float:
    """Return the delay until a holder renews its lease again."""
    base = RENEW_INTERVAL_SECONDS if renewed else RENEW_RETRY_SECONDS
    return base * generator.uniform(0.8, 1.2)
