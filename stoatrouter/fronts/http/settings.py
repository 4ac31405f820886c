"""The operator's file of the HTTP front (deploy/http.cue shows its form)."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import msgspec

from cypressworks import interface as api
from stoatrouter.config import Config, ConfigError, address
from stoatrouter.core.spans import span
from stoatrouter.matching.table import KnownClass, Vocabulary
from stoatrouter.settings import SettingsError, load


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A sample of request heads, for `rules explain` and `rules diff`."""

    file: str
    one_in: int
    most_bytes: int
    mask: tuple[str, ...]


class HttpFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the file says."""

    listen: str
    rules: str
    shadow: str | None = None
    forwarded: bool = True
    record: Record | None = None


class HttpSettings(msgspec.Struct, frozen=True):
    """What the file says, with its paths found."""

    listen: str
    rules: Path
    shadow: Path | None
    forwarded: bool
    record: Record | None
    record_file: Path | None


def load_http(path: Path) -> HttpSettings:
    """Read the operator's file; raises ConfigError with all that is wrong with it."""
    try:
        made = load(path, HttpFile, "http.#Http").record
    except SettingsError as error:
        raise ConfigError(f"bad settings of the HTTP front:\n{error}") from None
    address(made.listen)
    folder = path.parent
    return HttpSettings(
        made.listen,
        folder / made.rules,
        folder / made.shadow if made.shadow else None,
        made.forwarded,
        made.record,
        folder / made.record.file if made.record else None,
    )


def vocabulary(conf: Config) -> Vocabulary:
    """What rules may speak of at this head."""
    return words_of(conf.settings, conf.shards)


def words_of(settings: api.Settings, shards: int) -> Vocabulary:
    classes = tuple(
        KnownClass(c.name, c.effect is api.Effect.SAFE, span(c.deadline)) for c in settings.classes
    )
    return Vocabulary(classes, tuple(p.name for p in settings.plans), shards, settings.max_units)


def windows(settings: api.Settings) -> dict[int, timedelta]:
    """For how long repeats of keyed classes are known, by the number of the class."""
    return {
        i: span(c.repeat_window)
        for i, c in enumerate(settings.classes)
        if c.effect is api.Effect.KEYED and c.repeat_window
    }
