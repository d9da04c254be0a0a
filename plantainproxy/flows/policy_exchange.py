"""Policies from other processes, for when the store does not serve this one.

Messages carry their sender's revision and a digest of its policy. A process that hears
of a newer revision with another digest waits for its own watch, then asks the sender
for its policy over TCP.
"""

from collections import abc

import trio

from plantainproxy import _types
from plantainproxy.flows import journal, messages, policy

PATIENCE_SECONDS = 0.25
"""How long the own watch of the store may lag behind another process."""
PULL_TIMEOUT_SECONDS = 1.0
MAX_POLICY_BYTES = 16 * 1_048_576
"""Far above a table of 6,500 routes."""
RECEIVE_BYTES = 65_536


class Exchange:
    """Who is known to have a newer policy."""

    def __init__(self, holder: policy.Holder, log: journal.Journal) -> None:
        """Start with nobody known."""
        self.holder = holder
        self.log = log
        self.newest: tuple[int, _types.Address] | None = None
        self.heard = trio.Event()

    def hear(self, revision: int, digest: int, sender: _types.Address) -> None:
        """Note the revision and the digest of another process's policy.

        A process that has read the store later has a higher revision even where
        nothing has changed.
        """
        if revision <= self.holder.revision:
            return
        if digest == self.holder.digest:
            self.holder.confirm(revision)
            return
        if self.newest is None or revision >= self.newest[0]:
            self.newest = (revision, sender)
        self.heard.set()


async def pull_forever(
    exchange: Exchange, take: abc.Callable[[policy.Policy], bool]
) -> None:
    """Take newer policies from the processes that have them."""
    while True:
        await exchange.heard.wait()
        exchange.heard = trio.Event()
        if exchange.holder.current is not None:
            await trio.sleep(PATIENCE_SECONDS)
        if exchange.newest is None or exchange.newest[0] <= exchange.holder.revision:
            continue
        _, sender = exchange.newest
        exchange.newest = None
        found = await _pull(sender)
        if found is not None and take(found):
            exchange.log.write(
                "policy pulled", sender=str(sender), revision=found.revision
            )


async def serve(
    address: _types.Address, holder: policy.Holder, *, log: journal.Journal
) -> None:
    """Give the policy in force to every process that connects."""

    async def give(stream: trio.SocketStream) -> None:
        async with stream:
            if holder.current is None:
                return
            try:
                with trio.move_on_after(PULL_TIMEOUT_SECONDS):
                    await stream.send_all(messages.encode(holder.current))
            except trio.BrokenResourceError:
                log.count("policy.give_failed")

    await trio.serve_tcp(give, address.port, host=address.host)


async def _pull(sender: _types.Address) -> policy.Policy | None:
    received = bytearray()
    try:
        with trio.fail_after(PULL_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(sender.host, sender.port)
            async with stream:
                async for chunk in stream:
                    received += chunk
                    if len(received) > MAX_POLICY_BYTES:
                        return None
    except (OSError, trio.BrokenResourceError, trio.TooSlowError):
        return None
    return messages.decode_policy(bytes(received))
