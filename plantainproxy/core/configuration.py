"""The newest configuration and key set that a process has received.

Documents come from the store and from peers. An older document never replaces a newer
one from either source. A missing document is distinct from an empty one.
"""

import dataclasses

from plantainproxy.config import model

Document = model.Configuration | model.KeySet
"""A versioned document that is distributed to the fleet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentSet:
    """The newest documents; each is ``None`` until the first one is received."""

    configuration: model.Configuration | None = None
    key_set: model.KeySet | None = None

    @property
    def configuration_revision(self) -> int:
        """The revision of the configuration, or 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.revision

    @property
    def key_revision(self) -> int:
        """The revision of the key set, or 0 if there is none."""
        return 0 if self.key_set is None else self.key_set.revision


def apply_document(
    current: DocumentSet, document: Document
) -> tuple[DocumentSet, bool]:
    """Replace the document if the given one is newer; return whether it was."""
    if isinstance(document, model.KeySet):
        if document.revision <= current.key_revision:
            return current, False
        return dataclasses.replace(current, key_set=document), True
    if document.revision <= current.configuration_revision:
        return current, False
    return dataclasses.replace(current, configuration=document), True


def newer_documents(
    current: DocumentSet, *, configuration_revision: int, key_revision: int
) -> DocumentSet:
    """Return the documents whose revisions are higher than those of a peer."""
    return DocumentSet(
        configuration=current.configuration
        if current.configuration_revision > configuration_revision
        else None,
        key_set=current.key_set if current.key_revision > key_revision else None,
    )
