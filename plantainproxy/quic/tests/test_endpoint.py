"""Handshakes, requests, IDs and endings of callers' connections."""

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
    """Return the whole responses that a caller received, by stream."""
    return {
        event.stream: event.response
        for event in caller.events
        if isinstance(event, http3_client.ResponseReceived)
    }


def of_type(found: list[events.Event], wanted: type) -> list[events.Event]:
    """Return the events of one type."""
    return [event for event in found if isinstance(event, wanted)]


def opened(
    network: quic_pair.Network, service: _types.Address = quic_pair.SERVICE
) -> quic_pair.Caller:
    """Add a caller and let it complete its handshake."""
    caller = network.connect(service)
    network.run(1.0)
    assert http3_client.Connected() in caller.events
    return caller


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(4))
def test_requests_are_answered_over_a_faulty_network(
    faults: quic_pair.Faults, seed: int
) -> None:
    """Loss, duplication and reordering delay answers and never mix them up."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=seed, faults=faults)
    caller = network.connect()
    network.run(8.0)
    streams = {
        caller.client.request("POST", f"/{index}", body=BIG_BODY): f"/{index}"
        for index in range(5)
    }
    network.run(15.0)
    bodies = {stream: answer.body for stream, answer in responses(caller).items()}
    assert bodies == {
        stream: f"POST {path} ".encode() + BIG_BODY for stream, path in streams.items()
    }
    assert server.faults == 0
    assert len(of_type(network.events, events.RequestReceived)) == 5


def test_every_id_of_a_line_names_its_sidecar_and_service() -> None:
    """The first ID and the replenished ones decode to the same destination."""
    server = quic_pair.make_endpoint()
    caller = opened(quic_pair.Network(server))
    (line,) = server.lines.values()
    held = connection.held_ids(line.quic)
    assert len(held) == connection.MAX_PEER_IDS
    expected = connection_id.Destination(
        quic_pair.TUNNEL.pack(),
        3,
        1000,
        connection_id.service_tag(quic_pair.SERVICE.pack()),
    )
    assert {connection_id.decode(server.keys, value) for value in held} == {expected}
    tokens = {
        peer.cid: peer.stateless_reset_token
        for peer in (
            caller.client.quic._peer_cid,
            *caller.client.quic._peer_cid_available,
        )
    }
    assert tokens == {value: server.keys.current.reset_token(value) for value in held}


def test_a_new_key_replaces_the_ids_of_existing_lines() -> None:
    """A line goes on after its first key has been removed everywhere."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    caller = opened(network)
    server.keys_changed(
        quic_pair.make_keys(quic_pair.FIRST_KEY, quic_pair.SECOND_KEY, current=2)
    )
    network.run(1.0)
    server.keys_changed(quic_pair.make_keys(quic_pair.SECOND_KEY, current=2))
    stream = caller.client.request("GET", "/after")
    network.run(1.0)
    assert responses(caller)[stream].body == b"GET /after "
    (line,) = server.lines.values()
    held = connection.held_ids(line.quic)
    assert {value[0] for value in held} == {quic_pair.SECOND_KEY.number}
    assert caller.client.quic._peer_cid.cid in held
    assert len(of_type(network.events, events.LineOpened)) == 1


def test_new_keys_reach_many_lines_one_group_after_another() -> None:
    """No step has to make the IDs of more than one group of lines."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    count = endpoint.ROTATION_LINES + 3
    for _ in range(count):
        network.connect()
    network.run(1.0)
    assert len(server.lines) == count
    server.keys_changed(
        quic_pair.make_keys(quic_pair.FIRST_KEY, quic_pair.SECOND_KEY, current=2)
    )
    server.handle_timer(network.now)
    assert len(server._rotations) == 3
    network.run(1.0)
    for line in server.lines.values():
        held = connection.held_ids(line.quic)
        assert {value[0] for value in held} == {quic_pair.SECOND_KEY.number}


def test_a_line_follows_its_caller_to_another_address() -> None:
    """Answers go to the address from which the caller now sends."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = opened(network)
    caller.address = _types.Address("127.0.0.77", 4242)
    stream = caller.client.request("POST", "/moved", body=BIG_BODY)
    network.run(3.0)
    assert responses(caller)[stream].body.endswith(BIG_BODY)
    assert len(network.server.lines) == 1


