"""The replicated state machine: applies the agreed commands, with the same result at every head. No I/O.

Its state is made of parts, one per concern, and the latest answer of each command (thesis 6.3).

A command's id is an idempotency key: a caller that does not know whether its command was applied sends it
again under the same id, and is given the first answer. Answers are retained for the latest commands only;
parts that promise more (credit's entries) retain ids of their own.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import msgspec

from stoatrouter.agreement.records import COMMAND, Entry

MAX_ANSWERS = 4_096  # retained; beyond, the oldest are dropped


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A caller's command to one part; its id is an idempotency key."""

    id: str  # the caller's
    part: str
    body: bytes
    by: str = ""  # the head that accepted it


class MachineState(msgspec.Struct, array_like=True):
    """The state of all parts, as a snapshot has it."""

    answers: list[tuple[str, bytes]]
    parts: dict[str, bytes]


class CommandAnswer(NamedTuple):
    """The answer of a part to a command."""

    id: str  # the command's
    body: bytes


class Part(Protocol):
    """One concern's state. What it does follows from its state and the command alone."""

    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one command; its answer."""
        ...

    def state(self) -> bytes:
        """All that was applied, for a snapshot."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state; b"" is that of a fleet just founded."""
        ...


@dataclass(slots=True)
class Machine:
    """All parts of the agreed state, and the latest answers."""

    parts: dict[str, Part]
    answers: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    index: int = 0

    def apply(self, entry: Entry) -> CommandAnswer | None:
        """Apply an entry; returns the answer where it is a command."""
        self.index = entry.index
        if entry.kind != COMMAND:
            return None
        command = msgspec.msgpack.decode(entry.body, type=Command)
        if command.id in self.answers:
            return CommandAnswer(command.id, self.answers[command.id])
        part = self.parts.get(command.part)
        # Guards heads of different versions: all must come to the same, so an unknown part does nothing.
        answer = part.apply(entry.index, command.body) if part is not None else b""
        self.answers[command.id] = answer
        if len(self.answers) > MAX_ANSWERS:
            self.answers.popitem(last=False)
        return CommandAnswer(command.id, answer)

    def state(self) -> bytes:
        """All parts and answers, for a snapshot."""
        parts = {name: part.state() for name, part in self.parts.items()}
        return msgspec.msgpack.encode(MachineState(list(self.answers.items()), parts))

    def restore(self, index: int, state: bytes) -> None:
        """Replace everything by a snapshot's state; b"" is that of a fleet just founded."""
        saved = MachineState([], {})
        if state:
            saved = msgspec.msgpack.decode(state, type=MachineState)
        self.answers = OrderedDict(saved.answers)
        self.index = index
        for name, part in self.parts.items():
            part.restore(saved.parts.get(name, b""))


def encode(value: object) -> bytes:
    """A value as bytes of the log, msgpack."""
    return msgspec.msgpack.encode(value)
