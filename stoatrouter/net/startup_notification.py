"""Notifies the previous process that this one is starting. It imports little, to be early."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

SOCKET_NAME = "stoatrouter.sock"


@contextlib.contextmanager
def short_path(folder: str) -> Iterator[str]:
    """A short path of a folder, as the path of a Unix-domain socket has 107 bytes at most."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)


class StartupNotification:
    """A connection to the previous process, open for as long as this one is starting."""

    def __init__(self) -> None:
        """Start without a connection to the previous process."""
        self.connection: socket.socket | None = None

    def connect(self, folder: str | None) -> None:
        """Connect to the previous process, if there is one.

        A start uses much processor time, so the previous process admits fewer open requests from now on.
        """
        if not folder:
            return
        connection = socket.socket(socket.AF_UNIX)
        connection.setblocking(False)
        try:
            with short_path(folder) as short:
                connection.connect(f"{short}/{SOCKET_NAME}")
            self.connection = connection
        except OSError:
            connection.close()  # there is none

    def close(self) -> None:
        """Close the connection: this process now accepts clients, or is about to end."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


startup_notification = StartupNotification()
