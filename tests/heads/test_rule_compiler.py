"""A head keeps compiled tables and errors only of the current versions of the rules."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from stoatrouter.history.records import Abandon
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.peering.rules import RulesService
from tests.heads.test_history import edit
from tests.peers import run


class TablesStub:
    """A stub that compiles any rules, or fails while the disk is full."""

    disk_is_full = False

    async def compile(self, path):
        if self.disk_is_full:
            raise OSError("no space left")
        return SimpleNamespace(path=path)


def service(folder) -> RulesService:
    fleet = SimpleNamespace(
        now=lambda: timedelta(0),
        settings=SimpleNamespace(folder=folder, name="h"),
        handlers={},
        leader=None,
        replication=SimpleNamespace(raft=SimpleNamespace(settled=False)),
    )
    return RulesService(SimpleNamespace(), fleet, RuleHistory(), TablesStub())


async def check_and_abandon(rules: RulesService, id: str, text: str) -> bool:
    """Make an edit and abandon it as another head cannot load it; return whether this head could."""
    number = rules.history.edit(edit(id, 0, text)).number
    await rules.step()
    await asyncio.gather(rules.compiler._task)
    report = rules.make_report()
    assert report.checked_version == number
    assert rules.history.abandon(Abandon(number, "another head cannot load it")).accepted
    await rules.step()
    return report.loadable


def test_tables_of_abandoned_versions_are_not_held(tmp_path):
    """Guards memory: the table of each abandoned edit was kept until another edit came into force."""

    async def story():
        rules = service(tmp_path)
        for number in range(5):
            assert await check_and_abandon(rules, f"e{number}", f"text {number}")
            assert not rules.compiler.compiled and not rules.compiler.errors

    run(story())


def test_an_edit_that_a_head_could_not_load_is_tried_again_when_it_is_made_again(tmp_path):
    """Guards against a head that, after lacking a resource once, refused the same rules for ever."""

    async def story():
        rules = service(tmp_path)
        rules.tables.disk_is_full = True
        assert not await check_and_abandon(rules, "e1", "text")
        rules.tables.disk_is_full = False
        assert await check_and_abandon(rules, "e2", "text")

    run(story())
