"""Deltas between two configurations, small enough to send for each change.

A balancer that is a few changes behind pulls a delta instead of the full document.
A delta is returned only if it produces exactly the newer configuration.
"""

import collections
from collections import abc
import dataclasses
import typing

from plantainproxy import _types
from plantainproxy.config import model

MAX_EARLIER_CONFIGURATIONS = 32
"""Configurations before the current one that can be the base of a delta."""

_Item = typing.TypeVar("_Item", model.Route, model.Pool, model.Domain)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Difference from one configuration to a newer one."""

    base_revision: int
    """Revision that the receiver must have."""
    revision: int
    change_id: str
    """Change that produced the newer configuration."""
    routes: tuple[model.Route, ...] = ()
    """Added or changed routes."""
    removed_routes: tuple[str, ...] = ()
    pools: tuple[model.Pool, ...] = ()
    """Added or changed pools."""
    removed_pools: tuple[str, ...] = ()
    domains: tuple[model.Domain, ...] = ()
    """Added or changed failure domains."""
    removed_domains: tuple[str, ...] = ()
    drained: tuple[_types.Address, ...] = ()
    """All drained upstreams of the newer configuration."""


@dataclasses.dataclass(slots=True)
class History:
    """Recent configurations of one process, and the deltas computed from them."""

    configurations: "collections.OrderedDict[int, model.Configuration]" = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    """Configurations by revision, oldest first, including the current one."""
    deltas: dict[int, Delta | None] = dataclasses.field(default_factory=dict)
    """Deltas by base revision; ``None`` where no exact delta exists."""


def record_configuration(history: History, current: model.Configuration | None) -> None:
    """Store the active configuration and discard the deltas to its predecessor."""
    if current is None or current.revision in history.configurations:
        return
    history.configurations[current.revision] = current
    history.deltas.clear()
    while len(history.configurations) > MAX_EARLIER_CONFIGURATIONS + 1:
        history.configurations.popitem(last=False)


def compute(
    history: History, current: model.Configuration, *, base_revision: int
) -> Delta | None:
    """Return the delta from an earlier revision, or ``None`` if none exists."""
    if base_revision not in history.deltas:
        history.deltas[base_revision] = _compute_exact(
            history.configurations.get(base_revision), current
        )
    return history.deltas[base_revision]


def apply(base: model.Configuration | None, delta: Delta) -> model.Configuration | None:
    """Return the newer configuration, or ``None`` if the base revision differs."""
    if base is None or base.revision != delta.base_revision:
        return None
    return model.Configuration(
        revision=delta.revision,
        change_id=delta.change_id,
        routes=_apply_changes(base.routes, delta.routes, delta.removed_routes),
        pools=_apply_changes(base.pools, delta.pools, delta.removed_pools),
        domains=_apply_changes(base.domains, delta.domains, delta.removed_domains),
        drained=delta.drained,
    )


def _compute_exact(
    base: model.Configuration | None, current: model.Configuration
) -> Delta | None:
    if base is None or base.revision >= current.revision:
        return None
    delta = Delta(
        base_revision=base.revision,
        revision=current.revision,
        change_id=current.change_id,
        routes=_changed_items(base.routes, current.routes),
        removed_routes=_removed_names(base.routes, current.routes),
        pools=_changed_items(base.pools, current.pools),
        removed_pools=_removed_names(base.pools, current.pools),
        domains=_changed_items(base.domains, current.domains),
        removed_domains=_removed_names(base.domains, current.domains),
        drained=current.drained,
    )
    return delta if apply(base, delta) == current else None


def _changed_items(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[_Item, ...]:
    before_by_name = {item.name: item for item in before}
    return tuple(item for item in after if before_by_name.get(item.name) != item)


def _removed_names(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[str, ...]:
    after_names = {item.name for item in after}
    return tuple(item.name for item in before if item.name not in after_names)


def _apply_changes(
    items: tuple[_Item, ...], changed: abc.Iterable[_Item], removed: abc.Iterable[str]
) -> tuple[_Item, ...]:
    """Replace changed items in place, remove items, and append new ones."""
    by_name = {item.name: item for item in items}
    by_name.update({item.name: item for item in changed})
    for name in removed:
        by_name.pop(name, None)
    return tuple(by_name.values())
