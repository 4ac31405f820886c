"""The protocol between two processes of one head, over a Unix-domain socket in $TMPDIR.

The new process connects and requests the state. The old one stops accepting and sends its state in one
line, then, line by line, its holdings (state_format.Holdings). The end of the connection notifies each that
the other is gone.
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

from stoatrouter.net.startup_notification import SOCKET_NAME, short_path
from stoatrouter.net.state_format import Holdings, JsonObject, read_holdings

PROTOCOL_VERSION = 1
# A new process is due to serve within 6 s: an old one that does not answer is ignored after this time.
ANSWER_TIMEOUT = timedelta(seconds=2)
HOLDINGS_INTERVAL = timedelta(milliseconds=25)
MAX_LINE_BYTES = 16 * 1024 * 1024


class Predecessor:
    """The previous process, as the new one sees it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, state: JsonObject) -> None:
        """Keep the connection to the previous process and what it handed over.

        Args:
            reader: The connection's reading end.
            writer: The connection's writing end.
            state: What the previous process handed over, as JSON data.
        """
        self.reader = reader
        self.writer = writer
        self._state = state

    def take_state(self) -> JsonObject:
        """What the previous process handed over; it is held no longer, as it may be large."""
        state, self._state = self._state, {}
        return state

    async def follow(self, on_holdings: Callable[[Holdings], None]) -> None:
        """Report the holdings of the previous process, and at its end that it has none."""
        try:
            while line := await self.reader.readline():
                on_holdings(read_holdings(json.loads(line)))
        except (OSError, ValueError) as error:
            logger.warning(
                "upgrade: the old process cannot be followed: {error}",
                event="upgrade.unfollowed",
                error=repr(error),
            )
        finally:
            self.writer.close()
            on_holdings(Holdings())
        logger.info("upgrade: the old process is gone", event="upgrade.old_gone")


class HandoverSocket:
    """The socket at which the next process finds this one."""

    def __init__(self, folder: str | None) -> None:
        """Set up the socket's place; nothing listens until `listen`.

        Args:
            folder: Where the socket lies ($TMPDIR); None: there is no handover.
        """
        self.folder = folder
        self.server: asyncio.Server | None = None

    async def take_over(self) -> Predecessor | None:
        """Request the state of the previous process; None where there is none or it does not answer."""
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
                    raise ValueError(f"version {state['v']}")
                return Predecessor(reader, writer, state)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError) as error:
            # Guards a start against the stale socket of a process that died.
            logger.warning(
                "upgrade: no old process hands over: {error}", event="upgrade.none", error=repr(error)
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
                contextlib.closing(socket.socket(socket.AF_UNIX)) as listening_socket,
            ):
                temporary = Path(short) / (SOCKET_NAME + ".new")
                temporary.unlink(missing_ok=True)
                listening_socket.bind(str(temporary))
                self.server = await asyncio.start_unix_server(
                    on_connection, sock=listening_socket.dup(), limit=MAX_LINE_BYTES
                )
                os.replace(temporary, Path(short) / SOCKET_NAME)  # never without one that answers
        except OSError as error:
            logger.error(
                "upgrade: a new process will not find this one: {error}",
                event="upgrade.unfindable",
                error=str(error),
            )

    async def close(self) -> None:
        """Stop listening for the next process."""
        if self.server is not None:
            self.server.close()
            self.server = None


async def send_line(writer: asyncio.StreamWriter, state: JsonObject) -> None:
    """Send a state as one line of JSON; raises OSError where the other process is gone."""
    writer.write(json.dumps(state).encode() + b"\n")
    await writer.drain()
