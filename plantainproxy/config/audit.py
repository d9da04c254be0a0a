"""The audit trail, with one record per accepted change."""

import dataclasses

from plantainproxy.config import diff, document
from plantainproxy.store import port

RETENTION_RECORDS = 5_000
"""Each change deletes the record that is this many revisions older."""
MAX_RECORDS_READ_PER_PAGE = 500
"""Limits the records that are read to fill one page of matching records."""
READ_BATCH_RECORDS = 50
"""Records per read from the store."""
CHANGE_SEARCH_RECORDS = 32
"""Number of newest records that are searched for a change ID."""

_REVISION_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """Who changed what, when and why."""

    revision: int
    """The revision that the change created."""
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
    """Filters for audit records. The defaults match all records."""

    since_seconds: float = 0.0
    until_seconds: float = float("inf")
    kind: diff.ObjectKind | None = None
    name: str = ""
    """Matches records about the object with this name; empty for any object."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """One page of matching records, newest first."""

    records: tuple[AuditRecord, ...]
    next_before: int = 0
    """The ``before`` argument for the next page; 0 if this is the last page."""


def key_prefix(prefix: str) -> str:
    """Return the common key prefix of all records."""
    return f"{prefix}audit/"


def key(prefix: str, revision: int) -> str:
    """Return the store key of the record of one revision."""
    return f"{key_prefix(prefix)}{revision:0{_REVISION_DIGITS}}"


def encode(record: AuditRecord) -> bytes:
    """Encode a record.

    Raises ``INVALID_CONFIGURATION`` if it exceeds the size limit of the store.
    """
    return document.encode_value(
        _RecordDocument(format=document.FORMAT, record=record), "the audit record"
    )


def decode(encoded: bytes) -> AuditRecord:
    """Decode a stored record.

    Raises ``INVALID_CONFIGURATION`` if the bytes are malformed.
    """
    return document.decode_value(
        encoded, _RecordDocument, "a stored audit record"
    ).record


async def read(store: port.Store, *, prefix: str, revision: int) -> AuditRecord | None:
    """Read the record of one revision; return ``None`` if there is none."""
    entry = await store.get(key(prefix, revision))
    return None if entry is None else decode(entry.value)


async def find_change(
    store: port.Store, *, prefix: str, change_id: str
) -> AuditRecord | None:
    """Return the record of a change if it is among the most recent ones."""
    entries = await store.scan(
        key_prefix(prefix), limit=CHANGE_SEARCH_RECORDS, newest_first=True
    )
    for entry in entries:
        record = decode(entry.value)
        if record.change_id == change_id:
            return record
    return None


def expired_record_deletes(prefix: str, revision: int) -> tuple[port.Delete, ...]:
    """Return the deletion of the record that expires with a new revision."""
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
    """Read a page of matching records, newest first.

    Only records with a revision below ``before`` are read, unless it is 0. A page can
    have fewer records than ``limit``, or none, although a next page exists.
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
