"""Configuration edits and key rotation."""

from collections import abc

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _types
from plantainproxy.config import audit, change, check, edit, keys, model
from plantainproxy.store import memory

Kind = _exceptions.ErrorKind
Edit = abc.Callable[[model.Configuration], model.Configuration]
PREFIX = "t/"

NAMES = strategies.sampled_from(["a", "b", "c"])
ADDRESSES = strategies.builds(
    _types.Address, strategies.just("127.0.0.1"), strategies.integers(1, 4)
)
UPSTREAMS = strategies.builds(
    _types.Address, strategies.just("127.0.0.2"), strategies.integers(1, 4)
)
ROUTES = strategies.builds(model.Route, name=NAMES, address=ADDRESSES, pool=NAMES)
POOLS = strategies.builds(model.Pool, name=NAMES, max_running=strategies.integers(0, 3))
DOMAINS = strategies.builds(model.Domain, name=NAMES, number=strategies.integers(0, 3))
EDITS = strategies.one_of(
    ROUTES.map(
        lambda route: lambda configuration: edit.set_route(configuration, route)
    ),
    NAMES.map(
        lambda name: lambda configuration: edit.remove_route(configuration, name)
    ),
    POOLS.map(lambda pool: lambda configuration: edit.set_pool(configuration, pool)),
    NAMES.map(lambda name: lambda configuration: edit.remove_pool(configuration, name)),
    DOMAINS.map(
        lambda domain: lambda configuration: edit.set_domain(configuration, domain)
    ),
    NAMES.map(
        lambda name: lambda configuration: edit.remove_domain(configuration, name)
    ),
    NAMES.map(
        lambda name: (
            lambda configuration: edit.set_domain_state(
                configuration, name, _types.DomainState.OUT
            )
        )
    ),
    UPSTREAMS.map(
        lambda upstream: lambda configuration: edit.drain(configuration, upstream)
    ),
    UPSTREAMS.map(
        lambda upstream: lambda configuration: edit.undrain(configuration, upstream)
    ),
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(strategies.lists(EDITS, max_size=25))
def test_edits_keep_the_configuration_valid_and_revisions_rising(
    edits: list[Edit],
) -> None:
    """Accepted edits are valid, audited and, unless empty, one revision higher."""

    async def main() -> None:
        store = memory.MemoryStore()
        configuration: model.Configuration | None = None
        for number, apply_edit in enumerate(edits):
            before = configuration or model.Configuration(revision=0)
            try:
                proposed = apply_edit(before)
                accepted = await change.apply(
                    store,
                    prefix=PREFIX,
                    base=configuration,
                    proposed=proposed,
                    change_id=f"{number}",
                    operator="o",
                    reason="",
                    now=float(number),
                )
            except _exceptions.PlantainError as error:
                assert error.kind in (Kind.NOT_FOUND, Kind.INVALID_CONFIGURATION)
                continue
            unchanged = configuration is not None and proposed == configuration
            assert accepted.revision == before.revision + (0 if unchanged else 1)
            assert check.find_problems(accepted) == ()
            record = await audit.read(store, prefix=PREFIX, revision=accepted.revision)
            assert record is not None
            configuration = accepted

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


USED = model.Configuration(
    revision=1,
    routes=(model.Route(name="r", address=_types.Address("127.0.0.1", 1), pool="p"),),
    pools=(model.Pool(name="p"),),
)


@pytest.mark.parametrize(
    ("apply_edit", "kind"),
    [
        (lambda configuration: edit.remove_route(configuration, "x"), Kind.NOT_FOUND),
        (lambda configuration: edit.remove_pool(configuration, "x"), Kind.NOT_FOUND),
        (
            lambda configuration: edit.remove_pool(configuration, "p"),
            Kind.INVALID_CONFIGURATION,
        ),
        (lambda configuration: edit.remove_domain(configuration, "x"), Kind.NOT_FOUND),
        (
            lambda configuration: edit.set_domain_state(
                configuration, "x", _types.DomainState.OUT
            ),
            Kind.NOT_FOUND,
        ),
        (
            lambda configuration: edit.undrain(
                configuration, _types.Address("127.0.0.1", 9)
            ),
            Kind.NOT_FOUND,
        ),
        (
            lambda configuration: edit.set_route(
                configuration,
                model.Route(name="q", address=_types.Address("127.0.0.1", 2), pool="x"),
            ),
            Kind.NOT_FOUND,
        ),
    ],
)
def test_an_invalid_edit_is_refused(apply_edit: Edit, kind: Kind) -> None:
    """Missing objects and invalid removals raise different errors."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        apply_edit(USED)
    assert caught.value.kind is kind


def test_a_key_rotation_keeps_the_old_key_until_it_is_dropped() -> None:
    """Each step (add, make current, drop) raises the revision and is audited."""

    async def main() -> None:
        store = memory.MemoryStore()
        store.lose_answers = 1
        first = await keys.ensure(store, prefix=PREFIX, local_key_set=None, now=1.0)
        assert (
            await keys.ensure(store, prefix=PREFIX, local_key_set=None, now=2.0)
            == first
        )

        async def rotate(
            step: abc.Callable[[model.KeySet], model.KeySet],
        ) -> model.KeySet:
            store.lose_answers = 1
            author = keys.Author(
                change_id=f"id-{store.writes}", operator="o", reason="r"
            )
            return await keys.rotate(
                store, prefix=PREFIX, step=step, author=author, now=3.0
            )

        added = await rotate(lambda key_set: keys.add_key(key_set, secret=b"n" * 32))
        assert (added.revision, added.current, len(added.keys)) == (2, 0, 2)
        current = await rotate(keys.make_newest_current)
        assert (current.revision, current.current, len(current.keys)) == (3, 1, 2)
        dropped = await rotate(keys.drop_old_keys)
        assert (dropped.revision, [key.number for key in dropped.keys]) == (4, [1])
        with pytest.raises(_exceptions.PlantainError, match="older than the current"):
            await rotate(keys.drop_old_keys)
        assert await keys.read(store, prefix=PREFIX) == dropped
        page = await audit.read_page(
            store, prefix=keys.audit_prefix(PREFIX), query=audit.Query()
        )
        assert [record.revision for record in page.records] == [4, 3, 2, 1]
        assert "secret" not in repr(page)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


KEY = model.Key(number=1, secret=b"s" * 32)


@pytest.mark.parametrize(
    "key_set",
    [
        model.KeySet(revision=1, current=0, keys=()),
        model.KeySet(revision=1, current=0, keys=(KEY,)),
        model.KeySet(revision=1, current=1, keys=(KEY, KEY)),
        model.KeySet(
            revision=1, current=256, keys=(model.Key(number=256, secret=b"s" * 32),)
        ),
        model.KeySet(revision=1, current=2, keys=(model.Key(number=2, secret=b""),)),
    ],
)
def test_an_unusable_key_set_is_refused(key_set: model.KeySet) -> None:
    """A corrupt stored key set is not used to derive working keys."""
    with pytest.raises(_exceptions.PlantainError, match="key set: expected"):
        keys.decode(keys.encode(key_set))


def test_a_repeated_rotation_step_is_not_taken_twice() -> None:
    """The change ID identifies the step that was already applied."""

    async def main() -> None:
        store = memory.MemoryStore()
        await keys.ensure(store, prefix=PREFIX, local_key_set=None, now=1.0)
        author = keys.Author(change_id="x", operator="o", reason="r")
        for _ in range(2):
            key_set = await keys.rotate(
                store,
                prefix=PREFIX,
                step=lambda key_set: keys.add_key(key_set, secret=b"n" * 32),
                author=author,
                now=3.0,
            )
            assert len(key_set.keys) == 2

    trio.run(main)


def test_two_creators_agree_on_one_key_set() -> None:
    """Of concurrent creations, compare-and-swap lets one succeed; all return it."""

    async def main() -> None:
        store = memory.MemoryStore()
        created: list[model.KeySet] = []

        async def ensure() -> None:
            created.append(
                await keys.ensure(store, prefix=PREFIX, local_key_set=None, now=1.0)
            )

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(ensure)
        assert created == created[:1] * 5

    trio.run(main)
