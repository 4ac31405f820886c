"""The top of the command line (docs/cli.md): `run`, `demo`, and the groups `config` and `rules`."""

from __future__ import annotations

import os
import sys

import click

from stoatrouter.cli.config_check import config_group
from stoatrouter.cli.rules import rules_group


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A gateway to storage nodes. Without a command, `python -m stoatrouter` starts a head."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), help="Instead of NODE_CONFIG.")
@click.option(
    "--log-format", type=click.Choice(["text", "json"]), default=None, help="Lines for people, or JSON."
)
def run(config: str | None, log_format: str | None) -> None:
    """Start one head, in place of this process."""
    environ = dict(os.environ)
    if config is not None:
        environ["NODE_CONFIG"] = config
    if log_format is not None:
        environ["STOATROUTER_LOG_FORMAT"] = log_format
    if not environ.get("NODE_CONFIG"):
        raise click.UsageError(
            "NODE_CONFIG is not set, and no --config is given; `stoatrouter demo` needs none"
        )
    flags = ["-O"] if sys.flags.optimize else []
    os.execve(sys.executable, [sys.executable, *flags, "-B", "-m", "stoatrouter"], environ)


@main.command()
@click.option(
    "--nodes", type=click.IntRange(1, 16), default=3, show_default=True, help="How many stand-in nodes."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the nodes' times.")
@click.option("--for", "seconds", type=float, default=None, help="End by itself after so many seconds.")
def demo(nodes: int, seed: int, seconds: float | None) -> None:
    """A head with stand-in nodes and all fronts on loopback, to try by hand."""
    from stoatrouter.lab.demo import run_demo

    sys.exit(run_demo(nodes, seed, seconds))


main.add_command(config_group)
main.add_command(rules_group)
