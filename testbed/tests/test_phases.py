"""Tests of the figures that the experiment computes from execution logs."""

import pytest

from testbed import experiment, phases


def _phase(serving: tuple[str, ...]) -> phases.Phase:
    return phases.Phase(
        name="steady",
        start=10.0,
        end=20.0,
        serving={"fleet-control": serving},
        latency={},
        counts={},
        lag=phases.merge_histograms([]),
    )


def _execution(upstream: str, start: float, end: float) -> phases.TimedExecution:
    return phases.TimedExecution(
        upstream=upstream, pool="fleet-control", start=start, end=end
    )


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([], {"a": 0.0, "b": 0.0}),
        ([_execution("a", 10, 15), _execution("a", 12, 17)], {"a": 1.0, "b": 0.0}),
        ([_execution("a", 5, 15), _execution("b", 19, 25)], {"a": 0.5, "b": 0.1}),
        (
            [_execution("a", 1, 9), _execution("b", 21, 22), _execution("c", 10, 20)],
            {"a": 0, "b": 0},
        ),
    ],
)
def test_running_requests_are_averaged_over_the_phase(
    runs: list[phases.TimedExecution], expected: dict[str, float]
) -> None:
    """Only the part of an execution that overlaps the phase counts."""
    averages = phases.running_requests(_phase(("a", "b")), "fleet-control", runs)
    assert averages == pytest.approx(expected)


@pytest.mark.parametrize(
    ("averages", "expected"),
    [({}, 0.0), ({"a": 0.0}, 0.0), ({"a": 1.0, "b": 3.0}, 1.5), ({"a": 2.0}, 1.0)],
)
def test_imbalance_is_the_largest_over_the_mean(
    averages: dict[str, float], expected: float
) -> None:
    """The imbalance is 0 when nothing ran."""
    assert phases.imbalance(averages) == expected


@pytest.mark.parametrize("name", ["co-op", "le-guennec"])
def test_load_fits_the_hosts_and_slots_of_a_site(name: str) -> None:
    """Connections are proportional to hosts, running requests to slots."""
    plan = experiment.scaled_site(name)
    total = 0.0
    for pool, load_plan in zip(
        plan.pools, experiment.load_plans(plan, seed=1).values(), strict=True
    ):
        requests = load_plan.gets_per_second + load_plan.posts_per_second
        total += load_plan.lines * requests
        running = load_plan.lines * requests * pool.service_seconds
        slots = pool.hosts * pool.slots
        assert running == pytest.approx(slots * experiment.UTILISATION)
        assert load_plan.lines == pool.hosts * 20
    assert total == pytest.approx(experiment.REQUESTS_PER_SECOND)
