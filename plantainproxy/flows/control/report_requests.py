"""Which processes a balancer asks for reports, and when. Free of I/O."""

import typing

from plantainproxy import _types
from plantainproxy.flows import messages, policy
from plantainproxy.flows.control import relay_selection
from plantainproxy.flows.engine import upstreams


class Request(typing.NamedTuple):
    """One message and the processes that it is sent to."""

    recipients: list[_types.Address]
    message: messages.Message


def periodic_requests(
    view: upstreams.View, policies: policy.ActivePolicy, *, now: float
) -> list[Request]:
    """Return the requests to the sidecars and relays of the domain.

    Reports of other domains arrive through the relays, so their sidecars are only asked
    while they count as lost. In a domain without a relay, balancers subscribe to all
    sidecars.
    """
    relays_by_domain = relay_selection.relays_by_domain(view, now=now)
    relays = relays_by_domain.pop(view.domain, ())
    if not relays:
        subscription = _report_request(view, policies, relays, subscribes=True)
        return [Request(list(view.upstreams), subscription)]
    in_domain = [
        upstream.address
        for upstream in view.upstreams.values()
        if upstream.domain == view.domain
    ]
    lost = [
        upstream.address
        for upstream in view.upstreams.values()
        if upstream.domain != view.domain
        and (upstream.report is None or upstreams.is_lost(upstream, now=now))
    ]
    return [
        Request(in_domain, _report_request(view, policies, relays, subscribes=True)),
        Request(lost, _report_request(view, policies, (), subscribes=False)),
        *_relay_requests(
            view, relays, list(relays_by_domain.values()), is_urgent=False
        ),
    ]


def urgent_requests(view: upstreams.View, *, now: float) -> list[Request]:
    """Return the requests to the relays while callers wait for room.

    Other domains then send their reports in shorter intervals.
    """
    relays_by_domain = relay_selection.relays_by_domain(view, now=now)
    relays = relays_by_domain.pop(view.domain, ())
    return _relay_requests(
        view, relays, list(relays_by_domain.values()), is_urgent=True
    )


def overdue_requests(
    view: upstreams.View, policies: policy.ActivePolicy, *, now: float
) -> list[Request]:
    """Return the request to the sidecars of any domain whose report is overdue."""
    recipients = upstreams.overdue_sidecars(view, now=now)
    if not recipients:
        return []
    return [Request(recipients, _report_request(view, policies, (), subscribes=False))]


def _report_request(
    view: upstreams.View,
    policies: policy.ActivePolicy,
    relays: tuple[_types.Address, ...],
    *,
    subscribes: bool,
) -> messages.ReportRequest:
    return messages.ReportRequest(
        revision=policies.revision,
        domain=view.domain,
        sidecars=len(view.upstreams),
        digest=policies.digest,
        subscribes=subscribes,
        relays=tuple(relay.host for relay in relays),
        order=policies.order,
        era=policies.era,
    )


def _relay_requests(
    view: upstreams.View,
    relays: tuple[_types.Address, ...],
    peers_by_domain: list[tuple[_types.Address, ...]],
    *,
    is_urgent: bool,
) -> list[Request]:
    """Return the requests to the relays, each with one relay of every other domain."""
    return [
        Request(
            [relay],
            messages.RelayRequest(
                domain=view.domain,
                peers=tuple(
                    peers[index % len(peers)].host for peers in peers_by_domain
                ),
                is_urgent=is_urgent,
            ),
        )
        for index, relay in enumerate(relays)
    ]
