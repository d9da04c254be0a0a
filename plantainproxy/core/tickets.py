"""Tickets: the part of an idempotency key that identifies its home.

A ticket is encrypted and authenticated with the shared key (AES-SIV, RFC 5297), so a
caller can neither read nor forge one. The issue time is read from the home's monotonic
clock, and other processes never compare it with their clocks.
"""

import base64
import binascii
import functools
import struct
import typing

from cryptography import exceptions
from cryptography.hazmat.primitives.ciphers import aead
import xxhash

from plantainproxy import _exceptions, _types
from plantainproxy.wire import keyring

LIFETIME_MILLISECONDS = 600_000
"""Maximum age of a ticket at which its key is still granted."""
ROUNDING_MILLISECONDS = 60_000
"""Granularity of issue times; tickets issued within the same minute are equal."""
SEPARATOR = "."
MAX_KEY_CHARACTERS = 256

_BODY = struct.Struct("!6sQHQ")
_SIV_BYTES = 16
_TICKET_BYTES = 1 + _SIV_BYTES + _BODY.size


class Ticket(typing.NamedTuple):
    """Contents of a ticket."""

    home: _types.Address
    """gRPC address of the only process that may grant the key."""
    generation: int
    """Generation of that process in milliseconds."""
    tag: int
    """16-bit tag of the pool for which the key is valid."""
    issued_milliseconds: int
    """Time of issue on the home's monotonic clock, rounded down."""


def pool_tag(pool: str) -> int:
    """Return the 16-bit hash of a pool's name."""
    return int(xxhash.xxh3_64_intdigest(pool.encode())) & 0xFFFF


def round_issue_time(milliseconds: int) -> int:
    """Round an issue time down to the ticket granularity."""
    return milliseconds - milliseconds % ROUNDING_MILLISECONDS


def encode(key: keyring.WorkingKey, ticket: Ticket) -> str:
    """Encrypt a ticket and encode it as base64url text for a header field."""
    body = _BODY.pack(
        ticket.home.pack(), ticket.generation, ticket.tag, ticket.issued_milliseconds
    )
    number = bytes((key.number,))
    sealed = _cipher(key.ticket_secret).encrypt(body, [number])
    return base64.urlsafe_b64encode(number + sealed).rstrip(b"=").decode()


def decode(ring: keyring.Keyring, idempotency_key: str) -> Ticket:
    """Decode the ticket of an idempotency key ``<ticket>.<text>``.

    Raises ``PlantainError`` with TICKET_REQUIRED if the key has no authentic ticket,
    or with OUTCOME_UNKNOWN if the ticket names an encryption key that is not active.
    """
    ticket_text, separator, caller_text = idempotency_key.partition(SEPARATOR)
    if not separator or not caller_text or len(idempotency_key) > MAX_KEY_CHARACTERS:
        raise _ticket_required("expected <ticket>.<text> of at most 256 characters")
    try:
        sealed = base64.b64decode(
            ticket_text + "=" * (-len(ticket_text) % 4), b"-_", validate=True
        )
    except (binascii.Error, ValueError):
        raise _ticket_required("the ticket is not base64url") from None
    if len(sealed) != _TICKET_BYTES:
        raise _ticket_required("the ticket has the wrong length")
    key = ring.ticket_keys.get(sealed[0])
    if key is None:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.OUTCOME_UNKNOWN, "the ticket's key is not in force"
        )
    return _decrypt(key, sealed)


def _decrypt(key: keyring.WorkingKey, sealed: bytes) -> Ticket:
    try:
        body = _cipher(key.ticket_secret).decrypt(sealed[1:], [sealed[:1]])
    except exceptions.InvalidTag:
        raise _ticket_required("the ticket is forged") from None
    home, generation, tag, issued = _BODY.unpack(body)
    return Ticket(_types.Address.unpack(home), generation, tag, issued)


@functools.lru_cache(maxsize=16)
def _cipher(secret: bytes) -> aead.AESSIV:
    return aead.AESSIV(secret)


def _ticket_required(detail: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.TICKET_REQUIRED, detail)
