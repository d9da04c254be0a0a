"""Tests of lookups whose list of sidecars lacks the one that holds the flow."""

import msgspec
import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.eventloop import runtime
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import coverage, documents
from plantainproxy.flows.engine import balancer, balancer_state, flow_lookups, lookup
from plantainproxy.flows.programs import balancer_main
from plantainproxy.flows.stored import registry
from plantainproxy.platform import packet_format
from plantainproxy.store import port, revisioned
from testbed import foreign_inputs, transparent

KEY = transparent.flow_key(1)
OTHER = transparent.flow_key(2)
LISTED = (1, 2, 3)
UNLISTED = 4
"""Number of a sidecar that has registered since the balancer read the list."""


def _deny(harness: transparent.BalancerHarness, flow: bytes) -> None:
    """Let all sidecars that the balancer knows deny a flow."""
    harness.handle_packet(transparent.make_packet(flow, sequence=1, size=100))
    for number in LISTED:
        harness.handle_message(number, messages.FlowNotHeld(flow=flow))


def _balancer_without_store() -> transparent.BalancerHarness:
    harness = transparent.ready_balancer(len(LISTED))
    harness.reaches_store = False
    return harness


def test_a_flow_at_an_upstream_that_is_not_listed_yet_is_not_reset() -> None:
    """Guards against resets of flows at hosts added since the list (review/9)."""
    harness = _balancer_without_store()
    _deny(harness, KEY)
    assert harness.port.resets == []
    assert flow_lookups.awaits_list_check(harness.engine)
    harness.now += 0.02
    harness.apply_registrations(*LISTED, UNLISTED)
    harness.handle_message(UNLISTED, transparent.make_report())
    flow_lookups.handle_list_checked(
        harness.engine, asked_at=harness.now, now=harness.now
    )
    assert harness.port.forwarded[-1][1] == transparent.address(UNLISTED).host
    harness.handle_message(UNLISTED, messages.FlowHeld(flow=KEY, is_presumed=False))
    assert harness.engine.flows[KEY].upstream == transparent.address(UNLISTED)
    assert harness.port.resets == []


def test_a_flow_that_all_deny_is_reset_once_the_list_is_checked() -> None:
    """Guards against callers that wait for a flow that has ended."""
    harness = _balancer_without_store()
    _deny(harness, KEY)
    harness.reaches_store = True
    harness.tick(0.04)
    assert [packet.flow for packet in harness.port.resets] == [KEY]


def test_an_unchecked_list_resets_no_flow() -> None:
    """Guards against a reset at the timeout of a lookup while the store is down."""
    harness = _balancer_without_store()
    _deny(harness, KEY)
    steps = 10
    for step in range(steps):
        for number in LISTED:
            harness.handle_message(number, transparent.make_report(number=2 + step))
        harness.tick(1.5 * lookup.TIMEOUT_SECONDS / steps)
    assert KEY not in harness.engine.lookups
    assert harness.port.resets == []


def test_a_check_from_before_the_lookup_does_not_count() -> None:
    """Guards against a holder that registered after the check and before the packet."""
    harness = _balancer_without_store()
    asked_at = harness.now
    harness.now += 0.5
    _deny(harness, KEY)
    flow_lookups.handle_list_checked(harness.engine, asked_at=asked_at, now=harness.now)
    assert harness.port.resets == []
    assert flow_lookups.awaits_list_check(harness.engine)


def test_lookups_that_have_waited_for_the_list_end_some_at_a_time() -> None:
    """Guards against a balancer that serves nothing else when the store returns."""
    harness = _balancer_without_store()
    count = balancer_state.MAX_ACTIVE_LOOKUPS + 10
    flows = [transparent.flow_key(number) for number in range(10, 10 + count)]
    for flow in flows:
        _deny(harness, flow)
        harness.tick(0.001)
        _deny(harness, flow)
    assert set(harness.engine.lookups) == set(flows)
    flow_lookups.handle_list_checked(
        harness.engine, asked_at=harness.now, now=harness.now
    )
    assert len(harness.port.resets) == balancer_state.MAX_ACTIVE_LOOKUPS
    harness.tick(0.04)
    assert {packet.flow for packet in harness.port.resets} == set(flows)


def test_lookups_that_wait_for_the_list_leave_room_for_others() -> None:
    """Guards against open flows that are not looked up while the store is down."""
    harness = _balancer_without_store()
    for number in range(10, 10 + balancer_state.MAX_ACTIVE_LOOKUPS):
        _deny(harness, transparent.flow_key(number))
    harness.handle_packet(transparent.make_packet(KEY, sequence=1, size=100))
    harness.tick(0.04)
    assert any(packet.flow == KEY for packet, _, _ in harness.port.forwarded)


