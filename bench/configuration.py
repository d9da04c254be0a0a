"""Measures configuration size and routing state cost by number of routes.

``python -m bench.configuration`` prints a table and writes ``out/configuration.json``.
Each size is measured in a fresh process. Memory is the growth of its resident set size.
"""

import argparse
from collections import abc
import dataclasses
import gc
import json
import pathlib
import subprocess
import sys
import time

from plantainproxy import _members, _types
from plantainproxy.balancer import status_report
from plantainproxy.config import document, model
from plantainproxy.core import delta, membership, routing
from plantainproxy.rpc import codec, messages, operator_pb2

OUTPUT = pathlib.Path("out/configuration.json")
ROUTE_COUNTS = (650, 1_300, 2_600, 6_500)
MEMBERS_PER_THOUSAND_ROUTES = 2_615
"""The target size is 17,000 hosts behind 6,500 addresses."""
DOMAINS = 5
REPEATS = 5
PAGE_BYTES = 4_096
MEBIBYTE = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The figures for one number of routes, each with a separate pool."""

    routes: int
    members: int
    stored_bytes: int
    """Size of the configuration document in the store."""
    pulled_bytes: int
    """Size of the message that carries the full configuration between balancers."""
    step_bytes: int
    """Size of a pull reply to a peer that lacks only the latest change."""
    step_milliseconds: float
    """CPU time to compute the difference that such a reply carries."""
    decode_milliseconds: float
    """CPU time to decode a pull reply with the full configuration."""
    first_milliseconds: float
    """CPU time to create the configuration and build the routing state from scratch."""
    change_milliseconds: float
    """CPU time to apply a configuration that changes one route."""
    member_milliseconds: float
    """CPU time to apply a change of one pool's members."""
    state_mebibytes: float
    """Resident memory of the configuration and the routing state."""
    churned_mebibytes: float
    """The same after restarts in each pool, when the slots store earlier owners."""
    table_mebibytes: float
    """Resident memory of the member table, including its records."""
    status_bytes: int
    """Size of a balancer's reply to an operator's status request."""
    view_milliseconds: float
    """CPU time to build the view of one sidecar's pool from the configuration."""
    process_mebibytes: float
    """Resident memory of the process after the restarts."""


