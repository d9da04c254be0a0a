"""The stateful property test of transparent flows with hedging turned on.

All faults and checks of ``test_flow_machine`` apply: no open flow is reset or lost, and
data reaches only the upstream whose acceptance the caller received, while openings are
hedged at any moment.
"""

from hypothesis import stateful

from plantainproxy.flows import settings
from plantainproxy.flows.engine import balancer, hedged_openings, hedging
from plantainproxy.flows.tests import test_flow_machine

HEDGE_PERCENT = settings.MAX_HEDGE_PERCENT
PASSES = round(hedging.MAX_DELAY_SECONDS / hedging.PASS_INTERVAL_SECONDS) + 1
"""Checks after which an opening without success is overdue."""


class HedgingFlowMachine(test_flow_machine.FlowMachine):
    """Adds openings that are hedged, with a full budget, at either balancer."""

    @stateful.rule(
        flow=test_flow_machine.FLOW,
        via=test_flow_machine.INDEX,
        lost=test_flow_machine.INDEX,
    )
    def hedge_opening(self, flow: int, via: int, lost: int) -> None:
        """Send an opening and let it become overdue; some of the copies are lost."""
        site = self.site
        caller = site.callers[flow]
        if caller.accepted_by is not None:
            return
        via %= test_flow_machine.BALANCERS
        engine = site.balancers[via]
        engine.hedging.percent = HEDGE_PERCENT
        engine.hedging.budget.credit = engine.hedging.budget.max_credit = 100.0
        site.send_opening(caller, via=via)
        site.deliver(site.in_flight.pop())
        if site.in_flight and lost % 3 == 0:
            site.in_flight.pop()
        for _ in range(PASSES):
            site.now += hedging.PASS_INTERVAL_SECONDS
            hedged_openings.send_due_hedges(engine, now=site.now)
        for balancer_engine in site.balancers:
            balancer.tick(balancer_engine, now=site.now)


TestHedgedFlows = HedgingFlowMachine.TestCase


def test_the_rule_hedges_openings_and_the_flows_are_found() -> None:
    """A rule that never hedges would check nothing."""
    machine = HedgingFlowMachine()
    for flow in range(test_flow_machine.OPEN_FLOWS, test_flow_machine.FLOWS):
        machine.hedge_opening(flow=flow, via=0, lost=1)
        machine.site.deliver_all_in_order()
        machine.site.advance_time(0.6)
    counters = machine.site.balancers[0].log.counters
    assert counters["hedges.sent"] == 3
    machine.teardown()
    assert counters["hedges.won"] + counters["hedges.lost"] == 3
