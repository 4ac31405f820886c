"""Heads record when they wrote each attempt, which shows the checker of request histories who was late."""

from __future__ import annotations

import asyncio

import pytest

from stoatrouter.lab.histories.requests import Effect, Guarantees, RequestClass, check_requests
from stoatrouter.net.tracked_request import TrackedRequest
from tests.stall_story import REQUESTS, Held, play_stalls

OUTSIDE = "repeated outside its window"
SHORT_STALL = 0.15  # seconds, shorter than the repeat window of 0.5 s
LONG_STALL = 0.8  # seconds, longer than the repeat window
EXACT_SLACK = 0.05  # seconds, as documented
BUSY_SLACK = 0.4  # seconds, for a whole program on a busy machine
TERMS = Guarantees(
    {"note": RequestClass(Effect.IDEMPOTENT, 0.5), "look": RequestClass(Effect.SAFE)},
    {"a": 0, "b": 0},
    drain_grace=0.5,
)
SENT = {"what": "sent", "at": 0.0, "request": "r", "head": "h", "kind": "note"}
ANSWERED = {"what": "answered", "at": 9.0, "request": "r", "status": 200}
LEAVING = {"what": "told", "at": 0.0, "head": "h", "node": "b"}
GONE = {"what": "gone", "at": 0.1, "request": "r"}


def attempt_lines(node, first):
    """Return the lines of an attempt that ran and ended at once."""
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


FIRST_ATTEMPT = attempt_lines("a", 0.1)
LATE_ATTEMPT = attempt_lines("b", 0.9)


# Guards against excusing a head that wrote late or has no record.
@pytest.mark.parametrize(
    ("lines", "late_side"),
    [
        ([*FIRST_ATTEMPT, *LATE_ATTEMPT], "head"),
        ([*FIRST_ATTEMPT, *LATE_ATTEMPT, written("a", 0.1), written("b", 0.2, 1)], "node"),
        ([*FIRST_ATTEMPT, *LATE_ATTEMPT, written("a", 0.1), written("b", 0.8, 1)], "head"),
        ([*FIRST_ATTEMPT, *LATE_ATTEMPT, written("a", 0.1)], "head"),  # the second attempt has no record
        ([*FIRST_ATTEMPT, *LATE_ATTEMPT, written("b", 0.2, 1)], "head"),  # the first attempt has no record
        # one of two attempts at the same node has no record: it may be either of them
        ([*FIRST_ATTEMPT, *attempt_lines("a", 0.9), written("a", 0.1)], "head"),
        ([*FIRST_ATTEMPT, *attempt_lines("a", 0.9), written("a", 0.1), written("a", 0.2, 1)], "node"),
        # one write was seen by no node: the attempt seen late may be the later write
        (
            [
                *FIRST_ATTEMPT,
                *LATE_ATTEMPT,
                written("a", 0.1),
                written("b", 0.2, 1),
                written("b", 0.8, 2),
            ],
            "head",
        ),
        # the first attempt was read late: the window counts from when it was written
        ([*attempt_lines("a", 0.5), *LATE_ATTEMPT, written("a", 0.1), written("b", 0.8, 1)], "head"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE_ATTEMPT], "head"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE_ATTEMPT, written("b", 0.5)], "node"),
        ([SENT | {"kind": "look"}, LEAVING, *LATE_ATTEMPT, written("b", 0.8)], "head"),
        ([GONE, *LATE_ATTEMPT], "head"),
        ([GONE, *LATE_ATTEMPT, written("b", 0.2)], "node"),
        ([GONE, *LATE_ATTEMPT, written("b", 0.5)], "head"),
    ],
)
def test_only_a_record_of_a_write_in_time_shows_that_a_node_read_late(lines, late_side):
    verdict = check_requests([SENT, ANSWERED, *lines], TERMS)
    assert len(verdict.violations) == (late_side == "head")
    assert len(verdict.read_late) == (late_side == "node")
    # the text names the time at the node
    assert all("0.9" in text or "0.8" in text for text in verdict.read_late)


# Guards against trusting records that cannot be true.
@pytest.mark.parametrize("others", [[], [written("b", 0.3)]])
def test_an_attempt_that_was_seen_before_it_was_written_is_found(others):
    lines = [
        SENT,
        ANSWERED,
        *attempt_lines("a", 0.1),
        *attempt_lines("b", 0.4),
        written("a", 0.2),
        *others,
    ]
    violations = check_requests(lines, TERMS).violations
    assert len(violations) == 1
    assert "before its head began to write it" in violations[0]


# Guards against recording attempts, at a cost, where no test asked for it.
def test_the_program_records_no_attempts_by_itself():
    assert TrackedRequest.attempt_record is None


def verdicts(folder, held, seconds, slack, prelude=""):
    """Return the checker's verdicts with the head's records of writes and without them."""
    lines, terms = asyncio.run(play_stalls(folder, held, seconds, slack, prelude))
    without = [line for line in lines if line["what"] != "written"]
    attempts = sum(line["what"] == "attempt" for line in lines)
    assert attempts == len(lines) - len(without) >= REQUESTS  # each attempt has a record
    return check_requests(lines, terms), check_requests(without, terms)


# Guards against a false violation from a stall that is shorter than the slack or that the head allows for.
@pytest.mark.parametrize(
    ("held", "seconds"),
    [
        *((held, SHORT_STALL) for held in Held),
        (Held.HEAD_BEFORE_DECISION, LONG_STALL),
        (Held.CLIENT, LONG_STALL),
    ],
)
def test_a_stall_that_breaks_no_rule_is_no_finding(tmp_path, held, seconds):
    with_record, without = verdicts(tmp_path, held, seconds, BUSY_SLACK)
    assert with_record.violations == without.violations == []


# Guards against blaming a head for an attempt that its node read late.
def test_a_node_that_was_held_up_has_read_late(tmp_path):
    with_record, without = verdicts(tmp_path, Held.NODE, LONG_STALL, EXACT_SLACK)
    assert with_record.violations == []
    assert len(with_record.read_late) == len(without.violations) > 0
    assert all(OUTSIDE in text for text in without.violations)


# Guards against missing a head that stalls after its decision and so writes outside the window.
def test_a_head_that_wrote_late_is_found(tmp_path):
    with_record, without = verdicts(tmp_path, Held.HEAD_BEFORE_WRITING, LONG_STALL, EXACT_SLACK)
    assert len(with_record.violations) == len(without.violations) > 0
    assert all(OUTSIDE in text for text in with_record.violations) and not with_record.read_late
