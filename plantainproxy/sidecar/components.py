"""Builds the components of a sidecar and connects them."""

import collections
from collections import abc
import dataclasses
import functools
import random
import socket
import time
import typing

import trio

from plantainproxy import _exceptions, _members, _types
from plantainproxy.core import admission, claims, problem, tickets
from plantainproxy.membership import sidecar as membership
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import bridge, messages, methods
from plantainproxy.settings import model
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.sidecar import connection_state, context, requests, upstream
from plantainproxy.wire import keyring

CONNECTION_IDLE_TIMEOUT_SECONDS = 30.0
"""A caller's connection that receives no packet for this time is dropped."""

RefusalCounts = collections.Counter[_exceptions.ErrorKind]
"""Number of error responses to callers, by error kind."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Components:
    """Components of one running sidecar."""

    settings: model.SidecarSettings
    announcer: membership.Announcer
    state: context.State
    ports: context.Ports
    connections: connection_state.Connections
    refusals: RefusalCounts


def local_record(settings: model.SidecarSettings) -> _members.MemberRecord:
    """Return the member record that the sidecar announces at its start."""
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=settings.rpc_address,
        domain=settings.domain,
        generation=int(time.time() * 1000),
        sequence=1,
        pool=settings.pool,
        tunnel=settings.tunnel_address,
        weight=settings.weight,
    )


def make_state(
    settings: model.SidecarSettings, record: _members.MemberRecord
) -> context.State:
    """Create the state of the request pipeline, without keys, view and siblings."""
    return context.State(
        local_address=settings.rpc_address,
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
) -> abc.Callable[[_types.Address, typing.Any, float], abc.Awaitable[typing.Any]]:
    async def call(
        address: _types.Address, request: typing.Any, timeout_seconds: float
    ) -> typing.Any:
        return await bridge.call(
            client, address, method, request, timeout_seconds=timeout_seconds
        )

    return call


def _execute_call(
    client: bridge.Client,
) -> abc.Callable[
    [_types.Address, messages.ExecuteRequest, float],
    abc.Awaitable[messages.ExecuteReply],
]:
    """Return the function that runs a request at a sibling.

    It raises ``NO_UPSTREAM``, whose outcome is "not run", if the request was not sent.
    """

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


def make_ports(
    client: bridge.Client, pool: upstream.ConnectionPool, nursery: trio.Nursery
) -> context.Ports:
    """Connect the request pipeline to the upstream and to the siblings."""
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


def _allow_connection(state: context.State, now: float) -> bool:
    """Return whether the local upstream's rate limit admits one new connection."""
    if state.view is None or state.view.pool is None:
        return False
    pool = state.view.pool
    return admission.allow_connection(
        state.admission_state,
        connections_per_second=pool.lines_per_second,
        max_running=pool.max_running,
        now=now,
    )


def make_connection_ports(
    state: context.State, ports: context.Ports, refusals: RefusalCounts
) -> connection_state.Ports:
    """Connect the callers' connections to the request pipeline."""

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

    return connection_state.Ports(
        handle=handle,
        refuse=refuse,
        extra_headers=lambda: context.ticket_headers(state),
        allow_connection=functools.partial(_allow_connection, state),
    )


def make_connections(
    settings: model.SidecarSettings,
    generation: int,
    tunnel_socket: socket.socket,
    connection_ports: connection_state.Ports,
) -> connection_state.Connections:
    """Create the state of the task that owns the callers' connections."""
    configuration = connection.server_configuration(
        certificate_file=settings.certificate_file,
        private_key_file=settings.private_key_file,
        idle_timeout_seconds=CONNECTION_IDLE_TIMEOUT_SECONDS,
        max_body_bytes=settings.max_body_bytes,
    )
    limits = http3.Limits(max_body_bytes=settings.max_body_bytes)

    def make_endpoint(
        identity: endpoint.Identity, keys: keyring.Keyring
    ) -> endpoint.Endpoint:
        return endpoint.Endpoint(
            configuration=configuration, limits=limits, identity=identity, keys=keys
        )

    return connection_state.Connections(
        tunnel_socket=tunnel_socket,
        tunnel_address=settings.tunnel_address,
        generation=generation,
        fabric_addresses=settings.fabric_addresses,
        make_endpoint=make_endpoint,
        ports=connection_ports,
    )
