"""The documents match the programs: runbooks, links, metrics, settings, exit codes."""

from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest

from plantainproxy import _exceptions
from plantainproxy.settings import model
from plantainproxy.telemetry import names
from testbed import cluster as cluster_module
from testbed import processes, serve

COMMAND_TIMEOUT_SECONDS = 60
SITE_STOP_TIMEOUT_SECONDS = 60
DOCUMENTS = sorted([processes.ROOT / "README.md", *processes.ROOT.glob("docs/**/*.md")])
OPERATIONS = processes.ROOT / "docs" / "OPERATIONS.md"
PROGRAMS = {
    "plantainctl": "plantainproxy.ctl.main",
    "plantain-balancer": "plantainproxy.balancer.main",
    "plantain-sidecar": "plantainproxy.sidecar.main",
}
CONSOLE_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
EXIT_CODE = re.compile(r"# exit code (\d+)$")
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
LOCAL_REFERENCES = re.compile(
    r"/home/|/work/|/tmp/|/root/|pypi|index-url|proxy\.golang"
)
COMMAND_END_MARKER = "runbook-line-ended"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A command of a console block with the exit code that the document states."""

    command: str
    exit_code: int


def parse_runbook(text: str) -> list[Step]:
    """Return the commands of a document's console blocks, in document order."""
    steps = []
    for block in CONSOLE_BLOCK.findall(text):
        for line in block.splitlines():
            if not line.startswith("$ "):
                continue
            code_match = EXIT_CODE.search(line)
            code = int(code_match.group(1)) if code_match else 0
            steps.append(Step(command=line.removeprefix("$ "), exit_code=code))
    return steps


def _write_launchers(directory: pathlib.Path) -> None:
    """Write launchers that run this checkout's modules as the installed programs."""
    directory.mkdir()
    for name, module in PROGRAMS.items():
        path = directory / name
        path.write_text(f'#!/bin/sh\nexec "{sys.executable}" -m {module} "$@"\n')
        path.chmod(0o755)


