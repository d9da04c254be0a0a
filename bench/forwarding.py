"""Measures the CPU cost of forwarding, and balance and churn of the slot table.

Run ``python -m bench.forwarding``; it prints tables and writes
``out/forwarding.json``. The forwarding cases take turns, one batch each, so that other
load on the machine affects all cases alike. Times are CPU time of the process.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import socket
import statistics
import time
import typing

import numpy as np
import trio

from plantainproxy import _members, _types
from plantainproxy.balancer import datapath
from plantainproxy.config import model
from plantainproxy.core import packets, routing, slots
from plantainproxy.wire import connection_id, keyring, proxy

BATCH = 100
ROUNDS = 400
SEED = 1
SERVICE = _types.Address("127.1.0.1", 443)
CALLER = _types.Address("127.0.9.9", 5555)
GENERATION = 1_800_000_000_000
KEY_SET = model.KeySet(
    revision=1, current=7, keys=(model.Key(number=7, secret=b"s" * 32),)
)
RING = keyring.Keyring(KEY_SET)
ESTABLISHED_BODY_BYTES = 120
OPENING_BYTES = 1200
MANY_FLOWS = 500_000
UPSTREAM_COUNTS = (10, 100, 1_000, 17_000)
TABLE_SIZES = (3, 7, 100, 1_000, 17_000)
REMOVALS = 3
OUTPUT = pathlib.Path("out/forwarding.json")


class Sockets(typing.NamedTuple):
    """The fabric's sender, the balancer, and one receiver for all sidecars."""

    sender: socket.socket
    balancer: socket.socket
    receiver: socket.socket


@dataclasses.dataclass(slots=True)
class Case:
    """A forwarding loop to measure, and the datagrams that it forwards."""

    name: str
    forward_batch: abc.Callable[[], object]
    datagrams: list[bytes]
    position: int = 0
    microseconds: list[float] = dataclasses.field(default_factory=list)
    """CPU time per packet of each batch."""


@contextlib.contextmanager
def open_sockets() -> abc.Iterator[Sockets]:
    """Open the sockets; the receiver accepts datagrams to any loopback address."""
    with (
        socket.socket(type=socket.SOCK_DGRAM) as sender,
        datapath.open_socket(_types.Address("127.0.0.1", 0)) as balancer,
        datapath.open_socket(_types.Address("0.0.0.0", 0)) as receiver,
    ):
        sender.bind(("127.0.0.1", 0))
        yield Sockets(sender, balancer, receiver)


def make_tunnel_address(number: int, port: int) -> _types.Address:
    """Return the address of an upstream; all upstreams share the given port."""
    return _types.Address(f"127.2.{number >> 8}.{number & 255}", port)


def make_state(upstreams: int, port: int) -> datapath.State:
    """Return the state of a balancer with one pool of the given size."""
    configuration = model.Configuration(
        revision=1,
        routes=(model.Route(name="fleet", address=SERVICE, pool="fleet"),),
        pools=(model.Pool(name="fleet"),),
        domains=(model.Domain(name="rimouski", number=1),),
    )
    records = tuple(
        _members.MemberRecord(
            kind=_types.MemberKind.SIDECAR,
            rpc=make_tunnel_address(number, port),
            domain="rimouski",
            generation=GENERATION,
            sequence=1,
            pool="fleet",
            tunnel=make_tunnel_address(number, port),
        )
        for number in range(upstreams)
    )
    events: list[datapath.Event] = [
        datapath.KeysChanged(key_set=KEY_SET),
        routing.ConfigurationChanged(configuration=configuration),
        routing.MembersChanged(pool="fleet", records=records),
    ]
    state = datapath.State()
    trio.run(datapath.apply, state, events)
    return state


def make_established_packets(flows: int, upstreams: int, port: int) -> list[bytes]:
    """Return one packet per flow; each flow belongs to a random upstream."""
    rng = random.Random(SEED)
    header = proxy.encode(source=CALLER, destination=SERVICE)
    tag = packets.service_tag(SERVICE.pack())
    body = b"b" * ESTABLISHED_BODY_BYTES
    datagrams = []
    for nonce in range(flows):
        destination = packets.Destination(
            make_tunnel_address(rng.randrange(upstreams), port).pack(),
            1,
            packets.generation_tag(GENERATION),
            tag,
        )
        encoded_id = connection_id.encode(RING.current, destination, nonce=nonce)
        datagrams.append(header + b"\x40" + encoded_id + body)
    return datagrams


