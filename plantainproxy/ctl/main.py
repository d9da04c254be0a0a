"""The ``plantainctl`` binary."""

from collections import abc
import dataclasses
import os
import pathlib
import sys

import fire

from plantainproxy import _exceptions
from plantainproxy.ctl import commands, render, usage
from plantainproxy.settings import check, load, model

SETTINGS_VARIABLE = "PLANTAINCTL_SETTINGS"
DEFAULT_SETTINGS = "plantainctl.toml"
RENDERERS = {"text": render.as_text, "json": render.as_json}
ERROR_RENDERERS = {"text": render.error_as_text, "json": render.error_as_json}
INTERRUPTED_EXIT_CODE = 130
"""Exit code after an interrupt from the terminal."""

HELP = """usage: plantainctl [--settings FILE] [--output text|json] COMMAND ...

  show                           the configuration in force
  check FILE                     check a TOML file by itself
  diff FILE                      how a TOML file differs from what is in force
  apply FILE                     replace the configuration by a TOML file
  route list|show|set|remove     bind service addresses to pools
  pool list|show|set|remove      groups of upstreams and their limits
  domain list|show|set|remove    failure domains
  domain out|in                  take a failure domain out, bring it back
  drain|undrain UPSTREAM         stop or resume new work on one upstream
  status                         processes, revisions in force, store health
  audit                          who changed what, when and why
  explain SERVICE                where lines go, and why
  keys rotate                    the next step of a key rotation

plantainctl COMMAND --help tells the flags of one command. The settings file is
--settings, else $PLANTAINCTL_SETTINGS, else plantainctl.toml."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """The options that every command shares."""

    settings: str
    output: str
    words: tuple[str, ...]
    """The command and its own arguments."""


def read_options(arguments: abc.Sequence[str]) -> Options:
    """Take the shared options out of a command line."""
    shared = {
        "settings": os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS),
        "output": "text",
    }
    words = list(arguments)
    rest = []
    while words:
        word = words.pop(0)
        name, separator, value = word.removeprefix("--").partition("=")
        if not word.startswith("--") or name not in shared:
            rest.append(word)
            continue
        if not separator and not words:
            raise _exceptions.PlantainError(
                _exceptions.ErrorKind.USAGE, f"{word} needs a value."
            )
        shared[name] = value if separator else words.pop(0)
    if shared["output"] not in RENDERERS:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE, "--output must be text or json."
        )
    return Options(
        settings=shared["settings"], output=shared["output"], words=tuple(rest)
    )


def _settings_reader(options: Options) -> abc.Callable[[], model.ClientSettings]:
    """Read the settings at the first command that needs them."""

    def read() -> model.ClientSettings:
        return load.load(
            pathlib.Path(options.settings),
            model.ClientSettings,
            check=check.check_client,
        )

    return read


def _fire(
    command: abc.Callable[..., render.Result], options: Options, words: list[str]
) -> None:
    """Let ``fire`` turn the words into the command's arguments and print its result."""
    try:
        fire.Fire(
            command,
            command=words,
            name="plantainctl",
            serialize=RENDERERS[options.output],
        )
    except (TypeError, ValueError) as error:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE, f"A value has the wrong type: {error}."
        ) from None


def run(options: Options) -> None:
    """Run one command line."""
    tree = commands.build_command_tree(_settings_reader(options))
    if not options.words or options.words[0] in (*usage.HELP_FLAGS, "help"):
        print(HELP)
        return
    if usage.is_help_requested(options.words):
        print(usage.help_text(tree, options.words))
        return
    command, words = usage.find_command(tree, options.words)
    usage.check_arguments(command, words)
    _fire(command, options, words)


def main() -> None:
    """Run the process's own command line."""
    output = "text"
    try:
        options = read_options(sys.argv[1:])
        output = options.output
        run(options)
    except _exceptions.PlantainError as error:
        print(ERROR_RENDERERS[output](error), file=sys.stderr)
        sys.exit(error.answer.exit_code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)


if __name__ == "__main__":
    main()
