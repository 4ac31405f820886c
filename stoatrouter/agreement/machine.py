"""The replicated state machine: applies committed commands with the same result at every head. No I/O.

The state consists of parts, one for each concern, and the answers to the latest commands (thesis 6.3).

A command's id is an idempotency key: a caller that does not know whether its command was applied sends it
again with the same id and receives the first answer. Answers are retained for the latest commands only;
parts with stronger guarantees, such as credit's entries, store ids themselves.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import msgspec

from stoatrouter.agreement.records import COMMAND, Entry

MAX_ANSWERS = 4_096  # retained answers; the oldest are dropped


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A caller's command to one part of the state machine."""

    id: str  # the idempotency key, chosen by the caller
    part: str  # the name of the part
    body: bytes
    by: str = ""  # the head that accepted it


class MachineState(msgspec.Struct, array_like=True):
    """The state of the machine, as a snapshot stores it."""

    answers: list[tuple[str, bytes]]  # command id and answer, the oldest first
    parts: dict[str, bytes]  # encoded state by the part's name


class CommandAnswer(NamedTuple):
    """The answer of a part to a command."""

    id: str  # the id of the command
    body: bytes


class Part(Protocol):
    """The state of one concern. Its behaviour depends only on its state and the command."""

    def apply(self, index: int, body: bytes) -> bytes:
        """Apply a committed command and return the encoded answer; `index` is its entry's index."""
        ...

    def state(self) -> bytes:
        """Encode the state for a snapshot."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot's; b"" is the initial state of a new fleet."""
        ...


@dataclass(slots=True)
class Machine:
    """The replicated state: all parts, the latest answers, and the index of the last applied entry."""

    parts: dict[str, Part]
    answers: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    index: int = 0

    def apply(self, entry: Entry) -> CommandAnswer | None:
        """Apply a committed entry; return the answer if it is a command, else None."""
        self.index = entry.index
        if entry.kind != COMMAND:
            return None
        command = msgspec.msgpack.decode(entry.body, type=Command)
        if command.id in self.answers:
            return CommandAnswer(command.id, self.answers[command.id])
        part = self.parts.get(command.part)
        # Heads of different versions must reach the same state, so a command to an unknown part is ignored.
        answer = part.apply(entry.index, command.body) if part is not None else b""
        self.answers[command.id] = answer
        if len(self.answers) > MAX_ANSWERS:
            self.answers.popitem(last=False)
        return CommandAnswer(command.id, answer)

    def state(self) -> bytes:
        """Encode all parts and answers for a snapshot."""
        parts = {name: part.state() for name, part in self.parts.items()}
        return msgspec.msgpack.encode(MachineState(list(self.answers.items()), parts))

    def restore(self, index: int, state: bytes) -> None:
        """Replace the whole state by a snapshot's; b"" is the initial state of a new fleet."""
        saved = MachineState([], {})
        if state:
            saved = msgspec.msgpack.decode(state, type=MachineState)
        self.answers = OrderedDict(saved.answers)
        self.index = index
        for name, part in self.parts.items():
            part.restore(saved.parts.get(name, b""))


def encode(value: object) -> bytes:
    """Encode a value as msgpack, for the log."""
    return msgspec.msgpack.encode(value)
