"""Handshakes, requests, connection IDs and shutdown of callers' connections."""

import random

import pytest

from plantainproxy import _exceptions, _types
from plantainproxy.quic import connection, endpoint, events, http3
from plantainproxy.rpc import messages
from plantainproxy.wire import connection_id
from standins import http3_client, quic_pair

BIG_BODY = bytes(range(256)) * 400
FAULTS = [
    quic_pair.Faults(),
    quic_pair.Faults(loss=0.1),
    quic_pair.Faults(duplication=0.5),
    quic_pair.Faults(reordering=0.5),
    quic_pair.Faults(loss=0.1, duplication=0.2, reordering=0.3),
]


def responses(caller: quic_pair.Caller) -> dict[int, messages.Response]:
    """Return the complete responses that a caller received, by stream."""
    return {
        event.stream: event.response
        for event in caller.events
        if isinstance(event, http3_client.ResponseReceived)
    }


def of_type(all_events: list[events.Event], event_type: type) -> list[events.Event]:
    """Return the events of one type."""
    return [event for event in all_events if isinstance(event, event_type)]


def connect_caller(
    network: quic_pair.Network, service: _types.Address = quic_pair.SERVICE
) -> quic_pair.Caller:
    """Add a caller and complete its handshake."""
    caller = network.connect(service)
    network.run(1.0)
    assert http3_client.Connected() in caller.events
    return caller


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(4))
def test_requests_are_answered_over_a_faulty_network(
    faults: quic_pair.Faults, seed: int
) -> None:
    """Loss, duplication and reordering delay responses but never mix them up."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=seed, faults=faults)
    caller = network.connect()
    network.run(8.0)
    streams = {
        caller.client.request("POST", f"/{index}", body=BIG_BODY): f"/{index}"
        for index in range(5)
    }
    network.run(15.0)
    bodies = {stream: response.body for stream, response in responses(caller).items()}
    assert bodies == {
        stream: f"POST {path} ".encode() + BIG_BODY for stream, path in streams.items()
    }
    assert server.library_errors == 0
    assert len(of_type(network.events, events.RequestReceived)) == 5


def test_every_id_of_a_connection_names_its_sidecar_and_service() -> None:
    """The first ID and all later ones decode to the same destination."""
    server = quic_pair.make_endpoint()
    caller = connect_caller(quic_pair.Network(server))
    (server_connection,) = server.connections.values()
    active_ids = connection.active_ids(server_connection.quic)
    assert len(active_ids) == connection.MAX_ACTIVE_IDS
    expected = connection_id.Destination(
        quic_pair.TUNNEL.pack(),
        3,
        1000,
        connection_id.service_tag(quic_pair.SERVICE.pack()),
    )
    assert {connection_id.decode(server.keys, value) for value in active_ids} == {
        expected
    }
    tokens = {
        peer.cid: peer.stateless_reset_token
        for peer in (
            caller.client.quic._peer_cid,
            *caller.client.quic._peer_cid_available,
        )
    }
    assert tokens == {
        value: server.keys.current.reset_token(value) for value in active_ids
    }


def test_a_new_key_replaces_the_ids_of_existing_connections() -> None:
    """A connection continues after the key of its first ID was removed."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    caller = connect_caller(network)
    server.apply_keys(
        quic_pair.make_keys(quic_pair.FIRST_KEY, quic_pair.SECOND_KEY, current=2)
    )
    network.run(1.0)
    server.apply_keys(quic_pair.make_keys(quic_pair.SECOND_KEY, current=2))
    stream = caller.client.request("GET", "/after")
    network.run(1.0)
    assert responses(caller)[stream].body == b"GET /after "
    (server_connection,) = server.connections.values()
    active_ids = connection.active_ids(server_connection.quic)
    assert {value[0] for value in active_ids} == {quic_pair.SECOND_KEY.number}
    assert caller.client.quic._peer_cid.cid in active_ids
    assert len(of_type(network.events, events.ConnectionOpened)) == 1


