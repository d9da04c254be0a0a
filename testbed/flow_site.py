"""A small site with transparent flows: real processes on loopback addresses."""

from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys

import msgspec
import trio

from plantainproxy import _types
from plantainproxy.flows import messages
from plantainproxy.store import http
from standins import fault_proxy, flow_ends, metadata_store

ROOT = pathlib.Path(__file__).parents[1]
SERVICE_NAME = "feed"
SERVICE = _types.Address("198.18.0.1", 8443)
START_MODULE = "plantainproxy.flows.programs.start"
STOP_SECONDS = 8.0
READY_SECONDS = 15.0
POLL_SECONDS = 0.02
COMMAND_SECONDS = 20.0
REPORT_WAIT_SECONDS = 0.1
MAX_DATAGRAM_BYTES = 65_536

# ``something_new`` is not a known settings key; processes must ignore unknown keys.
SETTINGS = """\
node = "{name}"
ip = "{host}"
zone = "{domain}"
internal_port_range = [{first}, {last}]
app = "{host}:{app}"
service = "{service}"
heartbeat_ms = 200
something_new = [1, 2]
[listen]
data_addr = "{host}:{data}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
grace_s = 4
cold_over = 1.5
cold_slack = 5
[platform]
addr = "{store}"
writes_per_s = 400
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Port numbers, the same on all instances of a site."""

    data: int
    outbound: int
    ready: int
    control: int
    app: int
    first: int
    """First port of the internal port range."""

    @classmethod
    def allocate(cls) -> "Ports":
        """Return ports that are currently free on 127.0.0.1."""
        with contextlib.ExitStack() as stack:
            free_ports = []
            for _ in range(6):
                probe = stack.enter_context(socket.socket())
                probe.bind(("127.0.0.1", 0))
                free_ports.append(probe.getsockname()[1])
        return cls(
            data=free_ports[0],
            outbound=free_ports[1],
            ready=free_ports[2],
            control=free_ports[3],
            app=free_ports[4],
            first=free_ports[5],
        )


