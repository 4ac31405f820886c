"""The disk's own thread: writes in order, beside requests; what waits for a write is told when it is done."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import sqlite3
import threading
from collections.abc import Callable

from stoatrouter.agreement.records import Write
from stoatrouter.peering.storage import Storage

MOST_WAITING = 4_096  # writes; a disk that is so far behind counts as failed
Done = Callable[[], None]


class Writer:
    """Puts writes to the storage, one after the other. `failed` is called once, with the reason."""

    def __init__(
        self, storage: Storage, loop: asyncio.AbstractEventLoop, failed: Callable[[str], None], lasting: bool
    ) -> None:
        self.storage, self.loop, self.failed, self.lasting = storage, loop, failed, lasting
        self.waiting: queue.Queue[tuple[Write | dict[str, str], Done] | None] = queue.Queue(MOST_WAITING)
        self.broken = not lasting
        self.thread = threading.Thread(target=self._run, daemon=True, name="heads-disk")
        self.thread.start()

    def put(self, write: Write | dict[str, str], done: Done) -> None:
        """Write, then call `done` on the loop. After a failure nothing is written and nothing called."""
        try:
            if not self.broken:
                self.waiting.put_nowait((write, done))
        except queue.Full:
            self._fail("too many writes wait for it")

    def _run(self) -> None:
        while (work := self.waiting.get()) is not None:
            if self.broken:
                continue
            write, done = work
            try:
                if isinstance(write, dict):
                    self.storage.keep(**write)
                elif not write.empty:
                    self.storage.write(write)
            except (sqlite3.Error, OSError) as error:
                self._tell(lambda error=error: self._fail(str(error)))
                self.broken = True
                continue
            self._tell(done)

    def _tell(self, done: Done) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self.loop.call_soon_threadsafe(done)

    def _fail(self, why: str) -> None:
        self.broken = True
        self.failed(why)

    def close(self) -> None:
        """Finish what waits, then end."""
        self.waiting.put(None)
        self.thread.join(5)
        self.storage.close()
