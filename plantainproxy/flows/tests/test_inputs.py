"""What arrives from outside never ends a process."""

import functools
import pathlib
import socket
import threading
import typing
import urllib.error
import urllib.request

import msgspec
import pytest

from plantainproxy import _types
from plantainproxy.eventloop import loop, runtime
from plantainproxy.flows import event_log, messages
from plantainproxy.flows.programs import datagrams, node
from testbed import lone_process, transparent

HOSTS = pytest.mark.parametrize(
    "host",
    ["not-an-address", "10.0.0.1\0", "10.0.0", "10.0.0.1\n", "10.0.0.01", "", "::1"],
)
TIMEOUT_SECONDS = 10.0
OBSERVED_SECONDS = 1.5
"""Longer than the pull of a document and than a relay's requests are delayed."""


def _relayed(host: str) -> bytes:
    """Return a report of a later policy that a relay passes on for a host."""
    relayed = messages.RelayedReport("10.0.0.1", 0, transparent.make_report())
    batch = msgspec.msgpack.decode(messages.encode(messages.ReportBatch((relayed,))))
    batch[1][0][0] = host
    return msgspec.msgpack.encode(batch)


@HOSTS
def test_a_relayed_report_of_an_unusable_host_leaves_the_rings_usable(
    host: str,
) -> None:
    """Guards against an end of each balancer that builds a ring with such a host.

    The host passed the decoder; ``Address.pack`` raised ``OSError`` at the next opening
    that any caller sent.
    """
    harness = transparent.ready_balancer()
    message = messages.decode(_relayed(host))
    if message is not None:
        harness.handle_message(1, message)
    opening = transparent.make_packet(transparent.flow_key(1), opening=True)
    harness.handle_packet(opening)
    assert harness.placed() == [opening]


@HOSTS
@pytest.mark.parametrize("program", ["balancer", "sidecar"])
def test_one_datagram_with_an_unusable_host_ends_no_process(
    program: str, host: str, tmp_path: pathlib.Path
) -> None:
    """Guards against an end of the process that sends or connects to such a host.

    A sidecar raised ``TypeError`` at ``sendto`` to a relay of this name, and a balancer
    at the connection that pulls the document.
    """
    request = messages.RelayRequest(domain=lone_process.DOMAIN, peers=(host,))
    datagrams = {"balancer": _relayed(host), "sidecar": messages.encode(request)}
    settings = lone_process.write_settings(tmp_path)
    with lone_process.started(program, settings) as process:
        timer = threading.Timer(TIMEOUT_SECONDS, process.kill)
        timer.start()
        assert lone_process.wait_for_line(process, b'"started"')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagrams[program], settings.message_address)
        threading.Event().wait(OBSERVED_SECONDS)
        assert process.poll() is None
        assert _ready_status(settings.ready_address) == 503
        timer.cancel()


def _ready_status(address: _types.Address) -> int:
    """Return the status of the readiness check."""
    try:
        with urllib.request.urlopen(f"http://{address}/", timeout=5.0) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code


def _raise(*arguments: object) -> typing.NoReturn:
    raise LookupError("unforeseen")


def test_an_unforeseen_error_loses_one_datagram() -> None:
    """Guards against an end of the process, and all its flows, by one datagram."""
    log = event_log.EventLog("test")
    handled: list[bytes] = []

    def handle(data: bytes, sender: _types.Address) -> None:
        handled.append(data)
        if data == b"bad":
            _raise()

    async def check() -> None:
        address = _types.Address("127.0.0.1", lone_process.free_ports(1)[0])
        on_error = functools.partial(log.write_failed, "message")
        with (
            datagrams.open_socket(address) as receiver,
            datagrams.receiving(receiver, handle, on_error),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            for data in (b"bad", b"good"):
                sender.sendto(data, address)
            with runtime.fail_after(TIMEOUT_SECONDS):
                while len(handled) < 2:
                    await runtime.sleep(0.01)

    loop.run(check)
    assert handled == [b"bad", b"good"]
    assert log.counters["failed.message"] == 1


def test_an_unforeseen_error_loses_one_document() -> None:
    """Guards against an end of each process that reads the document at its start."""
    log = event_log.EventLog("test")
    apply = node.losing_failures(_raise, log, "policy", False)
    assert apply() is False
    assert log.counters["failed.policy"] == 1
