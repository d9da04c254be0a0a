"""Tests of operators' changes through a balancer, with the in-memory store."""

from collections import abc

import pytest
import trio
import trio.testing

from plantainproxy import _exceptions
from plantainproxy.balancer import operations
from plantainproxy.config import keys, model
from plantainproxy.rpc import operator_pb2
from plantainproxy.store import memory

PREFIX = "t/"
Kind = _exceptions.ErrorKind


async def _ignore(_: object) -> None:
    """Replace the functions that activate an accepted document."""


def access_to(store: memory.MemoryStore) -> operations.StoreAccess:
    """Return access to a store, with a constant clock."""
    return operations.StoreAccess(
        store=store,
        prefix=PREFIX,
        wall_clock=lambda: 5.0,
        apply_configuration=_ignore,
        apply_key_set=_ignore,
    )


def run(body: abc.Callable[[operations.StoreAccess], abc.Awaitable[None]]) -> None:
    """Run a test with an in-memory store and a clock that skips delays."""

    async def main() -> None:
        await body(access_to(memory.MemoryStore()))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def rotation_request(
    change_id: str, expected: int = 0
) -> operator_pb2.RotateKeysRequest:
    """Return a request for the next step of a rotation."""
    return operator_pb2.RotateKeysRequest(
        change_id=change_id, operator="o", reason="r", expected_key_revision=expected
    )


async def _stored(access: operations.StoreAccess) -> model.KeySet:
    stored = await keys.read(access.store, prefix=PREFIX)
    assert stored is not None
    return stored


def test_a_rotation_takes_three_steps_and_leaves_one_new_key() -> None:
    """A key is added, the new key becomes current, and the old key is dropped."""

    async def body(access: operations.StoreAccess) -> None:
        first = await keys.ensure(
            access.store, prefix=PREFIX, local_key_set=None, now=0.0
        )
        for number in range(3):
            await operations.rotate_keys(access, rotation_request(f"id-{number}"))
        stored = await _stored(access)
        assert stored.revision == 4
        assert [key.number for key in stored.keys] == [1]
        assert stored.keys[0].secret != first.keys[0].secret
        reply = await operations.read_audit(
            access, operator_pb2.AuditRequest(keys=True, limit=2)
        )
        assert [entry.revision for entry in reply.entries] == [4, 3]
        assert reply.entries[0].reason == "r"
        assert reply.next_before == 3

    run(body)


def test_a_step_asked_for_again_is_taken_once() -> None:
    """A request repeated after a lost reply, or to another balancer, has no effect."""

    async def body(access: operations.StoreAccess) -> None:
        await keys.ensure(access.store, prefix=PREFIX, local_key_set=None, now=0.0)
        first = await operations.rotate_keys(
            access, rotation_request("same", expected=1)
        )
        repeated = await operations.rotate_keys(
            access, rotation_request("same", expected=1)
        )
        assert first.key_revision == repeated.key_revision == 2
        assert (await _stored(access)).revision == 2

    run(body)


def test_a_step_from_an_older_key_set_is_a_conflict() -> None:
    """A step is rejected if another operator changed the key set first."""

    async def body(access: operations.StoreAccess) -> None:
        await keys.ensure(access.store, prefix=PREFIX, local_key_set=None, now=0.0)
        await operations.rotate_keys(access, rotation_request("mine", expected=1))
        with pytest.raises(_exceptions.PlantainError) as caught:
            await operations.rotate_keys(access, rotation_request("theirs", expected=1))
        assert caught.value.kind is Kind.CONFLICT
        assert (await _stored(access)).revision == 2

    run(body)


def test_a_failure_domain_that_is_out_stays_out_when_it_is_set_again() -> None:
    """Setting the number of a failure domain does not change its state."""

    async def body(access: operations.StoreAccess) -> None:
        add = operator_pb2.AddDomain(name="a", number=1)
        out = operator_pb2.SetDomain(name="a", state="out")
        for number, request in enumerate(
            (
                operator_pb2.ChangeRequest(add_domain=add),
                operator_pb2.ChangeRequest(set_domain=out),
                operator_pb2.ChangeRequest(add_domain=add),
            )
        ):
            request.change_id = f"id-{number}"
            await operations.apply_change(access, request)
        stored = await operations.read_configuration(access)
        assert stored is not None
        assert stored.revision == 2
        assert stored.domains[0].state == "out"

    run(body)


def test_a_dry_run_refuses_what_the_change_would() -> None:
    """A dry run validates the change as the change itself does."""

    async def body(access: operations.StoreAccess) -> None:
        add = operator_pb2.AddDomain(name="a", number=1)
        accepted = operator_pb2.ChangeRequest(change_id="1", add_domain=add)
        await operations.apply_change(access, accepted)
        for conflicting in (
            operator_pb2.AddDomain(name="a", number=2),
            operator_pb2.AddDomain(name="b", number=1),
        ):
            request = operator_pb2.ChangeRequest(add_domain=conflicting, dry_run=True)
            with pytest.raises(_exceptions.PlantainError) as caught:
                await operations.apply_change(access, request)
            assert caught.value.kind is Kind.INVALID_CONFIGURATION

    run(body)
