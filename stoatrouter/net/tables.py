"""Rule tables of a running head: loaded at its start, and again on SIGHUP while it serves."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from loguru import logger

from stoatrouter.matching.files import Sources, Tables
from stoatrouter.matching.matcher import Matcher
from stoatrouter.matching.table import Table
from stoatrouter.settings import SettingsError

# While a table is compiled in another thread, the loop gets the interpreter back this often (default: 5 ms).
SWITCH_INTERVAL = timedelta(microseconds=500)
Result = TypeVar("Result")
MAX_LOGGED_LINES = 20  # lines about one table
LOG_INTERVAL = timedelta(seconds=10)


async def in_thread(work: Callable[[], Result]) -> Result:
    """The result of work in a daemon thread of its own.

    An executor's threads would be waited for at the end of the process, however long they take.
    """
    loop = asyncio.get_running_loop()
    result: asyncio.Future[Result] = loop.create_future()

    def resolve(set_outcome: Callable[[Any], None], outcome: Any) -> None:
        if not result.done():  # else nobody waits for it any more
            set_outcome(outcome)

    def run() -> None:
        try:
            value = work()
        except BaseException as error:  # noqa: BLE001 - it is raised where it is awaited
            deliver = partial(resolve, result.set_exception, error)
        else:
            deliver = partial(resolve, result.set_result, value)
        with contextlib.suppress(RuntimeError):  # the loop has ended
            loop.call_soon_threadsafe(deliver)

    threading.Thread(target=run, daemon=True, name="rules").start()
    return await result


def without_long_pauses(work: Callable[[], Result]) -> Result:
    """Run work that creates many objects with short switches between threads and no garbage collection.

    A collection would stop requests for up to a second. What is created stays for good, so it is frozen.
    """
    previous_interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL.total_seconds())
    # Guards requests against stalls: collecting garbage among the new objects takes a third of the time, and
    # a second at once at the end. The new objects stay; all else is freed by reference count.
    gc.disable()
    try:
        return work()
    finally:
        gc.freeze()
        gc.enable()
        sys.setswitchinterval(previous_interval)


@dataclass(slots=True, frozen=True)
class CompiledTable:
    """A compiled table, where it was read from, and its files as they were read."""

    tables: Tables
    table: Table
    sources: Sources


@dataclass(slots=True, frozen=True)
class LoadedTables:
    """The tables loaded from the operator's files: the one to put in force, and the one in shadow, if any."""

    table: Table
    sources: Sources
    shadow: Table | None


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
        self.tables = tables
        self.shadow = shadow
        loaded = self.load()
        self.matcher = Matcher(self.log_in_force(loaded.table, loaded.sources), windows)
        self.matcher.put_in_shadow(loaded.shadow)
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
        for warning in table.warnings[:MAX_LOGGED_LINES]:
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
        """Load the files in a thread and put the table in force; a rejected one leaves the old in force."""
        self.reload_again = True
        while self.reload_again:
            self.reload_again = False
            try:
                loaded = await in_thread(self.load)
            except SettingsError as error:
                # Guards a serving head against rules that are faulty or half written.
                self.log_rejected(error)
                continue
            except Exception:
                logger.exception("rules: loading failed in an unforeseen way", event="rules.fault")
                continue
            self.matcher.replace(self.log_in_force(loaded.table, loaded.sources))
            self.matcher.put_in_shadow(loaded.shadow)

    def log_rejected(self, error: SettingsError) -> None:
        """Log that the files were rejected, and their faults."""
        logger.error(
            "rules: refused, table {epoch} stays in force",
            event="rules.refused",
            epoch=self.matcher.table.epoch,
        )
        for fault in error.faults[:MAX_LOGGED_LINES]:
            logger.error("rules: {wrong}", event="rules.wrong", wrong=str(fault))

    def load(self) -> LoadedTables:
        """Load the tables from their files; raises SettingsError."""
        return without_long_pauses(self._load)

    def _load(self) -> LoadedTables:
        table, sources = self.tables.load()
        shadow = self.shadow.load()[0] if self.shadow is not None else None
        return LoadedTables(table, sources, shadow)

    async def compile(self, path: Path) -> CompiledTable:
        """Compile a table of other files without putting it in force; raises SettingsError."""
        now = self.tables
        tables = Tables(path, now.vocabulary, now.environment, now.buckets, cache=now.cache)
        table, sources = await in_thread(lambda: without_long_pauses(tables.load))
        return CompiledTable(tables, table, sources)

    def put(self, compiled: CompiledTable) -> None:
        """Put a compiled table in force."""
        self.tables = compiled.tables
        self.matcher.replace(self.log_in_force(compiled.table, compiled.sources))

    async def log_periodically(self) -> None:
        """Log from time to time where the shadow table differs, and placements that were forgotten."""
        logged_differences = 0
        forgotten = 0
        while True:
            await asyncio.sleep(LOG_INTERVAL.total_seconds())
            matcher = self.matcher
            differences = matcher.differences.total()
            if matcher.shadow is not None and differences != logged_differences:
                self.log_differences()
            logged_differences = differences
            if matcher.placements.forgotten != forgotten:
                forgotten = matcher.placements.forgotten
                logger.warning(
                    "rules: {count} placements forgotten before their time",
                    event="rules.forgotten",
                    count=forgotten,
                )

    def log_differences(self) -> None:
        """Log the most frequent differences between the table in force and the one in shadow."""
        for (in_force, other), count in self.matcher.differences.most_common(MAX_LOGGED_LINES):
            logger.info(
                "rules: shadow differs {count} of {asked} times: {in_force} in force, {other} there",
                event="rules.shadow",
                count=count,
                asked=self.matcher.shadowed,
                in_force=in_force,
                other=other,
            )

    async def close(self) -> None:
        """Cancel a reload that is under way."""
        if self.reloading is not None:
            self.reloading.cancel()
            await asyncio.gather(self.reloading, return_exceptions=True)
