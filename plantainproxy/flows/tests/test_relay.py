"""Tests of relays: which sidecars they are, and what they pass on."""

from collections import abc

import pytest

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import relay, relay_selection, report_requests
from plantainproxy.flows.engine import upstreams
from testbed import transparent

HOME, AWAY = transparent.DOMAIN, transparent.OTHER_DOMAIN
BALANCER = _types.Address("10.0.0.1", transparent.MESSAGE_PORT)
REMOTE_RELAY = _types.Address("10.9.0.1", transparent.MESSAGE_PORT)
NO_NOTICE = messages.Notice(
    revision=1, digest=1, list_revision=1, list_digest=1, is_current=False
)


class Harness:
    """A relay with a manual clock that records what it sends."""

    def __init__(self) -> None:
        """Create a relay of the home domain that is not appointed."""
        self.now = 100.0
        self.sent: list[tuple[list[_types.Address], messages.Message]] = []
        self.relay = relay.Relay(
            port=self,
            domain=HOME,
            log=event_log.EventLog("test", clock=lambda: self.now),
        )
        self.tick()

    def send_to_all(
        self,
        recipients: abc.Iterable[_types.Address],
        message: messages.Message,
    ) -> None:
        """Record a message that has recipients."""
        if addresses := list(recipients):
            self.sent.append((addresses, message))

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock in short steps, with a tick after each."""
        for _ in range(max(round(seconds / 0.05), 1)):
            self.now += min(seconds, 0.05)
            relay.tick(self.relay, NO_NOTICE, now=self.now)

    def gather(self) -> None:
        """Let a relay of another domain ask for reports."""
        request = messages.GatherRequest(domain=AWAY)
        relay.handle_gather_request(self.relay, request, REMOTE_RELAY, now=self.now)

    def report(self, number: int, report: messages.Report) -> None:
        """Let a sidecar report."""
        sender = transparent.address(number)
        relay.handle_report(self.relay, report, sender, now=self.now)

    def batches(self) -> list[messages.ReportBatch]:
        """Return the batches sent so far."""
        return [
            message
            for _, message in self.sent
            if isinstance(message, messages.ReportBatch)
        ]


def appoint(harness: Harness, *peers: str) -> None:
    """Let a balancer of the domain name the relay."""
    request = messages.RelayRequest(domain=HOME, peers=peers)
    relay.handle_relay_request(harness.relay, request, BALANCER, now=harness.now)


def view_with(*domains: str) -> upstreams.View:
    """Return the view of a balancer that has a report of a sidecar in each domain."""
    view = upstreams.View(HOME)
    for number, domain in enumerate(domains, start=1):
        upstreams.apply_report(
            view,
            transparent.address(number),
            transparent.make_report(domain=domain),
            now=100.0,
        )
    return view


def test_relays_are_the_same_for_all_balancers_with_the_same_view() -> None:
    """Nothing is agreed, so the choice depends on the view alone."""
    first = view_with(*[HOME] * 6)
    second = upstreams.View(AWAY)
    for address in reversed(first.upstreams):
        report = first.upstreams[address].report
        assert report is not None
        upstreams.apply_report(second, address, report, now=100.0)
    chosen = relay_selection.relays_by_domain(first, now=100.0)[HOME]
    assert len(chosen) == relay_selection.RELAYS_PER_DOMAIN
    assert relay_selection.relays_by_domain(second, now=100.0)[HOME] == chosen


@pytest.mark.parametrize(
    "report",
    [
        transparent.make_report(number=2, stopping=True),
        transparent.make_report(number=2, state=messages.UpstreamState.DRAINING),
        transparent.make_report(number=2, state=messages.UpstreamState.GONE),
    ],
)
def test_a_sidecar_that_is_about_to_stop_is_no_relay(report: messages.Report) -> None:
    """A release replaces all hosts of a pool, relays among them."""
    view = view_with(*[HOME] * 6)
    leaving = relay_selection.relays_by_domain(view, now=100.0)[HOME][0]
    upstreams.apply_report(view, leaving, report, now=100.1)
    assert leaving not in relay_selection.relays_by_domain(view, now=100.1)[HOME]


def test_a_silent_sidecar_is_replaced_as_relay_before_it_counts_as_lost() -> None:
    """Both relays may be frozen at once."""
    view = view_with(*[HOME] * 6)
    silent = relay_selection.relays_by_domain(view, now=100.0)[HOME]
    now = 100.1 + upstreams.REPORT_FRESH_SECONDS
    for address in view.upstreams:
        if address not in silent:
            report = transparent.make_report(number=2)
            upstreams.apply_report(view, address, report, now=now)
    assert not set(silent) & set(relay_selection.relays_by_domain(view, now=now)[HOME])


def test_a_balancer_asks_its_domain_and_the_relays_only() -> None:
    """Each relay is given one relay of every other domain, so paths are separate."""
    view = view_with(HOME, HOME, HOME, AWAY, AWAY, AWAY)
    policies = policy.ActivePolicy()
    requests = report_requests.periodic_requests(view, policies, now=100.0)
    subscribed = [
        request.recipients
        for request in requests
        if isinstance(request.message, messages.ReportRequest)
        and request.message.subscribes
    ]
    assert subscribed == [[transparent.address(number) for number in (1, 2, 3)]]
    peers = [
        request.message.peers
        for request in requests
        if isinstance(request.message, messages.RelayRequest)
    ]
    assert len(peers) == 2
    assert all(len(hosts) == 1 for hosts in peers)
    assert peers[0] != peers[1]


def test_a_domain_without_a_sidecar_subscribes_to_all_domains() -> None:
    """There is nobody to relay; a restarted balancer is remembered by the sidecars."""
    view = view_with(AWAY, AWAY)
    policies = policy.ActivePolicy()
    (request,) = report_requests.periodic_requests(view, policies, now=100.0)
    assert isinstance(request.message, messages.ReportRequest)
    assert request.message.subscribes
    assert len(request.recipients) == 2


def test_a_batch_has_complete_reports_first_and_then_loads() -> None:
    """A complete report is four times as long; status changes rarely."""
    harness = Harness()
    harness.gather()
    for number in range(1, 8):
        harness.report(1, transparent.make_report(number=number, running=number % 3))
        harness.tick(relay.BATCH_INTERVAL_SECONDS)
    kinds = [type(batch.reports[0].report) for batch in harness.batches()]
    copies = relay.FULL_REPORT_COPIES
    assert kinds[:copies] == [messages.Report] * copies
    assert set(kinds[copies:]) == {messages.LoadReport}


def test_a_change_of_status_is_sent_at_once_and_once_more() -> None:
    """The second copy covers the loss of the first."""
    harness = Harness()
    harness.gather()
    harness.report(1, transparent.make_report())
    harness.tick(1.0)
    harness.sent.clear()
    draining = messages.UpstreamState.DRAINING
    harness.report(1, transparent.make_report(number=2, state=draining))
    harness.tick(0.05)
    assert len(harness.batches()) == 1
    harness.tick(2 * relay.BATCH_INTERVAL_SECONDS)
    reports = [batch.reports[0].report for batch in harness.batches()]
    assert len(reports) == relay.FULL_REPORT_COPIES
    for report in reports:
        assert isinstance(report, messages.Report)
        assert report.state is draining


def test_batches_stop_when_no_relay_asks_for_them() -> None:
    """State is soft: it expires with the requests."""
    harness = Harness()
    harness.gather()
    harness.report(1, transparent.make_report())
    harness.tick(relay.REQUEST_LIFETIME_SECONDS + 0.1)
    harness.sent.clear()
    harness.report(1, transparent.make_report(number=2))
    harness.tick(1.0)
    assert harness.sent == []


def test_a_relay_that_was_paused_drops_what_waited_in_its_socket() -> None:
    """The ages in a batch do not include the pause of the relay that passes it on."""
    harness = Harness()
    appoint(harness, REMOTE_RELAY.host)
    harness.tick(0.05)
    batch = messages.ReportBatch(
        reports=(
            messages.RelayedReport(
                host="10.9.0.2", age_ms=10, report=transparent.make_report()
            ),
        )
    )
    harness.now += relay.PAUSE_SECONDS + 0.1
    relay.handle_batch(harness.relay, batch, now=harness.now)
    assert harness.batches() == []
    harness.tick(0.05)
    appoint(harness, REMOTE_RELAY.host)
    relay.handle_batch(harness.relay, batch, now=harness.now)
    assert harness.batches() == [batch]


def test_reports_of_an_earlier_process_are_refused() -> None:
    """A relay that was paused passes on reports from before a sidecar's restart."""
    harness = transparent.ready_balancer(count=1)
    restarted = transparent.make_report(boot=2, number=1, running=1)
    harness.handle_message(1, restarted)
    old = messages.RelayedReport(
        host=transparent.address(1).host,
        age_ms=0,
        report=transparent.make_report(boot=1, number=50),
    )
    harness.handle_message(2, messages.ReportBatch(reports=(old,)))
    assert harness.engine.view.upstreams[transparent.address(1)].report == restarted


