"""Drives generated inputs through whole processes without a network.

Each row of ``ROWS`` is one way into a process. After each input, the process must still
place flows, send only what can be decoded again, and apply the next good input:

    python -m testbed.foreign_inputs --inputs 100000 --first SEED [ROW ...]
"""

import argparse
from collections import abc
import contextlib
import itertools
import json
import os
import pathlib
import random
import socket
import tempfile
import time
import typing
from unittest import mock

import msgspec
from msgspec import inspect

from plantainproxy import _exceptions, _http_server, _types
from plantainproxy.eventloop import loop, runtime, tcp
from plantainproxy.flows import messages, policy, settings
from plantainproxy.flows.control import document_exchange, documents, report_requests
from plantainproxy.flows.engine import (
    balancer,
    hedged_openings,
    sidecar,
    upstream_events,
    upstreams,
)
from plantainproxy.flows.programs import balancer_main, sidecar_main
from plantainproxy.flows.stored import (
    flow_hints,
    flow_record,
    flow_snapshot,
    registry,
    snapshot_batch,
)
from plantainproxy.platform import (
    configuration,
    heartbeats,
    metadata_store,
    packet_format,
)
from plantainproxy.platform import settings as platform_settings
from plantainproxy.store import http, port, revisioned
from testbed import foreign_values, transparent

INPUTS_PER_PROCESS = 20
HOST = "10.0.0.7"
GOOD = transparent.address(1)
"""Sidecar that stays in order; a balancer for the rows of sidecars."""
FOREIGN = _types.Address("10.0.2.1", transparent.MESSAGE_PORT)
UPSTREAM = _types.Address(HOST, 8080)
FOREIGN_POOL = "pool-x"
FOREIGN_SERVICE = b"\x09" * 6
"""Service that is routed to a pool which reports of other writers name."""
CALLER = b"\x64\x40\x00\x0a"
MAX_UDP_PAYLOAD_BYTES = 65_507
STEP_SECONDS = (0.01, 0.3, 1.0, 4.0)
GOOD_BOOT = 2**62
"""Start of the good sidecar; later than those of other inputs in its name."""


class FakeSocket:
    """A datagram socket that refuses what the kernel refuses."""

    def __init__(self) -> None:
        """Create a socket without recorded datagrams."""
        self.sent: list[tuple[bytes, _types.Address]] = []

    def sendto(self, data: bytes, destination: _types.Address) -> int:
        """Record a datagram; raise what ``socket.sendto`` raises, or ``ValueError``."""
        try:
            socket.inet_pton(socket.AF_INET, destination.host)
        except OSError as error:
            raise ValueError(f"no address: {destination}") from error
        if not 0 <= destination.port <= 0xFFFF:
            raise OverflowError(f"no port: {destination}")
        if len(data) > MAX_UDP_PAYLOAD_BYTES:
            raise OSError("message too long")
        self.sent.append((data, destination))
        return len(data)


class Clock:
    """Manual clock of the process under test."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 1_000.0

    def read(self) -> float:
        """Return the time."""
        return self.now


@contextlib.contextmanager
def manual_time(clock: Clock) -> abc.Iterator[None]:
    """Let processes read a manual clock."""
    with (
        mock.patch.object(runtime, "current_time", clock.read),
        mock.patch.object(sidecar_main, "boot_time", clock.read),
    ):
        yield


def _common_settings() -> dict[str, typing.Any]:
    return {
        "name": "n",
        "host": HOST,
        "domain": transparent.DOMAIN,
        "data_address": _types.Address(HOST, transparent.DATA_PORT),
        "ready_address": _types.Address(HOST, 7901),
        "message_port": transparent.MESSAGE_PORT,
        "metrics_port": 9180,
        "store_address": _types.Address("10.0.0.9", 8169),
        "store_writes_per_second": 100.0,
        "store_history_seconds": 20.0,
        "store_recovery_seconds": 4.0,
        "grace_seconds": 5.0,
    }


def _as_socket(fake: FakeSocket) -> socket.socket:
    return typing.cast(socket.socket, fake)


class Target:
    """A process under test, with the means to check that it still works."""

    def __init__(self, clock: Clock) -> None:
        """Create the sockets; subclasses create the process."""
        self.clock = clock
        self.data_socket = FakeSocket()
        self.message_socket = FakeSocket()
        self.flow_numbers = itertools.count(1)
        self.numbers = itertools.count(2**62)

    def next_policy(self, policies: policy.ActivePolicy) -> policy.Policy | None:
        """Return a policy that follows the one in force; none can after the last."""
        order = policies.order
        version, (era, number) = order.version, order.revision
        if number < 2**63 - 1:
            number += 1
        elif era < 2**63 - 1:
            era, number = era + 1, 1
        else:
            return None
        foreign_route = transparent.make_route(FOREIGN_POOL, service=FOREIGN_SERVICE)
        good = transparent.make_policy(
            number, transparent.make_route(transparent.POOL), foreign_route
        )
        return msgspec.structs.replace(good, version=version, era=era)

    def check_messages(self) -> None:
        """Check that the messages that were sent can be decoded."""
        for data, _ in self.message_socket.sent:
            assert messages.decode(data) is not None, data[:200]
        self.message_socket.sent.clear()

    def make_packet(
        self, flags: int = packet_format.SYN, service: bytes = transparent.SERVICE
    ) -> bytes:
        """Return a caller's packet of a new flow; by default its first one."""
        number = next(self.flow_numbers)
        return packet_format.HEADER.pack(
            flags,
            bytes(3),
            0,
            0,
            0,
            0,
            service[:4],
            int.from_bytes(service[4:], "little"),
            CALLER,
            number,
            bytes(4),
        )


