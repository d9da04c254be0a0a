"""Settings of a process that forwards flows."""

import msgspec

from plantainproxy import _types

MAX_HEDGE_PERCENT = 20.0
"""Highest limit of hedges per hundred first openings."""


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that balancers and sidecars have in common."""

    name: str
    """Name of the machine, used in logs."""
    host: str
    """IPv4 address of the machine."""
    domain: str
    """Failure domain of the machine."""
    data_address: _types.Address
    """UDP address for packets of flows."""
    ready_address: _types.Address
    """HTTP address of the readiness check: whether packets may be sent here."""
    message_port: int
    """UDP port for messages and TCP port for policies, the same on all machines."""
    metrics_port: int
    store_address: _types.Address
    store_writes_per_second: float
    """Write limit of the store, shared by all processes."""
    store_history_seconds: float
    """How long the store retains changes for watches."""
    store_recovery_seconds: float
    """Time after a disruption of the store in which its documents must be current."""
    grace_seconds: float
    """Time limit of a planned stop."""

    @property
    def message_address(self) -> _types.Address:
        """Address for messages (UDP) and policies (TCP)."""
        return _types.Address(self.host, self.message_port)

    @property
    def metrics_address(self) -> _types.Address:
        """HTTP address of the metrics."""
        return _types.Address(self.host, self.metrics_port)


class BalancerSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of a balancer."""

    hedge_percent: float
    """Limit of hedges per hundred first openings, at most ``MAX_HEDGE_PERCENT``; 0
    turns hedging off."""


class SidecarSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of a sidecar."""

    pool: str
    """Pool of the upstream."""
    upstream_address: _types.Address
    """Address of the upstream: UDP for packets, HTTP for health checks."""
    outbound_address: _types.Address
    """UDP address to which the upstream sends all its packets."""
    heartbeat_address: _types.Address
    """HTTP address that receives the upstream's heartbeats."""
    cold_rate_factor: float
    """A cold upstream gets at most its cold rate times this factor, plus
    ``cold_spare_flows``, as new flows in one second."""
    cold_spare_flows: float
    """New flows that a cold upstream may get in one second on top of the rate."""
