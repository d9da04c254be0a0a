"""What the home balancers tell a sidecar, on its way to its requests and lines."""

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
    """Whom news concerns."""

    announcer: membership.Announcer
    state: context.State
    """What the requests go by."""
    connections: trio.MemorySendChannel[inbox.Message]


async def forward_updates(recipients: Recipients) -> None:
    """Hand each piece of news on until cancelled."""
    async for snapshot in recipients.announcer.updates:
        await apply_snapshot(recipients, snapshot)


async def apply_snapshot(recipients: Recipients, snapshot: heartbeat.Snapshot) -> None:
    """Hand on one state of knowledge; what is not newer has no effect."""
    await _apply_generation(recipients, snapshot.record.generation)
    if snapshot.key_set is not None:
        await _apply_keys(recipients, snapshot.key_set)
    if snapshot.view is not None:
        await _apply_view(recipients, snapshot.view)
    context.apply_siblings(recipients.state, snapshot.siblings)
    await recipients.connections.send(inbox.SiblingsChanged(records=snapshot.siblings))


async def _apply_generation(recipients: Recipients, generation: int) -> None:
    """Follow a generation that a refutation raised above a predecessor's.

    Connection IDs and tickets must carry the generation that others know, else they
    would count as those of an ended process.
    """
    if generation <= recipients.state.table.generation:
        return
    logger.warning("The generation is raised above that of a predecessor.")
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
    """Take a view of the pool, and let siblings know when operators drain us."""
    context.apply_view(recipients.state, view, now=trio.current_time())
    await recipients.connections.send(inbox.ViewChanged(view=view))
    if recipients.state.stopping:
        return
    member_state = _types.MemberState.SERVING
    if view.drained:
        member_state = _types.MemberState.DRAINING
    membership.change(recipients.announcer, member_state=member_state)
