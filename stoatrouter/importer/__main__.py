"""python -m stoatrouter.importer apache|jk FILE: the node list of a balancer, in discovery's form."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from stoatrouter.importer import apache, jk
from stoatrouter.importer.members import ImportFailed, choose, node_list

FORMATS = {"apache": apache.read, "jk": jk.read}


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="stoatrouter.importer", description=__doc__)
    parser.add_argument("format", choices=FORMATS)
    parser.add_argument("file", type=Path)
    parser.add_argument("--balancer", help="its name; needed where the file has several")
    parser.add_argument("--http-port", type=int, help="where members that the file reaches by AJP speak HTTP")
    given = parser.parse_args(arguments)
    try:
        found = FORMATS[given.format](given.file.read_text())
        listed = node_list(choose(found, given.balancer), given.http_port)
    except (OSError, UnicodeDecodeError, ImportFailed) as error:
        print(f"importer: {given.file}: {error}", file=sys.stderr)
        return 2
    for note in found.notes:
        print(f"importer: {note}", file=sys.stderr)
    print(json.dumps(listed, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
