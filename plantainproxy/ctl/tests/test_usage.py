"""Command-line validation, shared options and rendering of results."""

import pytest

from plantainproxy import _exceptions, _types
from plantainproxy.ctl import commands, main, render, usage
from plantainproxy.settings import model

SETTINGS = model.ClientSettings(balancers=(_types.Address("127.0.0.1", 1),))


@pytest.mark.parametrize(
    ("line", "hint"),
    [
        (["rout", "list"], "did you mean 'route'?"),
        (["route", "sett"], "did you mean 'set'?"),
        (["route"], "Expected one of: list, remove, set, show."),
        (["drain", "x", "--wiat"], "did you mean '--wait'?"),
        (["audit", "--objct", "x"], "did you mean '--object'?"),
    ],
)
def test_an_unknown_word_names_the_nearest_match(line: list[str], hint: str) -> None:
    """The error is raised before any call and suggests the most similar name."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        command, words = usage.find_command(
            commands.build_command_tree(lambda: SETTINGS), line
        )
        usage.check_flags(command, words)
    assert caught.value.kind is _exceptions.ErrorKind.USAGE
    assert hint in caught.value.detail


def test_shared_options_may_stand_anywhere() -> None:
    """--settings and --output are accepted before, between and after the words."""
    options = main.read_options(
        ["route", "--output", "json", "list", "--settings=x.toml"]
    )
    assert options == main.Options(
        settings="x.toml", output="json", words=("route", "list")
    )


def test_a_result_reads_as_a_table_or_as_json() -> None:
    """Text and JSON output contain the same values."""
    result = render.Result(columns=("name", "pool"), rows=(("r", "p"),))
    assert render.as_text(result) == "name  pool\nr     p"
    assert render.as_json(result) == '{"rows":[{"name":"r","pool":"p"}]}'
