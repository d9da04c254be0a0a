"""Plain value types that every other module may import."""

import dataclasses
import enum
import socket
import typing


class Address(typing.NamedTuple):
    """An IPv4 address and port; usable directly as a socket address."""

    host: str
    port: int

    def __str__(self) -> str:
        """Render as ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ``ValueError`` when it is not IPv4."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdecimal() or int(port) > 0xFFFF:
            raise ValueError(f"expected an IPv4 address and port, got {text!r}")
        try:
            packed = socket.inet_pton(socket.AF_INET, host)
        except OSError:
            raise ValueError(f"expected an IPv4 address, got {host!r}") from None
        return cls(host=socket.inet_ntop(socket.AF_INET, packed), port=int(port))

    @classmethod
    def unpack(cls, packed: bytes) -> "Address":
        """Build from the six bytes that :meth:`pack` makes."""
        return cls(
            host=socket.inet_ntop(socket.AF_INET, packed[:4]),
            port=int.from_bytes(packed[4:6], "big"),
        )

    def pack(self) -> bytes:
        """Return four address bytes and two port bytes in network order."""
        return socket.inet_pton(socket.AF_INET, self.host) + self.port.to_bytes(
            2, "big"
        )


class Outcome(enum.StrEnum):
    """What is known about whether a request ran on an upstream."""

    RUN = "run"
    """The upstream ran the request and its answer is known."""
    NOT_RUN = "not-run"
    """No byte reached an upstream, or the upstream said it did not run it."""
    UNKNOWN = "unknown"
    """The request may or may not have run."""


class MemberKind(enum.StrEnum):
    """The two kinds of process that announce themselves."""

    BALANCER = "balancer"
    SIDECAR = "sidecar"


class MemberState(enum.StrEnum):
    """What a member says of itself."""

    SERVING = "serving"
    """Takes new work."""
    DRAINING = "draining"
    """Takes no new work; what runs there finishes."""
    LEFT = "left"
    """Has stopped on purpose."""


class DomainState(enum.StrEnum):
    """Whether operators let a failure domain receive traffic."""

    IN = "in"
    OUT = "out"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What a balancer or sidecar announces of itself.

    Precedence between two records of one member is the order of
    ``(generation, sequence, lost)``: an older record never replaces a newer one.
    """

    kind: MemberKind
    """Which kind of process this is."""
    rpc: Address
    """The gRPC address; together with the kind it names the member."""
    domain: str
    """The failure domain's name."""
    generation: int
    """Start time of the process in milliseconds since the epoch."""
    sequence: int
    """Raised by the owner at each change of its own record."""
    state: MemberState = MemberState.SERVING
    """What the member says of itself."""
    pool: str = ""
    """The pool that a sidecar's upstream serves; empty for a balancer."""
    tunnel: Address = Address("0.0.0.0", 0)
    """The UDP address for datagrams; the name of an upstream to operators."""
    weight: float = 1.0
    """Share of new flows relative to other members of the pool, in (0, 1]."""
    lost: bool = False
    """Set by an observer that no longer hears the member."""

    @property
    def key(self) -> str:
        """The member's identity: its kind and gRPC address."""
        return f"{self.kind}/{self.rpc}"

    @property
    def version(self) -> tuple[int, int, bool]:
        """The precedence of this record among records of the same member."""
        return (self.generation, self.sequence, self.lost)
