"""Answers and returned packets that arrive after a lookup has found the holder."""

from plantainproxy.flows import messages, packets
from plantainproxy.flows.engine import balancer_state
from testbed import transparent

KEY = transparent.flow_key(1)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)
OWN = transparent.address(1)


def _balancer_that_found_the_holder() -> transparent.BalancerHarness:
    harness = transparent.ready_balancer(4)
    for number in (1, 2, 3, 4):
        harness.handle_message(
            number, transparent.make_report(number=2, complete=False)
        )
    harness.engine.flows[KEY] = balancer_state.CachedFlow(OWN, harness.now, harness.now)
    return harness


def test_a_late_return_starts_no_lookup_of_a_flow_that_was_found() -> None:
    """Guards against lookups of flows whose holder is cached.

    Upstreams that return the copies of a lookup late would start another one each.
    """
    harness = _balancer_that_found_the_holder()
    harness.handle_returned_packet(2, DATA, messages.Refusal.NOT_HELD)
    assert KEY not in harness.engine.lookups
    assert harness.port.hosts(packets.Purpose.QUERY, packets.Purpose.LOOKUP) == []


def test_a_late_answer_of_an_earlier_sidecar_does_not_replace_the_holder() -> None:
    """Guards against silence of an upstream that counts as proof.

    A sidecar of 9a0a358 got the packet on suspicion in a lookup that has ended. Its
    answer arrives in the next one, which has sent it no packet, and does not state that
    the upstream was merely silent.
    """
    harness = _balancer_that_found_the_holder()
    harness.handle_returned_packet(2, DATA, messages.Refusal.NOT_HELD)
    harness.handle_message(3, messages.FlowHeld(flow=KEY))
    assert harness.engine.flows[KEY].upstream == OWN
