"""Measures bytes and CPU time per node of the control traffic.

``python -m bench.control`` prints tables and writes ``out/control.json``. One part
runs balancers as separate processes that call one another over real sockets, through
relays that count bytes. The other part runs the same tasks in one process on a virtual
clock; its calls use the codec but not gRPC.
"""

import argparse
from collections import abc
import contextlib
import dataclasses
import functools
import json
import pathlib
import random
import sys
import time
import typing
from unittest import mock

import numpy
import trio
import trio.testing

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.core import gossip
from plantainproxy.membership import balancer, sidecar
from plantainproxy.rpc import bridge, codec, messages, methods
from plantainproxy.settings import model as settings_model

OUTPUT = pathlib.Path("out/control.json")
TLS = settings_model.Tls()
GOSSIP_SECONDS = 0.25
HEARTBEAT_SECONDS = 0.5
SIDECARS_PER_BALANCER = 6
"""Sidecars that send heartbeats. Each has three home balancers, so a balancer
receives heartbeats from about as many sidecars as at the target size (17.6)."""
SEEDS_PER_SIDECAR = 3
CONVERGENCE_SECONDS = 4.0
MEASURE_SECONDS = 5.0
TARGET_BALANCERS = 2_900
TARGET_RECORDS = 17_000
SOCKET_SIZES = (4, 8)
VIRTUAL_SIZES = (4, 8, 16, 32)
RECORD_SIZES = (100, 1_000, 17_000)
CHURN_RATES = (0.0, 2.0)
"""Changed records per second across the fleet."""


class FixedDocuments:
    """Provides a fixed configuration and key set, and ignores newer ones."""

    def __init__(self) -> None:
        """Create a configuration of 100 pools and a key set with one key."""
        self.fixed_configuration = model.Configuration(
            revision=1,
            pools=tuple(model.Pool(name=f"pool-{number}") for number in range(100)),
            domains=(model.Domain(name="rimouski", number=1),),
        )
        self.fixed_keys = model.KeySet(
            revision=1, current=1, keys=(model.Key(number=1, secret=bytes(32)),)
        )

    def configuration(self) -> model.Configuration | None:
        """Return the fixed configuration."""
        return self.fixed_configuration

    def key_set(self) -> model.KeySet | None:
        """Return the fixed key set."""
        return self.fixed_keys

    async def apply_configuration(self, configuration: model.Configuration) -> None:
        """Ignore a received configuration."""

    async def apply_key_set(self, key_set: model.KeySet) -> None:
        """Ignore a received key set."""


def balancer_record(address: _types.Address) -> _members.MemberRecord:
    """Return the member record of a balancer."""
    return _members.MemberRecord(
        kind=_types.MemberKind.BALANCER,
        rpc=address,
        domain="rimouski",
        generation=1_790_000_000_000,
        sequence=1,
    )


