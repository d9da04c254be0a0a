"""Parsing, rendering, encoding and comparison of configurations."""

import dataclasses

import pytest

from plantainproxy import _exceptions, _types
from plantainproxy.config import diff, document, model, parse

TEXT = """
drained = ["127.0.1.1:7000"]

[[routes]]
name = "fleet"
address = "127.1.0.1:443"
pool = "control"

[[pools]]
name = "control"
max_running = 5

[[domains]]
name = "rimouski"
number = 1
state = "out"
"""


def problem_lines(text: str) -> list[str]:
    """Return the lines of the error that parsing a text raises."""
    with pytest.raises(_exceptions.PlantainError) as caught:
        parse.parse(text, source="f.toml")
    assert caught.value.kind is _exceptions.ErrorKind.INVALID_CONFIGURATION
    return caught.value.detail.splitlines()


def test_a_correct_text_is_read_and_written() -> None:
    """Rendering and encoding a parsed configuration preserve it."""
    configuration = parse.parse(TEXT, source="f.toml")
    assert configuration == model.Configuration(
        revision=0,
        routes=(
            model.Route(
                name="fleet", address=_types.Address("127.1.0.1", 443), pool="control"
            ),
        ),
        pools=(model.Pool(name="control", max_running=5),),
        domains=(
            model.Domain(name="rimouski", number=1, state=_types.DomainState.OUT),
        ),
        drained=(_types.Address("127.0.1.1", 7000),),
    )
    rendered = parse.render(configuration)
    assert parse.parse(rendered, source="f.toml") == configuration
    assert document.decode(document.encode(configuration)) == configuration


def _replace_in_text(old: str, new: str) -> str:
    assert old in TEXT
    return TEXT.replace(old, new, 1)


ROUTE = '[[routes]]\nname = "{}"\naddress = "{}"\npool = "control"\n'
DOMAIN = '[[domains]]\nname = "{}"\nnumber = {}\n'


@pytest.mark.parametrize(
    ("text", "locations"),
    [
        ("routes = [", ["TOML"]),
        ("route = []", ["route"]),
        ("revision = 4", ["revision"]),
        ("routes = 4", ["routes"]),
        ("routes = [4]", ["routes[0]", *(f"routes[0].{n}" for n in
         ("name", "address", "pool"))]),
        (_replace_in_text('name = "fleet"', "name = 3"), ["routes[0].name"]),
        (_replace_in_text('name = "fleet"', 'name = ""'), ["routes[0].name"]),
        (_replace_in_text('name = "fleet"\n', ""), ["routes[0].name"]),
        (_replace_in_text('name = "fleet"', 'nam = "fleet"'),
         ["routes[0].nam", "routes[0].name"]),
        (_replace_in_text("127.1.0.1:443", "127.1.0.1"), ["routes[0].address"]),
        (_replace_in_text("127.1.0.1:443", "[::1]:443"), ["routes[0].address"]),
        (_replace_in_text("127.1.0.1:443", "127.1.0.1:0"), ["routes[0].address"]),
        (_replace_in_text("127.1.0.1:443", "0.0.0.0:443"), ["routes[0].address"]),
        (_replace_in_text("127.1.0.1:443", "127.0.1.1:7000"), ["drained[0]"]),
        (_replace_in_text('pool = "control"', 'pool = "kontrol"'), ["routes[0].pool"]),
        (_replace_in_text("max_running = 5", "max_running = true"),
         ["pools[0].max_running"]),
        (_replace_in_text("max_running = 5", "max_running = 0"),
         ["pools[0].max_running"]),
        (_replace_in_text("max_running = 5", "lines_per_second = nan"),
         ["pools[0].lines_per_second"]),
        (_replace_in_text("number = 1", "number = 256"), ["domains[0].number"]),
        (_replace_in_text("number = 1", 'number = "1"'), ["domains[0].number"]),
        (_replace_in_text('"out"', '"off"'), ["domains[0].state"]),
        (_replace_in_text('["127.0.1.1:7000"]',
                          '["127.0.1.1:7000", 3, "127.0.1.1:7000"]'),
         ["drained[1]", "drained[2]"]),
        (TEXT + ROUTE.format("fleet", "127.1.0.2:443"), ["routes[1].name"]),
        (TEXT + ROUTE.format("other", "127.1.0.1:443"), ["routes[1].address"]),
        (TEXT + DOMAIN.format("matane", 1), ["domains[1].number"]),
        (TEXT + DOMAIN.format("rimouski", 2), ["domains[1].name"]),
        (_replace_in_text('pool = "control"', 'pool = "x"\nhost = 1').replace(
            "number = 1", "number = -1"),
         ["routes[0].host", "routes[0].pool", "domains[0].number"]),
    ],
)  # fmt: skip
def test_every_problem_is_reported_with_its_location(
    text: str, locations: list[str]
) -> None:
    """Each location is reported once, with what was expected."""
    lines = problem_lines(text)
    assert [line.split(": ")[1] for line in lines] == locations
    assert all(line.startswith("f.toml: ") for line in lines)


def test_addresses_that_connection_ids_cannot_tell_apart_are_refused() -> None:
    """Connections of two routes with the same service tag would be confused."""
    routes = "".join(
        ROUTE.format(f"r{n}", f"127.2.{n // 250}.{n % 250}:443") for n in range(1500)
    )
    assert any("service tag" in line for line in problem_lines(TEXT + routes))


def test_a_document_above_the_limit_is_refused() -> None:
    """A document above the size limit of the store is not encoded."""
    names = (f"{n:0128}" for n in range(8_000))
    large = model.Configuration(
        revision=1, pools=tuple(model.Pool(name=name) for name in names)
    )
    with pytest.raises(_exceptions.PlantainError, match="at most 1000000 bytes"):
        document.encode(large)


@pytest.mark.parametrize("stored", [b"", b"{}", b'{"format": 2}', b'{"format": 1}'])
def test_an_unreadable_document_is_refused(stored: bytes) -> None:
    """Another format version or a malformed value raises an error."""
    with pytest.raises(_exceptions.PlantainError, match="stored configuration"):
        document.decode(stored)


def test_differences_are_listed_by_object() -> None:
    """Added, removed and changed objects are rendered with their fields."""
    before = parse.parse(TEXT, source="")
    after = dataclasses.replace(
        before,
        pools=(
            model.Pool(name="control", max_running=6),
            model.Pool(name="firmware", lines_per_second=1.0),
        ),
        domains=(),
        drained=(),
    )
    assert diff.render(diff.compare(before, after)).splitlines() == [
        "pool control changed: max_running 5 -> 6",
        "pool firmware added: max_running 64, lines_per_second 1.0",
        "domain rimouski removed: number was 1, state was out",
        "drain 127.0.1.1:7000 removed",
    ]
    assert diff.compare(after, after) == ()
    assert len(diff.compare(None, before)) == 4
