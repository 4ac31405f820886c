"""What commands share: the settings' words, tables of files, and how results are said."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from stoatrouter import config
from stoatrouter.core.spans import span
from stoatrouter.expressions.environment import Environment
from stoatrouter.fronts.http.settings import vocabulary
from stoatrouter.matching.files import Files, Sources, Tables
from stoatrouter.matching.inputs import HTTP, OBJECTS
from stoatrouter.matching.records import Computed
from stoatrouter.matching.table import Table
from stoatrouter.matching.vocabulary import Bucket, KnownClass, Vocabulary
from stoatrouter.settings import Fault, SettingsError

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
config_option = click.option(
    "--config",
    "conf",
    type=FILE,
    default=None,
    help="The head's configuration, whose classes and plans rules name. NODE_CONFIG where it is set.",
)
objects_option = click.option(
    "--objects", type=FILE, default=None, help="Rules of the object front: its operator's file."
)
json_option = click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")


class Cannot(click.ClickException):
    """A command that cannot be carried out: exit code 2."""

    exit_code = 2


def words_for(path: Path, conf: Path | None) -> tuple[Vocabulary, bool]:
    """The words that rules may use, and whether they are a configuration's. Without one, whatever the files
    name is taken to exist, and each class to be one that is not repeated freely."""
    found = conf or os.environ.get("NODE_CONFIG")
    if found:
        try:
            made = config.read({"NODE_CONFIG": str(found)}, {})
        except config.ConfigError as error:
            raise Cannot(str(error)) from None
        return vocabulary(made), True
    scopes = Files().read(path).operator.record.scopes.values()
    classes = sorted({name for scope in scopes for name in scope.classes})
    plans = sorted({name for scope in scopes for name in scope.plans})
    return Vocabulary(
        tuple(KnownClass(name, False, span(10**9)) for name in classes), tuple(plans), 0, 1e6
    ), False


def table_of(
    path: Path, conf: Path | None, objects: Path | None = None
) -> tuple[Table, Sources, Environment, bool]:
    """The table of a file; raises SettingsError."""
    words, known = words_for(path, conf)
    environment: Environment = HTTP
    buckets = None
    if objects is not None:
        from stoatrouter.fronts.objects.settings import ObjectsFile
        from stoatrouter.settings import load

        environment = OBJECTS
        record = load(objects, ObjectsFile, "objects.#Objects").record
        buckets = {name: Bucket(bucket.volume, bucket.plan) for name, bucket in record.buckets.items()}
    table, sources = Tables(path, words, environment, buckets).load()
    return table, sources, environment, known


def fault_data(fault: Fault) -> dict[str, Any]:
    return {
        "file": fault.at.file,
        "line": fault.at.line,
        "path": fault.path,
        "what": fault.what,
        "remedy": fault.remedy,
    }


def refused(error: SettingsError, as_json: bool) -> int:
    """Say what is wrong with files; the exit code."""
    if as_json:
        click.echo(json.dumps({"ok": False, "errors": [fault_data(fault) for fault in error.faults]}))
    else:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        click.echo(f"{len(error.faults)} error{'s' if len(error.faults) != 1 else ''}", err=True)
    return 1


def note_words(known: bool, as_json: bool) -> None:
    if not known and not as_json:
        click.echo(
            "note: no --config and no NODE_CONFIG: names of classes and plans, shards and units were not "
            "checked",
            err=True,
        )


def computed(rules: Iterable[Any]) -> int:
    """How many values of rules are expressions."""
    return sum(isinstance(getattr(rule, name), Computed) for rule in rules for name in rule.__struct_fields__)
