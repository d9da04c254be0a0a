"""Commands on the shared key set."""

from collections import abc
import uuid

from plantainproxy import _exceptions
from plantainproxy.ctl import changes, client, fleet_status, render
from plantainproxy.rpc import operator_pb2
from plantainproxy.settings import model


def _converged_key_revision(settings: model.ClientSettings) -> int:
    """Return the key revision that is active on every process.

    Raise ``PlantainError`` of kind ``CONFLICT`` while a process lags behind.
    """
    fleet = fleet_status.query_fleet(settings)
    newest_revision = max(fleet_status.key_revisions(fleet).values(), default=0)
    lagging_addresses = fleet_status.lagging(
        fleet, newest_revision, revisions_of=fleet_status.key_revisions
    )
    if lagging_addresses:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.CONFLICT,
            f"Key revision {newest_revision} is not yet active on "
            f"{', '.join(lagging_addresses)}; "
            "the next step is possible once it is.",
        )
    return newest_revision


def commands(
    read: client.ReadSettings,
) -> abc.Mapping[str, abc.Callable[..., render.Result]]:
    """Return the commands on the key set by name."""

    def rotate(
        reason: str = "", wait: bool = False, dry_run: bool = False
    ) -> render.Result:
        """Take the next step of a key rotation: add, make current, drop old keys.

        A step is refused while any process lacks the previous step.
        """
        settings = read()
        request = operator_pb2.RotateKeysRequest(
            operator=changes.operator_name(settings),
            dry_run=dry_run,
            change_id=uuid.uuid4().hex,
            reason=str(reason),
            expected_key_revision=_converged_key_revision(settings),
        )
        try:
            reply = client.call_any(
                settings,
                lambda stub: stub.RotateKeys(
                    request, timeout=settings.call_timeout_seconds
                ),
            )
        except _exceptions.PlantainError as error:
            raise changes.add_advice(error) from None
        lines = [reply.step]
        if wait and not dry_run:
            fleet_status.wait_until_active(
                settings, reply.key_revision, revisions_of=fleet_status.key_revisions
            )
            lines.append("Active everywhere.")
        return render.Result(
            lines=tuple(lines), fields=(("key_revision", reply.key_revision),)
        )

    return {"rotate": rotate}
