"""TCP connections on the active loop."""

from collections import abc
import errno
import os
import socket

from plantainproxy import _types
from plantainproxy.eventloop import binding, runtime

LISTEN_BACKLOG = 4_096
ACCEPT_RETRY_SECONDS = 0.1
"""Pause after a connection could not be accepted for lack of descriptors or memory."""
_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))


class Stream:
    """A connected TCP socket."""

    def __init__(self, connected: socket.socket) -> None:
        """Take over a connected socket, which must not be used otherwise."""
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = connected

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes; empty at the end. Raises ``OSError`` on failure."""
        while True:
            try:
                return self.socket.recv(max_bytes)
            except BlockingIOError:
                await runtime.wait_readable(self.socket)

    async def send_all(self, data: bytes) -> None:
        """Send all bytes. Raises ``OSError`` on failure."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.socket.send(unsent) :]
            except BlockingIOError:
                await runtime.wait_writable(self.socket)

    def has_input(self) -> bool:
        """Return whether bytes, the end or an error can be received at once."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


async def connect(address: _types.Address) -> Stream:
    """Open a connection. Raises ``OSError`` on failure."""
    connecting = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connecting.setblocking(False)
        code = connecting.connect_ex(address)
        if code == errno.EINPROGRESS:
            await runtime.wait_writable(connecting)
            code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, f"{address}: {os.strerror(code)}")
        return Stream(connecting)
    except BaseException:
        connecting.close()
        raise


def open_listener(address: _types.Address) -> socket.socket:
    """Open a non-blocking socket that accepts connections to an address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener


async def serve(
    address: _types.Address,
    handle: abc.Callable[[Stream], abc.Coroutine[object, object, None]],
    *,
    wait_seconds: float = binding.WAIT_SECONDS,
) -> None:
    """Listen on an address and handle each connection in a task until cancelled.

    Waits for up to ``wait_seconds`` while another socket holds the address. A
    connection is closed when its handler returns.
    """

    async def handle_and_close(accepted: socket.socket) -> None:
        with accepted:
            await handle(Stream(accepted))

    opening = binding.open_when_free(open_listener, address, wait_seconds=wait_seconds)
    with await opening as listener:
        async with runtime.open_task_group() as group:
            while True:
                await runtime.wait_readable(listener)
                try:
                    accepted, _ = listener.accept()
                except OSError as error:
                    # Any other error concerns one connection, which ended early.
                    if error.errno in _RESOURCE_ERRORS:
                        await runtime.sleep(ACCEPT_RETRY_SECONDS)
                    continue
                group.start_soon(handle_and_close, accepted)
