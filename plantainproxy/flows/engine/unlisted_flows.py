"""Record of packets delivered although the flow table does not show their flow.

The sidecar cannot tell whether its upstream holds such a flow until the upstream
answers the packet or returns it. The record is for log lines and metrics only.
"""

import msgspec

from plantainproxy.flows import event_log, packets

MAX_UNLISTED_FLOWS = 1_024
"""Capacity; further deliveries are logged, but not what became of them."""
RETENTION_SECONDS = 5.0
"""Longer than an upstream waits before it returns a packet."""


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


def record_answer(
    deliveries: dict[bytes, Delivery],
    flow: bytes,
    log: event_log.EventLog,
    *,
    now: float,
) -> None:
    """Record that the upstream sent a packet of its own on the flow, so it holds it."""
    delivery = deliveries.pop(flow, None)
    if delivery is not None:
        _log_outcome("unlisted flow answered", flow, delivery, log, now)


def record_return(
    deliveries: dict[bytes, Delivery],
    flow: bytes,
    log: event_log.EventLog,
    *,
    now: float,
) -> None:
    """Record that the upstream returned a packet, so it does not hold the flow."""
    delivery = deliveries.pop(flow, None)
    if delivery is not None:
        _log_outcome("unlisted flow returned", flow, delivery, log, now)


def evict_expired(
    deliveries: dict[bytes, Delivery], log: event_log.EventLog, *, now: float
) -> None:
    """Evict deliveries that the upstream neither answered nor returned."""
    for flow, delivery in list(deliveries.items()):
        if now - delivery.delivered_at >= RETENTION_SECONDS:
            del deliveries[flow]
            _log_outcome("unlisted flow unanswered", flow, delivery, log, now)


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
