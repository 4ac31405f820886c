"""Debug record of attempts: when the first byte of each was passed to the kernel.

It is off unless `TrackedRequest.attempt_record` is set. No setting does so; test heads set it before they
start (tests/attempt_times.py). Times are those of the system's monotonic clock, which all processes of a
machine share, so that they can be compared with the times that a node recorded.
"""

from __future__ import annotations

import json
import os
from dataclasses import asdict, dataclass
from pathlib import Path

APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND
PRIVATE_MODE = 0o600


@dataclass(slots=True, frozen=True)
class WrittenAttempt:
    """One attempt whose first byte the kernel has accepted; times in seconds of the monotonic clock."""

    request: str
    attempt: int
    node: str  # its address
    began: float  # just before the byte was passed to the kernel
    written: float  # just after


class AttemptRecord:
    """Appends attempts to a file as JSON lines, unbuffered, so that those of a killed process remain."""

    def __init__(self, file: Path) -> None:
        """Open the file, to which all processes of one head may append; raises OSError."""
        self._descriptor = os.open(file, APPEND_FLAGS, PRIVATE_MODE)

    def append(self, attempt: WrittenAttempt) -> None:
        """Append one attempt; raises OSError."""
        os.write(self._descriptor, json.dumps(asdict(attempt)).encode() + b"\n")
