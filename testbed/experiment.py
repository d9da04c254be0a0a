"""Measures broken flows, imbalance and latency while a site changes under load.

``python -m testbed.experiment --site co-op --scenario domain`` starts a site of real
processes, keeps callers' connections open through all phases and prints a table; the
figures are written to ``out/`` as JSON. Scenario ``domain`` takes a failure domain
out and returns it to service, ``cold`` also restarts its upstreams cold while it is
out, and ``replace`` replaces all balancers and the upstreams of one failure domain at
the same time. ``bench.baselines`` compares other ways to route the packets of
established flows.
"""

import argparse
from collections import abc
import contextlib
import dataclasses
import gc
import json
import os
import pathlib
import time
import typing

import trio

from plantainproxy import _types
from plantainproxy.config import keys
from plantainproxy.ctl import fleet_status
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model as settings_model
from plantainproxy.store import etcd
from plantainproxy.wire import connection_id, keyring
from standins import fault_proxy
from testbed import cluster as cluster_module
from testbed import controls, invariants, load, phases, processes, site

CONNECTIONS_PER_HOST = 2_000
"""Connections per host at the users' sites."""
CONNECTION_SAMPLING = 100
"""The experiment opens one in this many connections."""
REQUESTS_PER_SECOND = 130.0
"""Rate that one process of callers can send without adding delays of its own."""
UTILISATION = 0.4
"""Average share of the slots that execute a request."""
POSTS_SHARE = 1 / 3
OPEN_PER_SECOND = 20.0
WARM_SECONDS = 14.0
STEADY_SECONDS = 24.0
LEAVING_SECONDS = 6.0
OUT_SECONDS = 6.0
RETURNING_SECONDS = 12.0
REPLACE_SECONDS = 26.0
AFTER_SECONDS = 8.0
COLD_SECONDS = 3.0
OUTPUT = pathlib.Path("out")
SCENARIOS = ("domain", "cold", "replace")
STEADY = "steady"

GOAL_IMBALANCE_STEADY = 1.1
GOAL_IMBALANCE_RETURN = 1.3
GOAL_P99_FACTOR = 2.0
GOAL_CONFIGURATION_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Command-line options of one run."""

    site: str
    scenario: str
    seed: int
    domain: str
    """The failure domain that is taken out, or whose upstreams are replaced."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Experiment:
    """State of one run."""

    options: Options
    cluster: cluster_module.Cluster
    recorder: phases.Recorder
    store_link: fault_proxy.Link
    """Fault proxy between one balancer and the store."""
    log: invariants.ExecutionLog = dataclasses.field(
        default_factory=invariants.ExecutionLog
    )
    runs: list[phases.TimedExecution] = dataclasses.field(default_factory=list)
    configuration_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    """Time from the proposal of a change until it is active everywhere, by change."""


def scaled_site(name: str) -> site.Site:
    """Return a site whose service time matches ``REQUESTS_PER_SECOND``.

    At this rate, ``UTILISATION`` of all slots are busy on average.
    """
    plan = site.SITES[name]
    slots = sum(pool.hosts * pool.slots for pool in plan.pools)
    service_seconds = slots * UTILISATION / REQUESTS_PER_SECOND
    pools = tuple(
        dataclasses.replace(pool, service_seconds=service_seconds)
        for pool in plan.pools
    )
    return dataclasses.replace(plan, pools=pools)


def load_plans(plan: site.Site, seed: int) -> dict[str, load.LoadPlan]:
    """Return the load plan of each pool, in proportion to its hosts and slots."""
    plans = {}
    for pool in plan.pools:
        connections = pool.hosts * CONNECTIONS_PER_HOST // CONNECTION_SAMPLING
        requests_per_second = (
            pool.hosts * pool.slots / pool.service_seconds * UTILISATION
        )
        plans[pool.name] = load.LoadPlan(
            lines=connections,
            gets_per_second=requests_per_second / connections * (1 - POSTS_SHARE),
            posts_per_second=requests_per_second / connections * POSTS_SHARE,
            open_per_second=OPEN_PER_SECOND,
            seed=seed,
        )
    return plans


