"""The operator's file of the HTTP front; deploy/http.cue is an example."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import msgspec

from stoatrouter.config import Config, ConfigError, parse_address
from stoatrouter.core.spans import span
from stoatrouter.matching.vocabulary import KnownClass, Vocabulary
from stoatrouter.policy import interface as api
from stoatrouter.settings import SettingsError, load


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the sample of request heads that `rules explain` and `rules diff` read."""

    file: str
    one_in: int
    most_bytes: int
    mask: tuple[str, ...]


class HttpFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the file."""

    listen: str
    rules: str
    shadow: str | None = None
    forwarded: bool = True
    record: Record | None = None


class HttpSettings(msgspec.Struct, frozen=True):
    """The contents of the file with its paths resolved."""

    listen: str
    rules: Path
    shadow: Path | None
    forwarded: bool
    record: Record | None
    record_file: Path | None


def load_http(path: Path) -> HttpSettings:
    """Read the operator's file; raises ConfigError with all faults."""
    try:
        made = load(path, HttpFile, "http.#Http").record
    except SettingsError as error:
        raise ConfigError(f"bad settings of the HTTP front:\n{error}") from None
    parse_address(made.listen)
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
    """The words that rules may use under this configuration."""
    return words_of(conf.settings, conf.shards)


def words_of(settings: api.Settings, shards: int) -> Vocabulary:
    """The vocabulary that the platform's settings give; `shards` 0: the number of shards is not known."""
    classes = tuple(
        KnownClass(c.name, c.effect is api.Effect.SAFE, span(c.deadline)) for c in settings.classes
    )
    return Vocabulary(classes, tuple(p.name for p in settings.plans), shards, settings.max_units)


def windows(settings: api.Settings) -> dict[int, timedelta]:
    """The repeat windows of keyed classes, by the number of the class."""
    return {
        i: span(c.repeat_window)
        for i, c in enumerate(settings.classes)
        if c.effect is api.Effect.KEYED and c.repeat_window
    }
