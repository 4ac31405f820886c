"""What a table makes of a request: a decision, or a refusal."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class Decision:
    """What a request becomes for the core."""

    scope: str
    rule: str
    request_class: int
    volume: str
    plan: int
    key: str
    shard: int
    units: float
    hosts: int
    repeat: bool
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that a rule refuses, or that no rule matches."""

    status: int
    reason: str
    scope: str | None = None
    rule: str | None = None
