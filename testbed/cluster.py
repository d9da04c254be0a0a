"""Starts and controls a site: store, fabric, balancers, upstreams and sidecars.

Each instance has its own loopback address, so all instances can use the same ports.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import os
import pathlib
import socket
import tempfile

import trio

from plantainproxy import _types
from plantainproxy.config import model as config_model
from plantainproxy.config import parse
from plantainproxy.ctl import changes, fleet_status
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model as settings_model
from standins import certificates
from testbed import processes, site

DATAGRAM_PORT = 7000
RPC_PORT = 7001
HEALTH_PORT = 7002
STORE_PORT = 2379
CONTROL_PORT = 7003
UPSTREAM_PORT = 8080
METRICS_PORT = 8125
METRICS_INTERVAL_SECONDS = 0.2
SERVICE_PORT = 4433
SEED_COUNT = 3
START_TIMEOUT_SECONDS = 40
POLL_SECONDS = 0.05

MIN_SECOND_OCTET = 64
SECOND_OCTET_COUNT = 128
CLUSTERS_PER_PROCESS = 16

_cluster_numbers = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Balancer:
    """A balancer process, its instance and its failure domain."""

    host: str
    domain: str
    process: processes.Process

    @property
    def rpc(self) -> _types.Address:
        """The address of the gRPC server."""
        return _types.Address(self.host, RPC_PORT)

    @property
    def datagrams(self) -> _types.Address:
        """The address to which the fabric forwards datagrams."""
        return _types.Address(self.host, DATAGRAM_PORT)

    @property
    def health(self) -> _types.Address:
        """The address of the health check that the fabric polls."""
        return _types.Address(self.host, HEALTH_PORT)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """An instance that runs one upstream and its sidecar."""

    host: str
    domain: str
    pool: str
    upstream: processes.Process
    sidecar: processes.Process

    @property
    def tunnel(self) -> _types.Address:
        """The sidecar's tunnel address, which identifies the upstream."""
        return _types.Address(self.host, DATAGRAM_PORT)

    @property
    def rpc(self) -> _types.Address:
        """The address of the sidecar's gRPC server."""
        return _types.Address(self.host, RPC_PORT)

    @property
    def metrics(self) -> _types.Address:
        """The StatsD address to which the sidecar sends its metrics."""
        return _types.Address(self.host, METRICS_PORT)

    @property
    def upstream_address(self) -> _types.Address:
        """The address on which the upstream serves HTTP."""
        return _types.Address(self.host, UPSTREAM_PORT)


def find_free_network() -> str:
    """Return the first three octets of a loopback network that no cluster uses.

    Test processes run clusters concurrently, so the search starts at a network
    derived from the process ID. A network whose store address is already bound is
    skipped.
    """
    process_id = os.getpid()
    for _ in range(SECOND_OCTET_COUNT):
        second_octet = MIN_SECOND_OCTET + process_id % SECOND_OCTET_COUNT
        third_octet = (
            process_id // SECOND_OCTET_COUNT * CLUSTERS_PER_PROCESS
            + next(_cluster_numbers)
        ) % 250
        network = f"127.{second_octet}.{third_octet}"
        if _is_free(_types.Address(f"{network}.1", STORE_PORT)):
            return network
    raise RuntimeError(
        f"no free loopback network: store port {STORE_PORT} was already bound in all "
        f"{SECOND_OCTET_COUNT} networks tried"
    )


def _is_free(address: _types.Address) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError:
            return False
    return True


