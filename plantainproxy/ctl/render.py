"""Rendering of command results and errors as text or JSON."""

from collections import abc
import dataclasses
import typing

import msgspec

from plantainproxy import _exceptions


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Result of one command, to be rendered as text or JSON."""

    lines: tuple[str, ...] = ()
    """Sentences for a person; the JSON key is ``messages``."""
    columns: tuple[str, ...] = ()
    """Column headings, which are also the JSON keys of a row; empty for no table."""
    rows: tuple[tuple[typing.Any, ...], ...] = ()
    fields: tuple[tuple[str, typing.Any], ...] = ()
    """Names and values that appear in JSON only."""


def _table(
    columns: abc.Sequence[str], rows: abc.Sequence[abc.Sequence[typing.Any]]
) -> list[str]:
    cells = [list(columns), *[[str(value) for value in row] for row in rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]


def as_text(result: Result) -> str:
    """Render a result as sentences followed by a table."""
    lines = list(result.lines)
    if result.columns:
        lines.extend(line.rstrip() for line in _table(result.columns, result.rows))
    return "\n".join(lines)


def as_json(result: Result) -> str:
    """Render a result as one JSON object."""
    value: dict[str, typing.Any] = dict(result.fields)
    if result.lines:
        value["messages"] = list(result.lines)
    if result.columns:
        value["rows"] = [
            dict(zip(result.columns, row, strict=True)) for row in result.rows
        ]
    return msgspec.json.encode(value).decode()


def error_as_text(error: _exceptions.PlantainError) -> str:
    """Render an error as one line of text."""
    return f"plantainctl: {error}"


def error_as_json(error: _exceptions.PlantainError) -> str:
    """Render an error as one JSON object."""
    answer = error.answer
    value = {
        "error": error.kind,
        "title": answer.title,
        "detail": error.detail,
        "outcome": answer.outcome,
        "exit_code": answer.exit_code,
    }
    return msgspec.json.encode(value).decode()
