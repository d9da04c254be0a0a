"""A simulated site of the engines that exchange control traffic, without a network.

Balancers, sidecars and relays are the production engines. Messages are encoded, counted
by their senders, and delivered after a delay on a manual clock. The store is a pair of
documents that a process reads at once while it has to follow the store itself.
"""

import collections
from collections import abc
import dataclasses
import functools
import random

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import coverage, documents, relay, report_requests
from plantainproxy.flows.engine import (
    admission,
    balancer,
    balancer_state,
    sidecar,
    sidecar_reports,
    sidecar_state,
    upstream,
    upstream_events,
    upstream_speed,
)
from plantainproxy.flows.stored import registry
from testbed import transparent

STEP_SECONDS = 0.05
DATAGRAM_HEADER_BYTES = 28
BALANCER_SHARE = 0.3
REQUEST_STEPS = round(1.0 / STEP_SECONDS)
URGENT_REQUEST_STEPS = round(0.5 / STEP_SECONDS)
OVERDUE_REQUEST_STEPS = round(0.1 / STEP_SECONDS)
EVICTION_SECONDS = 2.0
EVICTION_STEPS = round(EVICTION_SECONDS / STEP_SECONDS)
POOL = transparent.POOL


@dataclasses.dataclass
class Traffic:
    """Messages between failure domains sent by one process."""

    count: int = 0
    bytes: int = 0


class Node:
    """One process: a balancer or a sidecar."""

    def __init__(self, site: "Site", address: _types.Address, domain: str) -> None:
        """Create a process that runs and reaches the store and all others."""
        self.site = site
        self.address = address
        self.domain = domain
        self.log = event_log.EventLog("control", clock=lambda: site.now)
        self.traffic = Traffic()
        self.inbox: list[tuple[_types.Address, bytes]] = []
        """Datagrams in the socket of a process that is paused."""
        self.is_paused = False
        self.is_running = True
        self.reaches_store = True
        self.policies = policy.ActivePolicy()
        self.documents = documents.Documents(self.policies, log=self.log)
        self.applied_orders: list[policy.Order] = []

    def send_to_all(
        self, recipients: abc.Iterable[_types.Address], message: messages.Message
    ) -> None:
        """Send one message to several processes."""
        encoded = messages.encode(message)
        for recipient in recipients:
            self.site.transmit(self, recipient, encoded)

    def send_message(
        self, recipient: _types.Address, message: messages.Message
    ) -> None:
        """Send a message to one process."""
        self.send_to_all((recipient,), message)

    def follow_store(self) -> None:
        """Read the documents from the store if this process has to follow it."""
        held, now = self.documents, self.site.now
        must_follow = self.is_relay() or not coverage.is_covered(held.coverage, now=now)
        is_current = must_follow and self.reaches_store
        held.policy_status.is_current = held.list_status.is_current = is_current
        if is_current:
            self.site.store_reads += 1
            self.policies.era = max(self.policies.era, self.site.era)
            self.apply_policy(self.site.stored_policy)
            self.apply_list(self.site.stored_list)

    def is_relay(self) -> bool:
        """Return whether this process is a relay."""
        return False

    def pull_documents(self) -> None:
        """Copy documents that another process advertises, as over TCP."""
        policy_exchange = self.documents.policy_exchange
        if policy_exchange.newest is not None:
            _, sender = policy_exchange.newest
            peer = self.site.nodes[sender]
            if self.site.is_connected(self, peer) and peer.policies.stored:
                self.apply_policy(peer.policies.stored)
            policy_exchange.newest = None
        list_exchange = self.documents.list_exchange
        if list_exchange.newest is not None:
            _, sender = list_exchange.newest
            held_list = self.site.nodes[sender].documents.sidecars.current
            if self.site.is_connected(self, self.site.nodes[sender]) and held_list:
                self.apply_list(held_list)
            list_exchange.newest = None

    def apply_policy(self, offered: policy.Policy) -> None:
        """Apply a policy unless it is outdated."""
        if self.offer_policy(offered):
            self.applied_orders.append(self.policies.order)

    def offer_policy(self, offered: policy.Policy) -> bool:
        """Offer a policy to the engine; return whether it was applied."""
        raise NotImplementedError

    def apply_list(self, offered: registry.SidecarList) -> None:
        """Apply a list of sidecars unless it is outdated."""
        era = self.documents.sidecars.order.era
        if self.documents.sidecars.apply_if_newer(offered):
            self.apply_entries(is_restored=offered.era > era)

    def elapse_holds(self) -> None:
        """End what is held after a restoration of the store when its time is over."""
        seconds = documents.elapsed_seconds(self.documents, now=self.site.now)
        self.elapse_hold(seconds)
        if self.documents.sidecars.elapse_hold(seconds):
            self.apply_entries(is_restored=False)

    def elapse_hold(self, seconds: float) -> None:
        """Let time pass in the engine in which the store responded."""
        raise NotImplementedError

    def apply_entries(self, *, is_restored: bool) -> None:
        """Apply the entries of the list in force to the engine, if it uses them."""

    def handle(self, sender: _types.Address, message: messages.Message) -> None:
        """Handle one message."""
        raise NotImplementedError

    def step(self, number: int) -> None:
        """Run the periodic work."""
        raise NotImplementedError


