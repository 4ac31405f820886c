"""Faults in settings, with file, line, path of the field, what was found and what is allowed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from stoatrouter.settings.syntax import Place

ELLIPSIS = "..."


@dataclass(slots=True, frozen=True, order=True)
class Fault:
    """One fault of a file, worded for the operator who has to fix it.

    The path is that of the field from the top of the file, empty for the file as a whole. The remedy says how
    to correct the fault; it is empty if that cannot be guessed.
    """

    at: Place
    path: str
    what: str
    remedy: str = ""

    def __str__(self) -> str:
        """Return one line: `file:line: path: what (remedy)`."""
        path = f"{self.path}: " if self.path else ""
        return f"{self.at}: {path}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class SettingsError(Exception):
    """Settings are invalid; holds every fault once, sorted by file and line."""

    def __init__(self, *faults: Fault) -> None:
        """Sort the faults by place and remove duplicates."""
        self.faults = tuple(sorted(set(faults)))
        super().__init__("\n".join(map(str, self.faults)))


def json_text(value: Any) -> str:
    """Return a scalar as it would be written in a file; JSON is a subset of CUE."""
    return json.dumps(value, ensure_ascii=False)


def truncate(text: str, max_length: int) -> str:
    """Truncate a text to `max_length` characters, including an ellipsis if it was cut."""
    return text if len(text) <= max_length else text[: max_length - len(ELLIPSIS)] + ELLIPSIS
