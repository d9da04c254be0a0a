"""Randomized soak test of transparent flows: real processes under injected faults.

    python -m testbed.soak --seeds 50 --first 1 --seconds 15
    python -m testbed.soak --seeds 50 --first 1 --seconds 15 --planned

Callers keep flows open while signals, restarts, pauses, configuration changes, drains
and store faults are injected in a random order that the seed determines; they may
overlap. The observations of callers and upstreams are checked against the promises.
A failed seed prints the violations and saves its logs under ``out/``.

With ``--planned`` all faults are planned work or heartbeats of another writer, so that
no open flow may be reset, nor may its packets reach other upstreams than its own
(``testbed.stray_packets``). Several processes are then stopped at once or in turn, and
more callers keep their flows; ``--planned --nojoint_stops`` leaves this out, as in the
seeds that the tests run.

With ``--leaving`` there is planned work only, too: upstreams announce their end and
leave, also just after a restart of their sidecars, and others start in their places. A
flow may be reset once its upstream has ended.

With ``--foreign`` another writer also sends odd datagrams, HTTP requests, entries and
configurations, beside planned work. The configuration that follows must take effect.
"""

from collections import abc
import contextlib
import dataclasses
import functools
import pathlib
import random
import signal
import tempfile

import fire
import msgspec
import trio

from plantainproxy import _types
from plantainproxy.flows.stored import registry
from plantainproxy.platform import settings as platform_settings
from plantainproxy.store import http
from standins import fault_proxy, flow_ends
from testbed import flow_site, foreign, stray_packets

CALLERS = 8
KEEPING_CALLERS = 24
"""Further callers of a run with joint stops or with upstreams that leave, which keep
their flows until the end."""
REQUEST_TIMEOUT_SECONDS = 3.0
KEEPING_REQUEST_TIMEOUT_SECONDS = 8.0
"""The same for the further callers; a balancer may reset a flow after 3 s of waiting,
which a caller that has given up does not receive."""
ANNOUNCED_SECONDS = (3.0, 4.0)
"""Times for which an upstream announces its end before it leaves."""
JOINT_STOP_SIDECARS = 2
SERIAL_STOP_SECONDS = 0.3
"""Time for which each process is away when all are stopped in turn."""
RECOVERY_SECONDS = 4.0
"""Time without faults at the end of a run, in which service must recover.

At least one request must be answered in its second half.
"""
DRAIN_PROPAGATION_SECONDS = 1.0
"""Time after which a draining upstream must receive no new flow.

The users allow 3 s.
"""
DOMAIN_OUT_PROPAGATION_SECONDS = 3.0
"""Time after which a failure domain that was taken out must receive no new flow.

The users allow 5 s.
"""
FOREIGN_FIELDS: abc.Mapping[str, dict[str, object]] = {
    "no start": {"slots": 4},
    "no slots": {"born": 0},
    "many slots": {"slots": 2**64 - 1, "born": 2**63 - 1},
    "late start": {"slots": 4, "born": 2**64 - 1},
    "wrong type": {"slots": "4", "born": None},
}
"""Fields that differ from those of an upstream's heartbeat, by kind of fault."""
NETWORK_BASE = 60
"""First loopback network of the soak test; each seed uses a network of its own."""
NETWORKS = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class SitePlan:
    """Size of the site on which a seed runs."""

    domains: int
    upstreams: int
    balancers: int


SMALL = SitePlan(domains=2, upstreams=4, balancers=3)
"""Every sidecar is a relay of its domain."""
WITH_RELAYS = SitePlan(domains=3, upstreams=9, balancers=4)
"""Each domain has a sidecar that is no relay; one has two balancers."""
REGRESSION_SEEDS = {
    1: (
        "the stand-in upstream executed a delayed retransmission again; "
        "the soak test started a node twice"
    ),
    17: (
        "two upstreams accepted one opening packet with initial sequence numbers "
        "less than a window apart"
    ),
    63: "a settings reload ended a process that was still importing its libraries",
}
"""Every seed that has failed, with the cause; run again by the tests."""
PLANNED_REGRESSION_SEEDS = {
    28: "a balancer started while a sidecar restarted",
    54: "a sidecar was stopped before a balancer had subscribed to its reports",
}
"""The same for planned work only."""
LEAVING_REGRESSION_SEEDS = {
    506: "a sidecar did not know the state of an upstream that stopped listening",
}
"""The same with upstreams that leave."""