async def _apply_change(
    experiment: Experiment, name: str, request: operator_pb2.ChangeRequest
) -> None:
    """Apply one change and measure the time until it is active everywhere."""
    started = time.monotonic()
    await cluster_module.propose(experiment.cluster, request, wait=True)
    elapsed = time.monotonic() - started
    experiment.configuration_seconds[name] = elapsed


async def _set_domain(experiment: Experiment, state: _types.DomainState) -> None:
    edit = operator_pb2.SetDomain(name=experiment.options.domain, state=state)
    await _apply_change(
        experiment, f"domain {state}", operator_pb2.ChangeRequest(set_domain=edit)
    )


@contextlib.asynccontextmanager
async def _minimum_duration(seconds: float) -> abc.AsyncIterator[None]:
    """Wait at the end of the block until it has lasted the given time."""
    ends_at = trio.current_time() + seconds
    yield
    await trio.sleep_until(ends_at)


async def _change_while_disconnected(experiment: Experiment) -> None:
    """Change a pool while one balancer is disconnected from the store."""
    pool = experiment.cluster.plan.pools[0]
    edit = operator_pb2.SetPool(
        name=pool.name, lines_per_second=pool.lines_per_second + 1
    )
    experiment.store_link.disconnect()
    await _apply_change(
        experiment,
        "one balancer cut from the store",
        operator_pb2.ChangeRequest(set_pool=edit),
    )
    experiment.store_link.restore()


async def _collect_upstream_log(
    experiment: Experiment, host: cluster_module.Host
) -> None:
    """Read an upstream's log, which is lost when the upstream exits."""
    experiment.runs += await phases.read_executions(host)
    await invariants.read_upstream(experiment.log, host)


async def _restart_cold(experiment: Experiment, host: cluster_module.Host) -> None:
    """Restart an upstream and its sidecar; the upstream starts cold."""
    await processes.stop(host.sidecar)
    await _collect_upstream_log(experiment, host)
    await processes.kill(host.upstream)
    await processes.start(host.upstream)
    await controls.set_upstream(host, cold_seconds=COLD_SECONDS)
    await processes.start(host.sidecar)


def _hosts_in_selected_domain(experiment: Experiment) -> list[cluster_module.Host]:
    domain = experiment.options.domain
    return [host for host in experiment.cluster.hosts if host.domain == domain]


async def _for_each(
    items: list[typing.Any],
    perform: abc.Callable[[Experiment, typing.Any], abc.Awaitable[None]],
    experiment: typing.Any,
) -> None:
    async with trio.open_nursery() as nursery:
        for item in items:
            nursery.start_soon(perform, experiment, item)


async def _make_cold(experiment: Experiment, host: cluster_module.Host) -> None:
    await controls.request_json(host.upstream_address, "POST", "/standin/cold")


async def _wait_until_serving(
    experiment: Experiment, hosts: list[cluster_module.Host]
) -> None:
    """Wait until each balancer lists the hosts' sidecars as serving."""
    expected_addresses = {str(host.rpc) for host in hosts}

    def is_serving(fleet: fleet_status.FleetStatus) -> bool:
        return all(
            expected_addresses
            <= {
                member.rpc_address
                for member in reply.members
                if member.state == _types.MemberState.SERVING and not member.lost
            }
            for reply in fleet.replies
        )

    await cluster_module.wait_for(is_serving, experiment.cluster)


async def _take_domain_out_and_return(experiment: Experiment) -> None:
    """Take a failure domain out and return it to service."""
    recorder = experiment.recorder
    hosts = _hosts_in_selected_domain(experiment)
    is_cold = experiment.options.scenario == "cold"
    with phases.phase(recorder, "leaving", is_out=True):
        async with _minimum_duration(LEAVING_SECONDS):
            await _set_domain(experiment, _types.DomainState.OUT)
    with phases.phase(recorder, "out", is_out=True):
        async with _minimum_duration(OUT_SECONDS):
            if is_cold:
                await _for_each(hosts, _restart_cold, experiment)
                await _wait_until_serving(experiment, hosts)
    if is_cold:
        await _for_each(hosts, _make_cold, experiment)
    with phases.phase(recorder, "returning"):
        async with _minimum_duration(RETURNING_SECONDS):
            await _set_domain(experiment, _types.DomainState.IN)


