"""Tests calls of the metadata store and their failures, against the stand-in."""

import base64
from collections import abc
import contextlib
import functools
import socket

import msgspec
import pytest
import trio
import trio.testing

from plantainproxy import _exceptions, _http_server, _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.stored import (
    flow_hints,
    flow_record,
    flow_snapshot,
    follower,
    registry,
)
from plantainproxy.platform import metadata_store
from plantainproxy.store import port, revisioned
from standins import metadata_store as standin
from testbed import transparent

DEADLINE_SECONDS = 10.0


def _free_address() -> _types.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return _types.Address(*probe.getsockname())


@contextlib.asynccontextmanager
async def _running_store(
    store: standin.MetadataStore,
) -> abc.AsyncIterator[tuple[metadata_store.MetadataStore, trio.Nursery]]:
    address = _free_address()
    with trio.fail_after(DEADLINE_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(standin.serve, store, address)
            await _wait_until_listening(address)
            client = metadata_store.MetadataStore(
                address, history_seconds=store.history_seconds
            )
            yield client, nursery
            nursery.cancel_scope.cancel()


async def _wait_until_listening(address: _types.Address) -> None:
    while True:
        with contextlib.suppress(OSError):
            stream = await trio.open_tcp_stream(*address)
            await stream.aclose()
            return
        await trio.sleep(0.01)


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.01)


def _run(
    test: abc.Callable[
        [standin.MetadataStore, metadata_store.MetadataStore, trio.Nursery],
        abc.Awaitable[None],
    ],
    store: standin.MetadataStore | None = None,
) -> None:
    server = store or standin.MetadataStore()

    async def main() -> None:
        async with _running_store(server) as (client, nursery):
            await test(server, client, nursery)

    trio.run(main)


def test_reads_all_pages() -> None:
    """The store returns at most one page of items for each range call."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        for number in range(7):
            server.put(f"a/{number}", str(number).encode())
        server.put("b/0", b"other")
        snapshot = await client.read_all("a/")
        assert [entry.value for entry in snapshot.entries] == [
            str(number).encode() for number in range(7)
        ]
        assert snapshot.revision == revisioned.Revision(0, server.revision)

    _run(check, standin.MetadataStore(page=3))


def test_flow_hints_come_from_the_snapshots_of_all_sidecars() -> None:
    """A snapshot of another writer is left out; the others hold."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        flows = [transparent.flow_key(number) for number in (1, 2)]
        for host, flow in zip(("10.0.0.1", "10.0.0.2"), flows, strict=True):
            snapshot = flow_record.FlowSnapshot(
                born=1, flows={flow: 5_001}, is_stop=host == "10.0.0.2"
            )
            value = msgspec.msgpack.encode(snapshot)
            server.put(flow_record.key_of(host), value)
        server.put(flow_record.key_of("10.0.0.3"), b"{}")
        log = event_log.EventLog("test")
        hints = await flow_hints.read(client, message_port=7700, log=log)
        assert hints.flows == {
            flows[0]: _types.Address("10.0.0.1", 7700),
            flows[1]: _types.Address("10.0.0.2", 7700),
        }
        assert hints.stopped == {_types.Address("10.0.0.2", 7700)}
        server.faults.status = 503
        hints = await flow_hints.read(client, message_port=7700, log=log)
        assert hints == flow_hints.NO_HINTS

    _run(check)


def test_a_read_that_may_be_outdated_is_marked_so() -> None:
    """It costs a tenth; any other read must be of the store's newest state."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        queries: list[str] = []
        handle = server.handle

        async def record(request: _http_server.Request) -> _http_server.Response:
            queries.append(request.path)
            return await handle(request)

        server.handle = record  # type: ignore[method-assign]
        nursery.start_soon(standin.serve, server, address := _free_address())
        await _wait_until_listening(address)
        marked = metadata_store.MetadataStore(address)
        await marked.read_all("a/", may_be_outdated=True)
        await marked.read_all("a/")
        assert ["serializable=1" in query for query in queries] == [True, False]

    _run(check)


def test_a_watch_resumes_at_a_revision() -> None:
    """A watch returns changes made after its revision and before it started."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        revision = revisioned.Revision(0, server.revision)
        server.put("a/2", b"two")
        server.remove("a/1")
        received = await client.watch_after("a/", revision)
        assert [(change.key, change.entry is None) for change in received.changes] == [
            ("a/2", False),
            ("a/1", True),
        ]

    _run(check)


