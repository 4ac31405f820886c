"""Histories of several processes with faults, judged by what clients, nodes and discovery saw.

The checker itself must find the violations of broken programs.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from stoatrouter.lab.histories.requests import Effect, Guarantees, RequestClass, find_violations
from tests.departure_story import DEPARTURES, play_departures
from tests.fleet_story import play

TERMS = Guarantees(
    {
        "look": RequestClass(Effect.SAFE),
        "note": RequestClass(Effect.IDEMPOTENT, 2.0),
        "lend": RequestClass(Effect.UNSAFE),
    },
    {"a": 0, "b": 0, "c": 1},
    drain_grace=1.0,
)


def sent(kind="look", at=0.0):
    return {"what": "sent", "at": at, "request": "r", "head": "h", "kind": kind}


def attempt(node="a", first=0.1):
    return {"what": "attempt", "at": first, "first": first, "request": "r", "node": node}


def done(node="a", at=0.2, ran=True):
    return {"what": "over", "at": at, "request": "r", "node": node, "ran": ran}


def line(what, at=1.0, **more):
    return {"what": what, "at": at, "request": "r"} | more


def notice(what, at):
    return {"what": what, "at": at, "head": "h", "node": "a"}


ANSWER = line("answered", 3.0, status=200)
LATER_REQUEST = (sent(at=2.0), attempt(first=2.0), done(at=2.1), ANSWER)


@pytest.mark.parametrize(
    ("lines", "found"),
    [
        ([sent(), attempt(), attempt("b", 0.12), done(), done("b"), ANSWER], None),
        ([sent("note"), attempt(), attempt("b", 0.12), done(), done("b"), ANSWER], None),
        ([sent("lend"), attempt(), attempt("b", 0.12), done(), done("b"), ANSWER], "two attempts at once"),
        (
            [sent(), attempt(), attempt("b", 0.11), attempt("c", 0.12), done(), done("b"), done("c"), ANSWER],
            "two attempts at once",
        ),
    ],
)
def test_two_attempts_at_once_are_no_finding_only_where_settings_and_class_allow_them(lines, found):
    violations = find_violations(lines, replace(TERMS, parallel_attempts=True))
    assert any(found in violation for violation in violations) if found else violations == []


@pytest.mark.parametrize(
    ("lines", "found"),
    [
        ([sent(), attempt(), done(), ANSWER], None),
        ([sent(), attempt(), done(), attempt("b", 0.5), done("b", 0.6), ANSWER], None),
        ([sent(), attempt(), done()], "never answered"),
        ([sent(), attempt(), done(), line("answered", 3.0, status=200, of="r")], None),
        ([sent(), attempt(), done(), line("answered", 3.0, status=200, of="q")], "the answer to q"),
        ([sent(), ANSWER, line("answered", 3.1, status=503)], "2 answers"),
        ([sent(), attempt(), line("ended")], "lost by h"),
        ([sent(), attempt(), line("ended"), {"what": "killed", "at": 0.9, "head": "h"}], None),
        ([sent(), line("gone", 1.0), attempt(first=1.1)], None),
        ([sent(), line("gone", 1.0), attempt(first=1.2)], "after its client had gone"),
        ([sent(), attempt(), attempt("b", 0.15), done(), done("b"), ANSWER], None),  # within the slack
        ([sent(), attempt(), attempt("b", 0.12), done(), done("b"), ANSWER], "two attempts at once"),
        ([sent("lend"), attempt(), done(ran=False), attempt("b", 0.5), done("b", 0.6), ANSWER], None),
        ([sent("lend"), attempt(), done(), attempt("b", 0.5), done("b", 0.6), ANSWER], "may not run twice"),
        ([sent("note"), attempt(), done(), attempt("b", 2.0), done("b", 2.1), ANSWER], None),
        ([sent("note"), attempt(), done(), attempt("b", 2.2), done("b", 2.3), ANSWER], "outside its window"),
        ([sent("note"), attempt(), done(), attempt("c", 1.0), done("c", 1.1), ANSWER], "in another cell"),
        ([*LATER_REQUEST, notice("told", 1.0)], None),
        ([*LATER_REQUEST, notice("told", 0.5)], "told as leaving"),
        ([*LATER_REQUEST, notice("told", 0.5), notice("back", 1.0)], None),
        ([attempt()], "what no client sent"),
    ],
)
def test_the_judge_finds_what_is_broken_and_nothing_else(lines, found):
    violations = find_violations(lines, TERMS)
    assert violations == [] if found is None else len(violations) == 1 and found in violations[0]


@pytest.mark.parametrize("seed", [1])
def test_three_heads_keep_the_rules_through_drains_silence_and_restarts(tmp_path, seed):
    print("seed", seed)
    lines, terms = asyncio.run(play(tmp_path, seed))
    assert find_violations(lines, terms) == []
    counts = {what: sum(line["what"] == what for line in lines) for what in ("answered", "gone", "attempt")}
    assert min(counts.values()) >= 10, counts  # there was something to find_violations
    served = sum(line["what"] == "answered" and line["status"] == 200 for line in lines)
    assert served > 0.5 * counts["answered"]


BROKEN_PROGRAMS = {
    "told as leaving": "from stoatrouter.net import endpoint_list\n"
    "endpoint_list.PHASES['DRAINING'] = endpoint_list.PHASES['SERVING']\n",
    "may not run twice": "from stoatrouter.policy import scheduler, send_rules\n"
    "scheduler.blocks_retry = send_rules.blocks_retry = lambda *_: False\n",
    "after its client had gone": "from stoatrouter.core.reducer import Reducer\n"
    "Reducer._client_left = lambda self, name: []\n"
    "from stoatrouter.net import engine\nengine.has_disconnected = lambda client: False\n",
    "lost by": "from stoatrouter.head import Head\nasync def stop(self):\n    pass\nHead.stop = stop\n",
}


# In the random runs below, whether a client leaves between an attempt and its retry depends on the seed and
# on the machine's speed, so that they sometimes missed this fault. Here the departure is forced.
def test_a_program_that_does_not_see_its_clients_leave_is_caught(tmp_path):
    found = "after its client had gone"
    lines, terms = asyncio.run(play_departures(tmp_path, BROKEN_PROGRAMS[found]))
    violations = find_violations(lines, terms)
    # at least the first departure: after it the node has declined, and not each attempt is repeated
    assert violations and all(found in violation for violation in violations), violations


def test_nothing_is_sent_for_a_client_that_has_gone(tmp_path):
    lines, terms = asyncio.run(play_departures(tmp_path))
    assert find_violations(lines, terms) == []
    assert sum(line["what"] == "attempt" for line in lines) == DEPARTURES


# A run shows a fault only if its random events and the machine's speed bring it about, for example by a
# client that leaves before a retry. On a loaded machine one run has too few such events, so several seeds are
# tried.
STORY_SEEDS = range(1, 7)


@pytest.mark.parametrize(
    "found", [found for found in BROKEN_PROGRAMS if found != "after its client had gone"]
)
def test_a_broken_program_is_caught(tmp_path, found):
    def is_caught(seed: int) -> bool:
        print("seed", seed)
        folder = tmp_path / str(seed)
        folder.mkdir()
        lines, terms = asyncio.run(play(folder, seed, heads=2, turns=3, prelude=BROKEN_PROGRAMS[found]))
        # the slack of the platform's page; the wider one above allows for the whole program on a busy machine
        return any(found in violation for violation in find_violations(lines, replace(terms, slack=0.05)))

    assert any(is_caught(seed) for seed in STORY_SEEDS)