class BalancerTarget(Target):
    """A balancer with one good upstream."""

    def __init__(self, clock: Clock) -> None:
        """Create the process."""
        super().__init__(clock)
        self.process = balancer_main.BalancerProcess(
            settings.BalancerSettings(**_common_settings(), hedge_percent=20.0),
            _as_socket(self.data_socket),
            _as_socket(self.message_socket),
        )
        self.context = balancer_main.node_context(self.process)

    def work(self, seconds: float) -> None:
        """Let time pass and do all periodic work."""
        self.clock.now += seconds
        now = self.clock.now
        balancer_main.tick(self.process, now=now)
        balancer_main.request_reports(self.process)
        balancer_main.request_overdue_reports(self.process)
        report_requests.urgent_requests(self.process.engine.view, now=now)
        for service in _some_services(self.process.engine.policies):
            for flags in (packet_format.SYN, packet_format.ACK):
                data = self.make_packet(flags, service)
                balancer_main.handle_data(self.process, data, FOREIGN)
        balancer.evict_expired_flows(self.process.engine, now=now)
        hedged_openings.send_due_hedges(self.process.engine, now=now)
        msgspec.json.encode(self.context.gauges())

    def check(self) -> None:
        """Check that good inputs take effect and that a flow is placed."""
        self.check_messages()
        good = self.next_policy(self.process.engine.policies)
        if good is None:
            return
        decoded = messages.decode_policy(messages.encode(good))
        assert decoded is not None
        assert self.context.apply_policy(decoded)
        assert self.process.engine.policies.stored == good
        report = transparent.make_report(
            boot=GOOD_BOOT, number=next(self.numbers), room=1_000
        )
        balancer_main.handle_message(self.process, messages.encode(report), GOOD)
        known = self.process.engine.view.upstreams[GOOD]
        assert known.report == report
        if transparent.DOMAIN in self.process.engine.policies.held_domains:
            return
        self.data_socket.sent.clear()
        balancer_main.handle_data(self.process, self.make_packet(), FOREIGN)
        data_address = _types.Address(GOOD.host, transparent.DATA_PORT)
        assert [to for _, to in self.data_socket.sent] == [data_address]


