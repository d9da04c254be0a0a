"""The ``plantain-sidecar`` binary."""

import collections
from collections import abc
import dataclasses
import functools
import logging
import random

import fire
import trio

from plantainproxy import _daemon, _lifecycle, _types
from plantainproxy.core import admission
from plantainproxy.membership import sidecar as membership
from plantainproxy.rpc import bridge, messages, methods
from plantainproxy.settings import check, model
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import (
    context,
    inbox,
    lines,
    news,
    requests,
    tunnel,
    upstream,
)
from plantainproxy.sidecar import parts as sidecar_parts
from plantainproxy.telemetry import metrics, names

logger = logging.getLogger("plantain.sidecar")

SERVER_WORKERS = 96
"""Calls of siblings that are served at once; each request of a sibling holds one."""
HANDOVER_SECONDS = 1.0
"""How long others may need to learn that we take no new work."""


def _handlers(parts: sidecar_parts.Parts) -> dict[methods.Method, bridge.Handler]:
    async def execute(request: messages.ExecuteRequest) -> messages.ExecuteReply:
        return await requests.handle_execute(parts.state, parts.ports, request)

    async def claim(request: messages.ClaimRequest) -> messages.ClaimReply:
        return claim_calls.handle_claim(
            parts.state.table, parts.state.ring, request, now=trio.current_time()
        )

    async def settle(request: messages.SettleRequest) -> messages.SettleReply:
        return claim_calls.handle_settle(parts.state.table, request)

    return {
        methods.Method.EXECUTE: execute,
        methods.Method.CLAIM: claim,
        methods.Method.SETTLE: settle,
    }


async def _leave(parts: sidecar_parts.Parts) -> None:
    """Take no new work, let others notice, and let lines and requests end."""
    grace_seconds = parts.settings.grace_seconds
    parts.state.stopping = True
    membership.change(parts.announcer, member_state=_types.MemberState.DRAINING)
    await parts.lines.send.send(inbox.Drain(draining=True))
    handover_seconds = min(HANDOVER_SECONDS, grace_seconds / 2)
    await trio.sleep(handover_seconds)
    await parts.lines.send.send(
        inbox.Stop(grace_seconds=grace_seconds - handover_seconds)
    )


def _counters(parts: sidecar_parts.Parts) -> abc.Mapping[str, float]:
    refusals = {f"refusals.{kind}": count for kind, count in parts.refusals.items()}
    return {**dataclasses.asdict(parts.lines.counters), **refusals}


def _gauges(parts: sidecar_parts.Parts) -> abc.Mapping[str, float]:
    state, held = parts.state, parts.lines.endpoint
    view = state.view
    max_running = 1 if view is None or view.pool is None else view.pool.max_running
    limit = admission.limit(
        state.admission_state, max_running=max_running, now=trio.current_time()
    )
    return {
        "lines": 0 if held is None else len(held.lines),
        "running": state.admission_state.running,
        "admission_limit": limit,
        "available": admission.is_available(state.admission_state),
        "claims": len(state.table.entries),
        "connected": membership.is_connected(parts.announcer),
        "revision": 0 if view is None else view.revision,
        "key_revision": 0 if state.ring is None else state.ring.revision,
    }


async def _report_metrics(parts: sidecar_parts.Parts) -> None:
    await metrics.report(
        parts.settings.telemetry,
        part=names.Part.SIDECAR,
        instance=parts.settings.rpc_address,
        counters=lambda: _counters(parts),
        gauges=lambda: _gauges(parts),
    )


async def _run_parts(
    parts: sidecar_parts.Parts, lifecycle: _lifecycle.Lifecycle, pool: upstream.Pool
) -> None:
    """Serve until the planned stop has ended."""
    settings = parts.settings
    async with (
        bridge.serve(
            settings.rpc_address,
            _handlers(parts),
            tls=settings.tls,
            workers=SERVER_WORKERS,
            grace_seconds=settings.grace_seconds,
        ),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(
            upstream.poll_health,
            pool,
            functools.partial(context.update_health, parts.state),
        )
        nursery.start_soon(membership.run, parts.announcer)
        nursery.start_soon(
            news.follow,
            news.Readers(
                announcer=parts.announcer, state=parts.state, lines=parts.lines.send
            ),
        )
        nursery.start_soon(_report_metrics, parts)
        nursery.start_soon(_stop_when_asked, parts, lifecycle)
        logger.info("Started for pool %s.", settings.pool)
        print(f"ready {settings.tunnel_address}", flush=True)
        await lines.run(parts.lines)
        await membership.leave(parts.announcer)
        nursery.cancel_scope.cancel()
    logger.info("Stopped.")


async def _stop_when_asked(
    parts: sidecar_parts.Parts, lifecycle: _lifecycle.Lifecycle
) -> None:
    await lifecycle.stopping.wait()
    await _leave(parts)


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: abc.Callable[[], model.SidecarSettings]
) -> None:
    settings = read()
    record = sidecar_parts.own_record(settings)
    state = sidecar_parts.make_state(settings, record)
    with (
        tunnel.open_socket(settings.tunnel_address) as bound,
        upstream.open_pool(settings.upstream_address) as pool,
    ):
        async with (
            bridge.open_client(settings.tls) as client,
            trio.open_nursery() as claimed,
        ):
            ports = sidecar_parts.make_ports(client, pool, claimed)
            announcer = membership.Announcer(
                record,
                client=client,
                seeds=settings.seeds,
                interval_seconds=settings.heartbeat_interval_seconds,
                rng=random.Random(),
            )
            refusals: sidecar_parts.Refusals = collections.Counter()
            line_ports = sidecar_parts.line_ports(state, ports, refusals)
            parts = sidecar_parts.Parts(
                settings=settings,
                announcer=announcer,
                state=state,
                ports=ports,
                lines=sidecar_parts.make_lines(
                    settings, record.generation, bound, line_ports
                ),
                refusals=refusals,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_daemon.reload_forever, lifecycle, settings, read)
                await _run_parts(parts, lifecycle, pool)
                nursery.cancel_scope.cancel()
            # Commands whose callers have gone still finish and settle in the grace.
            stop_by = lifecycle.stop_requested_at + settings.grace_seconds
            claimed.cancel_scope.deadline = stop_by


def run(settings: str, check_only: bool = False) -> None:
    """Serve the callers of one upstream.

    --settings names the TOML file; --check-only reads and checks it and ends.
    """
    _daemon.run(
        settings,
        check_only=check_only,
        settings_type=model.SidecarSettings,
        check=check.check_sidecar,
        body=_run,
    )


def main() -> None:
    """Run the process's own command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
