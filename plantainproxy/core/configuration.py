"""The newest configuration and key set that one process has seen.

Whatever the source, the store or a peer, an older document never replaces a newer
one, and the absence of a document is kept apart from an empty one.
"""

import dataclasses

from plantainproxy.config import model

Document = model.Configuration | model.KeySet
"""What is versioned and spread over the fleet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """The documents that a process holds; each is absent until one was seen."""

    configuration: model.Configuration | None = None
    key_set: model.KeySet | None = None

    @property
    def configuration_revision(self) -> int:
        """The revision of the configuration; 0 for none."""
        return 0 if self.configuration is None else self.configuration.revision

    @property
    def key_revision(self) -> int:
        """The revision of the key set; 0 for none."""
        return 0 if self.key_set is None else self.key_set.revision


def offer(held: Held, document: Document) -> tuple[Held, bool]:
    """Adopt a document if it is newer; return whether it was."""
    if isinstance(document, model.KeySet):
        if document.revision <= held.key_revision:
            return held, False
        return dataclasses.replace(held, key_set=document), True
    if document.revision <= held.configuration_revision:
        return held, False
    return dataclasses.replace(held, configuration=document), True


def newer(held: Held, *, configuration_revision: int, key_revision: int) -> Held:
    """Return only the documents that are newer than a peer's."""
    return Held(
        configuration=held.configuration
        if held.configuration_revision > configuration_revision
        else None,
        key_set=held.key_set if held.key_revision > key_revision else None,
    )
