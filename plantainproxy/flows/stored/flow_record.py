"""The stored form of a sidecar's flow snapshot.

Separate from its writer, so that balancers do not import the sidecar's engine: that
would delay their start.
"""

import typing

import msgspec

PREFIX = "plantainproxy/flows/"
FLOW_KEY_BYTES = 12
"""Packed service address and caller address."""

FlowKey = typing.Annotated[
    bytes, msgspec.Meta(min_length=FLOW_KEY_BYTES, max_length=FLOW_KEY_BYTES)
]
SequenceNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The open flows of one incarnation of an upstream."""

    born: int
    """Start of the incarnation in milliseconds since the epoch, on the upstream's
    clock."""
    flows: dict[FlowKey, SequenceNumber]
    """The caller's newest acknowledgement, by flow key."""


def key_of(host: str) -> str:
    """Return the key of the snapshot of the sidecar on a host."""
    return f"{PREFIX}{host}/"
