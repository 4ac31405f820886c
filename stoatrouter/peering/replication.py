"""The replication loop of one head: carries out the effects of agreement/raft.py and resolves their waiters.

`Raft` decides what is accepted, committed and applied, and in which order. A message that must not be sent
before a write is on the disk is held here until then (`Persist`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from stoatrouter.agreement.machine import Command, Machine, encode
from stoatrouter.agreement.raft import Raft, Timing
from stoatrouter.agreement.records import (
    COMMAND,
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
from stoatrouter.peering import calls
from stoatrouter.peering.disk_writer import DiskWriter
from stoatrouter.peering.errors import (
    CommitTimeout,
    EntryOverwritten,
    OutcomeCompacted,
    ProposalRejected,
    ReadTimeout,
)
from stoatrouter.peering.storage import BootstrapWrite, Storage, StoredState

TICK_INTERVAL = timedelta(milliseconds=20)
# A snapshot is taken once either was applied since the last one.
COMPACT_ENTRIES = 1_000
COMPACT_BYTES = 8 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class PendingProposal:
    """A proposal in the log whose proposer is waiting."""

    term: int  # of the entry; another term at its index means another leader's entry
    answer: asyncio.Future[bytes]


class Replication:
    """The replicated log and state machine of one head.

    Attributes:
        machine: The state machine that committed entries are applied to.
        raft: The agreement; replaced as a whole when the head starts from another state (`start_from`).
        disk_writable: False once the disk takes no writes; this head then has no vote.
        changed: Set and replaced whenever entries were applied; after a wait, fetch it again.
    """

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
        on_change: Callable[[], None],
    ) -> None:
        """Start from the state on the disk; `restore_stored` applies it once all parts are known.

        Args:
            me: This head, with the identity of its disk.
            stored: What the disk holds.
            storage: The open storage; written to from a separate thread, and closed by `close`.
            machine: The state machine that committed entries are applied to.
            timing: Heartbeat and election timings.
            seed: Seeds the election timeouts.
            now: This head's monotonic time.
            send: Sends a message to another voter without waiting.
            on_change: Called after entries were applied and when the leader has changed.
        """
        self.machine = machine
        self.raft = Raft(me, stored.disk, seed, timing, now=now())
        self.raft.abstains = not stored.writable
        self.raft.disk_failed = not stored.writable
        self.disk_writable = stored.writable
        self.changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._writer = DiskWriter(storage, self._loop, self._on_disk_failure, stored.writable)
        self._stored_snapshot = stored.disk.snapshot
        self._now = now
        self._send = send
        self._on_change = on_change
        self._bytes_since_snapshot = 0  # of applied entries
        self._storage = storage
        self._record_commit()
        self._last_request = 0  # numbers the ids of proposals and reads
        self._proposals: dict[int, PendingProposal] = {}  # by index
        self._reads: dict[str, asyncio.Future[int]] = {}  # by id
        self._proposal_outcome: Accepted | Rejected | None = None  # of the latest proposal, known at once

    def restore_stored(self) -> None:
        """Apply the entries stored as committed, after all parts of the state machine were added."""
        self.machine.restore(self._stored_snapshot.index, self._stored_snapshot.state)
        for entry in self.raft.restored_entries():
            self.machine.apply(entry)

    # -- for callers --------------------------------------------------------------------------------------
    async def propose(self, body: bytes, kind: str, timeout: timedelta) -> bytes:
        """Have an entry committed; for the leader only.

        Args:
            body: The entry's body.
            kind: The entry's kind, COMMAND or VOTERS.
            timeout: How long to wait for the commit.

        Returns:
            The machine's answer to a command; b"" for other entries.

        Raises:
            ProposalRejected: This head does not lead, or cannot accept the entry now.
            CommitTimeout: It was not committed in time; it may be later.
            EntryOverwritten: Another leader's entry was committed in its place.
            OutcomeCompacted: A snapshot that covers its index arrived.
        """
        accepted = self._submit_proposal(body, kind)
        answer: asyncio.Future[bytes] = self._loop.create_future()
        self._proposals[accepted.index] = PendingProposal(accepted.term, answer)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await answer
        except TimeoutError:
            raise CommitTimeout from None
        finally:
            self._proposals.pop(accepted.index, None)

    def _submit_proposal(self, body: bytes, kind: str) -> Accepted:
        """Submit a proposal to the agreement, which decides at once; raises ProposalRejected."""
        request_id = self._next_id("p")
        self._step(Propose(self._now(), request_id, body, kind))
        outcome = self._proposal_outcome
        if isinstance(outcome, Accepted) and outcome.id == request_id:
            return outcome
        assert isinstance(outcome, Rejected), "the agreement answers each proposal at once"
        raise ProposalRejected(outcome.reason)

    async def command(self, command: Command, timeout: timedelta) -> bytes:
        """Have a command committed and return its answer; for the leader only. Raises as `propose` does."""
        return await self.propose(encode(command), COMMAND, timeout)

    async def change_voters(self, body: bytes, timeout: timedelta) -> None:
        """Have a change of the voters committed; for the leader only. Raises as `propose` does."""
        await self.propose(body, VOTERS, timeout)

    async def read(self, timeout: timedelta) -> int:
        """Confirm with a majority the index that a read must have applied; for the leader only.

        The result is Raft's read index (Ongaro's thesis, section 6.4): a read is linearizable at any head
        that has applied the log up to it.

        Raises:
            ProposalRejected: This head does not lead, or lost the lead while waiting.
            ReadTimeout: No majority answered in time.
        """
        request_id = self._next_id("r")
        index: asyncio.Future[int] = self._loop.create_future()
        self._reads[request_id] = index
        try:
            self._step(Read(self._now(), request_id))
            async with asyncio.timeout(timeout.total_seconds()):
                return await index
        except TimeoutError:
            raise ReadTimeout from None
        finally:
            self._reads.pop(request_id, None)

    async def wait_applied(self, index: int, timeout: timedelta) -> bool:
        """Wait until an index is applied here; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while self.machine.index < index:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def receive(self, sender: Voter, message: AnyMessage) -> None:
        """Process a message from another voter."""
        self._step(Received(self._now(), sender, message))

    def receive_committed(self, fetched: calls.Fetched) -> None:
        """Process the committed entries in a voter's answer to a poll."""
        self._step(
            CommittedReceived(
                self._now(),
                fetched.prev_index,
                fetched.prev_term,
                fetched.entries,
                fetched.commit,
                fetched.snapshot,
            )
        )

    def store(self, write: BootstrapWrite, on_durable: Callable[[], None]) -> None:
        """Store a write of the fleet's bootstrap; `on_durable` is called once it is on the disk."""
        self._writer.put(write, on_durable)

    def start_from(self, snapshot: Snapshot, term: int, origin: str, on_durable: Callable[[], None]) -> None:
        """Replace the whole state in one write: by a founding, or at a recovery by the survivor's own state.

        Args:
            snapshot: The new state and its voters.
            term: The term in which the log continues.
            origin: The identity of the fleet that this head belongs to from now on.
            on_durable: Called once the new state is on the disk and in effect.
        """
        before = self.raft
        write = Write(term, None, cut_from=1, snapshot=snapshot, keep_from=snapshot.index + 1, origin=origin)

        def on_written() -> None:
            disk = PersistentState(term, None, snapshot)
            self.raft = Raft(before.me, disk, before.seed, before.timing, now=self._now())
            self._record_commit()
            self._restore(snapshot)
            on_durable()

        self._writer.put(write, on_written)

    async def run_forever(self) -> None:
        """Pass the time to the agreement at every tick."""
        while True:
            self._step(Tick(self._now()))
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    def close(self) -> None:
        """Finish queued writes and close the storage."""
        self._writer.close()

    def _next_id(self, prefix: str) -> str:
        self._last_request += 1
        return f"{prefix}{self._last_request}"

    # -- events in, effects out ---------------------------------------------------------------------------
    def _step(self, event: Event) -> None:
        """Reduce an event of the agreement, and carry out its effects in order."""
        for effect in self.raft.reduce(event):
            self._perform(effect)
        if self.raft.durable_commit_index != self._recorded_commit:
            self._record_commit()

    def _record_commit(self) -> None:
        """Record the commit index of the log on the disk, for the next start of this head."""
        self._recorded_commit = self.raft.durable_commit_index
        self._storage.record_commit(self._recorded_commit)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Send():
                self._send(effect.to, effect.message)
            case Persist():
                self._writer.put(effect.write, lambda: self._on_written(effect))
            case Apply():
                self._apply(effect.entries)
            case Restore():
                self._restore(effect.snapshot)
            case Accepted():
                self._proposal_outcome = effect
            case Rejected():
                self._reject(effect)
            case ReadConfirmed():
                self._resolve_read(effect)
            case LeaderChanged():
                self._log_leader_change(effect)
            case LogLost():
                report_log_lost(effect)

    def _on_written(self, durable: Persist) -> None:
        """Send the messages held back for a write that is now on the disk."""
        for send in durable.then:
            self._send(send.to, send.message)
        self._step(WriteCompleted(self._now(), durable.number))

    def _on_disk_failure(self, reason: str) -> None:
        """Give up this head's vote, because its disk takes no more writes."""
        logger.error(
            "heads: the disk takes no writes, this head has no vote: {why}", event="heads.disk", why=reason
        )
        self.disk_writable = False
        self._step(DiskFailed(self._now()))

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        """Apply committed entries, answer their proposers, and compact the log once it is large enough."""
        for entry in entries:
            answer = self.machine.apply(entry)
            self._bytes_since_snapshot += len(entry.body)
            self._resolve_proposal(entry, answer[1] if answer is not None else b"")
        self._notify_applied()
        behind = self.machine.index - self.raft.log.snapshot.index
        if behind >= COMPACT_ENTRIES or self._bytes_since_snapshot >= COMPACT_BYTES:
            self._bytes_since_snapshot = 0
            self._step(Compact(self._now(), self.machine.index, self.machine.state()))

    def _restore(self, snapshot: Snapshot) -> None:
        """Replace the applied state by a snapshot."""
        logger.info(
            "heads: restored the state from a snapshot at index {index}",
            event="heads.restored",
            index=snapshot.index,
        )
        self.machine.restore(snapshot.index, snapshot.state)
        for index, proposal in self._proposals.items():
            if index <= snapshot.index and not proposal.answer.done():
                proposal.answer.set_exception(OutcomeCompacted())
        self._notify_applied()

    # -- waiters ------------------------------------------------------------------------------------------
    def _resolve_proposal(self, entry: Entry, answer: bytes) -> None:
        """Answer the proposer that waits for the entry at this index."""
        proposal = self._proposals.get(entry.index)
        if proposal is None or proposal.answer.done():
            return
        if proposal.term == entry.term:
            proposal.answer.set_result(answer)
        else:
            proposal.answer.set_exception(EntryOverwritten())

    def _resolve_read(self, readable: ReadConfirmed) -> None:
        index = self._reads.get(readable.id)
        if index is not None and not index.done():
            index.set_result(readable.index)

    def _reject(self, rejected: Rejected) -> None:
        """Fail the read with this id; if there is none, keep the rejection for the proposal's caller."""
        index = self._reads.get(rejected.id)
        if index is None:
            self._proposal_outcome = rejected
        elif not index.done():
            index.set_exception(ProposalRejected(rejected.reason))

    def _notify_applied(self) -> None:
        """Wake the callers that wait for an index to be applied."""
        self.changed.set()
        self.changed = asyncio.Event()
        self._on_change()

    def _log_leader_change(self, change: LeaderChanged) -> None:
        logger.info(
            "heads: term {term}, {leader} leads",
            event="heads.role",
            term=change.term,
            leader=change.leader or "no known head",
        )
        self._on_change()


def report_log_lost(lost: LogLost) -> None:
    """Log that this head's disk lacks entries that it acknowledged."""
    logger.error(
        "heads: the disk holds {held} of {acknowledged} acknowledged entries: giving up the vote",
        event="heads.forgot",
        held=lost.last_on_disk,
        acknowledged=lost.acknowledged,
    )
