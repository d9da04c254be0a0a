"""The active configuration and key set of one balancer."""

import trio

from plantainproxy.balancer import datapath
from plantainproxy.config import model
from plantainproxy.core import configuration as configuration_core
from plantainproxy.core import routing

EVENT_BUFFER = 64


class ActiveDocuments:
    """The newest documents received; implements ``membership.balancer.Documents``."""

    def __init__(self) -> None:
        """Start without a configuration or a key set."""
        self.current = configuration_core.DocumentSet()
        self.send_events, self.events = trio.open_memory_channel[datapath.Event](
            EVENT_BUFFER
        )
        """The channel to the datapath; ``main`` also sends membership changes on it."""

    def configuration(self) -> model.Configuration | None:
        """Return the active configuration, or ``None`` if none was received."""
        return self.current.configuration

    def key_set(self) -> model.KeySet | None:
        """Return the active key set, or ``None`` if none was received."""
        return self.current.key_set

    async def apply_configuration(self, configuration: model.Configuration) -> None:
        """Activate a configuration if it is newer."""
        self.current, adopted = configuration_core.apply_document(
            self.current, configuration
        )
        if adopted:
            await self.send_events.send(
                routing.ConfigurationChanged(configuration=configuration)
            )

    async def apply_key_set(self, key_set: model.KeySet) -> None:
        """Activate a key set if it is newer."""
        self.current, adopted = configuration_core.apply_document(self.current, key_set)
        if adopted:
            await self.send_events.send(datapath.KeysChanged(key_set=key_set))


async def apply_document(
    documents: ActiveDocuments, document: configuration_core.Document
) -> None:
    """Activate a configuration or a key set if it is newer."""
    if isinstance(document, model.KeySet):
        await documents.apply_key_set(document)
    else:
        await documents.apply_configuration(document)
