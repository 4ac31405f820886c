"""What a head has promised, on its disk: one SQLite file and a mark beside it, in a folder that lasts.

What is promised: once `write` returns, the write is there after a crash of the process or of the machine (WAL
with synchronous=FULL). A database that is torn, foreign, from a later version or older than what this head
acknowledged is never voted from: it is set aside and the head goes on under a new identity, without a vote;
one that belongs to something else is left alone and ends the start.

The mark is how an older copy of the database is found out: after each write it is told the write's number,
and a database that is behind its mark has lost what was acknowledged.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import mmap
import os
import secrets
import sqlite3
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stoatrouter.agreement.records import Entry, PersistentState, Snapshot, Write
from stoatrouter.config import ConfigError

APPLICATION, VERSION = 0x53544F54, 1  # "STOT"; of the schema
DATABASE_FILE, MARK_FILE, LOCK_FILE = "heads.db", "heads.mark", "heads.lock"
SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (at INTEGER PRIMARY KEY, data BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), data BLOB NOT NULL, sum BLOB NOT NULL);
"""


# what SQLite says of a file that it cannot reach or write, as opposed to one whose content is wrong
UNREACHABLE = ("readonly", "unable to open", "disk I/O", "full", "locked")


class CorruptDatabase(Exception):
    """The database cannot be believed; the text says why."""


def checksum(data: bytes) -> bytes:
    """A checksum of one row."""
    return hashlib.blake2b(data, digest_size=16).digest()


@dataclass(slots=True, frozen=True)
class StoredState:
    """What a start found."""

    identity: str
    boot: int  # how often a process began with this disk
    disk: PersistentState
    origin: str  # of the fleet this disk belongs to; "": of none
    promised: str  # the founder it was promised to
    reset_reason: str | None = None  # why the identity is new, where there was one before
    writable: bool = True  # False: the disk takes no writes, nothing here is kept


class Mark:
    """A number that goes up, in a file of its own: a crash of the process loses none of it."""

    FORM = struct.Struct(">QQ")

    def __init__(self, path: Path) -> None:
        self.file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self.file, self.FORM.size)
        self.map = mmap.mmap(self.file, self.FORM.size)

    def read(self) -> int:
        """The number; 0 where the file is new. Of two halves that differ the lower counts: it was torn."""
        first, second = self.FORM.unpack(self.map[:])
        return min(first, second)

    def set(self, number: int) -> None:
        """Set the mark."""
        self.map[:] = self.FORM.pack(number, number)

    def close(self) -> None:
        """Close the file."""
        self.map.close()
        os.close(self.file)


