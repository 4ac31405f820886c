"""Errors of the credit package."""

from __future__ import annotations


class CreditError(Exception):
    """Base class of this package's errors."""


class UnknownAllotment(CreditError):
    """No allotment with this id is outstanding: it was never granted, or was settled and closed."""

    def __init__(self, allotment: str) -> None:
        """Record the allotment's id."""
        super().__init__(
            f"allotment {allotment!r} is not outstanding: it was never granted, or was settled and closed; "
            "Ledger.customer_by_allotment lists the outstanding ids"
        )
        self.allotment = allotment
