"""Generates docs/PROOFS.md from the results of the last test run.

Run ``python -m pytest`` and then ``python -m testbed.proofs``.
"""

from collections import abc
import dataclasses
import json
import pathlib
import typing

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "out" / "proofs.json"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FIELD_FAULTS = ROOT / "docs" / "FIELD_FAULTS.md"
UNPROVED = ROOT / "docs" / "UNPROVED.md"
OUTPUT = ROOT / "docs" / "PROOFS.md"

PROMISES = {
    1: "An established flow survives any planned change, unless its failure domain "
    "is taken out.",
    2: "A packet meant for one service never reaches another.",
    3: "An upstream that has just started receives no more than it can handle.",
    4: "A failure domain taken out receives no packets after a few seconds.",
    5: "A caller receives the whole answer to its own request.",
    6: 'A refusal that says "not run" is true.',
    7: "A request that must not be repeated runs at most once.",
    8: "An upstream that is leaving receives no new work after a few seconds.",
    9: "Every planned stop is graceful and cuts no request.",
    10: "An accepted configuration is active everywhere and never reverts.",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Row:
    """One row of a promise's table: a proof and the result of its test."""

    promise: int
    fault: str
    step: str
    test: str
    result: str


def rows(results: abc.Mapping[str, typing.Any]) -> abc.Iterator[Row]:
    """Return one row for each ``proof`` mark of each test."""
    for test, entry in results.items():
        for proof in entry["proofs"]:
            yield Row(
                promise=int(proof["promise"]),
                fault=proof.get("fault", ""),
                step=proof.get("step", ""),
                test=test,
                result=entry["result"],
            )


def render(results: abc.Mapping[str, typing.Any]) -> str:
    """Return the whole page as Markdown."""
    lines = [
        "# Proofs",
        "",
        "Made by `python -m testbed.proofs` from the results of `python -m pytest`.",
        "Tests under `tests/` run real processes; the others run parts of the product.",
        "",
    ]
    sorted_rows = sorted(rows(results))
    for number, sentence in PROMISES.items():
        lines += [f"## {number}. {sentence}", ""]
        promise_rows = [row for row in sorted_rows if row.promise == number]
        if not promise_rows:
            lines += ["No test has a proof mark for this promise yet.", ""]
            continue
        lines += ["| fault | step | test | result |", "|---|---|---|---|"]
        lines += [
            f"| {row.fault} | {row.step} | `{row.test}` | {row.result} |"
            for row in promise_rows
        ]
        lines.append("")
    lines += ["## Known red", ""]
    known_red = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    lines += [known_red.strip() or "None.", ""]
    lines += [
        page.read_text(encoding="utf-8")
        for page in (FIELD_FAULTS, UNPROVED)
        if page.exists()
    ]
    return "\n".join(lines)


def main() -> None:
    """Render the results and write the page."""
    OUTPUT.write_text(render(json.loads(RESULTS.read_text())), encoding="utf-8")
    print(f"Wrote {OUTPUT.relative_to(ROOT)}.")


if __name__ == "__main__":
    main()