def test_a_check_returns_the_changes_so_far_at_once() -> None:
    """Guards against lookups that wait for the next change of the list."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        first = revisioned.Revision(0, server.revision)
        server.put("b/1", b"other")
        with trio.fail_after(metadata_store.BRIEF_WATCH_SECONDS):
            unchanged = await client.changes_after("a/", first)
        assert unchanged.changes == ()
        assert unchanged.revision.number == server.revision
        server.put("a/2", b"two")
        changed = await client.changes_after("a/", unchanged.revision)
        assert [change.key for change in changed.changes] == ["a/2"]
        server.compact_history()
        with pytest.raises(revisioned.HistoryLostError):
            await client.changes_after("a/", first)

    _run(check)


def test_lost_history_raises() -> None:
    """The caller must read all entries again."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        server.compact_history()
        with pytest.raises(revisioned.HistoryLostError):
            await client.watch_after("a/", revisioned.Revision(0, 1))

    _run(check)


@pytest.mark.parametrize("status", [429, 503, 500])
def test_a_refused_call_did_nothing(status: int) -> None:
    """An error status raises ``STORE_UNAVAILABLE``: the call had no effect."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.faults.status = status
        with pytest.raises(_exceptions.PlantainError) as caught:
            await client.grant_lease(ttl_seconds=3.0)
        assert caught.value.kind is _exceptions.ErrorKind.STORE_UNAVAILABLE

    _run(check)


def test_a_lost_answer_leaves_a_write_unknown() -> None:
    """The write may have been applied, so it raises ``CHANGE_UNKNOWN``."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.faults.lose_answers = 1
        put = port.Put(key="a", value=b"x")
        with pytest.raises(_exceptions.PlantainError) as caught:
            await client.write(port.Transaction(compares=(), puts=(put,)))
        assert caught.value.kind is _exceptions.ErrorKind.CHANGE_UNKNOWN
        assert "a" in server.items

    _run(check)


def test_a_condition_that_does_not_hold_changes_nothing() -> None:
    """A write fails if its key has changed since the expected revision."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a", b"theirs")
        transaction = port.Transaction(
            compares=(port.Compare(key="a", mod_revision=0),),
            puts=(port.Put(key="a", value=b"mine"),),
        )
        conflict = await client.write(transaction)
        assert isinstance(conflict, revisioned.Conflict)
        assert conflict.entries == (
            port.Entry(key="a", value=b"theirs", mod_revision=server.revision),
        )

    _run(check)


class _LocalCopy:
    """Records the entries that a follower applies."""

    def __init__(self) -> None:
        self.entries: dict[str, bytes] = {}
        self.revision = revisioned.NO_REVISION

    def apply_entries(
        self, entries: abc.Mapping[str, bytes], revision: revisioned.Revision
    ) -> None:
        self.entries = dict(entries)
        self.revision = revision


def _start_follower(
    nursery: trio.Nursery,
    client: metadata_store.MetadataStore,
    *,
    coalesce_seconds: float = follower.COALESCE_SECONDS,
) -> _LocalCopy:
    copy = _LocalCopy()
    nursery.start_soon(
        functools.partial(
            follower.follow,
            client,
            "a/",
            apply_entries=copy.apply_entries,
            log=event_log.EventLog("test"),
            coalesce_seconds=coalesce_seconds,
        )
    )
    return copy


def test_a_follower_sees_changes_and_survives_lost_history() -> None:
    """The copy converges to the store's entries after the history was lost."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        copy = _start_follower(nursery, client)
        await _wait_until(lambda: copy.entries == {"a/1": b"one"})
        server.put("a/2", b"two")
        await _wait_until(lambda: "a/2" in copy.entries)
        server.remove("a/1")
        server.compact_history()
        await _wait_until(lambda: copy.entries == {"a/2": b"two"})

    _run(check)


