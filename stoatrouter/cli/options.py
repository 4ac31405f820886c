"""Options shared by several commands, and the type of file arguments."""

from __future__ import annotations

from pathlib import Path

import click

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)

config_option = click.option(
    "--config",
    "config_path",
    type=EXISTING_FILE,
    default=None,
    help="The head's configuration, which defines classes and plans. Default: NODE_CONFIG, if set.",
)
objects_option = click.option(
    "--objects", type=EXISTING_FILE, default=None, help="Settings file of the object front, for its rules."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