class SidecarTarget(Target):
    """A sidecar with a good upstream, and a balancer that asks for reports."""

    def __init__(self, clock: Clock) -> None:
        """Create the process."""
        super().__init__(clock)
        self.outbound_socket = FakeSocket()
        node_settings = settings.SidecarSettings(
            **_common_settings(),
            pool=transparent.POOL,
            upstream_address=UPSTREAM,
            outbound_address=_types.Address(HOST, 7802),
            heartbeat_address=_types.Address(HOST, 7803),
            cold_rate_factor=1.0,
            cold_spare_flows=1.0,
        )
        self.process = make_sidecar(node_settings, self)
        self.context = sidecar_main.node_context(self.process)
        self.handle_heartbeat = sidecar_main.heartbeat_handler(self.process)
        self.writer_store = FakeStore()

    def work(self, seconds: float) -> None:
        """Let time pass and do all periodic work."""
        self.clock.now += seconds
        sidecar_main.tick(self.process, now=self.clock.now)
        sidecar.evict_expired(self.process.engine, now=self.clock.now)
        for service in _some_services(self.process.engine.policies):
            data = self.make_packet(service=service)
            sidecar_main.handle_data(self.process, data, GOOD)
        msgspec.json.encode(self.context.gauges())
        engine = self.process.engine
        snapshot = flow_snapshot.take_snapshot(engine)
        final = flow_snapshot.take_final_snapshot(engine, era=engine.policies.era)
        engine.has_handed_over = False
        for saved in (snapshot, final):
            if saved is not None:
                encoded = msgspec.msgpack.encode(saved)
                msgspec.msgpack.decode(encoded, type=flow_record.FlowSnapshot)
        for encode in documents.encoders(self.process.documents).values():
            encode()
        response = http.Response(200, b'{"rev": 9}', {})
        with mock.patch.object(http, "call", _returning([response])):
            _finish(
                snapshot_batch.write_records(
                    self.process.snapshot_batch, now=self.clock.now
                )
            )

    def check(self) -> None:
        """Check that good inputs take effect and that a flow is delivered."""
        self.check_messages()
        engine = self.process.engine
        newest = engine.upstream.newest
        born, number = (newest.born, newest.number) if newest else (1, 0)
        born = max(born, engine.upstream.ended_born)
        if born < 2**63 - 1:
            self._check_heartbeat(born + 1)
        good = self.next_policy(engine.policies)
        if good is None or engine.upstream.state is not messages.UpstreamState.READY:
            return
        assert self.context.apply_policy(good)
        request = messages.ReportRequest(
            revision=1, domain=transparent.DOMAIN, sidecars=1
        )
        self.clock.now += 1.0
        sidecar_main.handle_message(self.process, messages.encode(request), GOOD)
        sent = [to for data, to in self.message_socket.sent if _is_report(data)]
        assert GOOD in sent
        self.check_messages()
        if transparent.DOMAIN in engine.policies.held_domains:
            return
        self.outbound_socket.sent.clear()
        sidecar_main.handle_data(self.process, self.make_packet(), GOOD)
        assert [to for _, to in self.outbound_socket.sent] == [UPSTREAM]

    def _check_heartbeat(self, born: int) -> None:
        body = {
            "service": transparent.POOL,
            "addr": str(UPSTREAM),
            "zone": "z",
            "version": "v",
            "state": "ready",
            "cold_left_ms": 0,
            "slots": 1_000,
            "seq": 1,
            "born": born,
        }
        path = f"{heartbeats.PREFIX}i/{heartbeats.HEARTBEAT}"
        request = _http_server.Request("POST", path, msgspec.json.encode(body))
        response = self.handle_heartbeat(request)
        assert response == heartbeats.OK
        assert self.process.engine.upstream.state is messages.UpstreamState.READY


def _some_services(policies: policy.ActivePolicy) -> list[bytes]:
    """Return services other than the good one, which may be routed to any pool."""
    routes = policies.current.routes if policies.current else {}
    return [service for service in routes if service != transparent.SERVICE][:2]


def _is_report(data: bytes) -> bool:
    return isinstance(messages.decode(data), messages.Report)


def make_sidecar(
    node_settings: settings.SidecarSettings, target: SidecarTarget
) -> sidecar_main.SidecarProcess:
    """Return the process of a registered sidecar on the sockets of a target."""
    process = sidecar_main.SidecarProcess(
        node_settings,
        _as_socket(target.data_socket),
        _as_socket(target.outbound_socket),
        _as_socket(target.message_socket),
    )
    process.engine.admits_flows_at = float("-inf")
    return process


class FakeStore:
    """A store with given entries."""

    def __init__(self, *entries: port.Entry) -> None:
        """Keep the entries."""
        self.entries = entries
        self.era = 0

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        """Return the entries."""
        return revisioned.Snapshot(
            entries=self.entries, revision=revisioned.Revision(0, 1)
        )


TargetT = typing.TypeVar("TargetT", bound=Target)


class Row(typing.NamedTuple):
    """One way into a process."""

    make_target: abc.Callable[[Clock], typing.Any]
    feed: abc.Callable[[typing.Any, random.Random], None]


def _feed_balancer_message(info: inspect.Type) -> abc.Callable[..., None]:
    def feed(target: BalancerTarget, draw: random.Random) -> None:
        data = foreign_values.make_input(draw, info, is_binary=True)
        balancer_main.handle_message(target.process, data, FOREIGN)

    return feed


