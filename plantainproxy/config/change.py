"""Commits a change and its audit record to the store in one compare-and-swap."""

import dataclasses
import logging

from plantainproxy import _exceptions
from plantainproxy.config import audit, check, diff, document, model, swap
from plantainproxy.store import port

logger = logging.getLogger("plantain.config")

MAX_TRANSACTION_BYTES = 1_400_000
"""Below etcd's default request limit of 1.5 MiB, which includes keys and framing."""

_Kind = _exceptions.ErrorKind
_SOURCE = "proposed configuration"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    """One validated change, ready to be committed."""

    prefix: str
    base: model.Configuration | None
    next_configuration: model.Configuration
    record: audit.AuditRecord
    puts: tuple[port.Put, ...]
    """The writes of the document and of its audit record, in this order."""

    @property
    def base_revision(self) -> int:
        """The revision that the change is based on; 0 if there is none."""
        return 0 if self.base is None else self.base.revision


async def apply(
    store: port.Store,
    *,
    prefix: str,
    base: model.Configuration | None,
    proposed: model.Configuration,
    change_id: str,
    operator: str,
    reason: str,
    now: float,
) -> model.Configuration:
    """Commit a proposed configuration as the next revision and return it.

    ``base`` is the configuration that the proposal was made from; ``None`` requires
    that none is stored yet. ``now`` is in seconds since the epoch. A repeated call
    with the same ``change_id`` does not apply the change again. Raises
    ``INVALID_CONFIGURATION``, ``CONFLICT``, ``STORE_UNAVAILABLE`` (not accepted) or
    ``CHANGE_UNKNOWN``.
    """
    change = _prepare(
        prefix=prefix,
        base=base,
        proposed=proposed,
        change_id=change_id,
        operator=operator,
        reason=reason,
        now=now,
    )
    pending_swap = swap.CompareAndSwap(store)

    async def attempt() -> model.Configuration | None:
        return await _attempt(pending_swap, change)

    accepted = await swap.retry_until_resolved(
        pending_swap, attempt, name=f"change {change_id}"
    )
    logger.info(
        "Configuration revision %d accepted (change %s).", accepted.revision, change_id
    )
    return accepted


def _prepare(
    *,
    prefix: str,
    base: model.Configuration | None,
    proposed: model.Configuration,
    change_id: str,
    operator: str,
    reason: str,
    now: float,
) -> _Change:
    _require_valid(base, proposed, change_id)
    revision = 1 if base is None else base.revision + 1
    record = audit.AuditRecord(
        revision=revision,
        change_id=change_id,
        operator=operator,
        reason=reason,
        time_seconds=now,
        differences=diff.compare(base, proposed),
    )
    next_configuration = dataclasses.replace(
        proposed, revision=revision, change_id=change_id
    )
    puts = (
        port.Put(key=document.key(prefix), value=document.encode(next_configuration)),
        port.Put(key=audit.key(prefix, revision), value=audit.encode(record)),
    )
    _require_storable_size(puts)
    return _Change(
        prefix=prefix,
        base=base,
        next_configuration=next_configuration,
        record=record,
        puts=puts,
    )


def _require_valid(
    base: model.Configuration | None, proposed: model.Configuration, change_id: str
) -> None:
    if not change_id:
        raise _exceptions.PlantainError(
            _Kind.INVALID_CONFIGURATION, "change_id: expected a non-empty ID"
        )
    require_valid_change(base, proposed)


def require_valid_change(
    base: model.Configuration | None, proposed: model.Configuration
) -> None:
    """Raise ``INVALID_CONFIGURATION`` if the proposal or the change is invalid."""
    check.require_valid(proposed, source=_SOURCE)
    problems = () if base is None else check.find_change_problems(base, proposed)
    if problems:
        raise check.invalid_configuration_error(problems, source=_SOURCE)


def _require_storable_size(puts: tuple[port.Put, ...]) -> None:
    size_bytes = sum(len(put.value) for put in puts)
    if size_bytes > MAX_TRANSACTION_BYTES:
        raise _exceptions.PlantainError(
            _Kind.INVALID_CONFIGURATION,
            f"{_SOURCE}: expected at most {MAX_TRANSACTION_BYTES} bytes with the audit"
            f" record, got {size_bytes}; split it into several changes",
        )