def make_opening_packets(flows: int) -> list[bytes]:
    """Return the opening packet of each flow."""
    header = proxy.encode(source=CALLER, destination=SERVICE)
    rng = random.Random(SEED)
    long_header = b"\xc0\x00\x00\x00\x01\x08"
    padding = bytes(OPENING_BYTES - len(long_header) - 8)
    return [header + long_header + rng.randbytes(8) + padding for _ in range(flows)]


def make_baseline_loop(
    sockets: Sockets, targets: list[_types.Address]
) -> abc.Callable[[], object]:
    """Return a loop that only receives and sends datagrams, without routing."""
    receive, send = sockets.balancer.recvfrom, sockets.balancer.sendto
    target_cycle = itertools.cycle(targets)

    def forward_batch() -> None:
        for target in itertools.islice(target_cycle, BATCH):
            try:
                datagram, _source = receive(datapath.MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            send(datagram, target)

    return forward_batch


def make_balancer_loop(
    sockets: Sockets, state: datapath.State
) -> abc.Callable[[], object]:
    """Return the production forwarding loop for a state."""
    receive, send = sockets.balancer.recvfrom_into, sockets.balancer.sendto
    buffer = datapath.make_buffer()
    return lambda: datapath.forward_batch(state, receive, send, buffer, now=1.0)


def discard_received(receiver: socket.socket) -> int:
    """Discard the received datagrams and return their number."""
    count = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            receiver.recv(1)
            count += 1
    return count


def send_batch(sockets: Sockets, case: Case) -> None:
    """Send the next batch of a case to the balancer's socket."""
    destination = sockets.balancer.getsockname()
    for offset in range(BATCH):
        number = (case.position + offset) % len(case.datagrams)
        sockets.sender.sendto(case.datagrams[number], destination)
    case.position += BATCH


def record_batch(sockets: Sockets, case: Case, nanoseconds: int) -> None:
    """Record the time of one batch after checking that all packets were forwarded."""
    received = discard_received(sockets.receiver)
    if received != BATCH:
        raise RuntimeError(f"{case.name}: {received} of {BATCH} packets arrived")
    case.microseconds.append(nanoseconds / 1000 / BATCH)


def run_batch(sockets: Sockets, case: Case) -> None:
    """Send one batch and measure the CPU time of forwarding it."""
    send_batch(sockets, case)
    started_nanoseconds = time.process_time_ns()
    case.forward_batch()
    record_batch(sockets, case, time.process_time_ns() - started_nanoseconds)


async def run_task_batches(
    sockets: Sockets, state: datapath.State, baseline: Case, case: Case
) -> None:
    """Measure batches through the balancer's task, alternating with the bare loop."""
    send, receive = trio.open_memory_channel[datapath.Event](1)
    counters = state.counters
    async with trio.open_nursery() as nursery, send:
        nursery.start_soon(datapath.run, state, sockets.balancer, receive)
        for _ in range(ROUNDS):
            run_batch(sockets, baseline)
            target = counters.established + BATCH
            send_batch(sockets, case)
            started_nanoseconds = time.process_time_ns()
            while counters.established < target:
                await trio.lowlevel.checkpoint()
            record_batch(sockets, case, time.process_time_ns() - started_nanoseconds)


def make_cases(sockets: Sockets) -> list[Case]:
    """Return all cases; the first is the bare loop, the baseline."""
    port = sockets.receiver.getsockname()[1]
    states = {count: make_state(count, port) for count in UPSTREAM_COUNTS}
    min_upstreams, max_upstreams = UPSTREAM_COUNTS[0], UPSTREAM_COUNTS[-1]
    opening_packets = make_opening_packets(BATCH * ROUNDS)
    targets = [make_tunnel_address(number, port) for number in range(max_upstreams)]
    random.Random(SEED).shuffle(targets)
    baseline = make_baseline_loop(sockets, targets[:1])
    baseline_many_targets = make_baseline_loop(sockets, targets)
    cases = [
        Case("bare", baseline, make_established_packets(1, 1, port)),
        Case("bare, opening size", baseline, opening_packets[:1]),
        Case(
            f"bare, to {max_upstreams} targets",
            baseline_many_targets,
            make_established_packets(1, 1, port),
        ),
    ]
    for count, state in states.items():
        forward_batch = make_balancer_loop(sockets, state)
        name = f"established, {count} upstreams"
        cases.append(
            Case(
                f"{name}, 1 flow",
                forward_batch,
                make_established_packets(1, count, port),
            )
        )
        cases.append(
            Case(f"opening, {count} upstreams", forward_batch, opening_packets)
        )
    for count in (min_upstreams, max_upstreams):
        flows = make_established_packets(MANY_FLOWS, count, port)
        random.Random(SEED).shuffle(flows)
        name = f"established, {count} upstreams, {MANY_FLOWS} flows"
        cases.append(Case(name, make_balancer_loop(sockets, states[count]), flows))
    return cases


def measure_forwarding() -> dict[str, float]:
    """Return the median CPU time per packet of each case, in microseconds."""
    with open_sockets() as sockets:
        cases = make_cases(sockets)
        for _ in range(ROUNDS):
            for case in cases:
                run_batch(sockets, case)
    return medians(cases)


def measure_task() -> dict[str, float]:
    """Measure the balancer's task, including the overhead of waiting for packets.

    The result has the form of :func:`measure_forwarding`.
    """
    with open_sockets() as sockets:
        port = sockets.receiver.getsockname()[1]
        state = make_state(UPSTREAM_COUNTS[0], port)
        flow = make_established_packets(1, 1, port)
        baseline = Case(
            "bare", make_baseline_loop(sockets, [make_tunnel_address(0, port)]), flow
        )
        name = f"established, own task, {BATCH} packets a wake-up"
        case = Case(name, make_balancer_loop(sockets, state), flow)
        trio.run(run_task_batches, sockets, state, baseline, case)
    return medians([baseline, case])


def medians(cases: list[Case]) -> dict[str, float]:
    """Return the median CPU time per packet by case name."""
    return {case.name: statistics.median(case.microseconds) for case in cases}


def make_members(count: int) -> list[slots.Member]:
    """Return the members of a pool of the given size."""
    return [
        slots.Member(f"sidecar/{address}", address)
        for address in (make_tunnel_address(number, 7000) for number in range(count))
    ]


def owner_numbers(members: list[slots.Member]) -> "np.ndarray[typing.Any, typing.Any]":
    """Return each slot's owner as a number that does not depend on other members."""
    ordered, owners = slots.assign(members)
    numbers = np.array(
        [int.from_bytes(member.tunnel.pack()[:4], "big") for member in ordered]
    )
    return numbers[owners]


def measure_table(count: int) -> dict[str, float]:
    """Measure the slot table of one pool size and the removal of single members."""
    members = make_members(count)
    table = slots.replace(slots.empty(), members, now=0.0)
    started = time.process_time()
    slots.replace(table, members[:-1], now=1.0)
    seconds = time.process_time() - started
    owners = owner_numbers(members)
    counts = np.unique(owners, return_counts=True)[1]
    excess = []
    for removed in random.Random(SEED).sample(members, REMOVALS):
        after = owner_numbers([member for member in members if member != removed])
        number = int.from_bytes(removed.tunnel.pack()[:4], "big")
        reassigned = (
            (owners != after) if len(owners) == len(after) else np.array([np.nan])
        )
        excess.append(float(reassigned.mean() - (owners == number).mean()))
    return {
        "slots": float(len(owners)),
        "rebuild_milliseconds": seconds * 1000,
        "max_over_mean": float(counts.max() / (len(owners) / count)),
        "necessary_share": 1 / count,
        "excess_share": statistics.mean(excess),
    }


def print_forwarding(costs: dict[str, float]) -> None:
    """Print the cost of each case and its ratio to the bare loop."""
    print(f"{'case':<50}{'us/packet':>10}{'x bare':>8}")
    for name, cost in costs.items():
        print(f"{name:<50}{cost:>10.2f}{cost / costs['bare']:>8.2f}")


def print_tables(tables: dict[int, dict[str, float]]) -> None:
    """Print the figures of each pool size."""
    print(
        f"{'members':>8}{'slots':>9}{'rebuild ms':>12}{'max/mean':>10}"
        f"{'necessary':>11}{'excess':>9}"
    )
    for count, row in tables.items():
        print(
            f"{count:>8}{row['slots']:>9.0f}{row['rebuild_milliseconds']:>12.1f}"
            f"{row['max_over_mean']:>10.3f}{row['necessary_share']:>11.5f}"
            f"{row['excess_share']:>9.5f}"
        )


def main() -> None:
    """Run all measurements, print tables and write the results as JSON."""
    tables = {count: measure_table(count) for count in TABLE_SIZES}
    print_tables(tables)
    costs = measure_forwarding()
    print_forwarding(costs)
    task_costs = measure_task()
    print_forwarding(task_costs)
    OUTPUT.parent.mkdir(exist_ok=True)
    result = {
        "microseconds_per_packet": costs,
        "microseconds_per_packet_with_task": task_costs,
        "tables": tables,
    }
    OUTPUT.write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
