"""The interface of credit control to the reducer: whether a request can be paid for. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stoatrouter.core.requests import Refused, Request


@dataclass(slots=True, frozen=True)
class AdmissionRejection:
    """The rejection of a request that credit control does not admit.

    Attributes:
        answer: The final answer.
        counter: The name of the counter for this rejection (docs/on-call.md).
    """

    answer: Refused
    counter: str


class Gate(Protocol):
    """Credit control: admits requests, and settles each at its final answer."""

    def take(self, request: Request, now: timedelta) -> AdmissionRejection | None:
        """Reserve the cost of a request; return the rejection if that is not possible."""

    def end(self, request: str, may_have_run: bool) -> None:
        """Settle a reservation at the final answer; `may_have_run`: a node may have executed the request."""
