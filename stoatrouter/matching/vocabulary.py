"""The words that rules may use: classes, plans and buckets of the settings."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class KnownClass:
    """What a table needs to know of a request class."""

    name: str
    repeatable: bool  # may be repeated freely
    deadline: timedelta


@dataclass(slots=True, frozen=True)
class Vocabulary:
    """The words that rules may use: classes and plans of the settings in their order, and bounds."""

    classes: tuple[KnownClass, ...]
    plans: tuple[str, ...]
    shards: int  # 0: not told
    max_units: float

    def class_number(self, name: str) -> int | None:
        """The number of a class; None where there is no such class."""
        return next((i for i, known in enumerate(self.classes) if known.name == name), None)


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket of the object front: its volume, and its plan unless the table yields that."""

    volume: str
    plan: str | None
