"""Diagnostics of a rule table: errors, which reject it, and warnings."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Diagnostic:
    """An error or a warning about a table.

    Attributes:
        path: The field's path in the rule file, such as `scopes.app.rules[1].when`.
        what: What is wrong.
        remedy: How to correct it; empty if that is obvious.
        at: Line and column within an expression; empty for other fields.
    """

    path: str
    what: str
    remedy: str = ""
    at: str = ""

    def __str__(self) -> str:
        """Return the diagnostic on one line, for logs and exceptions."""
        position = f"{self.at}: " if self.at else ""
        return f"{self.path}: {position}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class TableError(Exception):
    """A table was rejected because of errors."""

    def __init__(self, errors: Sequence[Diagnostic]) -> None:
        """Collect all errors of a rejected table.

        Args:
            errors: The errors in any order; they are sorted by path, without duplicates.
        """
        self.errors = tuple(sorted(set(errors)))
        super().__init__("; ".join(map(str, self.errors)))
