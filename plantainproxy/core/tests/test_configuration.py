"""Revisions never decrease, and a missing document is not an empty one."""

import hypothesis
from hypothesis import strategies

from plantainproxy.config import model
from plantainproxy.core import configuration

REVISIONS = strategies.integers(1, 6)
DOCUMENTS = strategies.one_of(
    REVISIONS.map(lambda revision: model.Configuration(revision=revision)),
    REVISIONS.map(lambda revision: model.KeySet(revision=revision, current=0, keys=())),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(DOCUMENTS))
def test_the_highest_revision_of_each_kind_is_held(
    documents: list[configuration.Document],
) -> None:
    """Order does not matter, and repeated revisions are ignored."""
    current = configuration.DocumentSet()
    for document in documents:
        before = current
        current, adopted = configuration.apply_document(current, document)
        assert adopted == (current != before)
        assert current.configuration_revision >= before.configuration_revision
        assert current.key_revision >= before.key_revision
    for kind, revision in (
        (model.Configuration, current.configuration_revision),
        (model.KeySet, current.key_revision),
    ):
        seen = [item.revision for item in documents if isinstance(item, kind)]
        assert revision == max(seen, default=0)


def test_only_newer_documents_are_given_to_a_peer() -> None:
    """Documents that the peer has, or that do not exist, are ``None``."""
    current = configuration.DocumentSet(configuration=model.Configuration(revision=3))
    newer = configuration.newer_documents(
        current, configuration_revision=2, key_revision=0
    )
    assert newer == current
    same = configuration.newer_documents(
        current, configuration_revision=3, key_revision=0
    )
    assert same == configuration.DocumentSet()
