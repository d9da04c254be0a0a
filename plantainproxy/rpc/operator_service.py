"""The operators' gRPC service, whose handlers are async functions in trio."""

from collections import abc
import dataclasses
import logging
import typing

from google.protobuf import message
import grpc
import trio

from plantainproxy import _exceptions
from plantainproxy.rpc import error_metadata, operator_pb2

SERVICE = "plantainproxy.Operator"

logger = logging.getLogger("plantain.operator")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Handlers:
    """The handler of each method of the service."""

    show: abc.Callable[
        [operator_pb2.ShowRequest], abc.Awaitable[operator_pb2.ShowReply]
    ]
    change: abc.Callable[
        [operator_pb2.ChangeRequest], abc.Awaitable[operator_pb2.ChangeReply]
    ]
    status: abc.Callable[
        [operator_pb2.StatusRequest], abc.Awaitable[operator_pb2.StatusReply]
    ]
    audit: abc.Callable[
        [operator_pb2.AuditRequest], abc.Awaitable[operator_pb2.AuditReply]
    ]
    explain: abc.Callable[
        [operator_pb2.ExplainRequest], abc.Awaitable[operator_pb2.ExplainReply]
    ]
    rotate_keys: abc.Callable[
        [operator_pb2.RotateKeysRequest], abc.Awaitable[operator_pb2.RotateKeysReply]
    ]


def _abort(context: grpc.ServicerContext, error: _exceptions.PlantainError) -> None:
    context.set_trailing_metadata(error_metadata.encode(error.kind))
    context.abort(grpc.StatusCode[error.answer.grpc_status], error.detail)


def _method_handler(
    handler: abc.Callable[[typing.Any], abc.Awaitable[typing.Any]],
    request_type: type[message.Message],
    token: trio.lowlevel.TrioToken,
) -> typing.Any:
    def handle_call(request: typing.Any, context: grpc.ServicerContext) -> typing.Any:
        """Handle one call in a server thread."""
        try:
            return trio.from_thread.run(handler, request, trio_token=token)
        except _exceptions.PlantainError as error:
            return _abort(context, error)
        except trio.RunFinishedError:
            kind = _exceptions.ErrorKind.PEER_UNAVAILABLE
            return _abort(
                context, _exceptions.PlantainError(kind, "The process is stopping.")
            )
        except Exception:
            logger.exception(
                "Operator RPC handler of %s raised an unexpected exception.",
                request_type.__name__,
            )
            kind = _exceptions.ErrorKind.INTERNAL
            return _abort(context, _exceptions.PlantainError(kind))

    return grpc.unary_unary_rpc_method_handler(
        handle_call,
        request_deserializer=request_type.FromString,
        response_serializer=lambda reply: reply.SerializeToString(),
    )


def generic_handler(handlers: Handlers) -> typing.Any:
    """Return the gRPC handler of the service; must be called inside trio."""
    token = trio.lowlevel.current_trio_token()
    methods = {
        "Show": _method_handler(handlers.show, operator_pb2.ShowRequest, token),
        "Change": _method_handler(handlers.change, operator_pb2.ChangeRequest, token),
        "Status": _method_handler(handlers.status, operator_pb2.StatusRequest, token),
        "Audit": _method_handler(handlers.audit, operator_pb2.AuditRequest, token),
        "Explain": _method_handler(
            handlers.explain, operator_pb2.ExplainRequest, token
        ),
        "RotateKeys": _method_handler(
            handlers.rotate_keys, operator_pb2.RotateKeysRequest, token
        ),
    }
    return grpc.method_handlers_generic_handler(SERVICE, methods)
