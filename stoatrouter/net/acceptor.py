"""Accepts connections of a listening socket, and goes on where the system refuses one for a moment."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

# Connections accepted per loop iteration: connections that are evicted for new ones release their descriptors
# only in the next iteration.
MAX_ACCEPT_BATCH = 16
# The system lacks something; the connection waits in the backlog. Any other error is that of one connection.
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORTAGE_PAUSE = timedelta(milliseconds=10)
MAX_ERRORS_IN_A_ROW = 16  # when all that wait are accepted at once


class Acceptor:
    """Accepts the connections of one listening socket."""

    def __init__(
        self, listening_socket: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        """Start to accept.

        Args:
            listening_socket: The socket, which listens and does not block.
            make_protocol: Returns the protocol object of a new connection.
        """
        self.listening_socket = listening_socket
        self.make_protocol = make_protocol
        self.loop = asyncio.get_running_loop()
        self.arriving: set[asyncio.Task[None]] = set()  # connections that are being set up
        self.paused: asyncio.TimerHandle | None = None
        self.in_shortage = False  # whether the latest accept failed for lack of something
        self._resume()

    def stop(self) -> None:
        """Stop accepting; the socket stays open."""
        self.loop.remove_reader(self.listening_socket)
        if self.paused is not None:
            self.paused.cancel()
            self.paused = None

    def accept_waiting(self, limit: int) -> None:
        """Accept up to `limit` waiting connections at once."""
        errors = 0
        for _ in range(limit):
            try:
                if not self._accept():
                    return
                errors = 0
            except OSError as error:
                errors += 1
                self._log(error)
                if errors >= MAX_ERRORS_IN_A_ROW:
                    return

    def _resume(self) -> None:
        self.paused = None
        self.loop.add_reader(self.listening_socket, self._accept_batch)

    def _accept_batch(self) -> None:
        for _ in range(MAX_ACCEPT_BATCH):
            try:
                if not self._accept():
                    return
                self.in_shortage = False
            except OSError as error:
                self._log(error)
                if error.errno in SHORTAGES:
                    # the socket stays readable: without a pause the loop would spin
                    self.loop.remove_reader(self.listening_socket)
                    self.paused = self.loop.call_later(SHORTAGE_PAUSE.total_seconds(), self._resume)
                    return

    def _accept(self) -> bool:
        """Accept one connection; returns False if none waits, raises OSError if it cannot be accepted."""
        try:
            connection, _ = self.listening_socket.accept()
        except BlockingIOError:
            return False
        connection.setblocking(False)
        task = self.loop.create_task(self._set_up(connection))
        self.arriving.add(task)
        task.add_done_callback(self.arriving.discard)
        return True

    async def _set_up(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):  # its client has disconnected
            await self.loop.connect_accepted_socket(self.make_protocol, connection)

    def _log(self, error: OSError) -> None:
        """Log the first failure of a series."""
        if not self.in_shortage:
            self.in_shortage = True
            logger.warning(
                "accept: failed, going on: {error}", event="accept.failed", error=errno_name(error)
            )


def errno_name(error: OSError) -> str:
    """Return the name of an error's number, such as ENFILE."""
    return errno.errorcode.get(error.errno or 0, str(error))
