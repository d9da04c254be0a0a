"""The echo response of the stand-in upstream, and its verification by callers.

The response is a JSON object with the method, path and token of the request, and the
size and SHA-256 digest of its body.
"""

import hashlib
import json

from plantainproxy.rpc import messages

TOKEN_HEADER = b"token"
MATCHES = "matches"
MISMATCHED = "mismatched"
TRUNCATED = "truncated"
UPSTREAM_TIMEOUT = "upstream_timeouts"
"""The upstream's own response that the deadline of this very request has passed."""
TIMEOUT_STATUS = 504


def expected(method: str, path: str, token: str, body: bytes) -> dict[str, object]:
    """Return the JSON members that the response to a request must contain."""
    return {
        "method": method,
        "path": path,
        "token": token,
        "body_sha256": hashlib.sha256(body).hexdigest(),
        "body_bytes": len(body),
    }


def respond(request: messages.Request) -> messages.Response:
    """Return an echo response with only the members that callers verify."""
    fields = {field.name: field.value for field in request.headers}
    token = fields.get(TOKEN_HEADER, b"").decode()
    document = expected(request.method, request.path, token, request.body)
    return messages.Response(status=200, body=json.dumps(document).encode())


def check(body: bytes, expected_fields: dict[str, object], *, status: int = 200) -> str:
    """Compare a response body with the members that its request requires.

    Returns ``MATCHES``, ``UPSTREAM_TIMEOUT`` if the members match but the status is
    that of a timeout, ``TRUNCATED`` for a body that is not valid JSON, or
    ``MISMATCHED`` for any other body, such as the response to another request.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return TRUNCATED
    if not isinstance(document, dict):
        return MISMATCHED
    actual_fields = {name: document.get(name) for name in expected_fields}
    if actual_fields != expected_fields:
        return MISMATCHED
    return UPSTREAM_TIMEOUT if status == TIMEOUT_STATUS else MATCHES
