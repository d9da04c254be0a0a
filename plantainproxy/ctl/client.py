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

WORKS_WITHOUT_STORE = (
    "Without the store, status, show and explain still work, and the configuration in "
    "force is served on."
)

Stub = operator_pb2_grpc.OperatorStub
ReadSettings = Callable[[], model.ClientSettings]
"""Reads the settings; a command that asks no balancer never calls it."""
T = TypeVar("T")


def _credentials(tls: model.Tls) -> grpc.ChannelCredentials | None:
    if not tls.certificate_file:
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=_read(tls.authority_file),
        private_key=_read(tls.private_key_file),
        certificate_chain=_read(tls.certificate_file),
    )


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.INVALID_SETTINGS, f"{path}: {error.strerror}"
        ) from None


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
    code = error.code().name.lower().replace("_", " ")
    return _exceptions.PlantainError(
        _exceptions.ErrorKind.PEER_UNAVAILABLE, f"{code}: {detail}"
    )


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
