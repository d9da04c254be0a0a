"""Updates from the home balancers reach the request pipeline and connections."""

import dataclasses
import random

import trio

from plantainproxy import _members, _types
from plantainproxy.config import model
from plantainproxy.core import claims, heartbeat
from plantainproxy.membership import sidecar as membership
from plantainproxy.rpc import bridge
from plantainproxy.settings import model as settings_model
from plantainproxy.sidecar import context, inbox, updates

RPC = _types.Address("127.0.0.1", 9001)
RECORD = _members.MemberRecord(
    kind=_types.MemberKind.SIDECAR,
    rpc=RPC,
    domain="a",
    generation=5_000,
    sequence=1,
    pool="fleet",
)
KEY_SET = model.KeySet(
    revision=2, current=1, keys=(model.Key(number=1, secret=b"k" * 32),)
)


def view(*, revision: int, drained: bool) -> model.PoolView:
    """Return a view of a configured pool."""
    return model.PoolView(
        revision=revision,
        pool=model.Pool(name="fleet"),
        services=(),
        domain_number=1,
        domain_in=True,
        drained=drained,
    )


def make_recipients() -> tuple[
    updates.Recipients, trio.MemoryReceiveChannel[inbox.Message]
]:
    """Return recipients, and the receiver of the messages sent to the connections."""
    sender, receiver = trio.open_memory_channel[inbox.Message](100)
    recipients = updates.Recipients(
        announcer=membership.Announcer(
            RECORD,
            client=bridge.Client(settings_model.Tls()),
            seeds=(),
            interval_seconds=1.0,
            rng=random.Random(1),
        ),
        state=context.State(
            local_address=RPC,
            table=claims.Table(home=RPC, generation=RECORD.generation, tag=1),
            max_body_bytes=1,
            default_timeout_seconds=1.0,
        ),
        connections=sender,
    )
    return recipients, receiver


def drain_message_types(
    receiver: trio.MemoryReceiveChannel[inbox.Message],
) -> list[type[inbox.Message]]:
    """Remove all queued messages and return their types."""
    message_types: list[type[inbox.Message]] = []
    while receiver.statistics().current_buffer_used:
        message_types.append(type(receiver.receive_nowait()))
    return message_types


def test_a_raised_generation_reaches_tickets_and_connection_ids_first() -> None:
    """A raised generation is applied before anything else in the snapshot.

    Otherwise tickets and connection IDs would be issued under a generation that other
    members treat as that of an ended process.
    """

    async def main() -> None:
        recipients, receiver = make_recipients()
        snapshot = heartbeat.Snapshot(
            record=dataclasses.replace(RECORD, generation=9_000),
            key_set=KEY_SET,
            view=view(revision=1, drained=False),
        )
        await updates.apply_snapshot(recipients, snapshot)
        assert recipients.state.table.generation == 9_000
        assert drain_message_types(receiver)[0] is inbox.GenerationChanged

    trio.run(main)


def test_keys_are_taken_once_for_each_revision() -> None:
    """A snapshot with the same key set does not derive the keys again."""

    async def main() -> None:
        recipients, receiver = make_recipients()
        snapshot = heartbeat.Snapshot(record=RECORD, key_set=KEY_SET)
        await updates.apply_snapshot(recipients, snapshot)
        await updates.apply_snapshot(recipients, snapshot)
        assert drain_message_types(receiver).count(inbox.KeysChanged) == 1

    trio.run(main)


def test_a_drained_upstream_is_announced_to_siblings_until_it_is_undrained() -> None:
    """The member state follows the drain, so that siblings do not place requests."""

    async def main() -> None:
        recipients, _ = make_recipients()
        states = []
        for revision, drained in enumerate((False, True, True, False), start=1):
            snapshot = heartbeat.Snapshot(
                record=RECORD, view=view(revision=revision, drained=drained)
            )
            await updates.apply_snapshot(recipients, snapshot)
            states.append(membership.snapshot(recipients.announcer).record.state)
        serving, draining = _types.MemberState.SERVING, _types.MemberState.DRAINING
        assert states == [serving, draining, draining, serving]

    trio.run(main)
