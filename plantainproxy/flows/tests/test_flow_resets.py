"""Orders of events in which flows of a running upstream are reset or denied."""

from plantainproxy.flows import packets
from plantainproxy.flows.engine import upstream_events
from testbed import transparent

KEY = transparent.flow_key(1)
OPENING = transparent.make_packet(KEY, opening=True, purpose=packets.Purpose.OPEN)
DATA = transparent.make_packet(
    KEY, sequence=1, size=100, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
)
TICK_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.2


def test_a_balancer_with_an_earlier_policy_resets_no_open_flow() -> None:
    """Guards against the reset of an open flow on a route that was just added.

    The flow was opened through a balancer that has the new policy. Sidecars report its
    order to this one, which has not pulled it yet.
    """
    harness = transparent.ready_balancer(2)
    key = transparent.flow_key(1, b"\x02\x00\x12\xc6\xbb\x01")
    for number in (1, 2):
        harness.handle_message(number, transparent.make_report(number=2, revision=2))
    harness.handle_packet(
        transparent.make_packet(
            key,
            sequence=1,
            size=100,
            acknowledgement=transparent.UPSTREAM_SEQUENCE + 1,
        )
    )
    assert harness.port.resets == []


def test_a_table_is_not_complete_beside_an_earlier_upstream_with_heartbeats() -> None:
    """Guards against denied flows of a running upstream.

    The first connection attempt of a new process failed, then heartbeats arrived of an
    incarnation that is older than the process.
    """
    sidecar = transparent.SidecarHarness()
    sidecar.apply_policy(transparent.make_policy(1))
    upstream_events.handle_not_listening(sidecar.engine, now=sidecar.now)
    for number in range(1, 12):
        sidecar.handle_heartbeat(number, born=sidecar.engine.identity.boot - 1)
        sidecar.tick(HEARTBEAT_SECONDS)
    assert not sidecar.engine.table.complete
