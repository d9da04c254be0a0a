"""Checks of a command line before it runs, with the nearest match."""

from collections.abc import Callable, Mapping, Sequence
import difflib
import inspect
from typing import Any

from plantainproxy import _exceptions

Tree = Mapping[str, Any]
"""Commands by name; a nested mapping is a group."""

HELP_FLAGS = ("--help", "-h")


def _nearest(word: str, known: Sequence[str]) -> str:
    matches = difflib.get_close_matches(word, known, n=1, cutoff=0.0)
    return f"did you mean {matches[0]!r}?" if matches else "nothing is near it"


def _fail(sentence: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.USAGE, sentence)


def find(tree: Tree, arguments: Sequence[str]) -> tuple[Callable[..., Any], list[str]]:
    """Find the command that the arguments name; return it and the rest.

    Raise ``PlantainError`` of kind ``USAGE`` with the nearest match when a word is
    unknown, or with the known words when one is missing.
    """
    node: Any = tree
    words = list(arguments)
    while isinstance(node, Mapping):
        if not words or words[0].startswith("-"):
            raise _fail(f"Expected one of: {', '.join(sorted(node))}.")
        word = words.pop(0)
        if word not in node:
            nearest = _nearest(word, sorted(node))
            raise _fail(f"Unknown command {word!r}: {nearest}")
        node = node[word]
    return node, words


def check_flags(command: Callable[..., Any], words: Sequence[str]) -> None:
    """Refuse a flag that the command does not have."""
    known = [
        f"--{name.replace('_', '-')}" for name in inspect.signature(command).parameters
    ]
    for word in words:
        if not word.startswith("--"):
            continue
        flag = word.partition("=")[0].replace("_", "-")
        negated = flag.replace("--no", "--", 1)
        if flag in known or negated in known or flag in HELP_FLAGS:
            continue
        raise _fail(f"Unknown flag {flag!r}: {_nearest(flag, sorted(known))}")