@dataclasses.dataclass(slots=True)
class RunResult:
    """Counters and violations of one run."""

    answered: int = 0
    resets: int = 0
    unanswered: int = 0
    last_response_at: float = float("-inf")
    violations: list[str] = dataclasses.field(default_factory=list)


class SoakRun:
    """The run of one seed on one site."""

    def __init__(
        self,
        site: flow_site.Site,
        seed: int,
        *,
        is_planned: bool = False,
        has_joint_stops: bool = False,
    ) -> None:
        """Create a run without results."""
        self.site = site
        self.is_planned = is_planned
        """Whether there is planned work only, so that no open flow may be reset."""
        self.has_joint_stops = has_joint_stops
        """Whether several processes are stopped at once or in turn, or upstreams leave.

        Further callers keep their flows then."""
        self.random = random.Random(seed)
        self.result = RunResult()
        self.nursery: trio.Nursery | None = None
        """Where upstreams run that start in the place of others."""
        self.is_upstream_leaving = False
        self.ended_upstreams: list[flow_ends.Upstream] = []
        """Upstreams that have left."""
        self.strays: stray_packets.Figures | None = None
        self.stray_violations: list[str] = []
        """Violations only of a run with planned work only."""
        self.actions: list[str] = []
        self.reserved_nodes: set[pathlib.Path] = set()
        """Settings files of the nodes that an action uses; other actions skip them."""

    @property
    def upstreams(self) -> list[flow_ends.Upstream]:
        """All upstreams of the run, including those that have left."""
        return [*self.ended_upstreams, *self.site.upstreams]

    def record_action(self, text: str) -> None:
        """Record an action, with its time, for the report of a failed seed."""
        self.actions.append(f"{trio.current_time():.2f} {text}")


async def send_requests_forever(run: SoakRun, index: int) -> None:
    """Open flows one after another and send requests at random intervals on each.

    Every second caller of a run with planned work only keeps its flow until the end, as
    do all further callers. In a run with joint stops, the fabric sends no packets to
    balancers without a process.
    """
    caller = run.site.caller(index)
    keeps_flow = run.is_planned and (index % 2 == 0 or index >= CALLERS)
    timeout_seconds = REQUEST_TIMEOUT_SECONDS
    if index >= CALLERS:
        timeout_seconds = KEEPING_REQUEST_TIMEOUT_SECONDS
    number = 0
    while True:
        caller.balancers = run.site.caller(index).balancers or caller.balancers
        opened_at: float | None = None
        try:
            async with flow_ends.open_flow(caller, flow_site.SERVICE) as flow:
                opened_at = trio.current_time()
                requests_left = run.random.randint(1, 12)
                while requests_left or keeps_flow:
                    requests_left = max(requests_left - 1, 0)
                    number += 1
                    payload = b"%d/%d" % (index, number)
                    if run.has_joint_stops:
                        running = run.site.caller(index).balancers
                        caller.balancers = running or caller.balancers
                    await flow.request(payload, timeout_seconds=timeout_seconds)
                    run.result.answered += 1
                    run.result.last_response_at = trio.current_time()
                    await trio.sleep(run.random.uniform(0.01, 0.3))
        except flow_ends.FlowResetError:
            run.result.resets += 1
            if (
                run.is_planned
                and opened_at is not None
                and not _has_ended(run, (flow.source, flow.service))
            ):
                run.result.violations.append(
                    f"{trio.current_time():.2f} flow {caller.address.host}:"
                    f"{caller.port} of {opened_at:.2f} was reset"
                )
        except flow_ends.NoAnswerError:
            run.result.unanswered += 1
        await trio.sleep(0.02)


