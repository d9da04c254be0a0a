"""Reads and watches the stored documents; run by a seat holder."""

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
"""Mean of the minimum time between two watches; jitter scales it by 0.5 to 1.5."""


class Follower:
    """The dependencies and state of one task that follows the store."""

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
        """Create a follower that sends newer documents to ``updates``."""
        self.store = store
        self.prefix = prefix
        self.current_documents = current_documents
        """Returns the documents of this process; newer ones may come from peers."""
        self.updates = updates
        self.wall_clock = wall_clock
        """Returns seconds since the epoch, for the audit trail."""
        self.generator = generator
        self.sent = configuration_core.DocumentSet()
        """The newest documents that were sent to ``updates``."""
        self.handled_mod_revision = 0
        """The store revision of the configuration entry that was handled last."""


async def run(follower: Follower) -> None:
    """Send each newer document until cancelled; revisions never decrease."""
    while True:
        started_at = trio.current_time()
        try:
            await _follow_once(follower)
        except _exceptions.PlantainError as error:
            logger.warning(
                "Reading or watching the stored documents failed; retrying: %s", error
            )
        pause_seconds = MEAN_REARM_INTERVAL_SECONDS * follower.generator.uniform(
            0.5, 1.5
        )
        await trio.sleep_until(started_at + pause_seconds)


async def _follow_once(follower: Follower) -> None:
    """Start a watch, read the stored documents, then handle watched changes."""
    async with follower.store.watch(f"{follower.prefix}config/") as changes:
        await read_once(follower)
        async for batch in changes:
            for change in batch:
                if change.entry is not None:
                    await _handle_entry(follower, change.entry)


async def read_once(follower: Follower) -> None:
    """Read the stored documents and send those that are newer.

    A process that has just started can call this before it holds a seat. Raises the
    errors of the store.
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
    """Read the configuration unless its revision has been handled already.

    The value can be as large as the store allows, and this runs each time the watch
    is re-armed.
    """
    key = document.key(follower.prefix)
    if await follower.store.get_revision(key) == follower.handled_mod_revision:
        return
    entry = await follower.store.get(key)
    if entry is not None:
        await _handle_entry(follower, entry)


async def _handle_entry(follower: Follower, entry: port.Entry) -> None:
    """Send the document of one entry if it is newer; ignore an invalid one."""
    try:
        if entry.key == document.key(follower.prefix):
            follower.handled_mod_revision = entry.mod_revision
            await _send_if_newer(follower, _decode_checked(entry.value))
        elif entry.key == keys.key(follower.prefix):
            await _send_if_newer(follower, keys.decode(entry.value))
    except _exceptions.PlantainError as error:
        logger.error("Ignored an invalid stored document: %s", error)


def _decode_checked(encoded: bytes) -> model.Configuration:
    configuration = document.decode(encoded)
    check.require_valid(configuration, source="stored configuration")
    return configuration


async def _send_if_newer(
    follower: Follower, candidate: configuration_core.Document
) -> None:
    follower.sent, is_newer = configuration_core.apply_document(
        follower.sent, candidate
    )
    if is_newer:
        await follower.updates.send(candidate)
