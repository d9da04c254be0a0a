"""Whatever arrives, a process goes on serving, and the next good input takes effect.

Values are generated from the types that the decoders declare, so a new message type or
field is covered without a change here. ``python -m testbed.foreign_inputs`` runs more.
"""

import random
import typing

import hypothesis
from hypothesis import strategies
from msgspec import inspect
import pytest

from plantainproxy.flows import messages
from testbed import foreign_inputs, foreign_values

PROCESSES = 15
"""Processes of each row, with ``INPUTS_PER_PROCESS`` inputs each."""
SEEDS = strategies.integers(min_value=0, max_value=2**32 - 1)
MESSAGE_TYPES = typing.get_args(messages.Message)


@pytest.mark.parametrize("name", list(foreign_inputs.ROWS))
@hypothesis.settings(max_examples=PROCESSES)
@hypothesis.given(seed=SEEDS)
def test_a_process_serves_after_any_input(name: str, seed: int) -> None:
    """Guards against inputs that end a process when they are used, far from decoding.

    The row raises what a handler or the periodic work raises, and if a message that was
    sent cannot be decoded, a flow is not placed, or a good input has no effect.
    """
    foreign_inputs.run_row(foreign_inputs.ROWS[name], random.Random(seed))


@pytest.mark.parametrize("message_type", MESSAGE_TYPES)
def test_most_generated_messages_reach_their_consumers(
    message_type: type[messages.Message],
) -> None:
    """A generator whose inputs were all refused would test the decoders only."""
    info = inspect.type_info(message_type)
    draw = random.Random(1)
    inputs = [foreign_values.make_input(draw, info, is_binary=True) for _ in range(500)]
    accepted = sum(messages.decode(data) is not None for data in inputs)
    assert 0.25 < accepted / len(inputs) < 0.9


@pytest.mark.parametrize("message_type", MESSAGE_TYPES)
def test_a_later_field_is_ignored(message_type: type[messages.Message]) -> None:
    """Processes of two builds exchange messages while they are replaced."""
    info = inspect.type_info(message_type)
    for seed in range(50):
        context = foreign_values.Context(random.Random(seed), 0.0, is_binary=True)
        value = foreign_values.build(info, context)
        data = foreign_values.encode(value, is_binary=True)
        decoded = messages.decode(data)
        assert decoded is not None
        fields = len(inspect.type_info(message_type).fields) + 1  # type: ignore[attr-defined]
        if len(value) < fields:
            continue
        later = foreign_values.add_nested_field(data, levels=100)
        assert messages.decode(later) == decoded
