"""State of a sidecar's engine, changed by the functions of the other modules."""

import socket
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, packets, policy
from plantainproxy.flows.engine import (
    admission,
    flow_table,
    outlier_detection,
    request_queue,
    suspect_flows,
    unlisted_flows,
    upstream,
    upstream_speed,
)

DEFAULT_SLOTS = 2
"""Assumed slots of an upstream before its first heartbeat; the smallest number that
any upstream has."""


class Port(typing.Protocol):
    """Output of the engine; no call blocks."""

    def deliver(self, packet: packets.Packet) -> None:
        """Send a caller's packet to the upstream."""

    def forward_to_caller(self, packet: packets.Packet) -> None:
        """Send a packet of the upstream to the caller."""

    def reset(self, flow: bytes, acknowledgement: int) -> None:
        """Send a reset to the caller of a flow.

        ``acknowledgement`` is the caller's newest one; the reset takes it as its
        sequence number.
        """

    def send_message(self, balancer: _types.Address, message: messages.Message) -> None:
        """Send a message to a balancer."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and ports of the sidecar; constant while the process runs."""

    location: admission.Location
    data_port: int
    """UDP port for packets of flows."""
    message_port: int
    """UDP port on which balancers receive messages."""
    boot: int
    """Start of this process in milliseconds since the epoch, which identifies it."""


class Subscriber(msgspec.Struct):
    """A balancer or relay that receives reports."""

    is_relay: bool
    is_local_domain: bool
    """Whether it is in this sidecar's failure domain. Others subscribe only if their
    domain has no relay."""
    last_hello_at: float
    """When it last asked, or a balancer last named it as a relay."""
    last_report_at: float = float("-inf")
    last_reported_load: tuple[int, int] = (0, 0)
    """Requests in progress and open flows in the last report."""


class Engine:
    """The state of one sidecar."""

    def __init__(
        self,
        *,
        port: Port,
        identity: Identity,
        slow_start_limiter: admission.SlowStartLimiter,
        log: event_log.EventLog,
    ) -> None:
        """Start without a policy, flows or a heartbeat of the upstream."""
        self.port = port
        self.identity = identity
        self.log = log
        self.policies = policy.ActivePolicy()
        self.table = flow_table.FlowTable()
        self.request_queue = request_queue.RequestQueue(slots=DEFAULT_SLOTS)
        self.upstream = upstream.UpstreamStatus()
        self.slow_start_limiter = slow_start_limiter
        self.outlier_detector = outlier_detection.OutlierDetector()
        self.speed = upstream_speed.Measurement()
        self.exit_deadline: float | None = None
        """When an upstream that no longer listens, and may still serve its last flows,
        counts as ended."""
        self.ready_until = float("-inf")
        """Until when an upstream of unknown state counts as ready if it refuses a
        connection: it was ready at the planned stop of the process before."""
        self.suspect_flows = suspect_flows.SuspectFlows()
        self.unlisted_flows: dict[bytes, unlisted_flows.Delivery] = {}
        """Deliveries of flows that the table does not show, by flow."""
        self.subscribers: dict[_types.Address, Subscriber] = {}
        self.balancers_seen: dict[bytes, float] = {}
        """Packed addresses of the balancers of all domains that asked for reports or
        sent openings, and when each last did."""
        self.fleet_size = 1
        """Number of sidecars that the last ``ReportRequest`` of a balancer stated."""
        self.inherited_born: int | None = None
        """Start of the upstream's incarnation that held the flows of the snapshot of an
        earlier process. ``None`` without a snapshot, and once a later incarnation has
        started or the upstream has ended."""
        self.not_listening_since: float | None = None
        """When this process found at its start that no upstream listened. ``None`` if
        one listened, and after the grace period."""
        self.has_earlier_upstream_ended = False
        """Whether this process found at its start that no upstream listened, and the
        grace period has passed."""
        self.longest_idle_seconds = 0.0
        """Longest idle time of the policies that this process has applied; 0 before the
        first one."""
        self.report_number = 0
        self.last_reported_status: tuple[object, ...] = ()
        self.stopping = False
        self.admits_flows_at = float("-inf")
        """Time from which this process admits flows. A process that the store has not
        confirmed leaves no trace for the one after it, which would deny its flows."""
        self.has_handed_over = False
        """Whether the final snapshot names every flow of the upstream. No packet that
        would add or confirm a flow passes from then on."""


def balancer_address(engine: Engine, packed_host: bytes) -> _types.Address:
    """Return the address for messages of the balancer on a host."""
    return _types.Address(socket.inet_ntoa(packed_host), engine.identity.message_port)


def may_admit_flows(engine: Engine, *, now: float) -> bool:
    """Return whether the process after this one would consider its new flows."""
    return now >= engine.admits_flows_at and not engine.stopping


def slots(engine: Engine) -> int:
    """Return the number of requests that the upstream runs concurrently."""
    newest = engine.upstream.newest
    return newest.slots if newest else DEFAULT_SLOTS
