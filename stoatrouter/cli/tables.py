"""Rule tables as commands load them: with or without the configuration that their names belong to."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from stoatrouter import config
from stoatrouter.cli.output import CommandError
from stoatrouter.core.spans import span
from stoatrouter.expressions.environment import Environment
from stoatrouter.fronts.http.settings import vocabulary
from stoatrouter.matching.files import RuleFileReader, RuleSources, TableLoader
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT, OBJECT_ENVIRONMENT
from stoatrouter.matching.table import Table
from stoatrouter.matching.vocabulary import Bucket, KnownClass, Vocabulary
from stoatrouter.settings import Fault, load

ASSUMED_DEADLINE = span(10**9)  # of classes that no configuration describes, in microseconds: no limit
ASSUMED_MAX_UNITS = 1e6  # most units of a request, without a configuration


@dataclass(slots=True, frozen=True)
class LoadedTable:
    """A table, the files that it was made of, and what its conditions may refer to.

    `names_checked` tells whether classes and plans are those of a configuration.
    """

    table: Table
    sources: RuleSources
    environment: Environment
    names_checked: bool

    @property
    def warnings(self) -> list[Fault]:
        """What is suspicious, but no error, such as rules that never match."""
        return [self.sources.locate(warning) for warning in self.table.warnings]


def load_table(path: Path, config_path: Path | None, objects: Path | None = None) -> LoadedTable:
    """Load the table of a rule file.

    Args:
        path: The rules.
        config_path: The configuration whose classes and plans they name; NODE_CONFIG where it is None.
        objects: The operator's file of the object front, for rules of that front.

    Raises:
        SettingsError: All errors of the files.
        CommandError: The configuration cannot be read.
    """
    configured = configured_vocabulary(config_path)
    words = assumed_vocabulary(path) if configured is None else configured
    environment: Environment = HTTP_ENVIRONMENT
    buckets = None
    if objects is not None:
        environment = OBJECT_ENVIRONMENT
        buckets = load_buckets(objects)
    table, sources = TableLoader(path, words, environment, buckets).load()
    return LoadedTable(table, sources, environment, configured is not None)


def configured_vocabulary(config_path: Path | None) -> Vocabulary | None:
    """The classes and plans of a head's configuration; None where no configuration is given.

    Raises:
        CommandError: It cannot be read.
    """
    source = config_path or os.environ.get("NODE_CONFIG")
    if not source:
        return None
    try:
        return vocabulary(config.read({"NODE_CONFIG": str(source)}, {}))
    except config.ConfigError as error:
        raise CommandError(str(error)) from None


def assumed_vocabulary(path: Path) -> Vocabulary:
    """The names that a rule file itself uses, as if all existed and no class were idempotent.

    Raises:
        SettingsError: All errors of the files.
    """
    scopes = RuleFileReader().read(path).operator.record.scopes.values()
    classes = sorted({name for scope in scopes for name in scope.classes})
    plans = sorted({name for scope in scopes for name in scope.plans})
    known = tuple(KnownClass(name, False, ASSUMED_DEADLINE) for name in classes)
    return Vocabulary(known, tuple(plans), 0, ASSUMED_MAX_UNITS)


def load_buckets(objects: Path) -> Mapping[str, Bucket]:
    """The buckets of an object front, by name.

    Raises:
        SettingsError: All errors of its file.
    """
    from stoatrouter.fronts.objects.settings import ObjectsFile  # loaded for the object front alone

    record = load(objects, ObjectsFile, "objects.#Objects").record
    return {name: Bucket(bucket.volume, bucket.plan) for name, bucket in record.buckets.items()}
