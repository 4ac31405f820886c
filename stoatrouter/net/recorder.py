"""Writes a sample of request heads to a file, in batches and within a bound of two files."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path

from loguru import logger

from stoatrouter.matching.inputs import Input
from stoatrouter.matching.samples import Sampler

WRITE_EVERY = timedelta(seconds=1)
MOST_WAITING = 1_000  # records between two writes; what comes beyond is left out and counted


class Recorder:
    """The recorder of one head. It writes to `file`, which becomes `file.1` at half of the bound."""

    def __init__(self, file: Path, most_bytes: int, sampler: Sampler) -> None:
        """Set up a recorder with nothing waiting to be written.

        Args:
            file: The file written to.
            most_bytes: The bound on the bytes of `file` and `file.1` together.
            sampler: Chooses the requests that are recorded.
        """
        self.file, self.most, self.sampler = file, most_bytes // 2, sampler
        self.waiting: list[str] = []
        self.left_out = 0
        self.failing = False

    def take(self, given: Input, target: str, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Record a request if it is one of the sample; beyond MOST_WAITING it is only counted."""
        line = self.sampler.sample(given, target, fields)
        if line is None:
            return
        if len(self.waiting) >= MOST_WAITING:
            self.left_out += 1
            return
        self.waiting.append(line)

    async def run(self) -> None:
        """Write the records every WRITE_EVERY, and once more when cancelled."""
        try:
            while True:
                await asyncio.sleep(WRITE_EVERY.total_seconds())
                self.write()
        finally:
            self.write()

    def write(self) -> None:
        """Append the waiting records; the first of several failures is logged, and the head serves on."""
        lines, self.waiting = self.waiting, []
        if not lines:
            return
        data = "".join(f"{line}\n" for line in lines).encode()
        try:
            descriptor = os.open(self.file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            try:
                if os.fstat(descriptor).st_size + len(data) > self.most:
                    os.replace(self.file, f"{self.file}.1")
                    os.close(descriptor)
                    descriptor = os.open(self.file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
                os.write(descriptor, data[: self.most])
            finally:
                os.close(descriptor)
            self.failing = False
        except OSError as error:
            if not self.failing:
                logger.warning(
                    "record: requests cannot be recorded: {error}", event="record.failed", error=str(error)
                )
            self.failing = True
