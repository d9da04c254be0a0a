"""Submission of configuration changes, shared by all commands that make one."""

from collections import abc
import dataclasses
import getpass
import pathlib
import sys
import time
import uuid

from plantainproxy import _exceptions
from plantainproxy.ctl import client, fleet_status, render
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options that every change accepts."""

    reason: str = ""
    """Why the change is made, for the audit trail."""
    wait: bool = False
    """Return only when the change is active on every process."""
    dry_run: bool = False
    """Report the differences without applying them."""


def operator_name(settings: model.ClientSettings) -> str:
    """Return the operator name for the audit trail, by default the login name."""
    return settings.operator or getpass.getuser()


def print_notices(sentences: abc.Sequence[str]) -> None:
    """Print notices to standard error; standard output is reserved for the result."""
    for sentence in sentences:
        print(sentence, file=sys.stderr)


def _send_change(
    settings: model.ClientSettings, request: operator_pb2.ChangeRequest
) -> operator_pb2.ChangeReply:
    timeout_seconds = settings.call_timeout_seconds

    def run(stub: client.Stub) -> operator_pb2.ChangeReply:
        reply: operator_pb2.ChangeReply = stub.Change(request, timeout=timeout_seconds)
        return reply

    try:
        return client.call_any(settings, run)
    except _exceptions.PlantainError as error:
        raise add_advice(error) from None


def add_advice(error: _exceptions.PlantainError) -> _exceptions.PlantainError:
    """Return the error of a failed change with advice on what to do next.

    Advice is added when the store is unavailable or the outcome is unknown; other
    errors are returned as they are.
    """
    if error.kind is _exceptions.ErrorKind.STORE_UNAVAILABLE:
        advice = f"The change is not accepted. {client.STORE_OUTAGE_NOTE}"
    elif error.kind is _exceptions.ErrorKind.CHANGE_UNKNOWN:
        advice = "Check plantainctl show and audit before trying again."
    else:
        return error
    return _exceptions.PlantainError(error.kind, f"{advice} ({error.detail})")


def preview(
    settings: model.ClientSettings, request: operator_pb2.ChangeRequest
) -> operator_pb2.ChangeReply:
    """Return the differences that a change would make, without applying it."""
    dry_run_request = operator_pb2.ChangeRequest()
    dry_run_request.CopyFrom(request)
    dry_run_request.dry_run = True
    return _send_change(settings, dry_run_request)


def propose(
    settings: model.ClientSettings,
    request: operator_pb2.ChangeRequest,
    options: Options,
) -> render.Result:
    """Submit one change; with ``options.wait``, block until it is active everywhere.

    Unless the request replaces the full configuration or sets an expected revision,
    it expects the active revision, so a concurrent change leads to a conflict.
    """
    request.change_id = uuid.uuid4().hex
    request.operator = operator_name(settings)
    request.reason = options.reason
    request.dry_run = options.dry_run
    if not request.expected_revision and not request.HasField("replace_all"):
        request.expected_revision = client.show(settings).revision
    started = time.monotonic()
    reply = _send_change(settings, request)
    lines = list(reply.differences) or ["No difference."]
    if options.dry_run:
        lines.append("Dry run: nothing was changed.")
    elif reply.applied:
        lines.append(f"Accepted as revision {reply.revision}.")
    if options.wait and not options.dry_run:
        fleet_status.wait_until_active(settings, reply.revision)
        elapsed_seconds = time.monotonic() - started
        lines.append(f"Active everywhere after {elapsed_seconds:.1f} s.")
    return render.Result(
        lines=tuple(lines),
        fields=(
            ("revision", reply.revision),
            ("applied", reply.applied),
            ("differences", list(reply.differences)),
        ),
    )


def replace_all_request(path: str, *, expect: int) -> operator_pb2.ChangeRequest:
    """Build the request that replaces the full configuration with a TOML file."""
    return operator_pb2.ChangeRequest(
        expected_revision=expect,
        replace_all=operator_pb2.ReplaceAll(toml=read_file(path)),
    )


def read_file(path: str) -> str:
    """Return the text of a configuration file.

    Raise ``PlantainError`` of kind ``INVALID_CONFIGURATION`` when the file cannot be
    read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION, f"{path}: {error}"
        ) from None
