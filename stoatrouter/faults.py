"""Describes faults in a head's configuration: the field, the value found and the values allowed.

It is used only after loading a configuration has failed, to explain the failure; it rejects nothing itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_SHOWN_LENGTH = 40  # characters of a value in a message
ELLIPSIS = "..."


class Kind(Enum):
    """The type of a field's value, as operators are shown it."""

    NUMBER = "a number"
    INTEGER = "a whole number"
    TEXT = "text"
    LIST = "a list"
    FIELDS = "fields"


TYPES: dict[Kind, tuple[type, ...]] = {
    Kind.NUMBER: (int, float),
    Kind.INTEGER: (int,),
    Kind.TEXT: (str,),
    Kind.LIST: (list,),
    Kind.FIELDS: (dict,),
}


@dataclass(slots=True, frozen=True)
class Field:
    """A field of the configuration file and the values allowed for it."""

    name: str
    kind: Kind
    minimum: float | None = None
    choices: tuple[str, ...] = ()  # empty: any value
    optional: bool = False

    def accepts(self, value: Any) -> bool:
        """Return whether a value has the field's type and is allowed."""
        if not isinstance(value, TYPES[self.kind]) or isinstance(value, bool):
            return False
        if self.choices:
            return value in self.choices
        return self.minimum is None or (isinstance(value, int | float) and value >= self.minimum)

    def allowed(self) -> str:
        """Return the allowed type and values, as they are shown to operators."""
        if self.choices:
            return ", ".join(self.choices)
        return self.kind.value + (f", {self.minimum} or more" if self.minimum is not None else "")


HEAD_FIELDS = (
    Field("name", Kind.TEXT),
    Field("listen", Kind.TEXT),
    Field("discovery", Kind.TEXT),
    Field("settings", Kind.FIELDS),
    Field("limits", Kind.FIELDS, optional=True),
    Field("known", Kind.FIELDS, optional=True),
)
SETTINGS_FIELDS = (
    Field("Balancers", Kind.INTEGER, 1),
    Field("Me", Kind.INTEGER, 0),
    Field("Classes", Kind.LIST),
    Field("Contracts", Kind.LIST),
    Field("Contract", Kind.FIELDS),
    Field("Limits", Kind.FIELDS),
    Field("Extra", Kind.FIELDS, optional=True),
    Field("RegistryMode", Kind.TEXT, choices=("automatic", "subscribe"), optional=True),
)
CLASS_FIELDS = (
    Field("Name", Kind.TEXT),
    Field("Points", Kind.NUMBER, 0),
    Field("Promise", Kind.INTEGER, 1),
    Field("HardLimit", Kind.INTEGER, 1),
    Field("Effect", Kind.TEXT, choices=("retryable", "dedup", "fragile")),
    Field("Group", Kind.TEXT, choices=("all", "zone", "cell"), optional=True),
    Field("LateWorth", Kind.NUMBER, 0, optional=True),
    Field("Window", Kind.INTEGER, 0, optional=True),
)
PLAN_FIELDS = (
    Field("Name", Kind.TEXT),
    *(
        Field(name, Kind.NUMBER, 0, optional=True)
        for name in ("UsualRate", "Guaranteed", "Shares", "Price", "Limit", "Burst", "Tolerance")
    ),
)
LIMIT_FIELDS = (
    Field("MostTries", Kind.INTEGER, 1),
    Field("ConnectTimeout", Kind.INTEGER, 0, optional=True),
    Field("ConnIdle", Kind.INTEGER, 0, optional=True),
    Field("MaxOpen", Kind.INTEGER, 0, optional=True),
    Field("MaxRetryAfter", Kind.INTEGER, 0, optional=True),
)
CONTRACT_FIELDS = (
    Field("DrainGrace", Kind.INTEGER, 0, optional=True),
    Field("Cold", Kind.INTEGER, 0, optional=True),
    Field("ColdFrom", Kind.NUMBER, 0, optional=True),
    Field("Fall", Kind.INTEGER, 0, optional=True),
)


def find_faults(data: Any) -> list[str]:
    """Return one line for each fault found; empty if there is none of the known kinds."""
    if not isinstance(data, dict):
        return [f"the file: found {shorten(data)} (allowed: {Kind.FIELDS.value})"]
    faults = list(field_faults("", data, HEAD_FIELDS))
    settings = data.get("settings")
    if isinstance(settings, dict):
        faults += field_faults("settings.", settings, SETTINGS_FIELDS)
        for name, fields in (("Classes", CLASS_FIELDS), ("Contracts", PLAN_FIELDS)):
            faults += item_faults(f"settings.{name}", settings.get(name), fields)
        for name, fields in (("Limits", LIMIT_FIELDS), ("Contract", CONTRACT_FIELDS)):
            if isinstance(settings.get(name), dict):
                faults += field_faults(f"settings.{name}.", settings[name], fields)
    return faults


def item_faults(path: str, items: Any, fields: tuple[Field, ...]) -> Iterator[str]:
    """Yield the faults of a list and of its items; `path` is the list's path in the file."""
    if not isinstance(items, list):
        return
    if not items:
        yield f"{path}: found none (allowed: one or more)"
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield from field_faults(f"{path}[{index}].", item, fields)
        else:
            yield f"{path}[{index}]: found {shorten(item)} (allowed: {Kind.FIELDS.value})"


def field_faults(path: str, values: dict[str, Any], fields: tuple[Field, ...]) -> Iterator[str]:
    """Yield the faults of an object's fields; `path` is the prefix of their paths in the file."""
    for field in fields:
        value = values.get(field.name)
        if value is None:
            if not field.optional:
                yield f"{path}{field.name}: found nothing (allowed: {field.allowed()})"
        elif not field.accepts(value):
            yield f"{path}{field.name}: found {shorten(value)} (allowed: {field.allowed()})"


def shorten(value: Any) -> str:
    """Return a value as it is shown to operators, truncated to MAX_SHOWN_LENGTH characters."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return text[: MAX_SHOWN_LENGTH - len(ELLIPSIS)] + ELLIPSIS
