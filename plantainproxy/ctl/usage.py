"""Validation and help of command lines, with suggestions for unknown words."""

from collections import abc
import difflib
import inspect
import typing

from plantainproxy import _exceptions

CommandTree = abc.Mapping[str, typing.Any]
"""Commands by name; a nested mapping is a group."""

HELP_FLAGS = ("--help", "-h")


def _suggest(word: str, candidates: abc.Sequence[str]) -> str:
    matches = difflib.get_close_matches(word, candidates, n=1, cutoff=0.0)
    return f"did you mean {matches[0]!r}?" if matches else "no name is similar"


def _usage_error(sentence: str) -> _exceptions.PlantainError:
    return _exceptions.PlantainError(_exceptions.ErrorKind.USAGE, sentence)


def find_command(
    tree: CommandTree, arguments: abc.Sequence[str]
) -> tuple[abc.Callable[..., typing.Any], list[str]]:
    """Return the command that the arguments name, and the remaining arguments.

    Raise ``PlantainError`` of kind ``USAGE``: with the most similar name when a word
    is unknown, or with all possible words when one is missing.
    """
    node: typing.Any = tree
    words = list(arguments)
    while isinstance(node, abc.Mapping):
        if not words or words[0].startswith("-"):
            raise _usage_error(f"Expected one of: {', '.join(sorted(node))}.")
        word = words.pop(0)
        if word not in node:
            suggestion = _suggest(word, sorted(node))
            raise _usage_error(f"Unknown command {word!r}: {suggestion}")
        node = node[word]
    return node, words


def check_flags(
    command: abc.Callable[..., typing.Any], words: abc.Sequence[str]
) -> None:
    """Raise ``PlantainError`` for a flag that the command does not have."""
    known_flags = [
        f"--{name.replace('_', '-')}" for name in inspect.signature(command).parameters
    ]
    for word in words:
        if not word.startswith("--"):
            continue
        flag = word.partition("=")[0].replace("_", "-")
        negated = flag.replace("--no", "--", 1)
        if flag in known_flags or negated in known_flags or flag in HELP_FLAGS:
            continue
        raise _usage_error(
            f"Unknown flag {flag!r}: {_suggest(flag, sorted(known_flags))}"
        )


def check_arguments(
    command: abc.Callable[..., typing.Any], words: abc.Sequence[str]
) -> None:
    """Raise ``PlantainError`` for unknown flags or a wrong number of arguments."""
    check_flags(command, words)
    parameters = inspect.signature(command).parameters
    required = [
        parameter.name
        for parameter in parameters.values()
        if parameter.default is parameter.empty
    ]
    given_flags = {
        word.partition("=")[0].removeprefix("--").replace("-", "_")
        for word in words
        if word.startswith("--")
    }
    positional = _positional_words(words, parameters)
    missing = [name for name in required if name not in given_flags][len(positional) :]
    if missing:
        missing_names = " ".join(name.upper() for name in missing)
        raise _usage_error(f"The command also needs {missing_names}.")
    if len(positional) > len(parameters):
        raise _usage_error(
            f"Too many arguments, from {positional[len(parameters)]!r} on."
        )


def _positional_words(
    words: abc.Sequence[str], parameters: abc.Mapping[str, inspect.Parameter]
) -> list[str]:
    """Return the words that are neither flags nor values of flags."""
    positional = []
    rest = list(words)
    while rest:
        word = rest.pop(0)
        if not word.startswith("--"):
            positional.append(word)
            continue
        name = word.removeprefix("--").replace("-", "_")
        parameter = parameters.get(name)
        if parameter is not None and not isinstance(parameter.default, bool) and rest:
            rest.pop(0)
    return positional


def is_help_requested(words: abc.Sequence[str]) -> bool:
    """Return whether a command line contains a help flag."""
    return any(word in HELP_FLAGS for word in words)


def help_text(tree: CommandTree, words: abc.Sequence[str]) -> str:
    """Return the help text of the command or group that the words name."""
    path = [word for word in words if word not in HELP_FLAGS]
    name = "plantainctl"
    node: typing.Any = tree
    while isinstance(node, abc.Mapping) and path:
        word = path.pop(0)
        if word not in node:
            suggestion = _suggest(word, sorted(node))
            raise _usage_error(f"Unknown command {word!r}: {suggestion}")
        name = f"{name} {word}"
        node = node[word]
    if isinstance(node, abc.Mapping):
        return _group_help(name, node)
    return _command_help(name, node)


def _first_line(command: abc.Callable[..., typing.Any]) -> str:
    return (inspect.getdoc(command) or "").partition("\n")[0]


def _group_help(name: str, group: CommandTree) -> str:
    lines = [f"usage: {name} COMMAND ...", ""]
    for word, node in sorted(group.items()):
        description = _first_line(node) if callable(node) else "a group of commands"
        lines.append(f"  {word:8} {description}")
    return "\n".join(lines)


def _command_help(name: str, command: abc.Callable[..., typing.Any]) -> str:
    parameters = inspect.signature(command).parameters.values()
    required = [
        parameter for parameter in parameters if parameter.default is parameter.empty
    ]
    optional = [
        parameter
        for parameter in parameters
        if parameter.default is not parameter.empty
    ]
    words = [parameter.name.upper() for parameter in required]
    flags = [_flag_help(parameter) for parameter in optional]
    usage = " ".join([f"usage: {name}", *words, *(["[FLAGS]"] if flags else [])])
    lines = [usage, "", inspect.getdoc(command) or ""]
    if flags:
        lines += ["", *flags]
    return "\n".join(lines)


FLAG_HELP = {
    "reason": "why, for the audit trail",
    "wait": "return only when the change is active on every process",
    "dry_run": "show what would change without changing it",
    "expect": "fail unless this revision is active",
    "limit": "maximum number of records per page",
    "before": "only records below this revision",
    "since": "only records at or after this time",
    "object": "only records about the object with this name",
    "keys": "show the audit trail of key rotations",
    "flow": "a destination connection ID in hexadecimal",
    "max_running": "maximum number of concurrent requests per upstream",
    "lines_per_second": "maximum rate of new connections per warm upstream",
}
"""Help text of each flag, by parameter name."""


def _flag_help(parameter: inspect.Parameter) -> str:
    flag = "--" + parameter.name.replace("_", "-")
    if not isinstance(parameter.default, bool):
        flag = f"{flag} VALUE"
    return f"  {flag:26} {FLAG_HELP[parameter.name]}"
