"""Rules on a head's disk: the stored version, and the files of rule sets for the compiler.

The stored version (`rules.kept`) has a checksum, and is replaced atomically after the new file is on the
disk. The folder `rules/` beside it has no checksums: at a start it is rewritten from the stored version.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import shutil
from dataclasses import dataclass
from pathlib import Path

import msgspec
from loguru import logger

from stoatrouter.history.records import Version, digest_rule_set, unpack_rule_set
from stoatrouter.history.stored_version import (
    CorruptVersionError,
    StoredVersion,
    decode_stored_version,
    encode_stored_version,
)
from stoatrouter.net.tables import run_in_thread
from stoatrouter.peering.timestamps import utc_timestamp

VERSION_FILE = "rules.kept"
RULE_SETS_FOLDER = "rules"


@dataclass(frozen=True, slots=True)
class LoadedVersion:
    """The version that a head starts with."""

    number: int
    root: Path  # the root rule file of the set


def write_rule_set(folder: Path, packed: bytes) -> Path:
    """Write the files of a rule set to a folder named by the set's digest.

    Args:
        folder: The folder of all rule sets.
        packed: The rule set, encoded by `pack_rule_set`.

    Returns:
        The path of the set's root file.

    Raises:
        OSError: The files cannot be written.
        ValueError: A file's name or text cannot be written.
        msgspec.MsgspecError: The bytes are not a rule set.
    """
    rule_set = unpack_rule_set(packed)
    place = folder / digest_rule_set(rule_set)
    if not place.exists():
        # Written to a temporary folder and renamed when complete: a crash leaves no partial set.
        temporary = folder / f".{secrets.token_hex(6)}"
        temporary.mkdir(parents=True)
        for name, text in rule_set.files.items():
            (temporary / name).write_text(text)
        try:
            temporary.rename(place)
        except OSError:
            shutil.rmtree(temporary, ignore_errors=True)
            if not place.exists():
                raise
    return place / rule_set.root


class RuleStore:
    """One head's rules on disk."""

    def __init__(self, folder: Path) -> None:
        """Use the head's folder.

        Args:
            folder: It must persist across restarts; nothing is read or written yet.
        """
        self.version_file = folder / VERSION_FILE
        self.rule_sets = folder / RULE_SETS_FOLDER
        self._writes: set[asyncio.Task[None]] = set()
        self._write_order = asyncio.Lock()

    def load(self) -> LoadedVersion | None:
        """Load the stored version and write its files; one that cannot be used is moved aside.

        Returns:
            The version; None if none is stored, or it cannot be used.
        """
        try:
            data = self.version_file.read_bytes()
        except OSError:
            return None
        try:
            stored = decode_stored_version(data)
            shutil.rmtree(self.rule_sets, ignore_errors=True)  # its files have no checksums
            return LoadedVersion(stored.number, write_rule_set(self.rule_sets, stored.packed_rules))
        except (CorruptVersionError, OSError, ValueError, msgspec.MsgspecError) as error:
            self._set_aside(error)
            return None

    def _set_aside(self, error: Exception) -> None:
        aside = self.version_file.with_name(f"{VERSION_FILE}.spoilt-{secrets.token_hex(4)}")
        with contextlib.suppress(OSError):
            os.replace(self.version_file, aside)
        logger.error(
            "rules: the stored version cannot be used and was moved to {aside}; using this head's own "
            "files until another head answers: {error}",
            event="rules.kept_spoilt",
            aside=aside.name,
            error=str(error),
        )

    def extract(self, digest: str, packed: bytes) -> Path:
        """Write the files of one set and remove all others; return the path of the set's root file.

        A compiled table no longer needs its files, and sets are compiled one at a time, so none is removed
        while it is read. Raises what `write_rule_set` raises.
        """
        for place in self.rule_sets.iterdir() if self.rule_sets.is_dir() else ():
            if place.name != digest:
                shutil.rmtree(place, ignore_errors=True)
        return write_rule_set(self.rule_sets, packed)

    def save_in_background(self, version: Version, packed: bytes) -> None:
        """Store a version for starts without other heads, in a thread; a failure is logged."""
        data = encode_stored_version(StoredVersion(version.number, version.digest, packed, utc_timestamp()))
        task = asyncio.get_running_loop().create_task(self._save(version.number, data))
        self._writes.add(task)  # the event loop holds only weak references to tasks
        task.add_done_callback(self._writes.discard)

    async def _save(self, number: int, data: bytes) -> None:
        try:
            async with self._write_order:  # so that the newest version is written last
                await run_in_thread(lambda: self._replace_version_file(data))
        except OSError as error:
            logger.error(
                "rules: version {number} cannot be stored for starts without other heads: {error}",
                event="rules.unkept",
                number=number,
                error=str(error),
            )

    def _replace_version_file(self, data: bytes) -> None:
        temporary = self.version_file.with_name(f"{VERSION_FILE}.new")
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.version_file)

    async def close(self) -> None:
        """Wait until pending writes are on the disk."""
        await asyncio.gather(*self._writes, return_exceptions=True)
