"""Whether the fabric may send datagrams to this balancer."""

import dataclasses

from plantainproxy import _types
from plantainproxy.core import configuration as configuration_core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """What the decision rests on."""

    held: configuration_core.DocumentSet
    domain: str
    """The failure domain that the balancer runs in."""
    stopping: bool
    isolated: bool
    """Peers are known and none was heard lately."""
    store_reachable: bool


def in_service(condition: Condition) -> bool:
    """Tell whether the fabric may send datagrams here.

    A balancer that hears neither its peers nor the store cannot learn that a failure
    domain was taken out, so it leaves service; it still forwards what arrives.
    """
    configuration = condition.held.configuration
    if configuration is None or condition.held.key_set is None or condition.stopping:
        return False
    if condition.isolated and not condition.store_reachable:
        return False
    return not is_out(condition.held, condition.domain)


def is_out(held: configuration_core.DocumentSet, domain: str) -> bool:
    """Tell whether operators took a failure domain out."""
    if held.configuration is None:
        return False
    return any(
        known.name == domain and known.state is _types.DomainState.OUT
        for known in held.configuration.domains
    )
