"""The stored form of a sidecar's flow snapshot.

Separate from its writer, so that balancers do not import the sidecar's engine: that
would delay their start.
"""

import typing

import msgspec

from plantainproxy import _decoding

PREFIX = "plantainproxy/flows/"

SequenceNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The open flows of one incarnation of an upstream."""

    born: _decoding.Count
    """Start of the incarnation in milliseconds since the epoch, on the upstream's
    clock."""
    flows: typing.Annotated[
        dict[_decoding.FlowKey, SequenceNumber],
        msgspec.Meta(max_length=_decoding.MAX_ELEMENTS),
    ]
    """The caller's newest acknowledgement, by flow key."""


def key_of(host: str) -> str:
    """Return the key of the snapshot of the sidecar on a host."""
    return f"{PREFIX}{host}/"
