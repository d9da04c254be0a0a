"""Whether the fabric may send datagrams to this balancer."""

import dataclasses

from plantainproxy import _types
from plantainproxy.core import configuration as configuration_core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """What the decision rests on."""

    documents: configuration_core.DocumentSet
    domain: str
    """The failure domain that the balancer runs in."""
    is_stopping: bool
    is_isolated: bool
    """Peers are known and none was heard lately."""
    is_store_reachable: bool


def is_in_service(condition: Condition) -> bool:
    """Tell whether the fabric may send datagrams here.

    A balancer that hears neither its peers nor the store cannot learn that a failure
    domain was taken out, so it leaves service; it still forwards what arrives.
    """
    configuration = condition.documents.configuration
    if configuration is None or condition.documents.key_set is None or condition.is_stopping:
        return False
    if condition.is_isolated and not condition.is_store_reachable:
        return False
    return not is_domain_out(condition.documents, condition.domain)


def is_domain_out(documents: configuration_core.DocumentSet, domain: str) -> bool:
    """Tell whether operators took a failure domain out."""
    if documents.configuration is None:
        return False
    return any(
        configured.name == domain and configured.state is _types.DomainState.OUT
        for configured in documents.configuration.domains
    )
