"""The holder of the newest configuration and key set in one balancer."""

import trio

from plantainproxy.balancer import datapath
from plantainproxy.config import model
from plantainproxy.core import configuration as configuration_core
from plantainproxy.core import routing

EVENT_BUFFER = 64


class ActiveDocuments:
    """What the process holds; implements ``membership.balancer.Revisions``."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.current = configuration_core.DocumentSet()
        self.send_events, self.events = trio.open_memory_channel[datapath.Event](
            EVENT_BUFFER
        )
        """Each adopted document, on its way to the datapath."""

    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, if one is known."""
        return self.current.configuration

    def key_set(self) -> model.KeySet | None:
        """Return the key set in force, if one is known."""
        return self.current.key_set

    async def apply_configuration(self, configuration: model.Configuration) -> None:
        """Put a configuration in force if it is newer."""
        self.current, adopted = configuration_core.apply_document(self.current, configuration)
        if adopted:
            await self.send_events.send(
                routing.ConfigurationChanged(configuration=configuration)
            )

    async def apply_key_set(self, key_set: model.KeySet) -> None:
        """Put a key set in force if it is newer."""
        self.current, adopted = configuration_core.apply_document(self.current, key_set)
        if adopted:
            await self.send_events.send(datapath.KeysChanged(key_set=key_set))


async def apply_document(documents: ActiveDocuments, document: configuration_core.Document) -> None:
    """Put a document of either kind in force if it is newer."""
    if isinstance(document, model.KeySet):
        await documents.apply_key_set(document)
    else:
        await documents.apply_configuration(document)
