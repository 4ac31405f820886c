"""python -m stoatrouter.importer apache|jk FILE: prints the node list of a balancer in discovery's format."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from stoatrouter.importer import apache, jk
from stoatrouter.importer.members import ImporterError, node_list, select_members

FORMATS = {"apache": apache.read, "jk": jk.read}
EXIT_SUCCESS = 0
EXIT_FAILURE = 2  # the file cannot be read or imported


def main(arguments: list[str] | None = None) -> int:
    """Print the node list to standard output, and notes on what was not imported to standard error.

    Args:
        arguments: The command-line arguments; None: those of the process.

    Returns:
        The exit code: 0, or 2 if the file cannot be imported.
    """
    options = parse_arguments(arguments)
    try:
        imported = FORMATS[options.format](options.file.read_text())
        nodes = node_list(select_members(imported, options.balancer), options.http_port)
    except (OSError, UnicodeDecodeError, ImporterError) as error:
        print(f"importer: {options.file}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    for note in imported.notes:
        print(f"importer: {note}", file=sys.stderr)
    print(json.dumps(nodes, indent=1))
    return EXIT_SUCCESS


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Parse the command line; exits the process with code 2 if it is invalid."""
    parser = argparse.ArgumentParser(prog="stoatrouter.importer", description=__doc__)
    parser.add_argument("format", choices=FORMATS)
    parser.add_argument("file", type=Path)
    parser.add_argument("--balancer", help="name of the balancer; required if the file has several")
    parser.add_argument("--http-port", type=int, help="HTTP port of members that the file addresses by AJP")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
