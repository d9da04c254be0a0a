"""Queue of the requests that a sidecar holds while its upstream is busy.

The upstream's own queue is first in, first out. So the sidecar forwards only as many
requests as the upstream can run, plus a margin, holds further ones, and releases them
by priority and objective. The queue does no I/O.
"""

import collections
import enum

import msgspec

from plantainproxy.flows import packets

UPSTREAM_QUEUE_PER_SLOT = 4
"""Requests per slot that an upstream queues itself before it rejects the next one."""
MAX_REQUESTS_PER_SLOT = 1 + 2 * UPSTREAM_QUEUE_PER_SLOT
"""Limit on requests per slot that are in progress or held: what the upstream takes, and
as many held as it queues. A longer queue would replace the upstream's rejection, after
which a caller tries elsewhere at once, by an answer after the objective, and would take
up the room for new flows."""
MAX_HELD_BYTES = 262_144
"""Limit on the bytes of held packets; a sidecar has about 100 MB of memory."""
MARGIN_REQUESTS = 1
"""Requests that wait in the upstream's queue, so that a slot is not idle from one
response until the next request is released."""
MARGIN_MAX_SERVICE_SECONDS = 0.1
"""With longer service times there is no margin: a slot is idle for a few milliseconds
per request, but a request in the margin delays one of higher rank by a service time."""
PRIORITY_STEP_SECONDS = 0.15
"""A request of the next higher priority is released first if its objective ends at most
this much later: half of the shortest objectives. Strict priority makes more requests
late than it saves, as it delays requests that had little time left for others that had
enough."""
OLDEST_RELEASE_INTERVAL = 32
"""One release in so many goes to the request that has waited longest. Such a request is
late as a rule, and with one in 8 an eighth of the slots' time served requests that were
too late already."""
SERVICE_SAMPLES = 15
"""Recent service times per route, whose median is the expected one: three requests in a
hundred take seven times the work and must not change it."""
STALLED_SERVICE_TIMES = 8
"""A request without a response for its objective and for this multiple of its expected
service time counts as stalled; long requests take up to seven times the work."""
MAX_STALL_SECONDS = 2.0
"""Maximum time in a slot until a request counts as stalled. It is below the earliest
deadline of callers (3.2 s), so that a hanging upstream does not hold back the rest."""
MAX_HELD_SECONDS = 1.8
"""A request held for this long goes to the upstream's queue as soon as there is room.
The sidecar does not know the deadlines of callers, of which the earliest is 3.2 s. At
an upstream that is five times slower, the queue takes most of the time until then."""
REGULAR_RELEASES = 3
"""Callers with at most this many recent releases are equal: an upstream gets tens of
requests a second from hundreds of callers."""
MAX_CALLERS = 1_024
"""Limit on the callers whose releases are counted."""
RELEASE_HALF_LIFE_SECONDS = 1.0
"""Interval at which the counts of released requests are halved."""

_CALLER_HOST = slice(packets.SERVICE_BYTES, -2)
"""Position of the caller's address, without its port, in a flow key."""


class Reason(enum.StrEnum):
    """Reason for which a held request is released."""

    IN_TIME = "in_time"
    """It is the first of those that can be answered within their objective."""
    LATE = "late"
    """None of the held requests can be answered within its objective any more."""
    OLDEST = "oldest"
    """It has waited longest, and its turn has come."""
    OVERFLOW = "overflow"
    """More requests arrived than may be held."""
    SHED = "shed"
    """As before, and the upstream's own queue is full, so it rejects the request."""
    EXPIRED = "expired"
    """It was held for ``MAX_HELD_SECONDS`` or longer."""
    FLOW_ENDED = "flow_ended"
    """Its caller or upstream has closed the flow, or the flow was evicted."""
    UNSCHEDULED = "unscheduled"
    """Requests may no longer be held: the upstream is draining, the sidecar is stopping
    or its flow table is not complete."""


class Request(msgspec.Struct, kw_only=True):
    """A held request, one per flow."""

    flow: bytes
    priority: int
    objective_seconds: float
    objective_from: float
    """Time from which the objective counts."""
    arrived_at: float
    packets: list[packets.Packet]
    size: int
    """Bytes of its packets."""


class ForwardedRequest(msgspec.Struct):
    """A request in progress at the upstream."""

    service: bytes
    objective_seconds: float
    started_at: float | None
    """When a slot was free for it; ``None`` while it waits in the upstream's queue."""


