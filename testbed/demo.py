"""End-to-end demo; run it with ``python -m testbed.demo``.

It starts 3 balancers and 2 pools of 3 upstreams in 3 failure domains, keeps callers
connected, changes a pool and adds a route under traffic, and prints a summary table.
"""

import argparse

import trio

from plantainproxy.rpc import operator_pb2
from testbed import cluster as cluster_module
from testbed import load, site

SECONDS = 15.0
LINES = 12


async def _change_under_traffic(cluster: cluster_module.Cluster) -> None:
    """Change the limit of a pool and add a route while callers send requests."""
    await trio.sleep(SECONDS / 3)
    print("Changing max_running of pool firmware to 4.", flush=True)
    pool = operator_pb2.SetPool(name="firmware", max_running=4)
    await cluster_module.propose(
        cluster, operator_pb2.ChangeRequest(set_pool=pool), wait=True
    )
    await trio.sleep(SECONDS / 4)
    print("Adding route fleet-control-2 to pool fleet-control.", flush=True)
    route = operator_pb2.SetRoute(
        name="fleet-control-2",
        address=f"{cluster.allocate_host()}:{cluster_module.SERVICE_PORT}",
        pool="fleet-control",
    )
    await cluster_module.propose(
        cluster, operator_pb2.ChangeRequest(set_route=route), wait=True
    )
    print("Both changes are active in all processes.", flush=True)


async def _show_progress(active_load: load.Load) -> None:
    while True:
        await trio.sleep(SECONDS / 5)
        responses = load.total(active_load, "matches")
        broken = load.total(active_load, "broken_flows")
        print(f"{responses} complete responses, {broken} broken flows.", flush=True)


async def _print_table(cluster: cluster_module.Cluster, active_load: load.Load) -> None:
    executions = await load.executions_by_upstream(cluster)
    print(
        f"{'pool':16} {'lines':>6} {'broken':>7} {'answers':>8} {'wrong':>6}", end=" "
    )
    print(f"{'refused':>8} {'p50 ms':>8} {'p99 ms':>8} {'max/mean':>9}")
    for pool, report in active_load.reports.items():
        wrong = report.counts["mismatched"] + report.counts["truncated"]
        pool_executions = {
            name: n for name, n in executions.items() if name.startswith(pool)
        }
        print(
            f"{pool:16} {report.counts['lines_opened']:6} "
            f"{report.counts['broken_flows']:7} {report.counts['matches']:8} "
            f"{wrong:6} {sum(report.refusals.values()):8} "
            f"{report.latency.get_value_at_percentile(50) / 1000:8.1f} "
            f"{report.latency.get_value_at_percentile(99) / 1000:8.1f} "
            f"{load.imbalance(pool_executions):9.2f}"
        )


async def run(plan: site.Site) -> None:
    """Start the site, run callers during two changes and print the table."""
    print("Starting the site.", flush=True)
    async with cluster_module.running_cluster(plan) as cluster:
        print("The site serves; callers open their connections.", flush=True)
        async with (
            load.run_load(
                cluster, load.LoadPlan(lines=LINES), seconds=SECONDS
            ) as active_load,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(_show_progress, active_load)
            await _change_under_traffic(cluster)
            nursery.cancel_scope.cancel()
        await _print_table(cluster, active_load)


def main() -> None:
    """Parse the command line and run the demo on the small site."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    trio.run(run, site.SMALL)


if __name__ == "__main__":
    main()
