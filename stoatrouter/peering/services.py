"""Sets up the services with replicated state, each if its settings turn it on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

import msgspec
from aiohttp import web

from stoatrouter.peering.fleet import Fleet
from stoatrouter.peering.settings import HeadsSettings

if TYPE_CHECKING:
    from stoatrouter.config import Config
    from stoatrouter.credit.ledger import Ledger
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.history.rule_history import RuleHistory
    from stoatrouter.net.engine import Engine
    from stoatrouter.net.tables import TableService
    from stoatrouter.peering.credit import CreditService
    from stoatrouter.peering.rules import RulesService

Call = Callable[[str, str, bytes], Awaitable[web.Response | None]]


class ServingHead(Protocol):
    """What the services need of the head that they belong to."""

    @property
    def conf(self) -> Config:
        """The head's configuration."""
        ...

    @property
    def engine(self) -> Engine:
        """The engine that serves requests; it asks the credit service first."""
        ...

    @property
    def http_tables(self) -> TableService | None:
        """The rule tables of the HTTP front; None if it is off."""
        ...


class StartingRules(NamedTuple):
    """The rules that a head starts with."""

    version: int  # of the history; 0: the head's own files
    http: HttpSettings | None  # the HTTP front's settings, with the files of that version


def add_credit(
    settings: HeadsSettings, head: ServingHead, fleet: Fleet, ledger: Ledger, calls: list[Call]
) -> CreditService | None:
    """Set up prepaid credit, which the core consults for the requests of every front.

    Args:
        settings: The settings of the heads.
        head: The head whose engine consults it.
        fleet: The fleet of this head.
        ledger: The replicated accounts.
        calls: Receives its management calls.

    Returns:
        The service; None if the settings turn it off.
    """
    if settings.credit is None:
        return None
    from stoatrouter.peering.credit import CreditService
    from stoatrouter.peering.credit_calls import CreditCalls

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


def add_rules(
    settings: HeadsSettings,
    head: ServingHead,
    fleet: Fleet,
    history: RuleHistory,
    calls: list[Call],
    starting_version: int,
) -> RulesService | None:
    """Set up the shared history of the HTTP front's rules.

    Args:
        settings: The settings of the heads.
        head: The head whose rule tables follow the history.
        fleet: The fleet of this head.
        history: The replicated history.
        calls: Receives its management calls.
        starting_version: The version that the head started with (`persisted_version`).

    Returns:
        The service; None if the settings turn it off, or the head has no HTTP front.
    """
    if settings.rules is None or head.http_tables is None:
        return None
    from stoatrouter.peering.rule_calls import RuleCalls
    from stoatrouter.peering.rules import RulesService

    service = RulesService(settings.rules, fleet, history, head.http_tables, starting_version)
    calls.append(RuleCalls(service).call)
    return service


def persisted_version(settings: HeadsSettings, http: HttpSettings | None) -> StartingRules:
    """Load the version of the rules that this head has stored, to start with.

    Args:
        settings: The settings of the heads.
        http: The HTTP front's settings; None if it is off.

    Returns:
        The stored version and its files, or version 0 and the head's own files if none is usable.
    """
    if settings.rules is None or http is None:
        return StartingRules(0, http)
    from stoatrouter.peering.rule_store import RuleStore

    stored = RuleStore(settings.folder).load()
    if stored is None:
        return StartingRules(0, http)
    return StartingRules(stored.number, msgspec.structs.replace(http, rules=stored.root))
