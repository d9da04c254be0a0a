"""Hooks for all tests: known failures, and the record of what each proof showed.

``KNOWN-RED.txt`` lists tests that fail for a real fault, one a line before the first
`` | ``. They are passed over and printed. Tests marked ``proof`` write their results to
``out/proofs.json``, from which ``python -m testbed.proofs`` makes docs/PROOFS.md.
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
"""The name of a report's property that carries one mark as JSON."""

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=150
)
hypothesis.settings.register_profile(
    "fresh", deadline=None, max_examples=2_000, print_blob=True
)
hypothesis.settings.load_profile("fixed")
# --hypothesis-profile=fresh draws new histories for the state machines.

_results: dict[str, dict[str, object]] = {}


def known_failures() -> list[str]:
    """Return the entries of the list of known failures."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pytest_configure(config: pytest.Config) -> None:
    """Declare the marker."""
    config.addinivalue_line("markers", MARKER)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over exactly the tests that the list names."""
    names = {entry.split(" | ")[0].strip() for entry in known_failures()}
    deselected = [item for item in items if item.nodeid in names]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in names]


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item: pytest.Item) -> None:
    """Let the marks of a proof travel with its report, also between processes."""
    for mark in item.iter_markers("proof"):
        proof = {key: str(value) for key, value in mark.kwargs.items()}
        item.user_properties.append((PROOF_PROPERTY, json.dumps(proof, sort_keys=True)))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Remember how each proof ended; a failed set-up or clean-up counts, too."""
    proofs = [
        json.loads(str(value))
        for name, value in report.user_properties
        if name == PROOF_PROPERTY
    ]
    if not proofs or (report.when != "call" and report.passed):
        return
    _results[report.nodeid] = {"result": report.outcome, "proofs": proofs}


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Write the results of this run's proofs over those of earlier runs."""
    if not _results or hasattr(session.config, "workerinput"):
        return
    earlier_results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(
        json.dumps({**earlier_results, **_results}, indent=1, sort_keys=True)
    )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures."""
    entries = known_failures()
    if not entries:
        return
    terminalreporter.section("known red, passed over")
    for entry in entries:
        terminalreporter.write_line(entry)
