"""The commands on the shared key set."""

from collections import abc
import uuid

from plantainproxy import _exceptions
from plantainproxy.ctl import changes, client, render, spread
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model


def _present_revision(settings: model.ClientSettings) -> int:
    """Return the key revision that every process has; refuse while one lags."""
    fleet = spread.ask_fleet(settings)
    newest = max(spread.key_revisions(fleet).values(), default=0)
    behind = spread.lagging(fleet, newest, of=spread.key_revisions)
    if behind:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.CONFLICT,
            f"Key revision {newest} is not yet in force on {', '.join(behind)}; "
            "the next step has to wait for it.",
        )
    return newest


def commands(
    read: client.ReadSettings,
) -> abc.Mapping[str, abc.Callable[..., render.Result]]:
    """Return the commands by name."""

    def rotate(
        reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Take the next step of a key rotation: add, make current, drop the old.

        A step is refused while a process lacks the step before it.
        """
        settings = read()
        request = operator_pb2.RotateKeysRequest(
            operator=changes.operator_name(settings),
            dry_run=dry_run,
            change_id=uuid.uuid4().hex,
            reason=str(reason),
            expected_key_revision=_present_revision(settings),
        )
        try:
            reply = client.call_any(
                settings,
                lambda stub: stub.RotateKeys(
                    request, timeout=settings.call_timeout_seconds
                ),
            )
        except _exceptions.PlantainError as error:
            raise changes.explained(error) from None
        lines = [reply.step]
        if wait and not dry_run:
            spread.wait_in_force(settings, reply.key_revision, of=spread.key_revisions)
            lines.append("In force everywhere.")
        return render.Result(
            lines=tuple(lines), fields=(("key_revision", reply.key_revision),)
        )

    return {"rotate": rotate}
