"""Commands to the history of rules, their results, and the versions it holds.

Structs are encoded as msgpack arrays (`array_like`), by the position of their fields,
into the heads' log and its snapshots on disk: new fields go at the end, with a default. A set of rule files
is handled as one unit, named by its digest.
"""

from __future__ import annotations

import enum
import hashlib
import zlib

import msgspec

COMPRESSION_LEVEL = 6  # of zlib
DIGEST_SIZE = 16  # bytes


class RuleSet(msgspec.Struct, frozen=True, array_like=True):
    """An operator's rule file and the teams' files, as one set."""

    root: str  # name of the operator's file
    files: dict[str, str]  # text by name


def pack_rule_set(rule_set: RuleSet) -> bytes:
    """Encode and compress a set; equal sets give equal bytes."""
    files = {name: rule_set.files[name] for name in sorted(rule_set.files)}
    return zlib.compress(msgspec.msgpack.encode(RuleSet(rule_set.root, files)), COMPRESSION_LEVEL)


def unpack_rule_set(packed: bytes) -> RuleSet:
    """Decode a packed set.

    Raises:
        zlib.error: The bytes are not compressed data.
        msgspec.MsgspecError: They hold no rule set.
    """
    return msgspec.msgpack.decode(zlib.decompress(packed), type=RuleSet)


def digest_rule_set(rule_set: RuleSet) -> str:
    """Name a set by its content: the BLAKE2b digest, in hexadecimal, of its root and sorted files."""
    files = sorted(rule_set.files.items())
    return hashlib.blake2b(repr((rule_set.root, files)).encode(), digest_size=DIGEST_SIZE).hexdigest()


# -- commands ---------------------------------------------------------------------------------------------
class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """Asks for a rule set to become the next version."""

    id: str  # the caller's idempotency key
    base: int  # the version that the edit was made against; 0: none
    digest: str
    packed_rules: bytes
    author: str
    reason: str
    when: str  # ISO 8601, UTC


class Undo(msgspec.Struct, frozen=True, array_like=True, tag="undo"):
    """Asks for the rules that were in force before a version, or at a named one."""

    id: str  # the caller's idempotency key
    version: int  # the version to undo
    to: int  # the version to return to where others have edited since; 0: not named
    author: str
    reason: str
    when: str  # ISO 8601, UTC
    # Whether later versions that cancel each other out count as no edit. Undos in logs of before December
    # 2026 do not set it: they are applied as they were then, so that every head reaches the same state.
    skip_cancelled: bool = False


class Activate(msgspec.Struct, frozen=True, array_like=True, tag="activate"):
    """The leader activates the pending version."""

    number: int
    retained_versions: int  # how many versions the history holds from now on


class Abandon(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """The leader abandons the pending version."""

    number: int
    reason: str


Command = Edit | Undo | Activate | Abandon


# -- results and state ------------------------------------------------------------------------------------
class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command."""

    accepted: bool
    number: int = 0  # the version that the command made or concerned
    reason: str = ""  # why it was rejected
    newest: int = 0  # the version in force


class VersionKind(enum.StrEnum):
    """Which command made a version."""

    EDIT = "edit"
    UNDO = "undo"


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of the rules."""

    number: int
    kind: VersionKind
    id: str  # of the edit or undo that made it
    digest: str  # of its rule set; "" for an undo that abandoned a pending version
    base: int  # the version an edit was made against; for an undo, the version in force at that time
    undoes: int  # the version an undo undoes; 0 for an edit
    restores: int  # the version whose rule set an undo restores; 0 for an edit
    author: str
    reason: str
    when: str  # ISO 8601, UTC


class AbandonedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version that never came into force, and why."""

    version: Version
    reason: str
