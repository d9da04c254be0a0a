"""Forwards membership updates to the request pipeline and the connection task.

The home balancers send keys, configuration and sibling records with their heartbeat
replies.
"""

import dataclasses
import logging

import trio

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import heartbeat
from plantainproxy.membership import sidecar as membership
from plantainproxy.sidecar import context, inbox
from plantainproxy.wire import keyring

logger = logging.getLogger("plantain.news")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recipients:
    """Parts of the sidecar that receive updates, and the announcer they come from."""

    announcer: membership.Announcer
    state: context.State
    """State that the request pipeline uses."""
    connections: trio.MemorySendChannel[inbox.Message]


async def forward_updates(recipients: Recipients) -> None:
    """Apply each new snapshot of the announcer until cancelled."""
    async for snapshot in recipients.announcer.updates:
        await apply_snapshot(recipients, snapshot)


async def apply_snapshot(recipients: Recipients, snapshot: heartbeat.Snapshot) -> None:
    """Apply one snapshot; a key set that is not newer has no effect."""
    await _apply_generation(recipients, snapshot.record.generation)
    if snapshot.key_set is not None:
        await _apply_keys(recipients, snapshot.key_set)
    if snapshot.view is not None:
        await _apply_view(recipients, snapshot.view)
    context.apply_siblings(recipients.state, snapshot.siblings)
    await recipients.connections.send(inbox.SiblingsChanged(records=snapshot.siblings))


async def _apply_generation(recipients: Recipients, generation: int) -> None:
    """Adopt the generation in the member record if it was raised.

    A refutation raises it above the generation of an earlier process of this sidecar,
    if the clock was behind when this process started. Connection IDs and tickets must
    carry the raised generation. With a lower one, other members would treat them as
    issued by a process that has ended.
    """
    if generation <= recipients.state.table.generation:
        return
    logger.warning(
        "Generation raised from %d to %d, above that of an earlier process.",
        recipients.state.table.generation,
        generation,
    )
    recipients.state.table.generation = generation
    await recipients.connections.send(inbox.GenerationChanged(generation=generation))


async def _apply_keys(recipients: Recipients, key_set: model.KeySet) -> None:
    current_ring = recipients.state.ring
    if current_ring is not None and key_set.revision <= current_ring.revision:
        return
    keys = keyring.Keyring(key_set, previous=current_ring)
    recipients.state.ring = keys
    await recipients.connections.send(inbox.KeysChanged(keys=keys))


async def _apply_view(recipients: Recipients, view: model.PoolView) -> None:
    """Apply a view of the pool and announce whether operators drain this upstream."""
    context.apply_view(recipients.state, view, now=trio.current_time())
    await recipients.connections.send(inbox.ViewChanged(view=view))
    if recipients.state.stopping:
        return
    member_state = _types.MemberState.SERVING
    if view.drained:
        member_state = _types.MemberState.DRAINING
    membership.update_record(recipients.announcer, member_state=member_state)
