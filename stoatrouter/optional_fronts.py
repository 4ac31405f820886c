"""Builds the optional fronts, which the platform leaves off; a head without them imports none of their code.

Each builder imports what it needs when it is called, and `head.py` calls it only if the operator has
configured the front's settings file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from stoatrouter.net.listener import Drain, Listener

if TYPE_CHECKING:
    from stoatrouter.config import Config
    from stoatrouter.fronts.http.front import HttpFront
    from stoatrouter.fronts.http.settings import HttpSettings
    from stoatrouter.fronts.objects.front import ApplyRules, ObjectFront
    from stoatrouter.fronts.objects.settings import ObjectSettings
    from stoatrouter.net.bodies import BodyCapacity
    from stoatrouter.net.engine import Engine
    from stoatrouter.net.recorder import Recorder
    from stoatrouter.net.tables import TableService


@dataclass(slots=True, frozen=True)
class ObjectFrontParts:
    """The object front, its listener, and the service of its rule table if one is configured."""

    front: ObjectFront
    listener: Listener
    tables: TableService | None


@dataclass(slots=True, frozen=True)
class HttpFrontParts:
    """The HTTP front, its listener, the service of its rule tables, and its recorder if recording is on."""

    front: HttpFront
    listener: Listener
    tables: TableService
    recorder: Recorder | None


def build_object_front(
    conf: Config, objects: ObjectSettings, engine: Engine, drain: Drain
) -> ObjectFrontParts:
    """Build the object front.

    Args:
        conf: the head's configuration.
        objects: the front's settings.
        engine: serves the front's requests.
        drain: tells whether this head is draining or out of service.

    Raises:
        ConfigError: the rule table cannot be loaded.
    """
    from stoatrouter.fronts.objects.front import ObjectFront

    tables: TableService | None = None
    apply_rules: ApplyRules | None = None
    if objects.rules is not None:
        from stoatrouter.fronts.objects.rules import CallRules
        from stoatrouter.fronts.wiring import create_object_tables

        tables = create_object_tables(conf, objects)
        rules = CallRules(tables.matcher, conf.settings, engine.clock.now, engine.reducer.default_retry_after)
        apply_rules = rules.apply
    front = ObjectFront(engine.serve_complete, conf.settings, objects, drain, apply_rules)
    return ObjectFrontParts(front, Listener(front.handle, drain), tables)


def build_http_front(
    conf: Config, http: HttpSettings, engine: Engine, drain: Drain, body_capacity: BodyCapacity
) -> HttpFrontParts:
    """Build the HTTP front with its rule tables and recorder.

    Args:
        conf: the head's configuration.
        http: the front's settings.
        engine: serves the front's requests.
        drain: tells whether this head is draining or out of service.
        body_capacity: limits the bytes of stored bodies.

    Raises:
        ConfigError: the rule tables cannot be loaded.
    """
    from stoatrouter.fronts.http.front import HttpFront
    from stoatrouter.fronts.wiring import create_http_tables, create_recorder

    tables = create_http_tables(conf, http)
    recorder = create_recorder(http)
    front = HttpFront(engine, conf.settings, drain, body_capacity, tables.matcher, recorder, http.forwarded)
    return HttpFrontParts(front, Listener(front.handle, drain), tables, recorder)