def test_a_process_between_two_others_does_not_return() -> None:
    """A sidecar restarts twice; a relay passes on the second process's report late.

    The balancer had not heard of that process, and refused the third one for good.
    """
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(1, transparent.make_report(boot=3, number=1))
    late = messages.RelayedReport(
        host=transparent.address(1).host,
        age_ms=0,
        report=transparent.make_report(boot=2, number=1),
    )
    harness.handle_message(2, messages.ReportBatch(reports=(late,)))
    newest = transparent.make_report(boot=3, number=2)
    harness.handle_message(1, newest)
    assert harness.engine.view.upstreams[transparent.address(1)].report == newest


def test_a_sidecar_whose_clock_was_set_back_is_heard_itself() -> None:
    """Its new process seems to have started before the earlier one."""
    harness = transparent.ready_balancer(count=1)
    harness.handle_message(1, transparent.make_report(boot=9, number=50))
    restarted = transparent.make_report(boot=2, number=1)
    harness.handle_message(1, restarted)
    assert harness.engine.view.upstreams[transparent.address(1)].report == restarted


def test_a_relayed_report_is_as_old_as_its_age_says() -> None:
    """Otherwise a sidecar that has fallen silent would count as alive for longer."""
    harness = transparent.ready_balancer(count=1)
    harness.now += 2.0
    load = messages.LoadReport(boot=1, number=2, running=3, flows=4, room=5)
    relayed = messages.RelayedReport(
        host=transparent.address(1).host, age_ms=500, report=load
    )
    harness.handle_message(2, messages.ReportBatch(reports=(relayed,)))
    upstream = harness.engine.view.upstreams[transparent.address(1)]
    assert upstream.last_report_at == pytest.approx(harness.now - 0.5)
    assert upstream.report is not None
    assert (upstream.report.running, upstream.report.room) == (3, 5)


def test_a_load_without_its_complete_report_is_ignored() -> None:
    """The complete report of a restarted sidecar may be lost."""
    harness = transparent.ready_balancer(count=1)
    load = messages.LoadReport(boot=9, number=2, running=3, flows=4, room=5)
    relayed = messages.RelayedReport(
        host=transparent.address(1).host, age_ms=0, report=load
    )
    harness.now += 1.0
    harness.handle_message(2, messages.ReportBatch(reports=(relayed,)))
    upstream = harness.engine.view.upstreams[transparent.address(1)]
    assert upstream.last_report_at == harness.now - 1.0
