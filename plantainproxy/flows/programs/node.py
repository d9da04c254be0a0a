"""Tasks shared by balancers and sidecars."""

from collections import abc
import functools
import math
import typing

import msgspec

from plantainproxy import _http_server, _lifecycle, _types
from plantainproxy.eventloop import loop, runtime
from plantainproxy.flows import event_log, messages, policy, settings
from plantainproxy.flows.control import coverage, document_exchange, documents
from plantainproxy.flows.stored import follower, registry
from plantainproxy.store import revisioned
from plantainproxy.telemetry import exposition, logs

METRICS_PATH = "/metrics"
NOT_FOUND = _http_server.Response(404, b"{}")
READY = _http_server.Response(200, b"{}")
NOT_READY = _http_server.Response(503, b"{}")

P = typing.ParamSpec("P")
R = typing.TypeVar("R")
T = typing.TypeVar("T", bound=settings.NodeSettings)

ApplyPolicy = abc.Callable[[policy.Policy], bool]
"""Activates a policy unless it is outdated; returns whether it did."""
ApplyList = abc.Callable[[registry.SidecarList], bool]
"""Activates a list of sidecars unless it is outdated; returns whether it did."""
DecodePolicy = abc.Callable[
    [abc.Mapping[str, bytes], revisioned.Revision],
    policy.Policy | policy.Refused | None,
]
"""Builds a policy from the documents in the store and their revision, unless there is
none or it cannot be applied."""


def run(
    read: abc.Callable[[], T],
    body: abc.Callable[[_lifecycle.Lifecycle, T], abc.Awaitable[None]],
) -> None:
    """Read the settings and run a daemon until it is stopped by a signal."""
    loaded: list[T] = []

    def read_and_store() -> T:
        loaded[:] = [read()]
        return loaded[0]

    _lifecycle.run_daemon(
        run=loop.run,
        read=read_and_store,
        check_only=False,
        configure=lambda _: logs.configure_json_lines(),
        body=lambda lifecycle: body(lifecycle, loaded[0]),
    )


class NodeContext(msgspec.Struct, typing.Generic[T], frozen=True, kw_only=True):
    """Settings, dependencies and callbacks of the shared tasks of one process."""

    settings: T
    read_settings: abc.Callable[[], T]
    store: revisioned.RevisionedStore
    policy_prefix: str
    """Prefix of the store keys that hold the policy."""
    decode_policy: DecodePolicy
    apply_policy: ApplyPolicy
    apply_list: ApplyList
    documents: documents.Documents
    is_relay: abc.Callable[[], bool]
    """Whether other processes rely on this one to watch the store."""
    needs_list: abc.Callable[[], bool]
    """Whether this process uses the list of sidecars."""
    may_be_relayed: abc.Callable[[], bool]
    """Whether this process's domain may have a relay, as far as is known."""
    log: event_log.EventLog
    is_ready: abc.Callable[[], bool]
    gauges: exposition.Gauges


def start(
    group: runtime.TaskGroup, lifecycle: _lifecycle.Lifecycle, context: NodeContext[T]
) -> None:
    """Start the shared tasks.

    They keep the store's documents current, serve readiness and metrics, and reload
    the settings.
    """
    node_settings = context.settings
    _start_following(group, context)
    group.start_soon(
        serve_readiness, node_settings.ready_address, context.is_ready, context.log
    )
    group.start_soon(
        serve_metrics, node_settings.metrics_address, context.log, context.gauges
    )
    _start_exchange(group, context)
    group.start_soon(_reload_forever, lifecycle, node_settings, context.read_settings)


def handle_restored(held: documents.Documents, previous: int, era: int) -> None:
    """Handle the first response of the store after it was restored from a copy."""
    policies = held.policies
    policies.era = max(policies.era, era)
    held.log.write("store restored", era=era, previous_era=previous)


async def _reload_forever(
    lifecycle: _lifecycle.Lifecycle, active_settings: T, read: abc.Callable[[], T]
) -> None:
    """Check the settings at each reload request and log changes that need a restart."""
    while True:
        await _lifecycle.wait_for_reload(lifecycle)
        _lifecycle.reload(active_settings, read, lambda _: None)


async def serve_readiness(
    address: _types.Address, is_ready: abc.Callable[[], bool], log: event_log.EventLog
) -> None:
    """Serve the readiness of this process over HTTP."""
    await _http_server.serve(
        address,
        lambda _: READY if is_ready() else NOT_READY,
        functools.partial(log.write_failed, "readiness"),
    )