def sidecar_record(number: int, pools: int) -> _members.MemberRecord:
    """Return the member record of a sidecar in one of the pools."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address(host, 7001),
        domain="rimouski",
        generation=1_790_000_000_000,
        sequence=1,
        pool=f"pool-{number % pools}",
        tunnel=_types.Address(host, 7002),
    )


def make_table(
    address: _types.Address, seeds: list[_types.Address], client: bridge.Client
) -> balancer.MemberTable:
    """Create the member table of one balancer."""
    return balancer.MemberTable(
        balancer_record(address),
        client=client,
        documents=FixedDocuments(),
        seeds=seeds,
        gossip_interval_seconds=GOSSIP_SECONDS,
        heartbeat_interval_seconds=HEARTBEAT_SECONDS,
        rng=random.Random(str(address)),
    )


def make_announcer(
    number: int, pools: int, seeds: list[_types.Address], client: bridge.Client
) -> sidecar.Announcer:
    """Create the announcer of one sidecar with a subset of the seeds."""
    start = number % len(seeds)
    seeds = [*seeds[start:], *seeds[:start]][:SEEDS_PER_SIDECAR]
    return sidecar.Announcer(
        sidecar_record(number, pools),
        client=client,
        seeds=seeds,
        interval_seconds=HEARTBEAT_SECONDS,
        rng=random.Random(number),
    )


async def change_weights(
    announcers: list[sidecar.Announcer], per_second: float
) -> None:
    """Change the weights of the sidecars in turn, at a constant rate."""
    step = 0
    while per_second > 0:
        await trio.sleep(1 / per_second)
        step += 1
        sidecar.update_record(
            announcers[step % len(announcers)], weight=1 / (step % 50 + 1)
        )


async def discard_updates(announcer: sidecar.Announcer) -> None:
    """Read the updates of a sidecar and discard them."""
    async for _ in announcer.updates:
        pass


async def discard_changes(members: balancer.MemberTable) -> None:
    """Read the membership changes of a balancer and discard them."""
    async for _ in members.changes:
        pass


# --- Virtual clock ----------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class Traffic:
    """Number, payload bytes and server CPU time of the calls of one method."""

    calls: int = 0
    request_bytes: int = 0
    reply_bytes: int = 0
    server_seconds: float = 0.0


class Loopback:
    """Replaces gRPC: passes encoded calls to handlers in the same process."""

    def __init__(self) -> None:
        """Start without handlers and with all counters at zero."""
        self.handlers_by_address: dict[_types.Address, typing.Any] = {}
        self.traffic = {method: Traffic() for method in methods.Method}

    async def call(
        self,
        client: bridge.Client,
        address: _types.Address,
        method: methods.Method,
        request: typing.Any,
        *,
        timeout_seconds: float,
    ) -> typing.Any:
        """Replace ``bridge.call``: call a handler through the codec and count it."""
        handlers = self.handlers_by_address.get(address)
        if handlers is None:
            raise _exceptions.PlantainError(_exceptions.ErrorKind.PEER_UNAVAILABLE)
        encoded = codec.encode(request)
        started = time.process_time()
        reply = await handlers[method](codec.decode(encoded, method.value.request))
        encoded_reply = codec.encode(reply)
        traffic = self.traffic[method]
        traffic.server_seconds += time.process_time() - started
        traffic.calls += 1
        traffic.request_bytes += len(encoded)
        traffic.reply_bytes += len(encoded_reply)
        return codec.decode(encoded_reply, method.value.reply)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VirtualResult:
    """Rates for one balancer, from a run on the virtual clock."""

    balancers: int
    records: int
    churn_per_second: float
    gossip_calls: float
    """Calls sent per second. A balancer receives the same number on average."""
    gossip_bytes: float
    """Payload bytes sent and received per second."""
    heartbeat_calls: float
    heartbeat_bytes: float
    cpu_milliseconds: float
    """CPU time per second, without gRPC but with a share of the sidecars' time."""
    heartbeat_cpu_milliseconds: float
    """The part of ``cpu_milliseconds`` spent on handling heartbeats."""


