"""Tests of the etcd client against a stand-in server over real sockets."""

from collections import abc
import contextlib

import pytest
import trio

from plantainproxy import _exceptions, _types
from plantainproxy.settings import model
from plantainproxy.store import etcd, port
from standins import store as store_stand_in
from standins import store_data

TEST_TIMEOUT_SECONDS = 30.0
SHORT_CALL_TIMEOUT_SECONDS = 1.0
"""Call timeout in tests that wait until it has passed."""
Kind = _exceptions.ErrorKind


@contextlib.asynccontextmanager
async def open_stand_in_and_store(
    *, timeout_seconds: float = 5.0, rearm_seconds: float = 30.0
) -> abc.AsyncIterator[tuple[store_stand_in.StandIn, port.Store]]:
    """Run a stand-in server and a client that is connected to it."""
    stand_in = store_stand_in.StandIn("127.0.0.1", 0)
    settings = model.StoreSettings(
        address=_types.Address(*stand_in.address),
        call_timeout_seconds=timeout_seconds,
        watch_rearm_seconds=rearm_seconds,
    )
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            await nursery.start(store_stand_in.run, stand_in)
            async with etcd.open_store(settings) as store:
                yield stand_in, store
            nursery.cancel_scope.cancel()


def build_create(key: str, value: bytes = b"1", lease: int = 0) -> port.Transaction:
    """Build a transaction that creates a key, which must not exist yet."""
    return port.Transaction(
        compares=(port.Compare(key=key, mod_revision=0),),
        puts=(port.Put(key=key, value=value, lease=lease),),
    )


