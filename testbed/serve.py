"""Runs a small site with fixed addresses until it is interrupted.

It writes the files that an operator needs into one directory: the settings of
``plantainctl`` and of each process, the configuration, and the process IDs. The last
balancer has a settings file but is not started, so that an operator can use it to
replace another balancer.
"""

import argparse
import dataclasses
import pathlib
import signal

import trio

from plantainproxy.config import parse
from testbed import cluster as cluster_module
from testbed import processes, site

DEFAULT_DIRECTORY = "out/site"
DEFAULT_NETWORK = "127.30.0"
SPARE_BALANCERS = 1
PLAN = dataclasses.replace(site.SMALL, balancers=site.SMALL.balancers + SPARE_BALANCERS)


def _write_operator_files(cluster: cluster_module.Cluster) -> None:
    balancers = ", ".join(f'"{balancer.rpc}"' for balancer in cluster.balancers)
    settings = cluster.directory / "plantainctl.toml"
    settings.write_text(f'balancers = [{balancers}]\noperator = "operator"\n')
    configuration = cluster.directory / "configuration.toml"
    configuration.write_text(parse.render(cluster_module.build_configuration(cluster)))
    for balancer in cluster.balancers[-SPARE_BALANCERS:]:
        cluster_module.write_balancer_settings(cluster, balancer)


def _write_process_ids(cluster: cluster_module.Cluster) -> None:
    for process in cluster.processes:
        if process.handle is not None:
            path = cluster.directory / f"{process.name}.pid"
            path.write_text(f"{process.handle.pid}\n")


async def serve(directory: pathlib.Path, network: str) -> None:
    """Start the site and stop it at the first SIGINT or SIGTERM."""
    directory.mkdir(parents=True, exist_ok=True)
    cluster = cluster_module.Cluster(PLAN, directory.resolve(), network)
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with (
            processes.kill_on_exit(cluster.processes),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(_run, cluster)
            await anext(aiter(signals))
            nursery.cancel_scope.cancel()


async def _run(cluster: cluster_module.Cluster) -> None:
    print("Starting the site.", flush=True)
    await cluster_module.start(cluster, spare_balancers=SPARE_BALANCERS)
    _write_operator_files(cluster)
    _write_process_ids(cluster)
    for pool, address in cluster.services.items():
        print(f"Service address of {pool}: {address}")
    print(f"ready {cluster.directory}", flush=True)


def main() -> None:
    """Parse the command line and run the site."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--directory", default=DEFAULT_DIRECTORY)
    parser.add_argument(
        "--network",
        default=DEFAULT_NETWORK,
        help="the first three octets of every address; must be a loopback network",
    )
    arguments = parser.parse_args()
    trio.run(serve, pathlib.Path(arguments.directory), arguments.network)


if __name__ == "__main__":
    main()
