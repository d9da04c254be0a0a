"""The audit trail: one record for each accepted change."""

import dataclasses

from plantainproxy.config import diff, document
from plantainproxy.store import port

RETENTION_RECORDS = 5_000
"""A change removes the record that lies this many revisions back."""
MAX_RECORDS_READ_PER_PAGE = 500
"""Bounds the records that one page reads while it looks for matching ones."""
READ_BATCH_RECORDS = 50
CHANGE_SEARCH_RECORDS = 32
"""How many records are searched for an earlier attempt of the same change."""

_REVISION_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """Who changed what, when and why."""

    revision: int
    """The revision that the change made."""
    change_id: str
    operator: str
    reason: str
    time_seconds: float
    """When the change was proposed, in seconds since the epoch."""
    differences: tuple[diff.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RecordDocument:
    format: int
    record: AuditRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """Which records are wanted; the default is all."""

    since_seconds: float = 0.0
    until_seconds: float = float("inf")
    kind: diff.ObjectKind | None = None
    name: str = ""
    """Only records about the object of this name."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Some matching records, newest first."""

    records: tuple[AuditRecord, ...]
    next_before: int = 0
    """The ``before`` of the next page; 0 when there is none."""


def key_prefix(prefix: str) -> str:
    """Return what the keys of all records begin with."""
    return f"{prefix}audit/"


def key(prefix: str, revision: int) -> str:
    """Return the store's key of one record."""
    return f"{key_prefix(prefix)}{revision:0{_REVISION_DIGITS}}"


def encode(record: AuditRecord) -> bytes:
    """Encode a record; refuse one that the store cannot hold."""
    return document.encode_value(
        _RecordDocument(format=document.FORMAT, record=record), "the audit record"
    )


def decode(encoded: bytes) -> AuditRecord:
    """Decode a stored record."""
    return document.decode_value(
        encoded, _RecordDocument, "a stored audit record"
    ).record


async def read(store: port.Store, *, prefix: str, revision: int) -> AuditRecord | None:
    """Read the record of one revision."""
    entry = await store.get(key(prefix, revision))
    return None if entry is None else decode(entry.value)


async def find_change(
    store: port.Store, *, prefix: str, change_id: str
) -> AuditRecord | None:
    """Find a change among the most recent records."""
    entries = await store.scan(
        key_prefix(prefix), limit=CHANGE_SEARCH_RECORDS, newest_first=True
    )
    for entry in entries:
        record = decode(entry.value)
        if record.change_id == change_id:
            return record
    return None


def expired_record_deletes(prefix: str, revision: int) -> tuple[port.Delete, ...]:
    """Return the removal of the record that a new revision makes too old."""
    expired_revision = revision - RETENTION_RECORDS
    if expired_revision <= 0:
        return ()
    return (port.Delete(key=key(prefix, expired_revision)),)


async def read_page(
    store: port.Store,
    *,
    prefix: str,
    query: Query,
    before: int = 0,
    limit: int = 50,
) -> Page:
    """Read matching records, newest first.

    ``before`` continues after an earlier page. A page may hold fewer records than
    the limit, even none, and still name a next one.
    """
    matching: list[AuditRecord] = []
    for _ in range(MAX_RECORDS_READ_PER_PAGE // READ_BATCH_RECORDS):
        records = await _read_batch(store, prefix, before)
        for record in records:
            before = record.revision
            if _matches(record, query):
                matching.append(record)
            if len(matching) == limit:
                return Page(records=tuple(matching), next_before=before)
        if len(records) < READ_BATCH_RECORDS or before <= 1:
            return Page(records=tuple(matching))
    return Page(records=tuple(matching), next_before=before)


async def _read_batch(
    store: port.Store, prefix: str, before: int
) -> tuple[AuditRecord, ...]:
    if before == 1:
        return ()
    entries = await store.scan(
        key_prefix(prefix),
        start=key(prefix, before - 1) if before else "",
        limit=READ_BATCH_RECORDS,
        newest_first=True,
    )
    return tuple(decode(entry.value) for entry in entries)


def _matches(record: AuditRecord, query: Query) -> bool:
    if not query.since_seconds <= record.time_seconds <= query.until_seconds:
        return False
    if query.kind is None and not query.name:
        return True
    return any(
        query.kind in (None, difference.kind) and query.name in ("", difference.name)
        for difference in record.differences
    )
