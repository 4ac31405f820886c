"""The disk's own thread: writes in order, beside requests; each write's callback runs once it is on disk."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import sqlite3
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from stoatrouter.agreement.records import Write
from stoatrouter.peering.storage import BootstrapWrite, Storage

MAX_QUEUED_WRITES = 4_096  # writes; a disk that is so far behind counts as failed
CLOSE_TIMEOUT_S = 5  # for what is queued when this head ends

Callback = Callable[[], None]


@dataclass(slots=True, frozen=True)
class QueuedWrite:
    """A write, and what is called on the loop once it is on the disk."""

    write: Write | BootstrapWrite
    done: Callback


class DiskWriter:
    """Writes to the storage, one write after the other, in a thread of its own."""

    def __init__(
        self,
        storage: Storage,
        loop: asyncio.AbstractEventLoop,
        on_failure: Callable[[str], None],
        writable: bool,
    ) -> None:
        """Start the thread.

        Args:
            storage: The open storage; only this writer uses it from now on.
            loop: Where callbacks run.
            on_failure: Called once, on the loop, with the reason; nothing is written after it.
            writable: False where the disk takes no writes: none is queued then.
        """
        self._storage = storage
        self._loop = loop
        self._on_failure = on_failure
        self._queue: queue.Queue[QueuedWrite | None] = queue.Queue(MAX_QUEUED_WRITES)
        self._failed = not writable
        self._thread = threading.Thread(target=self._run, daemon=True, name="heads-disk")
        self._thread.start()

    def put(self, write: Write | BootstrapWrite, done: Callback) -> None:
        """Queue a write; `done` is called on the loop once it is on the disk.

        After a failure nothing is written and nothing called.
        """
        try:
            if not self._failed:
                self._queue.put_nowait(QueuedWrite(write, done))
        except queue.Full:
            self._fail("too many writes wait for it")

    def close(self) -> None:
        """Write what is queued, end the thread and close the storage."""
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        self._storage.close()

    def _fail(self, reason: str) -> None:
        """Write nothing any more, and notify the owner; called on the loop."""
        self._failed = True
        self._on_failure(reason)

    # -- in the thread ------------------------------------------------------------------------------------
    def _run(self) -> None:
        """Write until the end of the queue."""
        while (queued := self._queue.get()) is not None:
            if self._failed:
                continue
            try:
                self._write(queued.write)
            except (sqlite3.Error, OSError) as error:
                self._call_on_loop(partial(self._fail, str(error)))
                self._failed = True
                continue
            self._call_on_loop(queued.done)

    def _write(self, write: Write | BootstrapWrite) -> None:
        if isinstance(write, BootstrapWrite):
            self._storage.write_bootstrap(write)
        elif not write.empty:
            self._storage.write(write)

    def _call_on_loop(self, callback: Callback) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(callback)