def test_a_relay_with_an_older_list_covers_no_process() -> None:
    """Guards against a relay that keeps newer lists from its domain (review/9)."""
    held = documents.Documents(policy.ActivePolicy(), log=event_log.EventLog("test"))
    held.sidecars.apply_if_newer(_list(5, LISTED))
    relay = transparent.address(9)
    notice = messages.Notice(
        revision=0,
        digest=0,
        list_revision=4,
        list_digest=1,
        list_order=revisioned.Revision(0, 4),
        is_current=True,
    )
    documents.handle_notice(held, notice, relay, now=1.0)
    assert not coverage.is_covered(held.coverage, now=1.0)
    same_content = msgspec.structs.replace(notice, list_digest=held.sidecars.digest)
    documents.handle_notice(held, same_content, relay, now=1.0)
    assert coverage.is_covered(held.coverage, now=1.0)


def _entry(number: int) -> tuple[str, bytes]:
    address = transparent.address(number)
    entry = registry.Entry(
        host=address.host,
        message_port=address.port,
        data_port=transparent.DATA_PORT,
        domain=transparent.DOMAIN,
    )
    return f"{registry.PREFIX}{address.host}/", msgspec.msgpack.encode(entry)


def _list(revision: int, numbers: tuple[int, ...]) -> registry.SidecarList:
    entries = dict(_entry(number) for number in numbers)
    return registry.SidecarList(revision=revision, entries=entries)


class _Store:
    """A store whose list of sidecars is at revision 9."""

    def __init__(self, numbers: tuple[int, ...], *, has_history: bool = True) -> None:
        self.entries = dict(_entry(number) for number in numbers)
        self.has_history = has_history
        self.is_down = False
        self.era = 0

    async def changes_after(
        self, prefix: str, revision: revisioned.Revision
    ) -> revisioned.Changes:
        if self.is_down:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.STORE_UNAVAILABLE, "the store is down"
            )
        if not self.has_history:
            raise revisioned.HistoryLostError(prefix, revision)
        return revisioned.Changes(
            changes=tuple(
                port.Change(
                    key=key, entry=port.Entry(key=key, value=value, mod_revision=9)
                )
                for key, value in self.entries.items()
            ),
            revision=revisioned.Revision(0, 9),
        )

    async def read_all(
        self, prefix: str, *, may_be_outdated: bool = False
    ) -> revisioned.Snapshot:
        return revisioned.Snapshot(
            entries=tuple(
                port.Entry(key=key, value=value, mod_revision=9)
                for key, value in self.entries.items()
            ),
            revision=revisioned.Revision(0, 9),
        )

    async def watch_after(
        self, prefix: str, revision: revisioned.Revision, *, brief: bool = False
    ) -> revisioned.Changes:
        raise NotImplementedError


def test_a_check_returns_a_changed_list_and_raises_the_order_of_an_equal_one() -> None:
    """Guards against a check that reads all entries although none has changed."""

    async def check(store: _Store) -> tuple[registry.SidecarList | None, int]:
        sidecars = registry.ActiveList()
        sidecars.apply_if_newer(_list(4, LISTED))
        newer = await registry.read_newer(store, sidecars)
        return newer, sidecars.order.number

    changed = _list(9, (*LISTED, UNLISTED))
    for has_history in (True, False):
        same = _Store(LISTED, has_history=has_history)
        assert trio.run(check, same) == (None, 9)
        other = _Store((*LISTED, UNLISTED), has_history=has_history)
        assert trio.run(check, other) == (changed, 4)


def test_a_balancer_process_asks_an_added_sidecar_after_the_check() -> None:
    """Guards against a list that the check has read and the lookup does not use."""

    async def check() -> None:
        target = foreign_inputs.BalancerTarget(foreign_inputs.Clock())
        process, engine = target.process, target.process.engine
        store = process.store = _Store((1, UNLISTED))  # type: ignore[assignment]
        now = runtime.current_time()
        target.context.apply_policy(transparent.make_policy(1))
        target.context.apply_list(_list(4, (1,)))
        engine.view.complete_at = now
        sidecar = transparent.address(1)
        for message in (transparent.make_report(), messages.FlowNotHeld(flow=KEY)):
            balancer.handle_message(
                engine, message, sidecar, parse=lambda data: None, now=now
            )
            packet = transparent.make_packet(KEY, sequence=1, size=100)
            packet = packet._replace(data=bytes(packet_format.HEADER.size))
            balancer.handle_packet(engine, packet, now=now)
        balancer.handle_message(
            engine,
            messages.FlowNotHeld(flow=KEY),
            sidecar,
            parse=lambda data: None,
            now=now,
        )
        assert flow_lookups.awaits_list_check(engine)
        store.is_down = True
        with pytest.raises(_exceptions.PlantainError):
            await balancer_main.check_list(process)
        assert flow_lookups.awaits_list_check(engine)
        store.is_down = False
        await balancer_main.check_list(process)
        asked = {destination for _, destination in target.data_socket.sent}
        added = transparent.listed_sidecar(UNLISTED)
        assert added.data_address in asked
        assert not engine.log.counters["resets"]

    trio.run(check)
