"""Operators' requests: configuration changes, audit trail and key rotation.

Except for ``show``, all data is read from and written to the store, so any balancer can
serve any request.
"""

from collections import abc
import dataclasses
import secrets

from plantainproxy import _exceptions, _types
from plantainproxy.config import audit, change, diff, document, edit, keys, model, parse
from plantainproxy.rpc import operator_pb2
from plantainproxy.store import port

MILLISECONDS = 1000
DEFAULT_AUDIT_LIMIT = 50
MAX_AUDIT_LIMIT = 500
KEYS_DURING_ROTATION = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreAccess:
    """Store access of the operations, and the functions that activate their results."""

    store: port.Store
    prefix: str
    """Prefix of all store keys of this installation."""
    wall_clock: abc.Callable[[], float]
    """Returns seconds since the epoch."""
    apply_configuration: abc.Callable[[model.Configuration], abc.Awaitable[None]]
    """Activates an accepted configuration on this balancer without delay."""
    apply_key_set: abc.Callable[[model.KeySet], abc.Awaitable[None]]


def _parse_address(text: str) -> _types.Address:
    try:
        return _types.Address.parse(text)
    except ValueError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION, str(error)
        ) from None


def _parse_domain_state(text: str) -> _types.DomainState:
    if text in set(_types.DomainState):
        return _types.DomainState(text)
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.INVALID_CONFIGURATION,
        f"domain state: expected in or out, got {text!r}",
    )


def _set_pool_limits(
    base: model.Configuration, request: operator_pb2.SetPool
) -> model.Configuration:
    """Set the limits that the request contains; the others are unchanged."""
    pools_by_name = {pool.name: pool for pool in base.pools}
    pool = pools_by_name.get(request.name, model.Pool(name=request.name))
    if request.max_running:
        pool = dataclasses.replace(pool, max_running=request.max_running)
    if request.lines_per_second:
        pool = dataclasses.replace(pool, lines_per_second=request.lines_per_second)
    return edit.set_pool(base, pool)


def _set_drained(
    base: model.Configuration, request: operator_pb2.SetDrained
) -> model.Configuration:
    upstream = _parse_address(request.upstream)
    if request.drained:
        return edit.drain(base, upstream)
    return edit.undrain(base, upstream)


def _add_domain(
    base: model.Configuration, request: operator_pb2.AddDomain
) -> model.Configuration:
    """Add a failure domain; an existing one keeps its state."""
    domains_by_name = {domain.name: domain for domain in base.domains}
    domain = domains_by_name.get(
        request.name, model.Domain(name=request.name, number=0)
    )
    return edit.set_domain(base, dataclasses.replace(domain, number=request.number))


def _apply_edit(
    base: model.Configuration, request: operator_pb2.ChangeRequest
) -> model.Configuration:
    """Return the configuration that results from applying the request's edit."""
    match request.WhichOneof("edit"):
        case "set_route":
            route = model.Route(
                name=request.set_route.name,
                address=_parse_address(request.set_route.address),
                pool=request.set_route.pool,
            )
            return edit.set_route(base, route)
        case "remove_route":
            return edit.remove_route(base, request.remove_route.name)
        case "set_pool":
            return _set_pool_limits(base, request.set_pool)
        case "remove_pool":
            return edit.remove_pool(base, request.remove_pool.name)
        case "set_domain":
            state = _parse_domain_state(request.set_domain.state)
            return edit.set_domain_state(base, request.set_domain.name, state)
        case "add_domain":
            return _add_domain(base, request.add_domain)
        case "remove_domain":
            return edit.remove_domain(base, request.remove_domain.name)
        case "set_drained":
            return _set_drained(base, request.set_drained)
        case "replace_all":
            return parse.parse(request.replace_all.toml, source="configuration")
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.BAD_REQUEST, "The change contains no edit."
    )


def show(configuration: model.Configuration | None) -> operator_pb2.ShowReply:
    """Return the configuration as TOML, or revision 0 if there is none."""
    if configuration is None:
        return operator_pb2.ShowReply(revision=0)
    return operator_pb2.ShowReply(
        revision=configuration.revision,
        change_id=configuration.change_id,
        toml=parse.render(configuration),
    )


async def read_configuration(access: StoreAccess) -> model.Configuration | None:
    """Return the stored configuration, or ``None`` if there is none yet."""
    entry = await access.store.get(document.key(access.prefix))
    return None if entry is None else document.decode(entry.value)


async def _check_expected(
    access: StoreAccess,
    base: model.Configuration | None,
    request: operator_pb2.ChangeRequest,
) -> bool:
    """Check the revision that the request expects, if any.

    Returns ``False`` if the change can proceed. If another revision is stored, returns
    ``True`` if this change was accepted before; otherwise raises ``CONFLICT`` with the
    differences of the newest change.
    """
    current_revision = 0 if base is None else base.revision
    if not request.expected_revision or request.expected_revision == current_revision:
        return False
    earlier_record = await audit.find_change(
        access.store, prefix=access.prefix, change_id=request.change_id
    )
    if earlier_record is not None:
        return True
    newest_record = await audit.read(
        access.store, prefix=access.prefix, revision=current_revision
    )
    rendered_differences = (
        "" if newest_record is None else diff.render(newest_record.differences)
    )
    author = "" if newest_record is None else f" by {newest_record.operator}"
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.CONFLICT,
        f"Expected revision {request.expected_revision}, "
        f"but {current_revision} is active{author}: {rendered_differences}",
    )


