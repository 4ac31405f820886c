"""Results of a rule table for a request: a decision or a refusal."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class Decision:
    """The properties that the core's request gets.

    Attributes:
        scope: The scope that the request belongs to.
        rule: The rule that matched.
        request_class: The index of its class in the vocabulary.
        volume: 16 hex digits; empty if the front determines the volume.
        plan: The index of its plan in the vocabulary; -1 if the front determines the plan.
        key: 16 hex digits.
        shard: The shard that holds the key; -1 for any shard.
        units: Units of work, at least 1.
        hosts: The number of heads through which requests of the volume come.
        repeat: Whether the client marks the request as a retry.
        deadline: The time allowed for the request.
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
        rule: The rule that refuses; None if no rule matched.
    """

    status: int
    reason: str
    scope: str | None = None
    rule: str | None = None
