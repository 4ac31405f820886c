"""Durability: a write that has returned survives a crash, and a head never votes from a corrupted disk."""

from __future__ import annotations

import os
import shutil
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from stoatrouter.agreement.raft import Raft
from stoatrouter.agreement.records import Entry, PersistentState, Snapshot, Voter, Write
from stoatrouter.config import ConfigError
from stoatrouter.peering.envelope import Envelope, EnvelopeSealer, read_secret
from stoatrouter.peering.errors import MessageRejected
from stoatrouter.peering.storage import COMMIT_FILE, DATABASE_FILE, MARK_FILE, Storage

ROOT = Path(__file__).parent.parent.parent


def open_storage(folder: Path):
    storage = Storage(folder)
    return storage, storage.open()


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, "c", b"x%d" % index)


def write_entries(folder: Path, count: int = 5) -> str:
    storage, found = open_storage(folder)
    storage.write(Write(term=3, voted_for="somebody"))
    for i in range(1, count + 1):
        storage.write(Write(entries=(entry(i),)))
    storage.close()
    return found.identity


def test_what_was_written_is_found_with_the_same_identity(tmp_path):
    identity = write_entries(tmp_path)
    storage, found = open_storage(tmp_path)
    assert (found.identity, found.reset_reason, found.start_count) == (identity, None, 2)
    assert (found.disk.term, found.disk.voted_for) == (3, "somebody")
    assert found.disk.entries == tuple(entry(i) for i in range(1, 6))
    snapshot = Snapshot(4, 1, (Voter("a", "1"),), b"state")
    storage.write(Write(cut_from=5, entries=(entry(5, 9),), snapshot=snapshot, keep_from=4))
    storage.close()
    found = open_storage(tmp_path)[1]
    assert found.disk.snapshot == snapshot and found.disk.entries == (entry(4), entry(5, 9))


def test_what_was_committed_is_found_and_reset_with_the_database(tmp_path):
    write_entries(tmp_path)
    storage, found = open_storage(tmp_path)
    assert found.disk.commit == 0, "a folder of an earlier version has no commit file"
    storage.record_commit(4)
    storage.close()
    storage, found = open_storage(tmp_path)
    assert found.disk.commit == 4
    storage.close()
    (tmp_path / DATABASE_FILE).unlink()
    storage, found = open_storage(tmp_path)
    assert found.disk.commit == 0 and found.reset_reason
    storage.record_commit(3)
    storage.close()
    torn = bytearray((tmp_path / COMMIT_FILE).read_bytes())
    torn[:8] = bytes(8)
    (tmp_path / COMMIT_FILE).write_bytes(torn)
    assert open_storage(tmp_path)[1].disk.commit == 0, "of two differing halves the lower one counts"


def test_no_more_is_restored_than_the_log_holds():
    entries = tuple(entry(i) for i in range(3, 6))
    disk = PersistentState(1, None, Snapshot(2, 1, (), b""), entries, commit=9)
    raft = Raft(Voter("a", "1"), disk, 1)
    assert raft.restored_entries() == entries and raft.commit_index == 5
    raft = Raft(Voter("a", "1"), msgspec.structs.replace(disk, commit=4), 1)
    assert raft.restored_entries() == entries[:2] and raft.last_applied == 4
    raft = Raft(Voter("a", "1"), msgspec.structs.replace(disk, commit=1), 1)
    assert raft.restored_entries() == () and raft.commit_index == 2


CHILD_PROGRAM = """
import sys
from pathlib import Path
from stoatrouter.agreement.records import Entry, Write
from stoatrouter.peering.storage import Storage
storage = Storage(Path(sys.argv[1]))
storage.open()
for i in range(1, 100000):
    storage.write(Write(term=i, voted_for=f"v{i}", entries=(Entry(i, i, "c", b"x" * 100),)))
    print(i, flush=True)
"""


def test_a_killed_process_loses_nothing_that_had_returned(tmp_path):
    child = subprocess.Popen(
        [sys.executable, "-c", CHILD_PROGRAM, str(tmp_path)],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )
    try:
        assert child.stdout is not None
        last = 0
        while last < 50:
            last = int(child.stdout.readline())
        child.send_signal(signal.SIGKILL)
        last = int((child.stdout.read().split() or [str(last).encode()])[-1])
    finally:
        child.kill()
        child.wait()
    found = open_storage(tmp_path)[1]
    assert found.reset_reason is None
    assert found.disk.term >= last and len(found.disk.entries) == found.disk.term