async def _update_fabric_balancers(experiment: Experiment) -> None:
    """Send the list of running balancers to the fabric."""
    running_balancers = [
        (str(balancer.datagrams), str(balancer.health))
        for balancer in experiment.cluster.balancers
        if processes.is_running(balancer.process)
    ]
    await controls.send_fabric_command(experiment.cluster, balancers=running_balancers)


async def _replace_balancers(experiment: Experiment) -> None:
    """Replace each balancer in turn; the new one starts before the old one stops."""
    cluster = experiment.cluster
    for old in list(cluster.balancers):
        new = cluster.add_balancer(old.domain)
        await cluster_module.start_balancer(cluster, new)
        await _update_fabric_balancers(experiment)
        await processes.stop(old.process)
        await _update_fabric_balancers(experiment)


async def _replace_host(experiment: Experiment, old: cluster_module.Host) -> None:
    """Start a new upstream and sidecar, then stop the old sidecar and upstream."""
    cluster = experiment.cluster
    pool = next(pool for pool in cluster.plan.pools if pool.name == old.pool)
    new = cluster.add_host(pool, old.domain)
    await cluster_module.start_host(cluster, new)
    await processes.stop(old.sidecar)
    await _collect_upstream_log(experiment, old)
    await processes.kill(old.upstream)


async def _replace(experiment: Experiment) -> None:
    """Replace all balancers and one failure domain's upstreams at the same time."""
    recorder = experiment.recorder
    old_hosts = _hosts_in_selected_domain(experiment)
    with phases.phase(recorder, "replacing"):
        async with _minimum_duration(REPLACE_SECONDS), trio.open_nursery() as nursery:
            nursery.start_soon(_replace_balancers, experiment)
            nursery.start_soon(_for_each, old_hosts, _replace_host, experiment)
    for old in old_hosts:
        experiment.cluster.hosts.remove(old)
    with phases.phase(recorder, "after"):
        await trio.sleep(AFTER_SECONDS)


def _total_phase_seconds(scenario: str) -> float:
    """Return the minimum total duration of a scenario's phases plus a margin."""
    if scenario == "replace":
        return WARM_SECONDS + STEADY_SECONDS + REPLACE_SECONDS + AFTER_SECONDS + 2
    domain_seconds = LEAVING_SECONDS + OUT_SECONDS + RETURNING_SECONDS
    return WARM_SECONDS + STEADY_SECONDS + domain_seconds + 4


async def _run_phases(experiment: Experiment) -> None:
    recorder = experiment.recorder
    with phases.phase(recorder, "warm-up"):
        await trio.sleep(WARM_SECONDS)
    gc.freeze()
    with phases.phase(recorder, STEADY):
        async with _minimum_duration(STEADY_SECONDS):
            await _change_while_disconnected(experiment)
    if experiment.options.scenario == "replace":
        await _replace(experiment)
    else:
        await _take_domain_out_and_return(experiment)


async def _read_keyring(cluster: cluster_module.Cluster) -> keyring.Keyring:
    settings = settings_model.StoreSettings(address=cluster.store_address)
    async with etcd.open_store(settings) as store:
        key_set = await keys.read(store, prefix=settings.prefix)
    if key_set is None:
        raise RuntimeError(
            f"store {settings.address} contains no key set "
            f"under prefix {settings.prefix!r}"
        )
    return keyring.Keyring(key_set)


