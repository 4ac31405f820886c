"""Editors of rules and clients of the HTTP front for tests with real processes."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from tests.heads.processes import HeadProcess, ProcessFleet

RULES_SETTINGS = 'rules: {check_within: "4s"}\n'
RULES = """scopes: feed: {
	hosts: ["*"]
	paths: ["/"]
	classes: ["score-read"]
	plans: ["premium"]
	volumes: ["00000000f0a70011"]
	rules: [
		{name: "marked", when: #"request.path == "/mark""#, refuse: {status: 451, reason: "MARK"}},
		{name: "reads", when: #"request.method == "GET""#, class: "score-read"},
	]
}
"""


def rules(mark: str) -> str:
    return RULES.replace("MARK", mark)


async def active_mark(head: HeadProcess) -> str:
    """Return the mark of the rules that a head uses, as a client sees it."""
    try:
        url = f"http://{head.host}:{head.http_port}/mark"
        async with asyncio.timeout(3), head.fleet.session.get(url) as response:
            return (await response.text()).strip()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return ""


async def edit(head: HeadProcess, id: str, base: int, text: str, author: str = "ann") -> tuple[int, Any]:
    return await head.call(
        "POST",
        "/control/rules/edits",
        {
            "id": id,
            "base": base,
            "root": "rules.cue",
            "files": {"rules.cue": text},
            "author": author,
            "reason": "story",
        },
    )


async def undo(head: HeadProcess, id: str, version: int, to: int = 0) -> tuple[int, Any]:
    return await head.call(
        "POST",
        "/control/rules/undo",
        {"id": id, "version": version, "to": to, "author": "bob", "reason": "story"},
    )


async def until_edit_is(fleet: ProcessFleet, id: str, *states: str) -> dict[str, Any]:
    """Wait until the change with this id is in one of these states, and return its status."""

    async def look():
        for head in fleet.up:
            status, answer = await head.call("GET", f"/control/rules/edits/{id}")
            if status == 200:
                return answer if answer["state"] in states else None
        return None

    return await fleet.until(look, f"{id} is {states}")


async def until_all_marked(fleet: ProcessFleet, text: str, *names: str) -> None:
    """Wait until these heads, or all running ones, use the rules with this mark."""

    async def look() -> bool:
        return all([await active_mark(h) == text for h in ([fleet[n] for n in names] or fleet.up)])

    await fleet.until(look, f"all decide by {text!r}")


async def roll_out(fleet: ProcessFleet, id: str, base: int, text: str, by: HeadProcess | None = None) -> int:
    """Make an edit, wait until it is in force everywhere, and return its number."""
    head = by or fleet.up[0]
    status, answer = await edit(head, id, base, rules(text))
    assert status == 202, answer
    assert (await until_edit_is(fleet, id, "everywhere", "abandoned"))["state"] == "everywhere"
    await until_all_marked(fleet, text)
    return answer["number"]


def check_versions_ascend(fleet: ProcessFleet) -> None:
    """Assert, by each head's log, that its versions ascend, also over restarts."""
    for head in fleet:
        numbers = [event["number"] for event in head.events("rules.version")]
        assert numbers == sorted(numbers), (head.name, numbers)
