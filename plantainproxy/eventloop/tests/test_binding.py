"""Tests of the wait for an address that another socket holds."""

from collections import abc
import errno
import math
import os
import socket
import typing

import pytest
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.eventloop import binding, loop, runtime, tcp

Run = abc.Callable[..., typing.Any]

RUNS = pytest.mark.parametrize("run", [loop.run, trio.run], ids=["loop", "trio"])


def _held_address(holder: socket.socket) -> _types.Address:
    holder.bind(("127.0.0.1", 0))
    holder.listen()
    return _types.Address(*holder.getsockname())


@RUNS
def test_a_listener_waits_until_its_address_is_free(run: Run) -> None:
    """Guards against a process that ends while another one still stops."""

    async def main() -> None:
        holder = socket.socket()
        address = _held_address(holder)

        async def release() -> None:
            await runtime.sleep(3 * binding.RETRY_SECONDS)
            holder.close()

        async with runtime.open_task_group() as group:
            group.start_soon(release)
            with await binding.open_when_free(tcp.open_listener, address) as listener:
                assert listener.getsockname() == tuple(address)

    run(main)


@RUNS
@pytest.mark.parametrize("host", ["", "203.0.113.1"])
def test_the_error_of_an_address_that_stays_unavailable_names_it(
    run: Run, host: str
) -> None:
    """The address is held by another socket, or is not one of this machine."""

    async def main() -> None:
        with socket.socket() as holder:
            held = _held_address(holder)
            address = held._replace(host=host or held.host)
            with pytest.raises(_exceptions.PlantainError, match=str(address)) as raised:
                await binding.open_when_free(
                    tcp.open_listener, address, wait_seconds=0.2
                )
        assert raised.value.kind is _exceptions.ErrorKind.INVALID_SETTINGS

    run(main)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_a_lack_of_descriptors_during_the_wait_does_not_end_the_process(
    number: int,
) -> None:
    """Guards against a process that ends while another socket holds its address.

    A sidecar served flows and waited for the metrics address, without a limit. When
    callers of its HTTP servers had taken all descriptors, it ended.
    """
    errors = [errno.EADDRINUSE, number, errno.EADDRINUSE]

    def open_socket(address: _types.Address) -> socket.socket:
        if errors:
            failed = errors.pop(0)
            raise OSError(failed, os.strerror(failed))
        return socket.socket()

    async def run() -> None:
        address = _types.Address("127.0.0.1", 1)
        opened = await binding.open_when_free(
            open_socket, address, wait_seconds=math.inf
        )
        opened.close()

    loop.run(run)
