"""What a head keeps in $TMPDIR, which an upgrade's new process finds there."""

from __future__ import annotations

import json
import os
from pathlib import Path

from loguru import logger

from stoatrouter.core.model import AdministrativeState
from stoatrouter.net.state import read_administrative_state, write_administrative_state


class AdministrativeStateFile:
    """The file that holds the administrative state of the nodes; without a folder nothing is kept."""

    def __init__(self, folder: str | None) -> None:
        self.path = Path(folder) / "stoatrouter-bricks.json" if folder else None

    def write(self, administrative_state: AdministrativeState) -> bool:
        """Returns whether it is saved. The file is replaced whole: a process that dies here spoils none."""
        if self.path is None:
            return True
        temporary = self.path.with_suffix(".new")
        try:
            temporary.write_text(json.dumps(write_administrative_state(administrative_state)))
            os.replace(temporary, self.path)
        except OSError as error:
            logger.error("bricks: cannot be kept: {error}", event="bricks.unkept", error=str(error))
            return False
        return True

    def read(self) -> AdministrativeState:
        """What was kept. Guards a start against a file that is spoilt: it is as none."""
        if self.path is None or not self.path.exists():
            return AdministrativeState()
        try:
            return read_administrative_state(json.loads(self.path.read_text()))
        except (OSError, ValueError, RecursionError) as error:
            logger.error(
                "bricks: what was kept cannot be read, no brick is out: {error}",
                event="bricks.unreadable",
                error=str(error),
            )
            return AdministrativeState()
