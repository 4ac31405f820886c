"""What a process says to the one before it as soon as it starts. Imports little, as it must be early."""

from __future__ import annotations

import contextlib
import os
import socket

NAME = "stoatrouter.sock"


@contextlib.contextmanager
def short_path(folder: str):
    """The folder under a name that is short: a socket's path has 107 bytes at most."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)


class Announcement:
    """That this process is starting, while it is."""

    def __init__(self) -> None:
        self.connection: socket.socket | None = None

    def connect(self, folder: str | None) -> None:
        """Guards the clients of the old process: a start takes a good part of the core that it needs, so it
        is to hold less open from now on."""
        if not folder:
            return
        connection = socket.socket(socket.AF_UNIX)
        connection.setblocking(False)
        try:
            with short_path(folder) as short:
                connection.connect(f"{short}/{NAME}")
            self.connection = connection
        except OSError:
            connection.close()  # there is none

    def end(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


announcement = Announcement()
