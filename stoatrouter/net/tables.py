"""Rule tables of a running head: loaded at its start, and again on SIGHUP while it serves."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
import threading
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from loguru import logger

from stoatrouter.matching.files import Sources, Tables
from stoatrouter.matching.matcher import Matcher
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

# While a table is made in another thread, the loop gets the interpreter back after so long (5 ms by default).
SWITCH = timedelta(microseconds=500)
Done = TypeVar("Done")
MOST_LOGGED = 20  # lines about one table
LOG_EVERY = timedelta(seconds=10)


async def in_thread(work: Callable[[], Done]) -> Done:
    """The result of work in a daemon thread of its own.

    An executor's threads would be waited for at the end of the process, however long they take.
    """
    loop = asyncio.get_running_loop()
    result: asyncio.Future[Done] = loop.create_future()

    def give(set_it: Callable[[Any], None], value: Any) -> None:
        if not result.done():  # nobody waits for it any more
            set_it(value)

    def run() -> None:
        try:
            done = work()
        except BaseException as error:  # noqa: BLE001 - it is raised where it is waited for
            deliver = partial(give, result.set_exception, error)
        else:
            deliver = partial(give, result.set_result, done)
        with contextlib.suppress(RuntimeError):  # the loop has ended
            loop.call_soon_threadsafe(deliver)

    threading.Thread(target=run, daemon=True, name="rules").start()
    return await result


def without_long_pauses(work: Callable[[], Done]) -> Done:
    """Run work that creates many objects with short switches between threads and no garbage collection.

    A collection would stop requests for up to a second. What is created is kept for good, so it is frozen.
    """
    before = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH.total_seconds())
    # Guards requests against standing still: looking for garbage in what is made takes a third of the time,
    # and a second at once when it is done. What is made is kept; all else is freed at once.
    gc.disable()
    try:
        return work()
    finally:
        gc.freeze()
        gc.enable()
        sys.setswitchinterval(before)


Made = tuple[Tables, Table, Sources]


class TableService:
    """Loads tables and puts them in force, one at a time."""

    def __init__(self, tables: Tables, shadow: Tables | None, windows: dict[int, timedelta]) -> None:
        """Load the tables and put them in force at once.

        Args:
            tables: Where the tables in force are read from.
            shadow: Where the table in shadow is read from; None: no table in shadow.
            windows: The repeat windows of idempotent classes, by class number.

        Raises:
            SettingsError: The tables cannot be loaded.
        """
        self.tables, self.shadow = tables, shadow
        made, other = self.load()
        self.matcher = Matcher(self.log_in_force(*made), windows)
        self.matcher.put_in_shadow(other)
        self.reloading: asyncio.Task[None] | None = None
        self.reload_again = False
        self.managed = False  # the table comes from the heads' history, not from this head's files

    def log_in_force(self, table: Table, sources: Sources) -> Table:
        """Log which table is in force, and its warnings; returns the table."""
        logger.info(
            "rules: table {epoch} with {rules} rules in {scopes} scopes is in force",
            event="rules.in_force",
            epoch=table.epoch,
            rules=table.size,
            scopes=len(table.scopes),
        )
        for warning in table.warnings[:MOST_LOGGED]:
            logger.warning("rules: {warning}", event="rules.idle", warning=str(sources.locate(warning)))
        return table

    def reload(self) -> None:
        """Load the files again while requests go on; a call during a reload causes one more."""
        if self.managed:
            logger.warning(
                "rules: the files are not read, the table comes from the heads' history",
                event="rules.managed",
            )
            return
        if self.reloading is not None and not self.reloading.done():
            self.reload_again = True
            return
        self.reloading = asyncio.get_running_loop().create_task(self.load_again())

    async def load_again(self) -> None:
        """Load the files in a thread and put the table in force; a refused one leaves the old in force."""
        self.reload_again = True
        while self.reload_again:
            self.reload_again = False
            try:
                made = await in_thread(self.load)
            except SettingsError as error:
                # Guards a serving head against rules that are wrong or half written.
                logger.error(
                    "rules: refused, table {epoch} stays in force",
                    event="rules.refused",
                    epoch=self.matcher.table.epoch,
                )
                for fault in error.faults[:MOST_LOGGED]:
                    logger.error("rules: {wrong}", event="rules.wrong", wrong=str(fault))
                continue
            except Exception:
                logger.exception("rules: loading failed in an unforeseen way", event="rules.fault")
                continue
            (table, sources), shadow = made
            self.matcher.replace(self.log_in_force(table, sources))
            self.matcher.put_in_shadow(shadow)

    def load(self) -> tuple[tuple[Table, Sources], Table | None]:
        """Load the tables from their files; raises SettingsError."""
        return without_long_pauses(
            lambda: (self.tables.load(), self.shadow.load()[0] if self.shadow is not None else None)
        )

    async def compile(self, path: Path) -> Made:
        """Compile a table of other files without putting it in force; raises SettingsError."""
        now = self.tables
        tables = Tables(path, now.vocabulary, now.environment, now.buckets, cache=now.cache)
        table, sources = await in_thread(lambda: without_long_pauses(tables.load))
        return tables, table, sources

    def put(self, made: Made) -> None:
        """Put a compiled table in force."""
        self.tables, table, sources = made
        self.matcher.replace(self.log_in_force(table, sources))

    async def log_periodically(self) -> None:
        """Log from time to time where the shadow table differs, and placements that were forgotten."""
        logged, forgotten = 0, 0
        while True:
            await asyncio.sleep(LOG_EVERY.total_seconds())
            matcher = self.matcher
            different = matcher.differences.total()
            if matcher.shadow is not None and different != logged:
                for (in_force, other), count in matcher.differences.most_common(MOST_LOGGED):
                    logger.info(
                        "rules: shadow differs {count} of {asked} times: {in_force} in force, {other} there",
                        event="rules.shadow",
                        count=count,
                        asked=matcher.shadowed,
                        in_force=in_force,
                        other=other,
                    )
            logged = different
            if matcher.placements.forgotten != forgotten:
                forgotten = matcher.placements.forgotten
                logger.warning(
                    "rules: {count} placements forgotten before their time",
                    event="rules.forgotten",
                    count=forgotten,
                )

    async def close(self) -> None:
        """Cancel a reload that is under way."""
        if self.reloading is not None:
            self.reloading.cancel()
            await asyncio.gather(self.reloading, return_exceptions=True)
