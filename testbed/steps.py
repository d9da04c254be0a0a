"""Operator actions on a running site and waits for their effects.

Functions that change the configuration return its new revision.
"""

from collections import abc
import dataclasses
import functools
import uuid

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.ctl import client, fleet_status
from plantainproxy.rpc import operator_pb2
from testbed import cluster as cluster_module
from testbed import controls, processes

STATUS_TIMEOUT_SECONDS = 1.0


async def wait_until(condition: abc.Callable[[], bool]) -> None:
    """Poll until a condition holds; the caller sets the timeout."""
    while not condition():
        await trio.sleep(cluster_module.POLL_SECONDS)


async def status(
    cluster: cluster_module.Cluster, balancer: cluster_module.Balancer
) -> operator_pb2.StatusReply | None:
    """Return the status reply of one balancer, or ``None`` if the call fails."""
    settings = dataclasses.replace(
        cluster.client_settings(), call_timeout_seconds=STATUS_TIMEOUT_SECONDS
    )
    query = functools.partial(fleet_status.query_status, settings, balancer.rpc)
    return await trio.to_thread.run_sync(query)


async def wait_until_revision(
    cluster: cluster_module.Cluster,
    revision: int,
    balancers: abc.Sequence[cluster_module.Balancer] | None = None,
) -> float:
    """Wait until a revision is active on balancers; return the seconds it took.

    ``balancers`` defaults to all balancers of the site.
    """
    started_at = trio.current_time()
    for balancer in cluster.balancers if balancers is None else balancers:
        while True:
            reply = await status(cluster, balancer)
            if reply is not None and reply.revision >= revision:
                break
            await trio.sleep(cluster_module.POLL_SECONDS)
    return trio.current_time() - started_at


async def wait_until_store_is(
    cluster: cluster_module.Cluster, balancer: cluster_module.Balancer, *, state: str
) -> None:
    """Wait until a balancer reports the store as ``state``.

    ``state`` is ``reachable`` or ``unreachable``.
    """
    while True:
        reply = await status(cluster, balancer)
        if reply is not None and reply.store == state:
            return
        await trio.sleep(cluster_module.POLL_SECONDS)


async def wait_until_seat_holder(
    cluster: cluster_module.Cluster, balancer: cluster_module.Balancer
) -> None:
    """Wait until a balancer holds a seat, so that it watches the store directly."""
    while True:
        reply = await status(cluster, balancer)
        if reply is not None and reply.seat_holder:
            return
        await trio.sleep(cluster_module.POLL_SECONDS)


async def set_domain(
    cluster: cluster_module.Cluster,
    name: str,
    *,
    out: bool,
    through: cluster_module.Balancer | None = None,
) -> int:
    """Take a failure domain out of service or put it back."""
    state = _types.DomainState.OUT if out else _types.DomainState.IN
    edit = operator_pb2.SetDomain(name=name, state=state.value)
    request = operator_pb2.ChangeRequest(set_domain=edit)
    return await cluster_module.propose(cluster, request, through=through)


async def set_drained(
    cluster: cluster_module.Cluster, host: cluster_module.Host, *, drained: bool
) -> int:
    """Start or end the drain of an upstream."""
    edit = operator_pb2.SetDrained(upstream=str(host.tunnel), drained=drained)
    request = operator_pb2.ChangeRequest(set_drained=edit)
    return await cluster_module.propose(cluster, request)


async def set_pool(
    cluster: cluster_module.Cluster,
    name: str,
    *,
    max_running: int,
    through: cluster_module.Balancer | None = None,
) -> int:
    """Change the limit on concurrent requests of each upstream of a pool."""
    edit = operator_pb2.SetPool(name=name, max_running=max_running)
    request = operator_pb2.ChangeRequest(set_pool=edit)
    return await cluster_module.propose(cluster, request, through=through)


