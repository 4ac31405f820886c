"""The parts that heads agree on, each put together where its settings turn it on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import msgspec
from aiohttp import web

from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.settings import HeadsSettings

if TYPE_CHECKING:
    from stoatrouter.agreement.machine import Part
    from stoatrouter.config import Config
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.net.engine import Engine
    from stoatrouter.net.tables import TableService
    from stoatrouter.peering.credit import CreditService
    from stoatrouter.peering.rules import RulesService

Call = Callable[[str, str, bytes], Awaitable[web.Response | None]]


class ServingHead(Protocol):
    """What the parts need of the head that they are parts of."""

    @property
    def conf(self) -> Config:
        """What the platform configured."""
        ...

    @property
    def engine(self) -> Engine:
        """What serves requests; credit is asked by it first."""
        ...

    @property
    def http_tables(self) -> TableService | None:
        """The rule tables of the HTTP front; None where it is off."""
        ...


def credit(
    settings: HeadsSettings, head: ServingHead, fleet: Fleet, parts: dict[str, Part], calls: list[Call]
) -> CreditService | None:
    """Prepaid credit, asked by the core before its module for every front."""
    if settings.credit is None:
        return None
    from stoatrouter.credit.ledger import Ledger
    from stoatrouter.peering.credit import PART, CreditService
    from stoatrouter.peering.credit_calls import CreditCalls

    ledger = parts[PART] = Ledger()
    scheduler = head.engine.reducer.scheduler
    service = CreditService(
        settings.credit,
        fleet,
        ledger,
        scheduler.settings.classes,
        scheduler.background_classes,
        head.engine.clock.now,
    )
    head.engine.reducer.gate = service.gate
    head.engine.prepare = service.prepare
    calls.append(CreditCalls(service).call)
    return service


def rules(
    settings: HeadsSettings,
    head: ServingHead,
    fleet: Fleet,
    parts: dict[str, Part],
    calls: list[Call],
    started_with: int,
) -> RulesService | None:
    """The shared history of the HTTP front's rules."""
    if settings.rules is None or head.http_tables is None:
        return None
    from stoatrouter.history.rule_history import RuleHistory
    from stoatrouter.peering.rule_calls import RuleCalls
    from stoatrouter.peering.rule_rollout import PART
    from stoatrouter.peering.rules import RulesService

    history = parts[PART] = RuleHistory()
    service = RulesService(settings.rules, fleet, history, head.http_tables, started_with)
    calls.append(RuleCalls(service).call)
    return service


def persisted_version(settings: HeadsSettings, http: HttpSettings | None) -> tuple[int, HttpSettings | None]:
    """With which version of the rules this head starts, and so with which files; 0: with its own."""
    if settings.rules is None or http is None:
        return 0, http
    from stoatrouter.peering.rule_store import RuleStore

    loaded = RuleStore(settings.folder).load()
    if loaded is None:
        return 0, http
    return loaded.number, msgspec.structs.replace(http, rules=loaded.root)
