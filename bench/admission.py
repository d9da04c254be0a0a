"""Admission and placement before cold upstreams, on a simulated clock.

Run with ``python -m bench.admission``. Sidecars of one pool run their real pipeline
against stand-in upstreams; only sockets are left out. Arrivals are uneven, and two
upstreams go and come back cold together.
"""

import collections
import dataclasses
import json
import random

import fire
import numpy
import trio
import trio.testing

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import admission, tickets
from plantainproxy.core import claims as claim_table
from plantainproxy.rpc import messages
from plantainproxy.sidecar import claims, context, requests, upstream
from plantainproxy.wire import keyring
from standins import upstream as standin

SERVICE = _types.Address("10.0.0.1", 443)
HOP_SECONDS = 0.002
SAMPLE_SECONDS = 0.01
WARM_SECONDS = 30.0
PHASE_SECONDS = 20.0
KEYS = model.KeySet(
    revision=1, current=1, keys=(model.Key(number=1, secret=b"s" * 32),)
)


@dataclasses.dataclass(kw_only=True)
class Host:
    """One sidecar with its upstream."""

    address: _types.Address
    state: context.State
    standin: standin.State
    up: bool = True


@dataclasses.dataclass(kw_only=True)
class Phase:
    """What was seen in one phase."""

    name: str
    latencies: list[float] = dataclasses.field(default_factory=list)
    answers: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    running: dict[_types.Address, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    fallen: int = 0
    cold_peak: int = 0
    """Most requests at once on an upstream while it was cold."""


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """All hosts of one pool and the phase that is measured now."""

    hosts: dict[_types.Address, Host]
    draw: random.Random
    phase: Phase
    spread: bool


def _make_host(number: int, settings: standin.Settings) -> Host:
    address = _types.Address("127.0.0.1", 7000 + number)
    table = claim_table.Table(home=address, generation=1, tag=tickets.pool_tag("fleet"))
    state = context.State(
        own=address,
        table=table,
        max_body_bytes=1000,
        default_timeout_seconds=5.0,
        ring=keyring.Keyring(KEYS),
    )
    view = model.PoolView(
        revision=1,
        pool=model.Pool(name="fleet"),
        services=(SERVICE,),
        domain_number=0,
        domain_in=True,
        drained=False,
    )
    context.update_view(state, view, now=0.0)
    return Host(address=address, state=state, standin=standin.create(settings))


def _tell_siblings(fleet: Fleet) -> None:
    records = tuple(
        _types.MemberRecord(
            kind=_types.MemberKind.SIDECAR,
            rpc=host.address,
            domain="matane",
            generation=1,
            sequence=1,
        )
        for host in fleet.hosts.values()
        if host.up
    )
    for host in fleet.hosts.values():
        context.update_siblings(host.state, records if fleet.spread else ())


async def _run_upstream(
    host: Host, request: messages.Request, timeout: float
) -> upstream.Result:
    received = standin.Received(
        method=request.method, path=request.path, headers={}, body=request.body
    )
    if not host.up:
        return upstream.Result(
            signal=admission.Signal.CONNECTION,
            error=_exceptions.ErrorKind.NO_UPSTREAM,
        )
    with trio.move_on_after(timeout):
        try:
            reply = await standin.run_request(host.standin, received)
        except standin.ExchangeClosedError:
            return upstream.Result(
                signal=admission.Signal.CONNECTION,
                error=_exceptions.ErrorKind.UPSTREAM_FAILED,
            )
        if reply.status == 503:
            return upstream.Result(
                signal=admission.Signal.OVERLOAD,
                error=_exceptions.ErrorKind.OVERLOADED,
            )
        return upstream.Result(
            signal=admission.Signal.SUCCESS,
            response=messages.Response(status=reply.status),
        )
    return upstream.Result(
        signal=admission.Signal.TIMEOUT, error=_exceptions.ErrorKind.UPSTREAM_TIMEOUT
    )


def _ports(fleet: Fleet, host: Host, nursery: trio.Nursery) -> context.Ports:
    async def run(request: messages.Request, timeout: float) -> upstream.Result:
        return await _run_upstream(host, request, timeout)

    async def execute(
        to: _types.Address, request: messages.ExecuteRequest, _: float
    ) -> messages.ExecuteReply:
        await trio.sleep(HOP_SECONDS)
        sibling = fleet.hosts[to]
        if not sibling.up:
            raise _exceptions.PlantainError(_exceptions.ErrorKind.NO_UPSTREAM)
        reply = await requests.handle_execute(
            sibling.state, _ports(fleet, sibling, nursery), request
        )
        await trio.sleep(HOP_SECONDS)
        return reply

    async def claim(
        _: _types.Address, request: messages.ClaimRequest, timeout: float
    ) -> messages.ClaimReply:
        raise _exceptions.PlantainError(_exceptions.ErrorKind.PEER_UNAVAILABLE)

    async def settle(
        _: _types.Address, request: messages.SettleRequest, timeout: float
    ) -> messages.SettleReply:
        raise _exceptions.PlantainError(_exceptions.ErrorKind.PEER_UNAVAILABLE)

    return context.Ports(
        run=run,
        execute=execute,
        claims=claims.Ports(claim=claim, settle=settle),
        start_soon=nursery.start_soon,
        random=fleet.draw.random,
    )


async def _ask(fleet: Fleet, host: Host, nursery: trio.Nursery) -> None:
    phase = fleet.phase
    begun = trio.current_time()
    request = messages.Request(method="GET", path="/")
    ports = _ports(fleet, host, nursery)
    response = await requests.handle(host.state, ports, request, service=SERVICE)
    phase.answers[str(response.status)] += 1
    if response.status == 200:
        phase.latencies.append(trio.current_time() - begun)


async def _arrive(
    fleet: Fleet, host: Host, per_second: float, nursery: trio.Nursery
) -> None:
    while True:
        await trio.sleep(fleet.draw.expovariate(per_second))
        target = host
        if not host.up:
            up = [other for other in fleet.hosts.values() if other.up]
            target = fleet.draw.choice(up)
        nursery.start_soon(_ask, fleet, target, nursery)


async def _poll_health(fleet: Fleet) -> None:
    while True:
        for host in fleet.hosts.values():
            fallen = trio.current_time() < host.standin.fallen_until
            report = admission.Report(started=host.standin.started)
            gone = fallen or not host.up
            context.update_health(host.state, None if gone else report)
        await trio.sleep(upstream.HEALTH_INTERVAL_SECONDS)


async def _sample(fleet: Fleet) -> None:
    while True:
        await trio.sleep(SAMPLE_SECONDS)
        now = trio.current_time()
        for host in fleet.hosts.values():
            if not host.up:
                continue
            running = host.standin.running
            fleet.phase.running[host.address] += running
            if now < host.standin.cold_until:
                fleet.phase.cold_peak = max(fleet.phase.cold_peak, running)


def _set_up(host: Host, *, up: bool) -> None:
    host.up = up
    if up:
        host.standin = standin.create(host.standin.settings)


async def _measure(fleet: Fleet, name: str, seconds: float) -> Phase:
    phase = fleet.phase = Phase(name=name)
    before = _fallen(fleet)
    await trio.sleep(seconds)
    phase.fallen = _fallen(fleet) - before
    return phase


def _fallen(fleet: Fleet) -> int:
    return sum(host.standin.fallen for host in fleet.hosts.values())


def _row(phase: Phase) -> dict[str, object]:
    means = list(phase.running.values())
    quantiles = numpy.quantile(phase.latencies or [0.0], [0.5, 0.99])
    return {
        "phase": phase.name,
        "answers": dict(sorted(phase.answers.items())),
        "imbalance": round(max(means) / (sum(means) / len(means)), 3),
        "p50_ms": round(float(quantiles[0]) * 1000, 1),
        "p99_ms": round(float(quantiles[1]) * 1000, 1),
        "fallen": phase.fallen,
        "cold_peak": phase.cold_peak,
    }


async def _run(
    hosts: int, utilisation: float, seed: int, *, spread: bool
) -> list[dict[str, object]]:
    settings = standin.Settings(cold_seconds=3.0, service_seconds=0.02)
    made = [_make_host(number, settings) for number in range(hosts)]
    fleet = Fleet(
        hosts={host.address: host for host in made},
        draw=random.Random(seed),
        phase=Phase(name="warm-up"),
        spread=spread,
    )
    _tell_siblings(fleet)
    capacity = settings.slots / settings.service_seconds
    rows = []
    async with trio.open_nursery() as nursery:
        for number, host in enumerate(made):
            uneven = 1.5 if number % 2 else 0.5
            rate = capacity * utilisation * uneven
            nursery.start_soon(_arrive, fleet, host, rate, nursery)
        nursery.start_soon(_poll_health, fleet)
        nursery.start_soon(_sample, fleet)
        rows.append(_row(await _measure(fleet, "cold start of all", WARM_SECONDS)))
        rows.append(_row(await _measure(fleet, "steady", PHASE_SECONDS)))
        for up, name in ((False, "two gone"), (True, "two back cold")):
            for host in made[:2]:
                _set_up(host, up=up)
            _tell_siblings(fleet)
            rows.append(_row(await _measure(fleet, name, PHASE_SECONDS)))
        rows.append(_row(await _measure(fleet, "steady again", PHASE_SECONDS)))
        nursery.cancel_scope.cancel()
    return rows


async def _run_all(hosts: int, utilisation: float, seed: int) -> None:
    for spread in (False, True):
        rows = await _run(hosts, utilisation, seed, spread=spread)
        for row in rows:
            print(json.dumps({"siblings": spread} | row))


def main(hosts: int = 7, utilisation: float = 0.4, seed: int = 1) -> None:
    """Print one JSON object for each phase, without and with siblings."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(_run_all, hosts, utilisation, seed, clock=clock)


if __name__ == "__main__":
    fire.Fire(main)
