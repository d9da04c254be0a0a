"""Engine of a relay: exchanges the reports of its domain with other domains.

Free of I/O. Every sidecar has this engine; it acts while balancers of its domain name
the sidecar as a relay. All state is soft: it is renewed by requests and expires.

A report travels from a sidecar to the relays of its domain, from each of them in
batches to one relay of every other domain, and from there unchanged to the balancers of
that domain. Its age travels with it.
"""

from collections import abc
import typing

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages

APPOINTMENT_SECONDS = 3.0
"""A relay acts for this long after a balancer of its domain has named it; three times
the interval of the balancers' requests."""
REQUEST_LIFETIME_SECONDS = 3.0
"""How long a request for reports is in effect; three times the interval of requests."""
BATCH_INTERVAL_SECONDS = 0.25
"""Interval of batches to other domains. Changes of status are sent at once."""
URGENT_BATCH_INTERVAL_SECONDS = 0.05
"""The same while callers wait for room in a domain that receives the batches."""
URGENCY_SECONDS = 1.0
"""How long a request stays urgent; balancers repeat it while callers wait."""
GATHER_INTERVAL_SECONDS = 1.0
"""Interval of requests to the relays of other domains."""
NOTICE_INTERVAL_SECONDS = 0.5
"""Interval of notices to the processes of the domain. Changes are sent at once."""
FULL_REPORT_INTERVAL_SECONDS = 2.0
"""Interval of complete reports of an upstream whose status does not change."""
FULL_REPORT_COPIES = 2
"""Number of batches that carry a changed status, since datagrams may be lost."""
MAX_BATCH_BYTES = 1_400
"""Size of a datagram with reports, so that it fits one packet of the network. The size
of a complete report depends on its service times."""
BATCH_HEADER_BYTES = 10
"""Upper bound of the size of a batch without reports."""
MEMBER_SILENCE_SECONDS = 3.0
"""A sidecar without a report for this long gets no more notices."""
PAUSE_SECONDS = 0.6
"""If the time between two ticks reaches this, the process was not scheduled, and what
it receives next may have waited in its socket for as long."""


class Port(typing.Protocol):
    """Output of the engine; no call blocks."""

    def send_to_all(
        self, recipients: abc.Iterable[_types.Address], message: messages.Message
    ) -> None:
        """Send one message to several processes."""


class Member(msgspec.Struct):
    """A sidecar of the relay's domain and its newest report."""

    report: messages.Report
    received_at: float
    is_new: bool = True
    """Whether the report has not been sent to other domains yet."""
    full_copies: int = FULL_REPORT_COPIES
    """Number of further batches that carry the complete report."""
    last_full_at: float = float("-inf")


class Relay:
    """State of one relay, changed by the functions of this module."""

    def __init__(self, *, port: Port, domain: str, log: event_log.EventLog) -> None:
        """Create a relay that is not appointed."""
        self.port = port
        self.domain = domain
        self.log = log
        self.named_at = float("-inf")
        """When a balancer of the domain last named this sidecar as a relay."""
        self.was_appointed = False
        self.members: dict[_types.Address, Member] = {}
        self.balancers: dict[_types.Address, float] = {}
        """Balancers of the domain that receive reports of other domains, and when each
        last asked."""
        self.peers: dict[_types.Address, float] = {}
        """Relays of other domains whose reports are needed, and when a balancer last
        named each."""
        self.gatherers: dict[_types.Address, float] = {}
        """Relays of other domains that receive the reports of this domain, and when
        each last asked."""
        self.gathers_urgently_until = float("-inf")
        """Until then, callers wait for room in this domain."""
        self.batches_urgently_until = float("-inf")
        """Until then, callers wait for room in another domain."""
        self.next_batch_at = float("-inf")
        self.next_gather_at = float("-inf")
        self.next_notice_at = float("-inf")
        self.last_notice: messages.Notice | None = None
        self.is_status_changed = False
        self.last_tick_at = float("inf")


def is_appointed(relay: Relay, *, now: float) -> bool:
    """Return whether balancers of the domain count on this relay."""
    return now - relay.named_at < APPOINTMENT_SECONDS


def handle_relay_request(
    relay: Relay, request: messages.RelayRequest, sender: _types.Address, *, now: float
) -> None:
    """Handle a request of a balancer of the domain, which also appoints the relay."""
    if request.domain != relay.domain:
        relay.log.count("dropped.invalid_message")
        return
    relay.named_at = now
    relay.balancers[sender] = now
    for host in request.peers:
        peer = _types.Address(host, sender.port)
        if peer not in relay.peers:
            relay.next_gather_at = now
        relay.peers[peer] = now
    if request.is_urgent:
        if now >= relay.gathers_urgently_until:
            relay.next_gather_at = now
        relay.gathers_urgently_until = now + URGENCY_SECONDS


def handle_gather_request(
    relay: Relay, request: messages.GatherRequest, sender: _types.Address, *, now: float
) -> None:
    """Handle a request for reports of this domain by a relay of another one."""
    if request.domain == relay.domain:
        relay.log.count("dropped.invalid_message")
        return
    if sender not in relay.gatherers:
        for member in relay.members.values():
            member.full_copies = max(member.full_copies, 1)
            member.is_new = True
        relay.next_batch_at = now
    relay.gatherers[sender] = now
    if request.is_urgent:
        relay.batches_urgently_until = now + URGENCY_SECONDS
        relay.next_batch_at = min(
            relay.next_batch_at, now + URGENT_BATCH_INTERVAL_SECONDS
        )


