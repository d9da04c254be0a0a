"""Mutual TLS between all processes and from operators."""

import dataclasses
import pathlib
import subprocess
import sys

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.ctl import client, fleet_status
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model
from standins import certificates
from testbed import cluster as cluster_module
from testbed import load, processes, site

TEST_TIMEOUT_SECONDS = 120
LOAD_SECONDS = 2.0
PLAN = site.Site(
    domains=("a",),
    pools=(site.PoolPlan(name="mowers", hosts=2, slots=2),),
    balancers=2,
)
INVALID_SETTINGS = _exceptions.ANSWERS[_exceptions.ErrorKind.INVALID_SETTINGS].exit_code


def _foreign_credentials(
    directory: pathlib.Path, trusted_authority: pathlib.Path
) -> model.Tls:
    """Return settings that trust the site but use another authority's certificate."""
    other_authority = certificates.write_authority(directory, name="other-authority")
    files = certificates.issue(other_authority, directory, name="stranger")
    return model.Tls(
        certificate_file=str(files.certificate),
        private_key_file=str(files.private_key),
        authority_file=str(trusted_authority),
    )


def _assert_rejected(settings: model.ClientSettings) -> None:
    with pytest.raises(_exceptions.PlantainError) as caught:
        client.show(settings)
    assert caught.value.kind is _exceptions.ErrorKind.PEER_UNAVAILABLE


async def _scenario() -> None:
    async with cluster_module.open_cluster(PLAN) as cluster:
        cluster_module.enable_tls(cluster)
        await cluster_module.start(cluster)
        drained = operator_pb2.SetDrained(
            upstream=str(cluster.hosts[0].tunnel), drained=True
        )
        request = operator_pb2.ChangeRequest(set_drained=drained)
        await cluster_module.propose(cluster, request, wait=True)
        plan = load.LoadPlan(lines=2, seed=5)
        async with load.run_load(cluster, plan, seconds=LOAD_SECONDS) as running_load:
            pass
        assert load.total(running_load, "matches") > 0
        fleet = await cluster_module.query_fleet(cluster)
        assert len(fleet.replies) == PLAN.balancers
        assert fleet_status.lagging(fleet, 2) == []
        settings = cluster.client_settings()
        assert cluster.authority is not None
        foreign_tls = _foreign_credentials(cluster.directory, cluster.authority.file)
        for tls in (model.Tls(), foreign_tls):
            rejected_settings = dataclasses.replace(
                settings, tls=tls, call_timeout_seconds=2.0
            )
            await trio.to_thread.run_sync(_assert_rejected, rejected_settings)


def test_processes_and_operators_authenticate_by_certificate() -> None:
    """A site works over TLS; clients without a certificate of the site are rejected."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)


def test_plaintext_beyond_loopback_is_refused_at_start(tmp_path: pathlib.Path) -> None:
    """A process without a certificate does not listen beyond loopback."""
    path = tmp_path / "balancer.toml"
    path.write_text(
        'domain = "a"\n'
        'datagram_address = "127.0.0.1:0"\n'
        'rpc_address = "192.0.2.1:7001"\n'
        'health_address = "127.0.0.1:0"\n'
        '[store]\naddress = "127.0.0.1:1"\n'
    )
    result = subprocess.run(
        [sys.executable, "-m", "plantainproxy.balancer.main", f"--settings={path}"],
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_SECONDS,
    )
    assert result.returncode == INVALID_SETTINGS
    assert "192.0.2.1:7001 is not loopback" in result.stderr
