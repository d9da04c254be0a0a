"""HTTP problem details responses (RFC 9457) for the error kinds."""

import json

from plantainproxy import _exceptions, _types
from plantainproxy.rpc import messages

TYPE_PREFIX = "urn:plantainproxy:error:"


def response(
    kind: _exceptions.ErrorKind,
    detail: str = "",
    *,
    outcome: _types.Outcome | None = None,
) -> messages.Response:
    """Return the problem details response of an error kind.

    ``outcome`` overrides the default outcome of the kind where that is too definite,
    such as when an earlier attempt with the same idempotency key may have run.
    """
    answer = _exceptions.ANSWERS[kind]
    document = {
        "type": TYPE_PREFIX + kind.value,
        "title": answer.title,
        "status": answer.http_status,
        "detail": detail,
        "outcome": (outcome or answer.outcome).value,
    }
    headers = [
        messages.Header(name=b"content-type", value=b"application/problem+json"),
        messages.Header(name=b"cache-control", value=b"no-store"),
    ]
    if answer.retry_after_seconds is not None:
        value = b"%d" % answer.retry_after_seconds
        headers.append(messages.Header(name=b"retry-after", value=value))
    return messages.Response(
        status=answer.http_status,
        headers=tuple(headers),
        body=json.dumps(document).encode(),
        error=kind,
    )