class RequestQueue:
    """The held requests of one upstream and those in progress there."""

    def __init__(self, *, slots: int) -> None:
        """Create an empty queue for an upstream with this number of slots."""
        self.slots = slots
        self.held: dict[bytes, Request] = {}
        """By flow key, in order of arrival."""
        self.held_bytes = 0
        self.in_progress: dict[bytes, ForwardedRequest] = {}
        """By flow key, in order of forwarding; stalled requests are left out."""
        self.not_started: dict[bytes, None] = {}
        """Flow keys of the requests that wait in the upstream's queue, in order."""
        self.samples: dict[bytes, collections.deque[float]] = {}
        """Recent service times by service address."""
        self.expected_seconds: dict[bytes, float] = {}
        """Expected service times by service address."""
        self.releases = 0
        self.released_by_caller: dict[bytes, int] = {}
        self.halved_at = float("-inf")


def margin(queue: RequestQueue) -> int:
    """Return how many requests may wait in the upstream's queue."""
    shortest = min(queue.expected_seconds.values(), default=0.0)
    return MARGIN_REQUESTS if shortest < MARGIN_MAX_SERVICE_SECONDS else 0


def is_busy(queue: RequestQueue) -> bool:
    """Return whether the upstream has as many requests in progress as its limit."""
    count = len(queue.in_progress)
    # The margin is only computed where it decides.
    return count >= queue.slots + MARGIN_REQUESTS or (
        count >= queue.slots and count >= queue.slots + margin(queue)
    )


def record_forwarded(
    queue: RequestQueue, flow: bytes, *, objective_seconds: float, now: float
) -> None:
    """Record a request that is forwarded to the upstream."""
    discard(queue, flow, now=now)
    is_started = len(queue.in_progress) - len(queue.not_started) < queue.slots
    queue.in_progress[flow] = ForwardedRequest(
        flow[: packets.SERVICE_BYTES], objective_seconds, now if is_started else None
    )
    if not is_started:
        queue.not_started[flow] = None


def record_response(queue: RequestQueue, flow: bytes, *, now: float) -> None:
    """Record the first byte of a response.

    A response to a request that was not started is a rejection and no sample.
    """
    request = discard(queue, flow, now=now)
    if request is not None and request.started_at is not None:
        _add_sample(queue, request.service, now - request.started_at)


def discard(queue: RequestQueue, flow: bytes, *, now: float) -> ForwardedRequest | None:
    """Remove a request from those in progress and return it, if it was one."""
    request = queue.in_progress.pop(flow, None)
    if request is None:
        return None
    queue.not_started.pop(flow, None)
    while (
        queue.not_started
        and len(queue.in_progress) - len(queue.not_started) < queue.slots
    ):
        started = next(iter(queue.not_started))
        del queue.not_started[started]
        queue.in_progress[started].started_at = now
    return request


def discard_stalled(queue: RequestQueue, *, now: float) -> list[bytes]:
    """Stop counting the requests whose response may never come; return their flows.

    Their time so far is a sample, so that an upstream that has become much slower is
    waited for longer and not given more requests than it can run.
    """
    stalled = [
        (flow, request.service, now - request.started_at)
        for flow, request in queue.in_progress.items()
        if request.started_at is not None
        and now - request.started_at >= _stall_seconds(queue, request)
    ]
    for flow, service, elapsed in stalled:
        discard(queue, flow, now=now)
        _add_sample(queue, service, elapsed)
    return [flow for flow, _, _ in stalled]


def hold(queue: RequestQueue, request: Request) -> None:
    """Hold a request whose flow has none in the queue yet."""
    queue.held[request.flow] = request
    queue.held_bytes += request.size


def add_packet(queue: RequestQueue, packet: packets.Packet) -> bool:
    """Add a packet with data to the held request of its flow.

    Returns ``False`` for a copy of a held packet, which is not added.
    """
    request = queue.held[packet.flow]
    if any(
        held.sequence == packet.sequence and held.size == packet.size
        for held in request.packets
    ):
        return False
    request.packets.append(packet)
    request.size += len(packet.data)
    queue.held_bytes += len(packet.data)
    return True


def remove(queue: RequestQueue, flow: bytes) -> Request | None:
    """Remove and return the held request of a flow, if there is one."""
    request = queue.held.pop(flow, None)
    if request is not None:
        queue.held_bytes -= request.size
    return request


