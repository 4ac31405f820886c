"""Writes to the storage in a thread of its own, in order; a callback reports each write that is durable."""

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

MAX_QUEUED_WRITES = 4_096  # a disk that lags this far behind counts as failed
CLOSE_TIMEOUT_S = 5  # seconds, for the writes queued when the head shuts down

Callback = Callable[[], None]


@dataclass(slots=True, frozen=True)
class QueuedWrite:
    """A write, and the callback to run on the event loop once it is on the disk."""

    write: Write | BootstrapWrite
    on_durable: Callback


class DiskWriter:
    """Performs the writes to the storage one at a time in a thread."""

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
            loop: The event loop that callbacks run on.
            on_failure: Called once, on the loop, with the reason; nothing is written afterwards.
            writable: False if the disk takes no writes; none is queued then.
        """
        self._storage = storage
        self._loop = loop
        self._on_failure = on_failure
        self._queue: queue.Queue[QueuedWrite | None] = queue.Queue(MAX_QUEUED_WRITES)
        self._failed = not writable
        self._thread = threading.Thread(target=self._run, daemon=True, name="heads-disk")
        self._thread.start()

    def put(self, write: Write | BootstrapWrite, on_durable: Callback) -> None:
        """Queue a write; `on_durable` is called on the loop once it is on the disk.

        After a failure nothing is written, and no callback is called.
        """
        try:
            if not self._failed:
                self._queue.put_nowait(QueuedWrite(write, on_durable))
        except queue.Full:
            self._fail("too many writes are queued")

    def close(self) -> None:
        """Finish the queued writes, end the thread and close the storage."""
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        self._storage.close()

    def _fail(self, reason: str) -> None:
        """Stop writing and notify the owner; called on the loop."""
        self._failed = True
        self._on_failure(reason)

    # -- in the thread ------------------------------------------------------------------------------------
    def _run(self) -> None:
        """Perform queued writes until `close` ends the queue."""
        while (queued := self._queue.get()) is not None:
            if self._failed:
                continue
            try:
                self._write(queued.write)
            except (sqlite3.Error, OSError) as error:
                self._call_on_loop(partial(self._fail, str(error)))
                self._failed = True
                continue
            self._call_on_loop(queued.on_durable)

    def _write(self, write: Write | BootstrapWrite) -> None:
        if isinstance(write, BootstrapWrite):
            self._storage.write_bootstrap(write)
        elif not write.empty:
            self._storage.write(write)

    def _call_on_loop(self, callback: Callback) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(callback)
