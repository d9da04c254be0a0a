"""Measured speed of upstreams: measurement at the sidecar, comparison at the balancer.

The engines run without a network. Each test of the second half covers one failure.
"""

from collections import abc
import itertools

import msgspec
import pytest

from plantainproxy import _types
from plantainproxy.flows import messages
from plantainproxy.flows.control import relay
from plantainproxy.flows.engine import (
    upstream_events,
    upstream_speed,
    upstreams,
)
from testbed import transparent

SERVICE = transparent.SERVICE
OTHER_SERVICE = b"\x02\x00\x12\xc6\xbb\x01"
BALANCER = _types.Address("10.0.0.1", transparent.MESSAGE_PORT)


_flow_numbers = itertools.count(1_000)


def _serve(
    harness: transparent.SidecarHarness, number: int, seconds: float = 0.04
) -> None:
    """Open a flow, and answer its request after a time."""
    key = transparent.flow_key(number)
    harness.open(key)
    harness.request(key)
    harness.tick(seconds)
    harness.handle_outbound(transparent.make_packet(key, size=500))


def _serve_many(
    harness: transparent.SidecarHarness, count: int, seconds: float = 0.04
) -> None:
    for _ in range(count):
        _serve(harness, next(_flow_numbers), seconds)


def _reported(harness: transparent.SidecarHarness) -> dict[bytes, float]:
    """Return the service times of a complete report that a balancer requests."""
    harness.handle_report_request(BALANCER, subscribes=False)
    return harness.port.last_report().service_times


def test_the_median_is_reported_once_there_are_enough_samples() -> None:
    """A few requests are no basis for moving load."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES - 1)
    assert _reported(harness) == {}
    _serve_many(harness, 1)
    assert _reported(harness) == {SERVICE: 40}


def test_one_long_request_does_not_change_the_estimate() -> None:
    """Three requests in a hundred take seven times the work."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    _serve(harness, 1, seconds=0.28)
    assert _reported(harness) == {SERVICE: 40}


def test_time_in_the_upstreams_queue_is_no_service_time() -> None:
    """An upstream that many callers use at once would seem slow.

    20 requests arrive at once at 4 slots, and four responses come every 40 ms.
    """
    harness = transparent.ready_sidecar()
    keys = [transparent.flow_key(number) for number in range(20)]
    for key in keys:
        harness.open(key)
        harness.request(key)
    for first in range(0, len(keys), 4):
        harness.tick(0.04)
        for key in keys[first : first + 4]:
            harness.handle_outbound(transparent.make_packet(key, size=500))
    assert _reported(harness) == {SERVICE: 40}


def test_a_rejection_by_a_full_upstream_is_no_sample() -> None:
    """It arrives at once, so an overloaded upstream would seem fast."""
    measurement = upstream_speed.Measurement()
    for number in range(30):
        upstream_speed.record_forwarded(
            measurement, b"%d" % number, slots=2, is_cold=False, now=10.0
        )
    for number in range(10, 30):
        upstream_speed.record_response(measurement, b"%d" % number, SERVICE, now=10.001)
    assert not measurement.samples
    assert len(measurement.in_progress) == 10


def test_a_request_that_its_caller_gave_up_is_no_sample() -> None:
    """The upstream may still run it, so the next request's start is not known."""
    measurement = upstream_speed.Measurement()
    for flow in (b"a", b"b"):
        upstream_speed.record_forwarded(
            measurement, flow, slots=1, is_cold=False, now=10.0
        )
    upstream_speed.discard(measurement, b"a", now=10.01)
    upstream_speed.record_response(measurement, b"b", SERVICE, now=10.08)
    assert not measurement.samples
    assert not measurement.in_progress


def test_a_held_request_is_measured_from_its_delivery() -> None:
    """A wait in the sidecar would make the upstream seem slow."""
    harness = transparent.ready_sidecar()
    key = transparent.flow_key(1)
    harness.open(key)
    assert key not in harness.engine.speed.in_progress
    acknowledgement = transparent.make_packet(
        key, acknowledgement=transparent.UPSTREAM_SEQUENCE + 1
    )
    harness.engine.table.flows[key].request_started_at = harness.now
    harness.handle_inbound(acknowledgement)
    assert key not in harness.engine.speed.in_progress
    harness.tick(0.3)
    harness.request(key)
    assert harness.engine.speed.in_progress[key].started_at == harness.now


