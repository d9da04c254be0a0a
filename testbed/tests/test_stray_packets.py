"""The check that no packets of open flows reach other upstreams for too long."""

import pytest

from plantainproxy import _types
from plantainproxy.platform import packet_format
from standins import flow_ends
from testbed import stray_packets

CALLER = _types.Address("127.0.3.1", 2_001)
SERVICE = _types.Address("198.18.0.1", 8443)
KEY = (CALLER, SERVICE)
END = 100.0


def make_upstream(number: int = 1) -> flow_ends.Upstream:
    """Return an upstream that has received nothing."""
    address = _types.Address(f"127.0.2.{number}", 9000)
    return flow_ends.Upstream(
        address=address,
        outbound=address,
        heartbeat_address=address,
        service="feed",
        domain="d0",
    )


def make_site(
    *, own: tuple[float, ...], strays: tuple[float, ...], others: int = 2
) -> list[flow_ends.Upstream]:
    """Return upstreams; the first holds the flow since its first packet at 10 s.

    The strays are distributed over the others in turn.
    """
    upstreams = [make_upstream(number) for number in range(others + 1)]
    upstreams[0].opened_at[KEY] = own[0]
    for arrived_at in own:
        upstreams[0].record.add(KEY, now=arrived_at)
    for number, arrived_at in enumerate(strays):
        upstreams[1 + number % others].record.add(KEY, now=arrived_at)
    return upstreams


def violations(upstreams: list[flow_ends.Upstream], *, end: float = END) -> list[str]:
    """Return the violations of a site observed until ``end``."""
    flows = stray_packets.open_flows(upstreams, end=end)
    return list(stray_packets.find_violations(flows))


@pytest.mark.parametrize(
    ("own", "strays", "is_broken"),
    [
        # Three within 2 s, without one at the own upstream.
        ((10.0,), (20.0, 21.0, 22.0), True),
        ((10.0,), (20.0, 21.0, 22.01), False),
        ((10.0,), (20.0, 20.0, 20.0), True),
        ((10.0,), (20.0, 20.2), False),
        # The own upstream got one between them, or every 2 s contain one.
        ((10.0, 20.5), (20.0, 20.4, 20.8), False),
        ((10.0, 19.5, 21.0), (20.0, 20.4, 20.8), False),
        # A whole 2 s contain none.
        ((10.0, 19.5, 21.6), (20.0, 20.4, 20.8), True),
        ((10.0, 19.5), (20.0, 20.4, 20.8), True),
        # Later strays break the rule although the first ones do not.
        ((10.0, 20.1), (20.0, 20.2, 20.4, 20.6), True),
        # The flow was not yet open when the first of them arrived.
        ((10.0,), (9.9, 10.1, 10.2), False),
        ((10.0,), (9.9, 10.1, 10.2, 10.3), True),
    ],
)
def test_three_strays_in_two_seconds_without_an_own_packet_break_the_rule(
    own: tuple[float, ...],
    strays: tuple[float, ...],
    is_broken: bool,
) -> None:
    """Copies count one by one, at whichever upstreams they arrive."""
    for others in (1, 2, 3):
        assert bool(violations(make_site(own=own, strays=strays, others=others))) is (
            is_broken
        )


def test_an_upstream_that_ended_is_not_expected_to_get_packets() -> None:
    """Packets after the end of the flow's upstream may go anywhere."""
    upstreams = make_site(own=(10.0,), strays=(20.0, 20.2, 20.4))
    upstreams[0].ended_at = 20.3
    assert violations(upstreams) == []
    upstreams[0].ended_at = 20.4
    assert len(violations(upstreams)) == 1
    upstreams[0].ended_at = END
    upstreams[1].ended_at = 20.3
    assert len(violations(upstreams)) == 1


def test_flows_do_not_count_for_one_another() -> None:
    """A packet of another flow is neither a stray nor one at the own upstream."""
    upstreams = make_site(own=(10.0,), strays=(20.0, 20.2, 20.4))
    other_key = (_types.Address(CALLER.host, CALLER.port + 1), SERVICE)
    upstreams[0].record.add(other_key, now=20.1)
    for upstream in upstreams[1:]:
        for _ in range(3):
            upstream.record.add(other_key, now=21.0)
    (message,) = violations(upstreams)
    assert str(CALLER) in message
    assert "3 packets" in message


def test_figures_tell_copies_from_sendings() -> None:
    """A caller's packet whose copies reach three upstreams is one sending."""
    upstreams = make_site(own=(10.0,), strays=(20.0, 20.01, 20.05), others=3)
    flows = stray_packets.open_flows(upstreams, end=END)
    figures = stray_packets.measure(flows)
    assert (figures.open_flows, figures.strays) == (1, 3)
    assert (figures.by_copies, figures.by_sendings, figures.in_a_row) == (1, 0, 1)
    upstreams = make_site(own=(10.0,), strays=(20.0, 20.01, 20.06, 20.2), others=3)
    flows = stray_packets.open_flows(upstreams, end=END)
    assert stray_packets.measure(flows).by_sendings == 1


def test_strays_in_a_row_are_counted_also_if_the_own_packet_follows() -> None:
    """The copies of one lookup may reach the own upstream last."""
    upstreams = make_site(own=(10.0, 20.03, 21.0), strays=(20.0, 20.01, 20.02))
    flows = stray_packets.open_flows(upstreams, end=END)
    assert stray_packets.measure(flows).in_a_row == 1
    upstreams = make_site(own=(10.0, 20.015, 21.0), strays=(20.0, 20.01, 20.02))
    flows = stray_packets.open_flows(upstreams, end=END)
    assert stray_packets.measure(flows).in_a_row == 0


def test_packets_before_the_records_are_complete_are_left_out() -> None:
    """A full record must not make served flows look like broken ones."""
    upstreams = make_site(own=(10.0,), strays=(20.0, 20.2, 20.4))
    upstreams[2].record = flow_ends.ArrivalRecord(capacity=1)
    upstreams[2].record.add(KEY, now=20.1)
    assert upstreams[2].record.complete_since == float("-inf")
    upstreams[2].record.add(KEY, now=20.3)
    assert upstreams[2].record.complete_since == 20.1
    assert violations(upstreams) == []


def test_an_upstream_records_packets_and_when_their_flow_was_opened() -> None:
    """The end of the handshake opens the flow; a returned packet is recorded too."""
    upstream = make_upstream()
    opening = flow_ends.encode(packet_format.SYN, CALLER, SERVICE)
    (accepted,) = upstream.receive(opening, now=1.0)
    assert upstream.opened_at == {}
    foreign = flow_ends.encode(
        packet_format.ACK, CALLER, SERVICE, sequence=1, acknowledgement=2**31
    )
    (returned,) = upstream.receive(foreign, now=2.0)
    assert flow_ends.decode(returned).flags & packet_format.BOUNCED
    assert upstream.opened_at == {}
    sequence = flow_ends.decode(accepted).sequence
    acknowledgement = flow_ends.encode(
        packet_format.ACK, CALLER, SERVICE, sequence=1, acknowledgement=sequence + 1
    )
    for now in (3.0, 4.0):
        upstream.receive(acknowledgement, now=now)
    assert upstream.opened_at == {KEY: 3.0}
    assert list(upstream.record.arrivals) == [(float(now), KEY) for now in range(1, 5)]
