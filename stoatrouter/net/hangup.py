"""SIGHUP handling before there is an event loop. It imports little, to be in force first."""

from __future__ import annotations

import signal


class Hangups:
    """Whether SIGHUP came while the program was still starting."""

    def __init__(self) -> None:
        """Start with no SIGHUP received."""
        self.received = False

    def install_handler(self) -> None:
        """Install the handler of SIGHUP, which notes that it came.

        By default SIGHUP would end the process, and imports alone take half a second.
        """
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, *_: object) -> None:
        self.received = True


hangups = Hangups()
