"""What a head does while it is cut off, or heads see each other differently: one table, as code. No I/O.

Suspicion alone moves nothing here: no fact below is the detector's. Rights follow from what is agreed on and
from how long ago a majority was heard, on this head's own monotonic clock. docs/design/heads.md has the rows.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class State(Enum):
    UNFOUNDED = "unfounded"  # no fleet yet: its voters have not all been up together
    CATCHING_UP = "catching up"  # back, and behind what others have agreed on
    IN_TOUCH = "in touch"
    CUT_OFF = "cut off"  # hears no majority


@dataclass(slots=True, frozen=True)
class Facts:
    """What a head knows of itself."""

    founded: bool
    caught_up: bool  # has applied, since its start, what was agreed on when it first heard of it
    touched_ago: timedelta | None  # since a majority was heard, itself or through a voter that hears one
    votes: bool
    leads: bool
    disk: bool  # promises can be kept


@dataclass(slots=True, frozen=True)
class Standing:
    """What a head may do."""

    state: State
    serves: bool  # requests, with the rules and the credit that it holds
    changes: bool  # takes changes of rules and accounts to the agreement
    draws: bool  # asks for new allotments; what it holds it spends until that has expired
    voice: bool  # its vote counts, if it has one
    ready: bool


def stand(facts: Facts, cut_off_after: timedelta, waited: timedelta, wait_at_start: timedelta) -> Standing:
    """Where a head stands. `waited` is how long ago it started: a head that comes back catches up before it
    serves by rules that may be old, but where nobody answers it serves the kept ones after this wait."""
    touched = facts.touched_ago is not None and facts.touched_ago <= cut_off_after
    if not facts.founded:
        return Standing(State.UNFOUNDED, serves=True, changes=False, draws=False, voice=False, ready=True)
    if not touched:
        waiting = facts.touched_ago is None and waited < wait_at_start
        return Standing(
            State.CUT_OFF,
            serves=not waiting,
            changes=False,
            draws=False,
            voice=facts.votes and facts.disk,
            ready=not waiting,
        )
    if not facts.caught_up:
        return Standing(
            State.CATCHING_UP,
            serves=False,
            changes=False,
            draws=False,
            voice=facts.votes and facts.disk,
            ready=False,
        )
    return Standing(
        State.IN_TOUCH, serves=True, changes=True, draws=True, voice=facts.votes and facts.disk, ready=True
    )