@pytest.mark.parametrize("damage", ["empty", "torn", "flipped", "older", "no_log", "gone", "not_a_database"])
def test_a_spoilt_disk_is_another_identity_and_its_file_is_kept(tmp_path, damage):
    disk = tmp_path / "disk"
    copy = tmp_path / "copy"
    identity = write_entries(disk, 3)
    shutil.copytree(disk, copy)
    storage, _ = open_storage(disk)
    for i in range(4, 40):
        storage.write(Write(entries=(Entry(i, 1, "c", b"y" * 900),)))
    storage.close()
    file = disk / DATABASE_FILE
    data = file.read_bytes()
    if damage == "empty":
        file.write_bytes(b"")
    elif damage == "torn":
        file.write_bytes(data[: len(data) // 2])
    elif damage == "flipped":
        database = sqlite3.connect(file)
        database.execute("UPDATE entries SET data = replace(data, 'y', 'z') WHERE at = 20")
        database.commit()
        database.close()
    elif damage == "older":
        shutil.copy(copy / DATABASE_FILE, file)
    elif damage == "no_log":
        database = sqlite3.connect(file)
        database.execute("DELETE FROM entries WHERE at = 7")
        database.commit()
        database.close()
    elif damage == "gone":
        file.unlink()
    else:
        file.write_bytes(b"no database at all" * 100)
    storage, found = open_storage(disk)
    assert found.identity != identity and found.reset_reason and found.writable
    assert not found.disk.entries and found.disk.term == 0
    if damage != "gone":
        assert any("spoilt" in name.name for name in disk.iterdir())
    storage.write(Write(term=1))  # the disk can be used again
    storage.close()
    assert open_storage(disk)[1].reset_reason is None


def test_another_programs_database_ends_the_start_and_is_left_alone(tmp_path):
    database = sqlite3.connect(tmp_path / DATABASE_FILE)
    database.execute("CREATE TABLE theirs (a)")
    database.commit()
    database.close()
    before = (tmp_path / DATABASE_FILE).read_bytes()
    with pytest.raises(ConfigError, match="belongs to another program"):
        open_storage(tmp_path)
    assert (tmp_path / DATABASE_FILE).read_bytes() == before


def test_two_processes_never_use_one_folder(tmp_path):
    storage, _ = open_storage(tmp_path)
    with pytest.raises(ConfigError, match="another process of this head"):
        open_storage(tmp_path)
    storage.close()
    assert open_storage(tmp_path)[1].reset_reason is None


def test_a_later_schema_ends_the_start(tmp_path):
    write_entries(tmp_path)
    database = sqlite3.connect(tmp_path / DATABASE_FILE)
    database.execute("PRAGMA user_version = 99")
    database.close()
    with pytest.raises(ConfigError, match="later version"):
        open_storage(tmp_path)


def test_a_folder_that_cannot_be_made_is_a_head_without_a_voice(tmp_path):
    (tmp_path / "file").write_text("")
    _, found = open_storage(tmp_path / "file" / "disk")
    assert not found.writable and "takes no writes" in (found.reset_reason or "")


def test_a_full_disk_fails_the_write_and_loses_nothing_before_it(tmp_path):
    write_entries(tmp_path, 5)
    storage, _ = open_storage(tmp_path)
    assert storage.connection is not None
    pages = storage.connection.execute("PRAGMA page_count").fetchone()[0]
    storage.connection.execute(f"PRAGMA max_page_count = {pages + 1}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        for i in range(6, 100):
            storage.write(Write(entries=(Entry(i, 1, "c", os.urandom(3000)),)))
            last = i
    storage.close()
    found = open_storage(tmp_path)[1]
    assert found.reset_reason is None and len(found.disk.entries) >= 5
    assert (tmp_path / MARK_FILE).exists() and last


# -- messages on streams ---------------------------------------------------------------------------------
def sealed(secret: bytes = b"k" * 64, fleet: str = "f", to: str = "b", process: int = 5) -> bytes:
    return EnvelopeSealer(secret, fleet, "a").seal(
        Envelope("o", Voter("a", "1"), process, to, 1, "agree", b"x")
    )


def test_only_this_fleets_latest_process_is_believed_and_only_what_is_for_this_head():
    sealer = EnvelopeSealer(b"k" * 64, "f", "b")
    assert sealer.unseal(sealed()).body == b"x"
    for data, reason in (
        (sealed(b"l" * 64), "foreign"),
        (sealed(fleet="g"), "foreign"),
        (sealed(to="c"), "for_another"),
        (b"", "foreign"),
        (sealed()[:-1], "foreign"),
    ):
        with pytest.raises(MessageRejected, match=reason):
            sealer.unseal(data)
    sealer.unseal(sealed(process=6))
    with pytest.raises(MessageRejected, match="older_process"):
        sealer.unseal(sealed(process=5))


def test_a_short_or_missing_secret_is_refused_with_what_would_be_right(tmp_path):
    (tmp_path / "s").write_text("short")
    with pytest.raises(ConfigError, match="32 or more"):
        read_secret(tmp_path / "s")
    with pytest.raises(ConfigError, match="cannot be read"):
        read_secret(tmp_path / "none")
