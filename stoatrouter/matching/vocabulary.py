"""The names that rules may use: classes, plans and buckets of the settings."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class KnownClass:
    """What a table needs to know of a request class.

    Attributes:
        name: The class's name in the settings.
        repeatable: Whether its requests are idempotent, so that a head may retry them freely.
        deadline: The most time that its requests have.
    """

    name: str
    repeatable: bool
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Vocabulary:
    """The names that rules may use: classes and plans in the order of the settings, and bounds.

    Attributes:
        classes: The request classes; decisions refer to them by position.
        plans: The plans; decisions refer to them by position.
        shards: The number of shards; 0 where it is not known.
        max_units: The most units of work that one request may have.
    """

    classes: tuple[KnownClass, ...]
    plans: tuple[str, ...]
    shards: int
    max_units: float

    def class_number(self, name: str) -> int | None:
        """Find the number of a class; returns None where there is no such class."""
        return next((number for number, known in enumerate(self.classes) if known.name == name), None)


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket of the object front: its volume, and its plan unless the table yields that."""

    volume: str
    plan: str | None