async def _find_earlier_attempt(
    store: port.Store, change: _Change
) -> model.Configuration | None:
    """Return the current configuration if the change was already accepted."""
    record = await audit.find_change(
        store, prefix=change.prefix, change_id=change.record.change_id
    )
    if record is None:
        return None
    entry = await store.get(document.key(change.prefix))
    current = None if entry is None else document.decode(entry.value)
    if current is None or current.revision < record.revision:
        raise _exceptions.PlantainError(
            _Kind.CHANGE_UNKNOWN,
            "the store returned a configuration older than the change",
        )
    if current.change_id == record.change_id:
        return _require_same_content(change, current)
    return current


def _require_same_content(
    change: _Change, current: model.Configuration
) -> model.Configuration:
    """Raise ``CONFLICT`` if the change ID was used for another change."""
    body = dataclasses.replace(change.next_configuration, revision=current.revision)
    if body == current:
        return current
    raise _exceptions.PlantainError(
        _Kind.CONFLICT,
        f"change {current.change_id} was accepted before with other content",
    )


async def _attempt(
    pending_swap: swap.CompareAndSwap, change: _Change
) -> model.Configuration | None:
    """Read, then write; return ``None`` if the outcome is still unresolved.

    The transaction requires that the key of the audit record does not exist. At most
    one attempt is therefore applied, even if a lost write arrives late.
    """
    store = pending_swap.store
    if not pending_swap.maybe_applied:
        accepted_earlier = await _find_earlier_attempt(store, change)
        if accepted_earlier is not None:
            return accepted_earlier
    entry = await store.get(document.key(change.prefix))
    current = None if entry is None else document.decode(entry.value)
    if _is_superseded(change, current):
        return await _read_back(store, change, current)
    if current is not None and current == change.base and not change.record.differences:
        return current
    mod_revision = 0 if entry is None else entry.mod_revision
    if await swap.commit(pending_swap, _transaction(change, mod_revision)):
        return change.next_configuration
    return None


def _is_superseded(change: _Change, current: model.Configuration | None) -> bool:
    """Return whether the stored configuration shows that the base is not current.

    A revision below that of the base means a stale read or a store that has lost its
    content. The conditions of the transaction distinguish the two.
    """
    if current is None or current.revision < change.base_revision:
        return False
    return current.revision > change.base_revision or current != change.base


async def _read_back(
    store: port.Store, change: _Change, current: model.Configuration | None
) -> model.Configuration | None:
    """Return the configuration of the change if it was accepted.

    Raises ``CONFLICT`` if another change was accepted instead. Returns ``None`` if this
    cannot be determined because the audit record is missing.
    """
    if current == change.next_configuration:
        return current
    revision = change.next_configuration.revision
    record = await audit.read(store, prefix=change.prefix, revision=revision)
    if record is not None and _is_same_change(record, change.record):
        return change.next_configuration
    if record is None and current is not None and current.revision > revision:
        return None
    raise _conflict(change, current, record)


def _is_same_change(
    record: audit.AuditRecord, proposed_record: audit.AuditRecord
) -> bool:
    same_id = record.change_id == proposed_record.change_id
    return same_id and record.differences == proposed_record.differences


def _conflict(
    change: _Change,
    current: model.Configuration | None,
    record: audit.AuditRecord | None,
) -> _exceptions.PlantainError:
    revision = 0 if current is None else current.revision
    author = ""
    if record is not None:
        author = f" by {record.operator!r} (change {record.change_id})"
    differences = diff.render(diff.compare(change.base, current))
    return _exceptions.PlantainError(
        _Kind.CONFLICT,
        f"revision {change.base_revision} was replaced{author};"
        f" revision {revision} differs in:\n{differences}",
    )


def _transaction(change: _Change, mod_revision: int) -> port.Transaction:
    document_put, audit_put = change.puts
    return port.Transaction(
        compares=(
            port.Compare(key=document_put.key, mod_revision=mod_revision),
            port.Compare(key=audit_put.key, mod_revision=0),
        ),
        puts=change.puts,
        deletes=audit.expired_record_deletes(
            change.prefix, change.next_configuration.revision
        ),
    )