def _feed_sidecar_message(info: inspect.Type) -> abc.Callable[..., None]:
    def feed(target: SidecarTarget, draw: random.Random) -> None:
        data = foreign_values.make_input(draw, info, is_binary=True)
        sidecar_main.handle_message(target.process, data, FOREIGN)

    return feed


_POLICY = inspect.type_info(policy.Policy)
_LIST = inspect.type_info(registry.SidecarList)
_ENTRY = inspect.type_info(registry.Entry)
_SNAPSHOT = inspect.type_info(flow_record.FlowSnapshot)


def _feed_policy(target: typing.Any, draw: random.Random) -> None:
    data = foreign_values.make_input(draw, _POLICY, is_binary=True)
    decoded = messages.decode_policy(data)
    if decoded is not None:
        assert messages.decode_policy(messages.encode(decoded)) == decoded
        for limits in decoded.pools.values():
            assert limits.health_path.encode("ascii").split() in ([], [_path(limits)])
        target.context.apply_policy(decoded)


_CONFIGURATION = inspect.type_info(configuration.Configuration)
_GOOD_CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "r", "host": "10.0.0.1", "prefix": "/80/", "service": "pool-x"},
        {"name": "s", "host": "10.0.0.2", "prefix": "443", "traffic_split": []},
    ],
    "services": [{"name": "pool-x", "health_path": "/h", "cold_per_s": 2}],
}


def _feed_configuration(target: typing.Any, draw: random.Random) -> None:
    """Read a document of the store; what is in force can be pulled by others."""
    data = foreign_values.make_input(draw, _CONFIGURATION, is_binary=False)
    if draw.random() < 0.5:
        # Most generated hosts and prefixes are no addresses.
        good = msgspec.json.encode(_GOOD_CONFIGURATION)
        data = foreign_values.change_bytes(draw, good) if draw.random() < 0.5 else good
    with contextlib.suppress(msgspec.DecodeError, RecursionError, TypeError):
        fields = msgspec.json.decode(data)
        if draw.random() < 0.5:
            fields["routes"] = _GOOD_CONFIGURATION["routes"]
            data = msgspec.json.encode(fields)
    policies: policy.ActivePolicy = target.process.engine.policies
    items = {configuration.CONFIGURATION_KEY: data}
    for name in draw.sample(foreign_values.TEXTS, draw.randint(0, 3)):
        items[f"{configuration.EVACUATION_PREFIX}{name}"] = b""
    order = policies.order.revision
    if order.number == 2**63 - 1:
        return
    read = target.context.decode_policy(items, order._replace(number=order.number + 1))
    resolved = documents.resolve(target.process.documents, read)
    if resolved is not None:
        target.context.apply_policy(resolved)
    stored = policies.stored
    assert messages.decode_policy(messages.encode(stored)) == stored


def _path(limits: policy.PoolLimits) -> bytes:
    return limits.health_path.encode("ascii")


def _feed_list(target: typing.Any, draw: random.Random) -> None:
    data = foreign_values.make_input(draw, _LIST, is_binary=True)
    decoded = registry.decode_list(data)
    if decoded is not None:
        assert registry.decode_list(msgspec.msgpack.encode(decoded)) == decoded
        target.context.apply_list(decoded)


def _feed_entries(target: typing.Any, draw: random.Random) -> None:
    """Apply a list of the store in which one entry is in order."""
    entries = {
        str(number): foreign_values.make_input(draw, _ENTRY, is_binary=True)
        for number in range(draw.randint(1, 5))
    }
    good = registry.Entry(GOOD.host, GOOD.port, transparent.DATA_PORT)
    entries["good"] = msgspec.msgpack.encode(good)
    active: registry.ActiveList = target.process.documents.sidecars
    offered = registry.SidecarList(
        revision=active.order.number + 1, entries=entries, era=active.order.era
    )
    assert target.context.apply_list(offered)
    view: upstreams.View = target.process.engine.view
    assert view.upstreams[GOOD].registered


