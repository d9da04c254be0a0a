"""Checks of the callers' results against the invariants."""

import pytest

from standins import caller
from testbed import invariants, load


@pytest.mark.parametrize(
    ("answers", "interrupted"),
    [
        (["matches"], False),
        (["not-run", "unknown", "matches"], False),
        (["not-run", "not-run"], False),
        (["not-run", caller.EXPIRED], False),
        (["not-run", caller.LOST], True),
        (["not-run", "unknown"], True),
        (["not-run", "unknown", caller.EXPIRED], True),
        ([caller.EXPIRED], True),
        ([], True),
    ],
)
def test_only_requests_refused_by_every_attempt_are_not_interrupted(
    answers: list[str], interrupted: bool
) -> None:
    """An attempt that the caller sent too late hides no interruption by the system."""
    active_load = load.Load()
    report = active_load.reports["fleet"] = caller.Report()
    report.request_records["fleet.1"] = caller.RequestRecord(
        method="POST", answers=answers
    )
    assert bool(invariants.interrupted_requests(active_load)) is interrupted