class BalancerNode(Node):
    """A balancer's process."""

    def __init__(self, site: "Site", address: _types.Address, domain: str) -> None:
        """Create a balancer without a list of sidecars."""
        super().__init__(site, address, domain)
        self.engine = balancer_state.Engine(
            port=transparent.BalancerPort(),
            domain=domain,
            draw=site.random.random,
            log=self.log,
        )
        self.policies = self.engine.policies
        self.documents = documents.Documents(self.policies, log=self.log)

    def offer_policy(self, offered: policy.Policy) -> bool:
        """Offer a policy to the engine; return whether it was applied."""
        return balancer.apply_policy(self.engine, offered, now=self.site.now)

    def elapse_hold(self, seconds: float) -> None:
        """Let time pass in the engine in which the store responded."""
        balancer.elapse_hold(self.engine, seconds)

    def apply_entries(self, *, is_restored: bool) -> None:
        """Apply the entries of the list in force to the engine."""
        balancer.apply_registrations(
            self.engine,
            registry.decode(self.documents.sidecars.entries),
            now=self.site.now,
            is_restored=is_restored,
        )

    def handle(self, sender: _types.Address, message: messages.Message) -> None:
        """Handle one message as the process does."""
        if isinstance(message, (messages.Notice, messages.Report)):
            documents.handle_era(self.documents, message.era)
        if isinstance(message, messages.Notice):
            documents.handle_notice(self.documents, message, sender, now=self.site.now)
            return
        if isinstance(message, messages.Report):
            self.documents.policy_exchange.handle_order(
                message.order, message.digest, sender
            )
        balancer.handle_message(
            self.engine,
            message,
            sender,
            parse=lambda data: None,
            now=self.site.now,
        )

    def step(self, number: int) -> None:
        """Run the periodic work."""
        view, now = self.engine.view, self.site.now
        requests = []
        if number % REQUEST_STEPS == 0:
            requests = report_requests.periodic_requests(view, self.policies, now=now)
        elif number % OVERDUE_REQUEST_STEPS == 0:
            requests = report_requests.overdue_requests(view, self.policies, now=now)
        if self.engine.waiting.openings and number % URGENT_REQUEST_STEPS == 0:
            requests += report_requests.urgent_requests(view, now=now)
        for request in requests:
            self.send_to_all(request.recipients, request.message)
        balancer.tick(self.engine, now=now)


