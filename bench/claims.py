"""Measures the cost of claiming idempotency keys, locally and over gRPC.

Run with ``python -m bench.claims``. The local figures cover the sidecar's claim code
without gRPC. The remote figure covers a claim and its settlement over gRPC on the
loopback interface.
"""

from collections import abc
from concurrent import futures
import contextlib
import json
import time
import tracemalloc

import fire
import grpc

from plantainproxy import _types
from plantainproxy.config import model
from plantainproxy.core import claims, tickets
from plantainproxy.rpc import codec, messages
from plantainproxy.sidecar import claims as claim_calls
from plantainproxy.wire import keyring

SERVICE = "bench.Claims"
HOME = _types.Address("127.0.0.1", 7000)
RING = keyring.Keyring(
    model.KeySet(revision=1, current=1, keys=(model.Key(number=1, secret=b"s" * 32),))
)
RESPONSE = messages.Response(status=200, body=b"x" * 200)
REQUEST = messages.Request(method="POST", path="/blade", body=b"x" * 200)


def _make_table(max_entries: int = claims.MAX_ENTRIES) -> claims.Table:
    return claims.Table(
        home=HOME, generation=1, tag=tickets.pool_tag("fleet"), max_entries=max_entries
    )


def _time_calls(call: abc.Callable[[int], object], count: int) -> dict[str, float]:
    wall, cpu = time.perf_counter(), time.process_time()
    for number in range(count):
        call(number)
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    return {
        "wall_us": round(wall / count * 1e6, 2),
        "cpu_us": round(cpu / count * 1e6, 2),
    }


def _claim_request(ticket: str, number: int) -> messages.ClaimRequest:
    return messages.ClaimRequest(
        key=f"{ticket}.{number}",
        fingerprint=claim_calls.fingerprint(REQUEST),
        timeout_milliseconds=1000,
    )


def _settle_request(key: str, grant: int) -> messages.SettleRequest:
    return messages.SettleRequest(
        key=key, grant=grant, outcome=_types.Outcome.RUN, response=RESPONSE
    )


def _measure_local(count: int) -> dict[str, float]:
    table = _make_table()
    ticket_cache = claim_calls.TicketCache()
    ticket = claim_calls.issue_ticket(table, RING, ticket_cache, now=0.0)

    def measured_call(number: int) -> None:
        request = _claim_request(ticket, number)
        reply = claim_calls.handle_claim(table, RING, request, now=0.0)
        assert reply.granted
        claims.settle(table, _settle_request(request.key, reply.grant))

    return _time_calls(measured_call, count)


def _measure_ticket_issue(count: int) -> dict[str, float]:
    table = _make_table()
    ticket_cache = claim_calls.TicketCache()

    def measured_call(_: int) -> None:
        claim_calls.issue_ticket(table, RING, ticket_cache, now=0.0)

    return _time_calls(measured_call, count)


def _measure_memory(count: int) -> float:
    """Return the memory in bytes of one entry that stores a 200-byte response."""
    table = _make_table()
    ticket = claim_calls.issue_ticket(table, RING, claim_calls.TicketCache(), now=0.0)
    tracemalloc.start()
    for number in range(count):
        request = _claim_request(ticket, number)
        reply = claim_calls.handle_claim(table, RING, request, now=0.0)
        body = bytes(200)
        response = messages.Response(status=200, body=body)
        claims.settle(
            table,
            messages.SettleRequest(
                key=request.key,
                grant=reply.grant,
                outcome=_types.Outcome.RUN,
                response=response,
            ),
        )
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(traced_bytes / count, 1)


@contextlib.contextmanager
def _serve(table: claims.Table) -> abc.Iterator[str]:
    def claim(encoded: bytes, _: grpc.ServicerContext) -> bytes:
        request = codec.decode(encoded, messages.ClaimRequest)
        reply = claim_calls.handle_claim(table, RING, request, now=0.0)
        return codec.encode(reply)

    def settle(encoded: bytes, _: grpc.ServicerContext) -> bytes:
        request = codec.decode(encoded, messages.SettleRequest)
        return codec.encode(claim_calls.handle_settle(table, request))

    handlers = {
        "Claim": grpc.unary_unary_rpc_method_handler(claim),
        "Settle": grpc.unary_unary_rpc_method_handler(settle),
    }
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=2))
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, handlers),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.stop(None).wait()


def _measure_remote(count: int) -> dict[str, float]:
    """Time claim and settle calls; the CPU time includes client and server."""
    table = _make_table()
    ticket = claim_calls.issue_ticket(table, RING, claim_calls.TicketCache(), now=0.0)
    with _serve(table) as target, grpc.insecure_channel(target) as channel:
        claim = channel.unary_unary(f"/{SERVICE}/Claim", None, None)
        settle = channel.unary_unary(f"/{SERVICE}/Settle", None, None)

        def measured_call(number: int) -> None:
            request = _claim_request(ticket, number)
            encoded = claim(codec.encode(request), timeout=5.0)
            reply = codec.decode(encoded, messages.ClaimReply)
            assert reply.granted
            settle_request = _settle_request(request.key, reply.grant)
            settle(codec.encode(settle_request), timeout=5.0)

        return _time_calls(measured_call, count)


def main(local: int = 50_000, remote: int = 2_000) -> None:
    """Measure all costs and print them as one JSON object."""
    result = {
        "issue_ticket": _measure_ticket_issue(local),
        "local_claim_and_settle": _measure_local(local),
        "remote_claim_and_settle": _measure_remote(remote),
        "bytes_an_entry": _measure_memory(local),
    }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    fire.Fire(main)
