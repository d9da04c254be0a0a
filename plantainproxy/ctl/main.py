"""Entry point of the ``plantainctl`` command-line tool."""

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
"""Exit code after Ctrl-C: 128 plus the number of SIGINT, as in a shell."""

HELP = """usage: plantainctl [--settings FILE] [--output text|json] COMMAND ...

  show                           the active configuration
  check FILE                     validate a TOML file locally
  diff FILE                      how a TOML file differs from the active configuration
  apply FILE                     replace the configuration with a TOML file
  route list|show|set|remove     bind service addresses to pools
  pool list|show|set|remove      groups of upstreams and their limits
  domain list|show|set|remove    failure domains
  domain out|in                  take a failure domain out, bring it back
  drain|undrain UPSTREAM         stop or resume new work on one upstream
  status                         processes, active revisions, store health
  audit                          who changed what, when and why
  explain SERVICE                where connections go, and why
  keys rotate                    the next step of a key rotation

plantainctl COMMAND --help shows the flags of one command. The settings file is
--settings, else $PLANTAINCTL_SETTINGS, else plantainctl.toml."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options that all commands share, and the rest of the command line."""

    settings: str
    output: str
    words: tuple[str, ...]
    """The command and its arguments."""


def read_options(arguments: abc.Sequence[str]) -> Options:
    """Separate the shared options from the command and its arguments."""
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
    """Return a function that loads the settings, for commands that need them."""

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
    """Parse the command's arguments with ``fire``, run it and print its result."""
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
    """Run one command, or print its help."""
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
    """Run the command line of this process; exit with the code of its error, if any."""
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
