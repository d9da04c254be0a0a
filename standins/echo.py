"""What the stand-in upstream answers, so that a caller can check each answer.

The answer is a JSON object that names the request's method, path and token, and the
size and digest of its body.
"""

import hashlib
import json

from plantainproxy.rpc import messages

TOKEN_HEADER = b"token"
MATCHES = "matches"
MISMATCHED = "mismatched"
TRUNCATED = "truncated"


def expected(method: str, path: str, token: str, body: bytes) -> dict[str, object]:
    """Return the members that the answer to a request must have."""
    return {
        "method": method,
        "path": path,
        "token": token,
        "body_sha256": hashlib.sha256(body).hexdigest(),
        "body_bytes": len(body),
    }


def respond(request: messages.Request) -> messages.Response:
    """Answer a request as the stand-in upstream does."""
    fields = {field.name: field.value for field in request.headers}
    token = fields.get(TOKEN_HEADER, b"").decode()
    document = expected(request.method, request.path, token, request.body)
    return messages.Response(status=200, body=json.dumps(document).encode())


def check(body: bytes, expected_fields: dict[str, object]) -> str:
    """Say whether an answer is the whole answer to its own request."""
    try:
        document = json.loads(body)
    except ValueError:
        return TRUNCATED
    if not isinstance(document, dict):
        return MISMATCHED
    actual_fields = {name: document.get(name) for name in expected_fields}
    return MATCHES if actual_fields == expected_fields else MISMATCHED
