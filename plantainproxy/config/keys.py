"""Creation and rotation of the shared key set.

An operator requests each of the three steps of a rotation: add a key; when every
process has it, make it the current key; when no connection ID of an old key is in use,
drop the old keys.
"""

from collections import abc
import dataclasses
import secrets

from plantainproxy import _exceptions
from plantainproxy.config import audit, diff, document, model, swap
from plantainproxy.store import port

SECRET_BYTES = 32
MAX_KEY_NUMBER = 255
MAX_KEYS = 8

_Kind = _exceptions.ErrorKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeySetDocument:
    format: int
    key_set: model.KeySet


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Author:
    """The author and reason of a change to the key set, for the audit trail."""

    change_id: str
    operator: str
    reason: str


CREATION_AUTHOR = Author(change_id="", operator="", reason="created when absent")


def key(prefix: str) -> str:
    """Return the store key of the key set."""
    return f"{prefix}config/keys"


def audit_prefix(prefix: str) -> str:
    """Return the key prefix of the audit records of the key set."""
    return f"{prefix}keys/"


def encode(key_set: model.KeySet) -> bytes:
    """Encode a key set.

    Raises ``INVALID_CONFIGURATION`` if it exceeds the size limit of the store.
    """
    return document.encode_value(
        _KeySetDocument(format=document.FORMAT, key_set=key_set), "the key set"
    )


def decode(encoded: bytes) -> model.KeySet:
    """Decode and validate a stored key set.

    Raises ``INVALID_CONFIGURATION`` if it is malformed or unusable.
    """
    stored = document.decode_value(encoded, _KeySetDocument, "the stored key set")
    key_set = stored.key_set
    numbers = [existing.number for existing in key_set.keys]
    if len(set(numbers)) < len(numbers) or key_set.current not in numbers:
        raise _invalid_key_set_error(
            "expected distinct numbers with the current one among them"
        )
    if any(not 0 <= number <= MAX_KEY_NUMBER for number in numbers):
        raise _invalid_key_set_error(f"expected numbers from 0 to {MAX_KEY_NUMBER}")
    if any(len(existing.secret) != SECRET_BYTES for existing in key_set.keys):
        raise _invalid_key_set_error(f"expected secrets of {SECRET_BYTES} bytes")
    return key_set


def create() -> model.KeySet:
    """Create a key set of revision 1 with one random key."""
    first = model.Key(number=0, secret=secrets.token_bytes(SECRET_BYTES))
    return model.KeySet(revision=1, current=0, keys=(first,))


def add_key(key_set: model.KeySet, *, secret: bytes) -> model.KeySet:
    """Add a key without making it current.

    Raises ``INVALID_CONFIGURATION`` if the key set is full.
    """
    if len(key_set.keys) >= MAX_KEYS:
        raise _invalid_key_set_error(
            f"expected at most {MAX_KEYS} keys; drop old ones first"
        )
    used_numbers = {existing.number for existing in key_set.keys}
    number = key_set.keys[-1].number
    while number in used_numbers:
        number = (number + 1) % (MAX_KEY_NUMBER + 1)
    new_key = model.Key(number=number, secret=secret)
    return _next_revision(key_set, keys=(*key_set.keys, new_key))


def make_newest_current(key_set: model.KeySet) -> model.KeySet:
    """Make the last added key the one that new connection IDs use.

    Raises ``INVALID_CONFIGURATION`` if it is current already.
    """
    newest = key_set.keys[-1].number
    if newest == key_set.current:
        raise _invalid_key_set_error("expected an added key that is not current yet")
    return _next_revision(key_set, current=newest)


def drop_old_keys(key_set: model.KeySet) -> model.KeySet:
    """Drop all keys that were added before the current one.

    Raises ``INVALID_CONFIGURATION`` if there are none.
    """
    numbers = [existing.number for existing in key_set.keys]
    remaining = key_set.keys[numbers.index(key_set.current) :]
    if remaining == key_set.keys:
        raise _invalid_key_set_error("expected a key older than the current one")
    return _next_revision(key_set, keys=remaining)


def _next_revision(
    key_set: model.KeySet,
    *,
    keys: tuple[model.Key, ...] | None = None,
    current: int | None = None,
) -> model.KeySet:
    return model.KeySet(
        revision=key_set.revision + 1,
        current=key_set.current if current is None else current,
        keys=key_set.keys if keys is None else keys,
    )


def _invalid_key_set_error(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_Kind.INVALID_CONFIGURATION, f"key set: {detail}")