async def run_virtual(
    balancers: int, records: int, churn_per_second: float, result: list[VirtualResult]
) -> None:
    """Run a fleet with pre-filled member tables and measure its traffic."""
    loopback = Loopback()
    addresses = [_types.Address("127.0.0.1", 7000 + n) for n in range(balancers)]
    calling_sidecars = min(records, balancers * SIDECARS_PER_BALANCER)
    pools = max(1, records // 3)
    client = bridge.Client(TLS)
    with mock.patch.object(bridge, "call", loopback.call):
        async with trio.open_nursery() as nursery:
            member_records = [balancer_record(address) for address in addresses]
            member_records += [
                sidecar_record(number, pools) for number in range(records)
            ]
            for address in addresses:
                members = make_table(address, addresses, client)
                loopback.handlers_by_address[address] = balancer.handlers(members)
                gossip.merge_records(
                    members.state, member_records, now=trio.current_time()
                )
                members.state.pending_sends.clear()
                nursery.start_soon(balancer.run, members)
                nursery.start_soon(discard_changes, members)
            announcers = [
                make_announcer(number, pools, addresses, client)
                for number in range(calling_sidecars)
            ]
            for announcer in announcers:
                nursery.start_soon(sidecar.run, announcer)
                nursery.start_soon(discard_updates, announcer)
            nursery.start_soon(change_weights, announcers, churn_per_second)
            await trio.sleep(CONVERGENCE_SECONDS)
            loopback.traffic = {method: Traffic() for method in methods.Method}
            started = time.process_time()
            await trio.sleep(MEASURE_SECONDS)
            seconds = time.process_time() - started
            result.append(
                _virtual_result(loopback, balancers, records, churn_per_second, seconds)
            )
            nursery.cancel_scope.cancel()


def _virtual_result(
    loopback: Loopback,
    balancers: int,
    records: int,
    churn_per_second: float,
    seconds: float,
) -> VirtualResult:
    per_node = 1 / (balancers * MEASURE_SECONDS)
    gossip_traffic = loopback.traffic[methods.Method.GOSSIP]
    heartbeat_traffic = loopback.traffic[methods.Method.HEARTBEAT]
    return VirtualResult(
        balancers=balancers,
        records=records,
        churn_per_second=churn_per_second,
        gossip_calls=gossip_traffic.calls * per_node,
        gossip_bytes=2
        * (gossip_traffic.request_bytes + gossip_traffic.reply_bytes)
        * per_node,
        heartbeat_calls=heartbeat_traffic.calls * per_node,
        heartbeat_bytes=(
            heartbeat_traffic.request_bytes + heartbeat_traffic.reply_bytes
        )
        * per_node,
        cpu_milliseconds=seconds * 1_000 * per_node,
        heartbeat_cpu_milliseconds=heartbeat_traffic.server_seconds * 1_000 * per_node,
    )


def measure_virtual(
    balancers: int, records: int, churn_per_second: float
) -> VirtualResult:
    """Measure one fleet size on the virtual clock."""
    result: list[VirtualResult] = []
    trio.run(
        run_virtual,
        balancers,
        records,
        churn_per_second,
        result,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    return result[0]


# --- Real sockets -----------------------------------------------------------------


async def report_cpu_times() -> None:
    """Print the CPU time used so far for each line received on standard input."""
    stdin = trio.lowlevel.FdStream(0)
    while await stdin.receive_some(64):
        print(json.dumps(time.process_time()), flush=True)


async def run_balancer(address: _types.Address, seeds: list[_types.Address]) -> None:
    """Run one balancer whose public address is that of its relay."""
    async with bridge.open_client(TLS) as client:
        members = make_table(address, seeds, client)
        server = bridge.serve(
            _types.Address("127.0.0.1", 0), balancer.handlers(members), tls=TLS
        )
        async with server as bound, trio.open_nursery() as nursery:
            print(bound.port, flush=True)
            nursery.start_soon(balancer.run, members)
            nursery.start_soon(discard_changes, members)
            await report_cpu_times()
            nursery.cancel_scope.cancel()


async def run_sidecars(count: int, rate: float, seeds: list[_types.Address]) -> None:
    """Run sidecars whose weights change at a constant rate from the start."""
    async with bridge.open_client(TLS) as client, trio.open_nursery() as nursery:
        announcers = [
            make_announcer(n, count // 3, seeds, client) for n in range(count)
        ]
        for announcer in announcers:
            nursery.start_soon(sidecar.run, announcer)
            nursery.start_soon(discard_updates, announcer)
        nursery.start_soon(change_weights, announcers, rate)
        print(0, flush=True)
        await report_cpu_times()
        nursery.cancel_scope.cancel()


class Relay:
    """A TCP relay that counts the bytes it copies."""

    def __init__(self) -> None:
        """Start without a target and with the counter at zero."""
        self.target_port = 0
        self.copied_bytes = 0

    async def copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        """Copy and count the data of one direction until it ends."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some():
                self.copied_bytes += len(data)
                await sink.send_all(data)
            await sink.send_eof()

    async def handle(self, client: trio.SocketStream) -> None:
        """Relay one client connection to the target port."""
        try:
            server = await trio.open_tcp_stream("127.0.0.1", self.target_port)
        except OSError:
            return
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self.copy, client, server)
            nursery.start_soon(self.copy, server, client)


@dataclasses.dataclass(slots=True, kw_only=True)
class Worker:
    """A subprocess that runs a balancer or a group of sidecars."""

    process: trio.Process
    output: "trio.abc.ReceiveStream"

    async def read_line(self) -> typing.Any:
        """Read one line of the output and decode it from JSON."""
        line = b""
        while not line.endswith(b"\n"):
            line += await self.output.receive_some(64)
        return json.loads(line)

    async def read_cpu_seconds(self) -> float:
        """Request the CPU time that the process has used so far."""
        assert self.process.stdin is not None
        await self.process.stdin.send_all(b"\n")
        return float(await self.read_line())


@contextlib.asynccontextmanager
async def start_worker(
    role: str, argument: dict[str, typing.Any]
) -> abc.AsyncIterator[Worker]:
    """Run this module in a subprocess, which is killed when the context exits."""
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "bench.control", role, json.dumps(argument)],
        stdin=-1,
        stdout=-1,
    )
    try:
        assert process.stdout is not None
        yield Worker(process=process, output=process.stdout)
    finally:
        with trio.CancelScope(shield=True):
            process.kill()
            await process.wait()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SocketResult:
    """Rates for one balancer and one sidecar, over real sockets."""

    balancers: int
    sidecars: int
    churn_per_second: float
    bytes_per_second: float
    """TCP payload through each balancer's listener, in both directions."""
    cpu_milliseconds: float
    """CPU time per second of one balancer."""
    sidecar_cpu_milliseconds: float


async def _measure_rates(
    relays: list[Relay], balancer_workers: list[Worker], sidecars: Worker | None
) -> tuple[float, float, float]:
    """Return the measured rates per second.

    They are the mean bytes and CPU time of one balancer, and the CPU time of all
    sidecars together.
    """
    workers = [*balancer_workers, *([sidecars] if sidecars else [])]
    bytes_before = sum(relay.copied_bytes for relay in relays)
    cpu_before = [await worker.read_cpu_seconds() for worker in workers]
    started = time.monotonic()
    await trio.sleep(MEASURE_SECONDS)
    cpu_after = [await worker.read_cpu_seconds() for worker in workers]
    pairs = zip(cpu_after, cpu_before, strict=True)
    cpu = [after - before for after, before in pairs]
    seconds = time.monotonic() - started
    copied = sum(relay.copied_bytes for relay in relays) - bytes_before
    sidecar_cpu = cpu[-1] if sidecars else 0.0
    return (
        copied / seconds / len(balancer_workers),
        sum(cpu[: len(balancer_workers)]) / seconds / len(balancer_workers),
        sidecar_cpu / seconds,
    )


async def measure_sockets(size: int, results: list[SocketResult]) -> None:
    """Measure balancers alone, then with sidecars, then with changing weights."""
    async with contextlib.AsyncExitStack() as stack, trio.open_nursery() as nursery:
        relays = [Relay() for _ in range(size)]
        addresses = []
        for relay in relays:
            serve = functools.partial(trio.serve_tcp, relay.handle, 0, host="127.0.0.1")
            listeners = await nursery.start(serve)
            addresses.append(_types.Address(*listeners[0].socket.getsockname()))
        balancer_workers = []
        for relay, address in zip(relays, addresses, strict=True):
            argument = {"address": address, "seeds": addresses}
            balancer_worker = await stack.enter_async_context(
                start_worker("balancer", argument)
            )
            relay.target_port = await balancer_worker.read_line()
            balancer_workers.append(balancer_worker)
        await trio.sleep(CONVERGENCE_SECONDS)
        sidecar_count = size * SIDECARS_PER_BALANCER
        for sidecars, rate in ((0, 0.0), (sidecar_count, 0.0), (sidecar_count, 2.0)):
            async with contextlib.AsyncExitStack() as inner:
                sidecar_worker = None
                if sidecars:
                    worker_argument = {
                        "count": sidecars,
                        "rate": rate,
                        "seeds": addresses,
                    }
                    sidecar_worker = await inner.enter_async_context(
                        start_worker("sidecars", worker_argument)
                    )
                    await sidecar_worker.read_line()
                    await trio.sleep(CONVERGENCE_SECONDS)
                measured = await _measure_rates(
                    relays, balancer_workers, sidecar_worker
                )
            results.append(
                SocketResult(
                    balancers=size,
                    sidecars=sidecars,
                    churn_per_second=rate,
                    bytes_per_second=measured[0],
                    cpu_milliseconds=measured[1] * 1_000,
                    sidecar_cpu_milliseconds=measured[2] * 1_000 / max(1, sidecars),
                )
            )
        nursery.cancel_scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallCost:
    """The cost of one small gRPC call."""

    overhead_bytes: float
    """TCP payload of request and reply in excess of the encoded messages."""
    call_milliseconds: float
    """CPU time of one call, client and server together."""


async def measure_call_cost(results: list[CallCost]) -> None:
    """Measure many small sequential calls with client and server in one process."""
    count = 1_000

    async def handle(request: typing.Any) -> messages.PullReply:
        return messages.PullReply()

    relay = Relay()
    request = messages.PullRequest(configuration_revision=0, key_revision=0)
    server = bridge.serve(
        _types.Address("127.0.0.1", 0), {methods.Method.PULL: handle}, tls=TLS
    )
    async with (
        server as bound,
        bridge.open_client(TLS) as client,
        trio.open_nursery() as nursery,
    ):
        relay.target_port = bound.port
        serve = functools.partial(trio.serve_tcp, relay.handle, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        relay_address = _types.Address(*listeners[0].socket.getsockname())
        pull = functools.partial(
            bridge.call,
            client,
            method=methods.Method.PULL,
            request=request,
            timeout_seconds=5,
        )
        await pull(address=relay_address)
        relayed_bytes = relay.copied_bytes
        for _ in range(count):
            await pull(address=relay_address)
        relayed_bytes = relay.copied_bytes - relayed_bytes
        await pull(address=bound)
        started = time.process_time()
        for _ in range(count):
            await pull(address=bound)
        seconds = time.process_time() - started
        nursery.cancel_scope.cancel()
    payload = len(codec.encode(request)) + len(codec.encode(messages.PullReply()))
    results.append(
        CallCost(
            overhead_bytes=relayed_bytes / count - payload,
            call_milliseconds=seconds * 1_000 / count,
        )
    )


# --- Report -----------------------------------------------------------------------


def slope(
    rows: list[VirtualResult],
    abscissa: abc.Callable[[VirtualResult], float],
    ordinate: abc.Callable[[VirtualResult], float],
) -> float:
    """Return the slope of a linear fit to the rows."""
    fit = numpy.polyfit([abscissa(r) for r in rows], [ordinate(r) for r in rows], 1)
    return float(fit[0])


def print_table(title: str, rows: list[typing.Any]) -> None:
    """Print a title and a table with the fields of data classes as columns."""
    print(f"\n{title}")
    names = [field.name for field in dataclasses.fields(rows[0])]
    print(" | ".join(names))
    for row in rows:
        print(" | ".join(f"{getattr(row, name):,.1f}" for name in names))


def slopes(rows: list[VirtualResult]) -> dict[str, float]:
    """Return how gossip bytes and CPU time grow with the size of the fleet and churn.

    Each slope is the increase per balancer, per 1,000 records or per changed record.
    """
    idle = [row for row in rows if not row.churn_per_second]
    by_size = [row for row in idle if row.records == 1_000]
    by_records = [row for row in idle if row.balancers == 8]
    by_churn = [row for row in rows if row.balancers == 8 and row.records == 1_000]
    return {
        "gossip_bytes_per_balancer": slope(
            by_size, lambda r: r.balancers, lambda r: r.gossip_bytes
        ),
        "cpu_milliseconds_per_balancer": slope(
            by_size, lambda r: r.balancers, lambda r: r.cpu_milliseconds
        ),
        "gossip_bytes_per_thousand_records": 1_000
        * slope(by_records, lambda r: r.records, lambda r: r.gossip_bytes),
        "cpu_milliseconds_per_thousand_records": 1_000
        * slope(by_records, lambda r: r.records, lambda r: r.cpu_milliseconds),
        "gossip_bytes_per_change": slope(
            by_churn, lambda r: r.churn_per_second, lambda r: r.gossip_bytes
        ),
        "cpu_milliseconds_per_change": slope(
            by_churn, lambda r: r.churn_per_second, lambda r: r.cpu_milliseconds
        ),
    }


def main() -> None:
    """Run all measurements, print tables and write the results as JSON."""
    costs: list[CallCost] = []
    trio.run(measure_call_cost, costs)
    print_table("One call over real sockets (gRPC, TCP payload)", costs)
    sockets: list[SocketResult] = []
    for size in SOCKET_SIZES:
        trio.run(measure_sockets, size, sockets)
    print_table("Real sockets, one process per balancer; per second and node", sockets)
    sizes = [(size, 1_000) for size in VIRTUAL_SIZES]
    sizes += [(8, records) for records in RECORD_SIZES if records != 1_000]
    rows = [measure_virtual(*size, rate) for size in sizes for rate in CHURN_RATES]
    print_table("Virtual clock, no gRPC; per second and balancer", rows)
    fitted = slopes(rows)
    print("\nSlopes on the virtual clock")
    for name, value in fitted.items():
        print(f"{name}: {value:,.4f}")
    OUTPUT.parent.mkdir(exist_ok=True)
    figures = {
        "call": [dataclasses.asdict(row) for row in costs],
        "sockets": [dataclasses.asdict(row) for row in sockets],
        "virtual": [dataclasses.asdict(row) for row in rows],
        "slopes": fitted,
    }
    OUTPUT.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    print(f"\nResults written to {OUTPUT}.")


def _addresses(pairs: list[list[typing.Any]]) -> list[_types.Address]:
    return [_types.Address(*pair) for pair in pairs]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", nargs="?", default="all")
    parser.add_argument("argument", nargs="?", default="{}")
    options = parser.parse_args()
    arguments = json.loads(options.argument)
    if options.role == "balancer":
        address = _types.Address(*arguments["address"])
        trio.run(run_balancer, address, _addresses(arguments["seeds"]))
    elif options.role == "sidecars":
        seeds = _addresses(arguments["seeds"])
        trio.run(run_sidecars, arguments["count"], arguments["rate"], seeds)
    else:
        main()
