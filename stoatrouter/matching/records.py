"""Typed records of the contents of rule files. The schema is settings/schemas/rules.cue."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Computed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value that an expression computes for each request."""

    expr: str


class Refusal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The answer of a rule that refuses."""

    status: int
    reason: str


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rule: its condition, and the values it yields. Omitted fields default to the scope's."""

    name: str
    when: str
    request_class: str | Computed | None = msgspec.field(default=None, name="class")
    volume: str | Computed | None = None
    plan: str | Computed | None = None
    key: str | Computed | None = None
    shard: int | Computed | None = None
    units: float | Computed | None = None
    hosts: int | None = None
    repeat: bool | Computed | None = None
    deadline: str | Computed | None = None
    refuse: Refusal | None = None


class RuleField(StrEnum):
    """The fields of a rule that yield values, by their names in the file."""

    CLASS = "class"
    VOLUME = "volume"
    PLAN = "plan"
    KEY = "key"
    SHARD = "shard"
    UNITS = "units"
    REPEAT = "repeat"
    DEADLINE = "deadline"

    @property
    def attribute(self) -> str:
        """Return the name of the attribute of Rule that holds the field."""
        return "request_class" if self is RuleField.CLASS else self.value


class Rights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Additional rights that an operator may grant to a team."""

    repeat_unsafe_methods: bool = False  # PUT and POST may get a class that heads retry freely


class Scope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's scope: what its rules may use. The operator defines it, not the team."""

    hosts: tuple[str, ...]
    paths: tuple[str, ...]
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    volumes: tuple[str, ...]
    steps: int
    file: str | None = None
    rules: tuple[Rule, ...] = ()
    rights: Rights = Rights()
    hosts_of_volume: int = 1


class Otherwise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The answer to a request that no rule matches."""

    status: int
    reason: str


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's file: scopes by name, and the answer to requests that none of them matches."""

    scopes: dict[str, Scope]
    otherwise: Otherwise


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's own file, which holds only its rules."""

    rules: tuple[Rule, ...] = ()
