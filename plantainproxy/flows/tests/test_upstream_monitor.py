"""Tests of the monitor of the upstream's TCP address."""

import errno
import os
import socket

import pytest

from plantainproxy import _types
from plantainproxy.eventloop import loop, runtime, tcp
from plantainproxy.flows.programs import upstream_monitor

LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL)
"""Errors of this process or its machine, which show nothing about the upstream."""


async def _monitor(
    monkeypatch: pytest.MonkeyPatch, number: int, *, is_first: bool
) -> list[str]:
    """Return the changes that are reported after a connection attempt that fails.

    The upstream accepts connections, and closes the first one.
    """
    reported: list[str] = []
    attempts = 0
    connect = tcp.connect

    async def connect_or_fail(address: _types.Address) -> tcp.Stream:
        nonlocal attempts
        attempts += 1
        if attempts == (1 if is_first else 2):
            raise OSError(number, os.strerror(number))
        return await connect(address)

    monkeypatch.setattr(tcp, "connect", connect_or_fail)
    listener = socket.create_server(("127.0.0.1", 0))
    with listener:
        address = _types.Address(*listener.getsockname())
        async with runtime.open_task_group() as group:

            async def watch() -> None:
                await upstream_monitor.monitor(
                    address,
                    upstream_monitor.Callbacks(
                        on_connected=lambda: None,
                        on_refused=lambda: reported.append("refused"),
                        on_healthy=lambda: reported.append("healthy"),
                        on_not_listening=lambda: reported.append("not listening"),
                        on_failed=lambda error: None,
                    ),
                    health_path=lambda: None,
                )

            group.start_soon(watch)
            await runtime.sleep(0.1)
            if not is_first:
                accepted, _ = listener.accept()
                accepted.close()
            await runtime.sleep(0.3)
            group.cancel_scope.cancel()
    assert attempts >= 2
    return reported


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("number", LOCAL_ERRORS)
def test_an_error_of_this_machine_is_no_end_of_the_upstream(
    monkeypatch: pytest.MonkeyPatch, number: int, is_first: bool
) -> None:
    """Guards against flows of a running upstream that are reset.

    A process without a free descriptor or local port took its own error for a
    connection that the upstream had refused.
    """

    async def run() -> list[str]:
        return await _monitor(monkeypatch, number, is_first=is_first)

    assert loop.run(run) == []


def test_an_upstream_that_listens_again_is_reported() -> None:
    """Guards against a grace period that ends the next upstream at the address."""
    reported: list[str] = []

    async def run() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = _types.Address(*probe.getsockname())
        callbacks = upstream_monitor.Callbacks(
            on_connected=lambda: reported.append("connected"),
            on_refused=lambda: reported.append("refused"),
            on_healthy=lambda: None,
            on_not_listening=lambda: reported.append("not listening"),
            on_failed=lambda error: None,
        )
        async with runtime.open_task_group() as group:

            async def watch() -> None:
                await upstream_monitor.monitor(
                    address, callbacks, health_path=lambda: None
                )

            group.start_soon(watch)
            await runtime.sleep(1.5 * upstream_monitor.RETRY_INTERVAL_SECONDS)
            with socket.create_server(address):
                await runtime.sleep(1.5 * upstream_monitor.RETRY_INTERVAL_SECONDS)
            group.cancel_scope.cancel()

    loop.run(run)
    assert reported == ["not listening", "refused", "connected"]
