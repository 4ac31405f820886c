"""Durable storage of a head's log, votes and promises: an SQLite database and two mapped numbers beside it.

A write that has returned survives a crash of the process or the machine (WAL with synchronous=FULL). A
database that is corrupt, or older than the last write that this head acknowledged (`heads.mark`), must not be
voted from: it is moved aside, and the head continues under a new identity, without a vote. One that belongs
to another program or a later version is left untouched, and the start fails.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import os
import secrets
import sqlite3
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stoatrouter.agreement.records import Entry, PersistentState, Snapshot, Write
from stoatrouter.config import ConfigError
from stoatrouter.peering.errors import CorruptDatabase, StorageClosed
from stoatrouter.peering.mapped_counter import MappedCounter

APPLICATION_ID = 0x53544F54  # "STOT"
SCHEMA_VERSION = 1
DATABASE_FILE, MARK_FILE, LOCK_FILE = "heads.db", "heads.mark", "heads.lock"
COMMIT_FILE = "heads.commit"  # the commit index of the log in the database, or a lower one
SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE entries (at INTEGER PRIMARY KEY, data BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), data BLOB NOT NULL, sum BLOB NOT NULL);
"""
BUSY_TIMEOUT_MS = 2_000
# Texts in SQLite's errors about a file that it cannot open or write, as opposed to a corrupt one.
UNREACHABLE_ERRORS = ("readonly", "unable to open", "disk I/O", "full", "locked")
MAX_CAUSE_LENGTH = 100  # characters of SQLite's text that an error quotes


@dataclass(slots=True, frozen=True)
class StoredState:
    """What a start found on the disk, or created there."""

    identity: str  # of the disk; a new one whenever promises may have been lost
    start_count: int  # how many processes have started with this disk
    disk: PersistentState
    origin: str  # identity of the fleet that this disk belongs to; "": none
    promised: str  # the founder whose fleet this head has promised to join; "": none
    reset_reason: str | None = None  # why the identity is new, if there was one before
    writable: bool = True  # False: the disk takes no writes, nothing is stored


@dataclass(slots=True, frozen=True)
class BootstrapWrite:
    """A write of the fleet's bootstrap; a field that is None stays unchanged."""

    origin: str | None = None  # the fleet that this disk belongs to
    promised: str | None = None  # the founder whose fleet this head has promised to join