def test_a_follower_resumes_after_the_store_was_down() -> None:
    """The watch resumes at its revision; the entries are not read again."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copy = _start_follower(nursery, client)
        await _wait_until(lambda: "GET /v1/kv-watch" in server.calls)
        server.faults.status = 503
        server.put("a/1", b"one")
        await trio.sleep(0.3)
        server.put("a/2", b"two")
        server.faults.status = 0
        await _wait_until(lambda: set(copy.entries) == {"a/1", "a/2"})
        assert server.calls.count("GET /v1/kv-range") == 1

    _run(check)


def test_a_follower_recovers_soon_after_the_store_was_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The follower uses brief watches after a failure.

    A call that a silent store receives is never answered, not even after its recovery.
    A long watch among these calls would delay the follower until its timeout.
    """
    monkeypatch.setattr(metadata_store, "WATCH_MARGIN_SECONDS", 0.1)
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT_SECONDS", 0.2)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        client.watch_seconds = 0.1
        copy = _start_follower(nursery, client)
        await _wait_until(lambda: "GET /v1/kv-watch" in server.calls)
        server.faults.silent = True
        watch_count = server.calls.count("GET /v1/kv-watch")
        await _wait_until(
            lambda: server.calls.count("GET /v1/kv-watch") == watch_count + 2
        )
        client.watch_seconds = 2 * DEADLINE_SECONDS
        await _wait_until(
            lambda: server.calls.count("GET /v1/kv-watch") == watch_count + 3
        )
        server.faults.silent = False
        server.put("a/1", b"one")
        await _wait_until(lambda: "a/1" in copy.entries)

    _run(check)


def test_a_follower_is_current_soon_after_a_silence_that_took_its_watch() -> None:
    """Guards against changes that nobody sees because a watch was lost (review/6).

    A watch that a silent store receives just after a change is never answered, while
    the store answers all other calls after the silence.
    """
    silent_seconds = 1.0

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copy = _start_follower(nursery, client)
        await _wait_until(lambda: "GET /v1/kv-watch" in server.calls)
        server.put("a/1", b"one")
        await _wait_until(lambda: "a/1" in copy.entries)
        server.faults.silent = True
        watch_count = server.calls.count("GET /v1/kv-watch")
        await _wait_until(
            lambda: server.calls.count("GET /v1/kv-watch") == watch_count + 1
        )
        await trio.sleep(silent_seconds)
        server.faults.silent = False
        server.put("a/2", b"two")
        with trio.move_on_after(metadata_store.DEFAULT_RECOVERY_SECONDS):
            await _wait_until(lambda: "a/2" in copy.entries)
        assert "a/2" in copy.entries

    _run(check)


@pytest.mark.parametrize(
    ("recovery_seconds", "watch_seconds"),
    [(4.0, 3.0), (6.0, 5.0), (60.0, 18.0), (0.0, metadata_store.BRIEF_WATCH_SECONDS)],
)
def test_the_wait_of_a_watch_follows_from_the_bounds_of_the_platform(
    recovery_seconds: float, watch_seconds: float
) -> None:
    """The shorter of recovery after a disruption and retained history limits it."""
    client = metadata_store.MetadataStore(
        _free_address(), history_seconds=20.0, recovery_seconds=recovery_seconds
    )
    assert client.watch_seconds == watch_seconds


def test_a_follower_watches_no_longer_than_the_history_lasts() -> None:
    """A watch ends before its revision is no longer in the history.

    Changes under other prefixes raise the store's revision while the watch waits, so
    a longer watch would lose its history and have to read all entries again.
    """

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.put("a/1", b"one")
        copy = _start_follower(nursery, client)
        for number in range(20):
            server.put(f"b/{number}", b"other")
            await trio.sleep(0.05)
        server.put("a/2", b"two")
        await _wait_until(lambda: "a/2" in copy.entries)
        assert server.calls.count("GET /v1/kv-range") == 1

    _run(check, standin.MetadataStore(history_seconds=0.4))


def test_a_follower_makes_few_calls_for_many_changes() -> None:
    """Changes are coalesced into few watch calls.

    Otherwise sidecars that start one after the other would complete the watch of each
    balancer once per sidecar.
    """

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        copy = _start_follower(nursery, client, coalesce_seconds=0.05)
        await _wait_until(lambda: "GET /v1/kv-watch" in server.calls)
        for number in range(100):
            server.put(f"a/{number}", b"x")
            await trio.sleep(0.02)
        await _wait_until(lambda: len(copy.entries) == 100)
        assert server.calls.count("GET /v1/kv-watch") <= 10

    _run(check)


def _register(
    nursery: trio.Nursery, client: metadata_store.MetadataStore
) -> registry.Registration:
    entry = registry.Entry(host="10.0.0.1", message_port=7700, data_port=7800)
    registration = registry.Registration(client, entry, event_log.EventLog("test"))
    nursery.start_soon(registry.maintain_registration, registration)
    return registration