def _has_ended(run: SoakRun, key: flow_ends.FlowKey) -> bool:
    """Return whether the upstream that held a flow has left."""
    return any(
        key in upstream.flows and upstream.ended_at <= trio.current_time()
        for upstream in run.ended_upstreams
    )


Action = abc.Callable[[SoakRun], abc.Awaitable[None]]


@contextlib.contextmanager
def _reserve_node(run: SoakRun) -> abc.Iterator[flow_site.Node | None]:
    """Reserve a random node that no other action uses; ``None`` if there is none."""
    nodes = [
        node
        for node in (*run.site.balancers, *run.site.sidecars)
        if node.settings_path not in run.reserved_nodes
    ]
    if not nodes:
        yield None
        return
    node = run.random.choice(nodes)
    run.reserved_nodes.add(node.settings_path)
    try:
        yield node
    finally:
        run.reserved_nodes.discard(node.settings_path)


async def restart_gracefully(run: SoakRun) -> None:
    """Stop a process with SIGTERM and start it again."""
    with _reserve_node(run) as node:
        if node is None:
            return
        run.record_action(f"SIGTERM {node.settings_path.stem}")
        node.signal(signal.SIGTERM)
        await node.wait()
        run.site.start(node)


async def restart_slowly(run: SoakRun) -> None:
    """Stop a process with SIGTERM and start it again after up to 2.5 s."""
    with _reserve_node(run) as node:
        if node is None:
            return
        seconds = run.random.uniform(0.0, 2.5)
        run.record_action(f"SIGTERM {node.settings_path.stem} for {seconds:.1f} s")
        node.signal(signal.SIGTERM)
        await node.wait()
        await trio.sleep(seconds)
        run.site.start(node)


@contextlib.contextmanager
def _reserve_nodes(
    run: SoakRun, nodes: abc.Iterable[flow_site.Node], count: int
) -> abc.Iterator[list[flow_site.Node]]:
    """Reserve random nodes of some that no other action uses, at most ``count``."""
    free = [node for node in nodes if node.settings_path not in run.reserved_nodes]
    reserved = run.random.sample(free, min(count, len(free)))
    paths = {node.settings_path for node in reserved}
    run.reserved_nodes |= paths
    try:
        yield reserved
    finally:
        run.reserved_nodes -= paths


async def _stop_and_start(
    run: SoakRun, node: flow_site.Node, away_seconds: float
) -> None:
    """Stop a process with SIGTERM and start it after it has been away for a time."""
    node.signal(signal.SIGTERM)
    await node.wait()
    await trio.sleep(away_seconds)
    run.site.start(node)


async def stop_balancer_and_sidecars(run: SoakRun) -> None:
    """Stop a balancer and two sidecars at once, each for 0.1 s to 2 s."""
    with (
        _reserve_nodes(run, run.site.balancers, 1) as balancers,
        _reserve_nodes(run, run.site.sidecars, JOINT_STOP_SIDECARS) as sidecars,
    ):
        stopped = {
            node: run.random.uniform(0.1, 2.0) for node in (*balancers, *sidecars)
        }
        run.record_action(
            "SIGTERM at once: "
            + ", ".join(
                f"{node.settings_path.stem} for {seconds:.1f} s"
                for node, seconds in stopped.items()
            )
        )
        async with trio.open_nursery() as nursery:
            for node, seconds in stopped.items():
                nursery.start_soon(_stop_and_start, run, node, seconds)


async def restart_all_in_turn(run: SoakRun) -> None:
    """Stop all processes one after the other, each for 0.3 s."""
    run.record_action("SIGTERM all in turn")
    for node in (*run.site.balancers, *run.site.sidecars):
        with _reserve_nodes(run, [node], 1) as reserved:
            for free_node in reserved:
                await _stop_and_start(run, free_node, SERIAL_STOP_SECONDS)


