"""The transfer of a snapshot in parts, as seen by its sender and by its receiver. No I/O.

A receiver names its position in the snapshot that it receives, and the sender answers with the part that
follows. Each state is encoded by one head alone, so parts of two senders are never joined.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.log import Log
from stoatrouter.agreement.records import Snapshot, SnapshotPart, SnapshotPosition, Voter

SNAPSHOT_PART_BYTES = 1024 * 1024  # of the state; a smaller snapshot is one message
MAX_SNAPSHOT_BYTES = 1_000_000_000  # of the state: the largest value that SQLite stores
IDLE_TIMEOUT = timedelta(seconds=10)  # after this without a part, a transfer is given up
NO_TIME = timedelta(0)
START = SnapshotPosition()


@dataclass(slots=True)
class OutgoingSnapshot:
    """The snapshot that a head sends in parts, to all receivers alike.

    It is retained while it is being sent, even if the log was compacted again in the meantime.
    """

    snapshot: Snapshot | None = None
    used_at: timedelta = NO_TIME

    def part_at(self, position: SnapshotPosition, log: Log, size: int, now: timedelta) -> SnapshotPart:
        """Return the part at a receiver's position; the first one if it received another snapshot.

        Args:
            position: What the receiver holds.
            log: This head's log.
            size: The maximum size of the part's data, in bytes.
            now: The present time.
        """
        snapshot = self._select(log)
        self.used_at = now
        offset = position.offset if position.index == snapshot.index else 0
        data = snapshot.state[offset : offset + size]
        return SnapshotPart(snapshot.index, snapshot.term, snapshot.voters, len(snapshot.state), offset, data)

    def _select(self, log: Log) -> Snapshot:
        """Return the retained snapshot; the log's if the log lacks entries that follow the retained one."""
        if self.snapshot is None or self.snapshot.index + 1 < log.first:
            self.snapshot = log.snapshot
        return self.snapshot

    def release_idle(self, now: timedelta) -> None:
        """Release the snapshot if no part was sent for IDLE_TIMEOUT."""
        if now - self.used_at > IDLE_TIMEOUT:
            self.snapshot = None


@dataclass(slots=True)
class IncomingSnapshot:
    """The parts of one snapshot that a head has received.

    Attributes:
        sender: The head that sends it; None if there is no transfer.
        first: The first part, which describes the snapshot.
        data: The received part of the state.
        heard_at: When the latest part arrived.
    """

    sender: Voter | None = None
    first: SnapshotPart | None = None
    data: bytearray = field(default_factory=bytearray)
    heard_at: timedelta = NO_TIME

    def position_for(self, sender: Voter) -> SnapshotPosition:
        """Return the position to report to a sender."""
        if self.first is None or sender != self.sender:
            return START
        return SnapshotPosition(self.first.index, len(self.data))

    def position_at(self, name: str) -> SnapshotPosition:
        """Return the position to report to the head with this name, before it has sent its identity."""
        if self.sender is None or name != self.sender.name:
            return START
        return self.position_for(self.sender)

    def add(self, sender: Voter, part: SnapshotPart, now: timedelta) -> Snapshot | None:
        """Add a part; a part that is not the next one is ignored.

        Returns:
            The whole snapshot, if this was its last part; it is no longer held here.
        """
        if part.offset == 0 and self._starts_another(sender, part):
            self._start(sender, part)
        if self.position_for(sender) != SnapshotPosition(part.index, part.offset):
            return None
        self.heard_at = now
        self.data += part.data
        if len(self.data) < part.size:
            return None
        snapshot = Snapshot(part.index, part.term, part.voters, bytes(self.data))
        self.clear()
        return snapshot

    def _starts_another(self, sender: Voter, part: SnapshotPart) -> bool:
        """Return whether a first part belongs to another snapshot than the present one."""
        same = self.first is not None and self.first.index == part.index and sender == self.sender
        return not same and part.size <= MAX_SNAPSHOT_BYTES

    def _start(self, sender: Voter, part: SnapshotPart) -> None:
        self.sender = sender
        self.first = part
        self.data = bytearray()

    def clear(self) -> None:
        """Give up the transfer."""
        self.sender = None
        self.first = None
        self.data = bytearray()

    def clear_idle(self, now: timedelta) -> None:
        """Give up the transfer if no part arrived for IDLE_TIMEOUT."""
        if self.first is not None and now - self.heard_at > IDLE_TIMEOUT:
            self.clear()
