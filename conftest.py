"""Hooks for all tests: known failures, and the record of what each proof showed.

``KNOWN-RED.txt`` lists tests that fail for a real fault, one a line before the first
`` | ``. They are passed over and printed. Tests marked ``proof`` write their results to
``out/proofs.json``, from which ``python -m testbed.proofs`` makes docs/PROOFS.md.
"""

import json
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULTS = ROOT / "out" / "proofs.json"
MARKER = "proof(promise, fault, step): what a test proves, for docs/PROOFS.md"

_results: dict[str, dict[str, object]] = {}


def known_red() -> list[str]:
    """Return the entries of the list of known failures."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pytest_configure(config: pytest.Config) -> None:
    """Declare the marker."""
    config.addinivalue_line("markers", MARKER)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over exactly the tests that the list names."""
    names = {entry.split(" | ")[0].strip() for entry in known_red()}
    passed_over = [item for item in items if item.nodeid in names]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in names]


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]):  # type: ignore[no-untyped-def]  # noqa: ANN201
    """Remember how each proof ended."""
    outcome = yield
    report = outcome.get_result()
    marks = list(item.iter_markers("proof"))
    if not marks or (report.when != "call" and report.passed):
        return
    proofs = [{key: str(value) for key, value in mark.kwargs.items()} for mark in marks]
    _results[item.nodeid] = {"result": report.outcome, "proofs": proofs}


def pytest_sessionfinish() -> None:
    """Write the results of this run's proofs over those of earlier runs."""
    if not _results:
        return
    held = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps({**held, **_results}, indent=1, sort_keys=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures."""
    entries = known_red()
    if not entries:
        return
    terminalreporter.section("known red, passed over")
    for entry in entries:
        terminalreporter.write_line(entry)
