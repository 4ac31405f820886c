"""The clients of a virtual agreement: they append values to a list and read it, and write down what they saw.

A list that only grows is the smallest state machine that shows a lost, doubled or reordered entry. The
history holds invocations and responses, as papers on linearizability (Herlihy and Wing, 1990) name them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from stoatrouter.agreement.records import Accepted
from stoatrouter.lab.fleet.errors import InvariantViolated


@dataclass(slots=True, frozen=True)
class PutInvoked:
    """A client proposed a value."""

    client: int
    at: timedelta
    value: bytes


@dataclass(slots=True, frozen=True)
class PutAcknowledged:
    """The head at which a value was proposed has applied it."""

    client: int
    at: timedelta
    value: bytes


@dataclass(slots=True, frozen=True)
class ReadInvoked:
    """A client asked for the list."""

    read: int
    at: timedelta


@dataclass(slots=True, frozen=True)
class ReadReturned:
    """A read was confirmed by a majority."""

    read: int
    at: timedelta
    values: tuple[bytes, ...] | None  # None: the head had not applied enough yet, so nothing was shown


Operation = PutInvoked | PutAcknowledged | ReadInvoked | ReadReturned


@dataclass(slots=True, frozen=True)
class PendingPut:
    """A proposal that is in a leader's log and not applied there yet."""

    term: int
    value: bytes
    client: int


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits for its confirmation."""

    head: str
    read: int


@dataclass(slots=True)
class RegisterHistory:
    """What clients asked and were answered."""

    operations: list[Operation] = field(default_factory=list)
    acknowledged: dict[bytes, int] = field(default_factory=dict)  # index of the entry, by value
    pending_puts: dict[tuple[str, int], PendingPut] = field(default_factory=dict)  # by head and index
    pending_reads: dict[str, PendingRead] = field(default_factory=dict)  # by the id of the request
    rejected: int = 0

    # -- invocations --------------------------------------------------------------------------------------
    def invoke_put(self, client: int, at: timedelta, value: bytes) -> str:
        """Note that a client proposes a value; returns the id of the proposal."""
        self.operations.append(PutInvoked(client, at, value))
        return f"{client}={value.decode()}"

    def invoke_read(self, head: str, read: int, at: timedelta) -> str:
        """Note that a client reads at a head; returns the id of the request."""
        self.operations.append(ReadInvoked(read, at))
        id = f"r{read}"
        self.pending_reads[id] = PendingRead(head, read)
        return id

    # -- responses ----------------------------------------------------------------------------------------
    def accept(self, head: str, effect: Accepted) -> None:
        """Note that a proposal is in a head's log."""
        client, value = effect.id.split("=", 1)
        self.pending_puts[head, effect.index] = PendingPut(effect.term, value.encode(), int(client))

    def reject(self, id: str) -> None:
        """Note that a proposal or read was rejected."""
        self.rejected += 1
        self.pending_reads.pop(id, None)

    def applied(self, head: str, index: int, term: int, at: timedelta, is_command: bool) -> None:
        """Acknowledge the proposal at an index of a head, unless an entry of another term took its place."""
        put = self.pending_puts.pop((head, index), None)
        if put is not None and put.term == term and is_command:
            self.acknowledged[put.value] = index
            self.operations.append(PutAcknowledged(put.client, at, put.value))

    def readable(self, head: str, id: str, at: timedelta, values: tuple[bytes, ...] | None) -> None:
        """Return what a head holds to the read that waits there, if any."""
        read = self.pending_reads.pop(id, None)
        if read is not None and read.head == head:
            self.operations.append(ReadReturned(read.read, at, values))

    # -- the invariant ------------------------------------------------------------------------------------
    def check_reads(self, log: Iterable[bytes]) -> int:
        """Check that every read shows all puts acknowledged before its invocation, in the order of the log.

        For a list that only grows this is linearizability.

        Args:
            log: All values that were committed, in their order.

        Returns:
            The number of reads that returned values.

        Raises:
            InvariantViolated: A read misses a value, or shows values in another order.
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
        raise InvariantViolated(f"a read at {returned_at} shows values in another order than the log's")
    missing = [put.value for put in acknowledged if put.at < invoked_at and put.value not in values]
    if missing:
        raise InvariantViolated(
            f"a read asked at {invoked_at} does not show {missing[0]!r}, acknowledged before"
        )