class Storage:
    """One head's database, and the two numbers beside it.

    All calls except `record_commit` must come from one thread at a time; `open` precedes any write.

    Attributes:
        connection: The open database; None before `open`, after `close` and if the disk takes no writes.
    """

    def __init__(self, folder: Path) -> None:
        """Store the folder's path; nothing in it is accessed before `open`."""
        self.connection: sqlite3.Connection | None = None
        self._folder = folder
        self._path = folder / DATABASE_FILE
        self._mark: MappedCounter | None = None
        self._commit: MappedCounter | None = None
        self._lock = -1
        self._write_number = 0  # of the last write

    # -- start --------------------------------------------------------------------------------------------
    def open(self) -> StoredState:
        """Read the stored state, or create a new one.

        Returns:
            The state. A disk that takes no writes is not an error: the head serves without a vote.

        Raises:
            ConfigError: The folder is in use, or its database belongs to another program or a later version.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock_folder()
            self._mark = MappedCounter(self._folder / MARK_FILE)
            self._commit = MappedCounter(self._folder / COMMIT_FILE)
            return self._load_or_reset(self._mark, self._commit)
        except (sqlite3.Error, OSError) as error:
            # A head whose disk is full or read-only has to start all the same.
            self.close()
            reason = f"the disk takes no writes: {error}"
            return StoredState(secrets.token_hex(16), 0, PersistentState(), "", "", reason, writable=False)

    def _lock_folder(self) -> None:
        """Prevent two processes of one head, which would vote twice under one identity.

        The operating system releases the lock of a killed process.
        """
        self._lock = os.open(self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ConfigError(
                f"{self._folder}: another process of this head uses the folder; end it first "
                "(with heads that know each other on, a new version does not start beside the "
                "old one)"
            ) from None

    def _load_or_reset(self, mark: MappedCounter, commit: MappedCounter) -> StoredState:
        """Load the database; a corrupt one is moved aside and replaced by a new one."""
        reset_reason = None
        try:
            if self._path.exists():
                return self._load_existing(mark, commit)
            if mark.read():
                raise CorruptDatabase("the database is gone")
        except CorruptDatabase as error:
            reset_reason = self._set_aside(str(error)) if self._path.exists() else str(error)
        commit.set(0)
        return self._create(mark, reset_reason)

    def _load_existing(self, mark: MappedCounter, commit: MappedCounter) -> StoredState:
        connection = self._connect()
        self._check_owner(connection)
        with corruption_detected():
            if connection.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise CorruptDatabase("the database is damaged")
            return self._load(connection, mark, commit.read())

    def _check_owner(self, connection: sqlite3.Connection) -> None:
        """Raise ConfigError if the database belongs to another program or a later version."""
        with corruption_detected():
            application = connection.execute("PRAGMA application_id").fetchone()[0]
            version = connection.execute("PRAGMA user_version").fetchone()[0]
            tables = connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if application != APPLICATION_ID and tables:
            raise ConfigError(f"{self._path}: this database belongs to another program; name another folder")
        if version > SCHEMA_VERSION:
            raise ConfigError(
                f"{self._path}: written by a later version (schema {version}, this one knows "
                f"{SCHEMA_VERSION}); start that version, or name another folder"
            )

    def _load(self, connection: sqlite3.Connection, mark: MappedCounter, commit: int) -> StoredState:
        """Read and check all tables, and count the start; raises CorruptDatabase."""
        meta: dict[str, bytes] = dict(connection.execute("SELECT key, value FROM meta"))
        try:
            identity = meta["identity"].decode()
            start_count = int(meta["boot"]) + 1
            self._write_number = int(meta["number"])
            entries = read_entries(connection)
            snapshot = read_snapshot(connection)
            term = int(meta.get("term", b"0"))
        except (KeyError, ValueError, msgspec.MsgspecError) as error:
            raise CorruptDatabase(f"a record cannot be read: {error!r}") from None
        check_contiguous(entries)
        self._check_acknowledged(mark)
        connection.execute("UPDATE meta SET value = ? WHERE key = 'boot'", (str(start_count).encode(),))
        connection.commit()
        voted = meta.get("voted", b"").decode() or None
        origin = meta.get("origin", b"").decode()
        promised = meta.get("promised", b"").decode()
        return StoredState(
            identity, start_count, PersistentState(term, voted, snapshot, entries, commit), origin, promised
        )

    def _check_acknowledged(self, mark: MappedCounter) -> None:
        """Raise CorruptDatabase if the database is older than the last acknowledged write."""
        acknowledged = mark.read()
        if self._write_number < acknowledged:
            raise CorruptDatabase(
                f"it is older than what this head acknowledged (write {self._write_number}, and "
                f"{acknowledged} was done)"
            )

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self._path, check_same_thread=False, isolation_level="IMMEDIATE")
        self.connection = connection
        connection.execute(f"PRAGMA busy_timeout = {BUSY_TIMEOUT_MS}")
        return connection

    def _set_aside(self, reason: str) -> str:
        """Move the corrupt file aside for inspection; return the reason, with its new name."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        aside = self._path.with_name(f"{DATABASE_FILE}.spoilt-{secrets.token_hex(4)}")
        for suffix in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.replace(f"{self._path}{suffix}", f"{aside}{suffix}")
        return f"{reason}; set aside as {aside.name}"

    def _create(self, mark: MappedCounter, reset_reason: str | None) -> StoredState:
        """Create a new database under a new identity."""
        connection = self._connect()
        connection.executescript(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;"
            + SCHEMA
            + f"PRAGMA application_id = {APPLICATION_ID}; PRAGMA user_version = {SCHEMA_VERSION};"
        )
        identity = secrets.token_hex(16)
        self._write_number = 0
        for key, value in (("identity", identity), ("boot", "1"), ("number", "0"), ("term", "0")):
            connection.execute("INSERT INTO meta VALUES (?, ?)", (key, value.encode()))
        connection.commit()
        mark.set(0)
        return StoredState(identity, 1, PersistentState(), "", "", reset_reason)

    # -- a running head -----------------------------------------------------------------------------------
    def write(self, write: Write) -> None:
        """Carry out one transaction of the agreement; it is on the disk when this returns.

        Raises:
            sqlite3.Error: The disk takes no writes.
            OSError: As above.
            StorageClosed: No database is open.
        """
        with self._transaction() as connection:
            if write.term is not None:
                set_meta(connection, "term", str(write.term))
                set_meta(connection, "voted", write.voted_for or "")
            if write.cut_from is not None:
                connection.execute("DELETE FROM entries WHERE at >= ?", (write.cut_from,))
            insert_entries(connection, write.entries)
            if write.snapshot is not None:
                insert_snapshot(connection, write.snapshot)
            if write.origin is not None:
                set_meta(connection, "origin", write.origin)
            if write.keep_from is not None:
                connection.execute("DELETE FROM entries WHERE at < ?", (write.keep_from,))

    def write_bootstrap(self, write: BootstrapWrite) -> None:
        """Store a write of the fleet's bootstrap; it is on the disk when this returns.

        Raises:
            sqlite3.Error: The disk takes no writes.
            OSError: As above.
            StorageClosed: No database is open.
        """
        with self._transaction() as connection:
            if write.origin is not None:
                set_meta(connection, "origin", write.origin)
            if write.promised is not None:
                set_meta(connection, "promised", write.promised)

    def record_commit(self, index: int) -> None:
        """Record that stored entries up to an index are committed; may be called from any thread.

        The number survives a kill of the process. After a crash of the machine or a torn write it may be
        lower, and fewer entries are restored as committed.
        """
        if self._commit is not None:
            self._commit.set(index)

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """Number and commit a transaction, and record its number as acknowledged once it is on the disk."""
        if self.connection is None:
            raise StorageClosed("no database is open: `open` comes before a write, `close` after the last")
        with self.connection as connection:
            yield connection
            self._write_number += 1
            set_meta(connection, "number", str(self._write_number))
        if self._mark is not None:
            self._mark.set(self._write_number)

    def close(self) -> None:
        """Close the database and the numbers beside it, and unlock the folder."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        if self._mark is not None:
            self._mark.close()
            self._mark = None
        if self._commit is not None:
            self._commit.close()
            self._commit = None
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


# -- rows -------------------------------------------------------------------------------------------------
def checksum(data: bytes) -> bytes:
    """Return the checksum of a row: 16 bytes of BLAKE2b."""
    return hashlib.blake2b(data, digest_size=16).digest()


def set_meta(connection: sqlite3.Connection, key: str, value: str) -> None:
    """Store a value under a key of the table `meta`."""
    connection.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, value.encode()))


def insert_entries(connection: sqlite3.Connection, entries: Sequence[Entry]) -> None:
    """Store entries of the log, replacing those at the same indices."""
    for entry in entries:
        data = msgspec.msgpack.encode(entry)
        connection.execute(
            "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)", (entry.index, data, checksum(data))
        )


def insert_snapshot(connection: sqlite3.Connection, snapshot: Snapshot) -> None:
    """Store a snapshot, replacing the previous one."""
    data = msgspec.msgpack.encode(snapshot)
    connection.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?)", (data, checksum(data)))


def read_entries(connection: sqlite3.Connection) -> tuple[Entry, ...]:
    """Read the entries of the log, in order; raises CorruptDatabase if a checksum fails."""
    rows = connection.execute("SELECT at, data, sum FROM entries ORDER BY at")
    return tuple(read_entry(index, data, stored_checksum) for index, data, stored_checksum in rows)


def read_entry(index: int, data: bytes, stored_checksum: bytes) -> Entry:
    """Decode one entry; raises CorruptDatabase if its checksum fails."""
    if checksum(data) != stored_checksum:
        raise CorruptDatabase(f"entry {index} does not match its checksum")
    return msgspec.msgpack.decode(data, type=Entry)


def read_snapshot(connection: sqlite3.Connection) -> Snapshot:
    """Read the snapshot, or return an empty one; raises CorruptDatabase if its checksum fails."""
    snapshot = Snapshot(0, 0, (), b"")
    for data, stored_checksum in connection.execute("SELECT data, sum FROM snapshot"):
        if checksum(data) != stored_checksum:
            raise CorruptDatabase("the snapshot does not match its checksum")
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    return snapshot


def check_contiguous(entries: Sequence[Entry]) -> None:
    """Raise CorruptDatabase unless the indices of the entries are contiguous."""
    if any(after.index != before.index + 1 for before, after in zip(entries, entries[1:], strict=False)):
        raise CorruptDatabase("entries are missing")


@contextlib.contextmanager
def corruption_detected() -> Iterator[None]:
    """Convert SQLite's errors about a corrupt file to CorruptDatabase; those about access pass through."""
    try:
        yield
    except sqlite3.OperationalError as error:
        if any(text in str(error) for text in UNREACHABLE_ERRORS):
            raise
        raise CorruptDatabase(str(error)[:MAX_CAUSE_LENGTH]) from None
    except (sqlite3.DatabaseError, UnicodeDecodeError) as error:
        raise CorruptDatabase(str(error)[:MAX_CAUSE_LENGTH]) from None
