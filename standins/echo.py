"""What the stand-in upstream answers, so that a caller can check each answer.

A caller's path is ``/work/<token>?bytes=<n>``; the answer's body is one line of JSON
that names the request, then ``n`` bytes that follow from the token.
"""

import hashlib
import json
from urllib import parse

from plantainproxy.rpc import messages

MATCHES = "matches"
MISMATCHED = "mismatched"
TRUNCATED = "truncated"


def path_of(token: str, *, payload_bytes: int) -> str:
    """Make the path of a request."""
    return f"/work/{token}?bytes={payload_bytes}"


def payload_of(token: str, payload_bytes: int) -> bytes:
    """Return the bytes that answer a token."""
    block = hashlib.sha256(token.encode()).digest()
    return (block * (payload_bytes // len(block) + 1))[:payload_bytes]


def answer(method: str, path: str) -> messages.Response:
    """Answer a request as the stand-in upstream does."""
    parts = parse.urlsplit(path)
    token = parts.path.rpartition("/")[2]
    wanted = int(parse.parse_qs(parts.query).get("bytes", ["0"])[0])
    payload = payload_of(token, wanted)
    head = {
        "method": method,
        "path": path,
        "token": token,
        "bytes": len(payload),
        "digest": hashlib.sha256(payload).hexdigest(),
    }
    body = json.dumps(head).encode() + b"\n" + payload
    return messages.Response(status=200, body=body)


def check(method: str, path: str, body: bytes) -> str:
    """Say whether a body is the whole answer to a request."""
    first_line, _, payload = body.partition(b"\n")
    try:
        head = json.loads(first_line)
    except ValueError:
        return MISMATCHED
    if not isinstance(head, dict) or head.get("path") != path:
        return MISMATCHED
    if head.get("method") != method or str(head.get("token")) not in path:
        return MISMATCHED
    if head.get("bytes") != len(payload):
        return TRUNCATED
    if head.get("digest") != hashlib.sha256(payload).hexdigest():
        return MISMATCHED
    return MATCHES