async def serve_metrics(
    address: _types.Address, log: event_log.EventLog, gauges: exposition.Gauges
) -> None:
    """Serve counters, gauges and histograms over HTTP in text format.

    The process serves flows without metrics while another socket holds the address.
    """

    def handle(request: _http_server.Request) -> _http_server.Response:
        if request.path != METRICS_PATH:
            return NOT_FOUND
        body = exposition.render(log.counters, gauges(), log.histograms)
        return _http_server.Response(200, body, exposition.CONTENT_TYPE)

    await _http_server.serve(
        address,
        handle,
        functools.partial(log.write_failed, "metrics"),
        wait_seconds=math.inf,
    )


def decode_message(
    data: bytes, sender: _types.Address, log: event_log.EventLog
) -> messages.Message | None:
    """Decode a datagram of another process; count and log what is refused."""
    return messages.decode(
        data, lambda error: log.write_refused("message", error, sender=str(sender))
    )


def losing_failures(
    apply: abc.Callable[P, R], log: event_log.EventLog, kind: str, result: R
) -> abc.Callable[P, R]:
    """Return a function that logs what ``apply`` raises and then returns ``result``.

    A document that cannot be applied would otherwise end the process at each start.
    """

    def apply_or_log(*arguments: P.args, **options: P.kwargs) -> R:
        try:
            return apply(*arguments, **options)
        except Exception as error:
            log.write_failed(kind, error)
            return result

    return apply_or_log


def _reporting_refusals(
    decode: abc.Callable[[bytes, abc.Callable[[Exception], None]], R],
    log: event_log.EventLog,
    kind: str,
) -> abc.Callable[[bytes], R]:
    """Return a decoder that counts and logs what it refuses."""
    return lambda data: decode(data, functools.partial(log.write_refused, kind))


def _start_following(group: runtime.TaskGroup, context: NodeContext[T]) -> None:
    """Follow the documents in the store while no relay does so for this process."""

    def apply_policy(
        items: abc.Mapping[str, bytes], revision: revisioned.Revision
    ) -> None:
        decoded = documents.resolve(
            context.documents, context.decode_policy(items, revision)
        )
        if decoded is not None:
            context.apply_policy(decoded)

    apply_stored_policy = losing_failures(apply_policy, context.log, "policy", None)

    def apply_list(
        items: abc.Mapping[str, bytes], revision: revisioned.Revision
    ) -> None:
        offered = registry.SidecarList(
            revision=revision.number, entries=dict(items), era=revision.era
        )
        context.apply_list(offered)

    apply_stored_list = losing_failures(apply_list, context.log, "sidecars", None)

    def must_follow() -> bool:
        return context.is_relay() or not coverage.is_covered(
            context.documents.coverage, now=runtime.current_time()
        )

    def may_leave_watching() -> bool:
        return context.may_be_relayed() and not context.is_relay()

    for prefix, apply_entries, is_needed, coalesce_seconds, status, on_unchanged in (
        (
            context.policy_prefix,
            apply_stored_policy,
            must_follow,
            follower.COALESCE_SECONDS,
            context.documents.policy_status,
            lambda revision: None,
        ),
        (
            registry.PREFIX,
            apply_stored_list,
            lambda: context.needs_list() and must_follow(),
            registry.COALESCE_SECONDS,
            context.documents.list_status,
            # The order that relays state keeps up with the store, so that the others
            # can ask it for the changes since.
            context.documents.sidecars.advance_order,
        ),
    ):
        group.start_soon(
            functools.partial(
                follower.follow,
                context.store,
                prefix,
                apply_entries=apply_entries,
                log=context.log,
                coalesce_seconds=coalesce_seconds,
                is_needed=is_needed,
                grace_seconds=documents.FIRST_WATCH_GRACE_SECONDS,
                may_be_relayed=may_leave_watching,
                status=status,
                on_unchanged=on_unchanged,
            )
        )


def _start_exchange(group: runtime.TaskGroup, context: NodeContext[T]) -> None:
    """Serve the documents to other processes, and pull newer ones from them."""
    held = context.documents
    policy_puller = document_exchange.Puller(
        held.policy_exchange,
        decode=_reporting_refusals(messages.decode_policy, held.log, "policy"),
        apply=losing_failures(context.apply_policy, held.log, "policy", False),
    )
    group.start_soon(document_exchange.pull_forever, policy_puller)
    list_puller = document_exchange.Puller(
        held.list_exchange,
        decode=_reporting_refusals(registry.decode_list, held.log, "sidecars"),
        apply=losing_failures(context.apply_list, held.log, "sidecars", False),
    )
    group.start_soon(document_exchange.pull_forever, list_puller)
    group.start_soon(
        functools.partial(
            document_exchange.serve,
            context.settings.message_address,
            documents.encoders(held),
            log=context.log,
        )
    )
