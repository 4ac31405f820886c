"""What the reducer asks of credit control: whether a request can be paid for. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stoatrouter.core.requests import Refused, Request


@dataclass(slots=True, frozen=True)
class AdmissionRejection:
    """A request that is not admitted.

    Attributes:
        answer: The final answer.
        counter: The name that the rejection is tallied under (docs/on-call.md).
    """

    answer: Refused
    counter: str


class Gate(Protocol):
    """Credit control: admits requests, and settles each at its final answer."""

    def take(self, request: Request, now: timedelta) -> AdmissionRejection | None:
        """Reserve what a request costs; returns the rejection where that is not possible."""

    def end(self, request: str, may_have_run: bool) -> None:
        """Settle a request's reservation at its final answer; `may_have_run`: a node may have executed it."""
