"""Scores the sites that must hold, beside the figures of earlier scores.

Run it in the repository, with the path of the users' bench and of the site files:

    python -m bench.regression BENCH SITE [SITE ...] [--oldest SITE,...]

It prints the worth of each day, broken rules, and the worth in the latest earlier score
of the same site. The exit code is 1 if a rule is broken, a gate fails, a score does not
finish, or the mean worth of a site's standard days falls by more than 0.03.
"""

from collections import abc
import dataclasses
import json
import pathlib
import subprocess
import sys
import typing

import fire

JOURNAL = pathlib.Path("journal")
MAX_MEAN_FALL = 0.03
"""Fall of a site's mean worth that is within the noise of the bench."""
DEFAULT_JOBS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """Result of one day."""

    name: str
    worth: float
    broken_rules: tuple[str, ...]
    passed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Score:
    """Result of one site, from an entry of the journal."""

    site: str
    at: str
    """When the score began, in the bench's format."""
    finished: bool
    gate_passed: bool
    days: tuple[Day, ...]

    @property
    def mean_worth(self) -> float:
        """Mean worth of the standard days; 0 without any."""
        return sum(day.worth for day in self.days) / max(len(self.days), 1)


def parse_entry(entry: abc.Mapping[str, typing.Any]) -> Score:
    """Return the score in a journal entry; the day drawn by chance is left out."""
    return Score(
        site=entry["site"] or "",
        at=entry["at"][0],
        finished=entry["error"] is None,
        gate_passed=bool(entry["figures"].get("gate")),
        days=tuple(
            Day(
                name=day["name"],
                worth=day["G"],
                broken_rules=tuple(sorted(day["rules"])),
                passed=day["gate"] and not day["fault"],
            )
            for day in entry["days"]
            if day["slot"] != "fresh"
        ),
    )


def load_scores(journal: pathlib.Path, site: str) -> list[Score]:
    """Return the scores of a site in the journal, oldest first."""
    entries = [
        json.loads(path.read_text(encoding="utf-8"))
        for path in sorted(journal.glob("*.json"))
    ]
    return [
        parse_entry(entry)
        for entry in entries
        if entry["cmd"] == "score" and entry["site"] == site
    ]


def last_comparable(earlier: abc.Sequence[Score], score: Score) -> Score | None:
    """Return the latest finished score with the same days; ``None`` without one."""
    names = {day.name for day in score.days}
    return next(
        (
            candidate
            for candidate in reversed(earlier)
            if candidate.finished and {day.name for day in candidate.days} == names
        ),
        None,
    )


def failures(score: Score, before: Score | None) -> list[str]:
    """Return what fails the regression run of one site."""
    if not score.finished or not score.days:
        return [f"{score.site}: the score did not finish"]
    found = [
        f"{score.site} {day.name}: {rule} is broken"
        for day in score.days
        for rule in day.broken_rules
    ]
    if not score.gate_passed:
        found.append(f"{score.site}: the gate failed")
    if before is not None and before.mean_worth - score.mean_worth > MAX_MEAN_FALL:
        found.append(
            f"{score.site}: mean worth {score.mean_worth:.3f}, "
            f"before {before.mean_worth:.3f}"
        )
    return found


def render(score: Score, before: Score | None) -> str:
    """Return the table of one site."""
    worth_before = {day.name: day.worth for day in before.days} if before else {}
    rows = [f"{score.site}: mean {score.mean_worth:.3f}"]
    if before is not None:
        rows[0] += f", before {before.mean_worth:.3f} ({before.at})"
    for day in score.days:
        earlier = worth_before.get(day.name)
        shown = "-" if earlier is None else f"{earlier:.3f}"
        rules = ", ".join(day.broken_rules) or "no rule broken"
        rows.append(f"  {day.name:12} {day.worth:.3f} before {shown:5} {rules}")
    return "\n".join(rows)


def _score_site(bench: str, site_file: str, jobs: int, why: str) -> list[str]:
    """Score one site, print its table, and return its failures."""
    site = pathlib.Path(site_file).stem
    earlier = load_scores(JOURNAL, site)
    command = [bench, "score", site_file, "--jobs", str(jobs), "--why", why]
    completed = subprocess.run(command, check=False)
    scores = load_scores(JOURNAL, site)
    if len(scores) == len(earlier):
        return [f"{site}: no journal entry, exit code {completed.returncode}"]
    score = scores[-1]
    before = last_comparable(earlier, score)
    print(render(score, before), flush=True)
    return failures(score, before)


def run(
    bench: str,
    *sites: str,
    oldest: str | tuple[str, ...] = (),
    with_oldest: bool = False,
    jobs: int = DEFAULT_JOBS,
    why: str = "Regression run",
) -> None:
    """Score the sites one after another.

    Args:
        bench: Path of the bench's program.
        sites: Site files of the usual run.
        oldest: Site files, separated by commas, that only ``with_oldest`` plays.
        with_oldest: Whether to play the oldest sites, too.
        jobs: Days played at the same time.
        why: Reason that the journal states.

    """
    extra = (oldest,) if isinstance(oldest, str) else oldest
    found = [
        failure
        for site_file in (*sites, *(extra if with_oldest else ()))
        for failure in _score_site(bench, site_file, jobs, why)
    ]
    for failure in found:
        print(failure, file=sys.stderr)
    if found:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(run)
