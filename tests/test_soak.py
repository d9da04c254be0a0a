"""Regression tests: short runs of the soak test under seeds that have failed."""

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
    run = trio.run(soak.run_seed, seed, SECONDS, tmp_path)
    assert run.result.violations == []
    assert run.result.answered > 0