async def error_kind(
    call: abc.Callable[[], abc.Awaitable[object]],
) -> _exceptions.ErrorKind:
    """Return the kind of the ``PlantainError`` that a call raises."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        await call()
    return caught.value.kind


def test_a_transaction_applies_only_when_its_conditions_hold() -> None:
    """Compare-and-swap, reads, scans in both orders and deletions work."""

    async def main() -> None:
        async with open_stand_in_and_store() as (stand_in, store):
            assert await store.get("a/1") is None
            assert await store.commit(build_create("a/1", b"\0\xff"))
            assert not await store.commit(build_create("a/1"))
            assert await store.commit(build_create("a/2"))
            assert await store.commit(build_create("b/1", b""))
            entry = await store.get("a/1")
            assert entry == port.Entry(key="a/1", value=b"\0\xff", mod_revision=2)
            assert await store.get_revision("a/1") == 2
            assert await store.get_revision("absent") == 0
            keys = [entry.key for entry in await store.scan("a/")]
            assert keys == ["a/1", "a/2"]
            last = await store.scan("a/", limit=1, newest_first=True)
            assert [entry.key for entry in last] == ["a/2"]
            descending = await store.scan("a/", start="a/1", newest_first=True)
            assert [entry.key for entry in descending] == ["a/1"]
            ascending = await store.scan("a/", start="a/11")
            assert [entry.key for entry in ascending] == ["a/2"]
            removal = port.Transaction(
                compares=(port.Compare(key="a/1", mod_revision=2),),
                deletes=(port.Delete(key="a/1"),),
            )
            assert await store.commit(removal)
            assert await store.get("a/1") is None
            assert stand_in.counts["txn"] == 5

    trio.run(main)


@pytest.mark.parametrize(
    ("down", "read", "write"),
    [
        ("refused", Kind.STORE_UNAVAILABLE, Kind.STORE_UNAVAILABLE),
        ("closed", Kind.STORE_UNAVAILABLE, Kind.CHANGE_UNKNOWN),
        ("silent", Kind.STORE_UNAVAILABLE, Kind.CHANGE_UNKNOWN),
    ],
)
@pytest.mark.parametrize("connected_before", [False, True])
def test_an_outage_is_reported_and_ends(
    down: str, read: Kind, write: Kind, connected_before: bool
) -> None:
    """A write counts as not applied only if it was certainly not sent.

    After the outage, reads and writes succeed again.
    """

    async def main() -> None:
        timeout_seconds = SHORT_CALL_TIMEOUT_SECONDS if down == "silent" else 5.0
        async with open_stand_in_and_store(timeout_seconds=timeout_seconds) as (
            stand_in,
            store,
        ):
            if connected_before:
                assert await store.get("a") is None
            store_stand_in.set_faults(stand_in, down=down)
            await trio.sleep(0.05)
            assert await error_kind(lambda: store.commit(build_create("a"))) is write
            assert await error_kind(lambda: store.get("a")) is read
            assert (
                await error_kind(lambda: _open_watch(store)) is Kind.STORE_UNAVAILABLE
            )
            store_stand_in.set_faults(stand_in, down="")
            await trio.sleep(0.05)
            assert await store.get("a") is None
            assert await store.commit(build_create("a"))

    trio.run(main)


async def _open_watch(store: port.Store) -> None:
    async with store.watch("a"):
        pass


def test_a_lost_answer_is_unknown_though_the_write_took_effect() -> None:
    """The client must not retry a write: it may already have been applied."""

    async def main() -> None:
        async with open_stand_in_and_store() as (stand_in, store):
            store_stand_in.set_faults(stand_in, lose_next_answers=1)
            kind = await error_kind(lambda: store.commit(build_create("a")))
            assert kind is Kind.CHANGE_UNKNOWN
            assert stand_in.counts["txn"] == 1
            entry = await store.get("a")
            assert entry is not None

    trio.run(main)


def test_a_slow_store_ends_in_the_deadline() -> None:
    """A write that exceeds the call timeout may still be applied later."""

    async def main() -> None:
        async with open_stand_in_and_store(
            timeout_seconds=SHORT_CALL_TIMEOUT_SECONDS
        ) as (
            stand_in,
            store,
        ):
            store_stand_in.set_faults(stand_in, slow_milliseconds=5_000)
            kind = await error_kind(lambda: store.commit(build_create("a")))
            assert kind is Kind.CHANGE_UNKNOWN
            kind = await error_kind(lambda: store.get("a"))
            assert kind is Kind.STORE_UNAVAILABLE

    trio.run(main)


def test_a_silent_connection_is_replaced() -> None:
    """A read is retried on a new connection when the old one does not respond.

    A write is not retried, but the next one uses a new connection.
    """

    async def main() -> None:
        async with open_stand_in_and_store(
            timeout_seconds=SHORT_CALL_TIMEOUT_SECONDS
        ) as (
            stand_in,
            store,
        ):
            await store.get("a")
            store_stand_in.set_faults(stand_in, mute_connections=True)
            assert await store.get("a") is None
            store_stand_in.set_faults(stand_in, mute_connections=True)
            kind = await error_kind(lambda: store.commit(build_create("a")))
            assert kind is Kind.CHANGE_UNKNOWN
            assert await store.commit(build_create("a"))

    trio.run(main)


def test_stale_reads_do_not_reach_transactions() -> None:
    """Preconditions are checked against the latest revision, not a stale one."""

    async def main() -> None:
        async with open_stand_in_and_store() as (stand_in, store):
            await store.commit(build_create("a"))
            store_stand_in.set_faults(stand_in, stale_reads=1)
            assert await store.get("a") is None
            assert not await store.commit(build_create("a"))

    trio.run(main)


def test_a_lapsed_lease_deletes_its_keys() -> None:
    """A renewal reports whether the lease still exists.

    Expiry and revocation delete the attached keys. A write with an expired lease
    fails, and revoking an expired lease is no error.
    """

    async def main() -> None:
        async with open_stand_in_and_store() as (stand_in, store):
            lease = await store.grant_lease(ttl_seconds=30)
            assert await store.commit(build_create("seat", lease=lease))
            assert await store.renew_lease(lease)
            store_stand_in.set_faults(stand_in, expire_lease=True)
            assert not await store.renew_lease(lease)
            assert await store.get("seat") is None
            kind = await error_kind(
                lambda: store.commit(build_create("seat", lease=lease))
            )
            assert kind is Kind.STORE_UNAVAILABLE
            await store.revoke_lease(lease)
            other = await store.grant_lease(ttl_seconds=30)
            assert await store.commit(build_create("seat", lease=other))
            await store.revoke_lease(other)
            assert await store.get("seat") is None

    trio.run(main)


def test_a_lease_that_is_not_renewed_expires() -> None:
    """The stand-in server expires leases, like etcd, without a request."""

    async def main() -> None:
        async with open_stand_in_and_store() as (_, store):
            lease = await store.grant_lease(ttl_seconds=1)
            await store.commit(build_create("seat", lease=lease))
            while await store.get("seat") is not None:
                await trio.sleep(0.05)

    trio.run(main)


def test_a_watch_sees_writes_and_removals() -> None:
    """A watch returns only changes under its prefix, one tuple per revision."""

    async def main() -> None:
        async with (
            open_stand_in_and_store() as (stand_in, store),
            store.watch("a/") as changes,
        ):
            await store.commit(build_create("b/1"))
            await store.commit(build_create("a/1", b"x"))
            entry = port.Entry(key="a/1", value=b"x", mod_revision=3)
            assert await anext(changes) == (port.Change(key="a/1", entry=entry),)
            store_data.apply_writes(
                stand_in.data, [store_data.Write(key=b"a/1", value=None)]
            )
            assert await anext(changes) == (port.Change(key="a/1", entry=None),)
            assert stand_in.counts["watching"] == 1

    trio.run(main)


@pytest.mark.parametrize("fault", ["closed", "mute", "refused"])
def test_a_watch_ends_when_it_breaks_or_its_time_is_over(fault: str) -> None:
    """A failed watch ends at once; one without events at its maximum duration."""

    async def main() -> None:
        rearm_seconds = 0.3 if fault == "mute" else 30.0
        async with (
            open_stand_in_and_store(rearm_seconds=rearm_seconds) as (stand_in, store),
            store.watch("a/") as changes,
        ):
            if fault == "mute":
                store_stand_in.set_faults(stand_in, mute_connections=True)
            else:
                store_stand_in.set_faults(stand_in, down=fault)
            assert [change async for change in changes] == []

    trio.run(main)


def _http_response(status: int, body: bytes, size: int = 0) -> bytes:
    fields = f"content-length: {size or len(body)}\r\nconnection: close"
    return f"HTTP/1.1 {status} X\r\n{fields}\r\n\r\n".encode() + body


@pytest.mark.parametrize(
    ("response", "write"),
    [
        (b"\x16\x03\x01 not HTTP\r\n\r\n", Kind.CHANGE_UNKNOWN),
        (_http_response(200, b"{", size=9), Kind.CHANGE_UNKNOWN),
        (_http_response(200, b"[]"), Kind.CHANGE_UNKNOWN),
        (
            _http_response(200, b'{"kvs": [{"key": "?"}], "succeeded": 5}'),
            Kind.CHANGE_UNKNOWN,
        ),
        (_http_response(503, b'{"message": "no leader"}'), Kind.CHANGE_UNKNOWN),
        (_http_response(408, b""), Kind.CHANGE_UNKNOWN),
        (_http_response(400, b'{"message": "too large"}'), Kind.STORE_UNAVAILABLE),
        (_http_response(429, b""), Kind.STORE_UNAVAILABLE),
    ],
)
def test_an_unreadable_answer_is_an_error_of_the_store(
    response: bytes, write: Kind
) -> None:
    """A malformed response raises no other error than ``PlantainError``.

    Only a status that rejects the write shows that it was not applied.
    """

    async def send_response(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(response)
        await stream.aclose()

    async def main() -> None:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = _types.Address(*listener.socket.getsockname())
        settings = model.StoreSettings(address=address, call_timeout_seconds=1.0)
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with (
                trio.open_nursery() as nursery,
                etcd.open_store(settings) as store,
            ):
                nursery.start_soon(trio.serve_listeners, send_response, [listener])
                assert (
                    await error_kind(lambda: store.get("a")) is Kind.STORE_UNAVAILABLE
                )
                assert (
                    await error_kind(lambda: store.commit(build_create("a"))) is write
                )
                assert await error_kind(lambda: store.renew_lease(1)) is write
                assert (
                    await error_kind(lambda: _open_watch(store))
                    is Kind.STORE_UNAVAILABLE
                )
                nursery.cancel_scope.cancel()

    trio.run(main)
