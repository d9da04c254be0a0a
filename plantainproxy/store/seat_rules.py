"""When to look for a seat, claim it, renew it and give it up.

A few seats per failure domain are kept in the store under leases. Their holders
are those that watch the store and that other balancers find first. Everything here
is a pure function; times are readings of the process's own monotonic clock.
"""

import dataclasses
import random

from plantainproxy import _types
from plantainproxy.store import port

SEATS_PER_DOMAIN = 2
LEASE_SECONDS = 10
EXPIRY_MARGIN_SECONDS = 2.0
"""A holder stops this long before its lease may lapse."""
RENEW_INTERVAL_SECONDS = 3.0
RENEW_RETRY_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 10.0
"""Mean time between two looks of anyone in a failure domain, per seat."""
URGENT_POLL_INTERVAL_SECONDS = 2.0
"""Mean time between two looks of a process that holds no configuration."""
MIN_BACKOFF_SECONDS = 1.0
"""Delay after a look that failed; doubled at each further one."""
JITTER_RANGE = (0.5, 1.5)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who claims a seat and where."""

    prefix: str
    domain: str
    rpc: _types.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seat:
    """A seat that was claimed or renewed."""

    number: int
    lease: int
    valid_until: float
    """When the holder has to stop unless the lease was renewed."""


def key_prefix(prefix: str) -> str:
    """Return what the keys of all seats begin with."""
    return f"{prefix}seats/"


def key(identity: Identity, number: int) -> str:
    """Return the store's key of one seat."""
    return f"{key_prefix(identity.prefix)}{identity.domain}/{number}"


def build_claim(identity: Identity, number: int, lease: int) -> port.Transaction:
    """Make the transaction that takes a seat if it is free."""
    seat_key = key(identity, number)
    value = str(identity.rpc).encode()
    return port.Transaction(
        compares=(port.Compare(key=seat_key, mod_revision=0),),
        puts=(port.Put(key=seat_key, value=value, lease=lease),),
    )


def choose_free_seat(
    identity: Identity, entries: tuple[port.Entry, ...], generator: random.Random
) -> int | None:
    """Pick a free seat of the own failure domain.

    A process that finds its own address in a seat waits for the end of that lease,
    so that it never takes two.
    """
    seat_values = {entry.key: entry.value for entry in entries}
    domain_keys = [key(identity, number) for number in range(SEATS_PER_DOMAIN)]
    if any(seat_values.get(seat_key) == str(identity.rpc).encode() for seat_key in domain_keys):
        return None
    free_numbers = [number for number, seat_key in enumerate(domain_keys) if seat_key not in seat_values]
    return generator.choice(free_numbers) if free_numbers else None


def holder_addresses(entries: tuple[port.Entry, ...]) -> tuple[_types.Address, ...]:
    """Return the gRPC addresses in all seats; unreadable ones are left out."""
    addresses = []
    for entry in entries:
        try:
            addresses.append(_types.Address.parse(entry.value.decode()))
        except ValueError:
            continue
    return tuple(addresses)


def lease_valid_until(requested_at: float) -> float:
    """Return how long a lease surely lasts that was granted or renewed.

    ``asked_at`` is when the request was sent: the store's time began later.
    """
    return requested_at + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS


def is_valid(seat: Seat, now: float) -> bool:
    """Tell whether the holder may still act as one."""
    return now < seat.valid_until


def poll_delay(
    *, fleet_size: int, generator: random.Random, urgent: bool = False
) -> float:
    """Return the time to the next look of a process without a seat.

    It grows with the number of balancers in the failure domain, so that the calls
    of all of them together do not. A look is urgent while the process holds no
    configuration, as after a restart of the whole fleet, when the old seats still
    wait for the end of their leases.
    """
    if urgent:
        return URGENT_POLL_INTERVAL_SECONDS * generator.uniform(*JITTER_RANGE)
    share = max(1.0, fleet_size / SEATS_PER_DOMAIN)
    return POLL_INTERVAL_SECONDS * share * generator.uniform(*JITTER_RANGE)


def retry_delay(*, failures: int, fleet_size: int, generator: random.Random) -> float:
    """Return the time to the next look after looks that failed in a row."""
    backoff = MIN_BACKOFF_SECONDS * 2.0 ** min(failures - 1, 16)
    max_delay = poll_delay(fleet_size=fleet_size, generator=generator)
    return min(backoff * generator.uniform(*JITTER_RANGE), max_delay)


def renew_delay(*, renewed: bool, generator: random.Random) -> float:
    """Return the time to the next renewal by a holder."""
    base = RENEW_INTERVAL_SECONDS if renewed else RENEW_RETRY_SECONDS
    return base * generator.uniform(0.8, 1.2)
