"""Keeps a copy of the store's entries under one prefix."""

from collections import abc
import random

import trio

from plantainproxy import _exceptions
from plantainproxy.flows import event_log
from plantainproxy.store import revisioned

COALESCE_SECONDS = 0.2
"""After a change, the next watch starts this much later, so that changes in quick
succession cost one call."""
MAX_COALESCE_SECONDS = 0.4
"""While changes go on, the delay doubles up to this: a whole site that starts makes a
change for each process, and each change wakes every watch."""
BURST_INTERVAL_SECONDS = 0.2
"""A watch that is answered sooner than this has met a change in quick succession."""
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
"""The wait after failed calls doubles between these; the last one keeps a store that
returns from being noticed late."""

ApplyEntries = abc.Callable[[abc.Mapping[str, bytes], int], None]
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
        doubled = max(MIN_BACKOFF_SECONDS, 2 * self.seconds)
        self.seconds = min(doubled, MAX_BACKOFF_SECONDS)
        await trio.sleep(self.seconds * (0.5 + random.random() / 2))


async def follow(
    store: revisioned.RevisionedStore,
    prefix: str,
    *,
    apply_entries: ApplyEntries,
    log: event_log.EventLog,
    coalesce_seconds: float = COALESCE_SECONDS,
) -> None:
    """Read the entries and watch them for ever.

    After a single change the next watch starts ``gather_seconds`` later.
    """
    health = _StoreHealth(prefix, log, coalesce_seconds)
    while True:
        snapshot = await _read(store, prefix, health)
        entries = {entry.key: entry.value for entry in snapshot.entries}
        apply_entries(entries, snapshot.revision)
        try:
            await _watch(
                store, prefix, entries, snapshot.revision, apply_entries, health
            )
        except revisioned.HistoryLostError as error:
            log.write("store history lost", prefix=prefix, detail=str(error))


class _StoreHealth:
    """Logs when the store is lost and regained."""

    def __init__(
        self, prefix: str, log: event_log.EventLog, coalesce_seconds: float
    ) -> None:
        self.prefix = prefix
        self.log = log
        self.backoff = Backoff()
        self.failing = False
        self.coalesce_seconds = coalesce_seconds

    def record_success(self) -> None:
        if self.failing:
            self.log.write("store regained", prefix=self.prefix)
        self.failing = False
        self.backoff.reset()

    async def record_failure(self, error: _exceptions.PlantainError) -> None:
        if not self.failing:
            self.log.write("store lost", prefix=self.prefix, detail=str(error))
        self.failing = True
        self.log.count("store.failed_calls")
        await self.backoff.wait()


async def _read(
    store: revisioned.RevisionedStore, prefix: str, health: _StoreHealth
) -> revisioned.Snapshot:
    while True:
        try:
            snapshot = await store.read_all(prefix)
        except _exceptions.PlantainError as error:
            await health.record_failure(error)
            continue
        health.record_success()
        return snapshot


async def _watch(
    store: revisioned.RevisionedStore,
    prefix: str,
    entries: dict[str, bytes],
    revision: int,
    apply_entries: ApplyEntries,
    health: _StoreHealth,
) -> None:
    coalesce_seconds = health.coalesce_seconds
    while True:
        started_at = trio.current_time()
        try:
            received = await store.watch_after(prefix, revision, brief=health.failing)
        except _exceptions.PlantainError as error:
            await health.record_failure(error)
            continue
        health.record_success()
        revision = max(revision, received.revision)
        if not received.changes:
            continue
        for change in received.changes:
            if change.entry is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.entry.value
        apply_entries(entries, revision)
        if trio.current_time() - started_at < BURST_INTERVAL_SECONDS:
            coalesce_seconds = min(2 * coalesce_seconds, MAX_COALESCE_SECONDS)
        else:
            coalesce_seconds = health.coalesce_seconds
        await trio.sleep(coalesce_seconds)