async def send_foreign_heartbeat(run: SoakRun) -> None:
    """Send a heartbeat of another writer to a sidecar."""
    upstream = run.random.choice(run.site.upstreams)
    kind = run.random.choice(sorted(FOREIGN_FIELDS))
    run.record_action(f"heartbeat of another writer, {kind}, {upstream.address}")
    body = {"service": upstream.service, "addr": str(upstream.address)}
    body |= {"zone": upstream.domain, "version": "v1", "state": "ready"}
    heartbeat = body | {"cold_left_ms": 0, "seq": 10**9} | FOREIGN_FIELDS[kind]
    control = _types.Address(upstream.address.host, run.site.ports.control)
    with contextlib.suppress(http.UnsentError, http.UnansweredError):
        await http.post(
            http.Pool(control),
            "/v1/instances/i-another-writer/heartbeat",
            msgspec.json.encode(heartbeat),
            timeout_seconds=flow_ends.HEARTBEAT_TIMEOUT_SECONDS,
        )


async def write_foreign_document(run: SoakRun) -> None:
    """Write a configuration that is odd, and possibly cannot be applied."""
    run.site.version += 1
    run.record_action(f"odd configuration, version {run.site.version}")
    document = foreign.document(run.site.version, run.random)
    run.site.write_entry("op/config", document)


async def write_foreign_entry(run: SoakRun) -> None:
    """Write an odd entry of the list of sidecars, and remove it again later."""
    key = foreign.write_entry(run.site, run.random)
    run.record_action(f"odd entry {key}")
    await trio.sleep(run.random.uniform(0.0, 3.0))
    if key in run.site.store.items:
        run.site.store.remove(key)


async def send_foreign_bytes(run: SoakRun) -> None:
    """Send odd HTTP requests to a process, and bytes to its port for documents."""
    node = run.random.choice([*run.site.balancers, *run.site.sidecars])
    run.record_action(f"odd bytes to {node.settings_path.stem}")
    ports = run.site.ports
    numbers = [ports.ready, ports.first, platform_settings.METRICS_PORT]
    if node.kind == "sidecar":
        numbers.append(ports.control)
        await foreign.send_heartbeat(_types.Address(node.host, numbers[-1]), run.random)
    async with trio.open_nursery() as nursery:
        for number in numbers:
            data = foreign.http_request(run.random)
            address = _types.Address(node.host, number)
            nursery.start_soon(foreign.send_bytes, address, data)


async def send_foreign_datagrams(run: SoakRun) -> None:
    """Send odd datagrams to all UDP ports of a process."""
    node = run.random.choice([*run.site.balancers, *run.site.sidecars])
    run.record_action(f"odd datagrams to {node.settings_path.stem}")
    ports = run.site.ports
    numbers = [ports.data, ports.first]
    if node.kind == "sidecar":
        numbers.append(ports.outbound)
    addresses = [_types.Address(node.host, number) for number in numbers]
    foreign.send_datagrams(f"127.{run.site.number}.9.1", addresses, run.random)


async def kill_and_restart(run: SoakRun) -> None:
    """Kill a process and start it again after up to 1.5 s."""
    with _reserve_node(run) as node:
        if node is None:
            return
        run.record_action(f"SIGKILL {node.settings_path.stem}")
        node.signal(signal.SIGKILL)
        await node.wait()
        await trio.sleep(run.random.uniform(0.0, 1.5))
        run.site.start(node)


async def pause_and_resume(run: SoakRun) -> None:
    """Pause a process for 0.2 s to 2.5 s."""
    with _reserve_node(run) as node:
        if node is None:
            return
        run.record_action(f"SIGSTOP {node.settings_path.stem}")
        node.signal(signal.SIGSTOP)
        await trio.sleep(run.random.uniform(0.2, 2.5))
        node.signal(signal.SIGCONT)


