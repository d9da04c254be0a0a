"""Loads on pools whose upstreams differ in speed, on the engines without a network."""

import functools

import pytest

from plantainproxy.flows.engine import balancer_state, upstream_speed
from testbed import speed_site

TARGET_BUSIEST_OVER_MEAN = 1.15
UPSTREAMS = 24
BALANCERS = 30
SLOTS = 2
WORK_SECONDS = 0.04
TAIL_FACTOR = 7.0
OLD_REPORT_SECONDS = 0.5
SETTLE_SECONDS = 4.0
MEASURED_SECONDS = 12.0
QUARTER_SLOW = tuple(0.45 if number % 4 == 0 else 1.0 for number in range(UPSTREAMS))
SLOWDOWN_SECONDS = 6.5
SLOWDOWN = 5.0
NOTICED_SECONDS = 2.0
"""Time in which a change of speed by ``SLOWDOWN`` must be in the factors: less than a
third of the shortest slowdown that is expected."""
RECOVERY_SECONDS = 8.0
"""Time after which upstreams that recovered count as of usual speed again."""


def _site(
    speeds: tuple[float, ...],
    *,
    share_of_capacity: float,
    tail_share: float = 0.0,
    report_delay_seconds: float = OLD_REPORT_SECONDS,
    balancers: int = BALANCERS,
    seed: int = 1,
) -> speed_site.Site:
    work = WORK_SECONDS * (1 + tail_share * (TAIL_FACTOR - 1))
    rate = share_of_capacity * sum(speeds) * SLOTS / work
    return speed_site.Site(
        speeds,
        balancers=balancers,
        slots=SLOTS,
        report_delay_seconds=report_delay_seconds,
        seed=seed,
        load=speed_site.Load(
            requests_per_second=rate,
            work_seconds=WORK_SECONDS,
            tail_share=tail_share,
            tail_factor=TAIL_FACTOR,
        ),
    )


@pytest.mark.parametrize("share_of_capacity", [0.3, 0.6])
def test_a_quarter_of_the_upstreams_at_less_than_half_the_speed(
    share_of_capacity: float,
) -> None:
    """They were in use 1.3 to 1.6 times as long as the mean, and their callers waited.

    30 balancers have reports that are 0.5 s old.
    """
    site = _site(QUARTER_SLOW, share_of_capacity=share_of_capacity)
    site.run_for(SETTLE_SECONDS)
    site.start_measuring()
    site.run_for(MEASURED_SECONDS)
    assert site.busiest_over_mean() <= TARGET_BUSIEST_OVER_MEAN
    assert min(member.served for member in site.upstreams) > 0


@pytest.mark.parametrize("seed", [1, 3])
def test_a_quarter_of_slow_upstreams_with_fresh_reports(seed: int) -> None:
    """Reports without a delay must not bring more flows than they can run."""
    site = _site(
        QUARTER_SLOW, share_of_capacity=0.6, report_delay_seconds=0.0, seed=seed
    )
    site.run_for(SETTLE_SECONDS)
    site.start_measuring()
    site.run_for(MEASURED_SECONDS)
    assert site.busiest_over_mean() <= TARGET_BUSIEST_OVER_MEAN


def test_slow_upstreams_with_a_tail_of_long_requests() -> None:
    """3 of 100 requests take 7 times the work and must not look like slowness."""
    site = _site(QUARTER_SLOW, share_of_capacity=0.5, tail_share=0.03)
    site.run_for(SETTLE_SECONDS)
    site.start_measuring()
    site.run_for(MEASURED_SECONDS)
    assert site.busiest_over_mean() <= TARGET_BUSIEST_OVER_MEAN


@pytest.mark.parametrize("tail_share", [0.0, 0.03])
def test_equal_upstreams_get_the_same_flows_as_without_speeds(
    tail_share: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Chance differences of service times must not move load."""

    def decisions() -> list[tuple[int, int]]:
        site = _site(
            (1.0,) * 12,
            share_of_capacity=0.4,
            tail_share=tail_share,
            balancers=6,
            report_delay_seconds=0.1,
        )
        placed: list[tuple[int, int]] = []
        for _ in range(80):
            site.run_for(0.1)
            placed += [(member.served, member.running) for member in site.upstreams]
        return placed

    with_speeds = decisions()
    monkeypatch.setattr(upstream_speed, "update_factors", lambda view, *, now: [])
    assert decisions() == with_speeds


def _slow_numbers(site: speed_site.Site, front: balancer_state.Engine) -> set[int]:
    return {
        number
        for number, member in enumerate(site.upstreams)
        if front.view.upstreams[member.address].speed_factor > 2.0
    }


@functools.cache
def _run_slowdown(compares: bool) -> tuple[float, list[float]]:
    """Run a slowdown of a sixth of the upstreams, then the return to normal.

    Returns the 95th percentile of response times in the slowdown, in seconds, and the
    times in use after it, of the slowed upstreams over the mean; these are empty if
    speeds are not compared.
    """
    update = upstream_speed.update_factors
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            upstream_speed,
            "update_factors",
            lambda view, *, now: update(view, now=now) if compares else [],
        )
        site = _site((1.0,) * UPSTREAMS, share_of_capacity=0.5)
        site.run_for(SETTLE_SECONDS)
        slowed = set(range(0, UPSTREAMS, 6))
        for number in slowed:
            site.upstreams[number].speed = 1 / SLOWDOWN
        site.run_for(NOTICED_SECONDS)
        if compares:
            for front in site.balancers:
                assert _slow_numbers(site, front.engine) == slowed
        site.start_measuring()
        site.run_for(SLOWDOWN_SECONDS - NOTICED_SECONDS)
        times = sorted(site.response_seconds)
        assert min(site.upstreams[number].served for number in slowed) > 0
        p95 = times[round(0.95 * len(times))]
        if not compares:
            return p95, []
        for number in slowed:
            site.upstreams[number].speed = 1.0
        site.run_for(RECOVERY_SECONDS)
        site.start_measuring()
        for front in site.balancers:
            assert _slow_numbers(site, front.engine) == set()
        site.run_for(MEASURED_SECONDS)
        mean = sum(member.busy_seconds for member in site.upstreams) / UPSTREAMS
        after = [site.upstreams[number].busy_seconds / mean for number in slowed]
    return p95, after


def test_a_sixth_of_the_upstreams_five_times_slower_for_a_moment() -> None:
    """Nearly a sixth of the callers waited five times as long until they recovered."""
    with_speeds, _ = _run_slowdown(True)
    without_speeds, _ = _run_slowdown(False)
    assert with_speeds < 0.8 * without_speeds


def test_upstreams_that_recovered_get_their_share_again() -> None:
    """Few flows mean few samples, so a slow upstream could stay avoided for long."""
    _, after = _run_slowdown(True)
    assert min(after) >= 1 / TARGET_BUSIEST_OVER_MEAN
    assert max(after) <= TARGET_BUSIEST_OVER_MEAN
