"""Faults in settings: file, line, the field's path, what was found, and what is allowed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from stoatrouter.settings.syntax import Place

ELLIPSIS = "..."


@dataclass(slots=True, frozen=True, order=True)
class Fault:
    """One fault of a file, worded for the operator who has to mend it.

    The path is that of the field from the top of the file, empty for the file as a whole; the remedy is what
    would be right, empty where there is no good guess.
    """

    at: Place
    path: str
    what: str
    remedy: str = ""

    def __str__(self) -> str:
        """One line: `file:line: path: what (remedy)`."""
        path = f"{self.path}: " if self.path else ""
        return f"{self.at}: {path}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class SettingsError(Exception):
    """Settings that cannot be used; every fault once, in the order of the files."""

    def __init__(self, *faults: Fault) -> None:
        """Sort the faults by place and drop duplicates."""
        self.faults = tuple(sorted(set(faults)))
        super().__init__("\n".join(map(str, self.faults)))


def json_text(value: Any) -> str:
    """A scalar as it would be written in a file; JSON is a subset of CUE."""
    return json.dumps(value, ensure_ascii=False)


def truncate(text: str, longest: int) -> str:
    """A text of at most `longest` characters, an ellipsis included where it was cut."""
    return text if len(text) <= longest else text[: longest - len(ELLIPSIS)] + ELLIPSIS
