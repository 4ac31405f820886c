"""Effects: what the network code must do for the reducer, in the order given."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from stoatrouter.core.nodes import AdministrativeState, NodeInfo
from stoatrouter.core.requests import Answer, Request


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send a request to a node, as one attempt."""

    request: Request
    attempt: int
    address: str
    timeout: timedelta  # for all of it, connecting included


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its end is still reported by AttemptEnded."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Run a health check of a node: request its load report."""

    node: str
    address: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Report TimerDue with this token after this time."""

    after: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class WatchOverdue:
    """Report Overdue for this request after this time."""

    after: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class GiveAnswer:
    """Give a request its final answer."""

    request: str
    answer: Answer


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """The answer to a request that was not admitted; another request may be open under its id."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class SaveAdministrativeState:
    """Save the administrative state to disk; it precedes any other effect of the change."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """The state of the core that the next process needs."""

    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]


Effect = (
    SendAttempt
    | CancelAttempt
    | CheckHealth
    | SetTimer
    | WatchOverdue
    | GiveAnswer
    | RejectRequest
    | SaveAdministrativeState
    | HandoverState
)
