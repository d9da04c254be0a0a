"""One real program of transparent flows on loopback whose store does not answer."""

from collections import abc
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import typing

from plantainproxy import _types
from plantainproxy.platform import settings as platform_settings

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
DOMAIN = "a"


class LoneProcess(typing.NamedTuple):
    """A program that was started, and the addresses in its settings."""

    process: subprocess.Popen[bytes]
    message_address: _types.Address
    data_address: _types.Address
    ready_address: _types.Address


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


@contextlib.contextmanager
def started(program: str, folder: pathlib.Path) -> abc.Iterator[LoneProcess]:
    """Start a program whose store does not answer; kill it at the end."""
    addresses = [_types.Address(HOST, port) for port in free_ports(7)]
    message, data, ready, control, outbound, store, upstream = addresses
    settings = folder / "settings.json"
    settings.write_text(
        json.dumps(
            {
                "node": "n",
                "ip": HOST,
                "zone": DOMAIN,
                "service": "s",
                "internal_port_range": [message.port, message.port],
                "listen": {
                    "data_addr": str(data),
                    "ready": str(ready),
                    "control": str(control),
                    "outbound": str(outbound),
                },
                "platform": {"addr": str(store)},
                "app": str(upstream),
            }
        )
    )
    with subprocess.Popen(
        [sys.executable, "-m", "plantainproxy.flows.programs.start", program],
        cwd=ROOT,
        env={**os.environ, platform_settings.PATH_VARIABLE: str(settings)},
        stdout=subprocess.PIPE,
    ) as process:
        try:
            yield LoneProcess(process, message, data, ready)
        finally:
            process.kill()


def wait_for_line(lone: LoneProcess, text: bytes) -> bool:
    """Read the log until a line contains a text; return whether one does."""
    assert lone.process.stdout is not None
    return any(text in line for line in lone.process.stdout)
