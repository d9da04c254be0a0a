"""A short seeded run of the soak."""

import pathlib

import pytest
import trio

from testbed import soak

SECONDS = 4.0


@pytest.mark.parametrize("seed", sorted(soak.FAILED_SEEDS))
def test_nothing_breaks_under_a_seed_that_failed_once(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """The cause stands beside the seed."""
    run = trio.run(soak.play, seed, SECONDS, tmp_path)
    assert run.verdict.broken == []
    assert run.verdict.answered > 0