class SidecarNode(Node):
    """A sidecar's process and its upstream."""

    def __init__(
        self, site: "Site", address: _types.Address, domain: str, *, boot: int
    ) -> None:
        """Create a sidecar with a ready upstream."""
        super().__init__(site, address, domain)
        self.heartbeat_number = 0
        self.relay = relay.Relay(port=self, domain=domain, log=self.log)
        self.engine = sidecar_state.Engine(
            port=_SidecarPort(self),
            identity=sidecar_state.Identity(
                location=admission.Location(pool=POOL, domain=domain),
                data_port=transparent.DATA_PORT,
                message_port=transparent.MESSAGE_PORT,
                boot=boot,
            ),
            slow_start_limiter=admission.SlowStartLimiter(
                started_at=site.now, rate_factor=1.5, burst=4
            ),
            log=self.log,
        )
        self.policies = self.engine.policies
        self.documents = documents.Documents(self.policies, log=self.log)
        self.is_draining = False

    def is_relay(self) -> bool:
        """Return whether balancers count on this sidecar as a relay."""
        return relay.is_appointed(self.relay, now=self.site.now)

    def offer_policy(self, offered: policy.Policy) -> bool:
        """Offer a policy to the engine; return whether it was applied."""
        return sidecar.apply_policy(self.engine, offered, now=self.site.now)

    def handle(self, sender: _types.Address, message: messages.Message) -> None:
        """Handle one message as the process does."""
        now = self.site.now
        if isinstance(
            message, (messages.Notice, messages.Report, messages.ReportRequest)
        ):
            documents.handle_era(self.documents, message.era)
        match message:
            case messages.ReportRequest():
                self.documents.policy_exchange.handle_order(
                    message.order, message.digest, sender
                )
                sidecar_reports.handle_report_request(
                    self.engine, message, sender, now=now
                )
            case messages.Report():
                relay.handle_report(self.relay, message, sender, now=now)
            case messages.ReportBatch():
                relay.handle_batch(self.relay, message, now=now)
            case messages.RelayRequest():
                relay.handle_relay_request(self.relay, message, sender, now=now)
            case messages.GatherRequest():
                relay.handle_gather_request(self.relay, message, sender, now=now)
            case messages.Notice():
                documents.handle_notice(self.documents, message, sender, now=now)
            case _:
                raise AssertionError(f"unexpected message {message}")

    def elapse_hold(self, seconds: float) -> None:
        """Let time pass in the engine in which the store responded."""
        sidecar.elapse_hold(self.engine, seconds, now=self.site.now)

    def set_load(self, running: int) -> None:
        """Set the number of requests in progress that the sidecar reports."""
        self.engine.table.running_requests = running

    def set_service_times(self, seconds: abc.Mapping[bytes, float]) -> None:
        """Set the service times that the sidecar has measured, by service address."""
        self.engine.speed.samples = {
            service: collections.deque(
                [(self.site.now, value)] * upstream_speed.MIN_SAMPLES
            )
            for service, value in seconds.items()
        }

    def step(self, number: int) -> None:
        """Run the periodic work and the upstream's heartbeat."""
        now = self.site.now
        if number % REQUEST_STEPS == 0 or self.is_draining:
            self.heartbeat_number += 1
            upstream_events.handle_heartbeat(
                self.engine,
                upstream.Heartbeat(
                    instance="i",
                    pool=POOL,
                    draining=self.is_draining,
                    cold_seconds=0.0,
                    slots=4,
                    born=1,
                    number=self.heartbeat_number,
                ),
                now=now,
            )
        if number % EVICTION_STEPS == 0:
            sidecar.evict_expired(self.engine, now=now)
        sidecar.tick(self.engine, now=now)
        relay.tick(self.relay, documents.make_notice(self.documents), now=now)


class _SidecarPort(transparent.SidecarPort):
    """Output of a sidecar's engine whose messages travel through the site."""

    def __init__(self, node: SidecarNode) -> None:
        super().__init__()
        self.node = node

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        self.node.send_message(balancer, message)