class Node:
    """An instance of a balancer or a sidecar, and its process."""

    def __init__(
        self, *, kind: str, host: str, domain: str, settings_path: pathlib.Path
    ):
        """Create an instance whose process has not been started."""
        self.kind = kind
        self.host = host
        self.domain = domain
        self.settings_path = settings_path
        self.store_link: fault_proxy.Link | None = None
        """Fault proxy between the process and the store, if any."""
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, output: pathlib.Path) -> None:
        """Start the process and append its output to a file."""
        with output.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", START_MODULE, self.kind],
                cwd=ROOT,
                env={**os.environ, "PLANTAINPROXY_BOOT": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        assert self.process is not None
        while (code := self.process.poll()) is None:
            await trio.sleep(POLL_SECONDS)
        return code


def is_reload_safe(
    node: Node, *, masks: abc.Container[str] = ("SigBlk", "SigCgt")
) -> bool:
    """Return whether a node's process blocks or handles SIGHUP.

    By default the signal ends a process; the interpreter's start cannot change that.
    ``masks`` are the lines of the process's status that count.
    """
    assert node.process is not None
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    lines = (line.partition(":") for line in status.splitlines())
    return any(
        int(value, 16) & 1 << signal.SIGHUP - 1
        for name, _, value in lines
        if name in masks
    )


class Site:
    """The store, balancers, sidecars and upstreams of one site."""

    def __init__(self, directory: pathlib.Path, *, number: int) -> None:
        """Create a site on the loopback network ``127.<number>.0.0/16``."""
        self.directory = directory
        self.number = number
        self.ports = Ports.allocate()
        self.store = metadata_store.MetadataStore()
        self.store_address = _types.Address("127.0.0.1", Ports.allocate().ready)
        self.balancers: list[Node] = []
        self.sidecars: list[Node] = []
        self.upstreams: list[flow_ends.Upstream] = []
        self.version = 0
        self.operator_entries: dict[str, bytes] = {}
        """What the operators have written to the store and not removed."""

    def add_node(
        self,
        kind: str,
        index: int,
        *,
        domain: str,
        store_link: fault_proxy.Link | None = None,
    ) -> Node:
        """Write the settings file of an instance and add the instance to the site."""
        host = f"127.{self.number}.{1 if kind == 'balancer' else 2}.{index + 1}"
        settings_path = self.directory / f"{kind}-{index}.toml"
        ports = self.ports
        settings_path.write_text(
            SETTINGS.format(
                name=f"{kind}-{index}",
                host=host,
                domain=domain,
                first=ports.first,
                last=ports.first + 15,
                service=SERVICE_NAME,
                store=store_link.address if store_link else self.store_address,
                **{
                    field.name: getattr(ports, field.name)
                    for field in dataclasses.fields(ports)
                    if field.name != "first"
                },
            )
        )
        node = Node(kind=kind, host=host, domain=domain, settings_path=settings_path)
        node.store_link = store_link
        (self.balancers if kind == "balancer" else self.sidecars).append(node)
        return node

    def log_path(self, node: Node) -> pathlib.Path:
        """Return the path of the node's log file."""
        return node.settings_path.with_suffix(".log")

    def start(self, node: Node) -> None:
        """Start the node's process."""
        node.start(self.log_path(node))

    def configure(self, *, routes: bool = True, name: str = SERVICE_NAME) -> None:
        """Write the next version of the operators' configuration to the store."""
        self.version += 1
        route = {
            "name": "r-feed",
            "host": SERVICE.host,
            "prefix": f"/{SERVICE.port}/",
            "type": "idempotent",
            "slo_ms": 200,
            "priority": 1,
            "service": name,
        }
        document = {
            "version": self.version,
            "routes": [route] if routes else [],
            "services": [{"name": name, "health_path": "/healthz"}],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.write_entry("op/config", msgspec.json.encode(document))

    def write_entry(self, key: str, value: bytes) -> None:
        """Write a key to the store as the operators do."""
        self.operator_entries[key] = value
        self.store.put(key, value)

    def remove_entry(self, key: str) -> None:
        """Remove a key of the operators, which a restored copy may lack."""
        del self.operator_entries[key]
        if key in self.store.items:
            self.store.remove(key)

    def rewrite_entries(self) -> None:
        """Write again what the operators have written, after a restoration."""
        for key in [key for key in self.store.items if key.startswith("op/")]:
            if key not in self.operator_entries:
                self.store.remove(key)
        for key, value in self.operator_entries.items():
            self.store.put(key, value)

    def add_upstream(self, node: Node) -> flow_ends.Upstream:
        """Add an upstream to a sidecar, in place of an earlier one that has ended."""
        upstream = flow_ends.Upstream(
            address=_types.Address(node.host, self.ports.app),
            outbound=_types.Address(node.host, self.ports.outbound),
            heartbeat_address=_types.Address(node.host, self.ports.control),
            service=SERVICE_NAME,
            domain=node.domain,
        )
        self.upstreams = [
            other for other in self.upstreams if other.address != upstream.address
        ]
        self.upstreams.append(upstream)
        return upstream

    async def report(self, node: Node) -> messages.Report:
        """Return a report that the sidecar sends now, on request."""
        request = messages.ReportRequest(
            revision=0, domain="", sidecars=1, subscribes=False
        )
        host = _types.Address(f"127.{self.number}.4.1", self.ports.first)
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            await udp_socket.bind(host)
            while True:
                await udp_socket.sendto(
                    messages.encode(request), (node.host, self.ports.first)
                )
                with trio.move_on_after(REPORT_WAIT_SECONDS):
                    data, _ = await udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
                    message = messages.decode(data)
                    if isinstance(message, messages.Report):
                        return message

    def caller(self, index: int = 0) -> flow_ends.Caller:
        """Return a caller that sends round robin through all running balancers."""
        return flow_ends.Caller(
            _types.Address(f"127.{self.number}.3.{index + 1}", self.ports.data),
            [
                _types.Address(node.host, self.ports.data)
                for node in self.balancers
                if node.process is not None and node.process.poll() is None
            ],
        )

    async def wait_until_ready(self, nodes: list[Node]) -> None:
        """Wait until balancers accept packets and sidecars have a policy."""
        with trio.fail_after(READY_SECONDS):
            for node in nodes:
                pool = http.Pool(_types.Address(node.host, self.ports.ready))
                while not await _is_ready(pool):
                    await trio.sleep(POLL_SECONDS)
                http.close_idle(pool)


async def run_ctl(*words: str) -> subprocess.CompletedProcess[str]:
    """Run ``plantain-flow-ctl`` and return its exit code and output."""
    return await trio.to_thread.run_sync(
        lambda: subprocess.run(
            [sys.executable, "-m", "plantainproxy.flows.programs.ctl_main", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_SECONDS,
            check=False,
        )
    )


async def _is_ready(pool: http.Pool) -> bool:
    try:
        reply = await http.call(pool, "GET", "/v1/readyz", timeout_seconds=1.0)
    except (http.UnsentError, http.UnansweredError):
        return False
    return reply.status == 200


@contextlib.asynccontextmanager
async def running(
    directory: pathlib.Path,
    *,
    number: int,
    balancers: int = 2,
    upstreams: int = 3,
    domains: int = 2,
    store_links: bool = False,
) -> abc.AsyncIterator[Site]:
    """Run a site whose processes are ready, and terminate these processes at exit.

    Balancers and sidecars are distributed over the failure domains in turn.

    With ``store_links`` each process reaches the store through its own fault proxy.
    """
    site = Site(directory, number=number)
    site.configure()
    async with trio.open_nursery() as nursery, contextlib.AsyncExitStack() as stack:

        async def open_store_link() -> fault_proxy.Link | None:
            if not store_links:
                return None
            store_link = fault_proxy.open_tcp_link(site.store_address)
            return await stack.enter_async_context(store_link)

        nursery.start_soon(metadata_store.serve, site.store, site.store_address)
        try:
            for index in range(upstreams):
                node = site.add_node(
                    "sidecar",
                    index,
                    domain=f"d{index % domains}",
                    store_link=await open_store_link(),
                )
                upstream = site.add_upstream(node)
                site.start(node)
                nursery.start_soon(upstream.run)
            for index in range(balancers):
                node = site.add_node(
                    "balancer",
                    index,
                    domain=f"d{index % domains}",
                    store_link=await open_store_link(),
                )
                site.start(node)
            await site.wait_until_ready([*site.sidecars, *site.balancers])
            yield site
        finally:
            _terminate_processes([*site.sidecars, *site.balancers])
            nursery.cancel_scope.cancel()


def _terminate_processes(nodes: list[Node]) -> None:
    processes = [node.process for node in nodes if node.process is not None]
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
    for process in processes:
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
