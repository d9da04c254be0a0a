"""A small site: the deployed programs as processes, and their stand-ins."""

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing

from review.common3 import ends, http_io, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
PORT_NAMES = ("data", "outbound", "ready", "control", "app", "store")
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_ms": 250,
    "stretch_max_ms": 12000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
    "flow_stray_ms": 2000,
    "flow_ttl_s": 60,
}
STOP_SECONDS = 8.0


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Start an empty record."""
        self.file = path.open("w")
        self.started_at = time.monotonic()
        self.events: list[tuple[float, str, dict[str, typing.Any]]] = []

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one line."""
        now = time.monotonic()
        self.events.append((now, event, fields))
        shown = " ".join(f"{name}={_text(value)}" for name, value in fields.items())
        self.file.write(f"{now - self.started_at:8.3f} {event} {shown}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def _text(value: typing.Any) -> str:
    if isinstance(value, tuple):
        return "/".join(f"{ip}:{port}" for ip, port in value)
    return str(value).replace(" ", "_")


class Node:
    """An instance with one of the system's processes."""

    def __init__(self, role: str, name: str, ip: str, zone: str) -> None:
        """Create an instance whose process does not run."""
        self.role, self.name, self.ip, self.zone = role, name, ip, zone
        self.process: subprocess.Popen[bytes] | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Site:
    """The instances, the store and the routers of one deployment."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        """Create an empty site on a loopback network of its own."""
        self.record, self.folder = record, folder
        self.network = 20 + os.getpid() % 200
        self.ports = _free_ports()
        self.first_internal = self.ports.pop("internal")
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.store = store.Store()
        self.router = ends.Router(
            data_port=self.ports["data"], ready_port=self.ports["ready"]
        )
        self.nodes: dict[str, Node] = {}
        self.hosts: dict[str, ends.Host] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.store_hosts: dict[str, str] = {}
        """Address of the store for instances that it may turn away, by name."""
        self.turned_away: set[str] = set()
        """Names of the instances whose calls the store doesn't answer."""
        self.never = asyncio.Event()

    async def start(self) -> None:
        """Start the store and the routers."""
        address = ("127.0.0.1", self.ports["store"])
        await http_io.serve(*address, self.store.handle)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.store.expire_leases()))
        self.tasks.append(loop.create_task(self.router.probe()))

    async def open_store(self, name: str) -> None:
        """Give an instance an address of the store that may fall silent for it."""

        async def handle(
            method: str, path: str, query: dict[str, str], body: typing.Any
        ) -> http_io.Answer:
            if name in self.turned_away:
                await self.never.wait()
            answer = await self.store.handle(method, path, query, body)
            if name in self.turned_away:
                await self.never.wait()
            return answer

        host = self.ip(200, len(self.store_hosts) + 1)
        self.store_hosts[name] = host
        await http_io.serve(host, self.ports["store"], handle)

    def ip(self, third: int, fourth: int) -> str:
        """Return an address of the site's network."""
        return f"127.{self.network}.{third}.{fourth}"

    def add_node(self, role: str, name: str, ip: str, zone: str, service: str) -> Node:
        """Add an instance and write its settings, as the template renders them."""
        ports = self.ports
        listen = {
            "data_addr": f"{ip}:{ports['data']}",
            "ready": f"{ip}:{ports['ready']}",
        }
        settings: dict[str, typing.Any] = {
            "node": name,
            "role": role,
            "class": "edge" if role == "balancer" else "side",
            "serves": ["edge" if role == "balancer" else "side"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "zones": {zone: "r"},
            "listen": listen,
            "internal_port_range": [self.first_internal, self.first_internal + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.6, "cores": 1, "memory_mb": 168},
            "heartbeat_ms": 770,
            "bounds": BOUNDS,
            "hash": "mod",
            "deployment_mode": "agent",
            "platform": {
                "addr": f"{self.store_hosts.get(name, '127.0.0.1')}:{ports['store']}",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        if role == "sidecar":
            listen["outbound"] = f"{ip}:{ports['outbound']}"
            listen["control"] = f"{ip}:{ports['control']}"
            settings["app"] = f"{ip}:{ports['app']}"
            settings["service"] = service
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        node = self.nodes[name] = Node(role, name, ip, zone)
        if role == "balancer":
            self.router.balancers.append(ends.Balancer(name, ip, zone))
        return node

    def run(self, node: Node) -> None:
        """Start the process of an instance with the command of the deploy file."""
        kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                self.commands[node.role],
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PLANTAINPROXY_BOOT": str(self.folder / f"{node.name}.json"),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def add_host(self, node: Node, service: str, **options: typing.Any) -> None:
        """Start a host beside a sidecar."""
        host = ends.Host(
            name=node.name,
            ip=node.ip,
            zone=node.zone,
            service=service,
            ports=self.ports,
            record=self.record.write,
            **options,
        )
        self.hosts[node.name] = host
        await host.start()

    async def add_client(self, number: int, zone: str) -> ends.Client:
        """Start a client."""
        client = ends.Client(
            ip=self.ip(250, number),
            zone=zone,
            router=self.router,
            record=self.record.write,
        )
        await client.start()
        return client

    def configure(
        self, routes: list[dict[str, typing.Any]], services: abc.Iterable[str]
    ) -> None:
        """Write the next version of the configuration, as the operator does."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 2000,
                    "cold_start_s": 2.0,
                    "cold_per_s": 0.0,
                }
                for name in services
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("configuration acknowledged", version=self.version)

    async def stop_and_start(self, node: Node, *, away_seconds: float = 0.5) -> None:
        """Restart a process as planned: SIGTERM, SIGKILL after the grace, start."""
        self.record.write("SIGTERM", node=node.name)
        node.signal(signal.SIGTERM)
        assert node.process is not None
        ends_at = time.monotonic() + BOUNDS["grace_s"]
        while node.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        node.signal(signal.SIGKILL)
        node.process.wait()
        self.record.write("ended", node=node.name)
        await asyncio.sleep(away_seconds)
        self.run(node)
        self.record.write("started", node=node.name)

    async def wait_until_ready(self, node: Node, seconds: float) -> None:
        """Wait until a process answers the platform's probe with 200."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            client = http_io.Client(node.ip, self.ports["ready"])
            status = await client.call("GET", "/v1/readyz", timeout=0.5)
            client.close()
            if status == 200:
                self.record.write("ready", node=node.name)
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{node.name} is not ready after {seconds:g} s")

    async def wait_until(
        self, what: str, seconds: float, is_true: abc.Callable[[], bool]
    ) -> None:
        """Wait for a condition; raise ``CannotRunError`` if it does not come true."""
        ends_at = time.monotonic() + seconds
        while not is_true():
            if time.monotonic() >= ends_at:
                raise CannotRunError(f"after {seconds:g} s still waiting for {what}")
            await asyncio.sleep(0.05)
        self.record.write("reached", what=what)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        processes = [node.process for node in self.nodes.values() if node.process]
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for process in processes:
            process.wait(STOP_SECONDS)
        for host in self.hosts.values():
            host.stop()


def _free_ports() -> dict[str, int]:
    """Return a free port for each name, and the first of 16 internal ones."""
    with contextlib.ExitStack() as stack:
        ports = {}
        for name in (*PORT_NAMES, "internal"):
            probe = stack.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            ports[name] = probe.getsockname()[1]
    return ports


Case = abc.Callable[[Site, bool], abc.Awaitable[int]]
"""Plays a case with or without its disruption; returns the number of violations."""


def main(case_folder: pathlib.Path, case: Case, *, is_disrupted: bool) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if it could not run."""
    record = Record(case_folder / "record.txt")
    record.write("case", disrupted=is_disrupted)

    async def play(folder: pathlib.Path) -> int:
        site = Site(record, folder)
        try:
            await site.start()
            return await asyncio.wait_for(case(site, is_disrupted), 112.0)
        finally:
            site.stop()

    try:
        with tempfile.TemporaryDirectory() as folder:
            violations = asyncio.run(play(pathlib.Path(folder)))
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in pathlib.Path(folder).glob("*.log"):
                    (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    except (TimeoutError, CannotRunError, OSError) as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.close()
    print(f"violations: {violations}")
    return 1 if violations else 0
