"""Clients of the control endpoints of the stand-in store, upstream and fabric."""

import json
import typing

import h11
import trio

from plantainproxy import _types
from testbed import cluster as cluster_module

RECEIVE_BYTES = 65_536


async def request_json(
    address: _types.Address, method: str, path: str, document: typing.Any = None
) -> typing.Any:
    """Send one HTTP request with a JSON body and return the JSON response."""
    body = b"" if document is None else json.dumps(document).encode()
    connection = h11.Connection(our_role=h11.CLIENT)
    request = h11.Request(
        method=method,
        target=path,
        headers=[("host", str(address)), ("content-length", str(len(body)))],
    )
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(connection.send(request) or b"")
        await stream.send_all(connection.send(h11.Data(data=body)) or b"")
        connection.send(h11.EndOfMessage())
        received = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Data):
                received += event.data
            elif isinstance(event, h11.EndOfMessage):
                return json.loads(received or b"null")


async def set_store_faults(
    cluster: cluster_module.Cluster, **faults: typing.Any
) -> None:
    """Set the faults that the stand-in store injects."""
    await request_json(cluster.store_control, "POST", "/standin/faults", faults)


async def set_upstream(host: cluster_module.Host, **settings: typing.Any) -> None:
    """Change the settings of one stand-in upstream."""
    await request_json(host.upstream_address, "POST", "/standin/settings", settings)


async def upstream_executions(host: cluster_module.Host) -> list[dict[str, typing.Any]]:
    """Return the requests that a stand-in upstream has executed since its start."""
    response = await request_json(host.upstream_address, "GET", "/standin/executions")
    executions: list[dict[str, typing.Any]] = response["executions"]
    return executions


async def upstream_counters(host: cluster_module.Host) -> dict[str, typing.Any]:
    """Return the counters of one stand-in upstream."""
    counters: dict[str, typing.Any] = await request_json(
        host.upstream_address, "GET", "/standin/counters"
    )
    return counters


async def send_fabric_command(
    cluster: cluster_module.Cluster, **command: typing.Any
) -> dict[str, typing.Any]:
    """Send a command to the stand-in fabric and return the fabric's counters."""
    stream = await trio.open_tcp_stream(*cluster.fabric_control)
    async with stream:
        await stream.send_all(json.dumps(command).encode() + b"\n")
        received = b""
        while not received.endswith(b"\n"):
            chunk = await stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                break
            received += chunk
    counters: dict[str, typing.Any] = json.loads(received)
    return counters
