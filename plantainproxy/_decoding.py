"""Decoding of data that another program may have written, and the bounds of its values.

A value of these types can be used anywhere after it has been decoded: addresses can be
passed to a socket, sums of numbers can be encoded, and no float is infinite or NaN.
"""

import functools
import re
import typing

import msgspec

ERRORS = (msgspec.DecodeError, RecursionError)
"""Deeply nested data of an unknown field ends in a ``RecursionError``."""

MAX_INTEGER = 2**63 - 1
"""Largest integer that fits 64 bits with a sign."""
MAX_LOAD = 2**32 - 1
"""Largest number of requests or flows; sums over a fleet fit an encoded integer."""
MAX_NUMBER = 1e15
"""Bound of a float of either sign, in any unit. Sums and products stay finite."""
MAX_NAME_LENGTH = 1_024
MAX_TEXT_LENGTH = 65_536
MAX_ELEMENTS = 1_000_000
"""Elements of a collection in a document. The bytes of a document are limited, too."""
MAX_DATAGRAM_ELEMENTS = 4_096
"""Elements of a collection in a datagram. Batches fit 1,400 bytes, and a request names
one relay of each failure domain."""
MAX_DATAGRAM_BYTES = 65_535
FLOW_KEY_BYTES = 12
SERVICE_BYTES = 6

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"

_HOST_PATTERN = rf"\A(?:{_OCTET}\.){{3}}{_OCTET}\Z"
MAX_CACHED_HOSTS = 16_384

Host = typing.Annotated[str, msgspec.Meta(pattern=_HOST_PATTERN)]
"""IPv4 address in the only form that ``inet_ntop`` returns."""
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER - 1, le=MAX_INTEGER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""Sequence number, revision, era, time in milliseconds or digest."""
Load = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_LOAD)]
"""Number of requests, flows, slots or processes."""
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]
"""Time or rate."""
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
"""Name of a pool, route, domain or machine."""
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
HttpPath = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[!-~]*\Z", max_length=MAX_NAME_LENGTH)
]
"""Target of a request: visible ASCII characters, which cannot end the request line."""
FlowKey = typing.Annotated[
    bytes, msgspec.Meta(min_length=FLOW_KEY_BYTES, max_length=FLOW_KEY_BYTES)
]
"""Packed service address and caller address."""
Service = typing.Annotated[
    bytes, msgspec.Meta(min_length=SERVICE_BYTES, max_length=SERVICE_BYTES)
]
"""Packed service address."""


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def check_host(host: str) -> None:
    """Raise ``ValueError`` unless a text is a ``Host``."""
    if not re.search(_HOST_PATTERN, host):
        raise ValueError(f"expected an IPv4 address, got {host!r}")


def reason(error: Exception) -> str:
    """Return why an input was refused, as part of a counter's name."""
    if isinstance(error, RecursionError):
        return "nesting"
    if isinstance(error, msgspec.DecodeError) and not isinstance(
        error, msgspec.ValidationError
    ):
        return "syntax"
    return "value"


def ignore(error: Exception) -> None:
    """Do not report a refused input."""
