"""Plays days of the users' bench with two or more commits by turns, and compares them.

Run it in the repository, with the path of the bench, the commits, and site files with
the names of their days:

    python -m bench.compare BENCH --commits OLD,NEW --days SITE:DAY,SITE:DAY

Each commit is played in a scratch copy of its own. The days of the first commit are
paired with those of each other one by site, day and seed. The journal entries of the
copies are added to the repository's.
"""

from collections import abc
import dataclasses
import itertools
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import typing

import fire

ROOT = pathlib.Path(__file__).resolve().parents[1]
JOURNAL = pathlib.Path("journal")
SCRATCH = ROOT / "out"
"""Parent of the scratch copies: the bench hides /tmp from the programs."""

Row = dict[str, typing.Any]
"""Result of one day as in a journal entry."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """Worth of the days of one commit, less those of the first one."""

    mean: float
    spread: float
    """Standard deviation of the differences; 0 for a single pair."""
    pairs: int


def clone(commit: str, copy: pathlib.Path) -> None:
    """Make a scratch copy of a commit without journal entries."""
    subprocess.run(
        ["git", "clone", "--quiet", "--shared", str(ROOT), str(copy)], check=True
    )
    subprocess.run(["git", "checkout", "--quiet", commit], cwd=copy, check=True)
    shutil.rmtree(copy / JOURNAL)


def play(
    bench: str, site: str, day: str, copy: pathlib.Path, options: abc.Sequence[str]
) -> Row:
    """Play a day in a copy and return its row of the journal entry."""
    before = set((copy / JOURNAL).glob("*.json"))
    subprocess.run(
        [bench, "run", site, day, *options],
        cwd=copy,
        check=False,
        stdout=subprocess.DEVNULL,
    )
    (entry,) = set((copy / JOURNAL).glob("*.json")) - before
    shutil.copytree(copy / JOURNAL, ROOT / JOURNAL, dirs_exist_ok=True)
    row: Row = json.loads(entry.read_text())["days"][0]
    return row


def render(name: str, row: Row) -> str:
    """Return one line about a day."""
    windows = next(part[2] for part in row["parts"] if part[0] == "worst windows")
    rules = row["rules"] or "no rule broken"
    return (
        f"{name:30} {row['name']:12} worth {row['G']:.3f} "
        f"worst windows {windows:.3f} served {row['served']:.3f} {rules}"
    )


def difference(old: abc.Sequence[float], new: abc.Sequence[float]) -> Difference:
    """Compare the worths of the same days in the same order."""
    changes = [after - before for before, after in zip(old, new, strict=True)]
    return Difference(
        mean=statistics.fmean(changes),
        spread=statistics.stdev(changes) if len(changes) > 1 else 0.0,
        pairs=len(changes),
    )


def split(value: typing.Any) -> list[str]:
    """Return the items of an argument that fire may have parsed as a list."""
    if isinstance(value, str):
        return [item for item in value.split(",") if item]
    if isinstance(value, abc.Iterable):
        return [str(item) for item in value]
    return [str(value)]


def _parse_day(text: str) -> tuple[str, str]:
    site, separator, day = text.rpartition(":")
    if not separator or not pathlib.Path(site).is_file():
        raise ValueError(f"{text!r}: expected SITE:DAY with the path of a site file")
    return str(pathlib.Path(site).resolve()), day


def run(
    bench: str,
    commits: str | tuple[str, ...],
    days: str | tuple[str, ...],
    seeds: str | int | tuple[int, ...] = "",
    no_cpu: bool = False,
    small: bool = False,
) -> None:
    """Play the days with each commit by turns, and print the paired differences.

    Args:
        bench: Path of the bench's program.
        commits: Two commits or more, separated by commas; the first is the old one.
        days: Days as ``SITE:DAY``, separated by commas.
        seeds: Seeds of the days; their own by default.
        no_cpu: Whether processor time is not charged.
        small: Whether small twins of the days are played.

    """
    names = split(commits)
    try:
        played_days = [_parse_day(text) for text in split(days)]
    except ValueError as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from error
    program = str(pathlib.Path(bench).resolve())
    flags = ["--no-cpu"] * no_cpu + ["--small"] * small
    seed_options = [["--seed", seed] for seed in split(seeds)] or [[]]
    worths: dict[str, list[float]] = {name: [] for name in names}
    SCRATCH.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=SCRATCH) as folder:
        copies = {name: pathlib.Path(folder, str(n)) for n, name in enumerate(names)}
        for name, copy in copies.items():
            clone(name, copy)
        for (site, day), options in itertools.product(played_days, seed_options):
            for name, copy in copies.items():
                row = play(program, site, day, copy, [*options, *flags])
                print(render(name, row), flush=True)
                worths[name].append(row["G"])
    for name in names[1:]:
        found = difference(worths[names[0]], worths[name])
        print(
            f"{name} less {names[0]}: mean {found.mean:+.4f}, "
            f"spread {found.spread:.4f}, pairs {found.pairs}"
        )


if __name__ == "__main__":
    fire.Fire(run)
