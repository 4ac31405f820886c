"""Diagnostics of a table: the errors for which it is rejected, and warnings."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Diagnostic:
    """An error of a table, or a warning.

    Attributes:
        path: The field's path in the rule file, such as `scopes.app.rules[1].when`.
        what: What is wrong.
        remedy: What would be right; empty where that is plain.
        at: Line and column within an expression; empty for other fields.
    """

    path: str
    what: str
    remedy: str = ""
    at: str = ""

    def __str__(self) -> str:
        """The diagnostic on one line, for logs and exceptions."""
        position = f"{self.at}: " if self.at else ""
        return f"{self.path}: {position}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class TableError(Exception):
    """A table was rejected."""

    def __init__(self, errors: Sequence[Diagnostic]) -> None:
        """Reject a table for all of its errors at once.

        Args:
            errors: The errors, in any order; each is reported once, sorted by path.
        """
        self.errors = tuple(sorted(set(errors)))
        super().__init__("; ".join(map(str, self.errors)))
