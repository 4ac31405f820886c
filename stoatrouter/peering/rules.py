"""The shared history of rules at one head, running: checks versions beside requests, puts them in force,
keeps them.

Decides nothing: what wins stands in history/register.py, when a version is put in force in
history/activation.py.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import shutil
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec
from loguru import logger

from stoatrouter.config import ConfigError
from stoatrouter.history import kept
from stoatrouter.history.activation import Checked, decide
from stoatrouter.history.records import Abandon, Activate, Answer, Command, Version, digest_of, unpack
from stoatrouter.history.register import Register
from stoatrouter.net.tables import CompiledTable, TableService, in_thread
from stoatrouter.peering.agreed import NotAgreed
from stoatrouter.peering.envelope import Envelope
from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.settings import HeadsSettings, RulesSettings
from stoatrouter.peering.streams import Unreachable
from stoatrouter.settings import SettingsError

PART, STATUS = "rules", "rules-status"
FILE, FOLDER = "rules.kept", "rules"
EVERY = timedelta(milliseconds=50)
SAY_EVERY, SAY_PENDING = timedelta(seconds=2), timedelta(milliseconds=300)
FORGET = timedelta(seconds=10)  # a head that said nothing for so long is not counted among those that hold
WITHIN = timedelta(seconds=3)
LONGEST_WHY = 2_000  # characters


class Said(msgspec.Struct, frozen=True, array_like=True):
    """What one head says of itself to the leader."""

    active: int  # the version that it decides by; 0: its own files
    checked: int = 0  # a version that it has tried to load
    ok: bool = True
    why: str = ""


class Spread(msgspec.Struct, frozen=True, array_like=True):
    """Which version each live head decides by, as the leader knows."""

    active: dict[str, int]
    live: list[str]


@dataclass(slots=True)
class Heard:
    """What a head said, and when."""

    said: Said
    at: timedelta


def materialize(folder: Path, content: bytes) -> Path:
    """The files of a set, in a folder named by its digest; returns the operator's file."""
    made = unpack(content)
    place = folder / digest_of(made)
    if not place.exists():
        # written aside and named when whole: a process that dies in between leaves nothing that looks whole
        aside = folder / f".{secrets.token_hex(6)}"
        aside.mkdir(parents=True)
        for name, text in made.files.items():
            (aside / name).write_text(text)
        try:
            aside.rename(place)
        except OSError:
            shutil.rmtree(aside, ignore_errors=True)
            if not place.exists():
                raise
    return place / made.root


def kept_rules(settings: HeadsSettings) -> tuple[int, Path] | None:
    """The version that this head kept, and its files: what it starts with. A spoilt one is set aside."""
    file = settings.folder / FILE
    try:
        data = file.read_bytes()
    except OSError:
        return None
    try:
        found = kept.read(data)
        shutil.rmtree(settings.folder / FOLDER, ignore_errors=True)  # whatever lies there is not checksummed
        return found.number, materialize(settings.folder / FOLDER, found.content)
    except (kept.Unreadable, OSError, ValueError, msgspec.MsgspecError) as error:
        aside = file.with_name(f"{FILE}.spoilt-{secrets.token_hex(4)}")
        with contextlib.suppress(OSError):
            os.replace(file, aside)
        logger.error(
            "rules: the kept version is set aside as {aside}, this head's own files hold until "
            "another is heard: {error}",
            event="rules.kept_spoilt",
            aside=aside.name,
            error=str(error),
        )
        return None