def test_the_reported_routes_are_bounded() -> None:
    """A report has to stay small however many routes a pool serves."""
    measurement = upstream_speed.Measurement()
    for route in range(9):
        for number in range(upstream_speed.MIN_SAMPLES + route):
            flow = b"%d" % number
            upstream_speed.record_forwarded(
                measurement, flow, slots=4, is_cold=False, now=10.0
            )
            upstream_speed.record_response(
                measurement, flow, bytes([route] * 6), now=10.0042
            )
    times = upstream_speed.service_times(measurement, now=10.1)
    assert len(times) == upstream_speed.MAX_REPORTED_ROUTES
    assert times[bytes([8] * 6)] == 4.2


def test_a_batch_of_complete_reports_fits_one_packet() -> None:
    """A datagram that is split into fragments is lost if any of them is lost."""
    sent: list[messages.ReportBatch] = []

    class Port:
        def send_to_all(self, recipients: object, message: messages.Message) -> None:
            if isinstance(message, messages.ReportBatch):
                sent.append(message)

    harness = transparent.SidecarHarness()
    engine = relay.Relay(port=Port(), domain=transparent.DOMAIN, log=harness.engine.log)
    gatherer = messages.GatherRequest(domain=transparent.OTHER_DOMAIN)
    relay.handle_gather_request(engine, gatherer, BALANCER, now=1.0)
    times = {bytes([route] * 6): 19.9 for route in range(4)}
    report = msgspec.structs.replace(
        transparent.make_report(pool="statement-svc", boot=1_764_000_000_000),
        service_times=times,
    )
    for number in range(60):
        relay.handle_report(engine, report, transparent.address(number), now=1.0)
    relay.tick(
        engine,
        messages.Notice(
            revision=1, digest=1, list_revision=1, list_digest=1, is_current=True
        ),
        now=1.0,
    )
    assert sum(len(batch.reports) for batch in sent) == 60
    sizes = [len(messages.encode(batch)) for batch in sent]
    assert max(sizes) <= relay.MAX_BATCH_BYTES


def test_a_change_of_speed_is_seen_before_all_samples_are_new() -> None:
    """Half of a short slowdown would pass before the median of all samples changes."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MAX_SAMPLES)
    _serve_many(harness, upstream_speed.RECENT_SAMPLES // 2 + 1, seconds=0.2)
    assert _reported(harness) == {SERVICE: 200}
    _serve_many(harness, upstream_speed.RECENT_SAMPLES // 2 + 1)
    assert _reported(harness) == {SERVICE: 40}


# Failures at the sidecar.


def test_a_restart_of_the_upstream_resets_the_estimate() -> None:
    """The new process may run on other hardware or with a cold cache."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    harness.open(transparent.flow_key(9))
    harness.request(transparent.flow_key(9))
    harness.handle_heartbeat(1, born=2_000)
    assert _reported(harness) == {}
    assert not harness.engine.speed.in_progress


def test_a_crash_of_the_upstream_resets_the_estimate() -> None:
    """Its address may be that of another process next."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    upstream_events.handle_connection_refused(harness.engine, now=harness.now)
    assert _reported(harness) == {}


def test_a_cold_phase_resets_the_estimate_and_is_not_measured() -> None:
    """A cold upstream is slower than it will be, and its flows are limited anyway."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    harness.handle_heartbeat(2, cold_seconds=5.0)
    harness.tick(0.02)
    assert _reported(harness) == {}
    _serve_many(harness, upstream_speed.MIN_SAMPLES, seconds=0.2)
    assert _reported(harness) == {}
    harness.handle_heartbeat(3, cold_seconds=0.0)
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    assert _reported(harness) == {SERVICE: 40}


