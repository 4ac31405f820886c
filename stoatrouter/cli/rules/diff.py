"""`rules diff`: finds the recorded requests for which two tables decide differently."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import click

from stoatrouter.cli.options import EXISTING_FILE, config_option, json_option
from stoatrouter.cli.output import ExitCode, echo_json, exit_with_faults
from stoatrouter.cli.tables import load_table
from stoatrouter.matching.explain import Difference, decision_data, find_differences
from stoatrouter.matching.samples import read_samples
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

IGNORED_FIELDS = ("scope", "rule")  # fields of a decision that tell where it was made, not its result


@click.command("diff")
@click.argument("old", type=EXISTING_FILE)
@click.argument("new", type=EXISTING_FILE)
@click.option(
    "--requests", "log", type=EXISTING_FILE, required=True, help="Recorded request heads, as JSON lines."
)
@config_option
@json_option
def diff_command(old: Path, new: Path, log: Path, config_path: Path | None, as_json: bool) -> None:
    """List recorded requests for which a new table decides differently, by rule. Exit code 1 if any."""
    try:
        before = load_table(old, config_path).table
        after = load_table(new, config_path).table
    except SettingsError as error:
        exit_with_faults(error, as_json, ExitCode.CANNOT_RUN)
    with log.open(encoding="utf-8", errors="replace") as file:
        found, counts = find_differences(before, after, read_samples(file))
    if as_json:
        echo_json(differences_data(found, counts, before, after))
    else:
        echo_differences(found, counts, before, after)
    sys.exit(ExitCode.FINDINGS if counts["changed"] else ExitCode.SUCCESS)


def differences_data(
    found: Iterable[Difference], counts: Counter[str], before: Table, after: Table
) -> dict[str, object]:
    """Return differences as data for JSON output."""
    return {
        "requests": counts["requests"],
        "unreadable": counts["unreadable"],
        "changed": counts["changed"],
        "differences": [
            {
                "old": each.old,
                "new": each.new,
                "count": each.count,
                "lines": each.lines,
                "was": decision_data(each.example.old, before),
                "is": decision_data(each.example.new, after),
            }
            for each in found
        ],
    }


def echo_differences(found: Iterable[Difference], counts: Counter[str], before: Table, after: Table) -> None:
    """Print differences as text, one line per pair of rules, and the counts."""
    for each in found:
        lines = ", ".join(map(str, each.lines))
        changes = describe_changes(each, before, after)
        click.echo(f"{each.count:6} {each.old} -> {each.new}: {changes} (lines {lines})")
    unreadable = f"; {counts['unreadable']} lines cannot be read" if counts["unreadable"] else ""
    click.echo(f"{counts['changed']} of {counts['requests']} requests change{unreadable}")


def describe_changes(difference: Difference, before: Table, after: Table) -> str:
    """Describe the fields of the decision that differ for the example of a difference."""
    was = decision_data(difference.example.old, before)
    now = decision_data(difference.example.new, after)
    return ", ".join(
        f"{name}: {was.get(name)} -> {now.get(name)}"
        for name in dict.fromkeys([*was, *now])
        if name not in IGNORED_FIELDS and was.get(name) != now.get(name)
    )