async def pause_domain(run: SoakRun) -> None:
    """Pause all sidecars of a failure domain, and so its relays, for 0.2 s to 2.5 s."""
    domain = run.random.choice(sorted({node.domain for node in run.site.sidecars}))
    nodes = [
        node
        for node in run.site.sidecars
        if node.domain == domain and node.settings_path not in run.reserved_nodes
    ]
    run.record_action(f"SIGSTOP sidecars of {domain}")
    paths = {node.settings_path for node in nodes}
    run.reserved_nodes |= paths
    for node in nodes:
        node.signal(signal.SIGSTOP)
    await trio.sleep(run.random.uniform(0.2, 2.5))
    for node in nodes:
        node.signal(signal.SIGCONT)
    run.reserved_nodes -= paths


async def restart_in_series(run: SoakRun) -> None:
    """Stop and start the sidecars of a failure domain one after the other."""
    domain = run.random.choice(sorted({node.domain for node in run.site.sidecars}))
    run.record_action(f"SIGTERM sidecars of {domain} in turn")
    for node in run.site.sidecars:
        if node.domain != domain or node.settings_path in run.reserved_nodes:
            continue
        run.reserved_nodes.add(node.settings_path)
        node.signal(signal.SIGTERM)
        await node.wait()
        run.site.start(node)
        run.reserved_nodes.discard(node.settings_path)


async def reload_settings(run: SoakRun) -> None:
    """Send SIGHUP to a process, which reloads its settings."""
    with _reserve_node(run) as node:
        if node is None:
            return
        assert node.process is not None
        # Nothing of the program has run before that.
        while not flow_site.is_reload_safe(node):
            if node.process.poll() is not None:
                return
            await trio.sleep(flow_site.POLL_SECONDS)
        run.record_action(f"SIGHUP {node.settings_path.stem}")
        node.signal(signal.SIGHUP)


async def inject_store_fault(run: SoakRun) -> None:
    """Inject a store fault.

    The store returns errors, sends no responses, loses three responses or drops its
    history.
    """
    faults = run.site.store.faults
    kind = run.random.choice(("503", "429", "silent", "lost", "history"))
    run.record_action(f"store {kind}")
    if kind == "history":
        run.site.store.compact_history()
        return
    if kind == "lost":
        faults.lose_answers = 3
        return
    if kind == "silent":
        faults.silent = True
    else:
        faults.status = int(kind)
    await trio.sleep(run.random.uniform(0.3, 3.0))
    faults.silent, faults.status = False, 0


async def inject_store_link_fault(run: SoakRun) -> None:
    """Disconnect, silence or slow down the link between a process and the store."""
    node = run.random.choice([*run.site.balancers, *run.site.sidecars])
    link = node.store_link
    assert link is not None
    kind = run.random.choice(("cut", "silent", "one way", "slow", "stale"))
    run.record_action(f"store link {kind} {node.settings_path.stem}")
    if kind == "stale":
        link.silence_open_connections()
        return
    if kind == "cut":
        link.disconnect()
    elif kind == "slow":
        link.forward = fault_proxy.Faults(delay_seconds=0.2)
    else:
        link.backward = fault_proxy.Faults(silent=True)
        if kind == "silent":
            link.forward = fault_proxy.Faults(silent=True)
    await trio.sleep(run.random.uniform(0.3, 3.0))
    link.restore()


async def restore_store(run: SoakRun) -> None:
    """Make the store unavailable, then restore it from a copy some seconds old.

    The operators write their entries again within 2 s.
    """
    if run.site.store.is_restoring:
        return
    seconds_older = run.random.uniform(0.0, 6.0)
    run.record_action(f"store restored, {seconds_older:.1f} s older")
    await run.site.store.drill(
        outage_seconds=run.random.uniform(0.1, 1.5), seconds_older=seconds_older
    )
    await trio.sleep(run.random.uniform(0.0, 2.0))
    run.site.rewrite_entries()