class Site:
    """All processes, the store's documents and the messages in flight."""

    def __init__(self, processes: int, *, domains: int = 5, seed: int = 1) -> None:
        """Create a site whose processes have just started."""
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.steps = 0
        self.store_reads = 0
        self.loss = 0.0
        self.in_flight: list[tuple[Node, _types.Address, bytes]] = []
        self.cut_domains: set[frozenset[str]] = set()
        """Pairs of domains without a path between them."""
        names = [f"domain-{number}" for number in range(domains)]
        balancer_count = round(BALANCER_SHARE * processes)
        self.nodes: dict[_types.Address, Node] = {}
        for number in range(balancer_count):
            address = self._address(1, number)
            self.nodes[address] = BalancerNode(self, address, names[number % domains])
        for number in range(processes - balancer_count):
            address = self._address(2, number)
            self.nodes[address] = SidecarNode(
                self, address, names[number % domains], boot=number
            )
        self.era = 0
        self.revision = 2
        """Number of the store's newest revision."""
        self.stored_policy = transparent.make_policy(1)
        self.stored_list = self._list(self.sidecars)
        self.wanted_policy = self.stored_policy
        """What the operators have written last, which a restored copy may lack."""
        self.past = [(self.now, self.revision, self.stored_policy)]
        """Time, revision and policy of each change of the policy in this era."""
        self.due_writes: list[tuple[float, abc.Callable[[], None]]] = []
        """Writes after a restoration of the store, and their times."""

    @property
    def balancers(self) -> list[BalancerNode]:
        """All balancers."""
        return [node for node in self.nodes.values() if isinstance(node, BalancerNode)]

    @property
    def sidecars(self) -> list[SidecarNode]:
        """All sidecars."""
        return [node for node in self.nodes.values() if isinstance(node, SidecarNode)]

    def _address(self, kind: int, number: int) -> _types.Address:
        host = f"10.{kind}.{number // 250}.{number % 250 + 1}"
        return _types.Address(host, transparent.MESSAGE_PORT)

    def list_only(self, listed: abc.Iterable[SidecarNode]) -> None:
        """Store a list that has only some of the sidecars."""
        self.revision += 1
        self.stored_list = self._list(listed)

    def _list(self, listed: abc.Iterable[SidecarNode]) -> registry.SidecarList:
        entries = {
            f"{registry.PREFIX}{node.address.host}/": msgspec.msgpack.encode(
                registry.Entry(
                    host=node.address.host,
                    message_port=node.address.port,
                    data_port=transparent.DATA_PORT,
                    domain=node.domain,
                )
            )
            for node in listed
        }
        return registry.SidecarList(
            revision=self.revision, entries=entries, era=self.era
        )

    def _write_policy(self, wanted: policy.Policy) -> None:
        self.revision += 1
        self.wanted_policy = wanted
        self.stored_policy = msgspec.structs.replace(
            wanted, revision=self.revision, era=self.era
        )
        self.past.append((self.now, self.revision, self.stored_policy))

    def _write_entry(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.stored_list = registry.SidecarList(
            revision=self.revision,
            entries={**self.stored_list.entries, key: value},
            era=self.era,
        )

    def restore_store(
        self,
        *,
        seconds_older: float,
        lost_entries: int = 0,
        rewrite_seconds: float = 2.0,
    ) -> None:
        """Restore the store from a copy that is some seconds older.

        The copy lacks some entries of sidecars, which return within 2 s, and the
        operators write theirs again after ``rewrite_seconds``.
        """
        copies = [copy for copy in self.past if copy[0] <= self.now - seconds_older]
        _, self.revision, copied = copies[-1] if copies else self.past[0]
        self.era += 1
        self.stored_policy = msgspec.structs.replace(copied, era=self.era)
        self.past = [(self.now, self.revision, self.stored_policy)]
        entries = dict(self._list(self.sidecars).entries)
        self.due_writes = [
            (
                self.now + rewrite_seconds,
                lambda: self._write_policy(self.wanted_policy),
            )
        ]
        for key in self.random.sample(sorted(entries), lost_entries):
            rewrite = functools.partial(self._write_entry, key, entries.pop(key))
            self.due_writes.append((self.now + self.random.uniform(0.2, 2.0), rewrite))
        self.stored_list = registry.SidecarList(
            revision=self.revision, entries=entries, era=self.era
        )

    def restart(self, node: SidecarNode) -> SidecarNode:
        """Start a sidecar's process again without its state."""
        replacement = SidecarNode(
            self, node.address, node.domain, boot=round(self.now * 1_000)
        )
        self.nodes[node.address] = replacement
        return replacement

    def change_policy(self) -> None:
        """Store a new version of the operators' policy."""
        version = self.wanted_policy.version + 1
        domains_out = self.wanted_policy.domains_out
        self._write_policy(
            transparent.make_policy(1, version=version, domains_out=domains_out)
        )

    def evacuate(self, *domains: str) -> None:
        """Store which domains are out, which leaves the operators' version as it is."""
        self._write_policy(
            msgspec.structs.replace(self.wanted_policy, domains_out=frozenset(domains))
        )

    def is_connected(self, sender: Node, recipient: Node) -> bool:
        """Return whether messages between two processes arrive."""
        domains = frozenset((sender.domain, recipient.domain))
        return (
            sender.is_running
            and recipient.is_running
            and not recipient.is_paused
            and domains not in self.cut_domains
        )

    def transmit(self, sender: Node, recipient: _types.Address, data: bytes) -> None:
        """Count a datagram and put it in flight."""
        node = self.nodes.get(recipient)
        if node is None:
            return
        if node.domain != sender.domain:
            sender.traffic.count += 1
            sender.traffic.bytes += len(data) + DATAGRAM_HEADER_BYTES
        self.in_flight.append((sender, recipient, data))

    def step(self) -> None:
        """Advance the clock by a step: deliver messages, then run periodic work."""
        self.now += STEP_SECONDS
        for due in [due for due in self.due_writes if due[0] <= self.now]:
            self.due_writes.remove(due)
            due[1]()
        arriving, self.in_flight = self.in_flight, []
        for sender, recipient, data in arriving:
            self._deliver(sender, recipient, data)
        for node in list(self.nodes.values()):
            if not node.is_running or node.is_paused:
                continue
            node.follow_store()
            node.pull_documents()
            node.elapse_holds()
            node.step(self.steps)
        self.steps += 1

    def _deliver(self, sender: Node, recipient: _types.Address, data: bytes) -> None:
        node = self.nodes[recipient]
        is_cut = frozenset((sender.domain, node.domain)) in self.cut_domains
        if not node.is_running or is_cut or self.random.random() < self.loss:
            return
        if node.is_paused:
            node.inbox.append((sender.address, data))
            return
        waiting, node.inbox = node.inbox, []
        for source, waiting_data in [*waiting, (sender.address, data)]:
            message = messages.decode(waiting_data)
            assert message is not None
            node.handle(source, message)

    def run_for(self, seconds: float) -> None:
        """Run steps for some time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()
