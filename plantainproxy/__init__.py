"""A layer-4 load balancer that keeps established flows alive.

Balancers hold no per-flow state: every packet of an established flow contains its
destination, and the sidecar next to the upstream holds the state of the flow.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from plantainproxy import _exceptions, _members, _types

    Address = _types.Address
    Answer = _exceptions.Answer
    ANSWERS = _exceptions.ANSWERS
    DomainState = _types.DomainState
    ErrorKind = _exceptions.ErrorKind
    MemberKind = _types.MemberKind
    MemberRecord = _members.MemberRecord
    MemberState = _types.MemberState
    Outcome = _types.Outcome
    PlantainError = _exceptions.PlantainError

__all__ = [
    "ANSWERS",
    "Address",
    "Answer",
    "DomainState",
    "ErrorKind",
    "MemberKind",
    "MemberRecord",
    "MemberState",
    "Outcome",
    "PlantainError",
]


def __getattr__(name: str) -> typing.Any:
    """Return a public name; its module is imported when the name is first used.

    A process that needs none of these names starts faster.
    """
    if name in __all__:
        for module_name in ("_types", "_exceptions", "_members"):
            module = importlib.import_module(f"{__name__}.{module_name}")
            if hasattr(module, name):
                return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
