"""The names that rules may use: the classes, plans and buckets of the settings."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class KnownClass:
    """The properties of a request class that a table needs.

    Attributes:
        name: The class's name in the settings.
        repeatable: Whether its requests are idempotent, so that a head may retry them freely.
        deadline: The maximum time allowed for its requests.
    """

    name: str
    repeatable: bool
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Vocabulary:
    """The names that rules may use and the bounds of their values, as the settings define them.

    Attributes:
        classes: The request classes in the order of the settings; decisions refer to them by index.
        plans: The plans in the order of the settings; decisions refer to them by index.
        shards: The number of shards; 0 if it is not known.
        max_units: The maximum units of work of one request.
    """

    classes: tuple[KnownClass, ...]
    plans: tuple[str, ...]
    shards: int
    max_units: float

    def class_number(self, name: str) -> int | None:
        """Return the index of a class; None if there is no such class."""
        return next((number for number, known in enumerate(self.classes) if known.name == name), None)


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket of the object front: its volume, and its plan unless rules yield the plan."""

    volume: str
    plan: str | None