@contextlib.contextmanager
def _site(directory: pathlib.Path, network: str) -> abc.Iterator[None]:
    """Run the site of the README on a loopback network that no other test uses."""
    arguments = [f"--directory={directory / 'out/site'}", f"--network={network}"]
    site_process = subprocess.Popen(
        [sys.executable, "-m", "testbed.serve", *arguments],
        cwd=processes.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert site_process.stdout is not None
        assert any(line.startswith("ready") for line in site_process.stdout)
        yield
    finally:
        site_process.send_signal(signal.SIGINT)
        site_process.wait(SITE_STOP_TIMEOUT_SECONDS)


@contextlib.contextmanager
def _shell(directory: pathlib.Path) -> abc.Iterator[subprocess.Popen[str]]:
    environment = {
        **os.environ,
        "PATH": f"{directory / 'bin'}:{os.environ['PATH']}",
        "PYTHONPATH": str(processes.ROOT),
    }
    shell = subprocess.Popen(
        ["bash"],
        cwd=directory,
        env=environment,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        yield shell
    finally:
        assert shell.stdin is not None
        shell.stdin.write("\nkill -KILL $(jobs -p) 2>/dev/null\nexit\n")
        shell.stdin.close()
        shell.wait(COMMAND_TIMEOUT_SECONDS)


def _run_command(shell: subprocess.Popen[str], command: str) -> tuple[int, str]:
    """Run a command in the shell; return its exit code and output."""
    assert shell.stdin is not None
    assert shell.stdout is not None
    shell.stdin.write(f"{command}\necho {COMMAND_END_MARKER} $?\n")
    shell.stdin.flush()
    output: list[str] = []
    for line in shell.stdout:
        before, marker, code = line.partition(COMMAND_END_MARKER)
        output.append(before)
        if marker:
            return int(code), "".join(output)
    raise AssertionError(f"the shell exited while it ran: {command}")


def _run_steps(
    shell: subprocess.Popen[str], steps: abc.Sequence[Step], network: str
) -> None:
    for step in steps:
        command = step.command.replace(serve.DEFAULT_NETWORK, network)
        started = time.monotonic()
        code, output = _run_command(shell, command)
        elapsed_seconds = time.monotonic() - started
        print(f"{elapsed_seconds:5.1f} s  {command}")
        assert code == step.exit_code, (
            f"{command}: exit code {code}, expected {step.exit_code}\n{output}"
        )
        assert elapsed_seconds < COMMAND_TIMEOUT_SECONDS, (
            f"{command}: {elapsed_seconds:.1f} s, limit {COMMAND_TIMEOUT_SECONDS} s"
        )


def test_the_runbooks_can_be_followed_word_for_word(tmp_path: pathlib.Path) -> None:
    """Each command of OPERATIONS.md exits as stated, in order, on one site."""
    steps = parse_runbook(OPERATIONS.read_text())
    assert len(steps) > len(PROGRAMS)
    network = cluster_module.find_free_network()
    _write_launchers(tmp_path / "bin")
    with _site(tmp_path, network), _shell(tmp_path) as shell:
        _run_steps(shell, steps, network)


def test_a_runbook_states_exit_codes_other_than_zero() -> None:
    """Output lines and blocks of other languages are not parsed as commands."""
    text = "```console\n$ a b\noutput\n$ c   # exit code 26\n```\n```toml\n$ d\n```\n"
    assert parse_runbook(text) == [
        Step(command="a b", exit_code=0),
        Step(command="c   # exit code 26", exit_code=26),
    ]


@pytest.mark.parametrize("document", DOCUMENTS, ids=lambda path: path.name)
def test_links_resolve_and_no_local_paths_are_named(
    document: pathlib.Path,
) -> None:
    """Relative links resolve, and no path or package index of one machine appears."""
    text = document.read_text()
    for target in LINK.findall(text):
        if "://" not in target:
            assert (document.parent / target).exists(), (
                f"{document}: link target {target} does not exist"
            )
    assert LOCAL_REFERENCES.findall(text) == []


def test_the_metrics_document_holds_the_closed_list() -> None:
    """The table of METRICS.md equals the output of ``telemetry.names``."""
    text = (processes.ROOT / "docs" / "METRICS.md").read_text()
    assert text.endswith(f"\n\n{names.render()}\n")


@pytest.mark.parametrize(
    ("example", "settings_type"),
    [
        ("balancer", model.BalancerSettings),
        ("sidecar", model.SidecarSettings),
        ("plantainctl", model.ClientSettings),
    ],
)
def test_every_setting_is_documented(example: str, settings_type: type) -> None:
    """Each key appears in the example settings of its program."""
    text = (processes.ROOT / "examples" / f"{example}.toml").read_text()
    for field in dataclasses.fields(settings_type):
        nested_type = getattr(model, field.name.capitalize(), None)
        if field.name == "store":
            nested_type = model.StoreSettings
        documented_fields = (
            dataclasses.fields(nested_type) if nested_type is not None else (field,)
        )
        for key in documented_fields:
            assert re.search(rf"^(# )?{key.name} = ", text, re.MULTILINE), (
                f"{example}.toml has no setting {key.name}"
            )


def test_the_documented_exit_codes_are_those_of_the_table() -> None:
    """Each exit code of CONFIGURATION.md equals that of its error kind."""
    text = (processes.ROOT / "docs" / "CONFIGURATION.md").read_text()
    documented = re.findall(r"^\| (\d+) \| `([a-z-]+)` \|", text, re.MULTILINE)
    assert len(documented) > 1
    for code, kind in documented:
        answer = _exceptions.ANSWERS[_exceptions.ErrorKind(kind)]
        assert answer.exit_code == int(code), (
            f"{kind}: documented exit code {code}, expected {answer.exit_code}"
        )
