"""The shared key set: its creation and its rotation in steps.

A rotation adds a key, waits until every process has it, makes it current, waits
until no connection ID of the old keys is in use, and drops those.
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
    """Who rotates the keys and why; the audit trail records it."""

    change_id: str
    operator: str
    reason: str


CREATION = Author(change_id="", operator="", reason="created when absent")


def key(prefix: str) -> str:
    """Return the store's key of the key set."""
    return f"{prefix}config/keys"


def audit_prefix(prefix: str) -> str:
    """Return the prefix under which the audit records of key sets are kept."""
    return f"{prefix}keys/"


def encode(key_set: model.KeySet) -> bytes:
    """Encode a key set."""
    return document.encode_value(
        _KeySetDocument(format=document.FORMAT, key_set=key_set), "the key set"
    )


def decode(encoded: bytes) -> model.KeySet:
    """Decode a stored key set; refuse one that no process could use."""
    stored = document.decode_value(encoded, _KeySetDocument, "the stored key set")
    key_set = stored.key_set
    numbers = [one.number for one in key_set.keys]
    if len(set(numbers)) < len(numbers) or key_set.current not in numbers:
        raise _refusal("expected distinct numbers with the current one among them")
    if any(not 0 <= number <= MAX_KEY_NUMBER for number in numbers):
        raise _refusal(f"expected numbers from 0 to {MAX_KEY_NUMBER}")
    if any(len(one.secret) != SECRET_BYTES for one in key_set.keys):
        raise _refusal(f"expected secrets of {SECRET_BYTES} bytes")
    return key_set


def create() -> model.KeySet:
    """Make the first key set."""
    first = model.Key(number=0, secret=secrets.token_bytes(SECRET_BYTES))
    return model.KeySet(revision=1, current=0, keys=(first,))


def add_key(key_set: model.KeySet, *, secret: bytes) -> model.KeySet:
    """Add a key that is not current yet."""
    if len(key_set.keys) >= MAX_KEYS:
        raise _refusal(f"expected at most {MAX_KEYS} keys; drop old ones first")
    used = {existing.number for existing in key_set.keys}
    number = key_set.keys[-1].number
    while number in used:
        number = (number + 1) % (MAX_KEY_NUMBER + 1)
    added = model.Key(number=number, secret=secret)
    return _following(key_set, keys=(*key_set.keys, added))


def make_newest_current(key_set: model.KeySet) -> model.KeySet:
    """Let new connection IDs use the key that was added last."""
    newest = key_set.keys[-1].number
    if newest == key_set.current:
        raise _refusal("expected an added key that is not current yet")
    return _following(key_set, current=newest)


def drop_old(key_set: model.KeySet) -> model.KeySet:
    """Drop every key that came before the current one."""
    numbers = [existing.number for existing in key_set.keys]
    kept = key_set.keys[numbers.index(key_set.current) :]
    if kept == key_set.keys:
        raise _refusal("expected a key older than the current one")
    return _following(key_set, keys=kept)


def _following(
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


def _refusal(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_Kind.INVALID_CONFIGURATION, f"key set: {detail}")


async def ensure(
    store: port.Store, *, prefix: str, held: model.KeySet | None, now: float
) -> model.KeySet:
    """Return the stored key set; create it by compare-and-swap when absent.

    ``held`` is what this process has already; it is stored in place of a new one.
    """
    key_set = await read(store, prefix=prefix)
    if key_set is not None:
        return key_set
    created = create() if held is None else held
    transaction = _transaction(prefix, None, created, 0, CREATION, now)
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
    """Read the stored key set."""
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
    """Take one step of a rotation on the stored key set.

    Raises ``NOT_FOUND`` without a stored key set, ``CONFLICT`` when another change
    was first, and the store's errors as :func:`config.change.apply` does. A step
    whose change ID is in the audit trail already is not taken again.
    """
    entry = await store.get(key(prefix))
    if entry is None:
        raise _exceptions.PlantainError(_Kind.NOT_FOUND, "no key set is stored")
    base = decode(entry.value)
    earlier = await audit.find_change(
        store, prefix=audit_prefix(prefix), change_id=author.change_id
    )
    if earlier is not None and earlier.revision <= base.revision:
        return base
    following = step(base)
    transaction = _transaction(prefix, base, following, entry.mod_revision, author, now)
    swap_state = swap.Swap(store)

    async def attempt() -> model.KeySet | None:
        return await _attempt(swap_state, following, transaction)

    name = f"change {author.change_id}"
    return await swap.until_known(swap_state, attempt, name=name)


async def _attempt(
    swap_state: swap.Swap,
    following: model.KeySet,
    transaction: port.Transaction,
) -> model.KeySet:
    if await swap.commit(swap_state, transaction):
        return following
    store = swap_state.store
    if swap_state.maybe_applied and await _is_ours(store, transaction):
        return following
    raise _exceptions.PlantainError(_Kind.CONFLICT, "the key set was changed meanwhile")


async def _is_ours(store: port.Store, transaction: port.Transaction) -> bool:
    """Read back whether the audit record is the one of our transaction."""
    written = transaction.puts[1]
    entry = await store.get(written.key)
    if entry is None:
        raise _exceptions.PlantainError(
            _Kind.STORE_UNAVAILABLE, "the audit record could not be read back"
        )
    return entry.value == written.value


def _transaction(
    prefix: str,
    base: model.KeySet | None,
    following: model.KeySet,
    mod_revision: int,
    author: Author,
    now: float,
) -> port.Transaction:
    record = audit.AuditRecord(
        revision=following.revision,
        change_id=author.change_id,
        operator=author.operator,
        reason=author.reason,
        time_seconds=now,
        differences=compare(base, following),
    )
    audit_key = audit.key(audit_prefix(prefix), following.revision)
    return port.Transaction(
        compares=(
            port.Compare(key=key(prefix), mod_revision=mod_revision),
            port.Compare(key=audit_key, mod_revision=0),
        ),
        puts=(
            port.Put(key=key(prefix), value=encode(following)),
            port.Put(key=audit_key, value=audit.encode(record)),
        ),
        deletes=audit.removals(audit_prefix(prefix), following.revision),
    )


def compare(
    before: model.KeySet | None, after: model.KeySet
) -> tuple[diff.Difference, ...]:
    """Return the differences between two key sets, without any secret."""
    old = {} if before is None else _states(before)
    new = _states(after)
    return tuple(
        diff.Difference(
            kind=diff.ObjectKind.KEY,
            name=str(number),
            action=diff.action(number in old, number in new),
            fields=(
                diff.FieldChange(
                    field="state", before=old.get(number), after=new.get(number)
                ),
            ),
        )
        for number in sorted(old.keys() | new.keys())
        if old.get(number) != new.get(number)
    )


def _states(key_set: model.KeySet) -> dict[int, str]:
    return {
        existing.number: "current" if existing.number == key_set.current else "accepted"
        for existing in key_set.keys
    }
