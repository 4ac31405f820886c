"""SIGHUP handling before there is an event loop. It imports little, to be in force first."""

from __future__ import annotations

import signal


class HangupSignal:
    """Whether SIGHUP was received while the program was still starting."""

    def __init__(self) -> None:
        """Start with no SIGHUP received."""
        self.received = False

    def install_handler(self) -> None:
        """Install the handler of SIGHUP, which records that it was received.

        By default SIGHUP would end the process, and imports alone take half a second.
        """
        signal.signal(signal.SIGHUP, self._record)

    def _record(self, *_: object) -> None:
        self.received = True


hangup_signal = HangupSignal()