async def restore_store_during(run: SoakRun, seconds: float) -> None:
    """Restore the store at a random time in the first half of a run."""
    await trio.sleep(run.random.uniform(0.0, seconds / 2))
    await restore_store(run)


async def configure(run: SoakRun) -> None:
    """Write a new version of the configuration."""
    run.record_action("configuration")
    run.site.configure()


async def drain(run: SoakRun) -> None:
    """Drain an upstream temporarily and check that it receives no new flow.

    At most two upstreams drain at the same time.
    """
    upstream = run.random.choice(run.site.upstreams)
    if (
        upstream.draining
        or sum(candidate.draining for candidate in run.site.upstreams) > 1
    ):
        return
    run.record_action(f"drain {upstream.address}")
    upstream.draining = True
    await trio.sleep(DRAIN_PROPAGATION_SECONDS + 2 * upstream.heartbeat_seconds)
    opened = upstream.opening_packet_count
    await trio.sleep(run.random.uniform(0.5, 2.0))
    if upstream.opening_packet_count != opened:
        run.result.violations.append(
            f"{upstream.address} received a flow while draining"
        )
    upstream.draining = False


async def replace_upstream(run: SoakRun) -> None:
    """Let an upstream leave as announced, and start another one in its place.

    Its sidecar may be restarted just before. One upstream leaves at a time.
    """
    node = run.random.choice(run.site.sidecars)
    (upstream,) = (
        candidate
        for candidate in run.site.upstreams
        if candidate.address.host == node.host
    )
    if run.is_upstream_leaving or upstream.draining:
        return
    run.is_upstream_leaving = upstream.draining = True
    run.record_action(f"leaving {upstream.address}")
    await trio.sleep(run.random.uniform(*ANNOUNCED_SECONDS))
    if run.random.random() < 0.5:
        with _reserve_nodes(run, [node], 1) as reserved:
            for free_node in reserved:
                upstream.stop_heartbeats()
                run.record_action(f"SIGTERM {node.settings_path.stem} before the end")
                await _stop_and_start(run, free_node, run.random.uniform(0.0, 0.5))
                await trio.sleep(run.random.uniform(0.0, 0.5))
    run.record_action(f"left {upstream.address}")
    run.ended_upstreams.append(upstream)
    await upstream.leave()
    await trio.sleep(run.random.uniform(0.3, 1.5))
    assert run.nursery is not None
    run.nursery.start_soon(run.site.add_upstream(node).run)
    run.is_upstream_leaving = False


async def evacuate(run: SoakRun) -> None:
    """Take a failure domain out temporarily and check that it receives no new flow."""
    key = "op/evacuate/d0"
    if key in run.site.operator_entries:
        return
    run.record_action("domain d0 out")
    run.site.write_entry(key, b"{}")
    await trio.sleep(DOMAIN_OUT_PROPAGATION_SECONDS)
    domain_upstreams = [
        upstream for upstream in run.site.upstreams if upstream.domain == "d0"
    ]
    opened = [upstream.opening_packet_count for upstream in domain_upstreams]
    await trio.sleep(run.random.uniform(0.5, 1.5))
    if [
        upstream.opening_packet_count for upstream in domain_upstreams
    ] != opened and not _store_failed_recently(run):
        run.result.violations.append("domain d0 received a flow while it was out")
    run.site.remove_entry(key)


def _store_failed_recently(run: SoakRun) -> bool:
    """Return whether a recent store fault may have delayed the domain change."""
    cutoff = trio.current_time() - 2 * DOMAIN_OUT_PROPAGATION_SECONDS
    return any(
        float(line.split()[0]) > cutoff and " store " in line for line in run.actions
    )


