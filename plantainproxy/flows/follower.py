"""Keeps a copy of the store's entries under one prefix."""

from collections import abc
import random

import trio

from plantainproxy import _exceptions
from plantainproxy.flows import journal
from plantainproxy.store import revisioned

GATHER_SECONDS = 0.2
"""After a change, the next watch starts this much later, so that changes in quick
succession cost one call."""
LAST_GATHER_SECONDS = 0.4
"""While changes go on, the delay doubles up to this: a whole site that starts makes a
change for each process, and each change wakes every watch."""
IN_SUCCESSION_SECONDS = 0.2
"""A watch that is answered sooner than this has met a change in quick succession."""
FIRST_RETRY_SECONDS = 0.1
LAST_RETRY_SECONDS = 1.0
"""The wait after failed calls doubles between these; the last one keeps a store that
returns from being noticed late."""

Take = abc.Callable[[abc.Mapping[str, bytes], int], None]
"""Gets all entries and the revision at which they stood so."""


class Backoff:
    """The growing wait after failures in a row."""

    def __init__(self) -> None:
        """Start without failures."""
        self.seconds = 0.0

    def reset(self) -> None:
        """Note a success."""
        self.seconds = 0.0

    async def wait(self) -> None:
        """Note a failure and wait, for between half and all of the time."""
        doubled = max(FIRST_RETRY_SECONDS, 2 * self.seconds)
        self.seconds = min(doubled, LAST_RETRY_SECONDS)
        await trio.sleep(self.seconds * (0.5 + random.random() / 2))


async def follow(
    store: revisioned.RevisionedStore,
    prefix: str,
    *,
    take: Take,
    log: journal.Journal,
    gather_seconds: float = GATHER_SECONDS,
) -> None:
    """Read the entries and watch them for ever.

    After a single change the next watch starts ``gather_seconds`` later.
    """
    health = _Health(prefix, log, gather_seconds)
    while True:
        snapshot = await _read(store, prefix, health)
        entries = {entry.key: entry.value for entry in snapshot.entries}
        take(entries, snapshot.revision)
        try:
            await _watch(store, prefix, entries, snapshot.revision, take, health)
        except revisioned.HistoryLostError as error:
            log.write("store history lost", prefix=prefix, detail=str(error))


class _Health:
    """Logs when the store is lost and regained."""

    def __init__(
        self, prefix: str, log: journal.Journal, gather_seconds: float
    ) -> None:
        self.prefix = prefix
        self.log = log
        self.backoff = Backoff()
        self.failing = False
        self.gather_seconds = gather_seconds

    def succeeded(self) -> None:
        if self.failing:
            self.log.write("store regained", prefix=self.prefix)
        self.failing = False
        self.backoff.reset()

    async def failed(self, error: _exceptions.PlantainError) -> None:
        if not self.failing:
            self.log.write("store lost", prefix=self.prefix, detail=str(error))
        self.failing = True
        self.log.count("store.failed_calls")
        await self.backoff.wait()


async def _read(
    store: revisioned.RevisionedStore, prefix: str, health: _Health
) -> revisioned.Snapshot:
    while True:
        try:
            snapshot = await store.read_all(prefix)
        except _exceptions.PlantainError as error:
            await health.failed(error)
            continue
        health.succeeded()
        return snapshot


async def _watch(
    store: revisioned.RevisionedStore,
    prefix: str,
    entries: dict[str, bytes],
    revision: int,
    take: Take,
    health: _Health,
) -> None:
    gather_seconds = health.gather_seconds
    while True:
        began = trio.current_time()
        try:
            seen = await store.watch_after(prefix, revision, brief=health.failing)
        except _exceptions.PlantainError as error:
            await health.failed(error)
            continue
        health.succeeded()
        revision = max(revision, seen.revision)
        if not seen.changes:
            continue
        for change in seen.changes:
            if change.entry is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.entry.value
        take(entries, revision)
        if trio.current_time() - began < IN_SUCCESSION_SECONDS:
            gather_seconds = min(2 * gather_seconds, LAST_GATHER_SECONDS)
        else:
            gather_seconds = health.gather_seconds
        await trio.sleep(gather_seconds)
