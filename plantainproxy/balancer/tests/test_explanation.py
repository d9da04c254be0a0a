"""Tests of the routing explanations for operators."""

import pytest

from plantainproxy import _exceptions, _members, _types
from plantainproxy.balancer import explanation
from plantainproxy.config import model
from plantainproxy.core import packets, routing
from plantainproxy.rpc import operator_pb2
from plantainproxy.wire import connection_id, keyring

SERVICE = _types.Address("127.1.0.1", 443)
GENERATION = 1_800_000_000_000
CONFIGURATION = model.Configuration(
    revision=1,
    routes=(model.Route(name="fleet", address=SERVICE, pool="fleet"),),
    pools=(model.Pool(name="fleet"),),
    domains=(
        model.Domain(name="in", number=1),
        model.Domain(name="out", number=2, state=_types.DomainState.OUT),
    ),
    drained=(_types.Address("127.0.3.1", 4),),
)
KEY_RING = keyring.Keyring(
    model.KeySet(revision=1, current=0, keys=(model.Key(number=0, secret=b"k" * 32),))
)


def _record(
    port: int,
    domain: str = "in",
    state: _types.MemberState = _types.MemberState.SERVING,
    lost: bool = False,
) -> _members.MemberRecord:
    return _members.MemberRecord(
        kind=_types.MemberKind.SIDECAR,
        rpc=_types.Address("127.0.2.1", port),
        domain=domain,
        generation=GENERATION,
        sequence=1,
        pool="fleet",
        tunnel=_types.Address("127.0.3.1", port),
        state=state,
        lost=lost,
    )


RECORDS = (
    _record(1),
    _record(2, lost=True),
    _record(3, domain="out"),
    _record(4),
    _record(5, domain="nowhere"),
    _record(6, state=_types.MemberState.DRAINING),
    _record(7),
)
STATE = routing.apply(
    routing.State(),
    (
        routing.ConfigurationChanged(configuration=CONFIGURATION),
        routing.MembersChanged(pool="fleet", records=RECORDS),
    ),
    now=0.0,
)


def explain(flow: str = "", service: str = str(SERVICE)) -> operator_pb2.ExplainReply:
    """Return an explanation at a time long after the last change."""
    request = operator_pb2.ExplainRequest(service=service, flow=flow)
    return explanation.explain(STATE, KEY_RING, request, now=1000.0)


def connection_id_of(port: int, domain_number: int) -> str:
    """Return the connection ID of an established connection, in hexadecimal."""
    destination = packets.Destination(
        _types.Address("127.0.3.1", port).pack(),
        domain_number,
        packets.generation_tag(GENERATION),
        packets.service_tag(SERVICE.pack()),
    )
    return connection_id.encode(KEY_RING.current, destination, nonce=1).hex()


def test_shares_name_the_eligible_and_reasons_the_others() -> None:
    """The reasons state why an upstream gets no new connections."""
    reply = explain()
    assert [share.upstream for share in reply.shares] == ["127.0.3.1:1", "127.0.3.1:7"]
    assert sum(share.share for share in reply.shares) == pytest.approx(1.0)
    for reason in (
        "2 of 7 known upstreams are eligible.",
        "127.0.3.1:2 is not: it is lost.",
        "127.0.3.1:3 is not: failure domain out is out.",
        "127.0.3.1:4 is not: operators drain it.",
        "127.0.3.1:5 is not: failure domain nowhere is not configured.",
        "127.0.3.1:6 is not: it is draining.",
    ):
        assert reason in reply.reasons


def test_an_opening_packet_is_followed_as_the_datapath_does() -> None:
    """The explanation names the upstream to which the packet is forwarded."""
    for number in range(20):
        flow_key = bytes([number]) * 8
        packet = packets.Packet(flow_key, SERVICE.pack(), True, None)
        action = routing.route(STATE, packet, now=1000.0)
        assert isinstance(action, routing.Forward)
        assert explain(flow_key.hex()).upstream == str(action.tunnel)


@pytest.mark.parametrize(
    ("port", "domain_number", "upstream", "expected_reason"),
    [
        (1, 1, "127.0.3.1:1", "The line is established"),
        (4, 1, "127.0.3.1:4", "The line is established"),
        (3, 2, "", "its caller gets a reset"),
        (1, 9, "", "dropped: unknown-domain"),
    ],
)
def test_an_established_line_is_found_by_its_connection_id(
    port: int, domain_number: int, upstream: str, expected_reason: str
) -> None:
    """Connections end if their domain is out, but not if their upstream is drained."""
    reply = explain(connection_id_of(port, domain_number))
    assert reply.upstream == upstream
    assert expected_reason in reply.reasons[-1]


@pytest.mark.parametrize(
    ("flow", "service", "kind"),
    [
        ("xyz", str(SERVICE), _exceptions.ErrorKind.BAD_REQUEST),
        ("", "127.9.9.9:1", _exceptions.ErrorKind.NOT_FOUND),
    ],
)
def test_an_invalid_request_is_rejected(
    flow: str, service: str, kind: _exceptions.ErrorKind
) -> None:
    """An invalid flow and an unknown service address raise an error."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        explain(flow, service)
    assert caught.value.kind is kind
