"""Event files of hollow heads, which the history checkers read like the logs of real heads.

The heads of a process share one logger; a field of each record names the head. Events with the status alive
are omitted: at a start each head logs one for each other head, and no checker reads them.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

HEAD_FIELD = "hollow"  # field of a record that names its head
UNKNOWN_HEAD = "?"  # value for records from threads without a head


def is_checked_event(record: Record) -> bool:
    """Whether a record is an event that a checker may read."""
    extra = record["extra"]
    return "event" in extra and not (extra["event"] == "heads.seen" and extra["status"] == "alive")


def write_events(file: IO[str]) -> None:
    """Replace all log outputs of this process with a file of the events of its heads."""

    def write(message: Message) -> None:
        record = message.record
        line = {HEAD_FIELD: UNKNOWN_HEAD} | record["extra"] | {"at": record["time"].timestamp()}
        file.write(json.dumps(line, default=str) + "\n")
        file.flush()

    logger.remove()
    logger.add(write, level="INFO", format="", filter=is_checked_event, catch=False)


def read_events(paths: Iterable[Path]) -> dict[str, list[dict[str, Any]]]:
    """Read the events of each head, in order, from the files of all workers."""
    found: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # truncated by a kill
            if (name := event.pop(HEAD_FIELD)) != UNKNOWN_HEAD:
                found[name].append(event)
    return dict(found)
