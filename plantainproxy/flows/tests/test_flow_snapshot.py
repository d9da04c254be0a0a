"""Tests of when a sidecar writes the snapshot of its flows again."""

import pytest

from plantainproxy.flows.stored import flow_snapshot
from testbed import transparent


def _flows(*numbers: int) -> frozenset[bytes]:
    return frozenset(transparent.flow_key(number) for number in numbers)


@pytest.mark.parametrize(
    ("saved", "held", "is_written"),
    [
        (_flows(), _flows(), False),
        (_flows(), _flows(1), True),
        (_flows(*range(20)), _flows(*range(1, 21)), False),
        (_flows(*range(20)), _flows(*range(5, 20)), True),
        (_flows(*range(3)), _flows(), True),
    ],
)
def test_a_snapshot_is_written_when_a_quarter_of_the_flows_differ(
    saved: frozenset[bytes], held: frozenset[bytes], is_written: bool
) -> None:
    """On trbsl-lb-large 136 sidecars wrote one every 5 s for single changed flows."""
    assert flow_snapshot.is_worth_writing(held, saved) is is_written
