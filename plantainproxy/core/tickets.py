"""Tickets: the part of an idempotency key that names its home.

A ticket is encrypted and authenticated under the shared key (AES-SIV, RFC 5297), so a
caller can neither read nor make one. The issue time is the home's own monotonic
clock, which no other process ever compares with its own.
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
"""A key is granted no longer than this after its ticket was issued."""
ROUNDING_MILLISECONDS = 60_000
"""Tickets issued within the same minute are equal."""
SEPARATOR = "."
MAX_KEY_CHARACTERS = 256

_BODY = struct.Struct("!6sQHQ")
_SIV_BYTES = 16
_TICKET_BYTES = 1 + _SIV_BYTES + _BODY.size


class Ticket(typing.NamedTuple):
    """What a ticket says."""

    home: _types.Address
    """The gRPC address of the one process that may grant the key."""
    generation: int
    """The generation of that process, in milliseconds."""
    tag: int
    """The tag of the pool that the key is good for, 16 bits."""
    issued_milliseconds: int
    """The home's monotonic clock at issue, rounded down."""


def pool_tag(pool: str) -> int:
    """Return the 16-bit tag of a pool's name."""
    return int(xxhash.xxh3_64_intdigest(pool.encode())) & 0xFFFF


def round_issue_time(milliseconds: int) -> int:
    """Round an issue time down to the granularity of tickets."""
    return milliseconds - milliseconds % ROUNDING_MILLISECONDS


def encode(key: keyring.WorkingKey, ticket: Ticket) -> str:
    """Seal a ticket as text for a header field."""
    body = _BODY.pack(
        ticket.home.pack(), ticket.generation, ticket.tag, ticket.issued_milliseconds
    )
    number = bytes((key.number,))
    sealed = _cipher(key.ticket_secret).encrypt(body, [number])
    return base64.urlsafe_b64encode(number + sealed).rstrip(b"=").decode()


def decode(ring: keyring.Keyring, idempotency_key: str) -> Ticket:
    """Read the ticket of an idempotency key ``<ticket>.<text>``.

    Raises ``PlantainError``: TICKET_REQUIRED when it carries none of ours, and
    OUTCOME_UNKNOWN when it may be one under a key that is no longer in force.
    """
    ticket_text, separator, caller_text = idempotency_key.partition(SEPARATOR)
    if not separator or not caller_text or len(idempotency_key) > MAX_KEY_CHARACTERS:
        raise _ticket_required("expected <ticket>.<text> of at most 256 characters")
    try:
        sealed = base64.b64decode(ticket_text + "=" * (-len(ticket_text) % 4), b"-_", validate=True)
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
