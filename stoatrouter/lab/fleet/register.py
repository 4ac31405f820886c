"""The history of clients that append values to a replicated list and read it.

An append-only list is the smallest state machine that shows a lost, duplicated or reordered entry. The
history consists of invocations and responses in the terms of linearizability (Herlihy and Wing, 1990).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.records import Accepted
from stoatrouter.lab.fleet.errors import InvariantViolated


@dataclass(slots=True, frozen=True)
class PutInvoked:
    """The invocation of a put: a client proposes a value."""

    client: int
    at: timedelta
    value: bytes


@dataclass(slots=True, frozen=True)
class PutAcknowledged:
    """The response to a put: the head at which the value was proposed has applied it."""

    client: int
    at: timedelta
    value: bytes


@dataclass(slots=True, frozen=True)
class ReadInvoked:
    """The invocation of a read: a client asks for the list."""

    read: int
    at: timedelta


@dataclass(slots=True, frozen=True)
class ReadReturned:
    """The response to a read that a majority has confirmed."""

    read: int
    at: timedelta
    values: tuple[bytes, ...] | None  # None: the head had not applied enough entries to return them


Operation = PutInvoked | PutAcknowledged | ReadInvoked | ReadReturned


@dataclass(slots=True, frozen=True)
class PendingPut:
    """A proposal that is in the log of a leader but not applied there yet."""

    term: int
    value: bytes
    client: int


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits for confirmation by a majority."""

    head: str
    read: int


@dataclass(slots=True)
class RegisterHistory:
    """The operations of all clients."""

    operations: list[Operation] = field(default_factory=list)
    acknowledged: dict[bytes, int] = field(default_factory=dict)  # index of the entry, by value
    pending_puts: dict[tuple[str, int], PendingPut] = field(default_factory=dict)  # by head and index
    pending_reads: dict[str, PendingRead] = field(default_factory=dict)  # by request id
    rejected: int = 0

    # -- invocations --------------------------------------------------------------------------------------
    def invoke_put(self, client: int, at: timedelta, value: bytes) -> str:
        """Record that a client proposes a value; returns the id of the proposal."""
        self.operations.append(PutInvoked(client, at, value))
        return f"{client}={value.decode()}"

    def invoke_read(self, head: str, read: int, at: timedelta) -> str:
        """Record that a client reads at a head; returns the id of the request."""
        self.operations.append(ReadInvoked(read, at))
        id = f"r{read}"
        self.pending_reads[id] = PendingRead(head, read)
        return id

    # -- responses ----------------------------------------------------------------------------------------
    def accept(self, head: str, effect: Accepted) -> None:
        """Record that a proposal is in the log of a head."""
        client, value = effect.id.split("=", 1)
        self.pending_puts[head, effect.index] = PendingPut(effect.term, value.encode(), int(client))

    def reject(self, id: str) -> None:
        """Record that a proposal or read was rejected."""
        self.rejected += 1
        self.pending_reads.pop(id, None)

    def complete_put(self, head: str, index: int, term: int, at: timedelta, is_command: bool) -> None:
        """Acknowledge the proposal at an index of a head, unless an entry of another term replaced it."""
        put = self.pending_puts.pop((head, index), None)
        if put is not None and put.term == term and is_command:
            self.acknowledged[put.value] = index
            self.operations.append(PutAcknowledged(put.client, at, put.value))

    def complete_read(self, head: str, id: str, at: timedelta, values: tuple[bytes, ...] | None) -> None:
        """Complete a read that waits at a head, if there is one, with the values that the head holds."""
        read = self.pending_reads.pop(id, None)
        if read is not None and read.head == head:
            self.operations.append(ReadReturned(read.read, at, values))

    # -- the invariant ------------------------------------------------------------------------------------
    def check_reads(self, log: Iterable[bytes]) -> int:
        """Check that every read returns all puts acknowledged before its invocation, in the order of the log.

        For an append-only list this is linearizability.

        Args:
            log: All committed values, in the order of the log.

        Returns:
            The number of reads that returned values.

        Raises:
            InvariantViolated: A read misses a value or returns values in another order.
        """
        invoked: dict[int, timedelta] = {}
        acknowledged: list[PutAcknowledged] = []
        committed = list(log)
        reads = 0
        for operation in self.operations:
            match operation:
                case ReadInvoked():
                    invoked[operation.read] = operation.at
                case PutAcknowledged():
                    acknowledged.append(operation)
                case ReadReturned(values=values) if values is not None:
                    reads += 1
                    check_read(operation.at, invoked[operation.read], values, committed, acknowledged)
        return reads


def check_read(
    returned_at: timedelta,
    invoked_at: timedelta,
    values: tuple[bytes, ...],
    committed: list[bytes],
    acknowledged: list[PutAcknowledged],
) -> None:
    """Check one read against the log and the puts acknowledged so far; raises InvariantViolated."""
    if list(values) != committed[: len(values)]:
        raise InvariantViolated(f"a read at {returned_at} returned values in another order than the log")
    missing = [put.value for put in acknowledged if put.at < invoked_at and put.value not in values]
    if missing:
        raise InvariantViolated(
            f"a read invoked at {invoked_at} did not return {missing[0]!r}, acknowledged before"
        )
