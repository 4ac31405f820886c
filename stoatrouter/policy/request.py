"""What the scheduler keeps of a request and of its attempts until both are over. Events: interface.py."""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.policy.interface import Outcome, RequestClass
from stoatrouter.policy.node import Node
from stoatrouter.policy.volume import Volume

# Outcomes of attempts of which no byte, or no whole request, can have arrived at a node.
NOT_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.NOT_BEGUN)
NOT_REACHED = (*NOT_ARRIVED, Outcome.MOOT)  # and those that no node took up


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; outcome is None while it is in flight."""

    node: Node
    sent_at: int  # microseconds
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether this attempt can have had an effect."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, eq=False)
class Request:
    """A request this host owes an answer for, or with an attempt in flight; times are microseconds."""

    id: str
    request_class: RequestClass
    volume: Volume
    units: float
    key: str | None
    shard: int  # -1: any node
    objective_at: int  # an answer after this misses the latency objective
    deadline: int
    write: bool
    protected: bool  # a read of no background class: it is never throttled
    reject_by: int  # a later rejection is of no use to the client, if nothing was written to a node
    wait_until: int = 0
    key_hold_down_until: int = 0  # until when its key is held down once it is closed
    node: Node | None = None  # where it waits
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    charged: bool = False  # its units are off the volume's token buckets
    streaming: bool = False

    def reached_no_node(self) -> bool:
        """Whether no attempt of it has reached a node that holds its data."""
        return all(attempt.outcome in NOT_REACHED for attempt in self.attempts)

    def may_have_arrived(self) -> bool:
        """Whether the last byte of an attempt may have arrived at a node."""
        return any(attempt.outcome not in NOT_ARRIVED for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Whether any attempt of it can have had an effect."""
        return any(attempt.may_have_run() for attempt in self.attempts)

    def in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def is_late(self, node: Node, sent_at: int) -> bool:
        """Whether sent to `node` at `sent_at` it is expected to miss its latency objective."""
        latency = node.read_latency if self.protected else node.latency
        return sent_at + latency > self.objective_at
