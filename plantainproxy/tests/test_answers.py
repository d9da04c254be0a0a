"""The table of answers is complete and valid."""

import grpc
import pytest

import plantainproxy


@pytest.mark.parametrize("kind", list(plantainproxy.ErrorKind))
def test_every_kind_has_a_complete_answer(kind: plantainproxy.ErrorKind) -> None:
    """Each kind has an HTTP error status, an existing gRPC code and a title."""
    answer = plantainproxy.ANSWERS[kind]
    assert 400 <= answer.http_status <= 599
    assert answer.outcome is not plantainproxy.Outcome.RUN
    assert hasattr(grpc.StatusCode, answer.grpc_status)
    assert answer.title.endswith(".")


def test_exit_codes_are_distinct() -> None:
    """A script can identify the error kind by the exit code."""
    codes = [answer.exit_code for answer in plantainproxy.ANSWERS.values()]
    assert len(set(codes)) == len(codes)
