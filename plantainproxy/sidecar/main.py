"""The ``plantain-sidecar`` binary."""

import collections
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import functools
import logging
import random
import socket
import time
from typing import Any

import fire
import trio

from plantainproxy import _daemon, _exceptions, _lifecycle, _types
from plantainproxy.core import admission, claims, problem, tickets
from plantainproxy.membership import sidecar as membership
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import bridge, messages, methods
from plantainproxy.settings import check, model
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import (
    context,
    inbox,
    line_state,
    lines,
    news,
    requests,
    tunnel,
    upstream,
)
from plantainproxy.telemetry import metrics, names
from plantainproxy.wire import keyring

logger = logging.getLogger("plantain.sidecar")

LINE_IDLE_SECONDS = 30.0
"""A line without any packet for this time is dropped."""
SERVER_WORKERS = 96
"""Calls of siblings that are served at once; each request of a sibling holds one."""
HANDOVER_SECONDS = 1.0
"""How long others may need to learn that we take no new work."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The parts of one running sidecar."""

    settings: model.SidecarSettings
    generation: int
    announcer: membership.Announcer
    state: context.State
    ports: context.Ports
    lines: line_state.Lines
    refusals: "Refusals"


Refusals = collections.Counter[_exceptions.ErrorKind]
"""How often callers were answered with each error kind."""


def _own_record(settings: model.SidecarSettings) -> _types.MemberRecord:
    return _types.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=settings.rpc_address,
        domain=settings.domain,
        generation=int(time.time() * 1000),
        sequence=1,
        pool=settings.pool,
        tunnel=settings.tunnel_address,
        weight=settings.weight,
    )


def _make_state(
    settings: model.SidecarSettings, record: _types.MemberRecord
) -> context.State:
    return context.State(
        own=settings.rpc_address,
        table=claims.Table(
            home=settings.rpc_address,
            generation=record.generation,
            tag=tickets.pool_tag(settings.pool),
        ),
        max_body_bytes=settings.max_body_bytes,
        default_timeout_seconds=settings.default_timeout_seconds,
    )


def _peer_call(
    client: bridge.Client, method: methods.Method
) -> Callable[[_types.Address, Any, float], Awaitable[Any]]:
    async def call(
        address: _types.Address, request: Any, timeout_seconds: float
    ) -> Any:
        return await bridge.call(
            client, address, method, request, timeout_seconds=timeout_seconds
        )

    return call


def _execute_call(
    client: bridge.Client,
) -> Callable[
    [_types.Address, messages.ExecuteRequest, float],
    Awaitable[messages.ExecuteReply],
]:
    """Return the call to a sibling, which tells what was surely not sent."""

    async def call(
        address: _types.Address,
        request: messages.ExecuteRequest,
        timeout_seconds: float,
    ) -> messages.ExecuteReply:
        try:
            reply: messages.ExecuteReply = await bridge.call(
                client,
                address,
                methods.Method.EXECUTE,
                request,
                timeout_seconds=timeout_seconds,
                connect_first=True,
            )
        except bridge.NotSentError as error:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.NO_UPSTREAM, error.detail
            ) from None
        return reply

    return call


def _make_ports(
    client: bridge.Client, pool: upstream.Pool, nursery: trio.Nursery
) -> context.Ports:
    return context.Ports(
        run=upstream.runner(pool),
        execute=_execute_call(client),
        claims=claim_calls.Ports(
            claim=_peer_call(client, methods.Method.CLAIM),
            settle=_peer_call(client, methods.Method.SETTLE),
        ),
        start_soon=nursery.start_soon,
        random=random.random,
    )


def _allow_line(state: context.State, now: float) -> bool:
    """Take one new line from the admission rate of the own upstream."""
    if state.view is None or state.view.pool is None:
        return False
    pool = state.view.pool
    return admission.allow_line(
        state.admission_state,
        lines_per_second=pool.lines_per_second,
        max_running=pool.max_running,
        now=now,
    )


