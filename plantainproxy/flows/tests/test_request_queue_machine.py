"""Stateful property test of one sidecar that holds requests.

Callers, the upstream and the sidecar's own process fail in any order. Each packet with
data must reach the upstream once and in its flow's order, unless its flow has ended.
"""

import hypothesis
from hypothesis import stateful, strategies

from plantainproxy.flows import messages
from plantainproxy.flows.engine import request_queue, sidecar, upstream_events
from testbed import transparent

FLOWS = 10
PACKET_BYTES = 100
FLOW = strategies.integers(min_value=0, max_value=FLOWS - 1)
TICK_SECONDS = 0.1


class RequestMachine(stateful.RuleBasedStateMachine):
    """State machine whose rules are events at one sidecar."""

    def __init__(self) -> None:
        """Open all flows of an upstream with one slot."""
        super().__init__()
        self.harness = transparent.ready_sidecar()
        self.heartbeats = 1
        self.born = 1_000
        self.draining = False
        self.next_port = 0
        self.slots = 1
        self.send_heartbeat()
        self.sent: dict[bytes, list[int]] = {}
        """Sequence numbers that the caller of each open flow has sent, in order."""
        self.keys = [self.open_flow() for _ in range(FLOWS)]

    def open_flow(self) -> bytes:
        """Open a new flow and return its key."""
        key = transparent.flow_key(self.next_port)
        self.next_port += 1
        self.harness.now += 0.1
        self.harness.open(key)
        if key in self.harness.engine.table.flows:
            self.sent[key] = []
        return key

    def send_heartbeat(self) -> None:
        """Pass a heartbeat of the upstream to the sidecar."""
        self.heartbeats += 1
        self.harness.handle_heartbeat(
            self.heartbeats, born=self.born, draining=self.draining, slots=self.slots
        )

    def send_data(self, key: bytes, sequence: int) -> None:
        """Pass a packet with data to the sidecar."""
        packet = transparent.make_packet(
            key,
            sequence=sequence,
            size=PACKET_BYTES,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
        self.harness.handle_inbound(packet._replace(data=bytes(PACKET_BYTES)))

    def delivered(self, key: bytes) -> list[int]:
        """Return the sequence numbers that the upstream received first, in order."""
        return list(
            dict.fromkeys(
                packet.sequence
                for packet in self.harness.port.delivered
                if packet.flow == key and packet.size
            )
        )

    def end_flow(self, flow: int) -> None:
        """Forget a flow that has ended, and open another in its place."""
        self.sent.pop(self.keys[flow], None)
        self.keys[flow] = self.open_flow()

    @stateful.rule(flow=FLOW)
    def request(self, flow: int) -> None:
        """Send the next packet of a flow."""
        key = self.keys[flow]
        if key in self.sent:
            self.sent[key].append(1 + PACKET_BYTES * len(self.sent[key]))
            self.send_data(key, self.sent[key][-1])

    @stateful.rule(flow=FLOW, index=strategies.integers(0, 99))
    def retransmit(self, flow: int, index: int) -> None:
        """Send a packet again."""
        sent = self.sent.get(self.keys[flow])
        if sent:
            self.send_data(self.keys[flow], sent[index % len(sent)])

    @stateful.rule(flow=FLOW)
    def respond(self, flow: int) -> None:
        """Send a packet of a response, also late or again."""
        if self.keys[flow] in self.sent:
            self.harness.handle_outbound(
                transparent.make_packet(self.keys[flow], size=10)
            )

    @stateful.rule(flow=FLOW)
    def reset_by_upstream(self, flow: int) -> None:
        """Let the upstream reset a flow."""
        if self.keys[flow] in self.sent:
            self.harness.handle_outbound(
                transparent.make_packet(self.keys[flow], aborting=True)
            )
            self.end_flow(flow)

    @stateful.rule(flow=FLOW)
    def reset_by_caller(self, flow: int) -> None:
        """Let a caller reset its flow; nothing more of it reaches the upstream."""
        key = self.keys[flow]
        if key not in self.sent:
            return
        before = self.delivered(key)
        self.harness.handle_inbound(transparent.make_packet(key, aborting=True))
        assert self.delivered(key) == before
        self.end_flow(flow)

    @stateful.rule(flow=FLOW)
    def close_by_caller(self, flow: int) -> None:
        """Let a caller close its flow, which lets all its data through."""
        key = self.keys[flow]
        if key not in self.sent:
            return
        self.harness.handle_inbound(transparent.make_packet(key, closing=True))
        assert self.delivered(key) == self.sent[key]
        self.end_flow(flow)

    @stateful.rule(seconds=strategies.sampled_from((0.02, 0.3, 2.0)))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock in one step, as after a pause of the process."""
        self.harness.tick(seconds)

    @stateful.rule(draining=strategies.booleans(), slots=strategies.integers(1, 4))
    def beat(self, draining: bool, slots: int) -> None:
        """Start or stop draining, or change the number of slots."""
        self.draining, self.slots = draining, slots
        self.send_heartbeat()

    @stateful.rule()
    def restart_upstream(self) -> None:
        """Crash the upstream and start it again."""
        upstream_events.handle_connection_refused(
            self.harness.engine, now=self.harness.now
        )
        self.harness.tick(upstream_events.EXIT_GRACE_SECONDS)
        self.born += 1_000
        self.draining = False
        self.send_heartbeat()
        self.harness.port.resets.clear()
        self.sent.clear()
        self.keys = [self.open_flow() for _ in range(FLOWS)]

    @stateful.rule()
    def evict(self) -> None:
        """Run the eviction of closed and idle flows; the latter are replaced."""
        sidecar.evict_expired(self.harness.engine, now=self.harness.now)
        for flow, key in enumerate(self.keys):
            if key not in self.harness.engine.table.flows:
                self.end_flow(flow)

    @stateful.invariant()
    def counts_agree(self) -> None:
        """Check that queue and flow table agree, and that nothing is held in vain."""
        engine = self.harness.engine
        queue, flows = engine.request_queue, engine.table.flows
        queued = {key for key, flow in flows.items() if flow.is_request_queued}
        running = {
            key for key, flow in flows.items() if flow.request_started_at is not None
        }
        assert queued == set(queue.held)
        assert queued <= running
        assert engine.table.running_requests == len(running)
        assert set(queue.in_progress) <= running - queued
        assert set(queue.not_started) <= set(queue.in_progress)
        assert queue.held_bytes == sum(
            len(packet.data)
            for request in queue.held.values()
            for packet in request.packets
        )
        if queue.held:
            assert engine.upstream.state is messages.UpstreamState.READY
            assert len(queue.in_progress) >= queue.slots
        assert self.harness.port.resets == []

    @stateful.invariant()
    def data_arrives_in_order(self) -> None:
        """Check that the upstream has a beginning of what each caller sent."""
        for key, sent in self.sent.items():
            delivered = self.delivered(key)
            assert delivered == sent[: len(delivered)]

    def teardown(self) -> None:
        """Check that all data arrives, although nothing more is answered."""
        # Without responses, a request leaves the upstream's queue per stalled one.
        stalls_seconds = FLOWS * request_queue.MAX_STALL_SECONDS
        seconds = request_queue.MAX_HELD_SECONDS + stalls_seconds
        for _ in range(round(seconds / TICK_SECONDS) + 1):
            self.harness.tick(TICK_SECONDS)
        assert self.harness.engine.request_queue.held == {}
        for key, sent in self.sent.items():
            assert self.delivered(key) == sent


RequestMachine.TestCase.settings = hypothesis.settings(
    stateful_step_count=40, suppress_health_check=list(hypothesis.HealthCheck)
)
TestRequests = RequestMachine.TestCase
