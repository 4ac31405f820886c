"""Which operations a head may perform, by its connection to the majority of voters. No I/O.

The failure detector has no influence: a suspicion alone changes no permission. Permissions depend on the
replicated state and on the time since a majority was heard, on this head's own monotonic clock. The table is
in docs/design/heads.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class HeadState(Enum):
    """The state of a head's connection to the others; operators see the values."""

    UNFOUNDED = "unfounded"  # no fleet exists yet: its voters have not all been running at the same time
    CATCHING_UP = "catching up"  # connected, but has not yet applied all committed entries
    CONNECTED = "in touch"  # hears a majority of the voters
    CUT_OFF = "cut off"  # hears no majority of the voters


@dataclass(slots=True, frozen=True)
class HeadFacts:
    """What a head knows about its own state."""

    founded: bool  # belongs to a fleet
    caught_up: bool  # has applied all that was committed when it first heard a majority after its start
    majority_age: timedelta | None  # time since a majority was connected, by the latest report; None: unknown
    votes: bool  # is a voter and does not abstain
    leads: bool  # is the leader, as far as it knows
    disk_writable: bool  # votes and acknowledgements can be stored


@dataclass(slots=True, frozen=True)
class Availability:
    """The operations that a head may perform."""

    state: HeadState
    serves: bool  # serves requests with the rules and allotments that it holds
    changes: bool  # accepts changes of rules and accounts and proposes them
    draws: bool  # requests new allotments; those that it holds are usable until they expire
    votes: bool  # its vote counts
    ready: bool  # reports itself as ready through the management interface


def availability_of(
    facts: HeadFacts, cut_off_after: timedelta, uptime: timedelta, wait_at_start: timedelta
) -> Availability:
    """Return the operations that a head may perform.

    A head that restarts catches up before it serves, because its stored rules may be outdated. If no other
    head answers, it serves with the stored rules after `wait_at_start`; so does a head that belongs to no
    fleet, as it may have lost its disk.

    Args:
        facts: What the head knows about its own state.
        cut_off_after: The time since a majority was last connected after which the head counts as cut off.
        uptime: The time since the head started, on its monotonic clock.
        wait_at_start: How long after its start a head that has not heard of a majority waits before it
            serves.

    Returns:
        The head's permissions, and its state as operators see it.
    """
    votes = facts.votes and facts.disk_writable
    if not facts.founded:
        waited = uptime >= wait_at_start
        return Availability(
            HeadState.UNFOUNDED, serves=waited, changes=False, draws=False, votes=False, ready=waited
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
