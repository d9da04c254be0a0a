"""Retries a compare-and-swap until its outcome is determined."""

from collections import abc
import typing

import trio

from plantainproxy import _exceptions
from plantainproxy.store import port

TIMEOUT_SECONDS = 8.0
"""Time within which a change is accepted, refused or reported as unknown."""
MAX_ATTEMPTS = 6
MIN_BACKOFF_SECONDS = 0.05
"""Delay before the first retry; doubled for each further one."""

_Kind = _exceptions.ErrorKind
T = typing.TypeVar("T")


class CompareAndSwap:
    """The state of one compare-and-swap over several attempts."""

    def __init__(self, store: port.Store) -> None:
        """Initialize the state for the first attempt."""
        self.store = store
        self.maybe_applied = False
        """Whether an unacknowledged write may have been applied or may still be."""


async def commit(swap: CompareAndSwap, transaction: port.Transaction) -> bool:
    """Commit once and return whether the conditions held.

    Sets ``maybe_applied`` if the outcome is unknown or the call is cancelled.
    """
    was_maybe_applied = swap.maybe_applied
    swap.maybe_applied = True
    try:
        is_applied = await swap.store.commit(transaction)
    except _exceptions.PlantainError as error:
        if error.kind is not _Kind.CHANGE_UNKNOWN:
            swap.maybe_applied = was_maybe_applied
        raise
    swap.maybe_applied = was_maybe_applied
    return is_applied


async def retry_until_resolved(
    swap: CompareAndSwap,
    attempt: abc.Callable[[], abc.Awaitable[T | None]],
    *,
    name: str,
) -> T:
    """Repeat an attempt until it returns a result or fails definitely.

    The attempt must be safe to repeat: the conditions of its transaction must prevent
    it from being applied twice. It returns ``None`` if the outcome is still unresolved.
    Raises ``CHANGE_UNKNOWN`` or ``STORE_UNAVAILABLE`` if no attempt resolves it in
    time.
    """
    with trio.move_on_after(TIMEOUT_SECONDS):
        for number in range(MAX_ATTEMPTS):
            if number:
                await trio.sleep(MIN_BACKOFF_SECONDS * 2 ** (number - 1))
            try:
                result = await attempt()
            except _exceptions.PlantainError as error:
                if not _is_unresolved(swap, error.kind):
                    raise
                continue
            if result is not None:
                return result
    raise _unresolved_error(swap, name)


def _is_unresolved(swap: CompareAndSwap, kind: _exceptions.ErrorKind) -> bool:
    if kind is _Kind.STORE_UNAVAILABLE:
        return swap.maybe_applied
    return kind is _Kind.CHANGE_UNKNOWN


def _unresolved_error(swap: CompareAndSwap, name: str) -> _exceptions.PlantainError:
    if swap.maybe_applied:
        return _exceptions.PlantainError(
            _Kind.CHANGE_UNKNOWN, f"{name}: repeat it with the same change ID"
        )
    return _exceptions.PlantainError(
        _Kind.STORE_UNAVAILABLE,
        f"{name}: the store was too slow or returned stale data",
    )