def test_a_go_away_is_noticed_and_the_final_one_rejects_later_requests() -> None:
    """After the notice requests still run; after the final one they are not run."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = opened(network)
    (number,) = network.server.lines
    network.server.go_away(number)
    network.run(0.5)
    first = caller.client.request("GET", "/first")
    network.run(0.5)
    assert first in responses(caller)
    network.server.go_away(number, final=True)
    late = caller.client.request("GET", "/late")
    network.run(0.5)
    noticed = [e.stream for e in caller.events if isinstance(e, http3_client.GoAway)]
    assert noticed == [http3.GO_AWAY_NOTICE_ID, first + http3.REQUEST_STREAM_STEP]
    (failed,) = [e for e in caller.events if isinstance(e, http3_client.RequestFailed)]
    assert (failed.stream, failed.not_run) == (late, True)
    assert len(of_type(network.events, events.RequestReceived)) == 1


def test_a_caller_of_a_lost_line_is_told_by_a_reset() -> None:
    """The process that replaced a lost one resets the lines it does not know."""
    network = quic_pair.Network(quic_pair.make_endpoint())
    caller = opened(network)
    network.server = quic_pair.make_endpoint(generation=9_000_000)
    caller.client.request("GET", "/into-the-void")
    network.run(1.0)
    (closed,) = [e for e in caller.events if isinstance(e, http3_client.Closed)]
    assert closed.was_reset
    assert not network.server.lines


def test_a_line_closed_on_purpose_is_reported_to_both_ends() -> None:
    """Closing cancels what runs and tells the caller."""
    network = quic_pair.Network(quic_pair.make_endpoint(), respond=None)
    caller = opened(network)
    stream = caller.client.request("GET", "/running")
    network.run(0.5)
    (number,) = network.server.lines
    network.server.close(number)
    network.run(5.0)
    cancelled = events.RequestCancelled(line=number, stream=stream)
    assert cancelled in network.events
    assert of_type(network.events, events.LineClosed)
    assert any(isinstance(e, http3_client.Closed) for e in caller.events)
    assert not network.server.lines
    assert not network.server._by_id
    assert not network.server._by_opening


def test_a_request_given_up_by_its_caller_is_cancelled() -> None:
    """A cancelled request is reported once and its answer goes nowhere."""
    network = quic_pair.Network(quic_pair.make_endpoint(), respond=None)
    caller = opened(network)
    stream = caller.client.request("GET", "/slow")
    network.run(0.5)
    caller.client.cancel(stream)
    network.run(0.5)
    (number,) = network.server.lines
    cancelled = events.RequestCancelled(line=number, stream=stream)
    assert network.events.count(cancelled) == 1
    assert not network.server.respond(number, stream, messages.Response(status=200))


def test_an_idle_line_ends_after_the_idle_timeout() -> None:
    """A caller that has gone silent leaves nothing behind."""
    server = quic_pair.make_endpoint(idle_timeout_seconds=5.0)
    network = quic_pair.Network(server)
    caller = opened(network)
    caller.client.closed = True
    network.run(20.0)
    assert not server.lines
    assert not server._by_id


def test_a_half_open_line_is_dropped() -> None:
    """A caller that never completes its handshake leaves nothing behind."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    caller = network.connect()
    network.run(quic_pair.ONE_WAY_SECONDS)
    caller.client.closed = True
    assert server.lines
    network.run(endpoint.HANDSHAKE_TIMEOUT_SECONDS + 1.0)
    assert not server.lines
    assert not server._by_opening