def test_a_key_change_rotates_the_ids_of_many_connections_in_batches() -> None:
    """One timer call issues IDs for at most one batch of connections."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    count = endpoint.ROTATION_BATCH_CONNECTIONS + 3
    for _ in range(count):
        network.connect()
    network.run(1.0)
    assert len(server.connections) == count
    server.apply_keys(
        quic_pair.make_keys(quic_pair.FIRST_KEY, quic_pair.SECOND_KEY, current=2)
    )
    server.handle_timer(network.now)
    assert len(server._rotation_queue) == 3
    network.run(1.0)
    for server_connection in server.connections.values():
        active_ids = connection.active_ids(server_connection.quic)
        assert {value[0] for value in active_ids} == {quic_pair.SECOND_KEY.number}


def test_a_connection_migrates_to_a_new_caller_address() -> None:
    """Responses are sent to the caller's current address."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = connect_caller(network)
    caller.address = _types.Address("127.0.0.77", 4242)
    stream = caller.client.request("POST", "/moved", body=BIG_BODY)
    network.run(3.0)
    assert responses(caller)[stream].body.endswith(BIG_BODY)
    assert len(network.server.connections) == 1


def test_an_initial_goaway_accepts_requests_and_a_final_one_rejects_them() -> None:
    """Requests run after the initial GOAWAY and are rejected after the final one."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = connect_caller(network)
    (number,) = network.server.connections
    network.server.send_goaway(number)
    network.run(0.5)
    first_stream = caller.client.request("GET", "/first")
    network.run(0.5)
    assert first_stream in responses(caller)
    network.server.send_goaway(number, final=True)
    rejected_stream = caller.client.request("GET", "/late")
    network.run(0.5)
    goaway_ids = [e.stream for e in caller.events if isinstance(e, http3_client.GoAway)]
    assert goaway_ids == [
        http3.INITIAL_GOAWAY_ID,
        first_stream + http3.REQUEST_STREAM_STEP,
    ]
    (failure,) = [e for e in caller.events if isinstance(e, http3_client.RequestFailed)]
    assert (failure.stream, failure.not_run) == (rejected_stream, True)
    assert len(of_type(network.events, events.RequestReceived)) == 1


def test_a_caller_of_a_lost_connection_receives_a_stateless_reset() -> None:
    """A restarted process sends resets for the connections of the earlier process."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = connect_caller(network)
    network.server = quic_pair.make_endpoint(generation=9_000_000)
    caller.client.request("GET", "/into-the-void")
    network.run(1.0)
    (closed,) = [e for e in caller.events if isinstance(e, http3_client.Closed)]
    assert closed.was_reset
    assert not network.server.connections


def test_a_deliberately_closed_connection_is_reported_to_both_ends() -> None:
    """Closing cancels running requests and notifies the caller."""
    network = quic_pair.Network(quic_pair.make_endpoint(), respond=None)
    caller = connect_caller(network)
    stream = caller.client.request("GET", "/running")
    network.run(0.5)
    (number,) = network.server.connections
    network.server.close(number)
    network.run(5.0)
    cancelled = events.RequestCancelled(connection=number, stream=stream)
    assert cancelled in network.events
    assert of_type(network.events, events.ConnectionClosed)
    assert any(isinstance(e, http3_client.Closed) for e in caller.events)
    assert not network.server.connections
    assert not network.server._by_id
    assert not network.server._by_opening


def test_a_request_abandoned_by_its_caller_is_cancelled() -> None:
    """A cancelled request is reported once and its response is discarded."""
    network = quic_pair.Network(quic_pair.make_endpoint(), respond=None)
    caller = connect_caller(network)
    stream = caller.client.request("GET", "/slow")
    network.run(0.5)
    caller.client.cancel(stream)
    network.run(0.5)
    (number,) = network.server.connections
    cancelled = events.RequestCancelled(connection=number, stream=stream)
    assert network.events.count(cancelled) == 1
    assert not network.server.respond(number, stream, messages.Response(status=200))


