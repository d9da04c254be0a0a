"""Pytest hooks: known failures, and the results of tests that are marked ``proof``.

``KNOWN-RED.txt`` lists tests that fail because of a known fault, one per line; the test
ID ends at the first `` | ``. These tests are deselected and printed. The results of
tests marked ``proof`` are written to ``out/proofs.json``, from which
``python -m testbed.proofs`` generates docs/PROOFS.md.
"""

import json
import pathlib

import hypothesis
import pytest

ROOT = pathlib.Path(__file__).parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
RESULTS = ROOT / "out" / "proofs.json"
MARKER = "proof(promise, fault, step): what a test proves, for docs/PROOFS.md"

PROOF_PROPERTY = "proof"
"""Name of the report property that holds the arguments of one mark as JSON."""

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=150
)
hypothesis.settings.register_profile(
    "fresh", deadline=None, max_examples=2_000, print_blob=True
)
hypothesis.settings.load_profile("fixed")
# --hypothesis-profile=fresh generates new random histories for the state machines.

_results: dict[str, dict[str, object]] = {}


def known_failures() -> list[str]:
    """Return the entries of KNOWN-RED.txt without comments and empty lines."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pytest_configure(config: pytest.Config) -> None:
    """Register the ``proof`` marker."""
    config.addinivalue_line("markers", MARKER)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests that are listed as known failures."""
    names = {entry.split(" | ")[0].strip() for entry in known_failures()}
    deselected = [item for item in items if item.nodeid in names]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in names]


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item: pytest.Item) -> None:
    """Attach the ``proof`` marks to the test report, which pytest-xdist transfers."""
    for mark in item.iter_markers("proof"):
        proof = {key: str(value) for key, value in mark.kwargs.items()}
        item.user_properties.append((PROOF_PROPERTY, json.dumps(proof, sort_keys=True)))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Record the outcome of each proof, including failed set-up and teardown."""
    proofs = [
        json.loads(str(value))
        for name, value in report.user_properties
        if name == PROOF_PROPERTY
    ]
    if not proofs or (report.when != "call" and report.passed):
        return
    _results[report.nodeid] = {"result": report.outcome, "proofs": proofs}


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Merge the results of this run's proofs into those of earlier runs."""
    if not _results or hasattr(session.config, "workerinput"):
        return
    earlier_results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(
        json.dumps({**earlier_results, **_results}, indent=1, sort_keys=True)
    )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print all known failures, whether or not this run collected them."""
    entries = known_failures()
    if not entries:
        return
    terminalreporter.section("known red, passed over")
    for entry in entries:
        terminalreporter.write_line(entry)
