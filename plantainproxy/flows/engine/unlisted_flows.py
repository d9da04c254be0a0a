"""Record of packets delivered although the flow table does not show their flow.

The sidecar cannot tell whether its upstream holds such a flow until the upstream
answers the packet or returns it. The record is for log lines and metrics only.
"""

import enum

import msgspec

from plantainproxy.flows import event_log, packets

MAX_UNLISTED_FLOWS = 1_024
"""Capacity; further deliveries are logged, but not what became of them."""
RETENTION_SECONDS = 5.0
"""Longer than an upstream waits before it returns a packet."""


class Outcome(enum.StrEnum):
    """What became of a delivery."""

    ANSWERED = "answered"
    """The upstream sent a packet of its own on the flow, so it holds it."""
    RETURNED = "returned"
    """The upstream returned the packet, so it does not hold the flow."""
    UNANSWERED = "unanswered"
    """It did neither within ``RETENTION_SECONDS``."""


class Delivery(msgspec.Struct):
    """First delivery of a flow whose outcome is not known yet."""

    delivered_at: float
    is_reported_held: bool = False
    """Whether a balancer was sent ``FlowHeld`` because the upstream was silent."""


def record_delivery(
    deliveries: dict[bytes, Delivery],
    packet: packets.Packet,
    log: event_log.EventLog,
    *,
    balancer: str,
    now: float,
) -> None:
    """Record and log the delivery of a packet whose flow the table does not show."""
    log.write_limited(
        "unlisted flow delivered",
        flow=packet.flow,
        balancer=balancer,
        purpose=packet.purpose.name.lower(),
        bytes=packet.size,
    )
    if len(deliveries) < MAX_UNLISTED_FLOWS:
        deliveries.setdefault(packet.flow, Delivery(now))


def record_reported_held(
    deliveries: dict[bytes, Delivery],
    flow: bytes,
    log: event_log.EventLog,
    *,
    balancer: str,
    now: float,
) -> None:
    """Record that a flow was reported as held because nothing was returned in time.

    A flow that the upstream has answered meanwhile is no longer in the record.
    """
    delivery = deliveries.get(flow)
    if delivery is None:
        return
    delivery.is_reported_held = True
    _log_outcome("unlisted flow reported held", flow, delivery, log, now, balancer)


def record_outcome(
    deliveries: dict[bytes, Delivery],
    flow: bytes,
    outcome: Outcome,
    log: event_log.EventLog,
    *,
    now: float,
) -> None:
    """Record what shows whether the upstream holds a flow, if a delivery awaits it."""
    delivery = deliveries.pop(flow, None)
    if delivery is not None:
        _log_outcome(f"unlisted flow {outcome}", flow, delivery, log, now)


def evict_expired(
    deliveries: dict[bytes, Delivery], log: event_log.EventLog, *, now: float
) -> None:
    """Evict deliveries that the upstream neither answered nor returned."""
    for flow, delivery in list(deliveries.items()):
        if now - delivery.delivered_at >= RETENTION_SECONDS:
            record_outcome(deliveries, flow, Outcome.UNANSWERED, log, now=now)


def _log_outcome(
    event: str,
    flow: bytes,
    delivery: Delivery,
    log: event_log.EventLog,
    now: float,
    balancer: str | None = None,
) -> None:
    fields: dict[str, str | bool] = {}
    if balancer is not None:
        fields["balancer"] = balancer
    elif delivery.is_reported_held:
        fields["reported_held"] = True
    waited = round(now - delivery.delivered_at, 3)
    log.write_limited(event, flow=flow, waited=waited, **fields)
