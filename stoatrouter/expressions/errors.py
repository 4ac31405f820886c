"""Errors of expressions, worded for people: where, what, and what would be right."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Line and column in the source, both from 1; the column counts code points."""

    line: int
    column: int

    def __str__(self) -> str:
        """The form of compilers' messages, `line:column`."""
        return f"{self.line}:{self.column}"


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One error, and the way to mend it; the remedy is empty where there is no good guess."""

    at: Position
    what: str
    remedy: str = ""

    def __str__(self) -> str:
        """One line: `line:column: what (remedy)`."""
        return f"{self.at}: {self.what}" + (f" ({self.remedy})" if self.remedy else "")


class ExpressionError(Exception):
    """An expression that was rejected at load; every problem once, in the order of the source."""

    def __init__(self, *problems: Problem) -> None:
        """Sort the problems by position and drop duplicates."""
        self.problems = tuple(sorted(set(problems)))
        super().__init__("; ".join(map(str, self.problems)))


class EvaluationError(Exception):
    """A value could not be computed: overflow, a conversion, a division, an index, a missing key.

    It never leaves a checked program: what may raise it has to stand inside `try(...)`.
    """