def _feed_hints(target: BalancerTarget, draw: random.Random) -> None:
    """Read the snapshots of which one is in order, then send a packet of a flow."""
    snapshot = flow_record.FlowSnapshot(1, {transparent.flow_key(9): 1})
    keys = [*foreign_values.HOSTS, *foreign_values.TEXTS, GOOD.host]
    entries = [
        port.Entry(
            key=flow_record.key_of(draw.choice(keys)),
            value=foreign_values.make_input(draw, _SNAPSHOT, is_binary=True),
            mod_revision=1,
        )
        for _ in range(3)
    ]
    good = port.Entry(
        key=flow_record.key_of(GOOD.host),
        value=msgspec.msgpack.encode(snapshot),
        mod_revision=1,
    )
    store = FakeStore(*entries, good)
    hints = _finish(
        flow_hints.read(store, message_port=GOOD.port, log=target.process.log)  # type: ignore[arg-type]
    )
    assert hints.flows[transparent.flow_key(9)] == GOOD
    target.process.engine.hints = hints.flows
    upstreams.record_stops(target.process.engine.view, hints.stopped)
    for flow in list(hints.flows)[:5]:
        fields = (flow[:4], int.from_bytes(flow[4:6], "little"), flow[6:10])
        caller_port = int.from_bytes(flow[10:], "little")
        data = packet_format.HEADER.pack(
            packet_format.ACK, bytes(3), 0, 0, 1, 1, *fields, caller_port, bytes(4)
        )
        balancer_main.handle_data(target.process, data, FOREIGN)


def _feed_snapshot(target: SidecarTarget, draw: random.Random) -> None:
    """Start a sidecar process whose predecessor's snapshot is the input."""
    data = foreign_values.make_input(draw, _SNAPSHOT, is_binary=True)
    registration = target.process.registration
    writer = target.process.snapshot_writer
    registration.inherited = {
        key: port.Entry(key=key, value=data, mod_revision=draw.randint(0, 9))
        for key in (writer.key, registration.key)
    }
    registration.is_successor = True
    registration.inheritance_known.set()
    registration.registered.set()
    running = flow_snapshot.run(writer, target.process.engine)
    with contextlib.suppress(_SleptError), mock.patch.object(runtime, "sleep", _sleep):
        running.send(None)
    has_snapshot = target.process.engine.inherited_born is not None
    if has_snapshot and draw.random() < 0.5:
        upstream_events.end_not_listening_grace(target.process.engine)


class _SleptError(Exception):
    """A task has come to its first pause."""


async def _sleep(seconds: float) -> None:
    raise _SleptError


T = typing.TypeVar("T")


def _finish(coroutine: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return typing.cast(T, end.value)
    raise AssertionError("the coroutine waits")


_HEARTBEAT = inspect.type_info(heartbeats.HeartbeatMessage)


def _feed_heartbeat(target: SidecarTarget, draw: random.Random) -> None:
    data = foreign_values.make_input(draw, _HEARTBEAT, is_binary=False)
    if draw.random() < 0.8:
        # Most other values are refused because of their address or pool.
        with contextlib.suppress(msgspec.DecodeError, RecursionError, TypeError):
            fields = msgspec.json.decode(data)
            fields |= {"addr": str(UPSTREAM), "service": transparent.POOL}
            data = msgspec.json.encode(fields)
    name = draw.choice(("i", "", "é\0", "i" * 2_000, "a/b"))
    action = draw.choice(
        (heartbeats.HEARTBEAT, heartbeats.HEARTBEAT, heartbeats.DEREGISTER, "")
    )
    method = draw.choice(("POST", "POST", "POST", "GET"))
    path = f"{heartbeats.PREFIX}{name}/{action}"
    target.handle_heartbeat(_http_server.Request(method, path, data))


def _make_packet(draw: random.Random) -> bytes:
    flags = draw.choice((2, 66, 64, 80, 72, 68, 16, 18, 128, 255, draw.randrange(256)))
    payload = draw.randbytes(draw.choice((0, 0, 1, 200, 1_200, 1_201)))
    length = draw.choice((len(payload), len(payload), 0, 0xFFFF))
    services = (transparent.SERVICE, b"\x09" * 6)
    service = draw.choice(services)
    header = packet_format.HEADER.pack(
        flags,
        bytes((draw.randrange(6), draw.randrange(256), 0)),
        draw.randrange(2**16),
        length,
        draw.choice((0, 1, 5_000, 2**32 - 1)),
        draw.choice((0, 1, 5_001, 2**32 - 1)),
        service[:4],
        int.from_bytes(service[4:], "little"),
        draw.choice((CALLER, bytes(4), b"\xff" * 4)),
        draw.choice((0, 1, 2, 3, 65_535)),
        draw.choice((bytes(4), b"\x0a\x00\x00\x01", b"\xff" * 4)),
    )
    packet = header + payload
    return foreign_values.change_bytes(draw, packet) if draw.random() < 0.3 else packet


def _feed_caller_packet(target: BalancerTarget, draw: random.Random) -> None:
    balancer_main.handle_data(target.process, _make_packet(draw), FOREIGN)


def _feed_balancer_packet(target: SidecarTarget, draw: random.Random) -> None:
    sidecar_main.handle_data(target.process, _make_packet(draw), FOREIGN)


def _feed_upstream_packet(target: SidecarTarget, draw: random.Random) -> None:
    sidecar_main.handle_data(target.process, _make_packet(draw), FOREIGN)
    sidecar_main.handle_outbound(target.process, _make_packet(draw), UPSTREAM)


class StoreTarget:
    """A client of the store whose calls return given responses."""

    def __init__(self, clock: Clock) -> None:
        """Create the client."""
        self.counted: list[str] = []
        self.client = metadata_store.MetadataStore(
            _types.Address("10.0.0.9", 8169), count=self.counted.append
        )

    def work(self, seconds: float) -> None:
        """Do nothing: a client has no periodic work."""

    def check(self) -> None:
        """Check that the next good response is read."""
        body = b'{"items": [{"key": "a/1", "value": "YQ==", "rev": 1}], '
        body += b'"has_more": false, "store_revision": 7}'
        headers = {metadata_store.ERA_HEADER: str(self.client.era)}
        response = http.Response(200, body, headers)
        with mock.patch.object(http, "call", _returning([response])):
            snapshot = _finish(self.client.read_all("a/"))
        assert [entry.value for entry in snapshot.entries] == [b"a"]


def _returning(
    responses: abc.Sequence[http.Response],
) -> abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, http.Response]]:
    remaining = list(responses)

    async def call(*arguments: object, **options: object) -> http.Response:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return call


