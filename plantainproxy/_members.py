"""The record that each member of the system publishes about itself.

It is not part of ``_types``, because the definition of a data class delays the start of
processes that need none.
"""

import dataclasses

from plantainproxy import _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """The membership record that a balancer or sidecar publishes about itself.

    Of two records of one member, the one with the greater
    ``(generation, sequence, lost)`` takes precedence: an older record never replaces
    a newer one.
    """

    kind: _types.MemberKind
    """The kind of process."""
    rpc: _types.Address
    """The gRPC address; together with the kind it identifies the member."""
    domain: str
    """The failure domain's name."""
    generation: int
    """Start time of the process in milliseconds since the epoch."""
    sequence: int
    """Increased by the member each time it changes its record."""
    state: _types.MemberState = _types.MemberState.SERVING
    """The state that the member reports of itself."""
    pool: str = ""
    """The pool that a sidecar's upstream serves; empty for a balancer."""
    tunnel: _types.Address = _types.Address("0.0.0.0", 0)
    """The UDP address for datagrams; it identifies an upstream to operators."""
    weight: float = 1.0
    """Share of new flows relative to other members of the pool, in (0, 1]."""
    lost: bool = False
    """Set by another process that no longer receives messages from the member."""

    @property
    def key(self) -> str:
        """The identity of the member: its kind and gRPC address."""
        return f"{self.kind}/{self.rpc}"

    @property
    def version(self) -> tuple[int, int, bool]:
        """The precedence of this record among the records of the same member."""
        return (self.generation, self.sequence, self.lost)