async def ensure(
    store: port.Store, *, prefix: str, local_key_set: model.KeySet | None, now: float
) -> model.KeySet:
    """Return the stored key set; create it by compare-and-swap if there is none.

    If this process already has a key set, ``local_key_set`` is stored instead of a
    new one.
    """
    key_set = await read(store, prefix=prefix)
    if key_set is not None:
        return key_set
    created = create() if local_key_set is None else local_key_set
    transaction = _transaction(prefix, None, created, 0, CREATION_AUTHOR, now)
    try:
        applied = await store.commit(transaction)
    except _exceptions.PlantainError as error:
        if error.kind is not _Kind.CHANGE_UNKNOWN:
            raise
        applied = False
    if applied:
        return created
    key_set = await read(store, prefix=prefix)
    if key_set is None:
        raise _exceptions.PlantainError(
            _Kind.STORE_UNAVAILABLE, "the key set could not be read back"
        )
    return key_set


async def read(store: port.Store, *, prefix: str) -> model.KeySet | None:
    """Read the stored key set; return ``None`` if there is none."""
    entry = await store.get(key(prefix))
    return None if entry is None else decode(entry.value)


async def rotate(
    store: port.Store,
    *,
    prefix: str,
    step: abc.Callable[[model.KeySet], model.KeySet],
    author: Author,
    now: float,
) -> model.KeySet:
    """Apply one step of a rotation to the stored key set.

    A step whose change ID is already in the audit trail is not applied again. Raises
    ``NOT_FOUND`` if no key set is stored, ``CONFLICT`` if another change was committed
    first, and the same store errors as :func:`config.change.apply`.
    """
    entry = await store.get(key(prefix))
    if entry is None:
        raise _exceptions.PlantainError(_Kind.NOT_FOUND, "no key set is stored")
    base = decode(entry.value)
    earlier_record = await audit.find_change(
        store, prefix=audit_prefix(prefix), change_id=author.change_id
    )
    if earlier_record is not None and earlier_record.revision <= base.revision:
        return base
    next_key_set = step(base)
    transaction = _transaction(
        prefix, base, next_key_set, entry.mod_revision, author, now
    )
    pending_swap = swap.CompareAndSwap(store)

    async def attempt() -> model.KeySet | None:
        return await _attempt(pending_swap, next_key_set, transaction)

    name = f"change {author.change_id}"
    return await swap.retry_until_resolved(pending_swap, attempt, name=name)


async def _attempt(
    pending_swap: swap.CompareAndSwap,
    next_key_set: model.KeySet,
    transaction: port.Transaction,
) -> model.KeySet:
    if await swap.commit(pending_swap, transaction):
        return next_key_set
    store = pending_swap.store
    if pending_swap.maybe_applied and await _is_committed(store, transaction):
        return next_key_set
    raise _exceptions.PlantainError(
        _Kind.CONFLICT, "the key set was changed concurrently"
    )


async def _is_committed(store: port.Store, transaction: port.Transaction) -> bool:
    """Read the audit record; return whether this transaction wrote it."""
    audit_put = transaction.puts[1]
    entry = await store.get(audit_put.key)
    if entry is None:
        raise _exceptions.PlantainError(
            _Kind.STORE_UNAVAILABLE, "the audit record could not be read back"
        )
    return entry.value == audit_put.value


def _transaction(
    prefix: str,
    base: model.KeySet | None,
    next_key_set: model.KeySet,
    mod_revision: int,
    author: Author,
    now: float,
) -> port.Transaction:
    record = audit.AuditRecord(
        revision=next_key_set.revision,
        change_id=author.change_id,
        operator=author.operator,
        reason=author.reason,
        time_seconds=now,
        differences=compare(base, next_key_set),
    )
    audit_key = audit.key(audit_prefix(prefix), next_key_set.revision)
    return port.Transaction(
        compares=(
            port.Compare(key=key(prefix), mod_revision=mod_revision),
            port.Compare(key=audit_key, mod_revision=0),
        ),
        puts=(
            port.Put(key=key(prefix), value=encode(next_key_set)),
            port.Put(key=audit_key, value=audit.encode(record)),
        ),
        deletes=audit.expired_record_deletes(
            audit_prefix(prefix), next_key_set.revision
        ),
    )


def compare(
    before: model.KeySet | None, after: model.KeySet
) -> tuple[diff.Difference, ...]:
    """Return the differences between two key sets, without the secrets."""
    old_states = {} if before is None else _states_by_number(before)
    new_states = _states_by_number(after)
    return tuple(
        diff.Difference(
            kind=diff.ObjectKind.KEY,
            name=str(number),
            action=diff.classify_change(number in old_states, number in new_states),
            fields=(
                diff.FieldChange(
                    field="state",
                    before=old_states.get(number),
                    after=new_states.get(number),
                ),
            ),
        )
        for number in sorted(old_states.keys() | new_states.keys())
        if old_states.get(number) != new_states.get(number)
    )


def _states_by_number(key_set: model.KeySet) -> dict[int, str]:
    return {
        existing.number: "current" if existing.number == key_set.current else "accepted"
        for existing in key_set.keys
    }
