"""The settings of each program, one frozen dataclass per settings file."""

import dataclasses

from plantainproxy import _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tls:
    """TLS certificates for gRPC calls between processes and from operators."""

    certificate_file: str = ""
    private_key_file: str = ""
    authority_file: str = ""
    allow_plaintext_beyond_loopback: bool = False
    """Allows plaintext on non-loopback addresses. Must be set explicitly."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Telemetry:
    """Logging and metrics settings."""

    log_level: str = "INFO"
    log_format: str = "text"
    """Either ``text`` or ``json``."""
    statsd_address: _types.Address | None = None
    """If absent, no metrics are sent."""
    statsd_interval_seconds: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """Connection settings of the platform's store."""

    address: _types.Address
    call_timeout_seconds: float = 2.0
    watch_rearm_seconds: float = 5.0
    """A watch is restarted after this time, even if it seems healthy."""
    prefix: str = "plantainproxy/"
    """Prefix of every key of this installation."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalancerSettings:
    """The settings of ``plantain-balancer``."""

    domain: str
    """The name of the failure domain that the process runs in."""
    datagram_address: _types.Address
    """UDP, receives datagrams from the fabric."""
    rpc_address: _types.Address
    """gRPC, serves peers, sidecars and operators."""
    health_address: _types.Address
    """TCP; accepts connections only while the fabric may send datagrams here."""
    store: StoreSettings
    seeds: tuple[_types.Address, ...] = ()
    """gRPC addresses of other balancers; also available while the store is down."""
    gossip_interval_seconds: float = 0.25
    heartbeat_interval_seconds: float = 0.5
    """Expected interval between two heartbeats of a sidecar."""
    grace_seconds: float = 5.0
    """Maximum duration of a graceful shutdown."""
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
    """UDP, receives datagrams from balancers and siblings."""
    rpc_address: _types.Address
    """gRPC, serves siblings."""
    upstream_address: _types.Address
    """HTTP/1.1, the address that the upstream listens on."""
    fabric_addresses: tuple[_types.Address, ...]
    """UDP, the destinations of packets to callers."""
    certificate_file: str
    """PEM certificate chain for the TLS connections of callers."""
    private_key_file: str
    seeds: tuple[_types.Address, ...]
    """gRPC addresses of balancers, used at the start and when no known one replies."""
    weight: float = 1.0
    """Share of new flows relative to other upstreams of the pool, in (0, 1]."""
    heartbeat_interval_seconds: float = 0.5
    grace_seconds: float = 10.0
    """Maximum duration of a graceful shutdown."""
    max_body_bytes: int = 1_048_576
    default_timeout_seconds: float = 10.0
    """Timeout of a request that does not set one."""
    tls: Tls = Tls()
    telemetry: Telemetry = Telemetry()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientSettings:
    """The settings of ``plantainctl``."""

    balancers: tuple[_types.Address, ...]
    """gRPC addresses; the first that responds is used."""
    operator: str = ""
    """The name for the audit trail; the login name if empty."""
    call_timeout_seconds: float = 10.0
    tls: Tls = Tls()
