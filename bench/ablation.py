"""Plays days with single mechanisms switched off, to see what each is worth.

Run it in the repository, with the path of the users' bench, a site file and its days:

    python -m bench.ablation BENCH SITE DAY... [--only NAME,...] [--seeds 1,2]

Each case is a scratch copy of the last commit in which one text is replaced, so that
the programs need no setting for it. All cases of a seed are played by turns, one day at
a time; the journal entries of the copies are added to the repository's.
"""

import dataclasses
import pathlib
import sys
import tempfile

import fire

from bench import compare

ENGINE = "plantainproxy/flows/engine"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replacement:
    """A text that occurs once in a file, and what takes its place."""

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Switch:
    """A mechanism and how it is switched off."""

    name: str
    replacements: tuple[Replacement, ...]


def _switch(name: str, file: str, old: str, new: str) -> Switch:
    replacement = Replacement(file=f"{ENGINE}/{file}.py", old=old, new=new)
    return Switch(name=name, replacements=(replacement,))


SWITCHES = (
    Switch(name="nothing", replacements=()),
    _switch(
        "held requests",
        "held_requests",
        "        engine.table.complete\n        and not engine.stopping",
        "        False\n        and not engine.stopping",
    ),
    _switch(
        "margin of held requests",
        "request_queue",
        "MARGIN_REQUESTS = 1",
        "MARGIN_REQUESTS = 0",
    ),
    _switch(
        "priority step",
        "request_queue",
        "PRIORITY_STEP_SECONDS = 0.15",
        "PRIORITY_STEP_SECONDS = 0.0",
    ),
    _switch(
        "release of the oldest",
        "request_queue",
        "OLDEST_RELEASE_INTERVAL = 32",
        "OLDEST_RELEASE_INTERVAL = 2**40",
    ),
    _switch(
        "callers by recent releases",
        "request_queue",
        "    excess = (released // (REGULAR_RELEASES + 1)).bit_length()",
        "    excess = 0 * released",
    ),
    _switch(
        "measured speed",
        "upstream_speed",
        "        upstream.speed_factor = factors.get(upstream.address, 1.0)",
        "        upstream.speed_factor = 1.0",
    ),
    _switch(
        "outlier ejection",
        "outlier_detection",
        "    return now < detector.ejected_until",
        "    return False",
    ),
    _switch(
        "own domain first",
        "placement",
        "CROSS_DOMAIN_PENALTY = 0.12",
        "CROSS_DOMAIN_PENALTY = 0.0",
    ),
    _switch(
        "eight candidates",
        "placement",
        "CANDIDATES_PER_POOL = 8",
        "CANDIDATES_PER_POOL = 2",
    ),
    _switch(
        "cold upstreams last", "placement", "COLD_PENALTY = 1.0", "COLD_PENALTY = 0.0"
    ),
    _switch(
        "budget of further placements",
        "openings",
        "    return hedging.has_credit(\n"
        "        engine.retry_budget, openings=engine.first_openings, now=now\n"
        "    )",
        "    return True",
    ),
    _switch(
        "order of queued openings",
        "waiting",
        "    return sorted(queue.openings.values(), key=rank)",
        "    return list(queue.openings.values())",
    ),
    _switch(
        "queue of openings",
        "openings",
        "    if is_unservable:",
        "    if True or is_unservable:",
    ),
    Switch(
        name="flow snapshots",
        replacements=(
            Replacement(
                file="plantainproxy/flows/stored/flow_snapshot.py",
                old="    if newest is None or current is None:",
                new="    if True or newest is None or current is None:",
            ),
        ),
    ),
)


def prepare(switch: Switch, copy: pathlib.Path) -> None:
    """Make a scratch copy of the last commit with one mechanism switched off."""
    compare.clone("HEAD", copy)
    for replacement in switch.replacements:
        path = copy / replacement.file
        text = path.read_text()
        count = text.count(replacement.old)
        if count != 1:
            raise ValueError(
                f"{switch.name}: the text occurs {count} times in {replacement.file}"
            )
        path.write_text(text.replace(replacement.old, replacement.new))


def run(
    bench: str,
    site: str,
    *days: str,
    only: str | tuple[str, ...] = (),
    seeds: int | tuple[int, ...] = (),
    no_cpu: bool = False,
) -> None:
    """Play the days for each case.

    Args:
        bench: Path of the bench's program.
        site: Path of the site file.
        days: Names of its days.
        only: Names of the mechanisms, separated by commas; all by default.
        seeds: Seeds of the days; their own by default.
        no_cpu: Whether processor time is not charged.

    """
    names = compare.split(only)
    known = {switch.name for switch in SWITCHES}
    if unknown := set(names) - known:
        print(f"unknown: {sorted(unknown)}, known: {sorted(known)}", file=sys.stderr)
        raise SystemExit(2)
    program, site_file = (
        str(pathlib.Path(bench).resolve()),
        str(pathlib.Path(site).resolve()),
    )
    compare.SCRATCH.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=compare.SCRATCH) as folder:
        copies = {}
        for number, switch in enumerate(SWITCHES):
            if not names or switch.name in names:
                copies[switch.name] = pathlib.Path(folder, str(number))
                prepare(switch, copies[switch.name])
        for seed_options in [["--seed", seed] for seed in compare.split(seeds)] or [[]]:
            options = seed_options + ["--no-cpu"] * no_cpu
            for day in days:
                for name, copy in copies.items():
                    row = compare.play(program, site_file, day, copy, options)
                    print(compare.render(name, row), flush=True)


if __name__ == "__main__":
    fire.Fire(run)
