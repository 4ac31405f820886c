"""`rules check`: checks a table and reports the maximum cost of a request in each scope."""

from __future__ import annotations

from pathlib import Path

import click

from stoatrouter.cli.options import EXISTING_FILE, config_option, json_option, objects_option
from stoatrouter.cli.output import (
    echo_json,
    echo_unchecked_names,
    echo_warnings,
    exit_with_faults,
    fault_data,
)
from stoatrouter.cli.tables import LoadedTable, load_table
from stoatrouter.settings import SettingsError


@click.command("check")
@click.argument("file", type=EXISTING_FILE)
@config_option
@objects_option
@json_option
def check_command(file: Path, config_path: Path | None, objects: Path | None, as_json: bool) -> None:
    """Check a table: report all errors, rules that can never match, and the maximum cost of a request."""
    try:
        loaded = load_table(file, config_path, objects)
    except SettingsError as error:
        exit_with_faults(error, as_json)
    if as_json:
        echo_json(table_data(loaded))
        return
    echo_warnings(loaded.warnings)
    for name, compiled in loaded.table.scopes.items():
        click.echo(
            f"{name}: {len(compiled.rules)} rules, at most {compiled.max_steps} of {compiled.scope.steps} "
            "steps per request"
        )
    echo_unchecked_names(loaded.names_checked)
    click.echo(f"{file}: fine, table {loaded.table.epoch}")


def table_data(loaded: LoadedTable) -> dict[str, object]:
    """Return the report on a table without errors, as data for JSON output."""
    scopes = {
        name: {"rules": len(compiled.rules), "steps": compiled.max_steps, "most": compiled.scope.steps}
        for name, compiled in loaded.table.scopes.items()
    }
    return {
        "ok": True,
        "epoch": loaded.table.epoch,
        "scopes": scopes,
        "words_checked": loaded.names_checked,
        "warnings": [fault_data(warning) for warning in loaded.warnings],
    }
