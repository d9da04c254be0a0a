"""Stateful property test of the relays, under faults of processes, links and store.

The engines are the production ones on a simulated site (``testbed.control_site``).
"""

import hypothesis
from hypothesis import stateful, strategies

from plantainproxy import _types
from plantainproxy.flows import policy
from plantainproxy.flows.engine import upstreams
from testbed import control_site

PROCESSES = 14
DOMAINS = 3
STABLE_SECONDS = 3.0
"""A process and its links count as undisturbed after this time without a fault."""
CONVERGENCE_SECONDS = 4.0
"""Time after the last fault in which all views have to agree: the bound that the users
set for a change on a small site, plus one second for the lost reports."""
INDEX = strategies.integers(min_value=0, max_value=999)
SECONDS = strategies.sampled_from((0.1, 0.3, 0.8, 1.5, 2.5))


class RelayMachine(stateful.RuleBasedStateMachine):
    """Random faults, and what must hold throughout."""

    def __init__(self) -> None:
        """Create a site that has settled."""
        super().__init__()
        self.site = control_site.Site(PROCESSES, domains=DOMAINS)
        self.disturbed_at: dict[_types.Address, float] = {}
        self.links_disturbed_at = float("-inf")
        self.boots: dict[tuple[_types.Address, _types.Address], list[int]] = {}
        self.numbers: dict[tuple[_types.Address, _types.Address, int], int] = {}
        self.versions: dict[control_site.Node, int] = {}
        """Highest operators' version in force so far, by process."""
        self.site.run_for(CONVERGENCE_SECONDS)

    def sidecar(self, index: int) -> control_site.SidecarNode:
        """Return a sidecar by a drawn index; relays come first."""
        sidecars = sorted(self.site.sidecars, key=lambda node: not node.is_relay())
        return sidecars[index % len(sidecars)]

    def disturb(self, node: control_site.Node) -> None:
        """Record a fault of a process."""
        self.disturbed_at[node.address] = self.site.now

    @stateful.rule(index=INDEX)
    def pause_or_resume(self, index: int) -> None:
        """Pause a sidecar or let it run again; datagrams wait in its socket."""
        node = self.sidecar(index)
        node.is_paused = not node.is_paused
        self.disturb(node)

    @stateful.rule(index=INDEX)
    def restart(self, index: int) -> None:
        """Kill a sidecar's process and start it again without its state."""
        node = self.sidecar(index)
        self.disturb(self.site.restart(node))

    @stateful.rule(index=INDEX)
    def kill_or_start(self, index: int) -> None:
        """Stop a sidecar for longer, or start it again."""
        node = self.sidecar(index)
        if node.is_running:
            node.is_running = False
        else:
            node = self.site.restart(node)
        self.disturb(node)

    @stateful.rule(first=INDEX, second=INDEX)
    def cut_or_heal_domains(self, first: int, second: int) -> None:
        """Cut the path between two domains, or restore it."""
        names = sorted({node.domain for node in self.site.nodes.values()})
        pair = frozenset((names[first % DOMAINS], names[second % DOMAINS]))
        if len(pair) == 1:
            return
        self.site.cut_domains ^= {pair}
        self.links_disturbed_at = self.site.now

    @stateful.rule(index=INDEX)
    def toggle_store(self, index: int) -> None:
        """Let the store turn a process away, or serve it again."""
        nodes = list(self.site.nodes.values())
        node = nodes[index % len(nodes)]
        node.reaches_store = not node.reaches_store

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.025, 0.1)))
    def set_loss(self, loss: float) -> None:
        """Set the share of datagrams that are lost."""
        self.site.loss = loss

    @stateful.rule()
    def change_policy(self) -> None:
        """Store a new version of the policy."""
        self.site.change_policy()

    @stateful.rule(index=INDEX)
    def evacuate(self, index: int) -> None:
        """Take a domain out, or return it, without a new operators' version."""
        names = sorted({node.domain for node in self.site.nodes.values()})
        self.site.evacuate(*names[: index % DOMAINS])

    @stateful.rule(
        seconds_older=strategies.sampled_from((0.0, 0.5, 2.0, 5.0)),
        lost_entries=strategies.integers(min_value=0, max_value=4),
        rewrite_seconds=strategies.sampled_from((0.1, 2.0, 8.0)),
    )
    def restore_store(
        self, seconds_older: float, lost_entries: int, rewrite_seconds: float
    ) -> None:
        """Restore the store from an older copy, in a new era."""
        self.site.restore_store(
            seconds_older=seconds_older,
            lost_entries=lost_entries,
            rewrite_seconds=rewrite_seconds,
        )

    @stateful.rule(index=INDEX)
    def drain(self, index: int) -> None:
        """Let an upstream leave, or take part again."""
        node = self.sidecar(index)
        node.is_draining = not node.is_draining

    @stateful.rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        """Let time pass, checking at every step."""
        for _ in range(round(seconds / control_site.STEP_SECONDS)):
            for node in self.site.nodes.values():
                if node.is_paused or not node.is_running:
                    self.disturb(node)
            if self.site.cut_domains:
                self.links_disturbed_at = self.site.now
            self.site.step()
            self.check_order()
            self.check_no_live_upstream_is_lost()

    def check_order(self) -> None:
        """No balancer takes an older report or policy after a newer one.

        No process decides by an older version of the operators after a newer one, also
        when the store was restored from a copy with the older one.
        """
        for process_node in self.site.nodes.values():
            current = process_node.policies.current
            version = current.version if current else 0
            assert version >= self.versions.get(process_node, 0)
            self.versions[process_node] = version
        for node in self.site.balancers:
            assert node.applied_orders == sorted(set(node.applied_orders))
            for address, upstream in node.engine.view.upstreams.items():
                if upstream.report is None:
                    continue
                boots = self.boots.setdefault((node.address, address), [])
                if upstream.report.boot not in boots:
                    boots.append(upstream.report.boot)
                assert boots[-1] == upstream.report.boot
                key = (node.address, address, upstream.report.boot)
                assert upstream.report.number >= self.numbers.get(key, 0)
                self.numbers[key] = upstream.report.number

    def check_no_live_upstream_is_lost(self) -> None:
        """Faults of relays alone make no balancer give up a sidecar that it reaches.

        Otherwise it would reset flows that are alive.
        """
        now = self.site.now
        if now - self.links_disturbed_at < STABLE_SECONDS or self.site.loss > 0.025:
            return
        for node in self.site.balancers:
            for sidecar_node in self.site.sidecars:
                disturbed_at = self.disturbed_at.get(
                    sidecar_node.address, float("-inf")
                )
                if now - disturbed_at < STABLE_SECONDS:
                    continue
                upstream = node.engine.view.upstreams[sidecar_node.address]
                assert not upstreams.is_lost(
                    upstream,
                    now=now,
                    timeout_seconds=upstreams.SHORT_LOSS_TIMEOUT_SECONDS,
                ), (node.address, sidecar_node.address, now - upstream.last_report_at)

    def teardown(self) -> None:
        """End all faults: all views agree with the store and the sidecars."""
        for sidecar_node in self.site.sidecars:
            sidecar_node.is_paused = False
            if not sidecar_node.is_running:
                self.site.restart(sidecar_node)
        for node in self.site.nodes.values():
            node.reaches_store = True
        self.site.cut_domains.clear()
        self.site.loss = 0.0
        rewrite_at = max((due for due, _ in self.site.due_writes), default=0.0)
        self.site.run_for(max(0.0, rewrite_at - self.site.now) + CONVERGENCE_SECONDS)
        self.check_order()
        stored = self.site.stored_policy
        for node in self.site.nodes.values():
            assert node.policies.order == stored.order, node.address
        if self.site.era:
            self.site.run_for(policy.EVACUATION_HOLD_SECONDS)
        for node in self.site.nodes.values():
            assert node.policies.current is not None
            assert node.policies.current.domains_out == stored.domains_out
        for balancer_node in self.site.balancers:
            for sidecar_node in self.site.sidecars:
                upstream = balancer_node.engine.view.upstreams[sidecar_node.address]
                assert upstreams.is_fresh(upstream, now=self.site.now)
                assert upstream.report is not None
                assert upstream.report.state is sidecar_node.engine.upstream.state


RelayMachine.TestCase.settings = hypothesis.settings(
    stateful_step_count=20,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
TestRelays = RelayMachine.TestCase