ACTIONS: tuple[Action, ...] = (
    restart_gracefully,
    kill_and_restart,
    pause_and_resume,
    reload_settings,
    inject_store_fault,
    inject_store_link_fault,
    configure,
    drain,
    evacuate,
)
PLANNED_ACTIONS: tuple[Action, ...] = (
    restart_gracefully,
    restart_slowly,
    reload_settings,
    configure,
    drain,
    send_foreign_heartbeat,
    send_foreign_heartbeat,
)
JOINT_STOP_ACTIONS: tuple[Action, ...] = (
    *PLANNED_ACTIONS,
    stop_balancer_and_sidecars,
    stop_balancer_and_sidecars,
    restart_all_in_turn,
)
"""The faults of earlier planned seeds stay the same without the joint stops."""
LEAVING_ACTIONS: tuple[Action, ...] = (*PLANNED_ACTIONS, *(3 * [replace_upstream]))
FOREIGN_ACTIONS: tuple[Action, ...] = (
    write_foreign_document,
    write_foreign_entry,
    send_foreign_bytes,
    send_foreign_datagrams,
)
RELAY_ACTIONS: tuple[Action, ...] = (*ACTIONS, pause_domain, restart_in_series)
RESTORATION_ACTIONS: tuple[Action, ...] = (*RELAY_ACTIONS, restore_store, evacuate)
"""The faults of earlier seeds stay the same without the restoration."""


async def inject_faults(
    run: SoakRun, seconds: float, actions: abc.Sequence[Action]
) -> None:
    """Start random actions at random intervals; several may overlap."""
    async with trio.open_nursery() as nursery:
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            nursery.start_soon(run.random.choice(actions), run)
            await trio.sleep(run.random.uniform(0.1, 1.2))


async def inject_foreign(run: SoakRun, seconds: float) -> None:
    """Start random actions of another writer at short random intervals."""
    async with trio.open_nursery() as nursery:
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            nursery.start_soon(run.random.choice(FOREIGN_ACTIONS), run)
            await trio.sleep(run.random.uniform(0.05, 0.4))


def find_older_versions(run: SoakRun) -> abc.Iterator[str]:
    """Return the processes that decided by an older version after a newer one."""
    for node in (*run.site.balancers, *run.site.sidecars):
        version = 0
        for text in run.site.log_path(node).read_text().splitlines():
            try:
                line = msgspec.json.decode(text)
            except msgspec.DecodeError:
                continue
            if line["message"] == "started":
                version = 0
            elif line["message"] == "policy in force":
                if line["version"] < version:
                    yield (
                        f"{node.settings_path.stem} went from version {version} to "
                        f"{line['version']}"
                    )
                version = line["version"]


def find_outdated(run: SoakRun) -> abc.Iterator[str]:
    """Return the processes that do not have the newest configuration in force."""
    for node in (*run.site.balancers, *run.site.sidecars):
        versions = [
            line.partition('"version":')[2].partition(",")[0]
            for line in run.site.log_path(node).read_text().splitlines()
            if '"policy in force"' in line
        ]
        if versions[-1:] != [str(run.site.version)]:
            yield (
                f"{node.settings_path.stem} has version {versions[-1:]} in force, "
                f"not {run.site.version}"
            )


def find_unregistered(run: SoakRun) -> abc.Iterator[str]:
    """Return the sidecars that are not in the store although it was restored."""
    for node in run.site.sidecars if run.site.store.era else ():
        if f"{registry.PREFIX}{node.host}/" not in run.site.store.items:
            yield f"{node.settings_path.stem} is not registered"


def find_violations(run: SoakRun, *, end: float) -> abc.Iterator[str]:
    """Return the violations of the promises in a run that ends at ``end``."""
    yield from run.result.violations
    yield from find_older_versions(run)
    yield from find_unregistered(run)
    executed = [
        payload for upstream in run.upstreams for payload in upstream.executed_payloads
    ]
    duplicates = {payload for payload in executed if executed.count(payload) > 1}
    if duplicates:
        yield f"requests executed more than once: {sorted(duplicates)[:3]}"
    for upstream in run.upstreams:
        if upstream.unexpected_packets:
            yield (
                f"{upstream.address} received a SYN-ACK packet, "
                "which only a caller may receive"
            )
    if end - run.result.last_response_at > RECOVERY_SECONDS / 2:
        yield "no request was answered in the second half of the recovery time"
    for node in (*run.site.balancers, *run.site.sidecars):
        code = node.process.poll() if node.process is not None else None
        if code is not None:
            yield f"{node.settings_path.stem} exited unexpectedly with code {code}"


