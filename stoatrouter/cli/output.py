"""Output of commands: exit codes, faults in files, and results as text or as one JSON object."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, NoReturn

import click

from stoatrouter.settings import Fault, SettingsError


class ExitCode(IntEnum):
    """The exit codes of all commands (docs/cli.md)."""

    SUCCESS = 0
    FINDINGS = 1  # errors in files, or differences between tables
    CANNOT_RUN = 2  # such as a missing file or an invalid argument


class CommandError(click.ClickException):
    """A command cannot be run; click prints the message."""

    exit_code = ExitCode.CANNOT_RUN


def echo_json(data: dict[str, Any]) -> None:
    """Print a result as one JSON object."""
    click.echo(json.dumps(data))


def fault_data(fault: Fault) -> dict[str, Any]:
    """Return a fault as data for JSON output."""
    return {
        "file": fault.at.file,
        "line": fault.at.line,
        "path": fault.path,
        "what": fault.what,
        "remedy": fault.remedy,
    }


def exit_with_faults(error: SettingsError, as_json: bool, code: ExitCode = ExitCode.FINDINGS) -> NoReturn:
    """Print the faults of files and exit the process.

    Raises:
        SystemExit: Always, with the exit code.
    """
    if as_json:
        echo_json({"ok": False, "errors": [fault_data(fault) for fault in error.faults]})
    else:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        count = len(error.faults)
        click.echo(f"{count} error{'s' if count != 1 else ''}", err=True)
    sys.exit(code)


def echo_warnings(warnings: Iterable[Fault]) -> None:
    """Print warnings to standard error, one per line."""
    for warning in warnings:
        click.echo(f"warning: {warning}", err=True)


def echo_unchecked_names(names_checked: bool) -> None:
    """Print a note to standard error if names were not checked for lack of a configuration."""
    if not names_checked:
        click.echo(
            "note: neither --config nor NODE_CONFIG is given: classes, plans, shards and units were not "
            "checked",
            err=True,
        )