_STORE_BODIES = [
    inspect.type_info(body_type) for body_type in metadata_store.RESPONSE_TYPES
]
_ERAS = ("0", "1", "7", "-1", "", "\u00b2", "9" * 18, "9" * 19, "9" * 5_000, "x")
_STATUSES = (200, 200, 200, 404, 410, 412, 500)


def _feed_response(target: StoreTarget, draw: random.Random) -> None:
    responses = [
        http.Response(
            draw.choice(_STATUSES),
            foreign_values.make_input(
                draw, draw.choice(_STORE_BODIES), is_binary=False
            ),
            draw.choice(({}, {metadata_store.ERA_HEADER: draw.choice(_ERAS)})),
        )
        for _ in range(3)
    ]
    put = port.Put(key="a/1", value=b"", lease=1)
    transaction = port.Transaction(compares=(), puts=(put,))
    client = target.client
    calls: list[abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, object]]] = [
        lambda: client.read_all("a/"),
        lambda: client.write(transaction),
        lambda: client.grant_lease(ttl_seconds=10.0),
        lambda: client.renew_lease(1),
        lambda: client.revoke_lease(1),
        lambda: loop_call(
            lambda: client.watch_after("a/", revisioned.Revision(client.era, 1))
        ),
    ]
    errors = (
        _exceptions.PlantainError,
        revisioned.LeaseEndedError,
        revisioned.HistoryLostError,
    )
    with (
        mock.patch.object(http, "call", _returning(responses)),
        contextlib.suppress(*errors),
    ):
        result = _finish(draw.choice(calls)())
        if isinstance(result, revisioned.Snapshot | revisioned.Changes):
            msgspec.msgpack.encode(result)


async def loop_call(
    call: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, T]],
) -> T:
    """Return the result of a call that needs a running loop."""
    results: list[T] = []
    errors: list[Exception] = []

    async def store_result() -> None:
        try:
            results.append(await call())
        except Exception as error:
            errors.append(error)

    loop.run(store_result)
    if errors:
        raise errors[0]
    return results[0]


