"""SIGHUP before there is a loop to take it. Imports next to nothing, as it must be in force first."""

from __future__ import annotations

import signal


class Hangups:
    """Whether SIGHUP came while the program was still starting."""

    def __init__(self) -> None:
        self.received = False

    def hold(self) -> None:
        """Guards a starting head: by default SIGHUP would end it, while imports alone take half a second."""
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, *_: object) -> None:
        self.received = True


hangups = Hangups()
