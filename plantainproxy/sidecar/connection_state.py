"""The state of the callers' lines and what they need from the sidecar."""

import collections
from collections import abc
import dataclasses
import itertools
import socket

import trio

from plantainproxy import _exceptions, _types
from plantainproxy.config import model
from plantainproxy.core import handoff
from plantainproxy.quic import endpoint, events, stateless_reset
from plantainproxy.rpc import messages
from plantainproxy.sidecar import inbox
from plantainproxy.wire import keyring

INBOX_MESSAGES = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What the lines need from the rest of the sidecar."""

    handle: abc.Callable[[events.RequestReceived], abc.Awaitable[messages.Response]]
    """Runs one request; it is cancelled when the caller gives up."""
    refuse: abc.Callable[[_exceptions.ErrorKind, str], messages.Response]
    """Makes the response for an error kind and a detail."""
    extra_headers: abc.Callable[[], tuple[messages.Header, ...]]
    """Header fields that every response carries."""
    allow_connection: abc.Callable[[float], bool]
    """Takes one new connection from the admission rate at the given time."""


class Connections:
    """The state of the owner task."""

    def __init__(
        self,
        *,
        tunnel_socket: socket.socket,
        tunnel_address: _types.Address,
        generation: int,
        fabric_addresses: tuple[_types.Address, ...],
        make_endpoint: abc.Callable[
            [endpoint.Identity, keyring.Keyring], endpoint.Endpoint
        ],
        ports: Ports,
    ) -> None:
        """Hold what stays; keys and configuration arrive as messages."""
        self.tunnel_socket = tunnel_socket
        self.tunnel_address = tunnel_address
        self.generation = generation
        self.fabric_addresses = itertools.cycle(fabric_addresses)
        self.make_endpoint = make_endpoint
        self.ports = ports
        self.send, self.receive = trio.open_memory_channel[inbox.Message](
            INBOX_MESSAGES
        )
        self.counters = inbox.Counters()
        self.keys: keyring.Keyring | None = None
        self.view: model.PoolView | None = None
        self.endpoint: endpoint.Endpoint | None = None
        self.peers = handoff.Peers(local_address=tunnel_address.pack())
        self.forward_cache = handoff.ForwardCache()
        self.reset_budget = stateless_reset.ResetBudget()
        self.draining = False
        self.stop_at: float | None = None
        self.final_goaway_sent = False
        self.goaway_queue: collections.deque[int] = collections.deque()
        """Lines whose callers are still to be told to go."""
        self.next_goaway_at = 0.0
        self.goaway_interval_seconds = 0.0
        self.close_deadlines: dict[int, float] = {}
        """Latest closing time of each line whose service has left the pool."""
        self.next_close_check_at = 0.0
        self.request_scopes: dict[tuple[int, int], trio.CancelScope] = {}
        """Scopes of request tasks by line and stream."""


def is_accepting(connections: Connections) -> bool:
    """Return whether new lines may be accepted here."""
    view = connections.view
    return (
        view is not None
        and view.pool is not None
        and view.domain_in
        and not view.drained
        and not connections.draining
        and connections.stop_at is None
    )
