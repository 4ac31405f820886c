"""The protocol between two processes of one head, over a Unix-domain socket in $TMPDIR.

The new process connects and requests the state. The old one stops accepting and sends its state as one line
of JSON, followed by its open resources (state_format.OpenResources), one line each. The end of the connection
tells each process that the other one has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from loguru import logger

from stoatrouter.net.acceptor import Acceptor
from stoatrouter.net.startup_notification import SOCKET_NAME, short_path
from stoatrouter.net.state_format import JsonObject, OpenResources, read_open_resources

PROTOCOL_VERSION = 1
# A new process has to serve within 6 s, so it stops waiting for an unresponsive old one after this time.
ANSWER_TIMEOUT = timedelta(seconds=2)
OPEN_RESOURCES_INTERVAL = timedelta(milliseconds=25)
MAX_LINE_BYTES = 16 * 1024 * 1024


class Predecessor:
    """The new process's connection to the previous one."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, state: JsonObject) -> None:
        """Keep the connection to the previous process and the state it handed over.

        Args:
            reader: The reader of the connection.
            writer: The writer of the connection.
            state: The state that was handed over, as JSON data.
        """
        self.reader = reader
        self.writer = writer
        self._state = state

    def take_state(self) -> JsonObject:
        """Return the state that was handed over, and drop the reference to it, as it may be large."""
        state, self._state = self._state, {}
        return state

    def report_spent(self, request: str) -> None:
        """Tell the previous process that nodes are about to run a request, before they are sent it."""
        write_line(self.writer, {"spent": [request]})

    async def follow(self, on_open_resources: Callable[[OpenResources], None]) -> None:
        """Report the open resources of the previous process as they change, and none once it has ended."""
        try:
            while line := await self.reader.readline():
                on_open_resources(read_open_resources(json.loads(line)))
        except (OSError, ValueError) as error:
            logger.warning(
                "upgrade: lost the connection to the old process: {error}",
                event="upgrade.unfollowed",
                error=repr(error),
            )
        finally:
            self.writer.close()
            on_open_resources(OpenResources())
        logger.info("upgrade: the old process has ended", event="upgrade.old_gone")


class HandoverSocket:
    """The socket on which this process listens for the next one."""

    def __init__(self, folder: str | None) -> None:
        """Set the socket's folder; nothing listens until `listen` is called.

        Args:
            folder: The folder of the socket ($TMPDIR); None: there is no handover.
        """
        self.folder = folder
        self.acceptor: Acceptor | None = None

    async def take_over(self) -> Predecessor | None:
        """Request the state of the previous process; None if there is none or it does not answer."""
        if self.folder is None or not (Path(self.folder) / SOCKET_NAME).exists():
            return None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                with short_path(self.folder) as short:
                    reader, writer = await asyncio.open_unix_connection(
                        f"{short}/{SOCKET_NAME}", limit=MAX_LINE_BYTES
                    )
                writer.write(json.dumps({"take": PROTOCOL_VERSION}).encode() + b"\n")
                state = json.loads(await reader.readline())
                if state["v"] != PROTOCOL_VERSION:
                    raise ValueError(f"protocol version {state['v']}")
                return Predecessor(reader, writer, state)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError) as error:
            # A process that died leaves a stale socket behind, which must not prevent a start.
            logger.warning(
                "upgrade: no handover from an old process: {error}", event="upgrade.none", error=repr(error)
            )
            return None

    async def listen(
        self, on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]
    ) -> None:
        """Listen for the next process, replacing the socket of the previous one."""
        if self.folder is None:
            return
        await self.close()
        try:
            with (
                short_path(self.folder) as short,
                contextlib.closing(socket.socket(socket.AF_UNIX)) as bound_socket,
            ):
                temporary = Path(short) / (SOCKET_NAME + ".new")
                temporary.unlink(missing_ok=True)
                bound_socket.bind(str(temporary))
                bound_socket.listen()
                listening_socket = bound_socket.dup()
                listening_socket.setblocking(False)
                self.acceptor = Acceptor(listening_socket, lambda: stream_protocol(on_connection))
                # the previous socket is replaced atomically, so that there is always one that answers
                os.replace(temporary, Path(short) / SOCKET_NAME)
        except OSError as error:
            logger.error(
                "upgrade: cannot listen for a new process: {error}",
                event="upgrade.unfindable",
                error=str(error),
            )

    async def close(self) -> None:
        """Stop listening for the next process."""
        if self.acceptor is not None:
            self.acceptor.stop()
            self.acceptor.listening_socket.close()
            self.acceptor = None


def stream_protocol(
    on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any],
) -> asyncio.StreamReaderProtocol:
    """Return the protocol of a new connection, which is passed on as a pair of streams."""
    return asyncio.StreamReaderProtocol(asyncio.StreamReader(limit=MAX_LINE_BYTES), on_connection)


def write_line(writer: asyncio.StreamWriter, data: JsonObject) -> None:
    """Write one line of JSON: it is in the other process's socket at once, unless that is full."""
    writer.write(json.dumps(data).encode() + b"\n")


async def send_line(writer: asyncio.StreamWriter, state: JsonObject) -> None:
    """Send a state as one line of JSON; raises OSError if the other process has ended."""
    write_line(writer, state)
    await writer.drain()
