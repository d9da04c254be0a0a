"""Runs the sidecars of one pool with stand-in upstreams, in process without sockets.

Each sidecar runs the production request pipeline. Run it on a virtual clock.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import random

import trio

from plantainproxy import _exceptions, _members, _types
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
    """One sidecar and its stand-in upstream."""

    address: _types.Address
    state: context.State
    standin: standin.UpstreamState
    is_up: bool = True


@dataclasses.dataclass(kw_only=True)
class Phase:
    """The measurements of one phase."""

    name: str
    latencies: list[float] = dataclasses.field(default_factory=list)
    status_counts: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    running_totals: dict[_types.Address, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    """Sums of the sampled numbers of running requests, by sidecar."""
    closed_exchanges: int = 0
    """Exchanges closed by upstreams that had failed from overload while cold."""
    cold_peak: int = 0
    """Maximum number of concurrent requests on an upstream while it was cold."""


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """All hosts of one pool and the phase being measured."""

    hosts: dict[_types.Address, Host]
    rng: random.Random
    phase: Phase
    use_siblings: bool


def make_host(number: int, settings: standin.Settings) -> Host:
    """Create one sidecar and its upstream."""
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


def notify_siblings(fleet: Fleet) -> None:
    """Send the current siblings to all sidecars; none if siblings are not used."""
    records = tuple(
        _members.MemberRecord(
            kind=_types.MemberKind.SIDECAR,
            rpc=host.address,
            domain="matane",
            generation=1,
            sequence=1,
        )
        for host in fleet.hosts.values()
        if host.is_up
    )
    for host in fleet.hosts.values():
        context.apply_siblings(host.state, records if fleet.use_siblings else ())


async def run_upstream(
    host: Host, request: messages.Request, timeout: float
) -> upstream.Result:
    """Run a request on a stand-in upstream and classify the outcome."""
    received = standin.Request(
        method=request.method, path=request.path, headers={}, body=request.body
    )
    if not host.is_up:
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


def make_ports(fleet: Fleet, host: Host, nursery: trio.Nursery) -> context.Ports:
    """Return the external calls of one sidecar; claims on other sidecars fail."""

    async def run(request: messages.Request, timeout: float) -> upstream.Result:
        return await run_upstream(host, request, timeout)

    async def execute(
        to: _types.Address, request: messages.ExecuteRequest, _: float
    ) -> messages.ExecuteReply:
        await trio.sleep(HOP_SECONDS)
        sibling = fleet.hosts[to]
        if not sibling.is_up:
            raise _exceptions.PlantainError(_exceptions.ErrorKind.NO_UPSTREAM)
        reply = await requests.handle_execute(
            sibling.state, make_ports(fleet, sibling, nursery), request
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
        random=fleet.rng.random,
    )


async def send_request(fleet: Fleet, host: Host, nursery: trio.Nursery) -> None:
    """Send one request to a sidecar and record its status and latency."""
    phase = fleet.phase
    started_at = trio.current_time()
    request = messages.Request(method="GET", path="/")
    response = await requests.handle(
        host.state, make_ports(fleet, host, nursery), request, service=SERVICE
    )
    phase.status_counts[str(response.status)] += 1
    if response.status == 200:
        phase.latencies.append(trio.current_time() - started_at)


async def generate_requests(
    fleet: Fleet, host: Host, per_second: float, nursery: trio.Nursery
) -> None:
    """Send requests at random intervals, to another host while this one is down."""
    while True:
        await trio.sleep(fleet.rng.expovariate(per_second))
        target = host
        if not host.is_up:
            available_hosts = [other for other in fleet.hosts.values() if other.is_up]
            target = fleet.rng.choice(available_hosts)
        nursery.start_soon(send_request, fleet, target, nursery)


async def poll_health(fleet: Fleet) -> None:
    """Poll the health of all upstreams and apply it to their sidecars."""
    while True:
        for host in fleet.hosts.values():
            has_failed = trio.current_time() < host.standin.failed_until
            report = admission.HealthReport(started=host.standin.start_id)
            is_unreachable = has_failed or not host.is_up
            context.apply_health_report(host.state, None if is_unreachable else report)
        await trio.sleep(upstream.HEALTH_INTERVAL_SECONDS)


async def sample(fleet: Fleet) -> None:
    """Sample the number of running requests of all available upstreams."""
    while True:
        await trio.sleep(SAMPLE_SECONDS)
        now = trio.current_time()
        for host in fleet.hosts.values():
            if not host.is_up:
                continue
            running = host.standin.running
            fleet.phase.running_totals[host.address] += running
            if now < host.standin.cold_until:
                fleet.phase.cold_peak = max(fleet.phase.cold_peak, running)


def set_availability(host: Host, *, is_up: bool) -> None:
    """Stop an upstream, or restart it cold."""
    host.is_up = is_up
    if is_up:
        host.standin = standin.create(host.standin.settings)


async def measure(fleet: Fleet, name: str, seconds: float) -> Phase:
    """Measure one phase of the given duration."""
    phase = fleet.phase = Phase(name=name)
    before = count_closed_exchanges(fleet)
    await trio.sleep(seconds)
    phase.closed_exchanges = count_closed_exchanges(fleet) - before
    return phase


def count_closed_exchanges(fleet: Fleet) -> int:
    """Return how many exchanges upstreams closed because of overload while cold."""
    return sum(host.standin.failed_exchanges for host in fleet.hosts.values())


@contextlib.asynccontextmanager
async def run_fleet(
    hosts: int,
    settings: standin.Settings,
    *,
    utilisation: float,
    seed: int,
    use_siblings: bool = True,
) -> abc.AsyncIterator[Fleet]:
    """Run a fleet under load; every second sidecar receives triple the requests."""
    fleet_hosts = [make_host(number, settings) for number in range(hosts)]
    fleet = Fleet(
        hosts={host.address: host for host in fleet_hosts},
        rng=random.Random(seed),
        phase=Phase(name="start"),
        use_siblings=use_siblings,
    )
    notify_siblings(fleet)
    capacity = settings.slots / settings.service_seconds
    async with trio.open_nursery() as nursery:
        for number, host in enumerate(fleet_hosts):
            load_factor = 1.5 if number % 2 else 0.5
            rate = capacity * utilisation * load_factor
            nursery.start_soon(generate_requests, fleet, host, rate, nursery)
        nursery.start_soon(poll_health, fleet)
        nursery.start_soon(sample, fleet)
        yield fleet
        nursery.cancel_scope.cancel()
