"""Short runs of the soak test: seeds that have failed, and seeds of each kind."""

import functools
import pathlib

import pytest
import trio

from testbed import soak

SECONDS = 4.0


@pytest.mark.parametrize("seed", sorted(soak.REGRESSION_SEEDS))
def test_nothing_breaks_under_a_seed_that_failed_once(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """``REGRESSION_SEEDS`` states the cause of each seed's failure."""
    _check_seed(seed, tmp_path, soak.SMALL)


@pytest.mark.parametrize("seed", [101, 102])
def test_nothing_breaks_on_a_site_with_relays(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Faults include pauses of all relays of a domain, and signals in series."""
    _check_seed(seed, tmp_path, soak.WITH_RELAYS)


@pytest.mark.parametrize("seed", [203, 204])
def test_nothing_breaks_when_the_store_returns_from_an_older_copy(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """No process returns to an older version, and every sidecar is listed again."""
    _check_seed(seed, tmp_path, soak.WITH_RELAYS, restores_store=True)


@pytest.mark.parametrize("seed", [*soak.PLANNED_REGRESSION_SEEDS, 301, 302, 303, 304])
def test_no_open_flow_is_reset_by_planned_work(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against resets of flows whose upstreams run on all the while.

    Balancers and sidecars are stopped and started, for up to 2.5 s and several at a
    time, beside reloads, new configurations, drains and heartbeats of another writer.
    """
    _check_seed(seed, tmp_path, soak.WITH_RELAYS, is_planned=True, seconds=15.0)


@pytest.mark.parametrize("seed", sorted(soak.LEAVING_REGRESSION_SEEDS))
def test_no_flow_is_reset_before_its_upstream_has_left(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against resets of flows that a leaving upstream still serves.

    Sidecars are restarted before and while their upstreams leave.
    """
    _check_seed(seed, tmp_path, soak.WITH_RELAYS, has_leaving=True, seconds=15.0)


@pytest.mark.parametrize("seed", [401])
def test_no_input_of_another_writer_ends_a_process(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against processes that end by themselves, and against lost flows.

    Another writer sends configurations, entries, heartbeats, datagrams and requests.
    """
    _check_seed(seed, tmp_path, soak.WITH_RELAYS, is_foreign=True)


def _check_seed(
    seed: int,
    directory: pathlib.Path,
    plan: soak.SitePlan,
    *,
    restores_store: bool = False,
    is_planned: bool = False,
    is_foreign: bool = False,
    has_leaving: bool = False,
    seconds: float = SECONDS,
) -> None:
    run_seed = functools.partial(
        soak.run_seed,
        plan=plan,
        restores_store=restores_store,
        is_planned=is_planned,
        is_foreign=is_foreign,
        has_leaving=has_leaving,
    )
    run = trio.run(run_seed, seed, seconds, directory)
    assert run.result.violations == []
    assert run.result.answered > 0