def test_a_pause_of_the_sidecar_resets_the_estimate() -> None:
    """Responses that waited in its socket would count as slow ones."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    keys = [transparent.flow_key(60_000 + number) for number in range(4)]
    for key in keys:
        harness.open(key)
        harness.request(key)
    harness.now += 2.0
    for key in keys:
        harness.handle_outbound(transparent.make_packet(key, size=500))
    assert _reported(harness) == {}
    assert not harness.engine.speed.samples


def test_lost_requests_do_not_stop_the_measurement() -> None:
    """An upstream that never answers some requests would have no free slot."""
    harness = transparent.ready_sidecar()
    for number in range(4):
        harness.open(transparent.flow_key(number))
        harness.request(transparent.flow_key(number))
    for _ in range(60):
        harness.tick(0.1)
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    assert _reported(harness) == {SERVICE: 40}


# Comparison at the balancer.


def _report(
    harness: transparent.BalancerHarness,
    number: int,
    *,
    times: dict[bytes, float] | None,
    report_number: int = 2,
    domain: str = transparent.DOMAIN,
    boot: int = 1,
    cold: bool = False,
) -> None:
    report = transparent.make_report(
        number=report_number, domain=domain, boot=boot, cold=cold, room=100
    )
    harness.handle_message(
        number, msgspec.structs.replace(report, service_times=times or {})
    )


def _balancer_with(
    times: abc.Mapping[int, float], *, domains: abc.Mapping[int, str] | None = None
) -> transparent.BalancerHarness:
    """Return a balancer whose upstreams report these service times of one route."""
    harness = transparent.ready_balancer(count=len(times))
    for number, milliseconds in times.items():
        domain = (domains or {}).get(number, transparent.DOMAIN)
        _report(harness, number, times={SERVICE: milliseconds}, domain=domain)
    harness.tick()
    return harness


def _factors(harness: transparent.BalancerHarness) -> dict[int, float]:
    """Return the speed factors other than 1 by the number of the sidecar."""
    return {
        int(address.host.rpartition(".")[2]): member.speed_factor
        for address, member in harness.engine.view.upstreams.items()
        if member.speed_factor != 1
    }


def test_the_factor_is_relative_to_the_median_of_the_pool() -> None:
    """Differences that chance explains do not count."""
    harness = _balancer_with({1: 40, 2: 48, 3: 33, 4: 40, 5: 88, 6: 30, 7: 40})
    assert _factors(harness) == {5: 2.2, 6: 0.75}


def test_two_upstreams_of_a_route_are_not_compared() -> None:
    """There is no telling which of the two differs from the usual."""
    assert _factors(_balancer_with({1: 40, 2: 200})) == {}


def test_routes_are_compared_separately() -> None:
    """A mix of routes with different work does not make an upstream slow."""
    harness = transparent.ready_balancer(count=6)
    for number in range(1, 7):
        times = {SERVICE: 40.0} if number <= 3 else {OTHER_SERVICE: 400.0}
        _report(harness, number, times=times)
    harness.tick()
    assert _factors(harness) == {}


def test_at_most_a_third_of_a_pool_counts_as_slow() -> None:
    """The others could not carry the load of more."""
    times = {1: 200, 2: 190, 3: 180, 4: 170, 5: 40, 6: 40, 7: 40, 8: 40, 9: 40}
    factors = _factors(_balancer_with(times))
    slow = {number for number, factor in factors.items() if factor > 2.0}
    assert slow == {1, 2, 3}
    assert factors[4] == upstream_speed.SLOW_FACTOR


def test_the_last_upstream_of_a_failure_domain_is_never_slow() -> None:
    """Its domain's callers would all go to other domains."""
    others = {3: "hall-b", 4: "hall-b", 5: "hall-b", 6: "hall-b", 7: "hall-b"}
    times = {1: 200, 2: 160, 3: 40, 4: 40, 5: 40, 6: 40, 7: 40}
    factors = _factors(_balancer_with(times, domains=others))
    assert factors == {1: 5.0, 2: upstream_speed.SLOW_FACTOR}


def test_a_very_fast_upstream_does_not_attract_all_flows() -> None:
    """One that fails all requests at once seems fast."""
    factors = _factors(_balancer_with({1: 40, 2: 40, 3: 40, 4: 1}))
    assert factors == {4: upstream_speed.MIN_FACTOR}


def test_changes_are_logged_and_shown_as_gauges() -> None:
    """Operators need to see which upstream gets few flows and why."""
    harness = _balancer_with({1: 40, 2: 40, 3: 40, 4: 100})
    assert harness.engine.log.counters["events.upstream_speed"] == 1
    gauges = upstream_speed.balancer_gauges(harness.engine.view)
    assert gauges == {
        "slower_upstreams": 1.0,
        "faster_upstreams": 0.0,
        "speed_factor.10.0.1.4": 2.5,
    }
    harness.tick(0.2)
    assert harness.engine.log.counters["events.upstream_speed"] == 1


