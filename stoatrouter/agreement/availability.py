"""What a head may do while it is cut off, or heads see each other differently: one table, as code. No I/O.

Suspicion alone moves nothing here: no fact below is the detector's. Rights follow from what is agreed on and
from how long ago a majority was heard, on this head's own monotonic clock. docs/design/heads.md has the rows.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class HeadState(Enum):
    """How a head is connected to the others; the values are what operators see."""

    UNFOUNDED = "unfounded"  # no fleet yet: its voters have not all been up together
    CATCHING_UP = "catching up"  # back, and behind what others have agreed on
    CONNECTED = "in touch"  # hears a majority
    CUT_OFF = "cut off"  # hears no majority


@dataclass(slots=True, frozen=True)
class HeadFacts:
    """What a head knows of itself."""

    founded: bool
    caught_up: bool  # has applied, since its start, what was agreed on when it first heard of it
    majority_age: timedelta | None  # since a majority was connected, by any report
    votes: bool
    leads: bool
    disk_writable: bool  # promises can be kept


@dataclass(slots=True, frozen=True)
class Availability:
    """What a head may do."""

    state: HeadState
    serves: bool  # requests, with the rules and the credit that it holds
    changes: bool  # takes changes of rules and accounts to the agreement
    draws: bool  # asks for new allotments; what it holds it spends until that has expired
    votes: bool  # its vote counts
    ready: bool


def availability_of(
    facts: HeadFacts, cut_off_after: timedelta, uptime: timedelta, wait_at_start: timedelta
) -> Availability:
    """Decide what a head may do, from the facts it knows of itself.

    A head that comes back catches up before it serves by rules that may be old, but where nobody answers it
    serves the cached ones after `wait_at_start`.

    Args:
        facts: What the head knows of itself.
        cut_off_after: How long after a majority was last connected the head counts as cut off.
        uptime: How long ago the head started, on its monotonic clock.
        wait_at_start: How long a head that has never heard of a majority waits before it serves.

    Returns:
        The rights of the head, and its state as operators see it.
    """
    votes = facts.votes and facts.disk_writable
    if not facts.founded:
        return Availability(
            HeadState.UNFOUNDED, serves=True, changes=False, draws=False, votes=False, ready=True
        )
    if facts.majority_age is None or facts.majority_age > cut_off_after:
        starting = facts.majority_age is None and uptime < wait_at_start
        return _without_majority(serves=not starting, votes=votes)
    if not facts.caught_up:
        return Availability(
            HeadState.CATCHING_UP, serves=False, changes=False, draws=False, votes=votes, ready=False
        )
    return Availability(HeadState.CONNECTED, serves=True, changes=True, draws=True, votes=votes, ready=True)


def _without_majority(serves: bool, votes: bool) -> Availability:
    return Availability(
        HeadState.CUT_OFF, serves=serves, changes=False, draws=False, votes=votes, ready=serves
    )