@dataclass
class RulesService:
    """One head's part."""

    settings: RulesSettings
    fleet: Fleet
    register: Register
    tables: TableService
    active: int = 0  # the version that this head decides by
    active_since: timedelta = timedelta(0)
    made: dict[str, CompiledTable] = field(default_factory=dict)  # tables, by the digest of their set
    faults: dict[str, str] = field(default_factory=dict)  # sets that cannot be loaded here
    heard: dict[str, Heard] = field(default_factory=dict)  # at the leader
    pending_since: tuple[int, timedelta] = (0, timedelta(0))
    said: Said | None = None
    said_at: timedelta = timedelta(0)
    making: asyncio.Task[None] | None = None
    keeping: set[asyncio.Task[None]] = field(default_factory=set)
    keeping_one: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        self.tables.managed = True
        self.folder = self.fleet.settings.folder / FOLDER
        self.fleet.handlers[PART], self.fleet.handlers[STATUS] = self.hear, self.asked
        self.active_since = self.fleet.now()

    @property
    def caught_up(self) -> bool:
        """Whether this head decides by what is in force, or cannot load it."""
        newest = self.register.versions[-1] if self.register.versions else None
        return newest is None or self.active >= newest.number or newest.digest in self.faults

    async def run(self) -> None:
        """Do what there is to do, whenever something was agreed on and now and then."""
        while True:
            try:
                await self.step()
            except Exception:
                # Guards a serving head: a fault here must not end the history's work, nor the head.
                logger.exception("rules: a step failed in an unforeseen way", event="rules.step_fault")
            changed = self.fleet.agreed.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EVERY.total_seconds()):
                    await changed.wait()

    async def step(self) -> None:
        """One round: put in force, check, say so, and decide where this head leads."""
        self.put_in_force()
        self.check()
        await self.say()
        await self.lead()

    # -- this head's tables -------------------------------------------------------------------------------
    def wanted(self) -> list[Version]:
        """Versions whose tables are needed here: what is in force first."""
        newest = self.register.versions[-1:]
        pending = [self.register.pending] if self.register.pending is not None else []
        return [v for v in (*newest, *pending) if v.number > self.active]

    def check(self) -> None:
        """Make the next table that is needed, beside the requests."""
        if self.making is not None and not self.making.done():
            return
        for version in self.wanted():
            if version.digest not in self.made and version.digest not in self.faults:
                self.making = asyncio.get_running_loop().create_task(self.make(version))
                return

    async def make(self, version: Version) -> None:
        """Make the table of a version's set."""
        content = self.register.contents.get(version.digest)
        if content is None:
            return
        try:
            path = await in_thread(lambda: self.alone(version.digest, content))
            self.made[version.digest] = await self.tables.compile(path)
        except (SettingsError, ConfigError) as error:
            self.fault(version, str(error))
        except (OSError, MemoryError) as error:
            # Guards a head that is short of something others have: it says so, and serves on.
            self.fault(version, f"{type(error).__name__}: {error}")

    def alone(self, digest: str, content: bytes) -> Path:
        """The files of one set, and no older ones beside them: a table that is made needs them no more. Sets
        are made one at a time, so none goes that is being read.
        """
        for place in self.folder.iterdir() if self.folder.is_dir() else ():
            if place.name != digest:
                shutil.rmtree(place, ignore_errors=True)
        return materialize(self.folder, content)

    def fault(self, version: Version, why: str) -> None:
        """Note that a set cannot be loaded here, and why."""
        # where the set lies at this head is of no use to whoever reads it at another
        why = why.replace(f"{self.folder / version.digest}{os.sep}", "")
        self.faults[version.digest] = why[:LONGEST_WHY]
        logger.error(
            "rules: version {number} cannot be loaded: {why}",
            event="rules.unloadable",
            number=version.number,
            why=why[:LONGEST_WHY],
        )

    def put_in_force(self) -> None:
        """What is agreed on as in force, once its table is made. Numbers only go up."""
        newest = self.register.versions[-1] if self.register.versions else None
        if newest is None or newest.number <= self.active or newest.digest not in self.made:
            return
        self.tables.put(self.made[newest.digest])
        self.active, self.active_since = newest.number, self.fleet.now()
        logger.info(
            "rules: version {number} of {author} is in force here",
            event="rules.version",
            number=newest.number,
            author=newest.author,
            kind=newest.kind,
            digest=newest.digest,
        )
        self.keep(newest)
        needed = {v.digest for v in self.wanted()} | {newest.digest}
        self.made = {digest: made for digest, made in self.made.items() if digest in needed}
        self.faults = {digest: why for digest, why in self.faults.items() if digest in needed}

    def keep(self, version: Version) -> None:
        """For a start at which no other head is there."""
        content = self.register.contents[version.digest]
        data = kept.write(kept.Kept(version.number, version.digest, content, stamp()))
        file, aside = self.fleet.settings.folder / FILE, self.fleet.settings.folder / f"{FILE}.new"

        def write() -> None:
            with aside.open("wb") as opened:
                opened.write(data)
                opened.flush()
                os.fsync(opened.fileno())
            os.replace(aside, file)

        async def kept_aside() -> None:
            try:
                async with self.keeping_one:  # in order: the newest is what stays
                    await in_thread(write)
            except OSError as error:
                logger.error(
                    "rules: version {number} cannot be kept for a start without others: {error}",
                    event="rules.unkept",
                    number=version.number,
                    error=str(error),
                )

        task = asyncio.get_running_loop().create_task(kept_aside())
        self.keeping.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self.keeping.discard)

    # -- what heads say to the leader ---------------------------------------------------------------------
    def own(self) -> Said:
        """What this head has to say of itself."""
        pending = self.register.pending
        if pending is not None and pending.digest in self.faults:
            return Said(self.active, pending.number, False, self.faults[pending.digest])
        if pending is not None and pending.digest in self.made:
            return Said(self.active, pending.number)
        return Said(self.active)

    async def say(self) -> None:
        """To the leader: at once when it has changed, and now and then."""
        said, now = self.own(), self.fleet.now()
        every = SAY_PENDING if self.register.pending is not None else SAY_EVERY
        if said == self.said and now < self.said_at + every:
            return
        self.said, self.said_at = said, now
        leader = self.fleet.leader
        if leader == self.fleet.settings.name:
            self.heard[leader] = Heard(said, now)
        elif leader is not None:
            with contextlib.suppress(Unreachable):
                await self.fleet.streams.ask(leader, PART, msgspec.msgpack.encode(said), timedelta(seconds=1))

    async def hear(self, envelope: Envelope) -> bytes:
        """At the leader: what another head says of itself."""
        said = msgspec.msgpack.decode(envelope.body, type=Said)
        self.heard[envelope.sender.name] = Heard(said, self.fleet.now())
        return b""

    # -- the leader ---------------------------------------------------------------------------------------
    async def lead(self) -> None:
        """At the leader: decide about the version that is being put in force."""
        pending = self.register.pending
        if pending is None or not self.fleet.agreed.raft.settled:
            self.pending_since = (0, timedelta(0))
            return
        now = self.fleet.now()
        if self.pending_since[0] != pending.number:
            self.pending_since = (pending.number, now)
        self.heard[self.fleet.settings.name] = Heard(self.own(), now)
        said = {
            name: Checked(h.said.ok, h.said.why)
            for name, h in self.heard.items()
            if h.said.checked == pending.number
        }
        decided = decide(
            pending.number,
            said,
            self.fleet.live(),
            now - self.pending_since[1],
            self.settings.check_within,
            self.settings.versions,
        )
        if decided is not None:
            await self.bring(decided)

    async def bring(self, decided: Activate | Abandon) -> None:
        """Bring a decision through; whoever leads next decides anew where that fails."""
        id = f"rules/{type(decided).__name__}/{decided.number}/{self.fleet.me.identity}"
        try:
            await self.command(decided, id)
        except NotAgreed:
            return  # whoever leads next decides anew
        if isinstance(decided, Abandon):
            logger.warning(
                "rules: version {number} is abandoned: {why}",
                event="rules.abandoned",
                number=decided.number,
                why=decided.why,
            )

    async def asked(self, envelope: Envelope) -> bytes:
        """At the leader: answer which version each head decides by."""
        return msgspec.msgpack.encode(self.spread_here())

    def spread_here(self) -> Spread:
        """Which version each head decides by, as this leader knows."""
        now = self.fleet.now()
        self.heard[self.fleet.settings.name] = Heard(self.own(), now)
        return Spread(
            {name: h.said.active for name, h in self.heard.items() if now < h.at + FORGET},
            sorted(self.fleet.live()),
        )

    async def spread(self) -> Spread | None:
        """Which version each head decides by, from the leader; None where it is not reached."""
        leader = self.fleet.leader
        if leader == self.fleet.settings.name:
            return self.spread_here()
        try:
            _, body = await self.fleet.streams.ask(leader or "", STATUS, b"", timedelta(seconds=1))
            return msgspec.msgpack.decode(body, type=Spread)
        except (Unreachable, msgspec.MsgspecError):
            return None

    # -- for operators ------------------------------------------------------------------------------------
    async def command(self, command: Command, id: str) -> Answer:
        """Bring a command through; raises NotAgreed."""
        body = msgspec.msgpack.encode(command)
        return msgspec.msgpack.decode(await self.fleet.command(PART, body, id, WITHIN), type=Answer)

    async def close(self) -> None:
        """Stop making tables; what is being kept is written to its end."""
        if self.making is not None:
            self.making.cancel()
            await asyncio.gather(self.making, return_exceptions=True)
        await asyncio.gather(*self.keeping, return_exceptions=True)


def stamp() -> str:
    """The time of day, as the history has it."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")