def test_a_sidecar_whose_upstream_has_left_withdraws_its_entry() -> None:
    """The entry is removed at once, so that balancers do not wait for the sidecar."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        await registry.withdraw(registration)
        assert server.items == {}

    _run(check)


def test_a_sidecar_registers_again_when_its_lease_was_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store may drop keys and leases without notice."""
    monkeypatch.setattr(registry, "RENEWAL_SECONDS", 0.05)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        (lease,) = server.leases
        server.revoke_lease(lease)
        assert server.items == {}
        await _wait_until(lambda: len(server.items) == 1)

    _run(check)


def test_a_registration_whose_answer_was_lost_ends_with_one_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write is retried with a condition, so that it takes effect once."""
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT_SECONDS", 0.2)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        server.faults.lose_answers = 2
        _register(nursery, client)
        await _wait_until(lambda: any("kv-keep" in call for call in server.calls))
        assert list(registry.decode(_decode_values(server))) == [
            _types.Address("10.0.0.1", 7700)
        ]

    _run(check)


def _decode_values(server: standin.MetadataStore) -> dict[str, bytes]:
    return {key: base64.b64decode(item.value) for key, item in server.items.items()}


def test_a_flow_snapshot_is_read_by_the_next_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A changed snapshot is saved periodically, under the lease of the registration."""
    monkeypatch.setattr(flow_snapshot, "SAVE_INTERVAL_SECONDS", 0.05)

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        registration = _register(nursery, client)
        await _wait_until(lambda: len(server.items) == 1)
        previous_sidecar = transparent.ready_sidecar()
        previous_sidecar.open(transparent.flow_key(1))
        writer = flow_snapshot.FlowSnapshotWriter(registration, writes_per_second=400.0)
        nursery.start_soon(flow_snapshot.run, writer, previous_sidecar.engine)
        await _wait_until(lambda: writer.key in server.items)
        assert server.items[writer.key].lease == registration.lease
        next_sidecar = transparent.SidecarHarness()
        next_registration = _register(nursery, client)
        next_writer = flow_snapshot.FlowSnapshotWriter(
            next_registration, writes_per_second=400.0
        )
        nursery.start_soon(flow_snapshot.run, next_writer, next_sidecar.engine)
        await _wait_until(lambda: next_sidecar.engine.inherited_born is not None)
        assert next_sidecar.engine.inherited_born == 1_000
        assert transparent.inherited_flows(next_sidecar.engine) == {
            transparent.flow_key(1): 5_001
        }

    monkeypatch.setattr(transparent, "ROUTE_KIND", policy.RouteKind.NON_IDEMPOTENT)
    _run(check)


def test_calls_are_counted_by_kind() -> None:
    """The counters show which calls use the store's rate limit."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        counted: list[str] = []
        client.count = counted.append
        lease = await client.grant_lease(ttl_seconds=3.0)
        await client.renew_lease(lease)
        await client.read_all("a/")
        await client.write(port.Transaction(compares=(), puts=()))
        await client.revoke_lease(lease)
        assert counted == [
            f"store.calls.{kind}" for kind in ("grant", "renew", "read", "write", "end")
        ]

    _run(check)


def test_a_sidecar_without_a_predecessor_makes_no_reads() -> None:
    """Without an earlier snapshot, a start makes only the two calls to register.

    This limits the load on the store when all sidecars of a site start at once.
    """

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        registration = _register(nursery, client)
        writer = flow_snapshot.FlowSnapshotWriter(registration, writes_per_second=400.0)
        nursery.start_soon(
            flow_snapshot.run, writer, transparent.SidecarHarness().engine
        )
        await registration.inheritance_known.wait()
        await trio.testing.wait_all_tasks_blocked(0.1)
        assert server.calls == ["POST /v1/kv-lease", "POST /v1/kv-txn"]

    _run(check)


def test_a_restarted_sidecar_reads_nothing_and_has_the_snapshot_before_it_registers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a loss of power every sidecar of a site replaces the entry of another one.

    The response to the first write has that entry and the flow snapshot. Separate reads
    would cost two calls for each sidecar, and callers of ended flows would be reset two
    response times later.
    """

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        snapshot = flow_record.FlowSnapshot(
            born=1_000, flows={transparent.flow_key(1): 5_001}
        )
        server.put(f"{registry.PREFIX}10.0.0.1/", b"entry of an earlier process")
        server.put(f"{flow_record.PREFIX}10.0.0.1/", msgspec.msgpack.encode(snapshot))
        next_sidecar = transparent.SidecarHarness()
        registration = _register(nursery, client)
        writer = flow_snapshot.FlowSnapshotWriter(registration, writes_per_second=400.0)
        nursery.start_soon(flow_snapshot.run, writer, next_sidecar.engine)
        await registration.inheritance_known.wait()
        assert registration.inherited.keys() == {registration.key, writer.key}
        await _wait_until(lambda: next_sidecar.engine.inherited_born is not None)
        await _wait_until(lambda: server.items[registration.key].lease != 0)
        assert next_sidecar.engine.inherited_born == 1_000
        assert transparent.inherited_flows(next_sidecar.engine) == snapshot.flows
        assert writer.revision == server.items[writer.key].rev
        assert server.calls == [
            "POST /v1/kv-lease",
            "POST /v1/kv-txn",
            "POST /v1/kv-txn",
        ]

    _run(check)


