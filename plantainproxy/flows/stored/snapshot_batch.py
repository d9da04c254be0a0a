"""Flow snapshots of a failure domain's sidecars, written to the store by a relay.

A snapshot is worth most when it is recent, but one write for each sidecar every second
would use up the store's rate. So a sidecar sends its snapshot to the relay that covers
it, and the relay writes those of many sidecars in one transaction. Nothing depends on
the relay: a sidecar without a confirmation writes its snapshot itself.
"""

from collections import abc
import itertools

import msgspec

from plantainproxy import _exceptions, _types
from plantainproxy.eventloop import runtime
from plantainproxy.flows import event_log, messages
from plantainproxy.flows.stored import flow_record
from plantainproxy.store import port, revisioned

BATCH_INTERVAL_SECONDS = 2.0
"""Interval of a relay's writes."""
MAX_TRANSACTION_ENTRIES = 32
"""Limit of the store, which counts preconditions and writes."""
RECORDS_PER_TRANSACTION = MAX_TRANSACTION_ENTRIES // 2
MAX_RECORD_AGE_SECONDS = 3.0
"""Age from which a record is dropped. A relay that was paused must not replace a newer
snapshot, and the sidecar has by then offered it again or written it itself."""

Send = abc.Callable[[_types.Address, messages.Message], None]
"""Sends a message to a process."""


class Record(msgspec.Struct, kw_only=True):
    """The newest snapshot that a sidecar has sent."""

    message: messages.FlowRecord
    sender: _types.Address
    received_at: float
    is_separate: bool = False
    """Whether it is written without others, because a lease of a batch with it has
    ended."""


class SnapshotBatch:
    """Records that a relay has not written yet, by their senders."""

    def __init__(
        self, store: revisioned.LeasingStore, *, send: Send, log: event_log.EventLog
    ) -> None:
        """Start without records."""
        self.store = store
        self.send = send
        self.log = log
        self.records: dict[_types.Address, Record] = {}


def handle_record(
    batch: SnapshotBatch,
    message: messages.FlowRecord,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Keep a sidecar's snapshot for the next write; it replaces an earlier one."""
    batch.records[sender] = Record(message=message, sender=sender, received_at=now)


async def run(batch: SnapshotBatch, clock: abc.Callable[[], float]) -> None:
    """Write the records periodically until cancelled.

    ``clock`` must also count while the machine is suspended.
    """
    while True:
        await runtime.sleep(BATCH_INTERVAL_SECONDS)
        await write_records(batch, now=clock())


async def write_records(batch: SnapshotBatch, *, now: float) -> None:
    """Write all records that are recent and of the store's era."""
    for sender, record in list(batch.records.items()):
        is_expired = now - record.received_at >= MAX_RECORD_AGE_SECONDS
        if is_expired or record.message.era != batch.store.era:
            del batch.records[sender]
    for group in _groups(batch.records.values()):
        try:
            await _write_group(batch, group)
        except _exceptions.PlantainError as error:
            batch.log.write_limited("records not written", detail=str(error))


def _groups(records: abc.Iterable[Record]) -> list[list[Record]]:
    """Divide the records into those of one transaction each."""
    remaining = list(records)
    separate = [[record] for record in remaining if record.is_separate]
    shared = iter([record for record in remaining if not record.is_separate])
    while group := list(itertools.islice(shared, RECORDS_PER_TRANSACTION)):
        separate.append(group)
    return separate


async def _write_group(batch: SnapshotBatch, group: abc.Sequence[Record]) -> None:
    transaction = port.Transaction(
        compares=tuple(
            port.Compare(
                key=flow_record.key_of(record.sender.host),
                mod_revision=record.message.revision,
            )
            for record in group
        ),
        puts=tuple(
            port.Put(
                key=flow_record.key_of(record.sender.host),
                value=record.message.snapshot,
                lease=record.message.lease,
            )
            for record in group
        ),
    )
    try:
        result = await batch.store.write(transaction)
    except revisioned.LeaseEndedError:
        # The store does not state which lease has ended.
        for record in group:
            if record.is_separate:
                _drop(batch, record)
            record.is_separate = True
        return
    if isinstance(result, revisioned.Conflict):
        _reject_outdated(batch, group, result)
        return
    for record in group:
        _drop(batch, record)
        _reply(batch, record, revision=result, is_saved=True)


def _reject_outdated(
    batch: SnapshotBatch, group: abc.Sequence[Record], conflict: revisioned.Conflict
) -> None:
    """Return the records whose stored revision is another than their senders know.

    The other records of the transaction remain for the next write.
    """
    revisions = {entry.key: entry.mod_revision for entry in conflict.entries}
    for record in group:
        stored = revisions.get(flow_record.key_of(record.sender.host), 0)
        if stored != record.message.revision:
            _drop(batch, record)
            _reply(batch, record, revision=stored, is_saved=False)


def _drop(batch: SnapshotBatch, record: Record) -> None:
    """Remove a record unless a newer one has replaced it during the write."""
    if batch.records.get(record.sender) is record:
        del batch.records[record.sender]


def _reply(
    batch: SnapshotBatch, record: Record, *, revision: int, is_saved: bool
) -> None:
    reply = messages.FlowRecordResult(
        number=record.message.number, revision=revision, is_saved=is_saved
    )
    batch.send(record.sender, reply)
