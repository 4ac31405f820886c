"""Notifies the previous process that this one is starting; imports little, so that it can run early."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

SOCKET_NAME = "stoatrouter.sock"


@contextlib.contextmanager
def short_path(folder: str) -> Iterator[str]:
    """Yield a short path to a folder, as the path of a Unix-domain socket may have at most 107 bytes."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)


class StartupNotification:
    """A connection to the previous process, which is open while this one is starting."""

    def __init__(self) -> None:
        """Start without a connection to the previous process."""
        self.connection: socket.socket | None = None

    def connect(self, folder: str | None) -> None:
        """Connect to the previous process, if there is one.

        Startup uses much processor time, so the previous process then admits fewer open requests.
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
            connection.close()  # there is no previous process

    def close(self) -> None:
        """Close the connection, as this process now accepts clients or is about to end."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


startup_notification = StartupNotification()