def test_entries_of_another_writer_are_left_out() -> None:
    """Values that cannot be decoded are ignored."""
    assert registry.decode({"x": b"\xff", "y": b"{}"}) == {}


@pytest.mark.parametrize(
    "entry",
    [
        registry.Entry("127.0.0.1x", 7700, 7800),
        registry.Entry("", 7700, 7800),
        registry.Entry("10.0.0", 7700, 7800),
        registry.Entry("10.0.0.1", 70_000, 7800),
        registry.Entry("10.0.0.1", 7700, -1),
        registry.Entry("10.0.0.1", 7700, 2**63),
    ],
)
def test_entries_with_an_unusable_address_are_left_out(entry: registry.Entry) -> None:
    """Guards against an end of every balancer that ranks or asks such a sidecar."""
    usable = registry.Entry("10.0.0.2", 7700, 7800)
    entries = {
        str(number): msgspec.msgpack.encode(value)
        for number, value in enumerate((entry, usable))
    }
    assert list(registry.decode(entries)) == [_types.Address("10.0.0.2", 7700)]


@pytest.mark.parametrize(
    "flows", [{b"short": 1}, {bytes(13): 1}, {bytes(12): -1}, {bytes(12): 2**32}]
)
def test_a_snapshot_with_flows_that_cannot_be_reset_is_left_out(
    flows: dict[bytes, int],
) -> None:
    """Guards against an end of each sidecar process that resets the saved flows."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        value = msgspec.msgpack.encode((1, flows))
        server.put(flow_record.key_of("10.0.0.1"), value)
        log = event_log.EventLog("test")
        hints = await flow_hints.read(client, message_port=7700, log=log)
        assert hints == flow_hints.NO_HINTS

    _run(check)


def _with_nested_field(encoded: bytes) -> bytes:
    """Append a deeply nested field to an encoded array or map."""
    is_map = encoded[0] >> 4 == 0x8
    field = (b"\xa1?" if is_map else b"") + b"\x91" * 10_000 + b"\xc0"
    return bytes([encoded[0] + 1]) + encoded[1:] + field


@pytest.mark.parametrize(
    ("value", "decode"),
    [
        (registry.Entry("10.0.0.1", 1, 2), lambda data: registry.decode({"x": data})),
        (registry.SidecarList(1, {}), registry.decode_list),
        (messages.FlowHeld(bytes(12)), messages.decode),
        (policy.Policy(revision=1), messages.decode_policy),
    ],
)
def test_deeply_nested_values_of_another_writer_are_left_out(
    value: msgspec.Struct, decode: abc.Callable[[bytes], object]
) -> None:
    """Guards against an end of the process by a ``RecursionError``."""
    encoded = msgspec.msgpack.encode(value)
    assert decode(encoded)
    assert not decode(_with_nested_field(encoded))


def test_a_deeply_nested_snapshot_of_another_writer_is_left_out() -> None:
    """Guards against an end of a balancer that reads the flow hints at its start."""

    async def check(
        server: standin.MetadataStore,
        client: metadata_store.MetadataStore,
        nursery: trio.Nursery,
    ) -> None:
        snapshot = flow_record.FlowSnapshot(born=1, flows={bytes(12): 1})
        value = _with_nested_field(msgspec.msgpack.encode(snapshot))
        server.put(flow_record.key_of("10.0.0.1"), value)
        log = event_log.EventLog("test")
        hints = await flow_hints.read(client, message_port=7700, log=log)
        assert hints == flow_hints.NO_HINTS

    _run(check)
