"""The ``plantainctl`` binary."""

from collections.abc import Sequence
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
OUTPUTS = {"text": render.as_text, "json": render.as_json}
SUCCESS = 0

HELP = """usage: plantainctl [--settings FILE] [--output text|json] COMMAND ...

  show                        the configuration in force
  check FILE, diff FILE       how a TOML file differs; writes nothing
  apply FILE                  replace the configuration by a TOML file
  route list|set|remove       bind service addresses to pools
  pool list|set|remove        groups of upstreams and their limits
  domain list|out|in          failure domains
  drain|undrain UPSTREAM      stop or resume new work on one upstream
  status                      processes, revisions in force, store health
  audit                       who changed what, when and why
  explain SERVICE [FLOW]      where a new flow goes, and why
  keys rotate                 the next step of a key rotation

plantainctl COMMAND --help tells the flags of one command."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """The options that every command shares."""

    settings: str
    output: str
    words: tuple[str, ...]
    """The command and its own arguments."""


def read_options(arguments: Sequence[str]) -> Options:
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
    if shared["output"] not in OUTPUTS:
        raise _exceptions.PlantainError(
            _exceptions.ErrorKind.USAGE, "--output must be text or json."
        )
    return Options(
        settings=shared["settings"], output=shared["output"], words=tuple(rest)
    )


def _load_settings(options: Options) -> model.ClientSettings:
    return load.load(
        pathlib.Path(options.settings), model.ClientSettings, check=check.check_client
    )


def run(arguments: Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    if not arguments or arguments[0] in (*usage.HELP_FLAGS, "help"):
        print(HELP)
        return SUCCESS
    options = read_options(arguments)
    tree = commands.tree(_load_settings(options))
    command, words = usage.find(tree, options.words)
    usage.check_flags(command, words)
    fire.Fire(
        command,
        command=words,
        name=f"plantainctl {' '.join(options.words)}".strip(),
        serialize=OUTPUTS[options.output],
    )
    return SUCCESS


def main() -> None:
    """Run the process's own command line."""
    try:
        code = run(sys.argv[1:])
    except _exceptions.PlantainError as error:
        print(f"plantainctl: {error}", file=sys.stderr)
        sys.exit(error.answer.exit_code)
    sys.exit(code)


if __name__ == "__main__":
    main()