def _resident_bytes() -> int:
    gc.collect()
    return int(pathlib.Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def _address(number: int, network: int, port: int) -> _types.Address:
    host = f"{network}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return _types.Address(host, port)


def make_configuration(routes: int, *, revision: int = 1) -> model.Configuration:
    """Return a configuration with one pool per route."""
    return model.Configuration(
        revision=revision,
        domains=tuple(
            model.Domain(name=f"domain-{number}", number=number + 1)
            for number in range(DOMAINS)
        ),
        pools=tuple(model.Pool(name=f"pool-{number}") for number in range(routes)),
        routes=tuple(
            model.Route(
                name=f"route-{number}",
                address=_address(number, 10, 443),
                pool=f"pool-{number}",
            )
            for number in range(routes)
        ),
    )


def make_records(number: int, routes: int) -> tuple[_members.MemberRecord, ...]:
    """Return the member records of the pool with this number."""
    members = routes * MEMBERS_PER_THOUSAND_ROUTES // 1_000
    return tuple(
        _members.MemberRecord(
            kind=_types.MemberKind.SIDECAR,
            rpc=_address(member, 11, 7001),
            domain=f"domain-{member % DOMAINS}",
            generation=1_796_000_000_000 + member,
            sequence=1,
            pool=f"pool-{number}",
            tunnel=_address(member, 11, 7000),
        )
        for member in range(number, members, routes)
    )


def _milliseconds(call: abc.Callable[[], object], *, repeats: int = REPEATS) -> float:
    """Return the minimum CPU time over several runs."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return min(times) * 1_000


def _restart_members(state: routing.State, routes: int) -> routing.State:
    """Remove and re-add one member of each pool, then another one."""
    for position in (0, 1):
        all_members = {
            f"pool-{number}": make_records(number, routes) for number in range(routes)
        }
        remaining_members = {
            pool: pool_members[:position] + pool_members[position + 1 :]
            for pool, pool_members in all_members.items()
        }
        for members_by_pool in (remaining_members, all_members):
            events = [
                routing.MembersChanged(pool=pool, records=pool_members)
                for pool, pool_members in members_by_pool.items()
            ]
            state = routing.apply(state, events, now=1.0)
    return state


def _status_bytes(table: membership.Table) -> int:
    members = [status_report.render_member(record) for record in table.records.values()]
    return operator_pb2.StatusReply(members=members).ByteSize()


def measure(routes: int) -> Result:
    """Measure a configuration with this number of routes in this process."""
    baseline_bytes = _resident_bytes()
    table = membership.Table()
    for number in range(routes):
        membership.merge(table, make_records(number, routes), now=0.0)
    bytes_with_table = _resident_bytes()
    started = time.process_time()
    base_configuration = make_configuration(routes)
    events: list[routing.Event] = [
        routing.ConfigurationChanged(configuration=base_configuration),
        *(
            routing.MembersChanged(
                pool=pool, records=membership.pool_records(table, pool)
            )
            for pool in table.pools
        ),
    ]
    state = routing.apply(routing.State(), events, now=0.0)
    first_milliseconds = (time.process_time() - started) * 1_000
    members = sum(len(pool_members) for pool_members in state.records.values())
    del events
    bytes_with_state = _resident_bytes()
    changed_configuration = dataclasses.replace(
        base_configuration,
        revision=2,
        routes=(
            dataclasses.replace(base_configuration.routes[0], pool="pool-1"),
            *base_configuration.routes[1:],
        ),
    )
    change = routing.ConfigurationChanged(configuration=changed_configuration)
    member_left = routing.MembersChanged(
        pool="pool-0", records=make_records(0, routes)[1:]
    )
    pulled = codec.encode(messages.PullReply(configuration=base_configuration))
    history = delta.History()
    delta.record_configuration(history, base_configuration)
    delta.record_configuration(history, changed_configuration)
    started = time.process_time()
    configuration_delta = delta.compute(
        history, changed_configuration, base_revision=base_configuration.revision
    )
    step_milliseconds = (time.process_time() - started) * 1_000
    step_bytes = len(
        codec.encode(messages.PullReply(configuration_delta=configuration_delta))
    )
    change_milliseconds = _milliseconds(lambda: routing.apply(state, [change], now=1.0))
    member_milliseconds = _milliseconds(
        lambda: routing.apply(state, [member_left], now=1.0)
    )
    state = _restart_members(state, routes)
    bytes_after_restarts = _resident_bytes()
    record = state.records["pool-0"][0]
    return Result(
        routes=routes,
        members=members,
        stored_bytes=len(document.encode(base_configuration)),
        pulled_bytes=len(pulled),
        step_bytes=step_bytes,
        step_milliseconds=step_milliseconds,
        decode_milliseconds=_milliseconds(
            lambda: codec.decode(pulled, messages.PullReply)
        ),
        first_milliseconds=first_milliseconds,
        change_milliseconds=change_milliseconds,
        member_milliseconds=member_milliseconds,
        state_mebibytes=(bytes_with_state - bytes_with_table) / MEBIBYTE,
        churned_mebibytes=(bytes_after_restarts - bytes_with_table) / MEBIBYTE,
        table_mebibytes=(bytes_with_table - baseline_bytes) / MEBIBYTE,
        status_bytes=_status_bytes(table),
        view_milliseconds=_milliseconds(
            lambda: model.build_pool_view(base_configuration, record=record)
        ),
        process_mebibytes=bytes_after_restarts / MEBIBYTE,
    )


def _measure_in_subprocess(routes: int) -> Result:
    """Run :func:`measure` in a fresh process."""
    completed = subprocess.run(
        [sys.executable, "-m", "bench.configuration", f"--one={routes}"],
        check=True,
        capture_output=True,
        text=True,
    )
    return Result(**json.loads(completed.stdout))


def _print_table(results: list[Result]) -> None:
    names = [field.name for field in dataclasses.fields(Result)]
    print(" ".join(f"{name:>19}" for name in names))
    for result in results:
        values = dataclasses.astuple(result)
        print(" ".join(f"{value:19,.1f}" for value in values))


def main() -> None:
    """Measure all numbers of routes; with ``--one``, print one result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--one", type=int, default=0, help="measure only this number of routes"
    )
    route_count = parser.parse_args().one
    if route_count:
        print(json.dumps(dataclasses.asdict(measure(route_count))))
        return
    results = [_measure_in_subprocess(routes) for routes in ROUTE_COUNTS]
    _print_table(results)
    OUTPUT.parent.mkdir(exist_ok=True)
    rows = [dataclasses.asdict(result) for result in results]
    OUTPUT.write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
