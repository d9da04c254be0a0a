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


START_MODULE = "plantainproxy.flows.programs.start"


class Settings(typing.NamedTuple):
    """A settings file, and the addresses in it."""

    path: pathlib.Path
    message_address: _types.Address
    data_address: _types.Address
    ready_address: _types.Address

    @property
    def environment(self) -> dict[str, str]:
        """Variables by which a program finds the file."""
        return {platform_settings.PATH_VARIABLE: str(self.path)}


def free_ports(count: int, *, host: str = HOST) -> list[int]:
    """Return ports on which nothing listens."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


def write_settings(folder: pathlib.Path, *, host: str = HOST) -> Settings:
    """Write settings with a store that does not answer."""
    addresses = [_types.Address(host, port) for port in free_ports(7, host=host)]
    message, data, ready, control, outbound, store, upstream = addresses
    path = folder / "settings.json"
    path.write_text(
        json.dumps(
            {
                "node": "n",
                "ip": host,
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
    return Settings(path, message, data, ready)


@contextlib.contextmanager
def started(program: str, settings: Settings) -> abc.Iterator[subprocess.Popen[bytes]]:
    """Start a program; kill it at the end."""
    with subprocess.Popen(
        [sys.executable, "-m", START_MODULE, program],
        cwd=ROOT,
        env={**os.environ, **settings.environment},
        stdout=subprocess.PIPE,
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def wait_for_line(process: subprocess.Popen[bytes], text: bytes) -> bool:
    """Read the log until a line contains a text; return whether one does."""
    assert process.stdout is not None
    return any(text in line for line in process.stdout)
