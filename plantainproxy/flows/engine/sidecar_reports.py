"""Reports of a sidecar to balancers and relays, and the room that they state."""

import math
import socket

from plantainproxy import _types
from plantainproxy.flows import messages
from plantainproxy.flows.engine import (
    flow_table,
    outlier_detection,
    sidecar_state,
    upstream,
    upstream_speed,
)

REPORT_INTERVAL_SECONDS = 0.5
"""Maximum interval between two reports to a balancer."""

LOAD_REPORT_INTERVAL_SECONDS = 0.15
"""Minimum interval between two reports when only the load has changed."""

SATURATED_REPORT_INTERVAL_SECONDS = 0.04
"""The same while all slots are in use: balancers queue new flows until the upstream has
capacity."""

REQUESTS_PER_SLOT = 2.0
"""Requests in progress per slot at which an upstream is full and gets no new flow. The
balancers queue further flows and place them in order of priority."""

SUBSCRIPTION_TIMEOUT_SECONDS = 30.0
"""A balancer of the domain that sent no ``ReportRequest`` for this long gets no more
reports."""

SHORT_SUBSCRIPTION_TIMEOUT_SECONDS = 3.0
"""The same for a balancer of another domain, which subscribes only while its domain has
no relay, and for a relay that no ``ReportRequest`` has named; three times the interval
of the requests."""


def handle_report_request(
    engine: sidecar_state.Engine,
    request: messages.ReportRequest,
    sender: _types.Address,
    *,
    now: float,
) -> None:
    """Subscribe a balancer and the relays that it names, or renew the subscriptions.

    A balancer that does not subscribe gets one report: it asks if the relays have
    brought none for a while.
    """
    engine.fleet_size = request.sidecars
    engine.balancers_seen[socket.inet_aton(sender.host)] = now
    if not request.subscribes:
        engine.port.send_message(sender, _report(engine, now=now))
        return
    is_local_domain = request.domain == engine.identity.location.domain
    _subscribe(engine, sender, is_relay=False, is_local_domain=is_local_domain, now=now)
    for host in request.relays if is_local_domain else ():
        relay = _types.Address(host, engine.identity.message_port)
        _subscribe(engine, relay, is_relay=True, is_local_domain=True, now=now)
    send_due_reports(engine, now=now)


def _subscribe(
    engine: sidecar_state.Engine,
    process: _types.Address,
    *,
    is_relay: bool,
    is_local_domain: bool,
    now: float,
) -> None:
    subscriber = engine.subscribers.get(process)
    if subscriber is not None:
        subscriber.last_hello_at = now
        return
    engine.subscribers[process] = sidecar_state.Subscriber(
        is_relay=is_relay, is_local_domain=is_local_domain, last_hello_at=now
    )
    engine.log.write(
        "relay seen" if is_relay else "balancer seen", process=str(process)
    )


def subscription_timeout_seconds(subscriber: sidecar_state.Subscriber) -> float:
    """Return the time without a request after which a subscription expires."""
    if subscriber.is_relay or not subscriber.is_local_domain:
        return SHORT_SUBSCRIPTION_TIMEOUT_SECONDS
    return SUBSCRIPTION_TIMEOUT_SECONDS


def send_due_reports(engine: sidecar_state.Engine, *, now: float) -> None:
    """Send a report to each balancer for which one is due.

    A report is due when the status has changed, when the last report is old, and after
    a shorter interval when the load has changed.
    """
    load = (engine.table.running_requests, len(engine.table.flows))
    status = (
        engine.upstream.state,
        upstream.is_cold(engine.upstream, now=now),
        engine.policies.digest,
        engine.stopping,
        outlier_detection.is_ejected(engine.outlier_detector, now=now),
        engine.policies.era,
        engine.table.complete,
        now >= engine.admits_flows_at,
    )
    is_status_changed = status != engine.last_reported_status
    engine.last_reported_status = status
    report: messages.Report | None = None
    for balancer, subscriber in engine.subscribers.items():
        elapsed = now - subscriber.last_report_at
        is_due = (
            is_status_changed
            or elapsed >= REPORT_INTERVAL_SECONDS
            or (
                load != subscriber.last_reported_load
                and elapsed >= _load_report_interval_seconds(engine, subscriber)
            )
        )
        if not is_due:
            continue
        report = report or _report(engine, now=now)
        subscriber.last_report_at, subscriber.last_reported_load = now, load
        engine.port.send_message(balancer, report)


def send_reports(engine: sidecar_state.Engine, *, now: float) -> None:
    """Send a report to every subscriber, and to every other balancer seen lately.

    A balancer that has one report of this process may not have subscribed yet.
    """
    report = _report(engine, now=now)
    balancers = (
        sidecar_state.balancer_address(engine, host) for host in engine.balancers_seen
    )
    for process in {*engine.subscribers, *balancers}:
        engine.port.send_message(process, report)


def _load_report_interval_seconds(
    engine: sidecar_state.Engine, subscriber: sidecar_state.Subscriber
) -> float:
    slots = sidecar_state.slots(engine)
    last_running, _ = subscriber.last_reported_load
    # A balancer that has seen requests wait must learn of a free slot soon.
    if engine.table.running_requests >= slots or last_running > slots:
        return SATURATED_REPORT_INTERVAL_SECONDS
    return (
        LOAD_REPORT_INTERVAL_SECONDS
        if subscriber.is_local_domain
        else REPORT_INTERVAL_SECONDS
    )


def balancer_count(engine: sidecar_state.Engine) -> int:
    """Return the number of balancers that receive reports."""
    return sum(not subscriber.is_relay for subscriber in engine.subscribers.values())


def available_requests(engine: sidecar_state.Engine, *, now: float) -> int:
    """Return how many more requests the upstream may get before it is full."""
    expected = flow_table.expected_requests(engine.table, now=now)
    return int(REQUESTS_PER_SLOT * sidecar_state.slots(engine)) - expected


def _available_requests_per_balancer(
    engine: sidecar_state.Engine, *, now: float
) -> int:
    if now < engine.admits_flows_at:
        return 0
    room = max(available_requests(engine, now=now), 0)
    if engine.table.running_requests < sidecar_state.slots(engine):
        return room
    # Each balancer may use its full allowance before the next report, so the
    # remaining capacity is divided among them, also those of other domains, which
    # get the report from relays.
    return math.ceil(room / max(len(engine.balancers_seen), 1))


def _report(engine: sidecar_state.Engine, *, now: float) -> messages.Report:
    engine.report_number += 1
    identity = engine.identity
    return messages.Report(
        boot=identity.boot,
        number=engine.report_number,
        revision=engine.policies.revision,
        pool=identity.location.pool,
        domain=identity.location.domain,
        state=engine.upstream.state,
        data_port=identity.data_port,
        running=engine.table.running_requests,
        flows=len(engine.table.flows),
        slots=sidecar_state.slots(engine),
        room=_available_requests_per_balancer(engine, now=now),
        cold=upstream.is_cold(engine.upstream, now=now),
        complete=engine.table.complete,
        stopping=engine.stopping,
        digest=engine.policies.digest,
        suspect=outlier_detection.is_ejected(engine.outlier_detector, now=now),
        order=engine.policies.order,
        era=engine.policies.era,
        service_times=upstream_speed.service_times(engine.speed, now=now),
    )
