"""Measures memory and CPU time of a sidecar's QUIC connections and requests.

Run ``python -m bench.lines``. The sidecar's side is the QUIC endpoint alone, without
sockets. The callers run in the same process, but only the time spent inside the
endpoint is counted. Memory is measured in a fresh process for each number of
connections; there, each caller is released after it has received one response.
"""

import argparse
from collections import abc
import dataclasses
import gc
import json
import pathlib
import subprocess
import sys
import time

from plantainproxy import _types
from plantainproxy.quic import endpoint, events
from plantainproxy.rpc import messages
from standins import http3_client, quic_pair

PAGE_BYTES = 4096
STEP_SECONDS = 0.002
"""Virtual time between two exchanges; without it, pacing would delay the data."""
OUTPUT = pathlib.Path("out/bench_lines.json")
RESPONSE = messages.Response(
    status=200,
    headers=(messages.Header(name=b"content-type", value=b"text/plain"),),
    body=b"a" * 512,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The figures for one number of connections."""

    lines: int
    kibibytes_per_line: float
    """Growth of the resident set size per connection, with the callers released."""
    handshake_milliseconds: float
    """CPU time of the endpoint for one new connection."""
    request_milliseconds: float
    """CPU time of the endpoint for one request and its response."""
    keepalive_milliseconds: float
    """CPU time of the endpoint for one PING and its acknowledgement."""
    timer_microseconds: float
    """CPU time for the timer of one idle connection."""


class CpuMeter:
    """Accumulates the CPU time spent in the endpoint."""

    def __init__(self) -> None:
        """Start at zero."""
        self.seconds = 0.0

    def run(self, call: abc.Callable[[], object]) -> None:
        """Run a call and add its CPU time."""
        started = time.process_time()
        call()
        self.seconds += time.process_time() - started


class Harness:
    """One endpoint and its callers, connected without delay or loss."""

    def __init__(self) -> None:
        """Create an endpoint without connections."""
        self.server = quic_pair.make_endpoint()
        self.clients: dict[_types.Address, http3_client.Http3Client] = {}
        self.meter = CpuMeter()
        self.now = 100.0

    def exchange_datagrams(
        self, active: dict[_types.Address, http3_client.Http3Client]
    ) -> None:
        """Exchange datagrams until neither side has any to send."""
        moved = True
        while moved:
            moved = False
            self.now += STEP_SECONDS
            for address, client in active.items():
                for payload in client.take_datagrams(self.now):
                    moved = True
                    self.meter.run(lambda p=payload, a=address: self._deliver(p, a))  # type: ignore[misc]
            sent: list[endpoint.OutgoingDatagram] = []
            self.meter.run(lambda s=sent: s.extend(self._respond_to_requests()))  # type: ignore[misc]
            for outgoing in sent:
                moved = True
                active[outgoing.caller].receive(outgoing.payload, self.now)

    def open_connections(self, count: int) -> None:
        """Open connections one after another."""
        configuration = http3_client.client_configuration()
        for _ in range(count):
            number = len(self.clients)
            address = _types.Address(f"127.0.{number // 250}.{number % 250 + 1}", 5000)
            client = http3_client.Http3Client(
                configuration=configuration, service=quic_pair.SERVICE, now=self.now
            )
            self.clients[address] = client
            self.exchange_datagrams({address: client})

    def request_all(self) -> None:
        """Send one request from every caller and receive its response."""
        for address, client in self.clients.items():
            client.request("GET", "/bench")
            self.exchange_datagrams({address: client})
            assert not client.open_requests

    def ping_all(self) -> None:
        """Send one PING from every caller and exchange the datagrams."""
        for address, client in self.clients.items():
            client.ping()
            self.exchange_datagrams({address: client})

    def run_timers(self) -> int:
        """Run the due timers one second later; return the number of connections."""
        self.now += 1.0
        self.meter.run(lambda: self.server.handle_timer(self.now))
        self.meter.run(lambda: self.server.take_datagrams(self.now))
        return len(self.server.connections)

    def _deliver(self, payload: bytes, address: _types.Address) -> None:
        quic_pair.dispatch_datagram(
            self.server, payload, address, quic_pair.SERVICE, self.now
        )

    def _respond_to_requests(self) -> list[endpoint.OutgoingDatagram]:
        for event in self.server.take_events():
            if isinstance(event, events.RequestReceived):
                self.server.respond(event.connection, event.stream, RESPONSE)
        return self.server.take_datagrams(self.now)


def resident_kibibytes() -> float:
    """Return the resident set size of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1024


def measure(connections: int) -> Result:
    """Measure one number of connections."""
    kibibytes_per_connection = memory_in_fresh_process(connections)
    harness = Harness()
    harness.open_connections(connections)
    handshake_seconds = harness.meter.seconds
    harness.request_all()
    harness.meter = CpuMeter()
    harness.request_all()
    request_seconds = harness.meter.seconds
    harness.meter = CpuMeter()
    harness.ping_all()
    ping_seconds = harness.meter.seconds
    harness.meter = CpuMeter()
    count = harness.run_timers()
    assert count == connections
    return Result(
        lines=connections,
        kibibytes_per_line=kibibytes_per_connection,
        handshake_milliseconds=handshake_seconds / connections * 1e3,
        request_milliseconds=request_seconds / connections * 1e3,
        keepalive_milliseconds=ping_seconds / connections * 1e3,
        timer_microseconds=harness.meter.seconds / connections * 1e6,
    )


def memory_in_fresh_process(connections: int) -> float:
    """Run :func:`measure_memory` in a process without earlier allocations."""
    command = [sys.executable, "-m", "bench.lines", "--memory-of", str(connections)]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(completed.stdout)


def measure_memory(connections: int) -> float:
    """Return the mean memory in KiB of a connection that has served one request.

    Each caller is released after its response, so its memory is not counted.
    """
    harness = Harness()
    harness.open_connections(5)
    harness.clients.clear()
    before = resident_kibibytes()
    configuration = http3_client.client_configuration()
    for number in range(connections):
        address = _types.Address(f"127.1.{number // 250}.{number % 250 + 1}", 5000)
        client = http3_client.Http3Client(
            configuration=configuration, service=quic_pair.SERVICE, now=harness.now
        )
        harness.exchange_datagrams({address: client})
        client.request("GET", "/bench")
        harness.exchange_datagrams({address: client})
    assert len(harness.server.connections) == connections + 5
    return (resident_kibibytes() - before) / connections


def slope(results: list[Result]) -> dict[str, float]:
    """Compare the last result with the first.

    Return the memory per additional connection and the growth factors of the CPU times
    of a request and a handshake.
    """
    first, last = results[0], results[-1]
    total = last.kibibytes_per_line * last.lines
    total -= first.kibibytes_per_line * first.lines
    return {
        "kibibytes_per_line": total / max(1, last.lines - first.lines),
        "request_ratio": last.request_milliseconds / first.request_milliseconds,
        "handshake_ratio": last.handshake_milliseconds / first.handshake_milliseconds,
    }


def main() -> None:
    """Run all measurements, print a table and write the results as JSON."""
    parser = argparse.ArgumentParser(prog="bench.lines", description=__doc__)
    parser.add_argument("--lines", type=int, nargs="+", default=[500, 1000, 3000])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    parser.add_argument(
        "--memory-of", type=int, help="Print only the KiB per connection."
    )
    options = parser.parse_args()
    if options.memory_of is not None:
        print(measure_memory(options.memory_of))
        return
    print(
        f"{'lines':>6} {'KiB/line':>9} {'open ms':>8} {'request ms':>11}"
        f" {'ping ms':>8} {'timer us':>9}"
    )
    results: list[Result] = []
    for connections in options.lines:
        result = measure(connections)
        results.append(result)
        print(
            f"{result.lines:>6} {result.kibibytes_per_line:>9.1f}"
            f" {result.handshake_milliseconds:>8.2f}"
            f" {result.request_milliseconds:>11.3f}"
            f" {result.keepalive_milliseconds:>8.3f}"
            f" {result.timer_microseconds:>9.1f}",
            flush=True,
        )
    slopes = slope(results)
    print("slope:", {name: round(value, 3) for name, value in slopes.items()})
    options.output.parent.mkdir(parents=True, exist_ok=True)
    document = {
        "results": [dataclasses.asdict(result) for result in results],
        "slope": slopes,
    }
    options.output.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
