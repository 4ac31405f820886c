"""Judges a history of requests, as clients, nodes and discovery wrote it, by the rules of the platform's
pages.

It knows nothing of the program: it imports no code of a head and reads nothing that one logs. A line is a
dict: "what", "at" (seconds, one clock for all) and more.

    sent      request, head, kind            a client's request, its last byte
    answered  request, status                its one final answer, whole
    ended     request                        its connection ended with no whole answer
    gone      request                        its client closed before any answer
    attempt   request, node, first, at       what a node got: its first byte and its last
    over      request, node, ran             that attempt's end at the node; ran: whether it may have run
    told      head, node                     from when a head counts as told that the node leaves
    back      head, node                     from when it counts as told that the node serves
    killed    head                           a head was killed outright
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

Line = dict[str, Any]
NEVER = float("inf")


@dataclass(slots=True, frozen=True)
class Kind:
    """What a class allows; spans in seconds."""

    effect: str  # "safe", "keyed" or "unsafe"
    window: float = 0.0
    group: str = "cell"


@dataclass(slots=True, frozen=True)
class Terms:
    """What is promised; spans in seconds."""

    kinds: dict[str, Kind]
    cells: dict[str, int]  # by node
    drain_grace: float
    gone_within: float = 0.1  # an attempt may still begin so long after its client has gone
    slack: float = 0.05  # every limit is so much longer


def judge(lines: Iterable[Line], terms: Terms) -> list[str]:
    """All that is broken; nothing where every rule is kept."""
    lines = sorted(lines, key=lambda line: line["at"])
    by_request: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if "request" in line:
            by_request[line["request"]].append(line)
    found: list[str] = []
    for request, own in by_request.items():
        found += answers(request, own, lines)
        found += after_gone(request, own, terms)
        found += repeats(request, own, terms)
    return [*found, *leaving(lines, terms)]


def of(lines: Iterable[Line], what: str) -> list[Line]:
    return [line for line in lines if line["what"] == what]


def answers(request: str, own: list[Line], lines: list[Line]) -> Iterator[str]:
    """One final answer to what was taken, but where its client left or its head was killed."""
    given, sent = of(own, "answered"), of(own, "sent")
    if len(given) > 1:
        yield f"{request}: {len(given)} answers"
    if given and any(line["at"] < given[0]["at"] for line in of(own, "ended")):
        yield f"{request}: an answer after its connection had ended"
    for line in of(own, "ended"):
        head, taken = sent[0]["head"], sent[0]["at"]
        kills = [k["at"] for k in of(lines, "killed") if k["head"] == head]
        if not any(taken - 1.0 <= at <= line["at"] + 1.0 for at in kills):
            yield f"{request}: lost by {head}, which ended its connection with no whole answer"
    if sent and not given and not of(own, "ended") and not of(own, "gone"):
        yield f"{request}: never answered"


def after_gone(request: str, own: list[Line], terms: Terms) -> Iterator[str]:
    """No attempt begins once its client has gone."""
    for gone in of(own, "gone"):
        for attempt in of(own, "attempt"):
            late = attempt["first"] - gone["at"]
            if late > terms.gone_within + terms.slack:
                yield f"{request}: an attempt {late:.3f} s after its client had gone"


def repeats(request: str, own: list[Line], terms: Terms) -> Iterator[str]:
    """Never two at once, and repeats only as the class allows."""
    sent = of(own, "sent")
    if not sent:
        if of(own, "attempt"):
            yield f"{request}: an attempt of what no client sent"
        return
    kind, attempts, ends = terms.kinds[sent[0]["kind"]], of(own, "attempt"), of(own, "over")
    may_have_run: list[Line] = []
    for number, attempt in enumerate(attempts):
        for before in attempts[:number]:
            end = next((e for e in ends if e["node"] == before["node"] and e["at"] >= before["at"]), None)
            if (end["at"] if end else NEVER) > attempt["first"] + terms.slack:
                yield f"{request}: two attempts at once"
        if may_have_run:
            yield from again(request, attempt, may_have_run[0], kind, terms)
        end = next((e for e in ends if e["node"] == attempt["node"] and e["at"] >= attempt["at"]), None)
        if end is None or end["ran"]:
            may_have_run.append(attempt)


def again(request: str, attempt: Line, first: Line, kind: Kind, terms: Terms) -> Iterator[str]:
    """A further attempt after one that may have run."""
    if kind.effect == "unsafe":
        yield f"{request}: repeated, though it may have run and may not run twice"
    if kind.effect != "keyed":
        return
    if attempt["first"] - first["first"] > kind.window + terms.slack:
        yield f"{request}: repeated outside its window"
    if kind.group == "cell" and terms.cells[attempt["node"]] != terms.cells[first["node"]]:
        yield f"{request}: repeated in another cell"


def leaving(lines: list[Line], terms: Terms) -> Iterator[str]:
    """Nothing goes to a node once the grace is over since its head was told that it leaves."""
    heads = {line["request"]: line["head"] for line in of(lines, "sent")}
    told: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
    for line in lines:
        if line["what"] in ("told", "back"):
            told[line["head"], line["node"]].append((line["at"], line["what"] == "told"))
    for attempt in of(lines, "attempt"):
        about = told[heads.get(attempt["request"], ""), attempt["node"]]
        known = [word for word in about if word[0] <= attempt["first"]]
        if known and known[-1][1] and attempt["first"] - known[-1][0] > terms.drain_grace + terms.slack:
            late = attempt["first"] - known[-1][0]
            yield f"{attempt['request']}: sent to {attempt['node']} {late:.3f} s after it was told as leaving"
