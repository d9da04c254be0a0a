"""Transfer of the store's documents to processes that do not read them themselves.

The documents are the policy and the list of sidecars. Messages carry the sender's
order and digest of them: the policy is ordered by the operators' version, then by
revision, the list of sidecars by revision. A process that receives a higher order with
a different digest pulls the document from the sender over TCP.
"""

from collections import abc
import contextlib
import random
import typing

from plantainproxy import _types
from plantainproxy.eventloop import runtime, tcp
from plantainproxy.flows import event_log

T = typing.TypeVar("T")
OrderT = typing.TypeVar("OrderT", bound=tuple[typing.Any, typing.Any])
"""``policy.Order`` or ``revisioned.Revision``: how a document's states are ordered."""

RELAY_DELAY_SECONDS = 0.25
"""Time allowed for the own watch or a relay of the own domain, which may lag behind
another process. A transfer between domains costs more than one within a domain."""
PULL_SPREAD_SECONDS = 0.05
"""Pulls of the processes of one domain are spread over this time."""
PULL_TIMEOUT_SECONDS = 1.0
MAX_DOCUMENT_BYTES = 16 * 1_048_576
"""Limit on a pulled document, far above the size of a table of 6,500 routes."""
RECEIVE_BYTES = 64
RECEIVE_BUFFER_BYTES = 65_536

POLICY = b"policy"
"""Request for the policy, the first bytes on a connection."""
SIDECAR_LIST = b"sidecars"
"""Request for the list of sidecars."""


class Document(typing.Protocol[OrderT]):
    """A document of this process; its order never decreases."""

    @property
    def order(self) -> OrderT:
        """Order of the document; the lowest one without a document."""

    @property
    def digest(self) -> int:
        """Hash of the content; 0 without a document."""

    def advance_order(self, order: OrderT) -> None:
        """Raise the order of an unchanged document."""


class Exchange(typing.Generic[OrderT]):
    """Tracks which process has advertised the newest version of a document."""

    def __init__(
        self,
        document: Document[OrderT],
        log: event_log.EventLog,
        *,
        kind: bytes = POLICY,
    ) -> None:
        """Start without an advertised version."""
        self.document = document
        self.kind = kind
        self.log = log
        self.newest: tuple[OrderT, _types.Address] | None = None
        self.update_available = runtime.Event()
        self.relay_has_update = runtime.Event()

    def handle_order(
        self,
        order: OrderT,
        digest: int,
        sender: _types.Address,
        *,
        is_relay: bool = False,
    ) -> None:
        """Compare another process's order and digest with the local ones.

        A process that read the store later has a higher order even if the document has
        not changed. An equal digest therefore only raises the local order.
        ``is_relay`` states that the sender is a relay of this process's domain.
        """
        if order <= self.document.order:
            return
        if digest == self.document.digest:
            self.document.advance_order(order)
            return
        if self.newest is None or is_relay or order > self.newest[0]:
            self.newest = (order, sender)
        self.update_available.set()
        if is_relay:
            self.relay_has_update.set()


class Puller(typing.Generic[T, OrderT]):
    """How one kind of document is decoded and applied."""

    def __init__(
        self,
        exchange: Exchange[OrderT],
        *,
        decode: abc.Callable[[bytes], T | None],
        apply: abc.Callable[[T], bool],
    ) -> None:
        """Create a puller; ``apply`` returns whether the document was newer."""
        self.exchange = exchange
        self.decode = decode
        self.apply = apply


async def pull_forever(puller: Puller[T, OrderT]) -> None:
    """Pull and apply newer versions from the processes that advertise them."""
    exchange = puller.exchange
    while True:
        await exchange.update_available.wait()
        exchange.update_available = runtime.Event()
        if exchange.document.digest:
            with runtime.move_on_after(RELAY_DELAY_SECONDS):
                await exchange.relay_has_update.wait()
            await runtime.sleep(random.random() * PULL_SPREAD_SECONDS)
        exchange.relay_has_update = runtime.Event()
        if exchange.newest is None or exchange.newest[0] <= exchange.document.order:
            continue
        _, sender = exchange.newest
        exchange.newest = None
        received = await _pull(sender, exchange.kind)
        pulled = puller.decode(received) if received else None
        if pulled is not None and puller.apply(pulled):
            exchange.log.write(
                f"{exchange.kind.decode()} pulled",
                sender=str(sender),
                order=exchange.document.order,
            )
        else:
            exchange.log.count(f"{exchange.kind.decode()}.pull_failed")


async def serve(
    address: _types.Address,
    documents: abc.Mapping[bytes, abc.Callable[[], bytes]],
    *,
    log: event_log.EventLog,
) -> None:
    """Send the requested document to every process that connects.

    ``documents`` has a function for each kind that returns the encoded document, or
    nothing if this process has none.
    """

    async def handle_connection(stream: tcp.Stream) -> None:
        await send_document(stream, documents, log.count)

    await tcp.serve(address, handle_connection)


async def send_document(
    stream: tcp.Stream,
    documents: abc.Mapping[bytes, abc.Callable[[], bytes]],
    count: abc.Callable[[str], None],
) -> None:
    """Send the requested document on one connection; ``count`` counts failures."""
    try:
        with runtime.move_on_after(PULL_TIMEOUT_SECONDS):
            kind = await stream.receive_some(RECEIVE_BYTES)
            if kind not in documents:
                count("documents.invalid_request")
                return
            await stream.send_all(documents[kind]())
    except OSError:
        count("documents.give_failed")


async def _pull(sender: _types.Address, kind: bytes) -> bytes:
    """Return the encoded document of a process; empty if it does not send one."""
    received = bytearray()
    try:
        with (
            runtime.fail_after(PULL_TIMEOUT_SECONDS),
            contextlib.closing(await tcp.connect(sender)) as stream,
        ):
            await stream.send_all(kind)
            while chunk := await stream.receive_some(RECEIVE_BUFFER_BYTES):
                received += chunk
                if len(received) > MAX_DOCUMENT_BYTES:
                    return b""
    except (OSError, runtime.TooSlowError):
        return b""
    return bytes(received)
