"""What a table yields for a request: a decision, or a refusal."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class Decision:
    """What the core's request is to be.

    Attributes:
        scope: The scope that the request belongs to.
        rule: The rule that matched.
        request_class: The number of its class in the vocabulary.
        volume: 16 hex digits; empty where the front knows the volume.
        plan: The number of its plan in the vocabulary; -1 where the front knows the plan.
        key: 16 hex digits.
        shard: The shard that holds the key; -1: any.
        units: Units of work, at least 1.
        hosts: Through how many heads requests of the volume come.
        repeat: Whether the client says that this is a retry.
        deadline: The time that the request has.
    """

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
    """The answer to a request that a rule refuses, or that no rule matches.

    Attributes:
        status: The HTTP status, 400 to 599.
        reason: The text of the answer.
        scope: The scope that the request belongs to, if any.
        rule: The rule that refuses; None where no rule matched.
    """

    status: int
    reason: str
    scope: str | None = None
    rule: str | None = None
