"""`config check`: any operator's file, by what it is."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from stoatrouter import config
from stoatrouter.cli.options import EXISTING_FILE, config_option, json_option
from stoatrouter.cli.output import echo_json, echo_warnings, exit_with_faults, fault_data
from stoatrouter.cli.tables import load_table
from stoatrouter.settings import Fault, Place, SettingsError, load
from stoatrouter.settings.parser import parse

# Given the file and the configuration that its names belong to: its warnings; raises SettingsError
FileCheck = Callable[[Path, Path | None], list[Fault]]


def check_head(file: Path, config_path: Path | None) -> list[Fault]:
    """Check a head's configuration.

    Raises:
        ConfigError: The first error of it.
    """
    config.read({"NODE_CONFIG": str(file)}, {})
    return []


def check_http(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the file of the HTTP front, its rules, and the rules that it shadows."""
    from stoatrouter.fronts.http.settings import HttpFile

    record = load(file, HttpFile, "http.#Http").record
    warnings = check_rules(file.parent / record.rules, config_path)
    if record.shadow:
        warnings += check_rules(file.parent / record.shadow, config_path)
    return warnings


def check_objects(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the file of the object front, and its rules if it has any."""
    from stoatrouter.fronts.objects.settings import ObjectsFile

    record = load(file, ObjectsFile, "objects.#Objects").record
    if record.rules is None:
        return []
    return load_table(file.parent / record.rules, config_path, file).warnings


def check_rules(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the operator's file of a rule table, and those of its teams."""
    return load_table(file, config_path).warnings


def check_team(file: Path, config_path: Path | None) -> list[Fault]:
    """Check a team's file by its form alone; its expressions are read with the operator's file."""
    from stoatrouter.matching.files import TEAM_DEFINITION
    from stoatrouter.matching.records import Team

    load(file, Team, TEAM_DEFINITION)
    return []


CHECKS: dict[str, FileCheck] = {
    "head": check_head,
    "http": check_http,
    "objects": check_objects,
    "rules": check_rules,
    "team": check_team,
}


@click.group("config")
def config_group() -> None:
    """Files of settings."""


@config_group.command("check")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--kind", type=click.Choice(list(CHECKS)), default=None, help="What the file is; told by its fields else."
)
@config_option
@json_option
def check_command(file: Path, kind: str | None, config_path: Path | None, as_json: bool) -> None:
    """Check one file, and the rules that it names. All errors at once; exit code 1 where there are any."""
    kind = kind or recognize_kind(file)
    try:
        warnings = CHECKS[kind](file, config_path)
    except SettingsError as error:
        exit_with_faults(error, as_json)
    except config.ConfigError as error:
        exit_with_faults(SettingsError(Fault(Place(str(file), 1), "", str(error))), as_json)
    if as_json:
        echo_json({"ok": True, "kind": kind, "warnings": [fault_data(warning) for warning in warnings]})
    else:
        echo_warnings(warnings)
        click.echo(f"{file}: fine ({kind})")


def recognize_kind(file: Path) -> str:
    """The kind of a file, by its suffix and fields; `http`, whose check reports why, if it is unreadable."""
    if file.suffix == ".json":
        return "head"
    try:
        labels = {declared.label for declared in parse(file.read_text(), str(file)).body.fields}
    except (SettingsError, OSError, UnicodeDecodeError):
        return "http"
    if "scopes" in labels:
        return "rules"
    if "buckets" in labels or "secret_file" in labels:
        return "objects"
    return "team" if labels == {"rules"} else "http"
