"""What a process says to the one before it as soon as it starts. Imports little, as it must be early."""

from __future__ import annotations

import contextlib
import os
import socket

NAME = "stoatrouter.sock"


@contextlib.contextmanager
def place(folder: str):
    """The folder under a name that is short: a socket's path has 107 bytes at most."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)


class Announcement:
    """That this process is starting, while it is."""

    def __init__(self) -> None:
        self.line: socket.socket | None = None

    def make(self, folder: str | None) -> None:
        """Guards the clients of the old process: a start takes a good part of the core that it needs, so it
        is to hold less open from now on."""
        if not folder:
            return
        line = socket.socket(socket.AF_UNIX)
        line.setblocking(False)
        try:
            with place(folder) as short:
                line.connect(f"{short}/{NAME}")
            self.line = line
        except OSError:
            line.close()  # there is none

    def end(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None


announcement = Announcement()
