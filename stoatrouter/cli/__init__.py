"""The command line: each command a thin call into one package. Loaded only for a command."""

from stoatrouter.cli.main import main

__all__ = ["main"]