class Storage:
    """The file. All calls come from one thread at a time; `open` before `write`."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.path = folder, folder / DATABASE_FILE
        self.connection: sqlite3.Connection | None = None
        self.mark: Mark | None = None
        self.number = 0
        self.lock = -1

    # -- a start ------------------------------------------------------------------------------------------
    def open(self) -> StoredState:
        """Read what is there, or begin anew; raises ConfigError where the file belongs to something else."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self.mark = Mark(self.folder / MARK_FILE)
            why = None
            try:
                return self._read()
            except CorruptDatabase as error:
                why = self._set_aside(str(error)) if self.path.exists() else str(error)
            return self._begin(why)
        except (sqlite3.Error, OSError) as error:
            # Guards the start of a head whose disk is full or read-only: it serves, without a voice.
            self.close()
            why = f"the disk takes no writes: {error}"
            return StoredState(secrets.token_hex(16), 0, PersistentState(), "", "", why, False)

    def _lock(self) -> None:
        """One process at a time: two would vote twice under one identity. A killed one holds it no more."""
        self.lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ConfigError(
                f"{self.folder}: another process of this head uses the folder; end it first "
                "(with heads that know each other on, a new version does not start beside the "
                "old one)"
            ) from None

    def _read(self) -> StoredState:
        if not self.path.exists():
            assert self.mark is not None
            if self.mark.read():
                raise CorruptDatabase("the database is gone")
            return self._begin(None)
        self.connection = base = self._connect()
        with self._doubts():
            application = base.execute("PRAGMA application_id").fetchone()[0]
            version = base.execute("PRAGMA user_version").fetchone()[0]
            tables = base.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if application != APPLICATION and tables:
            raise ConfigError(f"{self.path}: this database belongs to another program; name another folder")
        if version > VERSION:
            raise ConfigError(
                f"{self.path}: written by a later version (schema {version}, this one knows "
                f"{VERSION}); start that version, or name another folder"
            )
        with self._doubts():
            if base.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise CorruptDatabase("the database is damaged")
            found = self._load(base)
        return found

    def _load(self, base: sqlite3.Connection) -> StoredState:
        meta = dict(base.execute("SELECT key, value FROM meta"))
        try:
            identity, boot = meta["identity"].decode(), int(meta["boot"]) + 1
            self.number = int(meta["number"])
            entries = [
                self._entry(at, data, held)
                for at, data, held in base.execute("SELECT at, data, sum FROM entries ORDER BY at")
            ]
            snapshot = Snapshot(0, 0, (), b"")
            for data, held in base.execute("SELECT data, sum FROM snapshot"):
                if checksum(data) != held:
                    raise CorruptDatabase("the snapshot does not match its checksum")
                snapshot = msgspec.msgpack.decode(data, type=Snapshot)
            term = int(meta.get("term", b"0"))
        except (KeyError, ValueError, msgspec.MsgspecError) as error:
            raise CorruptDatabase(f"a record cannot be read: {error!r}") from None
        if any(b.index != a.index + 1 for a, b in zip(entries, entries[1:], strict=False)):
            raise CorruptDatabase("entries are missing")
        assert self.mark is not None
        if self.number < self.mark.read():
            raise CorruptDatabase(
                f"it is older than what this head acknowledged (write {self.number}, and "
                f"{self.mark.read()} was done)"
            )
        base.execute("UPDATE meta SET value = ? WHERE key = 'boot'", (str(boot).encode(),))
        base.commit()
        voted = meta.get("voted", b"").decode() or None
        return StoredState(
            identity,
            boot,
            PersistentState(term, voted, snapshot, tuple(entries)),
            meta.get("origin", b"").decode(),
            meta.get("promised", b"").decode(),
        )

    @staticmethod
    def _entry(at: int, data: bytes, held: bytes) -> Entry:
        if checksum(data) != held:
            raise CorruptDatabase(f"entry {at} does not match its checksum")
        return msgspec.msgpack.decode(data, type=Entry)

    def _connect(self) -> sqlite3.Connection:
        base = sqlite3.connect(self.path, check_same_thread=False, isolation_level="IMMEDIATE")
        base.execute("PRAGMA busy_timeout = 2000")
        return base

    @contextlib.contextmanager
    def _doubts(self) -> Iterator[None]:
        """A file that SQLite cannot read is spoilt; one that cannot be reached at all is another matter."""
        try:
            yield
        except sqlite3.OperationalError as error:
            if any(word in str(error) for word in UNREACHABLE):
                raise
            raise CorruptDatabase(str(error)[:100]) from None
        except (sqlite3.DatabaseError, UnicodeDecodeError) as error:
            raise CorruptDatabase(str(error)[:100]) from None

    def _set_aside(self, why: str) -> str:
        """Keep the spoilt file for whoever looks into it, under a name that says so."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        aside = self.path.with_name(f"{DATABASE_FILE}.spoilt-{secrets.token_hex(4)}")
        for end in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.replace(f"{self.path}{end}", f"{aside}{end}")
        return f"{why}; set aside as {aside.name}"

    def _begin(self, why: str | None) -> StoredState:
        """A new database under a new identity."""
        self.connection = base = self._connect()
        base.executescript(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;"
            + SCHEMA
            + f"PRAGMA application_id = {APPLICATION}; PRAGMA user_version = {VERSION};"
        )
        identity = secrets.token_hex(16)
        self.number = 0
        for key, value in (("identity", identity), ("boot", "1"), ("number", "0"), ("term", "0")):
            base.execute("INSERT INTO meta VALUES (?, ?)", (key, value.encode()))
        base.commit()
        assert self.mark is not None
        self.mark.set(0)
        return StoredState(identity, 1, PersistentState(), "", "", why)

    # -- a running head -----------------------------------------------------------------------------------
    def write(self, write: Write) -> None:
        """One transaction; it is on the disk when this returns. Raises sqlite3.Error or OSError."""
        assert self.connection is not None
        with self.connection as base:
            if write.term is not None:
                self._set(base, "term", str(write.term))
                self._set(base, "voted", write.voted_for or "")
            if write.cut_from is not None:
                base.execute("DELETE FROM entries WHERE at >= ?", (write.cut_from,))
            for entry in write.entries:
                data = msgspec.msgpack.encode(entry)
                base.execute(
                    "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)", (entry.index, data, checksum(data))
                )
            if write.snapshot is not None:
                data = msgspec.msgpack.encode(write.snapshot)
                base.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?)", (data, checksum(data)))
            if write.origin is not None:
                self._set(base, "origin", write.origin)
            if write.keep_from is not None:
                base.execute("DELETE FROM entries WHERE at < ?", (write.keep_from,))
            self._number(base)
        self._done()

    def keep(self, **values: str) -> None:
        """Other promises: the fleet that this disk belongs to, and who may found it."""
        assert self.connection is not None
        with self.connection as base:
            for key, value in values.items():
                self._set(base, key, value)
            self._number(base)
        self._done()

    def kept(self, key: str) -> str:
        """What is kept under a key; "" where there is nothing."""
        assert self.connection is not None
        row = self.connection.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()
        return row[0].decode() if row else ""

    def _number(self, base: sqlite3.Connection) -> None:
        self.number += 1
        self._set(base, "number", str(self.number))

    def _done(self) -> None:
        if self.mark is not None:
            self.mark.set(self.number)

    @staticmethod
    def _set(base: sqlite3.Connection, key: str, value: str) -> None:
        base.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, value.encode()))

    def close(self) -> None:
        """Close the database."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        if self.mark is not None:
            self.mark.close()
            self.mark = None
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1
