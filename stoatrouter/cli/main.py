"""Entry point of the command line (docs/cli.md): `run`, `demo`, and the groups `config` and `rules`."""

from __future__ import annotations

import os
import sys

import click

from stoatrouter.cli.config_check import config_group
from stoatrouter.cli.rules import rules_group


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A gateway that routes requests to storage nodes. `python -m stoatrouter` alone starts a head."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), help="Overrides NODE_CONFIG.")
@click.option("--log-format", type=click.Choice(["text", "json"]), default=None, help="Plain text or JSON.")
def run(config: str | None, log_format: str | None) -> None:
    """Start a head, which replaces this process."""
    environ = dict(os.environ)
    if config is not None:
        environ["NODE_CONFIG"] = config
    if log_format is not None:
        environ["STOATROUTER_LOG_FORMAT"] = log_format
    if not environ.get("NODE_CONFIG"):
        raise click.UsageError("neither NODE_CONFIG nor --config is given (`stoatrouter demo` needs neither)")
    flags = ["-O"] if sys.flags.optimize else []
    os.execve(sys.executable, [sys.executable, *flags, "-B", "-m", "stoatrouter"], environ)


@main.command()
@click.option(
    "--nodes", type=click.IntRange(1, 16), default=3, show_default=True, help="Number of stand-in nodes."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed for the nodes' service times.")
@click.option("--for", "seconds", type=float, default=None, help="Stop after this many seconds.")
def demo(nodes: int, seed: int, seconds: float | None) -> None:
    """Run a head with stand-in nodes and all fronts on loopback, for manual experiments."""
    from stoatrouter.lab.demo import run_demo

    sys.exit(run_demo(nodes, seed, seconds))


main.add_command(config_group)
main.add_command(rules_group)