def test_an_idle_connection_ends_after_the_idle_timeout() -> None:
    """No state remains of a caller that stopped sending."""
    server = quic_pair.make_endpoint(idle_timeout_seconds=5.0)
    network = quic_pair.Network(server)
    caller = connect_caller(network)
    caller.client.closed = True
    network.run(20.0)
    assert not server.connections
    assert not server._by_id


def test_a_half_open_connection_is_dropped() -> None:
    """No state remains of a caller that never completes its handshake."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    caller = network.connect()
    network.run(quic_pair.ONE_WAY_SECONDS)
    caller.client.closed = True
    assert server.connections
    network.run(endpoint.HANDSHAKE_TIMEOUT_SECONDS + 1.0)
    assert not server.connections
    assert not server._by_opening


@pytest.mark.parametrize(
    ("headers", "body", "kind"),
    [
        ((messages.Header(name=b"x", value=b"y" * 3000),), b"", "TOO_LARGE"),
        ((), b"z" * 5000, "TOO_LARGE"),
        ((), b"z" * 50_000, "TOO_LARGE"),
    ],
)
def test_an_oversized_request_is_refused_and_the_connection_continues(
    headers: tuple[messages.Header, ...], body: bytes, kind: str
) -> None:
    """The header block and the body have separate size limits."""
    limits = http3.Limits(max_header_bytes=2000, max_body_bytes=4000)
    network = quic_pair.Network(quic_pair.make_endpoint(limits=limits))
    caller = connect_caller(network)
    stream = caller.client.request("POST", "/big", headers=headers, body=body)
    network.run(1.0)
    (refused,) = of_type(network.events, events.RequestRefused)
    assert isinstance(refused, events.RequestRefused)
    assert refused.kind is _exceptions.ErrorKind[kind]
    assert network.server.respond(
        refused.connection, refused.stream, messages.Response(status=413)
    )
    network.run(1.0)
    assert responses(caller)[stream].status == 413
    later_stream = caller.client.request("GET", "/after")
    network.run(1.0)
    assert responses(caller)[later_stream].status == 200


def test_unfinished_bodies_of_one_connection_are_bounded() -> None:
    """A caller that starts many request bodies and completes none is refused."""
    limits = http3.Limits(max_body_bytes=4000)
    network = quic_pair.Network(quic_pair.make_endpoint(limits=limits))
    caller = connect_caller(network)
    assert caller.client.h3 is not None
    for index in range(http3.MAX_PARTIAL_BODIES + 2):
        stream = caller.client.quic.get_next_available_stream_id()
        fields = [(b":method", b"POST"), (b":scheme", b"https")]
        fields += [(b":authority", b"x"), (b":path", b"/%d" % index)]
        caller.client.h3.send_headers(stream, fields)
        caller.client.h3.send_data(stream, b"z" * 3900, end_stream=False)
        network.run(1.0)
    refused = of_type(network.events, events.RequestRefused)
    kinds = {e.kind for e in refused if isinstance(e, events.RequestRefused)}
    assert kinds == {_exceptions.ErrorKind.OVERLOADED}


def test_connections_of_two_services_of_one_sidecar_stay_separate() -> None:
    """A datagram of one service's connection is invalid at another service address."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    callers = {
        service: connect_caller(network, service)
        for service in (quic_pair.SERVICE, quic_pair.OTHER_SERVICE)
    }
    for service, caller in callers.items():
        caller.client.request("GET", f"/{service}")
    network.run(1.0)
    for event in of_type(network.events, events.RequestReceived):
        assert isinstance(event, events.RequestReceived)
        assert event.request.path == f"/{event.service}"
    caller = callers[quic_pair.SERVICE]
    caller.client.request("GET", "/crossed")
    for payload in caller.client.take_datagrams(network.now):
        classified = server.classify(
            payload, caller=caller.address, service=quic_pair.OTHER_SERVICE
        )
        assert classified.kind is endpoint.DatagramKind.INVALID