async def set_route(
    cluster: cluster_module.Cluster, name: str, address: _types.Address, pool: str
) -> int:
    """Add a route or change its address and pool."""
    edit = operator_pb2.SetRoute(name=name, address=str(address), pool=pool)
    request = operator_pb2.ChangeRequest(set_route=edit)
    return await cluster_module.propose(cluster, request)


async def remove_route(cluster: cluster_module.Cluster, name: str) -> int:
    """Remove the route with the given name."""
    edit = operator_pb2.RemoveRoute(name=name)
    request = operator_pb2.ChangeRequest(remove_route=edit)
    return await cluster_module.propose(cluster, request)


async def rotate_keys(cluster: cluster_module.Cluster) -> str:
    """Do one step of a key rotation, wait until it is active and return the step."""
    settings = cluster.client_settings()
    request = operator_pb2.RotateKeysRequest(
        operator=settings.operator, change_id=uuid.uuid4().hex
    )

    def run() -> str:
        reply = client.call_any(
            settings,
            lambda stub: stub.RotateKeys(
                request, timeout=settings.call_timeout_seconds
            ),
        )
        fleet_status.wait_until_active(
            settings, reply.key_revision, revisions_of=fleet_status.key_revisions
        )
        return str(reply.step)

    return await trio.to_thread.run_sync(run)


async def set_fabric_balancers(
    cluster: cluster_module.Cluster, balancers: abc.Sequence[cluster_module.Balancer]
) -> None:
    """Configure the balancers of the fabric and wait until it sends to all of them."""
    pairs = [(str(balancer.datagrams), str(balancer.health)) for balancer in balancers]
    await controls.send_fabric_command(cluster, balancers=pairs)
    await wait_until_healthy(cluster, balancers)


async def wait_until_healthy(
    cluster: cluster_module.Cluster, balancers: abc.Sequence[cluster_module.Balancer]
) -> None:
    """Wait until the fabric's healthy balancers are exactly the given ones."""
    expected = {str(balancer.datagrams) for balancer in balancers}
    while set((await controls.send_fabric_command(cluster))["healthy"]) != expected:
        await trio.sleep(cluster_module.POLL_SECONDS)


async def outcome_of(
    change: abc.Callable[[], abc.Awaitable[int]],
) -> int | _exceptions.ErrorKind:
    """Return the revision of an accepted change or the error kind of a refused one."""
    try:
        return await change()
    except _exceptions.PlantainError as error:
        return error.kind


async def propose_concurrently(
    cluster: cluster_module.Cluster,
    requests: abc.Sequence[operator_pb2.ChangeRequest],
    *,
    through: abc.Sequence[cluster_module.Balancer],
) -> list[int | _exceptions.ErrorKind]:
    """Propose changes concurrently, each through its own balancer."""
    outcomes: dict[int, int | _exceptions.ErrorKind] = {}

    async def run(index: int) -> None:
        outcomes[index] = await outcome_of(
            lambda: cluster_module.propose(
                cluster, requests[index], through=through[index]
            )
        )

    async with trio.open_nursery() as nursery:
        for index in range(len(requests)):
            nursery.start_soon(run, index)
    return [outcomes[index] for index in range(len(requests))]


async def newest_revision(cluster: cluster_module.Cluster) -> int:
    """Return the newest revision that is active on any balancer."""
    fleet = await cluster_module.query_fleet(cluster)
    return max(reply.revision for reply in fleet.replies)


async def wait_until_sidecars_have(
    cluster: cluster_module.Cluster, revision: int
) -> float:
    """Wait until all running sidecars have a revision; return the seconds it took."""
    started_at = trio.current_time()
    sidecar_addresses = {
        str(host.rpc) for host in cluster.hosts if processes.is_running(host.sidecar)
    }
    while True:
        sidecar_revisions = fleet_status.revisions(
            await cluster_module.query_fleet(cluster)
        )
        if all(
            sidecar_revisions.get(address, 0) >= revision
            for address in sidecar_addresses
        ):
            return trio.current_time() - started_at
        await trio.sleep(cluster_module.POLL_SECONDS)
