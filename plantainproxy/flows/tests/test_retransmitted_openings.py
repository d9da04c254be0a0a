"""A flow whose opening was retransmitted, with one balancer and its own cache entry.

The caller sends a second copy of its opening after 0.2 s, which is placed on another
upstream. The first one accepts afterwards, and the caller chooses it.
"""

import pytest

from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import balancer
from testbed import transparent

KEY = transparent.flow_key(1)
OPENING = transparent.make_packet(KEY, opening=True)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)
OWN = 1
SECOND = 2
SIDECARS = 12
RETRANSMISSIONS_AT_SECONDS = (0.2, 0.6, 1.4)
STEP_SECONDS = 0.05
RETURN_SECONDS = 1.0
"""Time that an upstream takes to return a packet of a flow that it does not hold."""
TIMEOUT_SECONDS = 0.03
"""Time of silence after which a sidecar presumes that its upstream holds a flow."""


class Site:
    """One balancer and sidecars without complete flow tables.

    The flow's own upstream is in another failure domain, so that it is not in the first
    wave of a lookup.
    """

    def __init__(self) -> None:
        """Open the flow at the first upstream, and place a copy on the second."""
        self.harness = transparent.BalancerHarness()
        listed = {
            transparent.address(number): transparent.listed_sidecar(
                number, _domain(number)
            )
            for number in range(1, SIDECARS + 1)
        }
        balancer.apply_registrations(self.harness.engine, listed, now=self.harness.now)
        self.harness.engine.view.complete_at = self.harness.now
        self.harness.apply_policy(transparent.make_policy(1))
        self.report_number = 0
        self.due: list[tuple[float, int, messages.Message | None]] = []
        self.stray_times: list[float] = []
        self.own_times: list[float] = []
        for chosen in (OWN, SECOND):
            self.report(only=chosen)
            self.harness.handle_packet(OPENING)
            assert self.harness.engine.flows[KEY].upstream == transparent.address(
                chosen
            )
        self.report()
        self.handled = len(self.harness.port.forwarded)

    def report(self, *, only: int | None = None) -> None:
        """Report room for new flows at all upstreams, or at one only."""
        self.report_number += 1
        for number in range(1, SIDECARS + 1):
            self.harness.handle_message(
                number,
                transparent.make_report(
                    number=self.report_number,
                    domain=_domain(number),
                    room=8 if only in (None, number) else 0,
                    complete=False,
                ),
            )

    def send(self) -> None:
        """Send the caller's data packet."""
        self.harness.handle_packet(DATA)
        self.exchange()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps; handle what is due."""
        end = self.harness.now + seconds
        while self.harness.now < end:
            self.harness.tick(min(STEP_SECONDS, end - self.harness.now))
            self.report()
            self.exchange()

    def exchange(self) -> None:
        """Let sidecars handle what the balancer has sent, and the balancer answers."""
        while True:
            new = self.harness.port.forwarded[self.handled :]
            self.handled += len(new)
            for _, host, purpose in new:
                self.handle_at_sidecar(int(host.rpartition(".")[2]), purpose)
            now = self.harness.now
            due = [entry for entry in self.due if entry[0] <= now]
            if not new and not due:
                return
            self.due = [entry for entry in self.due if entry[0] > now]
            for _, number, message in due:
                if message is None:
                    self.harness.handle_returned_packet(
                        number, DATA, messages.Refusal.NOT_HELD
                    )
                else:
                    self.harness.handle_message(number, message)

    def handle_at_sidecar(self, number: int, purpose: packets.Purpose) -> None:
        """Answer as a sidecar does whose table has only its own copy of the opening."""
        now, is_lookup = self.harness.now, purpose is packets.Purpose.LOOKUP
        if number == OWN:
            if purpose is not packets.Purpose.QUERY:
                self.own_times.append(now)
            if purpose is not packets.Purpose.FORWARD:
                self.due.append((now, number, messages.FlowHeld(flow=KEY)))
        elif number == SECOND:
            denial = messages.FlowNotHeld(flow=KEY)
            is_forwarded = purpose is packets.Purpose.FORWARD
            self.due.append((now, number, None if is_forwarded else denial))
        elif purpose is packets.Purpose.QUERY:
            self.due.append((now, number, messages.FlowUnknown(flow=KEY)))
        else:
            self.stray_times.append(now)
            if is_lookup:
                held = messages.FlowHeld(flow=KEY)
                self.due.append((now + TIMEOUT_SECONDS, number, held))
            self.due.append((now + RETURN_SECONDS, number, None))


def _domain(number: int) -> str:
    return transparent.OTHER_DOMAIN if number == OWN else transparent.DOMAIN


@pytest.mark.parametrize("is_confirmed_first", [True, False])
def test_a_flow_placed_twice_goes_to_no_third_upstream(
    is_confirmed_first: bool,
) -> None:
    """Guards against packets of a new flow at upstreams that never had its opening.

    The second upstream's sidecar denied the flow. The lookup then sent copies to all
    sidecars of the domain without complete tables, and took a slow return as proof.
    """
    site = Site()
    if is_confirmed_first:
        site.harness.handle_packet(DATA._replace(size=0))
        site.exchange()
    site.send()
    sent_at = 0.0
    for at in RETRANSMISSIONS_AT_SECONDS:
        site.pass_time(at - sent_at)
        sent_at = at
        site.send()
    site.pass_time(0.6)
    assert site.stray_times == []
    assert site.own_times
    assert site.own_times[0] - 100.0 < RETRANSMISSIONS_AT_SECONDS[0]
    assert site.harness.engine.flows[KEY].upstream == transparent.address(OWN)
    assert site.harness.port.resets == []
