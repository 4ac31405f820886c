"""`config check`: any operator's file, by what it is."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from stoatrouter import config
from stoatrouter.cli.words import FILE, config_option, fault_data, json_option, refused, table_of
from stoatrouter.settings import Fault, Place, SettingsError, load
from stoatrouter.settings.parser import parse

KINDS = ("head", "http", "objects", "rules", "team")


@click.group("config")
def config_group() -> None:
    """Files of settings."""


@config_group.command("check")
@click.argument("file", type=FILE)
@click.option(
    "--kind", type=click.Choice(KINDS), default=None, help="What the file is; told by its fields else."
)
@config_option
@json_option
def check(file: Path, kind: str | None, conf: Path | None, as_json: bool) -> None:
    """Check one file, and the rules that it names. All errors at once; exit code 1 where there are any."""
    kind = kind or told_kind(file)
    try:
        checked = checkers(kind)(file, conf)
    except SettingsError as error:
        sys.exit(refused(error, as_json))
    except config.ConfigError as error:
        sys.exit(refused(SettingsError(Fault(Place(str(file), 1), "", str(error))), as_json))
    if as_json:
        click.echo(json.dumps({"ok": True, "kind": kind, "warnings": [fault_data(w) for w in checked]}))
    else:
        for warning in checked:
            click.echo(f"warning: {warning}", err=True)
        click.echo(f"{file}: fine ({kind})")


def told_kind(file: Path) -> str:
    """What a file is, by its fields."""
    if file.suffix == ".json":
        return "head"
    try:
        names = {given.label for given in parse(file.read_text(), str(file)).body.fields}
    except (SettingsError, OSError, UnicodeDecodeError):
        return "http"  # its errors are said as those of any file
    if "scopes" in names:
        return "rules"
    if "buckets" in names or "secret_file" in names:
        return "objects"
    return "team" if names == {"rules"} else "http"


def checkers(kind: str):  # noqa: ANN201 - a table of functions
    return {
        "head": check_head,
        "http": check_http,
        "objects": check_objects,
        "rules": check_rules,
        "team": check_team,
    }[kind]


def check_head(file: Path, conf: Path | None) -> list[Fault]:
    config.read({"NODE_CONFIG": str(file)}, {})
    return []


def check_http(file: Path, conf: Path | None) -> list[Fault]:
    from stoatrouter.fronts.http.settings import HttpFile

    made = load(file, HttpFile, "http.#Http")
    warnings = check_rules(file.parent / made.record.rules, conf)
    return warnings + (check_rules(file.parent / made.record.shadow, conf) if made.record.shadow else [])


def check_objects(file: Path, conf: Path | None) -> list[Fault]:
    from stoatrouter.fronts.objects.settings import ObjectsFile

    made = load(file, ObjectsFile, "objects.#Objects")
    if made.record.rules is None:
        return []
    table, sources, _, _ = table_of(file.parent / made.record.rules, conf, file)
    return [sources.locate(warning) for warning in table.warnings]


def check_rules(file: Path, conf: Path | None) -> list[Fault]:
    table, sources, _, _ = table_of(file, conf)
    return [sources.locate(warning) for warning in table.warnings]


def check_team(file: Path, conf: Path | None) -> list[Fault]:
    from stoatrouter.matching.files import TEAM
    from stoatrouter.matching.records import Team

    load(file, Team, TEAM)
    return []
