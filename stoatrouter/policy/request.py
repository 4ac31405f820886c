"""The scheduler's records of a request and its attempts, kept until all have ended. Events: interface.py."""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.policy.interface import Outcome, RequestClass
from stoatrouter.policy.node import Node
from stoatrouter.policy.volume import Volume

# Outcomes after which a node cannot have received the complete request.
NOT_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.NOT_BEGUN)
NOT_REACHED = (*NOT_ARRIVED, Outcome.MOOT)  # and those of attempts that no node accepted


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; outcome is None while it is in flight."""

    node: Node
    sent_at: int  # microseconds
    outcome: Outcome | None = None
    stalled: bool = False  # its answer has begun, and no more of it has come for a while

    def may_have_run(self) -> bool:
        """Return whether this attempt can have had an effect."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, eq=False)
class Request:
    """A request that is not yet answered or has an attempt in flight; times are microseconds."""

    id: str
    request_class: RequestClass
    volume: Volume
    units: float
    key: str | None
    shard: int  # -1: any node
    objective_at: int  # a later answer misses the latency objective
    deadline: int
    write: bool
    protected: bool  # a read outside the background classes: never throttled
    reject_by: int  # a later rejection is of no use to the client, if no attempt has reached a node
    wait_until: int = 0
    key_hold_down_until: int = 0  # until when its key is held down once the request is closed
    node: Node | None = None  # where it is pending
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    charged: bool = False  # its units have been taken from the volume's token buckets
    streaming: bool = False

    def reached_no_node(self) -> bool:
        """Return whether no attempt has reached a node that holds the request's data."""
        return all(attempt.outcome in NOT_REACHED for attempt in self.attempts)

    def may_have_arrived(self) -> bool:
        """Return whether a node may have received an attempt completely."""
        return any(attempt.outcome not in NOT_ARRIVED for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Return whether any attempt can have had an effect."""
        return any(attempt.may_have_run() for attempt in self.attempts)

    def in_flight(self) -> bool:
        """Return whether an attempt is in flight."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def is_late(self, node: Node, sent_at: int) -> bool:
        """Return whether a request sent to `node` at `sent_at` is expected to miss its latency objective."""
        latency = node.read_latency if self.protected else node.latency
        return sent_at + latency > self.objective_at
