"""The history of a run: requests and responses of clients, and events from the logs of heads.

Each line of the history file is a JSON object {"what", "at", ...}. Logs are the JSON lines that heads write;
only events with their times and fields are read (docs/on-call.md). Times are Unix times in seconds. Records
use the field names of those files and omit fields that no checker needs.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from stoatrouter.lab.histories.linear import RegisterResponse


class Line(msgspec.Struct, frozen=True, tag_field="what"):
    """A line of the history file."""

    at: float


class Payment(Line, frozen=True, tag="pay"):
    """A call that tops up a customer; a retry has the same id."""

    id: str
    customer: str
    amount: int
    status: int  # of HTTP


class Request(Line, frozen=True, tag="request"):
    """A request of a customer."""

    until: float
    id: str
    customer: str
    charge: int
    status: int  # of HTTP; 0: no answer came
    head: str = ""
    volume: str = ""  # empty: a volume that belongs to the customer all the time


class CustomerPut(Line, frozen=True, tag="customer"):
    """A call that creates a customer or sets its volumes, which are removed from their previous customers."""

    until: float
    customer: str
    volumes: list[str]
    status: int  # of HTTP; 0: no answer came


class LedgerBehind(Line, frozen=True, tag="ledger_behind"):
    """The maximum age of the ledger by which a head decides, from this time on."""

    seconds: float


class FolderLost(Line, frozen=True, tag="folder_lost"):
    """The folder of a head was lost while the head was down, with everything that it had stored."""

    head: str


class Settled(Line, frozen=True, tag="settled"):
    """The account of a customer at the end, with no request in flight."""

    customer: str
    paid: int
    charged: int
    balance: int
    lost: int = 0  # amount that was in flight on permanently lost disks


class RegisterLine(Line, frozen=True, tag="register"):
    """A call to the register of rule versions."""

    until: float
    kind: str
    id: str
    base: int
    answer: RegisterResponse | None


class Contents(Line, frozen=True, tag="contents"):
    """The digest of the rules in force at the end, by head."""

    digests: dict[str, str]


class Restored(Line, frozen=True, tag="restored"):
    """An undo of a version, with digests of the rules in force before that version and after the undo."""

    undone: int
    before: str
    now: str


class Down(Line, frozen=True, tag="down"):
    """A span in which a head was down while its witnesses were up."""

    until: float
    head: str
    witnesses: list[str]
    detect_within: float  # seconds


class FaultFree(Line, frozen=True, tag="calm"):
    """A span without faults."""

    until: float


class LogEvent(msgspec.Struct, frozen=True, tag_field="event"):
    """An event in the log of a head."""

    at: float


class RoleChanged(LogEvent, frozen=True, tag="heads.role"):
    """A head learned of the leader of a term."""

    term: int
    leader: str


class VersionInForce(LogEvent, frozen=True, tag="rules.version"):
    """A head put a version of the rules in force."""

    number: int
    digest: str


class HeadSeen(LogEvent, frozen=True, tag="heads.seen"):
    """The detector of a head gave another head this status."""

    head: str
    status: str


AnyLine = TypeVar("AnyLine", bound=Line)
AnyEvent = TypeVar("AnyEvent", bound=LogEvent)


@dataclass
class History:
    """All records that are checked, as read from files."""

    lines: list[dict[str, Any]] = field(default_factory=list)
    logs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)  # events by head, in order

    def of(self, kind: type[AnyLine]) -> list[AnyLine]:
        """Return the lines of one kind, in order.

        Raises:
            msgspec.ValidationError: A line of that kind is malformed.
        """
        tag = kind.__struct_config__.tag
        return [msgspec.convert(line, kind) for line in self.lines if line["what"] == tag]

    def events(self, head: str, kind: type[AnyEvent]) -> list[AnyEvent]:
        """Return the events of one kind from the log of a head, in order.

        Raises:
            msgspec.ValidationError: An event of that kind is malformed.
        """
        tag = kind.__struct_config__.tag
        return [msgspec.convert(event, kind) for event in self.logs[head] if event["event"] == tag]


def read_history(history: Path, logs: dict[str, Path]) -> History:
    """Read a history file and the logs of heads, by name."""
    lines = [json.loads(line) for line in history.read_text().splitlines() if line]
    return History(lines, {name: list(read_log(path)) for name, path in logs.items()})


def read_log(path: Path) -> Iterator[dict[str, Any]]:
    """Read the events in the log of a head; lines that are not complete JSON records are skipped."""
    return _events(path.read_text(errors="replace").splitlines())


def _events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        try:
            record = json.loads(line)["record"]
        except (ValueError, KeyError, TypeError):
            continue
        extra = record["extra"]
        if extra.get("event"):
            yield {**extra, "at": record["time"]["timestamp"]}