class Cluster:
    """The processes of one site with their addresses, settings and certificates."""

    def __init__(
        self, plan: site.Site, directory: pathlib.Path, network: str = ""
    ) -> None:
        """Assign addresses and describe all processes without starting any.

        ``network`` sets the first three octets of every address. If it is empty, a
        network that no other cluster uses is chosen.
        """
        self.plan = plan
        self.directory = directory
        self.network = network or find_free_network()
        self.host_numbers = itertools.count(1)
        self.certificates = certificates.write_self_signed(directory)
        self.authority: certificates.Authority | None = None
        """Signs the certificate of every process; ``None`` means plaintext."""
        self.extra_settings = ""
        """TOML tables appended to the settings file of every process."""
        self.client_tls = settings_model.Tls()
        """The TLS settings of ``plantainctl``."""
        self.store_address = _types.Address(self.allocate_host(), STORE_PORT)
        self.store_control = _types.Address(self.store_address.host, CONTROL_PORT)
        self.store_endpoint = self.store_address
        """The store address in the settings files; tests may set a proxy's address."""
        self.fabric_back = _types.Address(self.allocate_host(), DATAGRAM_PORT)
        self.fabric_control = _types.Address(self.fabric_back.host, CONTROL_PORT)
        self.services: dict[str, _types.Address] = {
            pool.name: _types.Address(self.allocate_host(), SERVICE_PORT)
            for pool in plan.pools
        }
        self.store_endpoints: dict[str, _types.Address] = {}
        """Overrides of ``store_endpoint``, by the host of a balancer."""
        self.rpc_endpoints: dict[_types.Address, _types.Address] = {}
        """Proxy addresses that replace gRPC addresses in the lists of seeds."""
        self.sends_metrics = False
        """Whether sidecars that are started afterwards send metrics."""
        self.balancers: list[Balancer] = []
        self.hosts: list[Host] = []
        self.processes: list[processes.Process] = []
        self.store = self.make_process(
            "store",
            "standins.store",
            f"--host={self.store_address.host}",
            f"--port={STORE_PORT}",
            f"--control-port={CONTROL_PORT}",
        )
        for index in range(plan.balancers):
            self.add_balancer(plan.domains[index % len(plan.domains)])
        for pool in plan.pools:
            for index in range(pool.hosts):
                self.add_host(pool, plan.domains[index % len(plan.domains)])
        self.fabric = self.make_process(
            "fabric", "standins.fabric", *self._fabric_arguments()
        )

    def allocate_host(self) -> str:
        """Return an unused address for a new instance."""
        return f"{self.network}.{next(self.host_numbers)}"

    def make_process(self, name: str, *arguments: str) -> processes.Process:
        """Describe a process that is killed when the cluster is closed."""
        process = processes.Process(name, arguments, self.directory / f"{name}.log")
        self.processes.append(process)
        return process

    def add_balancer(self, domain: str) -> Balancer:
        """Add a balancer to the site without starting it."""
        host = self.allocate_host()
        name = f"balancer-{len(self.balancers) + 1}"
        path = self.directory / f"{name}.toml"
        process = self.make_process(
            name, "plantainproxy.balancer.main", f"--settings={path}"
        )
        balancer = Balancer(host=host, domain=domain, process=process)
        self.balancers.append(balancer)
        return balancer

    def add_host(self, pool: site.PoolPlan, domain: str) -> Host:
        """Add an upstream and its sidecar to the site without starting them."""
        host = self.allocate_host()
        name = f"{pool.name}-{len(self.hosts) + 1}"
        path = self.directory / f"{name}.toml"
        upstream = self.make_process(
            f"upstream-{name}",
            "standins.upstream",
            f"--host={host}",
            f"--port={UPSTREAM_PORT}",
            f"--name={name}",
            f"--slots={pool.slots}",
            f"--service_seconds={pool.service_seconds}",
        )
        sidecar = self.make_process(
            f"sidecar-{name}", "plantainproxy.sidecar.main", f"--settings={path}"
        )
        new_host = Host(
            host=host, domain=domain, pool=pool.name, upstream=upstream, sidecar=sidecar
        )
        self.hosts.append(new_host)
        return new_host

    def _fabric_arguments(self) -> list[str]:
        arguments = [
            f"--back={self.fabric_back}",
            f"--control={self.fabric_control}",
            "--seed=7",
        ]
        arguments += [f"--service={address}" for address in self.services.values()]
        arguments += [
            f"--balancer={balancer.datagrams},{balancer.health}"
            for balancer in self.balancers
        ]
        return arguments

    def seeds(self) -> list[str]:
        """Return the gRPC addresses of the seeds, as written into settings files."""
        return [
            str(self.rpc_endpoints.get(balancer.rpc, balancer.rpc))
            for balancer in self.balancers[:SEED_COUNT]
        ]

    def client_settings(self) -> settings_model.ClientSettings:
        """Return the settings of an operator's ``plantainctl``."""
        return settings_model.ClientSettings(
            balancers=tuple(balancer.rpc for balancer in self.balancers),
            operator="testbed",
            tls=self.client_tls,
        )


