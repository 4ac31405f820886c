"""Descriptions of faults in a head's configuration: field, value found, values allowed.

Used only after a configuration could not be loaded: it explains, and rejects nothing by itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

NUMBER, WHOLE, TEXT, LIST, FIELDS = (int, float), (int,), (str,), (list,), (dict,)
WORDS = {NUMBER: "a number", WHOLE: "a whole number", TEXT: "text", LIST: "a list", FIELDS: "fields"}
EFFECTS, GROUPS = ("retryable", "dedup", "fragile"), ("all", "zone", "cell")
REGISTRY = ("automatic", "subscribe")
# field, type, least, what may stand instead; a field in brackets may be left out
TOP = (
    ("name", TEXT, None),
    ("listen", TEXT, None),
    ("discovery", TEXT, None),
    ("settings", FIELDS, None),
    ("[limits]", FIELDS, None),
    ("[known]", FIELDS, None),
)
SETTINGS = (
    ("Balancers", WHOLE, 1),
    ("Me", WHOLE, 0),
    ("Classes", LIST, None),
    ("Contracts", LIST, None),
    ("Contract", FIELDS, None),
    ("Limits", FIELDS, None),
    ("[Extra]", FIELDS, None),
    ("[RegistryMode]", TEXT, REGISTRY),
)
CLASS = (
    ("Name", TEXT, None),
    ("Points", NUMBER, 0),
    ("Promise", WHOLE, 1),
    ("HardLimit", WHOLE, 1),
    ("Effect", TEXT, EFFECTS),
    ("[Group]", TEXT, GROUPS),
    ("[LateWorth]", NUMBER, 0),
    ("[Window]", WHOLE, 0),
)
PLAN = (
    ("Name", TEXT, None),
    *(
        (f"[{name}]", NUMBER, 0)
        for name in ("UsualRate", "Guaranteed", "Shares", "Price", "Limit", "Burst", "Tolerance")
    ),
)
LIMITS = (
    ("MostTries", WHOLE, 1),
    ("[ConnectTimeout]", WHOLE, 0),
    ("[ConnIdle]", WHOLE, 0),
    ("[MaxOpen]", WHOLE, 0),
    ("[MaxRetryAfter]", WHOLE, 0),
)
RULES = (("[DrainGrace]", WHOLE, 0), ("[Cold]", WHOLE, 0), ("[ColdFrom]", NUMBER, 0), ("[Fall]", WHOLE, 0))


def explain(data: Any) -> list[str]:
    """All faults found, one line each; empty where none of the known kinds is found."""
    if not isinstance(data, dict):
        return [f"the file: found {shorten(data)} (allowed: fields)"]
    faults = list(field_faults("", data, TOP))
    settings = data.get("settings")
    if isinstance(settings, dict):
        faults += field_faults("settings.", settings, SETTINGS)
        for name, rows in (("Classes", CLASS), ("Contracts", PLAN)):
            faults += item_faults(f"settings.{name}", settings.get(name), rows)
        for name, rows in (("Limits", LIMITS), ("Contract", RULES)):
            if isinstance(settings.get(name), dict):
                faults += field_faults(f"settings.{name}.", settings[name], rows)
    return faults


def item_faults(place: str, items: Any, rows: tuple[tuple[str, Any, Any], ...]) -> Iterator[str]:
    """The faults of a list and of each of its items; `place` is the list's path in the file."""
    if not isinstance(items, list):
        return
    if not items:
        yield f"{place}: found none (allowed: one or more)"
    for i, item in enumerate(items):
        if isinstance(item, dict):
            yield from field_faults(f"{place}[{i}].", item, rows)
        else:
            yield f"{place}[{i}]: found {shorten(item)} (allowed: fields)"


def field_faults(place: str, fields: dict[str, Any], rows: tuple[tuple[str, Any, Any], ...]) -> Iterator[str]:
    """The faults of one group of fields, checked against its rows; `place` is the prefix of their paths."""
    for name, kind, least in rows:
        key = name.strip("[]")
        value = fields.get(key)
        if value is None:
            if name == key:
                yield f"{place}{key}: found nothing (allowed: {allowed(kind, least)})"
        elif not isinstance(value, kind) or isinstance(value, bool) or not within(value, least):
            yield f"{place}{key}: found {shorten(value)} (allowed: {allowed(kind, least)})"


def within(value: Any, least: Any) -> bool:
    """Whether a value is at least `least`, or one of the values where `least` is a tuple; None allows any."""
    if least is None:
        return True
    return value in least if isinstance(least, tuple) else value >= least


def allowed(kind: Any, least: Any) -> str:
    """The allowed type and values of a field, as they are shown to operators."""
    if isinstance(least, tuple):
        return ", ".join(least)
    return WORDS[kind] + (f", {least} or more" if least is not None else "")


def shorten(value: Any) -> str:
    """A value as it is shown to operators, cut to 40 characters."""
    text = repr(value)
    return text if len(text) <= 40 else text[:37] + "..."
