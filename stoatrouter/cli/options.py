"""Options that several commands have, and the types of their files."""

from __future__ import annotations

from pathlib import Path

import click

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)

config_option = click.option(
    "--config",
    "config_path",
    type=EXISTING_FILE,
    default=None,
    help="The head's configuration, whose classes and plans rules name. NODE_CONFIG where it is set.",
)
objects_option = click.option(
    "--objects", type=EXISTING_FILE, default=None, help="Rules of the object front: its operator's file."
)
json_option = click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")
