"""The file in $TMPDIR that persists the administrative state across restarts and upgrades."""

from __future__ import annotations

import json
import os
from pathlib import Path

from loguru import logger

from stoatrouter.core.model import AdministrativeState
from stoatrouter.net.state_format import read_administrative_state, write_administrative_state


class AdministrativeStateFile:
    """The file of the administrative state; without a folder nothing is saved."""

    def __init__(self, folder: str | None) -> None:
        """Set the path of the file.

        Args:
            folder: The folder of the file stoatrouter-bricks.json ($TMPDIR); None: nothing is saved.
        """
        self.path = Path(folder) / "stoatrouter-bricks.json" if folder else None

    def write(self, administrative_state: AdministrativeState) -> bool:
        """Save the state; returns whether that succeeded.

        The file is replaced atomically, so that a process that dies here leaves the old one intact.
        """
        if self.path is None:
            return True
        temporary = self.path.with_suffix(".new")
        try:
            temporary.write_text(json.dumps(write_administrative_state(administrative_state)))
            os.replace(temporary, self.path)
        except OSError as error:
            logger.error(
                "bricks: cannot save the administrative state: {error}",
                event="bricks.unkept",
                error=str(error),
            )
            return False
        return True

    def read(self) -> AdministrativeState:
        """Return the saved state; an empty one if there is no file or it is malformed."""
        if self.path is None or not self.path.exists():
            return AdministrativeState()
        try:
            return read_administrative_state(json.loads(self.path.read_text()))
        except (OSError, ValueError, RecursionError) as error:
            logger.error(
                "bricks: cannot read the saved administrative state; no brick is out of service: {error}",
                event="bricks.unreadable",
                error=str(error),
            )
            return AdministrativeState()