@pytest.mark.parametrize(
    ("headers", "body", "kind"),
    [
        ((messages.Header(name=b"x", value=b"y" * 3000),), b"", "TOO_LARGE"),
        ((), b"z" * 5000, "TOO_LARGE"),
        ((), b"z" * 50_000, "TOO_LARGE"),
    ],
)
def test_an_oversized_request_is_refused_and_the_line_goes_on(
    headers: tuple[messages.Header, ...], body: bytes, kind: str
) -> None:
    """Header block and body each have a limit."""
    limits = http3.Limits(max_header_bytes=2000, max_body_bytes=4000)
    network = quic_pair.Network(quic_pair.make_endpoint(limits=limits))
    caller = opened(network)
    stream = caller.client.request("POST", "/big", headers=headers, body=body)
    network.run(1.0)
    (refused,) = of_type(network.events, events.RequestRefused)
    assert isinstance(refused, events.RequestRefused)
    assert refused.kind is _exceptions.ErrorKind[kind]
    assert network.server.respond(
        refused.line, refused.stream, messages.Response(status=413)
    )
    network.run(1.0)
    assert responses(caller)[stream].status == 413
    after = caller.client.request("GET", "/after")
    network.run(1.0)
    assert responses(caller)[after].status == 200


def test_unfinished_bodies_of_one_line_are_bounded() -> None:
    """A caller that begins many bodies and ends none is refused."""
    limits = http3.Limits(max_body_bytes=4000)
    network = quic_pair.Network(quic_pair.make_endpoint(limits=limits))
    caller = opened(network)
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


def test_two_services_of_one_sidecar_are_never_crossed() -> None:
    """A datagram of one service's line is refused under the other's address."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server)
    callers = {
        service: opened(network, service)
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
        verdict = server.classify(
            payload, caller=caller.address, service=quic_pair.OTHER_SERVICE
        )
        assert verdict.kind is endpoint.Kind.INVALID


def test_an_unknown_version_is_answered_with_ours() -> None:
    """A caller of a later version learns which one we speak."""
    server = quic_pair.make_endpoint()
    packet = b"\xc0\x0a\x0b\x0c\x0d\x08" + b"d" * 8 + b"\x04" + b"s" * 4
    payload = packet.ljust(1200, b"\x00")
    address = _types.Address("127.0.0.1", 5)
    quic_pair.dispatch_datagram(server, payload, address, quic_pair.SERVICE, 1.0)
    (outgoing,) = server.take_datagrams(1.0)
    assert outgoing.payload[1:] == (
        b"\x00" * 4 + b"\x04" + b"s" * 4 + b"\x08" + b"d" * 8 + b"\x00\x00\x00\x01"
    )
    assert not server.lines


def test_a_reset_is_smaller_than_its_trigger_and_never_for_tiny_ones() -> None:
    """Two endpoints that answer each other's resets come to an end."""
    server = quic_pair.make_endpoint()
    value = server._issue(quic_pair.SERVICE).value
    address = _types.Address("127.0.0.1", 5)
    for size in range(18, 80):
        payload = (b"\x41" + value).ljust(size, b"\x00")
        kind = quic_pair.dispatch_datagram(
            server, payload, address, quic_pair.SERVICE, 1.0
        )
        assert kind is endpoint.Kind.FOREIGN
        for outgoing in server.take_datagrams(1.0):
            assert len(outgoing.payload) < size
            assert outgoing.payload.endswith(server.keys.current.reset_token(value))


def test_a_caller_that_does_not_speak_http3_is_turned_away() -> None:
    """Another application protocol ends the handshake with an error."""
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
    assert not network.server.lines
    assert not of_type(network.events, events.LineOpened)


@pytest.mark.parametrize("seed", range(3))
def test_damaged_datagrams_never_raise_and_leave_other_lines_alone(seed: int) -> None:
    """Truncated, flipped and random datagrams are dropped."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=seed)
    caller = opened(network)
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
    assert server.faults == 0
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


def test_a_caller_may_give_up_a_request_that_was_just_answered() -> None:
    """Its deadline and the answer come together on a busy machine."""
    server = quic_pair.make_endpoint()
    network = quic_pair.Network(server, seed=1, faults=quic_pair.Faults())
    caller = opened(network)
    stream = caller.client.request("GET", "/1")
    network.run(1.0)
    assert stream in responses(caller)
    caller.client.cancel(stream)
    network.run(1.0)