async def run_seed(
    seed: int,
    seconds: float,
    directory: pathlib.Path,
    *,
    plan: SitePlan = WITH_RELAYS,
    restores_store: bool = False,
    is_planned: bool = False,
    has_joint_stops: bool = False,
    is_foreign: bool = False,
    has_leaving: bool = False,
) -> SoakRun:
    """Run one seed: inject faults for ``seconds``, then check the recovery."""
    async with flow_site.running(
        directory,
        number=NETWORK_BASE + seed % NETWORKS,
        balancers=plan.balancers,
        upstreams=plan.upstreams,
        domains=plan.domains,
        store_links=True,
    ) as site:
        run = SoakRun(
            site,
            seed,
            is_planned=is_planned or is_foreign or has_leaving,
            has_joint_stops=has_joint_stops or has_leaving,
        )
        async with trio.open_nursery() as nursery:
            run.nursery = nursery
            callers = CALLERS + (KEEPING_CALLERS if run.has_joint_stops else 0)
            for index in range(callers):
                nursery.start_soon(send_requests_forever, run, index)
            actions = ACTIONS if plan is SMALL else RELAY_ACTIONS
            if is_planned:
                actions = JOINT_STOP_ACTIONS if has_joint_stops else PLANNED_ACTIONS
            if has_leaving:
                actions = LEAVING_ACTIONS
            if is_foreign:
                actions = PLANNED_ACTIONS
                nursery.start_soon(inject_foreign, run, seconds)
            if restores_store:
                actions = RESTORATION_ACTIONS
                nursery.start_soon(restore_store_during, run, seconds)
            await inject_faults(run, seconds, actions)
            if is_foreign:
                site.configure()
            await trio.sleep(RECOVERY_SECONDS)
            end = trio.current_time()
            flows = stray_packets.open_flows(run.upstreams, end=end)
            run.strays = stray_packets.measure(flows)
            run.stray_violations = list(stray_packets.find_violations(flows))
            run.result.violations = list(find_violations(run, end=end))
            if is_foreign:
                run.result.violations += find_outdated(run)
            nursery.cancel_scope.cancel()
    return run


def main(
    *,
    seeds: int = 1,
    first: int = 1,
    seconds: float = 10.0,
    restores_store: bool = False,
    planned: bool = False,
    joint_stops: bool = True,
    foreign: bool = False,
    leaving: bool = False,
) -> None:
    """Run seeds one after another; the exit code is the number of failed seeds."""
    run_one = functools.partial(
        run_seed,
        restores_store=restores_store,
        is_planned=planned,
        has_joint_stops=planned and joint_stops,
        is_foreign=foreign,
        has_leaving=leaving,
    )
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as directory:
            run = trio.run(run_one, seed, seconds, pathlib.Path(directory))
            violations = run.result.violations
            if planned or foreign or leaving:
                violations = [*violations, *run.stray_violations]
            if violations:
                output_directory = pathlib.Path("out") / f"soak-{seed}"
                output_directory.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(directory).glob("*.log"):
                    (output_directory / log.name).write_bytes(log.read_bytes())
                (output_directory / "actions.txt").write_text(
                    "\n".join(run.actions) + "\n"
                )
        result = run.result
        failed += bool(violations)
        print(
            f"seed {seed}: {result.answered} answered, {result.resets} resets, "
            f"{result.unanswered} unanswered, "
            f"{run.site.store.era} restorations, {run.strays}, "
            f"violations: {violations or 'none'}",
            flush=True,
        )
    raise SystemExit(failed)


if __name__ == "__main__":
    fire.Fire(main)