def _count_broken_flows_in_domain(
    experiment: Experiment, ring: keyring.Keyring, domain: str
) -> int:
    """Count the broken flows whose upstream is in the given failure domain."""
    tunnels = {
        host.tunnel for host in experiment.cluster.hosts if host.domain == domain
    }
    count = 0
    for report in experiment.recorder.load.reports.values():
        for broken_connection_id in report.broken_connection_ids:
            destination = connection_id.decode(ring, broken_connection_id)
            if destination is None:
                continue
            count += connection_id.tunnel_address(destination) in tunnels
    return count


def _phase_result(experiment: Experiment, phase: phases.Phase) -> dict[str, typing.Any]:
    pools: dict[str, typing.Any] = {}
    for pool, latency in phase.latency.items():
        runs = [run for run in experiment.runs if run.pool == pool]
        averages = phases.running_requests(phase, pool, runs)
        pools[pool] = {
            "latency_milliseconds": phases.quantiles(latency),
            "running": averages,
            "imbalance": phases.imbalance(averages),
        }
    total = phases.merge_histograms(list(phase.latency.values()))
    return {
        "name": phase.name,
        "seconds": phase.end - phase.start,
        "counts": phase.counts,
        "latency_milliseconds": phases.quantiles(total),
        "own_lag_milliseconds": phases.quantiles(phase.lag),
        "pools": pools,
    }


def _evaluate_goals(result: dict[str, typing.Any]) -> dict[str, dict[str, typing.Any]]:
    """Compare the measured figures with the goals."""
    by_name = {phase["name"]: phase for phase in result["phases"]}
    steady = by_name[STEADY]
    disturbed_phases = [
        phase
        for phase in result["phases"]
        if phase["name"] in ("leaving", "out", "returning", "replacing")
    ]
    worst_p99 = max(phase["latency_milliseconds"]["p99"] for phase in disturbed_phases)
    ratio = worst_p99 / steady["latency_milliseconds"]["p99"]

    def imbalance(name: str) -> float:
        return float(max(pool["imbalance"] for pool in by_name[name]["pools"].values()))

    figures = {
        "broken flows outside the domain": (result["broken_elsewhere"], 0),
        "violations (doubled, crossed, untrue)": (len(result["violations"]), 0),
        "imbalance steady": (imbalance(STEADY), GOAL_IMBALANCE_STEADY),
        "p99 moving over steady": (ratio, GOAL_P99_FACTOR),
        "configuration everywhere, s": (
            max(result["configuration_seconds"].values()),
            GOAL_CONFIGURATION_SECONDS,
        ),
    }
    if "returning" in by_name:
        figures["imbalance returning"] = (
            imbalance("returning"),
            GOAL_IMBALANCE_RETURN,
        )
    return {
        name: {"measured": measured, "goal": goal, "met": measured <= goal}
        for name, (measured, goal) in figures.items()
    }


async def _collect_result(
    experiment: Experiment, load_average: float
) -> dict[str, typing.Any]:
    for host in experiment.cluster.hosts:
        await _collect_upstream_log(experiment, host)
    running = experiment.recorder.load
    ring = await _read_keyring(experiment.cluster)
    broken = load.total(running, "broken_flows")
    in_domain = 0
    if experiment.options.scenario != "replace":
        in_domain = _count_broken_flows_in_domain(
            experiment, ring, experiment.options.domain
        )
    result: dict[str, typing.Any] = {
        **dataclasses.asdict(experiment.options),
        "lines_share": f"1 in {CONNECTION_SAMPLING}",
        "utilisation": UTILISATION,
        "load_average_before": load_average,
        "load_average_after": os.getloadavg()[0],
        "phases": [
            _phase_result(experiment, phase) for phase in experiment.recorder.phases
        ],
        "broken_in_domain": in_domain,
        "broken_elsewhere": broken - in_domain,
        "lost_answers": load.total(running, "timeouts")
        + load.total(running, "unresolved"),
        "refusals": load.refusals(running),
        "violations": invariants.violations(
            experiment.log, running, log_is_complete=True
        ),
        "configuration_seconds": experiment.configuration_seconds,
    }
    result["goals"] = _evaluate_goals(result)
    return result


