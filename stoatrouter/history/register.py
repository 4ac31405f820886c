"""The versions of the rules, the same at every head.

Numbers only go up, an undo makes a new one. One version at a time is being put in force: edits meanwhile are
refused, as are those against a version that is not the newest, so of two concurrent edits one wins. What an
id asked for is done once. Undoing what is still being put in force takes it back.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from stoatrouter.history.records import Abandon, Activate, Answer, Command, Edit, Ended, Undo, Version

MOST_NAMED = 20  # versions that a refusal names
MOST_ENDED = 200  # abandoned ones that are told of


class Held(msgspec.Struct, array_like=True):
    """The register's state, as a snapshot has it."""

    versions: list[Version]
    contents: dict[str, bytes]
    pending: Version | None
    ended: list[Ended]
    numbers: int
    dropped: int


@dataclass(slots=True)
class Register:
    """All versions that the history holds, and what became of those that were asked for."""

    versions: list[Version] = field(default_factory=list)  # that were in force, the newest last
    contents: dict[str, bytes] = field(default_factory=dict)  # packed, by digest
    pending: Version | None = None
    ended: OrderedDict[str, Ended] = field(default_factory=OrderedDict)  # abandoned, by id
    numbers: int = 0  # given so far
    dropped: int = 0  # the newest version that the history has let go
    read: msgspec.msgpack.Decoder = field(default_factory=lambda: msgspec.msgpack.Decoder(Command))

    # -- a part of what the heads agree on ----------------------------------------------------------------
    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one command; its answer."""
        command = self.read.decode(body)
        match command:
            case Edit():
                answer = self.edit(command)
            case Undo():
                answer = self.undo(command)
            case Activate():
                answer = self.activate(command)
            case Abandon():
                answer = self.abandon(command)
        return msgspec.msgpack.encode(answer)

    def state(self) -> bytes:
        """The whole history, for a snapshot."""
        return msgspec.msgpack.encode(
            Held(
                self.versions,
                self.contents,
                self.pending,
                list(self.ended.values()),
                self.numbers,
                self.dropped,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replace everything by a snapshot's state; b"" is that of a fleet just founded."""
        held = msgspec.msgpack.decode(state, type=Held) if state else Held([], {}, None, [], 0, 0)
        self.versions, self.contents, self.pending = held.versions, held.contents, held.pending
        self.ended = OrderedDict((ended.version.id, ended) for ended in held.ended)
        self.numbers, self.dropped = held.numbers, held.dropped

    # -- what is there ------------------------------------------------------------------------------------
    @property
    def newest(self) -> int:
        """The version in force; 0: none was ever agreed on."""
        return self.versions[-1].number if self.versions else 0

    def version(self, number: int) -> Version | None:
        """A version of the history; None: it is not in it."""
        return next((v for v in self.versions if v.number == number), None)

    def by_id(self, id: str) -> Version | None:
        """What an id asked for, where it was accepted and not abandoned."""
        if self.pending is not None and self.pending.id == id:
            return self.pending
        return next((v for v in self.versions if v.id == id), None)

    # -- changes ------------------------------------------------------------------------------------------
    def edit(self, edit: Edit) -> Answer:
        """Take an edit, where it was made against the newest version."""
        if (again := self._again(edit.id)) is not None:
            return again
        if self.pending is not None:
            pending = self.pending
            return self._refuse(f"version {pending.number} by {pending.author} is being put in force")
        if edit.base != self.newest:
            return self._refuse(f"it was made against version {edit.base}, the newest is {self.newest}")
        self.contents[edit.digest] = edit.content
        return self._propose("edit", edit, edit.digest, edit.base, 0, 0)

    def undo(self, undo: Undo) -> Answer:
        """Take an undo, where nobody has edited since or a version is named."""
        if (again := self._again(undo.id)) is not None:
            return again
        if self.pending is not None:
            if self.pending.number != undo.version:
                return self._refuse(f"version {self.pending.number} is being put in force")
            return self._take_back(undo)
        if undo.to:
            restored = self.version(undo.to)
            if restored is None:
                return self._refuse(f"version {undo.to} is not in the history{self._oldest()}")
            return self._propose("undo", undo, restored.digest, self.newest, undo.version, undo.to)
        at = next((i for i, v in enumerate(self.versions) if v.number == undo.version), None)
        if at is None:
            return self._refuse(f"version {undo.version} is not in the history{self._oldest()}")
        if since := self._since(at) if undo.cancelling else self.versions[at + 1 :]:
            return self._refuse(f"others have edited since: {named(since)}; name the version to return to")
        if at == 0:
            return self._refuse(
                f"what was in force before version {undo.version} is not in the history{self._oldest()}"
            )
        before = self.versions[at - 1]
        return self._propose("undo", undo, before.digest, self.newest, undo.version, before.number)

    def _since(self, at: int) -> list[Version]:
        """What has changed the rules since a version and is not undone: an edit whose undo is in force too
        leaves nothing, nor does anything between them.
        """
        origins = self._origins()
        changes: dict[int, Version] = {}  # by origin, in order
        for version in self.versions[at:]:
            origin = origins[version.number]
            if origin in changes:  # what was in force then is in force again
                while next(reversed(changes)) != origin:
                    changes.popitem()
            else:
                changes[origin] = version
        return list(changes.values())[1:]

    def _origins(self) -> dict[int, int]:
        """For each version, the edit whose content it has: an edit's is its own, an undo's that of what it
        restores. Equal contents of two edits have two origins: undoing one must not take the other back.
        """
        origins: dict[int, int] = {}
        for version in self.versions:
            # what is past the history's end stands for itself: then less is known to cancel out, never more
            restored = origins.get(version.restores, version.restores)
            origins[version.number] = restored if version.kind == "undo" else version.number
        return origins

    def _again(self, id: str) -> Answer | None:
        """Asked twice with one id: the answer of the first time."""
        if (known := self.by_id(id)) is not None:
            return Answer(True, known.number, newest=self.newest)
        if (ended := self.ended.get(id)) is not None:
            return Answer(True, ended.version.number, newest=self.newest)
        return None

    def _refuse(self, why: str) -> Answer:
        return Answer(False, why=why, newest=self.newest)

    def _oldest(self) -> str:
        return f" (it begins with {self.versions[0].number})" if self.versions else " (it is empty)"

    def _propose(
        self, kind: str, asked: Edit | Undo, digest: str, base: int, undoes: int, restores: int
    ) -> Answer:
        self.numbers += 1
        self.pending = Version(
            self.numbers,
            kind,
            asked.id,
            digest,
            base,
            undoes,
            restores,
            asked.author,
            asked.reason,
            asked.when,
        )
        return Answer(True, self.numbers, newest=self.newest)

    def _take_back(self, undo: Undo) -> Answer:
        """An undo of what is still being put in force: it never comes in force, and nothing else changes."""
        pending = self.pending
        assert pending is not None
        self._end(pending, f"taken back by {undo.author}: {undo.reason}")
        self.numbers += 1
        asked = Version(
            self.numbers,
            "undo",
            undo.id,
            "",
            self.newest,
            pending.number,
            self.newest,
            undo.author,
            undo.reason,
            undo.when,
        )
        self._tell(Ended(asked, f"version {pending.number} was taken back before it was in force"))
        return Answer(True, self.numbers, newest=self.newest)

    def _end(self, version: Version, why: str) -> None:
        self.pending = None
        self._tell(Ended(version, why))
        self._let_go()

    def _tell(self, ended: Ended) -> None:
        self.ended[ended.version.id] = ended
        while len(self.ended) > MOST_ENDED:
            self.ended.popitem(last=False)

    def activate(self, command: Activate) -> Answer:
        """Put the pending version in force, and let the oldest go."""
        if self.pending is None or self.pending.number != command.number:
            return self._refuse(f"version {command.number} is not being put in force")
        self.versions.append(self.pending)
        self.pending = None
        while len(self.versions) > max(1, command.keep):
            self.dropped = self.versions.pop(0).number
        self._let_go()
        return Answer(True, command.number, newest=self.newest)

    def abandon(self, command: Abandon) -> Answer:
        """Give the pending version up."""
        if self.pending is None or self.pending.number != command.number:
            return self._refuse(f"version {command.number} is not being put in force")
        self._end(self.pending, command.why)
        return Answer(True, command.number, newest=self.newest)

    def _let_go(self) -> None:
        """Contents that no version has any more go."""
        kept = {version.digest for version in self.versions}
        if self.pending is not None:
            kept.add(self.pending.digest)
        self.contents = {digest: data for digest, data in self.contents.items() if digest in kept}


def named(versions: list[Version]) -> str:
    """Versions and their authors, as a refusal names them: the first ones, and how many more there are."""
    names = ", ".join(f"{version.number} by {version.author}" for version in versions[:MOST_NAMED])
    more = len(versions) - MOST_NAMED
    return f"{names} and {more} more" if more > 0 else names
