"""SIGHUP handling before the event loop runs; imports little, so that it can be installed early."""

from __future__ import annotations

import signal


class HangupSignal:
    """Records whether SIGHUP was received while the program was starting."""

    def __init__(self) -> None:
        """Start with no SIGHUP received."""
        self.received = False

    def install_handler(self) -> None:
        """Install a handler that records SIGHUP.

        By default SIGHUP ends the process, and the program's imports alone take half a second.
        """
        signal.signal(signal.SIGHUP, self._record)

    def _record(self, *_: object) -> None:
        self.received = True


hangup_signal = HangupSignal()
