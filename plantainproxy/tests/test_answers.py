"""Every error kind has one complete answer."""

import grpc
import pytest

import plantainproxy


@pytest.mark.parametrize("kind", list(plantainproxy.ErrorKind))
def test_every_kind_has_a_complete_answer(kind: plantainproxy.ErrorKind) -> None:
    """The table is total and its codes are real ones."""
    answer = plantainproxy.ANSWERS[kind]
    assert 400 <= answer.http_status <= 599
    assert answer.outcome is not plantainproxy.Outcome.RUN
    assert hasattr(grpc.StatusCode, answer.grpc_status)
    assert answer.title.endswith(".")


def test_exit_codes_are_distinct() -> None:
    """A script can tell the kinds apart."""
    codes = [answer.exit_code for answer in plantainproxy.ANSWERS.values()]
    assert len(set(codes)) == len(codes)
