"""`config check`: checks a configuration, settings or rule file according to its kind."""

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

# Checks a file, given the configuration that its names refer to; returns warnings or raises SettingsError.
FileCheck = Callable[[Path, Path | None], list[Fault]]


def check_head(file: Path, config_path: Path | None) -> list[Fault]:
    """Check a head's configuration.

    Raises:
        ConfigError: The configuration cannot be read or is invalid.
    """
    config.read({"NODE_CONFIG": str(file)}, {})
    return []


def check_http(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the settings file of the HTTP front, its rules and its shadow rules."""
    from stoatrouter.fronts.http.settings import HttpFile

    record = load(file, HttpFile, "http.#Http").record
    warnings = check_rules(file.parent / record.rules, config_path)
    if record.shadow:
        warnings += check_rules(file.parent / record.shadow, config_path)
    return warnings


def check_objects(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the settings file of the object front, and its rules if it has any."""
    from stoatrouter.fronts.objects.settings import ObjectsFile

    record = load(file, ObjectsFile, "objects.#Objects").record
    if record.rules is None:
        return []
    return load_table(file.parent / record.rules, config_path, file).warnings


def check_rules(file: Path, config_path: Path | None) -> list[Fault]:
    """Check the operator's file of a rule table and the files of its teams."""
    return load_table(file, config_path).warnings


def check_team(file: Path, config_path: Path | None) -> list[Fault]:
    """Check only the structure of a team's file; its expressions are checked with the operator's file."""
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
    """Work with configuration and settings files."""


@config_group.command("check")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--kind", type=click.Choice(list(CHECKS)), default=None, help="The kind of the file; default: detected."
)
@config_option
@json_option
def check_command(file: Path, kind: str | None, config_path: Path | None, as_json: bool) -> None:
    """Check a file and the rule files that it names. Reports all errors; exit code 1 if there are any."""
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
    """Return a file's kind by its suffix and fields; `http` if unreadable: that check reports the error."""
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
