"""Loads rule tables for commands, with or without the head's configuration that their names refer to."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from stoatrouter import config
from stoatrouter.cli.output import CommandError
from stoatrouter.core.durations import from_microseconds
from stoatrouter.expressions.environment import Environment
from stoatrouter.fronts.http.settings import vocabulary
from stoatrouter.matching.files import RuleFileReader, RuleSources, TableLoader
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, OBJECT_ENVIRONMENT
from stoatrouter.matching.table import Table
from stoatrouter.matching.vocabulary import Bucket, KnownClass, Vocabulary
from stoatrouter.settings import Fault, load

# Assumed without a configuration; large enough not to limit rules.
ASSUMED_DEADLINE = from_microseconds(10**9)  # of each class; 10**9 microseconds
ASSUMED_MAX_UNITS = 1e6  # of a request


@dataclass(slots=True, frozen=True)
class LoadedTable:
    """A table, its source files, and the environment of its conditions.

    `names_checked` tells whether the names of classes and plans were checked against a configuration.
    """

    table: Table
    sources: RuleSources
    environment: Environment
    names_checked: bool

    @property
    def warnings(self) -> list[Fault]:
        """Problems that are not errors, such as rules that never match."""
        return [self.sources.locate(warning) for warning in self.table.warnings]


def load_table(path: Path, config_path: Path | None, objects: Path | None = None) -> LoadedTable:
    """Load the table of a rule file.

    Args:
        path: The rule file.
        config_path: The configuration that defines classes and plans; None: that of NODE_CONFIG.
        objects: The settings file of the object front, for rules of that front.

    Raises:
        SettingsError: The files have errors; it holds them all.
        CommandError: The configuration cannot be read.
    """
    configured = configured_vocabulary(config_path)
    known_names = assumed_vocabulary(path) if configured is None else configured
    environment: Environment = HTTP_ENVIRONMENT
    buckets = None
    if objects is not None:
        environment = OBJECT_ENVIRONMENT
        buckets = load_buckets(objects)
    table, sources = TableLoader(path, known_names, environment, buckets).load()
    return LoadedTable(table, sources, environment, configured is not None)


def configured_vocabulary(config_path: Path | None) -> Vocabulary | None:
    """Return the vocabulary of a head's configuration; None if no configuration is given.

    Raises:
        CommandError: The configuration cannot be read.
    """
    source = config_path or os.environ.get("NODE_CONFIG")
    if not source:
        return None
    try:
        return vocabulary(config.read({"NODE_CONFIG": str(source)}, {}))
    except config.ConfigError as error:
        raise CommandError(str(error)) from None


def assumed_vocabulary(path: Path) -> Vocabulary:
    """Return a vocabulary of the names that a rule file uses, assuming that no class is idempotent.

    Raises:
        SettingsError: The files have errors; it holds them all.
    """
    scopes = RuleFileReader().read(path).operator.record.scopes.values()
    classes = sorted({name for scope in scopes for name in scope.classes})
    plans = sorted({name for scope in scopes for name in scope.plans})
    known = tuple(KnownClass(name, False, ASSUMED_DEADLINE) for name in classes)
    return Vocabulary(known, tuple(plans), 0, ASSUMED_MAX_UNITS)


def load_buckets(objects: Path) -> Mapping[str, Bucket]:
    """Return the buckets of an object front, by name.

    Raises:
        SettingsError: The settings file has errors; it holds them all.
    """
    from stoatrouter.fronts.objects.settings import ObjectsFile  # imported only for the object front

    record = load(objects, ObjectsFile, "objects.#Objects").record
    return {name: Bucket(bucket.volume, bucket.plan) for name, bucket in record.buckets.items()}
