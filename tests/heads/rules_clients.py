"""Editors of rules and clients of the HTTP front, as stories on processes need them."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from tests.heads.processes import HeadProcess, ProcessFleet

HISTORY = 'rules: {check_within: "4s"}\n'
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
    """Which rules a head decides by, as a client sees it."""
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


async def became(fleet: ProcessFleet, id: str, *states: str) -> dict[str, Any]:
    """What became of an id, once it is one of these."""

    async def look():
        for head in fleet.up:
            status, told = await head.call("GET", f"/control/rules/edits/{id}")
            if status == 200:
                return told if told["state"] in states else None
        return None

    return await fleet.until(look, f"{id} is {states}")


async def all_marked(fleet: ProcessFleet, text: str, *names: str) -> None:
    async def look() -> bool:
        return all([await active_mark(h) == text for h in ([fleet[n] for n in names] or fleet.up)])

    await fleet.until(look, f"all decide by {text!r}")


async def put(fleet: ProcessFleet, id: str, base: int, text: str, by: HeadProcess | None = None) -> int:
    """An edit that comes in force everywhere; its number."""
    head = by or fleet.up[0]
    status, told = await edit(head, id, base, rules(text))
    assert status == 202, told
    assert (await became(fleet, id, "everywhere", "abandoned"))["state"] == "everywhere"
    await all_marked(fleet, text)
    return told["number"]


def versions_only_go_up(fleet: ProcessFleet) -> None:
    """From each head's log: over its restarts, too."""
    for head in fleet:
        numbers = [said["number"] for said in head.events("rules.version")]
        assert numbers == sorted(numbers), (head.name, numbers)
