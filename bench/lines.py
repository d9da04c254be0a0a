"""Memory and processor time of a sidecar's lines and requests.

Run ``python -m bench.lines``. The sidecar's side is the endpoint alone, without
sockets; each caller runs in the same process, and only the time spent inside the
endpoint is counted. Memory is read in a fresh process for each number of lines, where
each caller is dropped once its line is open and has had one answer.
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
"""Time that passes between two exchanges; without any, pacing holds data back."""
OUTPUT = pathlib.Path("out/bench_lines.json")
ANSWER = messages.Response(
    status=200,
    headers=(messages.Header(name=b"content-type", value=b"text/plain"),),
    body=b"a" * 512,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The figures for one number of lines."""

    lines: int
    kibibytes_per_line: float
    """Growth of the resident size over an empty endpoint, callers dropped."""
    handshake_milliseconds: float
    """Processor time of the endpoint for one new line."""
    request_milliseconds: float
    """Processor time of the endpoint for one request and its answer."""
    keepalive_milliseconds: float
    """Processor time of the endpoint for one PING and its acknowledgement."""
    timer_microseconds: float
    """Processor time of one idle line's timer."""


class Meter:
    """Adds up the processor time spent in the endpoint."""

    def __init__(self) -> None:
        """Start at zero."""
        self.seconds = 0.0

    def run(self, work: abc.Callable[[], object]) -> None:
        """Do some work and add its time."""
        started = time.process_time()
        work()
        self.seconds += time.process_time() - started


class Bench:
    """One endpoint and its callers, joined without delay or loss."""

    def __init__(self) -> None:
        """Start without lines."""
        self.server = quic_pair.make_endpoint()
        self.clients: dict[_types.Address, http3_client.Http3Client] = {}
        self.meter = Meter()
        self.now = 100.0

    def exchange(self, active: dict[_types.Address, http3_client.Http3Client]) -> None:
        """Move datagrams until both sides are quiet."""
        moved = True
        while moved:
            moved = False
            self.now += STEP_SECONDS
            for address, client in active.items():
                for payload in client.take_datagrams(self.now):
                    moved = True
                    self.meter.run(lambda p=payload, a=address: self._take(p, a))  # type: ignore[misc]
            sent: list[endpoint.Outgoing] = []
            self.meter.run(lambda s=sent: s.extend(self._give()))  # type: ignore[misc]
            for outgoing in sent:
                moved = True
                active[outgoing.caller].receive(outgoing.payload, self.now)

    def open_lines(self, count: int) -> None:
        """Open lines, one after the other."""
        configuration = http3_client.client_configuration()
        for _ in range(count):
            number = len(self.clients)
            address = _types.Address(f"127.0.{number // 250}.{number % 250 + 1}", 5000)
            client = http3_client.Http3Client(
                configuration=configuration, service=quic_pair.SERVICE, now=self.now
            )
            self.clients[address] = client
            self.exchange({address: client})

    def request_all(self) -> None:
        """Let every caller send one request and read the answer."""
        for address, client in self.clients.items():
            client.request("GET", "/bench")
            self.exchange({address: client})
            assert not client.open_requests

    def ping_all(self) -> None:
        """Let every caller send one PING."""
        for address, client in self.clients.items():
            client.ping()
            self.exchange({address: client})

    def run_timers(self) -> int:
        """Let every delayed timer fire; return how many lines there were."""
        self.now += 1.0
        self.meter.run(lambda: self.server.handle_timer(self.now))
        self.meter.run(lambda: self.server.take_datagrams(self.now))
        return len(self.server.lines)

    def _take(self, payload: bytes, address: _types.Address) -> None:
        quic_pair.dispatch_datagram(
            self.server, payload, address, quic_pair.SERVICE, self.now
        )

    def _give(self) -> list[endpoint.Outgoing]:
        for event in self.server.take_events():
            if isinstance(event, events.RequestReceived):
                self.server.respond(event.line, event.stream, ANSWER)
        return self.server.take_datagrams(self.now)


def resident_kibibytes() -> float:
    """Return the resident size of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1024


def measure(lines: int) -> Result:
    """Measure one number of lines."""
    memory = memory_in_fresh_process(lines)
    bench = Bench()
    bench.open_lines(lines)
    handshake = bench.meter.seconds
    bench.request_all()
    bench.meter = Meter()
    bench.request_all()
    request = bench.meter.seconds
    bench.meter = Meter()
    bench.ping_all()
    ping = bench.meter.seconds
    bench.meter = Meter()
    count = bench.run_timers()
    assert count == lines
    return Result(
        lines=lines,
        kibibytes_per_line=memory,
        handshake_milliseconds=handshake / lines * 1e3,
        request_milliseconds=request / lines * 1e3,
        keepalive_milliseconds=ping / lines * 1e3,
        timer_microseconds=bench.meter.seconds / lines * 1e6,
    )


def memory_in_fresh_process(lines: int) -> float:
    """Run :func:`measure_memory` where nothing was allocated before."""
    command = [sys.executable, "-m", "bench.lines", "--memory-of", str(lines)]
    finished = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(finished.stdout)


def measure_memory(lines: int) -> float:
    """Return how much one line adds, after one request each."""
    bench = Bench()
    bench.open_lines(5)
    bench.clients.clear()
    before = resident_kibibytes()
    configuration = http3_client.client_configuration()
    for number in range(lines):
        address = _types.Address(f"127.1.{number // 250}.{number % 250 + 1}", 5000)
        client = http3_client.Http3Client(
            configuration=configuration, service=quic_pair.SERVICE, now=bench.now
        )
        bench.exchange({address: client})
        client.request("GET", "/bench")
        bench.exchange({address: client})
    assert len(bench.server.lines) == lines + 5
    return (resident_kibibytes() - before) / lines


def slope(results: list[Result]) -> dict[str, float]:
    """Return what one more line adds between the first and the last result."""
    first, last = results[0], results[-1]
    total = last.kibibytes_per_line * last.lines
    total -= first.kibibytes_per_line * first.lines
    return {
        "kibibytes_per_line": total / max(1, last.lines - first.lines),
        "request_ratio": last.request_milliseconds / first.request_milliseconds,
        "handshake_ratio": last.handshake_milliseconds / first.handshake_milliseconds,
    }


def main() -> None:
    """Measure, print a table and write the result as JSON."""
    parser = argparse.ArgumentParser(prog="bench.lines", description=__doc__)
    parser.add_argument("--lines", type=int, nargs="+", default=[500, 1000, 3000])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    parser.add_argument("--memory-of", type=int, help="Print KiB per line only.")
    options = parser.parse_args()
    if options.memory_of is not None:
        print(measure_memory(options.memory_of))
        return
    print(
        f"{'lines':>6} {'KiB/line':>9} {'open ms':>8} {'request ms':>11}"
        f" {'ping ms':>8} {'timer us':>9}"
    )
    results: list[Result] = []
    for lines in options.lines:
        result = measure(lines)
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
