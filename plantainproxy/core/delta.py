"""What changed between two configurations, small enough to send for each change.

A balancer that lags by a few changes pulls a delta in place of the whole document. A
delta is only given out when it leads to exactly the newer configuration.
"""

import collections
from collections import abc
import dataclasses
import typing

from plantainproxy import _types
from plantainproxy.config import model

MAX_EARLIER = 32
"""Configurations before the present one from which a delta can be made."""

_Item = typing.TypeVar("_Item", model.Route, model.Pool, model.Domain)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The step from one configuration to a newer one."""

    base_revision: int
    """The revision that the receiver must hold."""
    revision: int
    change_id: str
    """The change that made the newer configuration."""
    routes: tuple[model.Route, ...] = ()
    """Routes that were added or changed."""
    removed_routes: tuple[str, ...] = ()
    pools: tuple[model.Pool, ...] = ()
    """Pools that were added or changed."""
    removed_pools: tuple[str, ...] = ()
    domains: tuple[model.Domain, ...] = ()
    """Failure domains that were added or changed."""
    removed_domains: tuple[str, ...] = ()
    drained: tuple[_types.Address, ...] = ()
    """All drained upstreams."""


@dataclasses.dataclass(slots=True)
class History:
    """The configurations that one process has held, and the deltas made from them."""

    earlier: "collections.OrderedDict[int, model.Configuration]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    """By revision, oldest first, the present one included."""
    deltas: dict[int, Delta | None] = dataclasses.field(default_factory=dict)
    """By base revision; ``None`` where no exact delta exists."""


def note(history: History, present: model.Configuration | None) -> None:
    """Remember the configuration in force."""
    if present is None or present.revision in history.earlier:
        return
    history.earlier[present.revision] = present
    history.deltas.clear()
    while len(history.earlier) > MAX_EARLIER + 1:
        history.earlier.popitem(last=False)


def since(
    history: History, present: model.Configuration, *, base_revision: int
) -> Delta | None:
    """Return the delta from an earlier revision, or ``None`` if there is none."""
    if base_revision not in history.deltas:
        history.deltas[base_revision] = _make(
            history.earlier.get(base_revision), present
        )
    return history.deltas[base_revision]


def apply(base: model.Configuration | None, delta: Delta) -> model.Configuration | None:
    """Return the newer configuration; ``None`` when the base is another one."""
    if base is None or base.revision != delta.base_revision:
        return None
    return model.Configuration(
        revision=delta.revision,
        change_id=delta.change_id,
        routes=_applied(base.routes, delta.routes, delta.removed_routes),
        pools=_applied(base.pools, delta.pools, delta.removed_pools),
        domains=_applied(base.domains, delta.domains, delta.removed_domains),
        drained=delta.drained,
    )


def _make(
    base: model.Configuration | None, present: model.Configuration
) -> Delta | None:
    if base is None or base.revision >= present.revision:
        return None
    delta = Delta(
        base_revision=base.revision,
        revision=present.revision,
        change_id=present.change_id,
        routes=_changed(base.routes, present.routes),
        removed_routes=_removed(base.routes, present.routes),
        pools=_changed(base.pools, present.pools),
        removed_pools=_removed(base.pools, present.pools),
        domains=_changed(base.domains, present.domains),
        removed_domains=_removed(base.domains, present.domains),
        drained=present.drained,
    )
    return delta if apply(base, delta) == present else None


def _changed(before: tuple[_Item, ...], after: tuple[_Item, ...]) -> tuple[_Item, ...]:
    held = {item.name: item for item in before}
    return tuple(item for item in after if held.get(item.name) != item)


def _removed(before: tuple[_Item, ...], after: tuple[_Item, ...]) -> tuple[str, ...]:
    kept = {item.name for item in after}
    return tuple(item.name for item in before if item.name not in kept)


def _applied(
    items: tuple[_Item, ...], changed: abc.Iterable[_Item], removed: abc.Iterable[str]
) -> tuple[_Item, ...]:
    """Replace items in place, drop the removed ones, and append the new ones."""
    by_name = {item.name: item for item in items}
    by_name.update({item.name: item for item in changed})
    for name in removed:
        by_name.pop(name, None)
    return tuple(by_name.values())
