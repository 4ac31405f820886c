"""Effects: the actions that the network code executes for the reducer, in the order given."""

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
    timeout: timedelta  # for the whole attempt, including connecting


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its end is still reported by AttemptEnded."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Run a health check of a node, which requests its load report."""

    node: str
    address: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Report TimerDue with this token after the given time."""

    after: timedelta
    token: int


@dataclass(slots=True, frozen=True)
class WatchOverdue:
    """Report Overdue for this request after the given time."""

    after: timedelta
    request: str


@dataclass(slots=True, frozen=True)
class GiveAnswer:
    """Send a request's final answer to its client."""

    request: str
    answer: Answer


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Answer a request that was not admitted; another request may be open under its id."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class SaveAdministrativeState:
    """Save the administrative state to disk; precedes all other effects of the change."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """Send the next process the state of the core that it needs."""

    nodes: tuple[NodeInfo, ...]
    administrative_state: AdministrativeState
    module: dict[str, Any]
    spent: list[list[Any]]  # ids that may have run (core/spent_ids.py)


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
