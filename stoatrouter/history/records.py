"""What is asked of the history, and what it answers. A set of rule files is one whole, named by its
digest.
"""

from __future__ import annotations

import hashlib
import zlib

import msgspec


class Content(msgspec.Struct, frozen=True, array_like=True):
    """An operator's rule file and the teams' files, as one set."""

    root: str  # the operator's file
    files: dict[str, str]


def pack(content: Content) -> bytes:
    """A set as bytes; the same set gives the same bytes."""
    files = {name: content.files[name] for name in sorted(content.files)}
    return zlib.compress(msgspec.msgpack.encode(Content(content.root, files)), 6)


def unpack(data: bytes) -> Content:
    """The set that was packed."""
    return msgspec.msgpack.decode(zlib.decompress(data), type=Content)


def digest_of(content: Content) -> str:
    """The name of a set: equal sets have equal names."""
    files = sorted(content.files.items())
    return hashlib.blake2b(repr((content.root, files)).encode(), digest_size=16).hexdigest()


# -- commands ---------------------------------------------------------------------------------------------
class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """Asks for a set to become the next version."""

    id: str
    base: int  # the version that it was made against; 0: there is none yet
    digest: str
    content: bytes  # packed
    author: str
    reason: str
    when: str


class Undo(msgspec.Struct, frozen=True, array_like=True, tag="undo"):
    """Asks for what was in force before a version, or at one."""

    id: str
    version: int  # what it undoes
    to: int  # where others have edited since: the version to return to; 0: not named
    author: str
    reason: str
    when: str
    # Whether versions since that cancel each other out count as no edit. Undos in logs of before December
    # 2026 say nothing of it: they are applied as they were then, so that each head comes to the same.
    cancelling: bool = False


class Activate(msgspec.Struct, frozen=True, array_like=True, tag="activate"):
    """The leader puts a version in force."""

    number: int
    keep: int  # versions that the history holds from now on


class Abandon(msgspec.Struct, frozen=True, array_like=True, tag="abandon"):
    """The leader gives a version up, and says why."""

    number: int
    why: str


Command = Edit | Undo | Activate | Abandon


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """To an edit or an undo."""

    ok: bool
    number: int = 0
    why: str = ""
    newest: int = 0


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of the rules."""

    number: int
    kind: str  # edit, undo
    id: str
    digest: str
    base: int  # an edit's; of an undo, the version that was in force
    undoes: int  # of an undo
    restores: int  # of an undo: the version whose content it has again
    author: str
    reason: str
    when: str


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """One that never came in force, and why."""

    version: Version
    why: str
