"""Transfer of policies to processes that cannot read them from the store.

Messages carry the sender's policy revision and digest. A process that receives a higher
revision with a different digest first allows time for its own store watch, then pulls
the policy from the sender over TCP.
"""

from collections import abc

import trio

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, policy

PULL_DELAY_SECONDS = 0.25
"""Time allowed for the local store watch, which may lag behind another process."""
PULL_TIMEOUT_SECONDS = 1.0
MAX_POLICY_BYTES = 16 * 1_048_576
"""Limit on a pulled policy, far above the size of a table of 6,500 routes."""
RECEIVE_BYTES = 65_536


class Exchange:
    """Tracks which process has advertised the newest policy."""

    def __init__(
        self, active_policy: policy.ActivePolicy, log: event_log.EventLog
    ) -> None:
        """Start without an advertised policy."""
        self.active_policy = active_policy
        self.log = log
        self.newest: tuple[int, _types.Address] | None = None
        self.update_available = trio.Event()

    def handle_revision(
        self, revision: int, digest: int, sender: _types.Address
    ) -> None:
        """Compare another process's policy revision and digest with the local ones.

        A process that read the store later has a higher revision even if the policy
        has not changed. An equal digest therefore only raises the local revision.
        """
        if revision <= self.active_policy.revision:
            return
        if digest == self.active_policy.digest:
            self.active_policy.advance_revision(revision)
            return
        if self.newest is None or revision >= self.newest[0]:
            self.newest = (revision, sender)
        self.update_available.set()


async def pull_forever(
    exchange: Exchange, apply_policy: abc.Callable[[policy.Policy], bool]
) -> None:
    """Pull and apply newer policies from the processes that advertise them."""
    while True:
        await exchange.update_available.wait()
        exchange.update_available = trio.Event()
        if exchange.active_policy.current is not None:
            await trio.sleep(PULL_DELAY_SECONDS)
        if (
            exchange.newest is None
            or exchange.newest[0] <= exchange.active_policy.revision
        ):
            continue
        _, sender = exchange.newest
        exchange.newest = None
        pulled = await _pull(sender)
        if pulled is not None and apply_policy(pulled):
            exchange.log.write(
                "policy pulled", sender=str(sender), revision=pulled.revision
            )


async def serve(
    address: _types.Address,
    active_policy: policy.ActivePolicy,
    *,
    log: event_log.EventLog,
) -> None:
    """Send the active policy to every process that connects."""

    async def send_policy(stream: trio.SocketStream) -> None:
        async with stream:
            if active_policy.current is None:
                return
            try:
                with trio.move_on_after(PULL_TIMEOUT_SECONDS):
                    await stream.send_all(messages.encode(active_policy.current))
            except trio.BrokenResourceError:
                log.count("policy.give_failed")

    await trio.serve_tcp(send_policy, address.port, host=address.host)


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
