"""The ``plantain-sidecar`` program."""

import collections
from collections import abc
import dataclasses
import functools
import logging
import random

import fire
import trio

from plantainproxy import _daemon, _lifecycle, _types
from plantainproxy.core import admission, pauses
from plantainproxy.membership import sidecar as membership
from plantainproxy.rpc import bridge, messages, methods
from plantainproxy.settings import check, model
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import components as sidecar_components
from plantainproxy.sidecar import (
    connections,
    context,
    inbox,
    requests,
    tunnel,
    updates,
    upstream,
)
from plantainproxy.telemetry import loop_lag, metrics, names

logger = logging.getLogger("plantain.sidecar")

SERVER_WORKERS = 96
"""Threads of the gRPC server; each running call from a sibling occupies one."""
DRAIN_ANNOUNCEMENT_SECONDS = 1.0
"""Time for other members to receive the record with the draining state."""
LEAVE_SECONDS = 1.0
"""End of the grace that is kept for leaving the members and closing the server."""


def _handlers(
    components: sidecar_components.Components,
) -> dict[methods.Method, bridge.Handler]:
    async def execute(request: messages.ExecuteRequest) -> messages.ExecuteReply:
        return await requests.handle_execute(
            components.state, components.ports, request
        )

    async def claim(request: messages.ClaimRequest) -> messages.ClaimReply:
        return claim_calls.handle_claim(
            components.state.table,
            components.state.ring,
            request,
            now=trio.current_time(),
        )

    async def settle(request: messages.SettleRequest) -> messages.SettleReply:
        return claim_calls.handle_settle(components.state.table, request)

    return {
        methods.Method.EXECUTE: execute,
        methods.Method.CLAIM: claim,
        methods.Method.SETTLE: settle,
    }


async def _drain_and_stop(components: sidecar_components.Components) -> None:
    """Announce draining, wait for it to spread, then begin the planned stop.

    No new connections are accepted from the start; existing connections and requests
    get the remaining grace.
    """
    grace_seconds = components.settings.grace_seconds
    components.state.stopping = True
    membership.update_record(
        components.announcer, member_state=_types.MemberState.DRAINING
    )
    await components.connections.send.send(inbox.Drain(draining=True))
    announcement_seconds = min(DRAIN_ANNOUNCEMENT_SECONDS, grace_seconds / 2)
    await trio.sleep(announcement_seconds)
    await components.connections.send.send(
        inbox.Stop(grace_seconds=grace_seconds - announcement_seconds)
    )


def _counters(components: sidecar_components.Components) -> abc.Mapping[str, float]:
    refusals = {
        f"refusals.{kind}": count for kind, count in components.refusals.items()
    }
    return {**dataclasses.asdict(components.connections.counters), **refusals}


def _gauges(components: sidecar_components.Components) -> abc.Mapping[str, float]:
    state, quic_endpoint = components.state, components.connections.endpoint
    view = state.view
    max_running = 1 if view is None or view.pool is None else view.pool.max_running
    limit = admission.limit(
        state.admission_state, max_running=max_running, now=trio.current_time()
    )
    return {
        "lines": 0 if quic_endpoint is None else len(quic_endpoint.connections),
        "running": state.admission_state.running,
        "admission_limit": limit,
        "available": admission.is_available(state.admission_state),
        "claims": len(state.table.entries),
        "connected": membership.is_connected(components.announcer),
        "revision": 0 if view is None else view.revision,
        "key_revision": 0 if state.ring is None else state.ring.revision,
    }


async def _report_metrics(components: sidecar_components.Components) -> None:
    await metrics.report(
        components.settings.telemetry,
        part=names.Part.SIDECAR,
        instance=components.settings.rpc_address,
        counters=lambda: _counters(components),
        gauges=lambda: _gauges(components),
    )


async def _detect_pauses(components: sidecar_components.Components) -> None:
    while True:
        pauses.record_run(components.state.pause_detector, now=pauses.clock())
        await trio.sleep(pauses.CHECK_INTERVAL_SECONDS)


async def _run_components(
    components: sidecar_components.Components,
    lifecycle: _lifecycle.Lifecycle,
    pool: upstream.ConnectionPool,
) -> None:
    """Serve until the planned stop has finished."""
    settings = components.settings
    async with (
        bridge.serve(
            settings.rpc_address,
            _handlers(components),
            tls=settings.tls,
            workers=SERVER_WORKERS,
            grace_seconds=settings.grace_seconds,
        ),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(
            upstream.poll_health,
            pool,
            functools.partial(context.apply_health_report, components.state),
        )
        nursery.start_soon(membership.run, components.announcer)
        nursery.start_soon(
            updates.forward_updates,
            updates.Recipients(
                announcer=components.announcer,
                state=components.state,
                connections=components.connections.send,
            ),
        )
        nursery.start_soon(_report_metrics, components)
        nursery.start_soon(_detect_pauses, components)
        nursery.start_soon(loop_lag.monitor)
        nursery.start_soon(_stop_on_signal, components, lifecycle)
        logger.info("Started for pool %s.", settings.pool)
        print(f"ready {settings.tunnel_address}", flush=True)
        await connections.run(components.connections)
        await claim_calls.wait_for_open_keys(
            components.state.table,
            until=lifecycle.stop_requested_at + settings.grace_seconds - LEAVE_SECONDS,
        )
        await membership.leave(components.announcer)
        nursery.cancel_scope.cancel()
    logger.info("Stopped.")


async def _stop_on_signal(
    components: sidecar_components.Components, lifecycle: _lifecycle.Lifecycle
) -> None:
    await lifecycle.stopping.wait()
    await _drain_and_stop(components)


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: abc.Callable[[], model.SidecarSettings]
) -> None:
    settings = read()
    record = sidecar_components.local_record(settings)
    state = sidecar_components.make_state(settings, record)
    with (
        tunnel.open_socket(settings.tunnel_address) as tunnel_socket,
        upstream.open_connection_pool(settings.upstream_address) as pool,
    ):
        async with (
            bridge.open_client(settings.tls) as client,
            trio.open_nursery() as claimed_nursery,
        ):
            ports = sidecar_components.make_ports(client, pool, claimed_nursery)
            announcer = membership.Announcer(
                record,
                client=client,
                seeds=settings.seeds,
                interval_seconds=settings.heartbeat_interval_seconds,
                rng=random.Random(),
            )
            refusals: sidecar_components.RefusalCounts = collections.Counter()
            connection_ports = sidecar_components.make_connection_ports(
                state, ports, refusals
            )
            components = sidecar_components.Components(
                settings=settings,
                announcer=announcer,
                state=state,
                ports=ports,
                connections=sidecar_components.make_connections(
                    settings, record.generation, tunnel_socket, connection_ports
                ),
                refusals=refusals,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_daemon.reload_forever, lifecycle, settings, read)
                await _run_components(components, lifecycle, pool)
                nursery.cancel_scope.cancel()
            # Requests with a claimed key finish and settle within the grace, even if
            # their callers have disconnected.
            stop_by = lifecycle.stop_requested_at + settings.grace_seconds
            claimed_nursery.cancel_scope.deadline = stop_by


def run(settings: str, check_only: bool = False) -> None:
    """Terminate callers' connections and run their requests on one upstream.

    --settings is the path of the TOML file; --check-only validates it and exits.
    """
    _daemon.run(
        settings,
        check_only=check_only,
        settings_type=model.SidecarSettings,
        check=check.check_sidecar,
        body=_run,
    )


def main() -> None:
    """Run the command-line interface of the process."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
