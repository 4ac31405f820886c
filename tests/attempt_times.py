"""Debug records of heads in tests: when the first byte of each attempt was written, for the judge."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from stoatrouter.net.attempt_record import WrittenAttempt

ENABLE_RECORD = """
from pathlib import Path
from stoatrouter.net.attempt_record import AttemptRecord
from stoatrouter.net.tracked_request import TrackedRequest
TrackedRequest.attempt_record = AttemptRecord(Path({file!r}))
"""


def recording(folder: Path, head: str) -> str:
    """Return the code that a head runs before its start to record its attempts."""
    return ENABLE_RECORD.format(file=str(record_file(folder, head)))


def record_file(folder: Path, head: str) -> Path:
    """Return the file that all processes of a head append to."""
    return folder / f"{head}-attempts.jsonl"


def lines_written(folder: Path, heads: Iterable[str], nodes: dict[str, str]) -> list[dict[str, Any]]:
    """Return the records of ended heads as lines of the history; `nodes` maps addresses to names."""
    return [
        {
            "what": "written",
            "at": attempt.written,
            "request": attempt.request,
            "node": nodes[attempt.node],
            "attempt": attempt.attempt,
            "began": attempt.began,
        }
        for head in heads
        for attempt in read_record(record_file(folder, head))
    ]


def read_record(file: Path) -> list[WrittenAttempt]:
    """Return the attempts of a record's complete lines; none if its head was never started."""
    if not file.exists():
        return []
    complete_lines = file.read_bytes().rpartition(b"\n")[0]
    return [msgspec.json.decode(line, type=WrittenAttempt) for line in complete_lines.splitlines()]
