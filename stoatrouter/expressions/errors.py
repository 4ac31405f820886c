"""Errors of expressions: the position, the problem and a remedy, worded for rule authors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Line and column in the source, both counted from 1; the column counts code points."""

    line: int
    column: int

    def __str__(self) -> str:
        """Return `line:column`, as in the messages of compilers."""
        return f"{self.line}:{self.column}"


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One error and how to fix it; the remedy is empty if none can be suggested."""

    at: Position
    what: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return one line: `line:column: what (remedy)`."""
        return f"{self.at}: {self.what}" + (f" ({self.remedy})" if self.remedy else "")


class ExpressionError(Exception):
    """An expression was rejected at load; has each problem once, in the order of the source."""

    def __init__(self, *problems: Problem) -> None:
        """Sort the problems by position and drop duplicates."""
        self.problems = tuple(sorted(set(problems)))
        super().__init__("; ".join(map(str, self.problems)))


class EvaluationError(Exception):
    """A value could not be computed: overflow, failed conversion, division by zero, bad index or missing key.

    A compiled expression never raises it: the checker requires `try(...)` around any operation that may.
    """
