"""Choice of a few homes for a key by rendezvous hashing.

Every process that knows the same candidates picks the same homes, and a candidate
that comes or goes moves only the keys that it gains or loses.
"""

from collections import abc
import dataclasses
import functools

import numpy
import numpy.typing
import xxhash

from plantainproxy import _types

ADDRESS_CACHE_SIZE = 32_768
"""Addresses whose hashes are kept."""

_MULTIPLIERS = (numpy.uint64(0xBF58476D1CE4E5B9), numpy.uint64(0x94D049BB133111EB))
_SHIFTS = (numpy.uint64(30), numpy.uint64(27), numpy.uint64(31))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidates:
    """The addresses to choose from, with their hashes."""

    addresses: tuple[_types.Address, ...]
    hashes: numpy.typing.NDArray[numpy.uint64]


def hash_text(text: str) -> int:
    """Hash a key or an address to 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode())


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _hash_address(address: _types.Address) -> int:
    return hash_text(str(address))


def candidates(addresses: abc.Sequence[_types.Address]) -> Candidates:
    """Hash each address once, in an order that all processes share."""
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
    """Return the ``count`` best homes of a key, best first."""
    if count == 0:
        return ()
    scores = _scores(candidate_set.hashes, key)
    if count < len(scores):
        best = numpy.argpartition(scores, len(scores) - count)[-count:]
    else:
        best = numpy.arange(len(scores))
    ranked = sorted(best.tolist(), key=lambda index: -int(scores[index]))
    return tuple(candidate_set.addresses[index] for index in ranked)