def test_an_unsupported_version_is_answered_with_version_negotiation() -> None:
    """The reply lists version 1 and no connection is created."""
    server = quic_pair.make_endpoint()
    packet = b"\xc0\x0a\x0b\x0c\x0d\x08" + b"d" * 8 + b"\x04" + b"s" * 4
    payload = packet.ljust(1200, b"\x00")
    address = _types.Address("127.0.0.1", 5)
    quic_pair.dispatch_datagram(server, payload, address, quic_pair.SERVICE, 1.0)
    (outgoing,) = server.take_datagrams(1.0)
    assert outgoing.payload[1:] == (
        b"\x00" * 4 + b"\x04" + b"s" * 4 + b"\x08" + b"d" * 8 + b"\x00\x00\x00\x01"
    )
    assert not server.connections


def test_a_reset_is_smaller_than_its_trigger_and_never_for_tiny_ones() -> None:
    """Without these limits two endpoints could answer each other's resets endlessly."""
    server = quic_pair.make_endpoint()
    value = server._issue_id(quic_pair.SERVICE).value
    address = _types.Address("127.0.0.1", 5)
    for size in range(18, 80):
        payload = (b"\x41" + value).ljust(size, b"\x00")
        kind = quic_pair.dispatch_datagram(
            server, payload, address, quic_pair.SERVICE, 1.0
        )
        assert kind is endpoint.DatagramKind.UNKNOWN_CONNECTION
        for outgoing in server.take_datagrams(1.0):
            assert len(outgoing.payload) < size
            assert outgoing.payload.endswith(server.keys.current.reset_token(value))


def test_a_caller_without_the_http3_alpn_is_rejected() -> None:
    """A handshake with another application protocol fails with an error."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    configuration = http3_client.client_configuration()
    configuration.alpn_protocols = ["something-else"]
    client = http3_client.Http3Client(
        configuration=configuration, service=quic_pair.SERVICE, now=network.now
    )
    address = _types.Address("127.0.0.1", 6)
    caller = quic_pair.Caller(client=client, address=address)
    network.callers.append(caller)
    network.run(5.0)
    assert any(isinstance(e, http3_client.Closed) for e in caller.events)
    assert not network.server.connections
    assert not of_type(network.events, events.ConnectionOpened)


@pytest.mark.parametrize("seed", range(3))
def test_damaged_datagrams_never_raise_and_do_not_affect_other_connections(
    seed: int,
) -> None:
    """Truncated, bit-flipped and random datagrams are dropped."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=seed)
    caller = connect_caller(network)
    caller.client.request("POST", "/sent", body=BIG_BODY)
    network.run(1.0)
    generator = random.Random(seed)
    address = _types.Address("127.0.0.99", 1)
    for _ in range(600):
        damaged = _damage(generator, generator.choice(network.captured))
        quic_pair.dispatch_datagram(
            server, damaged, address, quic_pair.SERVICE, network.now
        )
        server.take_datagrams(network.now)
    assert server.library_errors == 0
    stream = caller.client.request("GET", "/still-here")
    network.run(2.0)
    assert responses(caller)[stream].status == 200


def _damage(generator: random.Random, payload: bytes) -> bytes:
    choice = generator.randrange(3)
    if choice == 0:
        return payload[: generator.randrange(len(payload))]
    if choice == 1:
        return generator.randbytes(generator.randrange(1500))
    flipped = bytearray(payload)
    flipped[generator.randrange(len(flipped))] ^= 1 << generator.randrange(8)
    return bytes(flipped)


def test_a_caller_may_cancel_a_request_that_was_just_answered() -> None:
    """On a busy machine a caller's deadline may expire as the response arrives."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=1, faults=quic_pair.Faults())
    caller = connect_caller(network)
    stream = caller.client.request("GET", "/1")
    network.run(1.0)
    assert stream in responses(caller)
    caller.client.cancel(stream)
    network.run(1.0)
