"""A QUIC endpoint and its callers on a simulated network with faults.

The clock is simulated and the faults are drawn from a seeded generator, so a run is
reproducible.
"""

from collections import abc
import dataclasses
import math
import pathlib
import random
import tempfile

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import messages
from plantainproxy.wire import keyring
from standins import certificates, http3_client

SERVICE = _types.Address("127.1.0.1", 443)
OTHER_SERVICE = _types.Address("127.1.0.2", 443)
TUNNEL = _types.Address("127.0.0.5", 9000)
FIRST_KEY = model.Key(number=1, secret=b"a" * 32)
SECOND_KEY = model.Key(number=2, secret=b"b" * 32)
ONE_WAY_SECONDS = 0.005
MAX_STEPS = 20_000


def make_keys(*keys: model.Key, current: int = 1, revision: int = 1) -> keyring.Keyring:
    """Return a keyring of the given keys, or of the first test key."""
    return keyring.Keyring(
        model.KeySet(revision=revision, current=current, keys=keys or (FIRST_KEY,))
    )


def make_endpoint(
    *,
    keys: keyring.Keyring | None = None,
    generation: int = 1_000_000,
    limits: http3.Limits | None = None,
    idle_timeout_seconds: float = 30.0,
) -> endpoint.Endpoint:
    """Return an endpoint with a new self-signed certificate."""
    effective_limits = limits or http3.Limits()
    with tempfile.TemporaryDirectory() as directory:
        files = certificates.write_self_signed(pathlib.Path(directory))
        configuration = connection.server_configuration(
            certificate_file=str(files.certificate),
            private_key_file=str(files.private_key),
            idle_timeout_seconds=idle_timeout_seconds,
            max_body_bytes=effective_limits.max_body_bytes,
        )
    return endpoint.Endpoint(
        configuration=configuration,
        limits=effective_limits,
        identity=endpoint.Identity(
            tunnel=TUNNEL, domain_number=3, generation=generation
        ),
        keys=keys or make_keys(),
    )


