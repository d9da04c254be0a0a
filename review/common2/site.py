"""A small deployment of the project's programs on loopback addresses.

The programs are started with the commands of the deploy file, each with a settings file
as the platform writes it. The platform's routers are the class ``Router``.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from review.common2 import ends, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_INTERVAL = 0.5
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


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        """Start an empty record for a file."""
        self.path = path
        self.lines = []
        self.started_at = time.monotonic()

    def write(self, event, **fields):
        """Add a line with the time."""
        at = time.monotonic()
        self.lines.append((at, event, fields))

    def save(self):
        """Write all lines to the file."""
        with open(self.path, "w") as file:
            for at, event, fields in self.lines:
                shown = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at - self.started_at:9.3f} {event}: {shown}\n")


def free_ports(count):
    """Return ports that are free on the loopback address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Node:
    """A machine of the system and its process."""

    def __init__(self, site, kind, name, host, zone, service=None):
        """Write the settings of a machine; no process is started."""
        self.site, self.kind, self.name = site, kind, name
        self.host, self.zone, self.service = host, zone, service
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.path = site.folder / f"{name}.json"
        ports = site.ports
        listen = {
            "data_addr": f"{host}:{ports['data']}",
            "ready": f"{host}:{ports['ready']}",
        }
        settings = {
            "node": name,
            "role": kind,
            "class": "edge" if kind == "balancer" else "side",
            "serves": ["edge"] if kind == "balancer" else ["side"],
            "ip": host,
            "zone": zone,
            "region": "r1",
            "zones": {z: "r1" for z in site.zones},
            "listen": listen,
            "internal_port_range": [ports["first"], ports["first"] + 15],
            "seeds": [],
            "bootstrap": False,
            "loss_counts": False,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None,
            "discovery": "local",
            "entry": "advertise",
            "heartbeat_ms": 770,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "hash": "mod",
            "deployment_mode": "agent",
            "platform": {
                "addr": "{}:{}".format(*site.store_address_of(self)),
                "deployment_mode": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        if kind == "sidecar":
            listen["outbound"] = f"{host}:{ports['outbound']}"
            listen["control"] = f"{host}:{ports['control']}"
            settings["app"] = f"{host}:{ports['app']}"
            settings["service"] = service
        self.path.write_text(json.dumps(settings))

    def start(self):
        """Start the process with the command of the deploy file."""
        command = self.site.commands[self.kind]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PLANTAINPROXY_BOOT"] = str(self.path)
        with open(self.path.with_suffix(".log"), "ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.site.record.write("process started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.site.record.write("signal", node=self.name, signal=number.name)

    async def wait(self):
        """Wait for the end of the process."""
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self):
        """Return whether the process answers the check with 200."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.host, self.site.ports["ready"]
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Router:
    """The platform's routers, for the clients of one zone."""

    def __init__(self, site, zone):
        """Create the router of a zone's clients."""
        self.site, self.zone = site, zone

    def nodes(self):
        """Return the balancers that get packets now."""
        own = [b for b in self.site.balancers if b.zone == self.zone and b.is_known]
        in_rotation = [b for b in own if b.in_rotation]
        if 2 * len(in_rotation) >= len(own) and in_rotation:
            return in_rotation
        if in_rotation:
            return own
        return [b for b in self.site.balancers if b.in_rotation and b.is_known] or own

    def route(self, source, service):
        """Return the balancer for a flow, by a hash of its addresses."""
        nodes = self.nodes()
        if not nodes:
            return None
        number = hash((source, service)) % len(nodes)
        return (nodes[number].host, self.site.ports["data"])


class Site:
    """Store, balancers, sidecars, hosts, clients."""

    def __init__(self, folder, record, *, number, zones):
        """Create a deployment without machines."""
        self.folder, self.record = folder, record
        self.number, self.zones = number, zones
        names = ("data", "outbound", "ready", "control", "app", "store")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.ports["first"] = self._free_range()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.store_address = (f"127.{number}.9.1", self.ports["store"])
        self.store = store.Store(self.store_address, record)
        self.balancers, self.sidecars, self.hosts = [], [], []
        self.version = 0
        self.proxies = []

    def store_address_of(self, node):
        """Return the address at which a machine reaches the store."""
        return self.store_address

    @staticmethod
    def _free_range():
        for first in range(31_000, 60_000, 16):
            probe = socket.socket()
            try:
                probe.bind(("127.0.0.1", first))
                return first
            except OSError:
                continue
            finally:
                probe.close()
        raise RuntimeError("no free port range")

    def add_balancer(self, zone):
        """Add a machine for a balancer."""
        index = len(self.balancers) + 1
        node = Node(
            self, "balancer", f"edge-{index}", f"127.{self.number}.1.{index}", zone
        )
        node.is_known = True
        self.balancers.append(node)
        return node

    def add_host(self, service, zone, **options):
        """Add a host and the sidecar beside it; both are started separately."""
        index = len(self.sidecars) + 1
        address = f"127.{self.number}.{20 + index // 200}.{1 + index % 200}"
        node = Node(self, "sidecar", f"side-{index}", address, zone, service)
        self.sidecars.append(node)
        host = self.new_host(node, f"i-{index}", **options)
        return node, host

    def new_host(self, node, name, **options):
        """Create a host beside a sidecar."""
        host = ends.Host(
            name=name,
            service=node.service,
            zone=node.zone,
            address=(node.host, self.ports["app"]),
            outbound=(node.host, self.ports["outbound"]),
            control=(node.host, self.ports["control"]),
            record=self.record,
            **options,
        )
        self.hosts.append(host)
        return host

    async def add_client(self, zone):
        """Add a client in a zone."""
        index = getattr(self, "client_count", 0) + 1
        self.client_count = index
        client = ends.Client(
            f"127.{self.number}.3.{index}",
            self.ports["data"],
            Router(self, zone),
            self.record,
        )
        await client.start()
        return client

    def configure(self, routes, services, *, idle_timeout_ms=15_000, step=1):
        """Write the next configuration to the store; its answer acknowledges it."""
        self.version += step
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_timeout_ms,
            },
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("configuration acknowledged", version=self.version)
        return time.monotonic()

    def evacuate(self, zone):
        """Take a zone out; the answer of the store acknowledges it."""
        self.store.put(f"op/evacuate/{zone}", b"{}")
        self.record.write("evacuation acknowledged", zone=zone)
        return time.monotonic()

    def take_back(self, zone):
        """Take a zone back."""
        self.store.remove(f"op/evacuate/{zone}")
        self.record.write("evacuation taken back", zone=zone)

    async def start(self):
        """Start the store."""
        await self.store.start()

    async def check_readiness(self):
        """Poll the readiness of the balancers as the platform does, forever."""

        async def check(node):
            if await node.is_ready():
                node.misses = 0
                if not node.in_rotation:
                    self.record.write("in rotation", node=node.name)
                node.in_rotation = True
                return
            node.misses += 1
            if node.misses >= 2 and node.in_rotation:
                node.in_rotation = False
                self.record.write("out of rotation", node=node.name)

        while True:
            await asyncio.gather(*(check(node) for node in self.balancers))
            await asyncio.sleep(READY_INTERVAL)

    async def wait_until_ready(self, nodes, timeout_s=20):
        """Wait until processes answer their checks."""
        async with asyncio.timeout(timeout_s):
            for node in nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.05)

    def stop(self):
        """End all processes."""
        nodes = [n for n in (*self.balancers, *self.sidecars) if n.process]
        for node in nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in nodes:
            node.process.wait()


def route(name, host, port, service, kind="idempotent", **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": kind,
        "timeout_ms": 4000,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


def service(name, **more):
    """Return a service of the configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 2000,
        "proto": "h1",
        "tls": False,
        "cold_start_s": 2.0,
        "cold_per_s": 0.0,
        **more,
    }


def run(case_folder, scenario, *, number, zones, limit_s=110):
    """Run a scenario and exit with 1 if a rule was broken, 0 if not, 2 if it failed.

    ``scenario(site, trouble)`` returns the list of violations.
    """
    case_folder = pathlib.Path(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def play():
        site = Site(folder, record, number=number, zones=zones)
        await site.start()
        poll = asyncio.create_task(site.check_readiness())
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(site, trouble)
        finally:
            poll.cancel()
            site.stop()

    code = 2
    try:
        violations = asyncio.run(play())
        for violation in violations[:20]:
            print(violation)
        record.write("verdict", trouble=trouble, violations=len(violations))
        print(f"{len(violations)} violations")
        code = 1 if violations else 0
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        record.write("could not run", error=repr(error))
    finally:
        record.save()
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
