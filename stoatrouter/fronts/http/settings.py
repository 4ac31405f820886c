"""Loads the HTTP front's settings file; deploy/http.cue is an example."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import msgspec

from stoatrouter.config import Config, ConfigError, parse_address
from stoatrouter.core.durations import from_microseconds
from stoatrouter.matching.vocabulary import KnownClass, Vocabulary
from stoatrouter.policy import interface as api
from stoatrouter.settings import SettingsError, load


class SampleSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for recording a sample of request heads, which `rules explain` and `rules diff` read.

    Attributes:
        file: Path of the sample file, relative to the folder of the settings file.
        one_in: One in this many requests is recorded.
        most_bytes: Maximum size of all sample files together, in bytes.
        mask: Header fields whose values are not recorded.
    """

    file: str
    one_in: int
    most_bytes: int
    mask: tuple[str, ...]


class HttpFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the settings file; its keys are documented in docs/http-front.md."""

    listen: str
    rules: str
    shadow: str | None = None
    forwarded: bool = True
    record: SampleSettings | None = None


class HttpSettings(msgspec.Struct, frozen=True):
    """The contents of the settings file with its paths resolved.

    Attributes:
        listen: The address that the front listens on, `host:port`.
        rules: The operator's rule file.
        shadow: The rule file whose decisions are only compared; None: no shadow table.
        forwarded: Whether to add X-Forwarded-For and Via to forwarded requests.
        record: The settings for recording request heads; None: nothing is recorded.
        record_file: The path of the sample file.
    """

    listen: str
    rules: Path
    shadow: Path | None
    forwarded: bool
    record: SampleSettings | None
    record_file: Path | None


def load_http(path: Path) -> HttpSettings:
    """Load the settings file; paths in it are relative to its folder.

    Raises:
        ConfigError: The file cannot be read or has faults; the message lists them all.
    """
    try:
        record = load(path, HttpFile, "http.#Http").record
    except SettingsError as error:
        raise ConfigError(f"invalid settings of the HTTP front:\n{error}") from None
    parse_address(record.listen)  # raises ConfigError if it is malformed
    folder = path.parent
    return HttpSettings(
        listen=record.listen,
        rules=folder / record.rules,
        shadow=folder / record.shadow if record.shadow else None,
        forwarded=record.forwarded,
        record=record.record,
        record_file=folder / record.record.file if record.record else None,
    )


def vocabulary(conf: Config) -> Vocabulary:
    """Build the vocabulary of rules from a head's configuration."""
    return settings_vocabulary(conf.settings, conf.shards)


def settings_vocabulary(settings: api.Settings, shards: int) -> Vocabulary:
    """Build the vocabulary of rules from the platform's settings.

    Args:
        settings: The platform's settings.
        shards: The number of shards; 0 if unknown.
    """
    classes = tuple(
        KnownClass(c.name, c.effect is api.Effect.SAFE, from_microseconds(c.deadline))
        for c in settings.classes
    )
    return Vocabulary(classes, tuple(p.name for p in settings.plans), shards, settings.max_units)


def idempotency_windows(settings: api.Settings) -> dict[int, timedelta]:
    """Return how long nodes remember the idempotency keys of a class, by class number.

    Classes that are not idempotent, or have no window, are left out.
    """
    return {
        number: from_microseconds(c.repeat_window)
        for number, c in enumerate(settings.classes)
        if c.effect is api.Effect.IDEMPOTENT and c.repeat_window
    }
