"""The events of hollow heads, written down as the judges of histories read those of real ones.

Many heads share one process and so one logger; a field of each record names the head it is of. News that a
head is alive is left out: at a start each head says it of each other, and no judge reads it.
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

LABEL = "hollow"  # the field of a record that names the head
UNNAMED = "?"  # of a record from a thread that knows no head


def is_kept(record: Record) -> bool:
    """Whether a record is an event that a judge may read."""
    extra = record["extra"]
    return "event" in extra and not (extra["event"] == "heads.seen" and extra["status"] == "alive")


def write_events(file: IO[str]) -> None:
    """From now on write the events of this process's heads to a file, and nothing elsewhere."""

    def write(message: Message) -> None:
        record = message.record
        line = {LABEL: UNNAMED} | record["extra"] | {"at": record["time"].timestamp()}
        file.write(json.dumps(line, default=str) + "\n")
        file.flush()

    logger.remove()
    logger.add(write, level="INFO", format="", filter=is_kept, catch=False)


def read_events(paths: Iterable[Path]) -> dict[str, list[dict[str, Any]]]:
    """The events of each head, in order, from the files of all workers."""
    found: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # cut short by a kill
            if (name := event.pop(LABEL)) != UNNAMED:
                found[name].append(event)
    return dict(found)
