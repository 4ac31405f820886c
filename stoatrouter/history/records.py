"""The commands and results of the rule history, and its versions.

Structs are encoded into the log and its snapshots as msgpack arrays (`array_like`), by field position: a new
field goes at the end, with a default. A set of rule files is handled as a unit and identified by its digest.
"""

from __future__ import annotations

import enum
import hashlib
import zlib

import msgspec

COMPRESSION_LEVEL = 6  # for zlib
DIGEST_SIZE = 16  # bytes


class RuleSet(msgspec.Struct, frozen=True, array_like=True):
    """The operator's rule file together with the teams' files."""

    root: str  # the name of the operator's file
    files: dict[str, str]  # contents by file name


def pack_rule_set(rule_set: RuleSet) -> bytes:
    """Encode and compress a rule set; equal sets give equal bytes."""
    files = {name: rule_set.files[name] for name in sorted(rule_set.files)}
    return zlib.compress(msgspec.msgpack.encode(RuleSet(rule_set.root, files)), COMPRESSION_LEVEL)


def unpack_rule_set(packed: bytes) -> RuleSet:
    """Decompress and decode a packed rule set.

    Raises:
        zlib.error: The bytes are not valid compressed data.
        msgspec.MsgspecError: The decompressed data is not a rule set.
    """
    return msgspec.msgpack.decode(zlib.decompress(packed), type=RuleSet)


def digest_rule_set(rule_set: RuleSet) -> str:
    """Return the BLAKE2b digest of a rule set's root and sorted files, in hexadecimal."""
    files = sorted(rule_set.files.items())
    return hashlib.blake2b(repr((rule_set.root, files)).encode(), digest_size=DIGEST_SIZE).hexdigest()


# -- commands ---------------------------------------------------------------------------------------------
class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """Requests that a rule set become the next version."""

    id: str  # the idempotency key, chosen by the caller
    base: int  # the version that the edit is based on; 0 for none
    digest: str
    packed_rules: bytes
    author: str
    reason: str
    when: str  # ISO 8601, UTC


class Undo(msgspec.Struct, frozen=True, array_like=True, tag="undo"):
    """Requests the rules that were in force before a version, or those of a given version."""

    id: str  # the idempotency key, chosen by the caller
    version: int  # the version to undo
    to: int  # the version to restore, needed if there are later edits; 0 if not given
    author: str
    reason: str
    when: str  # ISO 8601, UTC
    # Whether later versions that cancel each other out are not counted as edits. Undos in logs from before
    # December 2026 do not set it; they must be applied as they were then, so that all heads reach the same
    # state.
    skip_cancelled: bool = False


class Activate(msgspec.Struct, frozen=True, array_like=True, tag="activate"):
    """The leader activates the pending version."""

    number: int
    retained_versions: int  # the number of versions to retain


class Abandon(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """The leader abandons the pending version."""

    number: int
    reason: str


Command = Edit | Undo | Activate | Abandon


# -- results and state ------------------------------------------------------------------------------------
class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command."""

    accepted: bool
    number: int = 0  # the version that the command created or refers to
    reason: str = ""  # why the command was rejected
    newest: int = 0  # the version in force


class VersionKind(enum.StrEnum):
    """The kind of command that created a version."""

    EDIT = "edit"
    UNDO = "undo"


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of the rules."""

    number: int
    kind: VersionKind
    id: str  # the id of the edit or undo
    digest: str  # the digest of the rule set; "" for an undo that abandoned a pending version
    base: int  # the version that an edit is based on; for an undo, the version in force at that time
    undoes: int  # the version that an undo undoes; 0 for an edit
    restores: int  # the version whose rule set an undo restores; 0 for an edit
    author: str
    reason: str
    when: str  # ISO 8601, UTC


class AbandonedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version that was never in force, and the reason."""

    version: Version
    reason: str