def enable_tls(cluster: Cluster) -> None:
    """Enable mutual TLS for processes and operators that start afterwards."""
    cluster.authority = certificates.write_authority(cluster.directory)
    files = certificates.issue(cluster.authority, cluster.directory, name="plantainctl")
    cluster.client_tls = settings_model.Tls(
        certificate_file=str(files.certificate),
        private_key_file=str(files.private_key),
        authority_file=str(cluster.authority.file),
    )


def build_configuration(cluster: Cluster) -> config_model.Configuration:
    """Return a configuration with the domains, pools and routes of the site."""
    plan = cluster.plan
    return config_model.Configuration(
        revision=0,
        domains=tuple(
            config_model.Domain(name=name, number=number)
            for number, name in enumerate(plan.domains, start=1)
        ),
        pools=tuple(
            config_model.Pool(
                name=pool.name,
                max_running=pool.slots,
                lines_per_second=pool.lines_per_second,
            )
            for pool in plan.pools
        ),
        routes=tuple(
            config_model.Route(
                name=pool.name, address=cluster.services[pool.name], pool=pool.name
            )
            for pool in plan.pools
        ),
    )


def _toml_list(values: list[str]) -> str:
    return "[" + ", ".join(f'"{value}"' for value in values) + "]"


def write_balancer_settings(
    cluster: Cluster, balancer: Balancer, *, extra: str = ""
) -> None:
    """Write the settings file of one balancer."""
    path = cluster.directory / f"{balancer.process.name}.toml"
    store_endpoint = cluster.store_endpoints.get(balancer.host, cluster.store_endpoint)
    path.write_text(
        f'domain = "{balancer.domain}"\n'
        f'datagram_address = "{balancer.datagrams}"\n'
        f'rpc_address = "{balancer.rpc}"\n'
        f'health_address = "{balancer.health}"\n'
        f"seeds = {_toml_list(cluster.seeds())}\n"
        f"{extra}"
        f"[store]\n"
        f'address = "{store_endpoint}"\n'
        f"call_timeout_seconds = 1.0\n"
        f"watch_rearm_seconds = 5.0\n"
        f"{_tls_settings(cluster, balancer.process.name, balancer.host)}"
        f"{cluster.extra_settings}"
    )


def write_sidecar_settings(cluster: Cluster, host: Host, *, extra: str = "") -> None:
    """Write the settings file of one sidecar."""
    name = host.sidecar.name.removeprefix("sidecar-")
    telemetry = ""
    if cluster.sends_metrics:
        telemetry = (
            f"[telemetry]\n"
            f'statsd_address = "{host.metrics}"\n'
            f"statsd_interval_seconds = {METRICS_INTERVAL_SECONDS}\n"
        )
    path = cluster.directory / f"{name}.toml"
    path.write_text(
        f'domain = "{host.domain}"\n'
        f'pool = "{host.pool}"\n'
        f'tunnel_address = "{host.tunnel}"\n'
        f'rpc_address = "{host.rpc}"\n'
        f'upstream_address = "{host.upstream_address}"\n'
        f"fabric_addresses = {_toml_list([str(cluster.fabric_back)])}\n"
        f'certificate_file = "{cluster.certificates.certificate}"\n'
        f'private_key_file = "{cluster.certificates.private_key}"\n'
        f"seeds = {_toml_list(cluster.seeds())}\n"
        f"{extra}"
        f"{telemetry}"
        f"{_tls_settings(cluster, name, host.host)}"
        f"{cluster.extra_settings}"
    )


def _tls_settings(cluster: Cluster, name: str, host: str) -> str:
    """Issue a certificate for one instance and return its TLS settings."""
    if cluster.authority is None:
        return ""
    files = certificates.issue(
        cluster.authority, cluster.directory, name=name, addresses=(host,)
    )
    return (
        f"[tls]\n"
        f'certificate_file = "{files.certificate}"\n'
        f'private_key_file = "{files.private_key}"\n'
        f'authority_file = "{cluster.authority.file}"\n'
    )


async def start_balancer(cluster: Cluster, balancer: Balancer) -> None:
    """Write the settings file of a balancer and start it."""
    write_balancer_settings(cluster, balancer)
    await processes.start(balancer.process)