async def apply_change(
    access: StoreAccess, request: operator_pb2.ChangeRequest
) -> operator_pb2.ChangeReply:
    """Validate one change, write it to the store and activate it."""
    base = await read_configuration(access)
    if await _check_expected(access, base, request):
        revision = 0 if base is None else base.revision
        return operator_pb2.ChangeReply(revision=revision, applied=True)
    proposed = _apply_edit(base or model.Configuration(revision=0), request)
    change.require_valid_change(base, proposed)
    differences = diff.compare(base, proposed)
    lines = diff.render(differences).splitlines()
    if request.dry_run or not differences:
        current_revision = 0 if base is None else base.revision
        return operator_pb2.ChangeReply(revision=current_revision, differences=lines)
    accepted = await change.apply(
        access.store,
        prefix=access.prefix,
        base=base,
        proposed=proposed,
        change_id=request.change_id,
        operator=request.operator,
        reason=request.reason,
        now=access.wall_clock(),
    )
    await access.apply_configuration(accepted)
    return operator_pb2.ChangeReply(
        revision=accepted.revision, differences=lines, applied=True
    )


async def read_audit(
    access: StoreAccess, request: operator_pb2.AuditRequest
) -> operator_pb2.AuditReply:
    """Return one page of the audit trail."""
    query = audit.Query(
        since_seconds=request.since_ms / MILLISECONDS, name=request.object
    )
    prefix = keys.audit_prefix(access.prefix) if request.keys else access.prefix
    page = await audit.read_page(
        access.store,
        prefix=prefix,
        query=query,
        before=request.before_revision,
        limit=min(request.limit or DEFAULT_AUDIT_LIMIT, MAX_AUDIT_LIMIT),
    )
    entries = [
        operator_pb2.AuditEntry(
            revision=record.revision,
            time_ms=int(record.time_seconds * MILLISECONDS),
            operator=record.operator,
            reason=record.reason,
            change_id=record.change_id,
            differences=diff.render(record.differences).splitlines(),
        )
        for record in page.records
    ]
    return operator_pb2.AuditReply(entries=entries, next_before=page.next_before)


def _next_key_step(key_set: model.KeySet) -> tuple[str, model.KeySet]:
    """Return the next step of the rotation: its description and the new key set.

    The steps are: add a key, make the newest key current, drop the old keys.
    """
    newest_number = key_set.keys[-1].number
    if len(key_set.keys) < KEYS_DURING_ROTATION:
        return "A new key is added; it is not used yet.", keys.add_key(
            key_set, secret=secrets.token_bytes(keys.SECRET_BYTES)
        )
    if key_set.current != newest_number:
        return "The newest key is in use.", keys.make_newest_current(key_set)
    return "The old keys are dropped.", keys.drop_old_keys(key_set)


def _check_expected_keys(
    stored: model.KeySet, request: operator_pb2.RotateKeysRequest
) -> None:
    expected = request.expected_key_revision
    if expected and expected != stored.revision:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.CONFLICT,
            f"Expected key revision {expected}, but {stored.revision} is stored.",
        )


async def _is_step_applied(access: StoreAccess, change_id: str) -> bool:
    """Whether an earlier request with this change ID was accepted."""
    prefix = keys.audit_prefix(access.prefix)
    return (
        await audit.find_change(access.store, prefix=prefix, change_id=change_id)
        is not None
    )


async def rotate_keys(
    access: StoreAccess, request: operator_pb2.RotateKeysRequest
) -> operator_pb2.RotateKeysReply:
    """Apply the next step of a key rotation, once for each change ID."""
    if not request.change_id:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.BAD_REQUEST, "The request contains no change ID."
        )
    stored = await keys.read(access.store, prefix=access.prefix)
    if stored is None:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.NOT_FOUND, "No key set is stored yet."
        )
    if await _is_step_applied(access, request.change_id):
        await access.apply_key_set(stored)
        return operator_pb2.RotateKeysReply(
            key_revision=stored.revision, step="The step was taken already."
        )
    _check_expected_keys(stored, request)
    description, next_key_set = _next_key_step(stored)
    if request.dry_run:
        return operator_pb2.RotateKeysReply(
            key_revision=stored.revision, step=f"Next step: {description}"
        )

    def step(base: model.KeySet) -> model.KeySet:
        if base != stored:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.CONFLICT, "The key set was changed concurrently."
            )
        return next_key_set

    accepted = await keys.rotate(
        access.store,
        prefix=access.prefix,
        step=step,
        author=keys.Author(
            change_id=request.change_id,
            operator=request.operator,
            reason=request.reason,
        ),
        now=access.wall_clock(),
    )
    await access.apply_key_set(accepted)
    return operator_pb2.RotateKeysReply(
        key_revision=accepted.revision, step=description
    )
