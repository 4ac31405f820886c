"""What the credit package raises."""

from __future__ import annotations


class CreditError(Exception):
    """The base of this package's errors."""


class UnknownAllotment(CreditError):
    """No allotment of this id is outstanding: it was never granted, or has been settled and closed."""

    def __init__(self, allotment: str) -> None:
        """Name the allotment."""
        super().__init__(
            f"no allotment {allotment!r} is outstanding: it was never granted, or is settled and closed; "
            "the ids of those outstanding are in Ledger.customer_by_allotment"
        )
        self.allotment = allotment
