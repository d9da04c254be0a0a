"""Calls from an operator's terminal to the balancers."""

from collections.abc import Callable, Iterator
import contextlib
import pathlib
from typing import TypeVar

import grpc

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import operator_pb2, operator_pb2_grpc
from plantainproxy.settings import model

KIND_METADATA = "plantain-kind"
"""Trailing metadata that names the error kind of a failed call."""

Stub = operator_pb2_grpc.OperatorStub
T = TypeVar("T")


def _credentials(tls: model.Tls) -> grpc.ChannelCredentials | None:
    if not tls.certificate_file:
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=pathlib.Path(tls.authority_file).read_bytes(),
        private_key=pathlib.Path(tls.private_key_file).read_bytes(),
        certificate_chain=pathlib.Path(tls.certificate_file).read_bytes(),
    )


@contextlib.contextmanager
def open_stub(address: _types.Address, tls: model.Tls) -> Iterator[Stub]:
    """Yield a stub for one balancer and close its channel afterwards."""
    credentials = _credentials(tls)
    channel = (
        grpc.insecure_channel(str(address))
        if credentials is None
        else grpc.secure_channel(str(address), credentials)
    )
    with channel:
        yield operator_pb2_grpc.OperatorStub(channel)  # type: ignore[no-untyped-call]


def error_of(error: grpc.RpcError) -> _exceptions.PlantainError:
    """Translate a failed call into the closed list of kinds."""
    detail = error.details() or ""
    kinds = [
        item.value
        for item in error.trailing_metadata() or ()
        if item.key == KIND_METADATA
    ]
    kind = kinds[0] if kinds else ""
    if kind in set(_exceptions.ErrorKind):
        return _exceptions.PlantainError(_exceptions.ErrorKind(kind), detail)
    return _exceptions.PlantainError(_exceptions.ErrorKind.PEER_UNAVAILABLE, detail)


def call_one(
    address: _types.Address, settings: model.ClientSettings, run: Callable[[Stub], T]
) -> T:
    """Run one call against one balancer; raise ``PlantainError`` when it fails."""
    with open_stub(address, settings.tls) as stub:
        try:
            return run(stub)
        except grpc.RpcError as error:
            raise error_of(error) from None


def call_any(settings: model.ClientSettings, run: Callable[[Stub], T]) -> T:
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
