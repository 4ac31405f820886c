"""The versions of the rules as a replicated state machine: every head applies the same commands.

Version numbers only increase; an undo creates a new version. At most one version is pending. Until it is
activated or abandoned, further edits are rejected, as are edits that are not based on the newest version, so
one of two concurrent edits succeeds. A command's id is an idempotency key. Undoing the pending version
abandons it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from stoatrouter.history.records import (
    Abandon,
    AbandonedVersion,
    Activate,
    Command,
    CommandResult,
    Edit,
    Undo,
    Version,
    VersionKind,
)

MAX_VERSIONS_NAMED = 20  # versions listed in a rejection; only the number of further ones is given
MAX_ABANDONED = 200  # retained abandoned versions; the oldest are dropped

_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


class HistorySnapshot(msgspec.Struct, array_like=True):
    """The state of the history, as a snapshot stores it."""

    versions: list[Version]
    packed_rule_sets: dict[str, bytes]
    pending: Version | None
    abandoned: list[AbandonedVersion]
    last_number: int
    last_dropped: int


@dataclass(slots=True)
class RuleHistory:
    """The retained versions, the pending version, and the latest abandoned versions."""

    versions: list[Version] = field(default_factory=list)  # activated versions, the newest last
    packed_rule_sets: dict[str, bytes] = field(default_factory=dict)  # by digest
    pending: Version | None = None
    abandoned: OrderedDict[str, AbandonedVersion] = field(default_factory=OrderedDict)  # by command id
    last_number: int = 0  # the highest version number that was assigned
    last_dropped: int = 0  # the newest version that is no longer retained

    # -- a part of the replicated state machine -----------------------------------------------------------
    def apply(self, index: int, body: bytes) -> bytes:
        """Apply one committed command; return the encoded CommandResult.

        Args:
            index: The log index of the command.
            body: The encoded command.

        Raises:
            msgspec.MsgspecError: The body is not a valid command.
        """
        return msgspec.msgpack.encode(self._dispatch(_COMMAND_DECODER.decode(body)))

    def _dispatch(self, command: Command) -> CommandResult:
        match command:
            case Edit():
                return self.edit(command)
            case Undo():
                return self.undo(command)
            case Activate():
                return self.activate(command)
            case Abandon():
                return self.abandon(command)

    def state(self) -> bytes:
        """Encode the whole history for a snapshot."""
        return msgspec.msgpack.encode(
            HistorySnapshot(
                self.versions,
                self.packed_rule_sets,
                self.pending,
                list(self.abandoned.values()),
                self.last_number,
                self.last_dropped,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replace the whole history by a snapshot's state; b"" is the initial state of a new fleet."""
        snapshot = HistorySnapshot([], {}, None, [], 0, 0)
        if state:
            snapshot = msgspec.msgpack.decode(state, type=HistorySnapshot)
        self.versions = snapshot.versions
        self.packed_rule_sets = snapshot.packed_rule_sets
        self.pending = snapshot.pending
        self.abandoned = OrderedDict((entry.version.id, entry) for entry in snapshot.abandoned)
        self.last_number = snapshot.last_number
        self.last_dropped = snapshot.last_dropped

    # -- lookups ------------------------------------------------------------------------------------------
    @property
    def newest(self) -> int:
        """Return the number of the version in force; 0 if no version was ever activated."""
        return self.versions[-1].number if self.versions else 0

    def find_version(self, number: int) -> Version | None:
        """Return a retained activated version; None if there is none with this number."""
        return next((version for version in self.versions if version.number == number), None)

    def find_by_id(self, id: str) -> Version | None:
        """Return the version created by a command; None if it was not accepted or is abandoned."""
        if self.pending is not None and self.pending.id == id:
            return self.pending
        return next((version for version in self.versions if version.id == id), None)

    # -- commands -----------------------------------------------------------------------------------------
    def edit(self, edit: Edit) -> CommandResult:
        """Make an edit the pending version if it is based on the newest version."""
        if (earlier := self._earlier_result(edit.id)) is not None:
            return earlier
        if self.pending is not None:
            pending = self.pending
            return self._reject(f"version {pending.number} by {pending.author} is being put in force")
        if edit.base != self.newest:
            return self._reject(f"it was made against version {edit.base}, the newest is {self.newest}")
        self.packed_rule_sets[edit.digest] = edit.packed_rules
        return self._propose(edit, edit.digest, base=edit.base)

    def undo(self, undo: Undo) -> CommandResult:
        """Restore the rules before a version if there are no later edits, or those of a given version."""
        if (earlier := self._earlier_result(undo.id)) is not None:
            return earlier
        if self.pending is not None:
            if self.pending.number != undo.version:
                return self._reject(f"version {self.pending.number} is being put in force")
            return self._cancel_pending(self.pending, undo)
        if undo.to:
            return self._return_to(undo)
        return self._undo_version(undo)

    def _return_to(self, undo: Undo) -> CommandResult:
        """Restore the version given in an undo."""
        restored = self.find_version(undo.to)
        if restored is None:
            return self._reject(f"version {undo.to} is not in the history{self._history_start()}")
        return self._propose_undo(undo, restored)

    def _undo_version(self, undo: Undo) -> CommandResult:
        """Restore the version that was in force before the undone one."""
        position = next((i for i, v in enumerate(self.versions) if v.number == undo.version), None)
        if position is None:
            return self._reject(f"version {undo.version} is not in the history{self._history_start()}")
        later = self._changes_since(position) if undo.skip_cancelled else self.versions[position + 1 :]
        if later:
            return self._reject(
                f"others have edited since: {name_versions(later)}; name the version to return to"
            )
        if position == 0:
            start = self._history_start()
            return self._reject(
                f"what was in force before version {undo.version} is not in the history{start}"
            )
        return self._propose_undo(undo, self.versions[position - 1])

    def _changes_since(self, position: int) -> list[Version]:
        """Return the later versions whose changes of the rules have not been undone.

        An edit and its undo are left out, with everything between them.
        """
        origins = self._find_origins()
        changes: dict[int, Version] = {}  # by origin, in order
        for version in self.versions[position:]:
            origin = origins[version.number]
            if origin in changes:  # the rules of that version are in force again
                while next(reversed(changes)) != origin:
                    changes.popitem()
            else:
                changes[origin] = version
        return list(changes.values())[1:]

    def _find_origins(self) -> dict[int, int]:
        """Return the origin of each version: the edit that introduced its rule set.

        An edit is its own origin; an undo has the origin of the version that it restores. Two edits with
        equal rule sets have different origins, because undoing one must not undo the other.
        """
        origins: dict[int, int] = {}
        for version in self.versions:
            # A version that is no longer retained is its own origin. This can only make fewer versions cancel
            # out, never more.
            restored = origins.get(version.restores, version.restores)
            origins[version.number] = restored if version.kind is VersionKind.UNDO else version.number
        return origins

    def _earlier_result(self, id: str) -> CommandResult | None:
        """Return the result of an earlier command with the same id; None if there was none."""
        version = self.find_by_id(id)
        if version is None and (entry := self.abandoned.get(id)) is not None:
            version = entry.version
        return None if version is None else self._accept(version.number)

    def _accept(self, number: int) -> CommandResult:
        return CommandResult(True, number, newest=self.newest)

    def _reject(self, reason: str) -> CommandResult:
        return CommandResult(False, reason=reason, newest=self.newest)

    def _history_start(self) -> str:
        return f" (it begins with {self.versions[0].number})" if self.versions else " (it is empty)"

    def _propose_undo(self, undo: Undo, restored: Version) -> CommandResult:
        return self._propose(
            undo, restored.digest, base=self.newest, undoes=undo.version, restores=restored.number
        )

    def _propose(
        self, command: Edit | Undo, digest: str, *, base: int, undoes: int = 0, restores: int = 0
    ) -> CommandResult:
        self.pending = self._number_version(command, digest, base, undoes, restores)
        return self._accept(self.pending.number)

    def _number_version(
        self, command: Edit | Undo, digest: str, base: int, undoes: int, restores: int
    ) -> Version:
        """Create the version of a command, with the next number."""
        self.last_number += 1
        kind = VersionKind.EDIT if isinstance(command, Edit) else VersionKind.UNDO
        return Version(
            number=self.last_number,
            kind=kind,
            id=command.id,
            digest=digest,
            base=base,
            undoes=undoes,
            restores=restores,
            author=command.author,
            reason=command.reason,
            when=command.when,
        )

    def _cancel_pending(self, pending: Version, undo: Undo) -> CommandResult:
        """Abandon the pending version at an operator's request; the rules in force do not change."""
        self._abandon_pending(pending, f"taken back by {undo.author}: {undo.reason}")
        cancelling = self._number_version(undo, "", self.newest, pending.number, self.newest)
        reason = f"version {pending.number} was taken back before it was in force"
        self._remember_abandoned(AbandonedVersion(cancelling, reason))
        return self._accept(cancelling.number)

    def _abandon_pending(self, pending: Version, reason: str) -> None:
        self.pending = None
        self._remember_abandoned(AbandonedVersion(pending, reason))
        self._drop_unused_rule_sets()

    def _remember_abandoned(self, entry: AbandonedVersion) -> None:
        self.abandoned[entry.version.id] = entry
        while len(self.abandoned) > MAX_ABANDONED:
            self.abandoned.popitem(last=False)

    def activate(self, command: Activate) -> CommandResult:
        """Put the pending version in force, and drop the oldest versions that are not to be retained."""
        if self.pending is None or self.pending.number != command.number:
            return self._reject(f"version {command.number} is not being put in force")
        self.versions.append(self.pending)
        self.pending = None
        while len(self.versions) > max(1, command.retained_versions):
            self.last_dropped = self.versions.pop(0).number
        self._drop_unused_rule_sets()
        return self._accept(command.number)

    def abandon(self, command: Abandon) -> CommandResult:
        """Abandon the pending version."""
        if self.pending is None or self.pending.number != command.number:
            return self._reject(f"version {command.number} is not being put in force")
        self._abandon_pending(self.pending, command.reason)
        return self._accept(command.number)

    def _drop_unused_rule_sets(self) -> None:
        used = {version.digest for version in self.versions}
        if self.pending is not None:
            used.add(self.pending.digest)
        self.packed_rule_sets = {
            digest: packed for digest, packed in self.packed_rule_sets.items() if digest in used
        }


def name_versions(versions: Sequence[Version]) -> str:
    """Return a text for a rejection that lists versions with their authors, limited to the first ones."""
    names = ", ".join(f"{version.number} by {version.author}" for version in versions[:MAX_VERSIONS_NAMED])
    more = len(versions) - MAX_VERSIONS_NAMED
    return f"{names} and {more} more" if more > 0 else names
