"""The newest configuration and key set that one process has seen.

Whatever the source, the store or a peer, an older document never replaces a newer
one, and the absence of a document is kept apart from an empty one.
"""

import dataclasses

from plantainproxy.config import model

Document = model.Configuration | model.KeySet
"""What is versioned and spread over the fleet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentSet:
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


def apply_document(current: DocumentSet, document: Document) -> tuple[DocumentSet, bool]:
    """Adopt a document if it is newer; return whether it was."""
    if isinstance(document, model.KeySet):
        if document.revision <= current.key_revision:
            return current, False
        return dataclasses.replace(current, key_set=document), True
    if document.revision <= current.configuration_revision:
        return current, False
    return dataclasses.replace(current, configuration=document), True


def newer_documents(current: DocumentSet, *, configuration_revision: int, key_revision: int) -> DocumentSet:
    """Return only the documents that are newer than a peer's."""
    return DocumentSet(
        configuration=current.configuration
        if current.configuration_revision > configuration_revision
        else None,
        key_set=current.key_set if current.key_revision > key_revision else None,
    )
