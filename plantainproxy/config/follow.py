"""Following of the stored documents by a holder of a seat."""

from collections import abc
import logging
import random

import trio

from plantainproxy import _exceptions
from plantainproxy.config import check, document, keys, model
from plantainproxy.core import configuration as configuration_core
from plantainproxy.store import port

logger = logging.getLogger("plantain.config")

MIN_CYCLE_SECONDS = 1.0
"""Least time between two armings of the watch, times 0.5 to 1.5 at random."""


class Follower:
    """What one following task works with."""

    def __init__(
        self,
        store: port.Store,
        *,
        prefix: str,
        held: abc.Callable[[], configuration_core.DocumentSet],
        news: trio.MemorySendChannel[configuration_core.Document],
        wall_clock: abc.Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Take the store, what the process holds, and where news goes."""
        self.store = store
        self.prefix = prefix
        self.held = held
        """Returns what the process holds, which its peers may have raised."""
        self.news = news
        self.wall_clock = wall_clock
        """Returns seconds since the epoch, for the audit trail."""
        self.generator = generator
        self.sent = configuration_core.DocumentSet()
        """The newest documents that went to ``news``."""
        self.taken_revision = 0
        """The store's revision of the configuration that was taken last."""


async def run(follower: Follower) -> None:
    """Send each newer document until cancelled; a revision never falls."""
    while True:
        started_at = trio.current_time()
        try:
            await _follow_once(follower)
        except _exceptions.PlantainError as error:
            logger.warning("The stored configuration cannot be followed: %s", error)
        pause_seconds = MIN_CYCLE_SECONDS * follower.generator.uniform(0.5, 1.5)
        await trio.sleep_until(started_at + pause_seconds)


async def _follow_once(follower: Follower) -> None:
    """Arm a watch, read what is there, then take what the watch brings."""
    async with follower.store.watch(f"{follower.prefix}config/") as changes:
        await read_once(follower)
        async for group in changes:
            for change in group:
                if change.entry is not None:
                    await _take(follower, change.entry)


async def read_once(follower: Follower) -> None:
    """Read the documents and send those that are newer.

    A process that has just started and holds no seat yet can call this by itself.
    Raises the store's errors.
    """
    await _read_configuration(follower)
    key_set = await keys.ensure(
        follower.store,
        prefix=follower.prefix,
        held=follower.held().key_set,
        now=follower.wall_clock(),
    )
    await _send(follower, key_set)


async def _read_configuration(follower: Follower) -> None:
    """Read the configuration unless it is the one that was taken last.

    It may be as large as the store's values can be, and a watch is armed again often.
    """
    key = document.key(follower.prefix)
    if await follower.store.get_revision(key) == follower.taken_revision:
        return
    entry = await follower.store.get(key)
    if entry is not None:
        await _take(follower, entry)


async def _take(follower: Follower, entry: port.Entry) -> None:
    """Send the document of one entry; an unreadable one changes nothing."""
    try:
        if entry.key == document.key(follower.prefix):
            follower.taken_revision = entry.mod_revision
            await _send(follower, _decode_checked(entry.value))
        elif entry.key == keys.key(follower.prefix):
            await _send(follower, keys.decode(entry.value))
    except _exceptions.PlantainError as error:
        logger.error("A stored document is refused: %s", error)


def _decode_checked(encoded: bytes) -> model.Configuration:
    configuration = document.decode(encoded)
    check.require_valid(configuration, source="stored configuration")
    return configuration


async def _send(follower: Follower, newest: configuration_core.Document) -> None:
    follower.sent, adopted = configuration_core.apply_document(follower.sent, newest)
    if adopted:
        await follower.news.send(newest)
