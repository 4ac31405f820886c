"""When attempts were written, as heads record it, and what the judge of requests makes of it."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.lab.histories.requests import Effect, Guarantees, RequestClass, check_requests
from stoatrouter.net.tracked_request import TrackedRequest
from tests.stall_story import REQUESTS, Held, play_stalls

OUTSIDE = "repeated outside its window"
SHORT, LONG = 0.15, 0.8  # seconds; the window is 0.5
EXACT, BUSY = 0.05, 0.4  # seconds, slack: of the page, and for a whole program on a busy machine
TERMS = Guarantees(
    {"note": RequestClass(Effect.IDEMPOTENT, 0.5), "look": RequestClass(Effect.SAFE)},
    {"a": 0, "b": 0},
    drain_grace=0.5,
)
SENT = {"what": "sent", "at": 0.0, "request": "r", "head": "h", "kind": "note"}
ANSWERED = {"what": "answered", "at": 9.0, "request": "r", "status": 200}
LEAVING = {"what": "told", "at": 0.0, "head": "h", "node": "b"}
GONE = {"what": "gone", "at": 0.1, "request": "r"}


def seen(node, first):
    """An attempt that ran and was over at once."""
    attempt = {"what": "attempt", "at": first, "first": first, "request": "r", "node": node}
    return [attempt, {"what": "over", "at": first, "request": "r", "node": node, "ran": True}]


def written(node, at, attempt=0):
    return {
        "what": "written",
        "at": at,
        "began": at - 0.001,
        "request": "r",
        "node": node,
        "attempt": attempt,
    }


FIRST, LATE = seen("a", 0.1), seen("b", 0.9)


# guards against an excuse for a head that wrote late, or that has no record; found: whose lateness it is
@pytest.mark.parametrize(
    ("lines", "found"),
    [
        ([*FIRST, *LATE], "head"),
        ([*FIRST, *LATE, written("a", 0.1), written("b", 0.2, 1)], "node"),
        ([*FIRST, *LATE, written("a", 0.1), written("b", 0.8, 1)], "head"),
        ([*FIRST, *LATE, written("a", 0.1)], "head"),  # no record of the second
        ([*FIRST, *LATE, written("b", 0.2, 1)], "head"),  # none of the first
        # one of two attempts at one node has no record: it may be either
        ([*FIRST, *seen("a", 0.9), written("a", 0.1)], "head"),
        ([*FIRST, *seen("a", 0.9), written("a", 0.1), written("a", 0.2, 1)], "node"),
        # a write that no node saw: what was seen late may be the later one
        ([*FIRST, *LATE, written("a", 0.1), written("b", 0.2, 1), written("b", 0.8, 2)], "head"),
        # the first was read late: its effect counts from when it was written
        ([*seen("a", 0.5), *LATE, written("a", 0.1), written("b", 0.8, 1)], "head"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE], "head"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE, written("b", 0.5)], "node"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE, written("b", 0.8)], "head"),
        ([GONE, *LATE], "head"),
        ([GONE, *LATE, written("b", 0.2)], "node"),
        ([GONE, *LATE, written("b", 0.5)], "head"),
    ],
)
def test_only_a_record_of_a_write_in_time_shows_that_a_node_read_late(lines, found):
    verdict = check_requests([SENT, ANSWERED, *lines], TERMS)
    assert len(verdict.violations) == (found == "head")
    assert len(verdict.read_late) == (found == "node")
    assert all("0.9" in text or "0.8" in text for text in verdict.read_late)  # with what the node saw


# guards against records that are believed though they cannot be true
@pytest.mark.parametrize("others", [[], [written("b", 0.3)]])
def test_an_attempt_that_was_seen_before_it_was_written_is_found(others):
    lines = [SENT, ANSWERED, *seen("a", 0.1), *seen("b", 0.4), written("a", 0.2), *others]
    assert len(found := check_requests(lines, TERMS).violations) == 1
    assert "before its head began to write it" in found[0]


# guards against a record that is kept, and paid for, where no test has asked for it
def test_the_program_records_no_attempts_by_itself():
    assert TrackedRequest.attempt_record is None


def played(folder, held, seconds, slack, prelude=""):
    """What the judge says with the head's record and without it."""
    lines, terms = asyncio.run(play_stalls(folder, held, seconds, slack, prelude))
    without = [line for line in lines if line["what"] != "written"]
    attempts = sum(line["what"] == "attempt" for line in lines)
    assert attempts == len(lines) - len(without) >= REQUESTS  # each one has its record
    return check_requests(lines, terms), check_requests(without, terms)


# guards against a false finding by a stall that is shorter than the slack, or that the head allows for
@pytest.mark.parametrize(
    ("held", "seconds"),
    [*((held, SHORT) for held in Held), (Held.HEAD_BEFORE_DECISION, LONG), (Held.CLIENT, LONG)],
)
def test_a_stall_that_breaks_no_rule_is_no_finding(tmp_path, held, seconds):
    with_record, without = played(tmp_path, held, seconds, BUSY)
    assert with_record.violations == without.violations == []


# guards against blaming a head for what its node read late
def test_a_node_that_was_held_up_has_read_late(tmp_path):
    with_record, without = played(tmp_path, Held.NODE, LONG, EXACT)
    assert with_record.violations == []
    assert len(with_record.read_late) == len(without.violations) > 0
    assert all(OUTSIDE in text for text in without.violations)


# guards against a head that is held up after its decision, and so writes outside the window
def test_a_head_that_wrote_late_is_found(tmp_path):
    with_record, without = played(tmp_path, Held.HEAD_BEFORE_WRITING, LONG, EXACT)
    assert len(with_record.violations) == len(without.violations) > 0
    assert all(OUTSIDE in text for text in with_record.violations) and not with_record.read_late
