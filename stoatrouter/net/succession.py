"""A new version under load: the new process and the old one meet over a Unix-domain socket in $TMPDIR.

The new one connects and asks; the old one stops accepting and tells all it knows in one line, then, line by
line, what it still holds. The connection's end tells either that the other is gone.
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

from stoatrouter.net.early import NAME, short_path

VERSION = 1
# A new process is due to serve within 6 s: an old one that says nothing is left alone after this time.
ANSWER_WITHIN = timedelta(seconds=2)
HOLDINGS_EVERY = timedelta(milliseconds=25)
LARGEST_LINE = 16 * 1024 * 1024

State = dict[str, Any]


class Predecessor:
    """The new process's side: the old process, for as long as it lives."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, state: State) -> None:
        self.reader, self.writer, self.state = reader, writer, state

    async def follow(self, on_holdings: Callable[[State], None]) -> None:
        """Pass on what the old process still holds, and at its end that it holds nothing."""
        try:
            while line := await self.reader.readline():
                on_holdings(json.loads(line))
        except (OSError, ValueError) as error:
            logger.warning(
                "upgrade: the old process cannot be followed: {error}",
                event="upgrade.unfollowed",
                error=repr(error),
            )
        finally:
            self.writer.close()
            on_holdings({})
        logger.info("upgrade: the old process is gone", event="upgrade.old_gone")


class Succession:
    """Where the next process finds this one."""

    def __init__(self, folder: str | None) -> None:
        self.folder = folder
        self.server: asyncio.Server | None = None

    async def take_over(self) -> Predecessor | None:
        """Ask the old process, if there is one, to hand over."""
        if self.folder is None or not (Path(self.folder) / NAME).exists():
            return None
        try:
            async with asyncio.timeout(ANSWER_WITHIN.total_seconds()):
                with short_path(self.folder) as short:
                    reader, writer = await asyncio.open_unix_connection(f"{short}/{NAME}", limit=LARGEST_LINE)
                writer.write(json.dumps({"take": VERSION}).encode() + b"\n")
                state = json.loads(await reader.readline())
                if state["v"] != VERSION:
                    raise ValueError(f"version {state['v']}")
                return Predecessor(reader, writer, state)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError) as error:
            # Guards a start against what an old process left behind as it died: nothing is to be had there.
            logger.warning(
                "upgrade: no old process hands over: {error}", event="upgrade.none", error=repr(error)
            )
            return None

    async def listen(
        self, on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]
    ) -> None:
        """Be found by the next process from now on, in place of whoever was."""
        if self.folder is None:
            return
        await self.close()
        try:
            with (
                short_path(self.folder) as short,
                contextlib.closing(socket.socket(socket.AF_UNIX)) as listening_socket,
            ):
                temporary = Path(short) / (NAME + ".new")
                temporary.unlink(missing_ok=True)
                listening_socket.bind(str(temporary))
                self.server = await asyncio.start_unix_server(
                    on_connection, sock=listening_socket.dup(), limit=LARGEST_LINE
                )
                os.replace(temporary, Path(short) / NAME)  # never without one that answers
        except OSError as error:
            logger.error(
                "upgrade: a new process will not find this one: {error}",
                event="upgrade.unfindable",
                error=str(error),
            )

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None


async def send_line(writer: asyncio.StreamWriter, state: State) -> None:
    writer.write(json.dumps(state).encode() + b"\n")
    await writer.drain()