def echo(event: events.RequestReceived) -> messages.Response:
    """Return a response with the method, path and body of the request."""
    request = event.request
    body = f"{request.method} {request.path} ".encode() + request.body
    return messages.Response(status=200, body=body)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Probabilities of the faults that the network applies to each datagram."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """A client connection with its current address and received events."""

    client: http3_client.Http3Client
    address: _types.Address
    events: list[http3_client.Event] = dataclasses.field(default_factory=list)


class Network:
    """Simulated network between one endpoint and its callers."""

    def __init__(
        self,
        server: endpoint.Endpoint,
        *,
        seed: int = 1,
        faults: Faults | None = None,
        respond: abc.Callable[[events.RequestReceived], messages.Response]
        | None = echo,
    ) -> None:
        """Create a network without callers.

        ``respond`` produces the response to each request; with ``None`` the test sends
        the responses itself.
        """
        self.server = server
        self.faults = faults or Faults()
        self.respond = respond
        self.random = random.Random(seed)
        self.now = 100.0
        self.callers: list[Caller] = []
        self.events: list[events.Event] = []
        self.to_server: list[tuple[float, bytes, Caller, _types.Address]] = []
        self.to_caller: list[tuple[float, endpoint.OutgoingDatagram]] = []
        self.captured: list[bytes] = []
        """Every datagram sent by a caller, before faults are applied."""

    def connect(self, service: _types.Address = SERVICE) -> Caller:
        """Add a caller that starts a handshake with a service address."""
        caller = Caller(
            client=http3_client.Http3Client(
                configuration=http3_client.client_configuration(),
                service=service,
                now=self.now,
            ),
            address=_types.Address("127.0.0.1", 20_000 + len(self.callers)),
        )
        self.callers.append(caller)
        return caller

    def run(self, seconds: float) -> None:
        """Advance the simulated time, delivering datagrams and running timers."""
        end = self.now + seconds
        for _ in range(MAX_STEPS):
            self._collect_datagrams()
            upcoming = self._next_event_at()
            if upcoming is None or upcoming > end:
                self.now = end
                return
            # A timer may be set again for the instant at which it fired, because of
            # rounding; a real clock has advanced by then.
            self.now = max(math.nextafter(self.now, math.inf), upcoming)
            self._deliver_due()
        raise AssertionError(
            f"network still has events to handle after {MAX_STEPS} steps"
        )

    def _collect_datagrams(self) -> None:
        for caller in self.callers:
            for payload in caller.client.take_datagrams(self.now):
                self.captured.append(payload)
                for delivery_time in self._delivery_times():
                    self.to_server.append(
                        (delivery_time, payload, caller, caller.address)
                    )
            caller.events += caller.client.take_events()
        self._handle_server_events()
        for outgoing in self.server.take_datagrams(self.now):
            for delivery_time in self._delivery_times():
                self.to_caller.append((delivery_time, outgoing))
        self._handle_server_events()

    def _handle_server_events(self) -> None:
        for event in self.server.take_events():
            self.events.append(event)
            if isinstance(event, events.RequestReceived) and self.respond is not None:
                self.server.respond(event.connection, event.stream, self.respond(event))

    def _delivery_times(self) -> list[float]:
        if self.random.random() < self.faults.loss:
            return []
        copies = 2 if self.random.random() < self.faults.duplication else 1
        delays = [ONE_WAY_SECONDS] * copies
        if self.random.random() < self.faults.reordering:
            delays[0] += self.random.random() * 10 * ONE_WAY_SECONDS
        return [self.now + delay for delay in delays]

    def _next_event_at(self) -> float | None:
        times = [entry[0] for entry in self.to_server]
        times += [entry[0] for entry in self.to_caller]
        timers = [self.server.next_timer()]
        timers += [caller.client.next_timer() for caller in self.callers]
        times += [timer for timer in timers if timer is not None]
        return min(times, default=None)

    def _deliver_due(self) -> None:
        due_to_server = [entry for entry in self.to_server if entry[0] <= self.now]
        self.to_server = [entry for entry in self.to_server if entry[0] > self.now]
        for _, payload, caller, address in due_to_server:
            dispatch_datagram(
                self.server, payload, address, caller.client.service, self.now
            )
        due_to_callers = [entry for entry in self.to_caller if entry[0] <= self.now]
        self.to_caller = [entry for entry in self.to_caller if entry[0] > self.now]
        for _, outgoing in due_to_callers:
            for caller in self.callers:
                if caller.address == outgoing.caller:
                    caller.client.receive(outgoing.payload, self.now)
        self.server.handle_timer(self.now)
        for caller in self.callers:
            timer = caller.client.next_timer()
            if timer is not None and timer <= self.now:
                caller.client.handle_timer(self.now)


def dispatch_datagram(
    server: endpoint.Endpoint,
    payload: bytes,
    caller: _types.Address,
    service: _types.Address,
    now: float,
) -> endpoint.DatagramKind:
    """Classify a datagram and call the endpoint's method for its kind.

    Unlike a sidecar, it forwards no datagram to another endpoint: a foreign connection
    is reset.
    """
    verdict = server.classify(payload, caller=caller, service=service)
    match verdict.kind:
        case endpoint.DatagramKind.EXISTING_CONNECTION:
            server.receive(payload, caller=caller, service=service, now=now)
        case endpoint.DatagramKind.OPENING:
            server.accept(payload, caller=caller, service=service, now=now)
        case endpoint.DatagramKind.UNSUPPORTED_VERSION if verdict.packet is not None:
            server.send_version_negotiation(verdict.packet, caller, service)
        case endpoint.DatagramKind.UNKNOWN_CONNECTION if verdict.packet is not None:
            server.send_stateless_reset(
                verdict.packet,
                caller=caller,
                service=service,
                trigger_bytes=len(payload),
            )
    return verdict.kind