class FakeStream:
    """A connection whose received bytes are given."""

    def __init__(self, chunks: abc.Iterable[bytes]) -> None:
        """Create a connection that ends after the chunks."""
        self.chunks = iter(chunks)
        self.sent = bytearray()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next chunk."""
        return next(self.chunks, b"")[:max_bytes]

    async def send_all(self, data: bytes) -> None:
        """Record the bytes."""
        self.sent += data

    def has_input(self) -> bool:
        """Return that nothing has arrived yet."""
        return False

    def close(self) -> None:
        """Do nothing."""


class HttpTarget:
    """An HTTP server that echoes bodies."""

    def __init__(self, clock: Clock) -> None:
        """Create the server without a socket."""

    def work(self, seconds: float) -> None:
        """Do nothing: a server has no periodic work."""

    def check(self) -> None:
        """Check that a good request is answered."""
        sent = _serve([_REQUEST])
        assert sent.endswith(b"abc"), sent


_REQUEST = b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc"
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nstore-era: 1\r\ncontent-length: 3\r\n\r\nabc",
    b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 101 S\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000 + b"\r\n\r\n",
)


def _echo(request: _http_server.Request) -> _http_server.Response:
    return _http_server.Response(200, request.body)


def _serve(chunks: list[bytes]) -> bytes:
    stream = FakeStream(chunks)

    async def main() -> None:
        await _http_server.serve_connection(
            typing.cast(tcp.Stream, stream), _echo, _raise
        )

    loop.run(main)
    return bytes(stream.sent)


def _raise(error: Exception) -> None:
    raise error


def _chunks(draw: random.Random, data: bytes) -> list[bytes]:
    middle = draw.randint(0, len(data))
    return [part for part in (data[:middle], data[middle:]) if part]


def _feed_http(target: HttpTarget, draw: random.Random) -> None:
    data = _REQUEST * draw.randint(1, 3)
    if draw.random() < 0.1:
        data = b"GET / HTTP/1.1\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" + data
    _serve(_chunks(draw, foreign_values.change_bytes(draw, data)))


class HttpClientTarget(HttpTarget):
    """An HTTP client."""

    def check(self) -> None:
        """Check that a good response is received."""
        assert _receive([_RESPONSE[0]]).body == b"abc"


def _receive(chunks: list[bytes]) -> http.Response:
    async def main() -> http.Response:
        pool = http.Pool(UPSTREAM)
        connection = http.Connection(typing.cast(tcp.Stream, FakeStream(chunks)))
        connection.idle_since = runtime.current_time()
        pool.idle.append(connection)
        return await http.call(pool, "GET", "/", timeout_seconds=5.0)

    return loop.run(main)


def _feed_http_response(target: HttpClientTarget, draw: random.Random) -> None:
    data = foreign_values.change_bytes(draw, draw.choice(_RESPONSE))
    with contextlib.suppress(http.UnansweredError):
        _receive(_chunks(draw, data))


class SettingsTarget:
    """A program that reads its settings."""

    def __init__(self, clock: Clock) -> None:
        """Create a folder for the file."""
        self.clock = clock

    def load(self, content: bytes) -> None:
        """Read a file and build the process from it, unless the settings are wrong."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings")
            path.write_bytes(content)
            with mock.patch.dict(
                os.environ, {platform_settings.PATH_VARIABLE: str(path)}
            ):
                target = SidecarTarget(self.clock)
                target.process = make_sidecar(platform_settings.load_sidecar(), target)
                target.context = sidecar_main.node_context(target.process)
                target.work(1.0)

    def work(self, seconds: float) -> None:
        """Do nothing: the process is built anew for each file."""

    def check(self) -> None:
        """Check that good settings are read."""
        self.load(json.dumps(_SETTINGS).encode())


_SETTINGS = {
    "node": "n",
    "ip": HOST,
    "zone": "a",
    "service": "s",
    "internal_port_range": [7700, 7799],
    "listen": {
        "data_addr": f"{HOST}:1",
        "ready": f"{HOST}:2",
        "control": f"{HOST}:3",
        "outbound": f"{HOST}:4",
    },
    "platform": {"addr": f"{HOST}:5"},
    "app": f"{HOST}:6",
}
_NODE = inspect.type_info(platform_settings.Node)


def _feed_settings(target: SettingsTarget, draw: random.Random) -> None:
    data = foreign_values.make_input(draw, _NODE, is_binary=False)
    with contextlib.suppress(msgspec.DecodeError, RecursionError, TypeError):
        fields = msgspec.json.decode(data)
        good = dict(draw.sample(list(_SETTINGS.items()), draw.randint(0, 8)))
        data = msgspec.json.encode(fields | good)
    if draw.random() < 0.1:
        data = b"a = " + data
    with contextlib.suppress(_exceptions.PlantainError):
        target.load(data)


class ExchangeTarget(HttpTarget):
    """The transfer of documents between processes."""

    def check(self) -> None:
        """Check that a good request is answered."""
        assert _request_document([document_exchange.POLICY]) == b"document"


