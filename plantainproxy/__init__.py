"""A layer-4 load balancer that keeps established flows alive.

Balancers hold no per-flow state: every packet of an established flow contains its
destination, and the sidecar next to the upstream holds the state of the flow.
"""

from plantainproxy import _exceptions, _types

Address = _types.Address
Answer = _exceptions.Answer
ANSWERS = _exceptions.ANSWERS
DomainState = _types.DomainState
ErrorKind = _exceptions.ErrorKind
MemberKind = _types.MemberKind
MemberRecord = _types.MemberRecord
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
