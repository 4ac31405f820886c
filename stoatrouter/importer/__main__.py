"""python -m stoatrouter.importer apache|jk FILE: the node list of a balancer, in discovery's form."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from stoatrouter.importer import apache, jk
from stoatrouter.importer.members import ImporterError, node_list, select_members

FORMATS = {"apache": apache.read, "jk": jk.read}
EXIT_SUCCESS = 0
EXIT_FAILURE = 2  # the file cannot be read or taken over


def main(arguments: list[str] | None = None) -> int:
    """Print the node list on standard output, and on standard error what was not carried over.

    Args:
        arguments: The words of the command line; those of the process where it is None.

    Returns:
        The exit code: 0, or 2 where the file cannot be taken over.
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
    """The options of the command line; ends the process with exit code 2 where they are wrong."""
    parser = argparse.ArgumentParser(prog="stoatrouter.importer", description=__doc__)
    parser.add_argument("format", choices=FORMATS)
    parser.add_argument("file", type=Path)
    parser.add_argument("--balancer", help="its name; needed where the file has several")
    parser.add_argument("--http-port", type=int, help="where members that the file reaches by AJP speak HTTP")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