def handle_report(
    relay: Relay, report: messages.Report, sender: _types.Address, *, now: float
) -> None:
    """Record a report of a sidecar of the domain unless it is outdated."""
    if report.domain != relay.domain:
        relay.log.count("dropped.invalid_message")
        return
    member = relay.members.get(sender)
    if member is None:
        relay.members[sender] = Member(report, now)
        relay.is_status_changed = True
        return
    previous = member.report
    if previous.boot == report.boot and previous.number >= report.number:
        return
    member.report, member.received_at, member.is_new = report, now, True
    if messages.status_of(previous) != messages.status_of(report):
        member.full_copies = FULL_REPORT_COPIES
        relay.is_status_changed = True


def handle_batch(relay: Relay, batch: messages.ReportBatch, *, now: float) -> None:
    """Pass reports of another domain on to the balancers of this domain.

    A batch that arrived while the process was paused is dropped: the ages in it do not
    include the pause.
    """
    if now - relay.last_tick_at >= PAUSE_SECONDS:
        relay.log.count("relay.dropped_after_pause")
        return
    relay.log.count("relay.passed_batches")
    relay.port.send_to_all(relay.balancers, batch)


def tick(relay: Relay, notice: messages.Notice, *, now: float) -> None:
    """Send the batches, requests and notices that are due, and expire requests.

    ``notice`` states the documents of the store that this process holds.
    """
    if now - relay.last_tick_at >= PAUSE_SECONDS:
        relay.log.write("paused", seconds=round(now - relay.last_tick_at, 3))
    relay.last_tick_at = now
    appointed = is_appointed(relay, now=now)
    if appointed is not relay.was_appointed:
        relay.was_appointed = appointed
        relay.log.write("relay appointed" if appointed else "relay released")
        relay.last_notice = None
    _expire(relay, now=now)
    if relay.gatherers:
        _send_batches(relay, now=now)
    if not appointed:
        return
    if relay.peers and now >= relay.next_gather_at:
        relay.next_gather_at = now + GATHER_INTERVAL_SECONDS
        request = messages.GatherRequest(
            domain=relay.domain, is_urgent=now < relay.gathers_urgently_until
        )
        relay.port.send_to_all(relay.peers, request)
    if notice != relay.last_notice or now >= relay.next_notice_at:
        relay.last_notice = notice
        relay.next_notice_at = now + NOTICE_INTERVAL_SECONDS
        relay.port.send_to_all(_notified(relay, now=now), notice)


def oldest_report_seconds(relay: Relay, *, now: float) -> float:
    """Return the age of the oldest of the members' newest reports; 0 without any."""
    return max(
        (now - member.received_at for member in relay.members.values()), default=0
    )


def _notified(relay: Relay, *, now: float) -> list[_types.Address]:
    members = (
        address
        for address, member in relay.members.items()
        if now - member.received_at < MEMBER_SILENCE_SECONDS
    )
    return [*members, *relay.balancers]


def _send_batches(relay: Relay, *, now: float) -> None:
    is_regular = now >= relay.next_batch_at
    if not is_regular and not relay.is_status_changed:
        return
    if is_regular:
        relay.next_batch_at = now + (
            URGENT_BATCH_INTERVAL_SECONDS
            if now < relay.batches_urgently_until
            else BATCH_INTERVAL_SECONDS
        )
    relay.is_status_changed = False
    entries = [
        _take_entry(address, member, now=now)
        for address, member in relay.members.items()
        if (member.is_new if is_regular else member.full_copies == FULL_REPORT_COPIES)
    ]
    for reports in _batches(entries):
        relay.port.send_to_all(relay.gatherers, messages.ReportBatch(reports=reports))


def _batches(
    entries: abc.Iterable[messages.RelayedReport],
) -> abc.Iterator[tuple[messages.RelayedReport, ...]]:
    """Split the entries so that each batch fits one packet."""
    batch: list[messages.RelayedReport] = []
    size = BATCH_HEADER_BYTES
    for entry in entries:
        entry_size = messages.encoded_size(entry)
        if batch and size + entry_size > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], BATCH_HEADER_BYTES
        batch.append(entry)
        size += entry_size
    if batch:
        yield tuple(batch)


def _take_entry(
    address: _types.Address, member: Member, *, now: float
) -> messages.RelayedReport:
    """Return what a batch carries of a member, and record it as sent."""
    report = member.report
    is_full = (
        member.full_copies > 0
        or now - member.last_full_at >= FULL_REPORT_INTERVAL_SECONDS
    )
    # A change of status is sent again with the next batch.
    member.is_new = member.full_copies > 1
    if is_full:
        member.last_full_at = now
        member.full_copies = max(member.full_copies - 1, 0)
    return messages.RelayedReport(
        host=address.host,
        age_ms=round((now - member.received_at) * messages.MILLISECONDS_PER_SECOND),
        report=report
        if is_full
        else messages.LoadReport(
            boot=report.boot,
            number=report.number,
            running=report.running,
            flows=report.flows,
            room=report.room,
        ),
    )


def _expire(relay: Relay, *, now: float) -> None:
    for requests in (relay.balancers, relay.peers, relay.gatherers):
        for address, last_at in list(requests.items()):
            if now - last_at >= REQUEST_LIFETIME_SECONDS:
                del requests[address]
    for address, member in list(relay.members.items()):
        if now - member.received_at >= MEMBER_SILENCE_SECONDS:
            del relay.members[address]
