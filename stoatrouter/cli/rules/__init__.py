"""`rules`: checking, explaining, comparing and timing tables; one module for each command."""

from __future__ import annotations

import click

from stoatrouter.cli.rules.bench import bench_command
from stoatrouter.cli.rules.check import check_command
from stoatrouter.cli.rules.diff import diff_command
from stoatrouter.cli.rules.explain import explain_command

__all__ = ["rules_group"]


@click.group("rules")
def rules_group() -> None:
    """Rule tables."""


for command in (check_command, explain_command, diff_command, bench_command):
    rules_group.add_command(command)
