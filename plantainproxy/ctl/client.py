"""gRPC calls from ``plantainctl`` to the balancers."""

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

STORE_OUTAGE_NOTE = (
    "Without the store, status, show and explain still work, and balancers keep "
    "serving the active configuration."
)

Stub = operator_pb2_grpc.OperatorStub
ReadSettings = abc.Callable[[], model.ClientSettings]
"""Loads the settings; commands that call no balancer never use it."""
T = typing.TypeVar("T")


@contextlib.contextmanager
def open_stub(address: _types.Address, tls: model.Tls) -> abc.Iterator[Stub]:
    """Yield a stub for one balancer; closes the channel on exit."""
    channel_credentials = credentials.for_channel(tls)
    if channel_credentials is None:
        channel = grpc.insecure_channel(str(address))
    else:
        channel = grpc.secure_channel(str(address), channel_credentials)
    with channel:
        yield operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]


def translate_error(error: grpc.RpcError) -> _exceptions.PlantainError:
    """Convert a failed gRPC call to a ``PlantainError``.

    An error kind that the peer sent is kept. Any other failure becomes
    ``PEER_UNAVAILABLE`` with the gRPC status code in its detail.
    """
    peer_error = error_metadata.error_from_call(error)
    if peer_error is not None:
        return peer_error
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
    """Run one call on one balancer; raise ``PlantainError`` when it fails."""
    with open_stub(address, settings.tls) as stub:
        try:
            return run(stub)
        except grpc.RpcError as error:
            raise translate_error(error) from None


def call_any(settings: model.ClientSettings, run: abc.Callable[[Stub], T]) -> T:
    """Run one call on the first configured balancer that answers.

    The call must be idempotent: a balancer whose reply was lost may have executed it
    before the next balancer is tried.
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
    """Return the active configuration."""

    def run(stub: Stub) -> operator_pb2.ShowReply:
        reply: operator_pb2.ShowReply = stub.Show(
            operator_pb2.ShowRequest(), timeout=settings.call_timeout_seconds
        )
        return reply

    return call_any(settings, run)
