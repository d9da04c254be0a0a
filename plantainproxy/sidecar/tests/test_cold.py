"""Load on cold upstreams under the real request pipeline, on a simulated clock."""

from collections import abc

import trio
import trio.testing

from bench import fleet
from standins import upstream as standin

SETTINGS = standin.Settings(cold_seconds=3.0, service_seconds=0.05)
WARM_SECONDS = 12.0


def _run(scenario: abc.Callable[[fleet.Fleet], abc.Awaitable[None]]) -> None:
    async def run() -> None:
        async with fleet.run_fleet(
            4, SETTINGS, utilisation=0.35, seed=3
        ) as active_fleet:
            await fleet.measure(active_fleet, "cold start", WARM_SECONDS)
            assert fleet.count_closed_exchanges(active_fleet) == 0
            await scenario(active_fleet)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_upstreams_that_return_cold_together_do_not_fall() -> None:
    """Half of the pool restarts cold while all sidecars send requests.

    All sidecars may forward to the cold upstreams at once. No upstream may fail or run
    more requests than a cold one can handle.
    """

    async def scenario(active_fleet: fleet.Fleet) -> None:
        for is_up in (False, True):
            for host in list(active_fleet.hosts.values())[:2]:
                fleet.set_availability(host, is_up=is_up)
            fleet.notify_siblings(active_fleet)
            phase = await fleet.measure(active_fleet, "returning", 5.0)
            assert phase.closed_exchanges == 0
            assert phase.cold_peak <= SETTINGS.cold_bears

    _run(scenario)


def test_upstream_that_turns_cold_without_warning_recovers() -> None:
    """An upstream turns cold under warm load without a restart in its health report.

    It may fail under the load that it had. After that, it receives no more than a cold
    upstream can handle, so it does not fail again and serves requests.
    """

    async def scenario(active_fleet: fleet.Fleet) -> None:
        host = next(iter(active_fleet.hosts.values()))
        host.standin.cold_until = trio.current_time() + SETTINGS.cold_seconds
        phase = await fleet.measure(active_fleet, "cold without warning", 1.5)
        successes = phase.status_counts["200"]
        assert successes > 0.9 * phase.status_counts.total()
        failure_count = fleet.count_closed_exchanges(active_fleet)
        served_before = len(host.standin.executions)
        assert failure_count > 0
        phase = await fleet.measure(active_fleet, "recovery", 5.0)
        assert fleet.count_closed_exchanges(active_fleet) == failure_count
        assert len(host.standin.executions) > served_before + 20

    _run(scenario)
