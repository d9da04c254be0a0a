"""Sidecars of one pool with stand-in upstreams in one process, without sockets.

It is meant for a simulated clock. Each sidecar runs its real pipeline.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import random

import trio

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
KEYS = model.KeySet(
    revision=1, current=1, keys=(model.Key(number=1, secret=b"s" * 32),)
)


@dataclasses.dataclass(kw_only=True)
class Host:
    """One sidecar with its upstream."""

    address: _types.Address
    state: context.State
    standin: standin.UpstreamState
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


def make_host(number: int, settings: standin.Settings) -> Host:
    """Make one sidecar and its upstream."""
    address = _types.Address("127.0.0.1", 7000 + number)
    table = claim_table.Table(home=address, generation=1, tag=tickets.pool_tag("fleet"))
    state = context.State(
        local_address=address,
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
    context.apply_view(state, view, now=0.0)
    return Host(address=address, state=state, standin=standin.create(settings))


def tell_siblings(fleet: Fleet) -> None:
    """Tell all sidecars which of them are up."""
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
        context.apply_siblings(host.state, records if fleet.spread else ())


async def run_upstream(
    host: Host, request: messages.Request, timeout: float
) -> upstream.Result:
    """Run a request on a stand-in upstream."""
    received = standin.Request(
        method=request.method, path=request.path, headers={}, body=request.body
    )
    if not host.up:
        return upstream.Result(
            signal=admission.Signal.CONNECTION_ERROR,
            error=_exceptions.ErrorKind.NO_UPSTREAM,
        )
    with trio.move_on_after(timeout):
        try:
            reply = await standin.run_request(host.standin, received)
        except standin.ExchangeClosedError:
            return upstream.Result(
                signal=admission.Signal.CONNECTION_ERROR,
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


def ports(fleet: Fleet, host: Host, nursery: trio.Nursery) -> context.Ports:
    """Return the ports of one sidecar."""

    async def run(request: messages.Request, timeout: float) -> upstream.Result:
        return await run_upstream(host, request, timeout)

    async def execute(
        to: _types.Address, request: messages.ExecuteRequest, _: float
    ) -> messages.ExecuteReply:
        await trio.sleep(HOP_SECONDS)
        sibling = fleet.hosts[to]
        if not sibling.up:
            raise _exceptions.PlantainError(_exceptions.ErrorKind.NO_UPSTREAM)
        reply = await requests.handle_execute(
            sibling.state, ports(fleet, sibling, nursery), request
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


async def ask(fleet: Fleet, host: Host, nursery: trio.Nursery) -> None:
    """Send one request to a sidecar and note how it ended."""
    phase = fleet.phase
    begun = trio.current_time()
    request = messages.Request(method="GET", path="/")
    response = await requests.handle(
        host.state, ports(fleet, host, nursery), request, service=SERVICE
    )
    phase.answers[str(response.status)] += 1
    if response.status == 200:
        phase.latencies.append(trio.current_time() - begun)


async def arrive(
    fleet: Fleet, host: Host, per_second: float, nursery: trio.Nursery
) -> None:
    """Send requests at random times."""
    while True:
        await trio.sleep(fleet.draw.expovariate(per_second))
        target = host
        if not host.up:
            up = [other for other in fleet.hosts.values() if other.up]
            target = fleet.draw.choice(up)
        nursery.start_soon(ask, fleet, target, nursery)


async def poll_health(fleet: Fleet) -> None:
    """Poll the health of all upstreams."""
    while True:
        for host in fleet.hosts.values():
            fallen = trio.current_time() < host.standin.failed_until
            report = admission.HealthReport(started=host.standin.start_id)
            gone = fallen or not host.up
            context.apply_health_report(host.state, None if gone else report)
        await trio.sleep(upstream.HEALTH_INTERVAL_SECONDS)


async def sample(fleet: Fleet) -> None:
    """Sample the running requests of all upstreams."""
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


def set_up(host: Host, *, up: bool) -> None:
    """Take an upstream away, or bring it back cold."""
    host.up = up
    if up:
        host.standin = standin.create(host.standin.settings)


async def measure(fleet: Fleet, name: str, seconds: float) -> Phase:
    """Measure one phase."""
    phase = fleet.phase = Phase(name=name)
    before = fallen(fleet)
    await trio.sleep(seconds)
    phase.fallen = fallen(fleet) - before
    return phase


def fallen(fleet: Fleet) -> int:
    """Count the exchanges that fallen upstreams closed."""
    return sum(host.standin.failed_exchanges for host in fleet.hosts.values())


@contextlib.asynccontextmanager
async def running(
    hosts: int,
    settings: standin.Settings,
    *,
    utilisation: float,
    seed: int,
    spread: bool = True,
) -> abc.AsyncIterator[Fleet]:
    """Run a fleet under load; every second sidecar gets three times the arrivals."""
    made = [make_host(number, settings) for number in range(hosts)]
    fleet = Fleet(
        hosts={host.address: host for host in made},
        draw=random.Random(seed),
        phase=Phase(name="start"),
        spread=spread,
    )
    tell_siblings(fleet)
    capacity = settings.slots / settings.service_seconds
    async with trio.open_nursery() as nursery:
        for number, host in enumerate(made):
            uneven = 1.5 if number % 2 else 0.5
            rate = capacity * utilisation * uneven
            nursery.start_soon(arrive, fleet, host, rate, nursery)
        nursery.start_soon(poll_health, fleet)
        nursery.start_soon(sample, fleet)
        yield fleet
        nursery.cancel_scope.cancel()
