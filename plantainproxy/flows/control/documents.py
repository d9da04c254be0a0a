"""The store's documents in one process: the policy and the list of sidecars.

A process follows the store itself, or leaves that to the relays of its domain and pulls
what they announce. Both ways lead to the same rule: a document is only ever replaced by
one of a higher order, in which the era of the store comes before the revision, and the
operators' version of a policy before both.
"""

from collections import abc

import msgspec

from plantainproxy import _types
from plantainproxy.flows import event_log, messages, policy
from plantainproxy.flows.control import coverage, document_exchange
from plantainproxy.flows.stored import follower, registry

FIRST_WATCH_GRACE_SECONDS = 1.8
"""How long a process waits for a relay's notice after a read before it watches the
store itself. After a mass restart the balancers that name the relays start last; well
below the time in which a change has to be in force."""
MAX_HOLD_STEP_SECONDS = 0.5
"""Longest time between two calls of ``elapsed_seconds`` that counts, so that a pause of
the process does not end the holds that follow a restoration of the store."""


class Documents:
    """Copies of the store's documents, and how they are kept current."""

    def __init__(
        self, policies: policy.ActivePolicy, *, log: event_log.EventLog
    ) -> None:
        """Start without documents."""
        self.policies = policies
        self.refused: policy.Refused | None = None
        """The configuration in the store if it cannot be applied, when it was read."""
        self.log = log
        self.sidecars = registry.ActiveList()
        self.coverage = coverage.Coverage()
        self.policy_exchange = document_exchange.Exchange(
            policies, log, kind=document_exchange.POLICY
        )
        self.list_exchange = document_exchange.Exchange(
            self.sidecars, log, kind=document_exchange.SIDECAR_LIST
        )
        self.policy_status = follower.Status()
        self.list_status = follower.Status()
        self.stated_era = 0
        """Latest era of the store that another process has stated."""
        self.last_elapsed_at = float("inf")


def handle_notice(
    documents: Documents,
    notice: messages.Notice,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Handle the statement of a relay of this process's domain.

    A relay that holds less than this process, such as one that was paused, covers it as
    little as one that the store turns away or that has seen only an earlier era.
    """
    policies = documents.policies
    sidecars = documents.sidecars
    lags_behind = (
        notice.era < policies.era
        or (notice.order < policies.order and notice.digest != policies.digest)
        or (
            notice.list_order < sidecars.order and notice.list_digest != sidecars.digest
        )
    )
    coverage.record_notice(
        documents.coverage,
        sender,
        is_current=notice.is_current and not lags_behind,
        now=now,
    )
    documents.policy_exchange.handle_order(
        notice.order, notice.digest, sender, is_relay=True
    )
    documents.list_exchange.handle_order(
        notice.list_order, notice.list_digest, sender, is_relay=True
    )


def make_notice(documents: Documents) -> messages.Notice:
    """Return the statement that this process makes as a relay.

    Its copies are not current while another process has stated a later era.
    """
    policies = documents.policies
    return messages.Notice(
        revision=policies.revision,
        digest=policies.digest,
        list_revision=documents.sidecars.order.number,
        list_digest=documents.sidecars.digest,
        is_current=documents.policy_status.is_current
        and documents.list_status.is_current
        and documents.stated_era <= policies.era,
        order=policies.order,
        list_order=documents.sidecars.order,
        era=policies.era,
    )


def resolve(
    documents: Documents, read: policy.Policy | policy.Refused | None
) -> policy.Policy | None:
    """Return the policy that follows from what was read from the store.

    It is the stored one if the configuration is refused, with new evacuations; there is
    none if this process has none.
    """
    previous = documents.refused
    documents.refused = read if isinstance(read, policy.Refused) else None
    if not isinstance(read, policy.Refused):
        return read
    if previous is None or previous.digest != read.digest:
        documents.log.write(
            "configuration refused",
            version=read.version,
            revision=read.revision.number,
            era=read.revision.era,
            reason=read.reason,
        )
    stored = documents.policies.stored
    return policy.renew(stored, read) if stored is not None else None


def gauges(documents: Documents) -> dict[str, float]:
    """Return the version in force, and whether the stored configuration is refused.

    A process that leaves the watching to a relay does not know what is stored.
    """
    refused = documents.refused if documents.policy_status.is_current else None
    shown = {
        "configuration_version": float(documents.policies.order.version),
        "configuration_refused": float(refused is not None),
    }
    if refused is not None:
        shown["configuration_refused_revision"] = float(refused.revision.number)
        if refused.version is not None:
            shown["configuration_refused_version"] = float(refused.version)
    return shown


def render_refusal(gauges: abc.Mapping[str, float]) -> list[str]:
    """Return what the metrics of a process state about a refused configuration."""
    if not gauges.get("configuration_refused"):
        return []
    version = gauges.get("configuration_refused_version")
    return [
        "refuses the configuration at revision "
        f"{gauges['configuration_refused_revision']:.0f}"
        + (f", version {version:.0f}" if version is not None else "")
    ]


def handle_era(documents: Documents, era: int) -> None:
    """Record that another process has seen an era of the store."""
    documents.stated_era = max(documents.stated_era, era)


def elapsed_seconds(documents: Documents, *, now: float) -> float:
    """Return the time since the last call, in which the store responded.

    It is 0 while neither this process nor a relay that covers it reaches the store.
    """
    elapsed = max(0.0, now - documents.last_elapsed_at)
    documents.last_elapsed_at = now
    responds = documents.policy_status.is_current or coverage.is_covered(
        documents.coverage, now=now
    )
    return min(elapsed, MAX_HOLD_STEP_SECONDS) if responds else 0.0


def encoders(documents: Documents) -> dict[bytes, abc.Callable[[], bytes]]:
    """Return the functions that encode each kind of document for other processes."""
    return {
        document_exchange.POLICY: lambda: _encode(documents.policies.stored),
        document_exchange.SIDECAR_LIST: lambda: _encode(documents.sidecars.current),
    }


def _encode(document: msgspec.Struct | None) -> bytes:
    return msgspec.msgpack.encode(document) if document is not None else b""
