"""A client for etcd v3's JSON gateway that implements ``port.Store``."""

from collections import abc
import contextlib
import logging

import msgspec
import trio

from plantainproxy import _exceptions
from plantainproxy.settings import model
from plantainproxy.store import gateway, http, port

logger = logging.getLogger("plantain.store")

READ_ATTEMPTS = 2
"""Attempts per read; a retry uses a new connection within the same timeout."""

REJECTED_STATUSES = frozenset((400, 401, 403, 404, 405, 413, 429))
"""Statuses of a write that was certainly not applied.

After any other status except 200, the write may have been applied.
"""


class EtcdStore:
    """A client of one etcd server; implements ``port.Store``."""

    def __init__(self, settings: model.StoreSettings) -> None:
        """Create a client; connections are opened on demand."""
        self.settings = settings
        self.pool = http.Pool(settings.address)

    async def get(self, key: str) -> port.Entry | None:
        """Read one key; return ``None`` if it does not exist."""
        body = await _read(self, gateway.RANGE_PATH, gateway.encode_get(key))
        entries = _decode_entries(body)
        return entries[0] if entries else None

    async def get_revision(self, key: str) -> int:
        """Return the revision of a key's last write, or 0 if the key does not exist."""
        request = gateway.encode_get_revision(key)
        entries = _decode_entries(await _read(self, gateway.RANGE_PATH, request))
        return entries[0].mod_revision if entries else 0

    async def scan(
        self,
        prefix: str,
        *,
        start: str = "",
        limit: int = 0,
        newest_first: bool = False,
    ) -> tuple[port.Entry, ...]:
        """Read the entries under a prefix in key order, or in reverse key order."""
        request = gateway.encode_scan(
            prefix, start=start, limit=limit, newest_first=newest_first
        )
        return _decode_entries(await _read(self, gateway.RANGE_PATH, request))

    async def commit(self, transaction: port.Transaction) -> bool:
        """Apply a transaction; return whether its preconditions held."""
        request = gateway.encode_transaction(transaction)
        body = await _write(self, gateway.TXN_PATH, request)
        return _decode_write_response(body, gateway.TxnResponse).succeeded

    async def grant_lease(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its ID."""
        request = msgspec.json.encode({"TTL": str(ttl_seconds), "ID": "0"})
        body = await _write(self, gateway.GRANT_PATH, request)
        return _decode_write_response(body, gateway.LeaseResponse).ID

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        request = msgspec.json.encode({"ID": str(lease)})
        body = await _write(self, gateway.KEEPALIVE_PATH, request)
        response = _decode_write_response(body, gateway.KeepaliveResponse)
        return response.result.TTL > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it.

        It is not an error if the lease no longer exists.
        """
        request = msgspec.json.encode({"ID": str(lease)})
        response = await _send_write(self, gateway.REVOKE_PATH, request)
        if response.status == 200:
            return
        if gateway.decode_error(response.body).code != gateway.LEASE_NOT_FOUND_CODE:
            raise _error_from_response(response)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str
    ) -> abc.AsyncIterator[abc.AsyncIterator[tuple[port.Change, ...]]]:
        """Watch a prefix for changes, starting at the current revision."""
        settings = self.settings
        watch_deadline = trio.current_time() + settings.watch_rearm_seconds
        try:
            async with http.open_stream(
                settings.address,
                gateway.WATCH_PATH,
                gateway.encode_watch(prefix),
                timeout_seconds=settings.call_timeout_seconds,
            ) as stream:
                await _wait_until_created(stream, settings.call_timeout_seconds)
                yield _iterate_changes(stream, watch_deadline)
        except http.UnsentError as error:
            raise _unavailable(str(error)) from None


@contextlib.asynccontextmanager
async def open_store(settings: model.StoreSettings) -> abc.AsyncIterator[port.Store]:
    """Open a client for the store; connections are opened on demand."""
    store = EtcdStore(settings)
    try:
        yield store
    finally:
        http.close_idle(store.pool)


def _unavailable(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.STORE_UNAVAILABLE, detail)


def _change_unknown(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.CHANGE_UNKNOWN, detail)


async def _read(store: EtcdStore, path: str, request: bytes) -> bytes:
    """Send a read; retry it on a new connection if no response arrives."""
    timeout_seconds = store.settings.call_timeout_seconds / READ_ATTEMPTS
    last_failure = ""
    for _ in range(READ_ATTEMPTS):
        try:
            response = await http.post(
                store.pool, path, request, timeout_seconds=timeout_seconds
            )
        except (http.UnsentError, http.UnansweredError) as error:
            last_failure = str(error)
            continue
        if response.status == 200:
            return response.body
        raise _unavailable(_describe_error(response))
    logger.info("Store read failed: %s.", last_failure)
    raise _unavailable(last_failure)


async def _send_write(store: EtcdStore, path: str, request: bytes) -> http.Response:
    try:
        return await http.post(
            store.pool,
            path,
            request,
            timeout_seconds=store.settings.call_timeout_seconds,
        )
    except http.UnsentError as error:
        raise _unavailable(str(error)) from None
    except http.UnansweredError as error:
        logger.info("No response to a store write: %s.", error)
        raise _change_unknown(str(error)) from None


async def _write(store: EtcdStore, path: str, request: bytes) -> bytes:
    response = await _send_write(store, path, request)
    if response.status != 200:
        raise _error_from_response(response)
    return response.body


def _describe_error(response: http.Response) -> str:
    error = gateway.decode_error(response.body)
    return f"status {response.status}: {error.message}"


def _error_from_response(response: http.Response) -> _exceptions.PlantainError:
    """Return the error for a response to a write whose status is not 200.

    Its kind states whether the write was rejected or may have been applied.
    """
    detail = _describe_error(response)
    is_rejected = response.status in REJECTED_STATUSES
    return _unavailable(detail) if is_rejected else _change_unknown(detail)


def _decode_entries(body: bytes) -> tuple[port.Entry, ...]:
    try:
        return gateway.decode_range(body)
    except ValueError as error:
        raise _unavailable(f"malformed response from the store: {error}") from None


def _decode_write_response(body: bytes, response_type: type[gateway.T]) -> gateway.T:
    try:
        return gateway.decode(body, response_type)
    except ValueError as error:
        raise _change_unknown(f"malformed response from the store: {error}") from None


async def _wait_until_created(stream: http.Connection, timeout_seconds: float) -> None:
    line = None
    with trio.move_on_after(timeout_seconds):
        line = await http.next_line(stream)
    result = None if line is None else gateway.decode_watch_line(line)
    if result is None or not result.created:
        raise _unavailable("store did not confirm the creation of the watch")


async def _iterate_changes(
    stream: http.Connection, watch_deadline: float
) -> abc.AsyncIterator[tuple[port.Change, ...]]:
    while True:
        line = None
        with trio.move_on_at(watch_deadline):
            line = await http.next_line(stream)
        result = None if line is None else gateway.decode_watch_line(line)
        if result is None:
            return
        changes = gateway.decode_changes(result)
        if changes is None:
            return
        if changes:
            yield changes