def _line_ports(
    state: context.State, ports: context.Ports, refusals: Refusals
) -> line_state.Ports:
    async def handle(event: events.RequestReceived) -> messages.Response:
        response = await requests.handle(
            state, ports, event.request, service=event.service
        )
        if response.error is not None:
            refusals[response.error] += 1
        return response

    def refuse(kind: _exceptions.ErrorKind, detail: str) -> messages.Response:
        refusals[kind] += 1
        return problem.response(kind, detail)

    return line_state.Ports(
        handle=handle,
        refuse=refuse,
        extra_headers=lambda: context.ticket_headers(state),
        allow_line=functools.partial(_allow_line, state),
    )


def _make_lines(
    settings: model.SidecarSettings,
    generation: int,
    bound: socket.socket,
    line_ports: line_state.Ports,
) -> line_state.Lines:
    configuration = connection.server_configuration(
        certificate_file=settings.certificate_file,
        private_key_file=settings.private_key_file,
        idle_timeout_seconds=LINE_IDLE_SECONDS,
        max_body_bytes=settings.max_body_bytes,
    )
    limits = http3.Limits(max_body_bytes=settings.max_body_bytes)

    def make_endpoint(
        identity: endpoint.Identity, keys: keyring.Keyring
    ) -> endpoint.Endpoint:
        return endpoint.Endpoint(
            configuration=configuration, limits=limits, identity=identity, keys=keys
        )

    return line_state.Lines(
        bound=bound,
        own=settings.tunnel_address,
        generation=generation,
        fabric_addresses=settings.fabric_addresses,
        make_endpoint=make_endpoint,
        ports=line_ports,
    )


def _handlers(parts: Parts) -> dict[methods.Method, bridge.Handler]:
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


async def _leave(parts: Parts) -> None:
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


def _counters(parts: Parts) -> Mapping[str, float]:
    refusals = {f"refusals.{kind}": count for kind, count in parts.refusals.items()}
    return {**dataclasses.asdict(parts.lines.counters), **refusals}


def _gauges(parts: Parts) -> Mapping[str, float]:
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
        "available": admission.available(state.admission_state),
        "claims": len(state.table.entries),
        "connected": membership.is_connected(parts.announcer),
        "revision": 0 if view is None else view.revision,
        "key_revision": 0 if state.ring is None else state.ring.revision,
    }


async def _report_metrics(parts: Parts) -> None:
    await metrics.report(
        parts.settings.telemetry,
        part=names.Part.SIDECAR,
        instance=parts.settings.rpc_address,
        counters=lambda: _counters(parts),
        gauges=lambda: _gauges(parts),
    )


async def _run_parts(
    parts: Parts, lifecycle: _lifecycle.Lifecycle, pool: upstream.Pool
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


async def _stop_when_asked(parts: Parts, lifecycle: _lifecycle.Lifecycle) -> None:
    await lifecycle.stopping.wait()
    await _leave(parts)


async def _run(
    lifecycle: _lifecycle.Lifecycle, read: Callable[[], model.SidecarSettings]
) -> None:
    settings = read()
    record = _own_record(settings)
    state = _make_state(settings, record)
    with (
        tunnel.open_socket(settings.tunnel_address) as bound,
        upstream.open_pool(settings.upstream_address) as pool,
    ):
        async with (
            bridge.open_client(settings.tls) as client,
            trio.open_nursery() as nursery,
        ):
            ports = _make_ports(client, pool, nursery)
            announcer = membership.Announcer(
                record,
                client=client,
                seeds=settings.seeds,
                interval_seconds=settings.heartbeat_interval_seconds,
                rng=random.Random(),
            )
            refusals: Refusals = collections.Counter()
            line_ports = _line_ports(state, ports, refusals)
            parts = Parts(
                settings=settings,
                generation=record.generation,
                announcer=announcer,
                state=state,
                ports=ports,
                lines=_make_lines(settings, record.generation, bound, line_ports),
                refusals=refusals,
            )
            nursery.start_soon(_daemon.reload_forever, lifecycle, settings, read)
            await _run_parts(parts, lifecycle, pool)
            nursery.cancel_scope.cancel()


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
