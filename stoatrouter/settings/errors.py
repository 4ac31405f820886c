"""What can be wrong with settings: file, line, the field's path, what was found, and what is allowed."""

from __future__ import annotations

from dataclasses import dataclass

from stoatrouter.settings.syntax import Place


@dataclass(slots=True, frozen=True, order=True)
class Fault:
    """One thing that is wrong."""

    at: Place
    path: str
    what: str
    remedy: str = ""

    def __str__(self) -> str:
        path = f"{self.path}: " if self.path else ""
        return f"{self.at}: {path}{self.what}" + (f" ({self.remedy})" if self.remedy else "")


class SettingsError(Exception):
    """Settings that cannot be used; everything that is wrong with them, in the order of the files."""

    def __init__(self, *faults: Fault) -> None:
        self.faults = tuple(sorted(set(faults)))
        super().__init__("\n".join(map(str, self.faults)))
