"""Calls from an operator's terminal to the balancers."""

from collections import abc
import contextlib
import typing

import grpc

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import (
    credentials,
    error_metadata,
    operator_pb2,
    operator_pb2_grpc,
)
from plantainproxy.settings import model

WORKS_WITHOUT_STORE = (
    "Without the store, status, show and explain still work, and the configuration in "
    "force is served on."
)

Stub = operator_pb2_grpc.OperatorStub
ReadSettings = abc.Callable[[], model.ClientSettings]
"""Reads the settings; a command that asks no balancer never calls it."""
T = typing.TypeVar("T")


@contextlib.contextmanager
def open_stub(address: _types.Address, tls: model.Tls) -> abc.Iterator[Stub]:
    """Yield a stub for one balancer and close its channel afterwards."""
    channel_credentials = credentials.for_channel(tls)
    if channel_credentials is None:
        channel = grpc.insecure_channel(str(address))
    else:
        channel = grpc.secure_channel(str(address), channel_credentials)
    with channel:
        yield operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]


def error_of(error: grpc.RpcError) -> _exceptions.PlantainError:
    """Translate a failed call into the closed list of kinds."""
    told = error_metadata.error_from_call(error)
    if told is not None:
        return told
    detail = error.details() or ""
    code = error.code().name.lower().replace("_", " ")
    return _exceptions.PlantainError(
        _exceptions.ErrorKind.PEER_UNAVAILABLE, f"{code}: {detail}"
    )


def call_one(
    address: _types.Address,
    settings: model.ClientSettings,
    run: abc.Callable[[Stub], T],
) -> T:
    """Run one call against one balancer; raise ``PlantainError`` when it fails."""
    with open_stub(address, settings.tls) as stub:
        try:
            return run(stub)
        except grpc.RpcError as error:
            raise error_of(error) from None


def call_any(settings: model.ClientSettings, run: abc.Callable[[Stub], T]) -> T:
    """Run one call against the first balancer that answers.

    The call must be safe to repeat: a balancer whose answer was lost may have
    carried it out.
    """
    failures = []
    for address in settings.balancers:
        try:
            return call_one(address, settings, run)
        except _exceptions.PlantainError as error:
            if error.kind is not _exceptions.ErrorKind.PEER_UNAVAILABLE:
                raise
            failures.append(f"{address}: {error.detail}")
    raise _exceptions.PlantainError(
        _exceptions.ErrorKind.PEER_UNAVAILABLE, "; ".join(failures)
    )


def show(settings: model.ClientSettings) -> operator_pb2.ShowReply:
    """Ask for the configuration in force."""

    def run(stub: Stub) -> operator_pb2.ShowReply:
        reply: operator_pb2.ShowReply = stub.Show(
            operator_pb2.ShowRequest(), timeout=settings.call_timeout_seconds
        )
        return reply

    return call_any(settings, run)