def render(result: dict[str, typing.Any]) -> str:
    """Return the result as a text table."""
    lines = [
        f"{'phase':10} {'s':>5} {'answers':>8} {'refused':>8} {'broken':>7} "
        f"{'p50 ms':>8} {'p99 ms':>8} {'p99.9 ms':>9} {'own lag p99':>12}  imbalance"
    ]
    for phase in result["phases"]:
        latency, counts = phase["latency_milliseconds"], phase["counts"]
        imbalance = ", ".join(
            f"{pool} {figures['imbalance']:.2f}"
            for pool, figures in phase["pools"].items()
        )
        lines.append(
            f"{phase['name']:10} {phase['seconds']:5.1f} {counts['matches']:8} "
            f"{counts['refusals']:8} {counts['broken_flows']:7} {latency['p50']:8.1f} "
            f"{latency['p99']:8.1f} {latency['p99.9']:9.1f} "
            f"{phase['own_lag_milliseconds']['p99']:12.1f}  {imbalance}"
        )
    lines.append(
        f"Broken flows: {result['broken_in_domain']} of the domain taken out, "
        f"{result['broken_elsewhere']} others. Lost answers: "
        f"{result['lost_answers']}. Refusals: {result['refusals']}."
    )
    lines += [
        f"Active everywhere after {seconds:.2f} s: {name}."
        for name, seconds in result["configuration_seconds"].items()
    ]
    lines += [f"Violation: {violation}" for violation in result["violations"]]
    for name, goal in result["goals"].items():
        status = "met" if goal["met"] else "MISSED"
        lines.append(f"{status:6} {name}: {goal['measured']:.2f} (goal {goal['goal']})")
    return "\n".join(lines)


@contextlib.asynccontextmanager
async def _start_cluster(
    options: Options,
) -> abc.AsyncIterator[tuple[cluster_module.Cluster, fault_proxy.Link]]:
    """Start the site with a fault proxy between its second balancer and the store."""
    async with (
        cluster_module.open_cluster(scaled_site(options.site)) as cluster,
        fault_proxy.open_tcp_link(cluster.store_address) as link,
    ):
        cluster.store_endpoints[cluster.balancers[1].host] = link.address
        await cluster_module.start(cluster)
        yield cluster, link


async def run(options: Options) -> dict[str, typing.Any]:
    """Run one experiment and return its result."""
    load_average = os.getloadavg()[0]
    async with _start_cluster(options) as (cluster, link):
        plans = load_plans(cluster.plan, options.seed)
        seconds = _total_phase_seconds(options.scenario)
        async with load.run_load_by_pool(cluster, plans, seconds=seconds) as running:
            experiment = Experiment(
                options=options,
                cluster=cluster,
                recorder=phases.Recorder(cluster, running, options.domain),
                store_link=link,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(phases.measure_lag, experiment.recorder)
                await _run_phases(experiment)
                nursery.cancel_scope.cancel()
        return await _collect_result(experiment, load_average)


def write(result: dict[str, typing.Any]) -> pathlib.Path:
    """Write the result as JSON and return the file's path."""
    OUTPUT.mkdir(exist_ok=True)
    name = f"experiment-{result['site']}-{result['scenario']}-{result['seed']}.json"
    path = OUTPUT / name
    path.write_text(json.dumps(result, indent=2) + "\n")
    return path


def _parse_options() -> Options:
    parser = argparse.ArgumentParser(prog="testbed.experiment", description=__doc__)
    parser.add_argument("--site", choices=sorted(site.SITES), default="co-op")
    parser.add_argument("--scenario", choices=SCENARIOS, default="domain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--domain", default="", help="failure domain to take out or replace"
    )
    parsed = vars(parser.parse_args())
    parsed["domain"] = parsed["domain"] or site.SITES[parsed["site"]].domains[-1]
    return Options(**parsed)


def main() -> None:
    """Run the experiment that the command line selects and print its result."""
    result = trio.run(run, _parse_options())
    print(render(result))
    print(f"Written to {write(result)}.")


if __name__ == "__main__":
    main()
