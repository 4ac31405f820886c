"""The `rules` group: checks, explains, compares and times rule tables; one module per command."""

from __future__ import annotations

import click

from stoatrouter.cli.rules.bench import bench_command
from stoatrouter.cli.rules.check import check_command
from stoatrouter.cli.rules.diff import diff_command
from stoatrouter.cli.rules.explain import explain_command

__all__ = ["rules_group"]


@click.group("rules")
def rules_group() -> None:
    """Work with rule tables."""


for command in (check_command, explain_command, diff_command, bench_command):
    rules_group.add_command(command)
