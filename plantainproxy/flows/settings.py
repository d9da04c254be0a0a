"""What a process that carries flows needs to know about itself."""

import dataclasses

from plantainproxy import _types


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings that balancers and sidecars have in common."""

    name: str
    """The machine's name in logs."""
    host: str
    """The IPv4 address of the machine."""
    domain: str
    """The failure domain."""
    data_address: _types.Address
    """UDP, for packets of flows."""
    ready_address: _types.Address
    """HTTP, tells whether callers' packets may be sent here."""
    message_port: int
    """UDP for messages and TCP for policies, the same on all machines."""
    metrics_port: int
    store_address: _types.Address
    store_writes_per_second: float
    """Writes that the store takes from all processes together."""
    store_history_seconds: float
    """How long the store keeps changes for watches."""
    grace_seconds: float
    """How long a planned stop may take."""

    @property
    def message_address(self) -> _types.Address:
        """UDP for messages and TCP for policies."""
        return _types.Address(self.host, self.message_port)

    @property
    def metrics_address(self) -> _types.Address:
        """HTTP for metrics."""
        return _types.Address(self.host, self.metrics_port)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings(NodeSettings):
    """The settings of a sidecar."""

    pool: str
    """The pool that the upstream belongs to."""
    upstream_address: _types.Address
    """UDP for packets, HTTP for health checks."""
    outbound_address: _types.Address
    """UDP, where the upstream sends all its packets."""
    heartbeat_address: _types.Address
    """HTTP, where the upstream announces itself."""
    cold_rate_factor: float
    """Times its rate of new flows that a cold upstream bears in one second."""
    cold_spare_flows: float
    """New flows in one second that a cold upstream bears in addition."""
