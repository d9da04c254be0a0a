"""Runs every command of ``plantainctl`` against one running site."""

from collections import abc
import contextlib
import io
import json
import pathlib
import sys

import pytest
import trio

from plantainproxy import _exceptions
from plantainproxy.config import parse
from plantainproxy.ctl import main
from testbed import cluster as cluster_module
from testbed import controls, site

TEST_TIMEOUT_SECONDS = 120
PLAN = site.Site(
    domains=("a", "b"),
    pools=(site.PoolPlan(name="mowers", hosts=2, slots=2),),
    balancers=2,
)
OK = 0
USAGE = _exceptions.ANSWERS[_exceptions.ErrorKind.USAGE].exit_code
NOT_FOUND = _exceptions.ANSWERS[_exceptions.ErrorKind.NOT_FOUND].exit_code
CONFLICT = _exceptions.ANSWERS[_exceptions.ErrorKind.CONFLICT].exit_code
INVALID = _exceptions.ANSWERS[_exceptions.ErrorKind.INVALID_CONFIGURATION].exit_code
NO_STORE = _exceptions.ANSWERS[_exceptions.ErrorKind.STORE_UNAVAILABLE].exit_code
NO_PEER = _exceptions.ANSWERS[_exceptions.ErrorKind.PEER_UNAVAILABLE].exit_code
BAD_REQUEST = _exceptions.ANSWERS[_exceptions.ErrorKind.BAD_REQUEST].exit_code

STEPS = [
    ("status", OK, "Lagging: none."),
    ("show", OK, 'name = "mowers"'),
    ("check {file}", OK, "is valid: 1 routes, 1 pools, 2 domains, 0 drained."),
    ("diff {file}", OK, "No difference."),
    ("route list", OK, "mowers"),
    ("route show mowers", OK, "pool: mowers"),
    ("route show nobody", NOT_FOUND, "nobody"),
    ("route set more {spare} mowers --wait", OK, "Active everywhere"),
    (
        "route set more {service} mowers --dry-run",
        INVALID,
        "connections of callers to it",
    ),
    ("route remove more --dry-run", OK, "gets no answers any more"),
    ("route remove more --reason unused", OK, "route more removed"),
    ("pool set spare --max-running 3", OK, "pool spare added: max_running 3"),
    ("pool show spare", OK, "max_running: 3"),
    ("pool set spare --max-running many", USAGE, "wrong type"),
    ("pool list", OK, "spare"),
    ("pool remove mowers", INVALID, "expected no route to use it"),
    ("pool remove spare", OK, "its upstreams get no more work"),
    ("domain set c 3", OK, "domain c added: number 3"),
    ("domain show c", OK, "number: 3"),
    ("domain set c 4", INVALID, "the number that failure domain 'c' has"),
    ("domain remove c", OK, "domain c removed"),
    ("domain out b --dry-run", OK, "1 balancers leave service, 1 upstreams get no"),
    ("domain list", OK, "b     2       in"),
    ("domain out b --reason work --wait", OK, "state in -> out"),
    ("status", OK, "out of service"),
    ("domain in b --wait", OK, "state out -> in"),
    ("domain out nowhere", NOT_FOUND, "nowhere"),
    ("drain {upstream} --wait", OK, "gets no new connections and no new requests"),
    ("status", OK, "drained"),
    ("explain {service}", OK, "is not: operators drain it"),
    ("explain {service} --flow 00112233445566aa", OK, "The line's slot belongs to"),
    ("explain {service} --flow xyz", BAD_REQUEST, "hexadecimal"),
    ("explain {spare}", NOT_FOUND, "No route has address"),
    ("undrain {upstream} --wait", OK, "removed"),
    ("undrain {upstream}", NOT_FOUND, "drained upstream"),
    ("audit --object b --limit 1", OK, "Next page: --before"),
    ("audit --object b", OK, "work"),
    ("audit --since soon", USAGE, "ISO 8601"),
    ("keys rotate --dry-run", OK, "Next step: A new key is added"),
    ("keys rotate --reason yearly --wait", OK, "Active everywhere."),
    ("keys rotate --wait", OK, "The newest key is in use."),
    ("keys rotate --wait", OK, "The old keys are dropped."),
    ("audit --keys", OK, "yearly"),
    ("apply {file} --expect 1", CONFLICT, "Expected revision 1"),
    ("apply {file} --wait", OK, "No difference."),
    ("rout list", USAGE, "did you mean 'route'?"),
    ("drain", USAGE, "also needs UPSTREAM"),
    ("drain a b c d e f", USAGE, "Too many arguments"),
    ("drain x --wiat", USAGE, "did you mean '--wait'?"),
    ("drain --help", OK, "--dry-run"),
    ("domain --help", OK, "Bring a failure domain back in."),
]
STEPS_WITHOUT_STORE = [
    ("drain {upstream}", NO_STORE, "The change is not accepted."),
    ("keys rotate", NO_STORE, "The change is not accepted."),
    ("apply {file}", NO_STORE, "status, show and explain still work"),
    ("audit", NO_STORE, "status, show and explain still work"),
    ("status", OK, "Lagging: none."),
    ("show", OK, 'name = "mowers"'),
    ("explain {service}", OK, "2 of 2 known upstreams are eligible."),
]


