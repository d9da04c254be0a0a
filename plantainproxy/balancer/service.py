"""Decision whether the fabric may send datagrams to a balancer."""

import dataclasses

from plantainproxy import _types
from plantainproxy.core import configuration as configuration_core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Inputs of the decision."""

    documents: configuration_core.DocumentSet
    domain: str
    """The failure domain that the balancer runs in."""
    is_stopping: bool
    is_isolated: bool
    """Whether there are peers but none sent a message recently."""
    is_store_reachable: bool


def is_in_service(condition: Condition) -> bool:
    """Whether the fabric may send datagrams to this balancer.

    A balancer that reaches neither its peers nor the store receives no update when a
    failure domain is taken out, so it leaves service. It still forwards the datagrams
    that arrive.
    """
    configuration = condition.documents.configuration
    if (
        configuration is None
        or condition.documents.key_set is None
        or condition.is_stopping
    ):
        return False
    if condition.is_isolated and not condition.is_store_reachable:
        return False
    return not is_domain_out(condition.documents, condition.domain)


def is_domain_out(documents: configuration_core.DocumentSet, domain: str) -> bool:
    """Whether operators took a failure domain out of service."""
    if documents.configuration is None:
        return False
    return any(
        configured.name == domain and configured.state is _types.DomainState.OUT
        for configured in documents.configuration.domains
    )
