"""Faults and warnings that are found when a table is loaded."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Flaw:
    """A fault of a table, or a warning; `path` is the field's path in the file."""

    path: str
    what: str
    remedy: str = ""
    at: str = ""  # line and column within the expression

    def __str__(self) -> str:
        inner = f"{self.at}: " if self.at else ""
        return f"{self.path}: {inner}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class TableError(Exception):
    """A table was rejected; `flaws` are all its faults."""

    def __init__(self, flaws: Sequence[Flaw]) -> None:
        self.flaws = tuple(sorted(set(flaws)))
        super().__init__("; ".join(map(str, self.flaws)))