def _request_document(chunks: list[bytes]) -> bytes:
    stream = FakeStream(chunks)
    counted: list[str] = []

    async def main() -> None:
        await document_exchange.send_document(
            typing.cast(tcp.Stream, stream),
            {document_exchange.POLICY: lambda: b"document"},
            counted.append,
        )

    loop.run(main)
    return bytes(stream.sent)


def _feed_request(target: ExchangeTarget, draw: random.Random) -> None:
    data = foreign_values.change_bytes(draw, document_exchange.POLICY)
    _request_document(_chunks(draw, data))


def _message_rows() -> abc.Iterator[tuple[str, Row]]:
    for message_type in typing.get_args(messages.Message):
        info = inspect.type_info(message_type)
        name = message_type.__name__
        yield (
            f"{name} to a balancer",
            Row(BalancerTarget, _feed_balancer_message(info)),
        )
        yield f"{name} to a sidecar", Row(SidecarTarget, _feed_sidecar_message(info))


_MESSAGES = [inspect.type_info(kind) for kind in typing.get_args(messages.Message)]


def _feed_any_balancer_message(target: BalancerTarget, draw: random.Random) -> None:
    _feed_balancer_message(draw.choice(_MESSAGES))(target, draw)


def _feed_any_sidecar_message(target: SidecarTarget, draw: random.Random) -> None:
    _feed_sidecar_message(draw.choice(_MESSAGES))(target, draw)


ROWS: dict[str, Row] = {
    "all messages to a balancer": Row(BalancerTarget, _feed_any_balancer_message),
    "all messages to a sidecar": Row(SidecarTarget, _feed_any_sidecar_message),
    **dict(_message_rows()),
    "policy to a balancer": Row(BalancerTarget, _feed_policy),
    "policy to a sidecar": Row(SidecarTarget, _feed_policy),
    "operators' documents to a balancer": Row(BalancerTarget, _feed_configuration),
    "operators' documents to a sidecar": Row(SidecarTarget, _feed_configuration),
    "list to a balancer": Row(BalancerTarget, _feed_list),
    "list to a sidecar": Row(SidecarTarget, _feed_list),
    "entries of the list": Row(BalancerTarget, _feed_entries),
    "snapshots to a balancer": Row(BalancerTarget, _feed_hints),
    "snapshot to a sidecar": Row(SidecarTarget, _feed_snapshot),
    "heartbeat": Row(SidecarTarget, _feed_heartbeat),
    "packet of a caller": Row(BalancerTarget, _feed_caller_packet),
    "packet of a balancer": Row(SidecarTarget, _feed_balancer_packet),
    "packet of an upstream": Row(SidecarTarget, _feed_upstream_packet),
    "response of the store": Row(StoreTarget, _feed_response),
    "bytes of an HTTP request": Row(HttpTarget, _feed_http),
    "bytes of an HTTP response": Row(HttpClientTarget, _feed_http_response),
    "settings": Row(SettingsTarget, _feed_settings),
    "request for a document": Row(ExchangeTarget, _feed_request),
}
"""Ways into the processes by name; a new message type has its rows without a change."""


def run_row(row: Row, draw: random.Random, *, inputs: int = INPUTS_PER_PROCESS) -> None:
    """Drive inputs through one process; raise if any breaks it."""
    clock = Clock()
    with manual_time(clock):
        target = row.make_target(clock)
        target.check()
        for _ in range(inputs):
            row.feed(target, draw)
            target.work(draw.choice(STEP_SECONDS))
            target.check()


def main() -> None:
    """Run rows by hand."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--inputs", type=int, default=100_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("rows", nargs="*")
    options = parser.parse_args()
    failed_rows = 0
    for name in options.rows or ROWS:
        started_at = time.monotonic()
        rounds = -(-options.inputs // INPUTS_PER_PROCESS)
        failed = 0
        for seed in range(options.first, options.first + rounds):
            try:
                run_row(ROWS[name], random.Random(seed))
            except Exception as error:
                failed += 1
                if failed <= 3:
                    print(f"{name}: seed {seed}: {error!r}", flush=True)
        seconds = time.monotonic() - started_at
        print(
            f"{name}: {rounds * INPUTS_PER_PROCESS} inputs, {failed} of {rounds} "
            f"processes failed, {seconds:.0f} s",
            flush=True,
        )
        failed_rows += failed > 0
    raise SystemExit(failed_rows > 0)


if __name__ == "__main__":
    main()
