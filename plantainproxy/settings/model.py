"""The settings of each binary, one frozen data class per file."""

import dataclasses

from plantainproxy import _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tls:
    """Certificates for the calls between processes and from operators."""

    certificate_file: str = ""
    private_key_file: str = ""
    authority_file: str = ""
    allow_plaintext_beyond_loopback: bool = False
    """Plaintext on other than loopback addresses needs this in so many words."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Telemetry:
    """Where logs and metrics go."""

    log_level: str = "INFO"
    log_format: str = "text"
    """Either ``text`` or ``json``."""
    statsd_address: _types.Address | None = None
    """Metrics are off when this is absent."""
    statsd_interval_seconds: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """How to reach the platform's store."""

    address: _types.Address
    call_timeout_seconds: float = 2.0
    watch_rearm_seconds: float = 5.0
    """A watch is armed again after this time even if it seems healthy."""
    prefix: str = "plantainproxy/"
    """Every key of this installation begins with it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalancerSettings:
    """The settings of ``plantain-balancer``."""

    domain: str
    """The name of the failure domain that the process runs in."""
    datagram_address: _types.Address
    """UDP, from the fabric."""
    rpc_address: _types.Address
    """gRPC, for peers, sidecars and operators."""
    health_address: _types.Address
    """TCP; accepts connections only while the fabric may send datagrams here."""
    store: StoreSettings
    seeds: tuple[_types.Address, ...] = ()
    """gRPC addresses of other balancers, for when the store is down."""
    gossip_interval_seconds: float = 0.25
    heartbeat_interval_seconds: float = 0.5
    """How often sidecars are expected to call."""
    grace_seconds: float = 5.0
    """How long a planned stop may take."""
    tls: Tls = Tls()
    telemetry: Telemetry = Telemetry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """The settings of ``plantain-sidecar``."""

    domain: str
    """The name of the failure domain that the process runs in."""
    pool: str
    """The name of the pool that the upstream belongs to."""
    tunnel_address: _types.Address
    """UDP, from balancers and siblings."""
    rpc_address: _types.Address
    """gRPC, from siblings."""
    upstream_address: _types.Address
    """HTTP/1.1, where the upstream listens."""
    fabric_addresses: tuple[_types.Address, ...]
    """UDP, where answers to callers go."""
    certificate_file: str
    """PEM chain for the callers' TLS."""
    private_key_file: str
    seeds: tuple[_types.Address, ...]
    """gRPC addresses of balancers for the first heartbeat."""
    weight: float = 1.0
    """Share of new flows relative to other upstreams of the pool, in (0, 1]."""
    heartbeat_interval_seconds: float = 0.5
    grace_seconds: float = 10.0
    """How long a planned stop may take."""
    max_body_bytes: int = 1_048_576
    default_timeout_seconds: float = 10.0
    """Deadline of a request that carries none."""
    tls: Tls = Tls()
    telemetry: Telemetry = Telemetry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientSettings:
    """The settings of ``plantainctl``."""

    balancers: tuple[_types.Address, ...]
    """gRPC addresses; the first that answers is used."""
    operator: str = ""
    """The name that the audit trail records; the login name when empty."""
    call_timeout_seconds: float = 10.0
    tls: Tls = Tls()
