"""The debug records of tests' heads: when the first byte of each attempt was written, for the judge."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from stoatrouter.net.attempt_record import WrittenAttempt

SWITCH_ON = """
from pathlib import Path
from stoatrouter.net.attempt_record import AttemptRecord
from stoatrouter.net.tracked_request import TrackedRequest
TrackedRequest.attempt_record = AttemptRecord(Path({file!r}))
"""


def recording(folder: Path, head: str) -> str:
    """What a head runs before its start so that it records its attempts."""
    return SWITCH_ON.format(file=str(record_file(folder, head)))


def record_file(folder: Path, head: str) -> Path:
    """The file that all processes of a head append to."""
    return folder / f"{head}-attempts.jsonl"


def lines_written(folder: Path, heads: Iterable[str], nodes: dict[str, str]) -> list[dict[str, Any]]:
    """The records of heads that have ended, as lines of the history; `nodes` are names by address."""
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
    """The complete lines of a record; none where its head was never started."""
    if not file.exists():
        return []
    whole = file.read_bytes().rpartition(b"\n")[0]
    return [msgspec.json.decode(line, type=WrittenAttempt) for line in whole.splitlines()]