def next_release(queue: RequestQueue, *, now: float) -> tuple[Request, Reason] | None:
    """Remove and return the request to forward now; ``None`` if none is to be."""
    if not queue.held:
        return None
    # The upstream rejects further requests if its own queue is full.
    is_full = len(queue.in_progress) >= (1 + UPSTREAM_QUEUE_PER_SLOT) * queue.slots
    oldest = next(iter(queue.held.values()))
    if now - oldest.arrived_at >= MAX_HELD_SECONDS and not is_full:
        return _release(queue, oldest, Reason.EXPIRED, now=now)
    if not is_busy(queue):
        return _release(queue, *_first(queue, now=now), now=now)
    is_over_limit = (
        len(queue.held) + len(queue.in_progress) > MAX_REQUESTS_PER_SLOT * queue.slots
        or queue.held_bytes > MAX_HELD_BYTES
    )
    if not is_over_limit:
        return None
    if not is_full:
        first, _ = _first(queue, now=now)
        return _release(queue, first, Reason.OVERFLOW, now=now)
    last = max(queue.held.values(), key=lambda held: _rank(queue, held, now=now))
    return _release(queue, last, Reason.SHED, now=now)


def clear(queue: RequestQueue) -> int:
    """Remove all requests and service times; return the number of held requests.

    Called when the upstream's process has ended.
    """
    count = len(queue.held)
    queue.held.clear()
    queue.held_bytes = 0
    queue.in_progress.clear()
    queue.not_started.clear()
    queue.samples.clear()
    queue.expected_seconds.clear()
    return count


def _first(queue: RequestQueue, *, now: float) -> tuple[Request, Reason]:
    """Return the request whose turn it is."""
    queue.releases += 1
    if queue.releases % OLDEST_RELEASE_INTERVAL == 0:
        return next(iter(queue.held.values())), Reason.OLDEST
    first = min(queue.held.values(), key=lambda held: _rank(queue, held, now=now))
    return first, Reason.LATE if _is_late(queue, first, now=now) else Reason.IN_TIME


def _release(
    queue: RequestQueue, request: Request, reason: Reason, *, now: float
) -> tuple[Request, Reason]:
    remove(queue, request.flow)
    _count_release(queue, request.flow[_CALLER_HOST], now=now)
    return request, reason


def _rank(
    queue: RequestQueue, request: Request, *, now: float
) -> tuple[bool, int, float, float]:
    """Return the sort key of a held request; the lowest is released first.

    Callers with more than ``REGULAR_RELEASES`` recent releases are compared by the
    number of binary digits of their counts. Otherwise differences of one between
    regular callers would replace the order by objective.
    """
    released = queue.released_by_caller.get(request.flow[_CALLER_HOST], 0)
    excess = (released // (REGULAR_RELEASES + 1)).bit_length()
    if _is_late(queue, request, now=now):
        return (True, excess, request.priority, request.objective_from)
    objective_end = request.objective_from + request.objective_seconds
    ranked_end = objective_end + PRIORITY_STEP_SECONDS * request.priority
    return (False, excess, ranked_end, request.objective_from)


def _is_late(queue: RequestQueue, request: Request, *, now: float) -> bool:
    """Return whether a request cannot be answered within its objective any more.

    Requests in progress beyond the slots are run before it.
    """
    expected = queue.expected_seconds.get(request.flow[: packets.SERVICE_BYTES], 0.0)
    ahead = max(len(queue.in_progress) - queue.slots + 1, 0)
    answered_at = now + expected * (1 + ahead / queue.slots)
    return answered_at > request.objective_from + request.objective_seconds


def _count_release(queue: RequestQueue, caller: bytes, *, now: float) -> None:
    counts = queue.released_by_caller
    if now - queue.halved_at >= RELEASE_HALF_LIFE_SECONDS:
        queue.halved_at = now
        queue.released_by_caller = counts = {
            host: count // 2 for host, count in counts.items() if count > 1
        }
    if caller in counts or len(counts) < MAX_CALLERS:
        counts[caller] = counts.get(caller, 0) + 1


def _stall_seconds(queue: RequestQueue, request: ForwardedRequest) -> float:
    expected = queue.expected_seconds.get(request.service, 0.0)
    return min(
        max(request.objective_seconds, STALLED_SERVICE_TIMES * expected),
        MAX_STALL_SECONDS,
    )


def _add_sample(queue: RequestQueue, service: bytes, seconds: float) -> None:
    samples = queue.samples.get(service)
    if samples is None:
        samples = collections.deque(maxlen=SERVICE_SAMPLES)
        queue.samples[service] = samples
    samples.append(seconds)
    queue.expected_seconds[service] = sorted(samples)[len(samples) // 2]
