"""The commands that change the configuration."""

from collections.abc import Callable
import getpass
import pathlib
import time
import uuid

from plantainproxy import _exceptions
from plantainproxy.ctl import client, render, spread
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model

Apply = Callable[..., render.Result]


def operator_name(settings: model.ClientSettings) -> str:
    """Return the name for the audit trail."""
    return settings.operator or getpass.getuser()


def _propose(
    settings: model.ClientSettings, request: operator_pb2.ChangeRequest
) -> operator_pb2.ChangeReply:
    timeout_seconds = settings.call_timeout_seconds

    def run(stub: client.Stub) -> operator_pb2.ChangeReply:
        reply: operator_pb2.ChangeReply = stub.Change(request, timeout=timeout_seconds)
        return reply

    return client.call_any(settings, run)


def propose(
    settings: model.ClientSettings,
    request: operator_pb2.ChangeRequest,
    *,
    reason: str,
    wait: bool,
    dry_run: bool,
) -> render.Result:
    """Send one change; with ``wait``, return when it is in force everywhere."""
    request.change_id = uuid.uuid4().hex
    request.operator = operator_name(settings)
    request.reason = reason
    request.dry_run = dry_run
    if not request.expected_revision and not request.HasField("replace_all"):
        request.expected_revision = client.show(settings).revision
    started = time.monotonic()
    reply = _propose(settings, request)
    lines = list(reply.differences) or ["No difference."]
    if dry_run:
        lines.append("Dry run: nothing was changed.")
    elif reply.applied:
        lines.append(f"Accepted as revision {reply.revision}.")
    if wait and reply.applied:
        spread.wait_in_force(settings, reply.revision)
        elapsed_seconds = time.monotonic() - started
        lines.append(f"In force everywhere after {elapsed_seconds:.1f} s.")
    return render.Result(
        lines=tuple(lines),
        fields=(("revision", reply.revision), ("applied", reply.applied)),
    )


def read_file(path: str) -> str:
    """Read a configuration file or raise the right kind of error."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_CONFIGURATION, f"{path}: {error}"
        ) from None
