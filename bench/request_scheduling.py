"""Shares of requests on time with the sidecar's queue and with the upstream's alone.

Run ``python -m bench.request_scheduling``. The clock is simulated, so that the figures
do not depend on the machine.
"""

from collections import abc
import logging

from plantainproxy.flows.engine import request_queue
from testbed import request_load

SEEDS = range(12)
LIMITS = (6, 9, 13, 40)
"""Values of ``MAX_REQUESTS_PER_SLOT`` to compare."""

Select = abc.Callable[[request_load.Outcome], bool]


def _is_feed(outcome: request_load.Outcome) -> bool:
    return outcome.arrival.kind.name == "feed"


def _is_aggressive(outcome: request_load.Outcome) -> bool:
    return outcome.arrival.caller == request_load.AGGRESSIVE


def _loads() -> abc.Iterator[tuple[str, int, list[list[request_load.Arrival]], Select]]:
    """Yield name, slots and arrivals by seed; ``Select`` picks the less urgent."""
    for name, rates in (("a", request_load.RATES), ("b", request_load.OTHER_RATES)):
        for demand in (0.6, 0.95):
            yield (
                f"{name} {demand} for 6.5 s",
                rates.slots,
                [
                    request_load.mixed(rates, seed, demand, seconds=6.5)
                    for seed in SEEDS
                ],
                _is_feed,
            )
        yield (
            f"{name} 1.7 for 3 s",
            rates.slots,
            [request_load.overload(rates, seed) for seed in SEEDS],
            _is_feed,
        )
        yield (
            f"{name} 5 times slower",
            rates.slots,
            [
                request_load.mixed(rates, seed, 1.2, seconds=6.5, slowness=5.0)
                for seed in SEEDS
            ],
            _is_feed,
        )
    yield (
        "aggressive caller",
        request_load.RATES.slots,
        [request_load.aggressive_caller(seed) for seed in SEEDS],
        _is_aggressive,
    )


def _shares(outcomes: list[request_load.Outcome]) -> str:
    on_time = sum(outcome.is_on_time for outcome in outcomes)
    answered = sum(outcome.answered_after is not None for outcome in outcomes)
    rejected = sum(outcome.rejected for outcome in outcomes)
    counts = (on_time, answered - on_time, rejected)
    return " ".join(f"{count / len(outcomes):5.3f}" for count in counts)


def main() -> None:
    """Print one line for each load and limit; the first is without the queue."""
    logging.disable(logging.CRITICAL)
    print("load, limit: on time, late, rejected; urgent requests, then the others")
    for name, slots, loads, is_less_urgent in _loads():
        for limit in (None, *LIMITS):
            request_queue.MAX_REQUESTS_PER_SLOT = limit or LIMITS[0]
            outcomes = [
                outcome
                for load in loads
                for outcome in request_load.run(
                    load, slots=slots, is_scheduled=limit is not None
                )
            ]
            urgent = [each for each in outcomes if not is_less_urgent(each)]
            others = [each for each in outcomes if is_less_urgent(each)]
            print(
                f"{name:18s} {limit or '-':>3} {len(urgent):5d} {_shares(urgent)}"
                f" {len(others):5d} {_shares(others)}"
            )


if __name__ == "__main__":
    main()
