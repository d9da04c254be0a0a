"""TCP health check listener that the fabric probes before it sends datagrams."""

from collections import abc
import contextlib
import logging

import trio

from plantainproxy import _types

_logger = logging.getLogger("plantain.health")


async def run(
    address: _types.Address,
    in_service: trio.MemoryReceiveChannel[bool],
    *,
    task_status: trio.TaskStatus[_types.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections while the last message is ``True`` (in service).

    No connection is accepted before the first message. The started value is the
    address, with the port that the system chose if the given one is 0.
    """
    async with _listener(address) as listener:
        bound = _types.Address(*listener.socket.getsockname())
    task_status.started(bound)
    while await _wait_for_state(in_service, serving=True):
        _logger.info("Balancer in service: opening the health check listener.")
        await _accept_while_in_service(bound, in_service)
        _logger.info("Balancer out of service: health check listener closed.")


async def _wait_for_state(
    in_service: trio.MemoryReceiveChannel[bool], *, serving: bool
) -> bool:
    """Wait for a message with the given value; return whether one was received.

    Returns ``False`` when the channel is closed.
    """
    async for message in in_service:
        if message is serving:
            return True
    return False


async def _accept_while_in_service(
    address: _types.Address, in_service: trio.MemoryReceiveChannel[bool]
) -> None:
    async with _listener(address) as listener, trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, trio.aclose_forcefully, [listener])
        await _wait_for_state(in_service, serving=False)
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _listener(address: _types.Address) -> abc.AsyncIterator[trio.SocketListener]:
    (listener,) = await trio.open_tcp_listeners(address.port, host=address.host)
    async with listener:
        yield listener