def run(arguments: abc.Sequence[str]) -> tuple[int, str, str]:
    """Run ``plantainctl`` in this process; return exit code, stdout and stderr."""
    out, error = io.StringIO(), io.StringIO()
    original_argv = sys.argv
    code = OK
    sys.argv = ["plantainctl", *arguments]
    try:
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
            main.main()
    except SystemExit as exit_error:
        code = int(exit_error.code or OK)
    finally:
        sys.argv = original_argv
    return code, out.getvalue(), error.getvalue()


def _check_step(
    settings: str, command_line: str, code: int, expected_text: str
) -> None:
    result = run([f"--settings={settings}", *command_line.split()])
    assert result[0] == code, f"{command_line}: expected code {code}, got {result}"
    assert expected_text in result[1] + result[2], (
        f"{command_line}: expected {expected_text!r} in the output, got {result}"
    )


def _check_json(settings: str, command_line: str, code: int) -> None:
    """Check that the last line of the JSON output is an object, also for an error."""
    result = run([f"--settings={settings}", "--output=json", *command_line.split()])
    assert result[0] == code, f"{command_line}: expected code {code}, got {result}"
    last = (result[1] or result[2]).splitlines()[-1]
    assert isinstance(json.loads(last), dict)


Fill = abc.Callable[[str], str]


async def _run_steps(
    settings: str, fill: Fill, steps: abc.Sequence[tuple[str, int, str]]
) -> None:
    for command_line, code, expected_text in steps:
        await trio.to_thread.run_sync(
            _check_step, settings, fill(command_line), code, expected_text
        )
        if command_line.split()[0] in (
            "status",
            "show",
            "audit",
            "explain",
            "check",
            "diff",
        ):
            await trio.to_thread.run_sync(
                _check_json, settings, fill(command_line), code
            )


def _write_files(cluster: cluster_module.Cluster) -> tuple[pathlib.Path, pathlib.Path]:
    settings = cluster.directory / "plantainctl.toml"
    balancers = ", ".join(f'"{balancer.rpc}"' for balancer in cluster.balancers)
    settings.write_text(f'balancers = [{balancers}]\noperator = "tester"\n')
    file = cluster.directory / "configuration.toml"
    file.write_text(parse.render(cluster_module.build_configuration(cluster)))
    return settings, file


async def _scenario() -> None:
    async with cluster_module.running_cluster(PLAN) as cluster:
        settings, file = _write_files(cluster)
        placeholders = {
            "file": str(file),
            "service": str(cluster.services["mowers"]),
            "upstream": str(cluster.hosts[0].tunnel),
            "spare": f"{cluster.allocate_host()}:4433",
        }

        def fill(command_line: str) -> str:
            return command_line.format(**placeholders)

        await _run_steps(str(settings), fill, STEPS)
        for outage in ("refused", "silent"):
            await controls.set_store_faults(cluster, down=outage)
            await _run_steps(str(settings), fill, STEPS_WITHOUT_STORE)


def test_every_command_answers_as_documented() -> None:
    """Exit codes and messages are as documented, with and without the store."""

    async def run_with_timeout() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await _scenario()

    trio.run(run_with_timeout)


def test_a_file_is_checked_without_settings_and_without_a_balancer(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """``check`` works on a machine that has only the file."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "good.toml").write_text('[[domains]]\nname = "a"\nnumber = 1\n')
    (tmp_path / "bad.toml").write_text('[[domains]]\nname = "a"\nnumber = 300\n')
    assert run(["check", "good.toml"])[0] == OK
    code, _, error = run(["check", "bad.toml"])
    assert code == INVALID
    assert "bad.toml: domains[0].number" in error


def test_unreachable_balancers_have_an_exit_code_of_their_own(
    tmp_path: pathlib.Path,
) -> None:
    """The exit code differs from that of a rejected change."""
    settings = tmp_path / "plantainctl.toml"
    settings.write_text('balancers = ["127.0.0.1:1"]\ncall_timeout_seconds = 2.0\n')
    assert run([f"--settings={settings}", "show"])[0] == NO_PEER
