"""Rendezvous hashing, which selects the home addresses of a key.

Processes with the same candidates select the same homes. Adding or removing a
candidate moves only the keys that this candidate gains or loses.
"""

from collections import abc
import dataclasses
import functools

import numpy
import numpy.typing
import xxhash

from plantainproxy import _types

ADDRESS_CACHE_SIZE = 32_768
"""Number of addresses whose hashes are cached."""

_MULTIPLIERS = (numpy.uint64(0xBF58476D1CE4E5B9), numpy.uint64(0x94D049BB133111EB))
_SHIFTS = (numpy.uint64(30), numpy.uint64(27), numpy.uint64(31))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidates:
    """Addresses to select from, with their hashes in the same order."""

    addresses: tuple[_types.Address, ...]
    hashes: numpy.typing.NDArray[numpy.uint64]


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a key or an address."""
    return xxhash.xxh3_64_intdigest(text.encode())


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _hash_address(address: _types.Address) -> int:
    return hash_text(str(address))


def candidates(addresses: abc.Sequence[_types.Address]) -> Candidates:
    """Return the hashed distinct addresses, sorted so that all processes agree."""
    ordered = tuple(sorted(set(addresses)))
    hashes = numpy.array([_hash_address(address) for address in ordered], numpy.uint64)
    return Candidates(addresses=ordered, hashes=hashes)


def _scores(
    hashes: numpy.typing.NDArray[numpy.uint64], key: str
) -> numpy.typing.NDArray[numpy.uint64]:
    mixed = hashes ^ numpy.uint64(hash_text(key))
    mixed = (mixed ^ (mixed >> _SHIFTS[0])) * _MULTIPLIERS[0]
    mixed = (mixed ^ (mixed >> _SHIFTS[1])) * _MULTIPLIERS[1]
    scores: numpy.typing.NDArray[numpy.uint64] = mixed ^ (mixed >> _SHIFTS[2])
    return scores


def pick(candidate_set: Candidates, key: str, count: int) -> tuple[_types.Address, ...]:
    """Return the ``count`` homes with the highest scores for a key, highest first."""
    if count == 0:
        return ()
    scores = _scores(candidate_set.hashes, key)
    if count < len(scores):
        best = numpy.argpartition(scores, len(scores) - count)[-count:]
    else:
        best = numpy.arange(len(scores))
    ranked = sorted(best.tolist(), key=lambda index: -int(scores[index]))
    return tuple(candidate_set.addresses[index] for index in ranked)
