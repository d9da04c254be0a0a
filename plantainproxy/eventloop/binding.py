"""Opens sockets at addresses that another process may hold for some seconds more."""

from collections import abc
import errno
import logging
import socket

from plantainproxy import _exceptions, _types
from plantainproxy.eventloop import runtime

logger = logging.getLogger("plantain.binding")

WAIT_SECONDS = 10.0
"""How long to wait for an address. The process that holds it may be in a planned stop,
whose grace period is shorter."""
RETRY_SECONDS = 0.1
_TEMPORARY_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
"""The address or what a socket needs may become available."""

OpenSocket = abc.Callable[[_types.Address], socket.socket]


async def open_when_free(
    open_socket: OpenSocket,
    address: _types.Address,
    *,
    wait_seconds: float = WAIT_SECONDS,
) -> socket.socket:
    """Open a socket at an address once no other socket holds it.

    Raises ``PlantainError`` if the address is still not available after
    ``wait_seconds``.
    """
    deadline = runtime.current_time() + wait_seconds
    is_waiting = False
    while True:
        try:
            return open_socket(address)
        except OSError as error:
            is_over = runtime.current_time() >= deadline
            if is_over or error.errno not in _TEMPORARY_ERRORS:
                raise _exceptions.PlantainError(
                    _exceptions.ErrorKind.INVALID_SETTINGS,
                    f"cannot open a socket at {address}: {error.strerror}",
                ) from error
            if not is_waiting:
                fields = {"address": str(address), "detail": error.strerror}
                logger.warning("waiting for an address", extra={"fields": fields})
            is_waiting = True
        await runtime.sleep(RETRY_SECONDS)
