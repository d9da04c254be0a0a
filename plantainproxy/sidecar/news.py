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
class Readers:
    """Whom news concerns."""

    announcer: membership.Announcer
    state: context.State
    """What the requests go by."""
    lines: trio.MemorySendChannel[inbox.Message]


async def follow(readers: Readers) -> None:
    """Hand each piece of news on until cancelled."""
    async for known in readers.announcer.updates:
        await take(readers, known)


async def take(readers: Readers, known: heartbeat.Snapshot) -> None:
    """Hand on one state of knowledge; what is not newer has no effect."""
    await _take_generation(readers, known.record.generation)
    if known.key_set is not None:
        await _take_keys(readers, known.key_set)
    if known.view is not None:
        await _take_view(readers, known.view)
    context.update_siblings(readers.state, known.siblings)
    await readers.lines.send(inbox.SiblingsChanged(records=known.siblings))


async def _take_generation(readers: Readers, generation: int) -> None:
    """Follow a generation that a refutation raised above a predecessor's.

    Connection IDs and tickets must carry the generation that others know, else they
    would count as those of an ended process.
    """
    if generation <= readers.state.table.generation:
        return
    logger.warning("The generation is raised above that of a predecessor.")
    readers.state.table.generation = generation
    await readers.lines.send(inbox.GenerationChanged(generation=generation))


async def _take_keys(readers: Readers, key_set: model.KeySet) -> None:
    held = readers.state.ring
    if held is not None and key_set.revision <= held.revision:
        return
    keys = keyring.Keyring(key_set, previous=held)
    readers.state.ring = keys
    await readers.lines.send(inbox.KeysChanged(keys=keys))


async def _take_view(readers: Readers, view: model.PoolView) -> None:
    """Take a view of the pool, and let siblings know when operators drain us."""
    context.update_view(readers.state, view, now=trio.current_time())
    await readers.lines.send(inbox.ViewChanged(view=view))
    if readers.state.stopping:
        return
    wanted = _types.MemberState.SERVING
    if view.drained:
        wanted = _types.MemberState.DRAINING
    membership.update_record(readers.announcer, member_state=wanted)
