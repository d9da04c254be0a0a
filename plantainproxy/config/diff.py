"""Comparison of two configurations, as objects and as text."""

from collections import abc
import dataclasses
import enum

from plantainproxy.config import model


class ObjectKind(enum.StrEnum):
    """The kind of object that differs."""

    ROUTE = "route"
    POOL = "pool"
    DOMAIN = "domain"
    DRAIN = "drain"
    KEY = "key"


class Action(enum.StrEnum):
    """How the object changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FieldChange:
    """The values of one field; ``None`` on the side where the object does not exist."""

    field: str
    before: str | None = None
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One object that differs between two configurations."""

    kind: ObjectKind
    name: str
    action: Action
    fields: tuple[FieldChange, ...] = ()


_Item = model.Route | model.Pool | model.Domain


def compare(
    before: model.Configuration | None, after: model.Configuration | None
) -> tuple[Difference, ...]:
    """Return every object that differs. ``None`` counts as an empty configuration."""
    old = before or model.Configuration(revision=0)
    new = after or model.Configuration(revision=0)
    return (
        *_compare(ObjectKind.ROUTE, old.routes, new.routes),
        *_compare(ObjectKind.POOL, old.pools, new.pools),
        *_compare(ObjectKind.DOMAIN, old.domains, new.domains),
        *_compare_drained(old, new),
    )


def _compare(
    kind: ObjectKind, before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> abc.Iterator[Difference]:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in sorted(old.keys() | new.keys()):
        fields = _compare_fields(old.get(name), new.get(name))
        if fields:
            action = classify_change(name in old, name in new)
            yield Difference(kind=kind, name=name, action=action, fields=fields)


def _compare_drained(
    before: model.Configuration, after: model.Configuration
) -> abc.Iterator[Difference]:
    old = set(before.drained)
    new = set(after.drained)
    for address in sorted(old ^ new):
        action = classify_change(address in old, address in new)
        yield Difference(kind=ObjectKind.DRAIN, name=str(address), action=action)


def classify_change(existed_before: bool, exists_after: bool) -> Action:
    """Return the action from whether the object existed before and after."""
    if existed_before and exists_after:
        return Action.CHANGED
    return Action.ADDED if exists_after else Action.REMOVED


def _compare_fields(
    before: _Item | None, after: _Item | None
) -> tuple[FieldChange, ...]:
    old = _render_fields(before)
    new = _render_fields(after)
    return tuple(
        FieldChange(field=field, before=old.get(field), after=new.get(field))
        for field in (old or new)
        if old.get(field) != new.get(field)
    )


def _render_fields(item: _Item | None) -> dict[str, str]:
    if item is None:
        return {}
    return {
        field.name: str(getattr(item, field.name))
        for field in dataclasses.fields(item)
        if field.name != "name"
    }


def render(differences: tuple[Difference, ...]) -> str:
    """Render differences as text with one object per line."""
    return "\n".join(_render_difference(difference) for difference in differences)


def _render_difference(difference: Difference) -> str:
    summary = f"{difference.kind} {difference.name} {difference.action}"
    if not difference.fields:
        return summary
    fields = ", ".join(_render_field(change) for change in difference.fields)
    return f"{summary}: {fields}"


def _render_field(change: FieldChange) -> str:
    if change.before is None:
        return f"{change.field} {change.after}"
    if change.after is None:
        return f"{change.field} was {change.before}"
    return f"{change.field} {change.before} -> {change.after}"
