"""Runs the agreement: its messages, its disk, and whoever waits for a command or a read. Decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from stoatrouter.agreement.machine import Command, CommandAnswer, Machine, encode
from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
    VOTERS,
    Accepted,
    AnyMessage,
    Apply,
    CommittedReceived,
    Compact,
    DiskFailed,
    Effect,
    Entry,
    Event,
    LeaderChanged,
    LogLost,
    Persist,
    PersistentState,
    Propose,
    Read,
    ReadConfirmed,
    Received,
    Rejected,
    Restore,
    Send,
    Snapshot,
    Tick,
    Voter,
    Write,
    WriteCompleted,
)
from stoatrouter.peering.disk_writer import Writer
from stoatrouter.peering.errors import ReplicationError
from stoatrouter.peering.storage import Storage, StoredState

TICK = timedelta(milliseconds=20)
COMPACT_ENTRIES, COMPACT_BYTES = 1_000, 8 * 1024 * 1024  # applied since the last snapshot


class Replication:
    """One head's agreement, running."""

    def __init__(
        self,
        me: Voter,
        stored: StoredState,
        storage: Storage,
        machine: Machine,
        timing: Timing,
        seed: int,
        now: Callable[[], timedelta],
        send: Callable[[Voter, AnyMessage], None],
        notify: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.machine, self.now, self.send, self.notify = machine, now, send, notify
        self.raft = Raft(me, stored.disk, seed, timing, now=now())
        self.raft.abstains = not stored.writable
        self.writer = Writer(storage, self.loop, self.disk_failed, stored.writable)
        self.disk_writable = stored.writable
        self.size = 0  # bytes applied since the last snapshot
        self.waiting: dict[int, tuple[int, asyncio.Future[bytes]]] = {}  # by index: the term, and who waits
        self.reads: dict[str, asyncio.Future[int]] = {}  # reads under way
        self.taken: dict[str, tuple[int, int]] = {}
        self.refused: dict[str, str] = {}
        self.number = 0
        self.changed = asyncio.Event()  # set and replaced when something was applied
        self.listeners: list[Callable[[Entry, CommandAnswer | None], None]] = []
        self.restore_listeners: list[Callable[[], None]] = []

    def restart(self, snapshot: Snapshot) -> None:
        """Begin with what the disk holds, once all parts of the machine are known."""
        self.machine.restore(snapshot.index, snapshot.state)

    # -- for callers --------------------------------------------------------------------------------------
    async def propose(self, body: bytes, kind: str, within: timedelta) -> bytes:
        """Bring an entry through, here at the leader: the command's answer. Raises ReplicationError."""
        self.number += 1
        name = f"p{self.number}"
        self.put(Propose(self.now(), name, body, kind))
        if (why := self.refused.pop(name, None)) is not None:
            raise ReplicationError(why)
        index, term = self.taken.pop(name)
        future: asyncio.Future[bytes] = self.loop.create_future()
        self.waiting[index] = (term, future)
        try:
            async with asyncio.timeout(within.total_seconds()):
                return await future
        except TimeoutError:
            raise ReplicationError("it was not agreed on in time") from None
        finally:
            self.waiting.pop(index, None)

    async def command(self, command: Command, within: timedelta) -> bytes:
        """Bring a command through, here at the leader; its answer. Raises ReplicationError."""
        return await self.propose(encode(command), "c", within)

    async def change_voters(self, body: bytes, within: timedelta) -> None:
        """Bring a change of the voters through, here at the leader. Raises ReplicationError."""
        await self.propose(body, VOTERS, within)

    async def read(self, within: timedelta) -> int:
        """Up to which index a read must have applied; raises ReplicationError."""
        self.number += 1
        name = f"r{self.number}"
        future = self.reads[name] = self.loop.create_future()
        try:
            self.put(Read(self.now(), name))
            async with asyncio.timeout(within.total_seconds()):
                return await future
        except TimeoutError:
            raise ReplicationError("no majority confirmed it in time") from None
        finally:
            self.reads.pop(name, None)

    async def applied(self, index: int, within: timedelta) -> bool:
        """Wait until an index is applied here; whether it is."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                while self.machine.index < index:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def hear(self, sender: Voter, message: AnyMessage) -> None:
        """A message of the agreement has come."""
        self.put(Received(self.now(), sender, message))

    def learn(
        self,
        prev_index: int,
        prev_term: int,
        entries: tuple[Entry, ...],
        commit: int,
        snapshot: Snapshot | None,
    ) -> None:
        """Take in what a voter tells as committed."""
        self.put(CommittedReceived(self.now(), prev_index, prev_term, entries, commit, snapshot))

    # -- events in, effects out ---------------------------------------------------------------------------
    def put(self, event: Event) -> None:
        """Reduce an event, and run its effects in order."""
        for effect in self.raft.reduce(event):
            self.run(effect)

    def run(self, effect: Effect) -> None:
        """Run one effect."""
        match effect:
            case Send():
                self.send(effect.to, effect.message)
            case Persist():
                self.writer.put(effect.write, lambda: self.wrote(effect))
            case Apply():
                self.apply(effect.entries)
            case Restore():
                self.restore(effect.snapshot)
            case Accepted():
                self.taken[effect.id] = (effect.index, effect.term)
            case Rejected():
                self.not_taken(effect)
            case ReadConfirmed():
                if (future := self.reads.get(effect.id)) is not None and not future.done():
                    future.set_result(effect.index)
            case LeaderChanged():
                logger.info(
                    "heads: term {term}, {leader} leads",
                    event="heads.role",
                    term=effect.term,
                    leader=effect.leader or "nobody known",
                )
                self.notify()
            case LogLost():
                logger.error(
                    "heads: the disk holds {held} of {acknowledged} entries acknowledged: it votes no more",
                    event="heads.forgot",
                    held=effect.last_on_disk,
                    acknowledged=effect.acknowledged,
                )

    def wrote(self, effect: Persist) -> None:
        """A write is on the disk: what has waited for it goes out."""
        for send in effect.then:
            self.send(send.to, send.message)
        self.put(WriteCompleted(self.now(), effect.number))

    def not_taken(self, effect: Rejected) -> None:
        """A proposal or read is refused: whoever waits for it is told."""
        future = self.reads.get(effect.id)
        if future is None:
            self.refused[effect.id] = effect.reason
        elif not future.done():
            future.set_exception(ReplicationError(effect.reason))

    def apply(self, entries: tuple[Entry, ...]) -> None:
        """Apply committed entries, and answer those who wait for them."""
        for entry in entries:
            answer = self.machine.apply(entry)
            self.size += len(entry.body)
            term, future = self.waiting.get(entry.index, (0, None))
            if future is not None and not future.done():
                if term == entry.term:
                    future.set_result(answer.body if answer is not None else b"")
                else:
                    future.set_exception(ReplicationError("another leader's entry took its place"))
            for listener in self.listeners:
                listener(entry, answer)
        self.notify_applied()
        behind = self.machine.index - self.raft.log.snapshot.index
        if behind >= COMPACT_ENTRIES or self.size >= COMPACT_BYTES:
            self.size = 0
            self.put(Compact(self.now(), self.machine.index, self.machine.state()))

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all that was applied by a snapshot."""
        logger.info("heads: caught up by a snapshot at {index}", event="heads.restored", index=snapshot.index)
        self.machine.restore(snapshot.index, snapshot.state)
        for index, (_, future) in self.waiting.items():
            if index <= snapshot.index and not future.done():
                future.set_exception(ReplicationError("what became of it is in a snapshot"))
        for listener in self.restore_listeners:
            listener()
        self.notify_applied()

    def notify_applied(self) -> None:
        """Wake those who wait for an index to be applied."""
        self.changed.set()
        self.changed = asyncio.Event()
        self.notify()

    def disk_failed(self, why: str) -> None:
        """The disk takes no writes any more: this head has no vote from now on."""
        logger.error(
            "heads: the disk takes no writes, this head has no voice: {why}", event="heads.disk", why=why
        )
        self.disk_writable = False
        self.put(DiskFailed(self.now()))

    def keep(self, done: Callable[[], None], **values: str) -> None:
        """Another promise of this head."""
        self.writer.put(values, done)

    def begin(self, snapshot: Snapshot, term: int, origin: str, done: Callable[[], None]) -> None:
        """Begin with a state, in one write: a founding, or a survivor's own when the voters are lost."""
        raft = self.raft
        write = Write(term, None, cut_from=1, snapshot=snapshot, keep_from=snapshot.index + 1, origin=origin)

        def begun() -> None:
            disk = PersistentState(term, None, snapshot)
            self.raft = Raft(raft.me, disk, raft.seed, raft.timing, now=self.now())
            self.restore(snapshot)
            done()

        self.writer.put(write, begun)

    async def run_for_ever(self) -> None:
        """Let time pass for the agreement."""
        while True:
            self.put(Tick(self.now()))
            await asyncio.sleep(TICK.total_seconds())

    def close(self) -> None:
        """Stop writing."""
        self.writer.close()
