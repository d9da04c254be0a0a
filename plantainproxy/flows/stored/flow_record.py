"""The stored form of a sidecar's flow snapshot.

Separate from its writer, so that balancers do not import the sidecar's engine: that
would delay their start.
"""

import typing

import msgspec

from plantainproxy import _decoding

PREFIX = "plantainproxy/flows/"

SequenceNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
SequenceNumbers = typing.Annotated[
    dict[_decoding.FlowKey, SequenceNumber],
    msgspec.Meta(max_length=_decoding.MAX_ELEMENTS),
]


class FlowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The open flows of one incarnation of an upstream."""

    born: _decoding.Count
    """Start of the incarnation in milliseconds since the epoch, on the upstream's
    clock."""
    flows: SequenceNumbers
    """The caller's newest acknowledgement, by flow key. Processes of earlier releases
    read no further fields."""
    unconfirmed: SequenceNumbers = {}
    """The upstream's initial sequence number, by key of a flow whose caller has not
    acknowledged its acceptance; only in a snapshot at a planned stop."""
    closed: typing.Annotated[
        tuple[_decoding.FlowKey, ...], msgspec.Meta(max_length=_decoding.MAX_ELEMENTS)
    ] = ()
    """Closed flows that may still have retransmissions; likewise."""
    is_final: bool = False
    """Whether the snapshot names every flow of the upstream until another process
    serves it."""
    era: _decoding.Count = 0
    """Era of the store for which it was taken."""
    is_stop: bool = False
    """Whether it was taken at a planned stop of a sidecar whose upstream runs on."""
    stopped_at: _decoding.Amount | None = None
    """Time of the planned stop in seconds since the start of the machine. Earlier
    releases do not state it."""
    is_ready: bool = False
    """Whether the upstream was ready at the planned stop, so that it had not announced
    its end. Earlier releases do not state it."""


def key_of(host: str) -> str:
    """Return the key of the snapshot of the sidecar on a host."""
    return f"{PREFIX}{host}/"
