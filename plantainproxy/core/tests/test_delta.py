"""A delta produces exactly the newer configuration, or none is returned."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import delta
from plantainproxy.rpc import codec

POOLS = tuple(model.Pool(name=f"pool-{number}") for number in range(4))


def configuration(
    revision: int, route_numbers: tuple[int, ...], limit: int
) -> model.Configuration:
    """Return a configuration with one route for each number."""
    return model.Configuration(
        revision=revision,
        change_id=f"change-{revision}",
        routes=tuple(
            model.Route(
                name=f"route-{number}",
                address=_types.Address("127.20.0.1", 1000 + number),
                pool=f"pool-{(number + limit) % 4}",
            )
            for number in route_numbers
        ),
        pools=tuple(dataclasses.replace(pool, max_running=limit) for pool in POOLS),
        domains=(model.Domain(name="a", number=1),),
        drained=(_types.Address("127.20.0.2", limit),),
    )


def history_of(*configurations: model.Configuration) -> delta.History:
    """Return the history of a process that had the configurations in turn."""
    history = delta.History()
    for stored in configurations:
        delta.record_configuration(history, stored)
    return history


ROUTE_NUMBERS = strategies.lists(
    strategies.integers(0, 9), unique=True, max_size=8
).map(tuple)
LIMITS = strategies.integers(1, 5)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    before=ROUTE_NUMBERS, after=ROUTE_NUMBERS, limits=strategies.tuples(LIMITS, LIMITS)
)
def test_a_delta_produces_exactly_the_newer_configuration(
    before: tuple[int, ...], after: tuple[int, ...], limits: tuple[int, int]
) -> None:
    """Encoding preserves a delta; an order that it cannot express yields ``None``."""
    old, new = configuration(3, before, limits[0]), configuration(7, after, limits[1])
    computed = delta.compute(history_of(old, new), new, base_revision=3)
    if computed is None:
        kept = [number for number in before if number in after]
        added = [number for number in after if number not in before]
        assert list(after) != kept + added
        return
    received = codec.decode(codec.encode(computed), delta.Delta)
    assert delta.apply(old, received) == new


@pytest.mark.parametrize("revision", [0, 2, 4])
def test_a_delta_is_applied_to_its_own_base_only(revision: int) -> None:
    """A delta does not apply to another revision or without a configuration."""
    old, new = configuration(3, (1,), 1), configuration(4, (1, 2), 1)
    computed = delta.compute(history_of(old, new), new, base_revision=3)
    assert computed is not None
    assert delta.apply(configuration(revision, (1,), 1), computed) is None
    assert delta.apply(None, computed) is None


def test_only_the_latest_configurations_are_kept() -> None:
    """Older base revisions have no delta, so the full document is pulled."""
    stored = [configuration(number, (1,), 1) for number in range(1, 60)]
    history = history_of(*stored)
    newest = stored[-1]
    oldest_kept = newest.revision - delta.MAX_EARLIER_CONFIGURATIONS
    assert delta.compute(history, newest, base_revision=oldest_kept) is not None
    assert delta.compute(history, newest, base_revision=oldest_kept - 1) is None
