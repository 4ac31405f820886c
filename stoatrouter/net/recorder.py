"""Records a sample of request heads, in batches, to two rotated files of bounded size."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path

from loguru import logger

from stoatrouter.matching.inputs import Input
from stoatrouter.matching.samples import Sampler

WRITE_INTERVAL = timedelta(seconds=1)
APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND
PRIVATE_MODE = 0o600  # requests may contain confidential data
MAX_WAITING_RECORDS = 1_000  # records between two writes; further ones are dropped and counted


class Recorder:
    """The recorder of one head. It writes to `file`, which is renamed to `file.1` at half of the limit."""

    def __init__(self, file: Path, max_bytes: int, sampler: Sampler) -> None:
        """Set up a recorder without records.

        Args:
            file: The file to write to.
            max_bytes: The limit on the size of `file` and `file.1` together.
            sampler: Selects the requests that are recorded.
        """
        self.file = file
        self.max_file_bytes = max_bytes // 2
        self.sampler = sampler
        self.waiting: list[str] = []
        self.dropped = 0
        self.failing = False

    def record(self, matcher_input: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Record a request if the sampler selects it; beyond MAX_WAITING_RECORDS it is only counted."""
        line = self.sampler.sample(matcher_input, target, fields)
        if line is None:
            return
        if len(self.waiting) >= MAX_WAITING_RECORDS:
            self.dropped += 1
            return
        self.waiting.append(line)

    async def run(self) -> None:
        """Write the records every WRITE_INTERVAL, and once more when cancelled."""
        try:
            while True:
                await asyncio.sleep(WRITE_INTERVAL.total_seconds())
                self.write()
        finally:
            self.write()

    def write(self) -> None:
        """Append the waiting records; of consecutive failures only the first is logged."""
        lines = self.waiting
        self.waiting = []
        if not lines:
            return
        data = "".join(f"{line}\n" for line in lines).encode()
        try:
            self.append(data)
            self.failing = False
        except OSError as error:
            if not self.failing:
                logger.warning(
                    "record: cannot write recorded requests: {error}", event="record.failed", error=str(error)
                )
            self.failing = True

    def append(self, data: bytes) -> None:
        """Append to the file, after rotating it if its limit would be exceeded; raises OSError."""
        descriptor = os.open(self.file, APPEND_FLAGS, PRIVATE_MODE)
        try:
            if os.fstat(descriptor).st_size + len(data) > self.max_file_bytes:
                os.replace(self.file, f"{self.file}.1")
                os.close(descriptor)
                descriptor = os.open(self.file, APPEND_FLAGS, PRIVATE_MODE)
            os.write(descriptor, data[: self.max_file_bytes])
        finally:
            os.close(descriptor)