async def start_host(cluster: Cluster, host: Host) -> None:
    """Write the sidecar's settings, then start the upstream and the sidecar."""
    write_sidecar_settings(cluster, host)
    await processes.start(host.upstream)
    await processes.start(host.sidecar)


async def start(cluster: Cluster, *, spare_balancers: int = 0) -> None:
    """Start all processes, apply the configuration and wait until the site serves.

    The last ``spare_balancers`` balancers are registered in the fabric but not
    started.
    """
    started = cluster.balancers[: len(cluster.balancers) - spare_balancers]
    await processes.start(cluster.store)
    async with trio.open_nursery() as nursery:
        for balancer in started:
            nursery.start_soon(start_balancer, cluster, balancer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(processes.start, cluster.fabric)
        for host in cluster.hosts:
            nursery.start_soon(start_host, cluster, host)
    await apply(cluster, build_configuration(cluster), reason="start")
    await wait_until_serving(cluster)


async def propose(
    cluster: Cluster,
    request: operator_pb2.ChangeRequest,
    *,
    reason: str = "test",
    wait: bool = False,
    through: Balancer | None = None,
) -> int:
    """Propose a change as an operator does and return the resulting revision.

    With ``through``, only that balancer is called. With ``wait``, the call returns
    when the change is active in all processes.
    """
    settings = cluster.client_settings()
    if through is not None:
        settings = dataclasses.replace(settings, balancers=(through.rpc,))

    def run() -> int:
        options = changes.Options(reason=reason, wait=wait)
        result = changes.propose(settings, request, options)
        return int(dict(result.fields)["revision"])

    return await trio.to_thread.run_sync(run)


async def apply(
    cluster: Cluster, configuration: config_model.Configuration, *, reason: str = "test"
) -> None:
    """Propose a change that replaces the whole configuration."""
    request = operator_pb2.ChangeRequest(
        replace_all=operator_pb2.ReplaceAll(toml=parse.render(configuration))
    )
    await propose(cluster, request, reason=reason)


async def query_fleet(cluster: Cluster) -> fleet_status.FleetStatus:
    """Return the status replies of the balancers that answer."""
    return await trio.to_thread.run_sync(
        fleet_status.query_fleet, cluster.client_settings()
    )


async def wait_for(
    condition: abc.Callable[[fleet_status.FleetStatus], bool], cluster: Cluster
) -> None:
    """Poll the status of all balancers until ``condition`` is true."""
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while not condition(await query_fleet(cluster)):
            await trio.sleep(POLL_SECONDS)


def _serving_members(reply: operator_pb2.StatusReply) -> abc.Mapping[str, str]:
    return {
        member.rpc_address: member.state
        for member in reply.members
        if not member.lost and member.state == _types.MemberState.SERVING
    }


async def wait_until_serving(cluster: Cluster) -> None:
    """Wait until the running balancers serve and list every running sidecar.

    All processes must also have the newest revision.
    """
    balancers = [
        balancer
        for balancer in cluster.balancers
        if processes.is_running(balancer.process)
    ]
    sidecar_addresses = {
        str(host.rpc) for host in cluster.hosts if processes.is_running(host.sidecar)
    }

    def is_serving(fleet: fleet_status.FleetStatus) -> bool:
        if len(fleet.replies) < len(balancers):
            return False
        newest = max(reply.revision for reply in fleet.replies)
        if newest == 0 or fleet_status.lagging(fleet, newest):
            return False
        return all(
            reply.in_service and sidecar_addresses <= _serving_members(reply).keys()
            for reply in fleet.replies
        )

    await wait_for(is_serving, cluster)


@contextlib.asynccontextmanager
async def open_cluster(plan: site.Site) -> abc.AsyncIterator[Cluster]:
    """Yield a cluster that is not started; kill its processes on exit."""
    with tempfile.TemporaryDirectory(prefix="plantain-") as directory:
        cluster = Cluster(plan, pathlib.Path(directory))
        async with processes.kill_on_exit(cluster.processes):
            yield cluster


@contextlib.asynccontextmanager
async def running_cluster(plan: site.Site) -> abc.AsyncIterator[Cluster]:
    """Start a site, yield it when it serves and kill its processes on exit."""
    async with open_cluster(plan) as cluster:
        await start(cluster)
        yield cluster
