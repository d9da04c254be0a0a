"""State of the callers' connections and their interface to the sidecar."""

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
    """Functions of the rest of the sidecar that the connections call."""

    handle: abc.Callable[[events.RequestReceived], abc.Awaitable[messages.Response]]
    """Runs one request; cancelled when the caller cancels the request."""
    refuse: abc.Callable[[_exceptions.ErrorKind, str], messages.Response]
    """Builds the response for an error kind and a detail."""
    extra_headers: abc.Callable[[], tuple[messages.Header, ...]]
    """Returns the header fields that are added to every response."""
    allow_connection: abc.Callable[[float], bool]
    """Returns whether the rate limit admits one new connection at the given time."""


class Connections:
    """State of the task that owns the callers' connections."""

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
        """Create the state without keys and configuration, which arrive as messages."""
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
        """Connections that are still to be sent a GOAWAY."""
        self.next_goaway_at = 0.0
        self.goaway_interval_seconds = 0.0
        self.close_deadlines: dict[int, float] = {}
        """Latest closing time of each connection whose service has left the pool."""
        self.next_close_check_at = 0.0
        self.request_scopes: dict[tuple[int, int], trio.CancelScope] = {}
        """Cancel scopes of the request tasks, by connection and stream."""


def is_accepting(connections: Connections) -> bool:
    """Return whether this sidecar accepts new connections."""
    view = connections.view
    return (
        view is not None
        and view.pool is not None
        and view.domain_in
        and not view.drained
        and not connections.draining
        and connections.stop_at is None
    )
