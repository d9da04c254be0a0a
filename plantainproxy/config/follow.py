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

MEAN_REARM_INTERVAL_SECONDS = 1.0
"""Least time between two armings of the watch, times 0.5 to 1.5 at random."""


class Follower:
    """What one following task works with."""

    def __init__(
        self,
        store: port.Store,
        *,
        prefix: str,
        current_documents: abc.Callable[[], configuration_core.DocumentSet],
        updates: trio.MemorySendChannel[configuration_core.Document],
        wall_clock: abc.Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Take the store, what the process holds, and where news goes."""
        self.store = store
        self.prefix = prefix
        self.current_documents = current_documents
        """Returns what the process holds, which its peers may have raised."""
        self.updates = updates
        self.wall_clock = wall_clock
        """Returns seconds since the epoch, for the audit trail."""
        self.generator = generator
        self.sent = configuration_core.DocumentSet()
        """The newest documents that went to ``news``."""
        self.handled_mod_revision = 0
        """The store's revision of the configuration that was taken last."""


async def run(follower: Follower) -> None:
    """Send each newer document until cancelled; a revision never falls."""
    while True:
        started_at = trio.current_time()
        try:
            await _follow_once(follower)
        except _exceptions.PlantainError as error:
            logger.warning("The stored configuration cannot be followed: %s", error)
        pause_seconds = MEAN_REARM_INTERVAL_SECONDS * follower.generator.uniform(0.5, 1.5)
        await trio.sleep_until(started_at + pause_seconds)


async def _follow_once(follower: Follower) -> None:
    """Arm a watch, read what is there, then take what the watch brings."""
    async with follower.store.watch(f"{follower.prefix}config/") as changes:
        await read_once(follower)
        async for batch in changes:
            for change in batch:
                if change.entry is not None:
                    await _handle_entry(follower, change.entry)


async def read_once(follower: Follower) -> None:
    """Read the documents and send those that are newer.

    A process that has just started and holds no seat yet can call this by itself.
    Raises the store's errors.
    """
    await _read_configuration(follower)
    key_set = await keys.ensure(
        follower.store,
        prefix=follower.prefix,
        local_key_set=follower.current_documents().key_set,
        now=follower.wall_clock(),
    )
    await _send_if_newer(follower, key_set)


async def _read_configuration(follower: Follower) -> None:
    """Read the configuration unless it is the one that was taken last.

    It may be as large as the store's values can be, and a watch is armed again often.
    """
    key = document.key(follower.prefix)
    if await follower.store.get_revision(key) == follower.handled_mod_revision:
        return
    entry = await follower.store.get(key)
    if entry is not None:
        await _handle_entry(follower, entry)


async def _handle_entry(follower: Follower, entry: port.Entry) -> None:
    """Send the document of one entry; an unreadable one changes nothing."""
    try:
        if entry.key == document.key(follower.prefix):
            follower.handled_mod_revision = entry.mod_revision
            await _send_if_newer(follower, _decode_checked(entry.value))
        elif entry.key == keys.key(follower.prefix):
            await _send_if_newer(follower, keys.decode(entry.value))
    except _exceptions.PlantainError as error:
        logger.error("A stored document is refused: %s", error)


def _decode_checked(encoded: bytes) -> model.Configuration:
    configuration = document.decode(encoded)
    check.require_valid(configuration, source="stored configuration")
    return configuration


async def _send_if_newer(follower: Follower, candidate: configuration_core.Document) -> None:
    follower.sent, is_newer = configuration_core.apply_document(follower.sent, candidate)
    if is_newer:
        await follower.updates.send(candidate)