def test_the_status_command_explains_the_factor() -> None:
    """The texts of plantain-flow-ctl status, with route names of any characters."""
    harness = transparent.ready_sidecar()
    _serve_many(harness, upstream_speed.MIN_SAMPLES)
    gauges = upstream_speed.sidecar_gauges(
        harness.engine.speed,
        harness.engine.policies.current,
        pool="meter-svc",
        now=harness.now,
    )
    name = f"{upstream_speed.SERVICE_TIME_GAUGE}.meter_svc_r"
    assert gauges[name] == pytest.approx(40)
    assert gauges["service_samples.meter_svc_r"] == upstream_speed.MIN_SAMPLES
    scraped = name.replace(".", "_")
    texts = upstream_speed.describe(
        {"a": {scraped: 40.0}, "b": {scraped: 40.0}, "c": {scraped: 90.0}, "d": {}}
    )
    assert texts == {
        "a": "speed factor 1 (meter_svc_r 40 ms)",
        "b": "speed factor 1 (meter_svc_r 40 ms)",
        "c": "speed factor 2.25, gets fewer flows (meter_svc_r 90 ms)",
        "d": "speed not measured",
    }


# Failures on the way to and at the balancer.

SLOW_AND_OTHERS = {1: 200.0, 2: 40.0, 3: 40.0, 4: 40.0}


def test_a_stale_report_counts_as_factor_one() -> None:
    """A silent sidecar's upstream may have recovered long ago."""
    harness = _balancer_with(SLOW_AND_OTHERS)
    assert _factors(harness) == {1: 5.0}
    harness.run_for(
        upstreams.REPORT_FRESH_SECONDS + upstream_speed.COMPARISON_INTERVAL_SECONDS
    )
    assert _factors(harness) == {}


def test_load_reports_do_not_keep_old_service_times_alive() -> None:
    """The complete reports of another domain are lost, only load reports arrive."""
    harness = _balancer_with(SLOW_AND_OTHERS)
    address = transparent.address(1)
    for number in range(3, 60):
        load = messages.LoadReport(boot=1, number=number, running=0, flows=0, room=9)
        upstreams.apply_load(harness.engine.view, address, load, now=harness.now)
        for other in (2, 3, 4):
            _report(harness, other, times={SERVICE: 40.0}, report_number=number)
        harness.tick(0.1)
    assert upstreams.is_fresh(harness.engine.view.upstreams[address], now=harness.now)
    assert _factors(harness) == {}


def test_a_relay_that_brings_old_reports_does_not_change_the_factor() -> None:
    """A relay that was paused passes on reports from before the recovery."""
    harness = _balancer_with(SLOW_AND_OTHERS)
    old = harness.engine.view.upstreams[transparent.address(1)].report
    assert old is not None
    _report(harness, 1, times={SERVICE: 40.0}, report_number=9)
    harness.tick(0.1)
    assert _factors(harness) == {}
    for boot, number in ((1, 5), (0, 99)):
        late = msgspec.structs.replace(old, boot=boot, number=number)
        entry = messages.RelayedReport(
            host=transparent.address(1).host, age_ms=100, report=late
        )
        harness.handle_message(7, messages.ReportBatch(reports=(entry,)))
        harness.tick(0.1)
        assert _factors(harness) == {}


@pytest.mark.parametrize("cold", [False, True])
def test_a_restarted_sidecar_or_a_cold_upstream_has_factor_one(cold: bool) -> None:
    """Nothing is known about its speed yet."""
    harness = _balancer_with(SLOW_AND_OTHERS)
    _report(harness, 1, times=None, report_number=1, boot=2, cold=cold)
    harness.tick(0.1)
    assert _factors(harness) == {}


def test_after_a_pause_of_the_balancer_all_factors_are_one() -> None:
    """The reports that it has are older than they seem."""
    harness = _balancer_with(SLOW_AND_OTHERS)
    harness.tick(2.0)
    assert _factors(harness) == {}


def test_two_upstreams_left_of_a_pool_are_not_compared() -> None:
    """The sidecars of a failure domain fall silent, and too few of the pool report."""
    harness = _balancer_with({1: 200, 2: 40, 3: 40})
    for number in range(3, 20):
        _report(harness, 1, times={SERVICE: 200.0}, report_number=number)
        _report(harness, 2, times={SERVICE: 40.0}, report_number=number)
        harness.tick(0.1)
    assert _factors(harness) == {}
