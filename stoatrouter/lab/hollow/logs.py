"""The events of hollow heads, in files that the judges of histories read like the logs of real heads.

Many heads share one process and so one logger; a field of each record names its head. Events that a head is
alive are left out: at a start each head logs one of each other, and no judge reads them.
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

HEAD_FIELD = "hollow"  # the field of a record that names its head
UNNAMED = "?"  # the head of a record from a thread that knows none


def is_for_judges(record: Record) -> bool:
    """Whether a record is an event that a judge may read."""
    extra = record["extra"]
    return "event" in extra and not (extra["event"] == "heads.seen" and extra["status"] == "alive")


def write_events(file: IO[str]) -> None:
    """Write the events of this process's heads to a file from now on, and log nothing elsewhere."""

    def write(message: Message) -> None:
        record = message.record
        line = {HEAD_FIELD: UNNAMED} | record["extra"] | {"at": record["time"].timestamp()}
        file.write(json.dumps(line, default=str) + "\n")
        file.flush()

    logger.remove()
    logger.add(write, level="INFO", format="", filter=is_for_judges, catch=False)


def read_events(paths: Iterable[Path]) -> dict[str, list[dict[str, Any]]]:
    """Read the events of each head, in order, from the files of all workers."""
    found: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # cut short by a kill
            if (name := event.pop(HEAD_FIELD)) != UNNAMED:
                found[name].append(event)
    return dict(found)
