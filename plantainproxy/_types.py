"""Value types that are shared by all other modules."""

import enum
import socket
import typing


class Address(typing.NamedTuple):
    """An IPv4 address and port, usable as a socket address."""

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
        """Decode the six bytes that :meth:`pack` returns."""
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
    """Whether a request ran on an upstream."""

    RUN = "run"
    """The upstream ran the request and its response was received."""
    NOT_RUN = "not-run"
    """No byte reached an upstream, or the upstream reported that nothing ran."""
    UNKNOWN = "unknown"
    """The request may or may not have run."""


class MemberKind(enum.StrEnum):
    """The kinds of process that are members of the system."""

    BALANCER = "balancer"
    SIDECAR = "sidecar"


class MemberState(enum.StrEnum):
    """The state that a member reports of itself."""

    SERVING = "serving"
    """Accepts new work."""
    DRAINING = "draining"
    """Accepts no new work; running work finishes."""
    LEFT = "left"
    """Has ended by a planned stop."""


class DomainState(enum.StrEnum):
    """Whether operators allow a failure domain to receive traffic."""

    IN = "in"
    OUT = "out"
