"""The command line: each command is a thin wrapper around one package. Heads do not import it."""

from stoatrouter.cli.main import main

__all__ = ["main"]
