"""Messages are unchanged by encoding and decoding."""

import pytest

from plantainproxy import _exceptions, _members, _types
from plantainproxy.config import model
from plantainproxy.rpc import codec, messages

RECORD = _members.MemberRecord(
    kind=_types.MemberKind.SIDECAR,
    rpc=_types.Address("127.0.0.1", 9000),
    domain="a",
    generation=1_700_000_000_000,
    sequence=3,
    pool="press-telemetry",
    tunnel=_types.Address("127.0.0.1", 9001),
)
CONFIGURATION = model.Configuration(
    revision=4,
    routes=(model.Route(name="r", address=RECORD.tunnel, pool="press-telemetry"),),
    pools=(model.Pool(name="press-telemetry"),),
    domains=(model.Domain(name="a", number=1),),
)


@pytest.mark.parametrize(
    "message",
    [
        messages.HeartbeatRequest(
            record=RECORD,
            configuration_revision=1,
            key_revision=2,
            siblings_digest=3,
        ),
        messages.HeartbeatReply(stored_record=RECORD, siblings=(RECORD,)),
        messages.PullReply(configuration=CONFIGURATION),
        messages.ExecuteReply(
            running=1,
            limit=2,
            response=messages.Response(status=200, body=b"x"),
            error=_exceptions.ErrorKind.OVERLOADED,
        ),
    ],
)
def test_a_message_survives_encoding(message: object) -> None:
    """A decoded message equals the encoded one."""
    assert codec.decode(codec.encode(message), type(message)) == message
