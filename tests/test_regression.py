"""Tests of the regression run's verdicts on journal entries."""

import json
import pathlib
import typing

import pytest

from bench import regression


def make_entry(
    worths: dict[str, float],
    *,
    rules: tuple[str, ...] = (),
    gate: bool = True,
    error: str | None = None,
    at: str = "2026-01-01T00:00:00Z",
) -> dict[str, typing.Any]:
    """Return a journal entry of a score, with the bench's field names."""
    return {
        "cmd": "score",
        "site": "site-a",
        "at": [at, ""],
        "error": error,
        "figures": {"gate": 1.0} if gate else {},
        "days": [
            {
                "name": name,
                "G": worth,
                "slot": "fresh" if name == "fresh" else "quiet",
                "rules": dict.fromkeys(rules, 1),
                "gate": gate,
                "fault": None,
            }
            for name, worth in worths.items()
        ],
    }


BEFORE = regression.parse_entry(make_entry({"quiet-1": 0.9, "scale-1": 0.8}))


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        (make_entry({"quiet-1": 0.88, "scale-1": 0.77}), []),
        (make_entry({"quiet-1": 0.9, "scale-1": 0.7}), ["mean worth 0.800"]),
        (make_entry({"quiet-1": 0.9}, rules=("FLOW",)), ["FLOW is broken"]),
        (make_entry({"quiet-1": 0.9}, gate=False), ["the gate failed"]),
        (make_entry({}, error="the run did not finish"), ["did not finish"]),
    ],
)
def test_a_broken_rule_a_gate_or_a_lower_mean_fails_the_run(
    entry: dict[str, typing.Any], expected: list[str]
) -> None:
    """A fall of the mean within the noise does not."""
    found = regression.failures(regression.parse_entry(entry), BEFORE)
    assert len(found) == len(expected)
    for failure, words in zip(found, expected, strict=True):
        assert words in failure


def test_the_latest_finished_score_of_the_same_days_is_compared(
    tmp_path: pathlib.Path,
) -> None:
    """Quick scores and those that were ended are not comparable."""
    entries = [
        make_entry({"quiet-1": 0.5, "scale-1": 0.5}),
        make_entry({"quiet-1": 0.6, "scale-1": 0.6, "fresh": 0.1}),
        make_entry({"quiet-1": 0.7}),
        make_entry({"quiet-1": 0.8, "scale-1": 0.8}, error="ended"),
    ]
    for number, entry in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(entry))
    scores = regression.load_scores(tmp_path, "site-a")
    score = regression.parse_entry(make_entry({"quiet-1": 0.9, "scale-1": 0.9}))
    before = regression.last_comparable(scores, score)
    assert before is not None
    assert before.mean_worth == pytest.approx(0.6)
    assert "quiet-1      0.900 before 0.600 no rule broken" in regression.render(
        score, before
    )
    assert regression.load_scores(tmp_path, "site-b") == []
