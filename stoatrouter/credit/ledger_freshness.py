"""The freshness of a head's copy of the ledger, and the treatment of volumes without a known customer.

No I/O and no clock. A volume counts as free of charge only if the ledger is known to be current; otherwise it
may have been assigned to a customer since. The decision table is in docs/design/heads.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, StrEnum

from stoatrouter.credit.local_account import RejectionReason


class LedgerFreshness(StrEnum):
    """The freshness of a head's copy of the ledger; operators see the values."""

    NEVER_HEARD = "never heard"  # no fleet exists yet, or a new disk has not fetched anything
    RESTORED = "restored"  # loaded from disk as committed at the head's last stop, not confirmed since
    CURRENT = "current"  # everything that was committed up to `cut_off_after` ago is applied
    STALE = "stale"  # it was last current longer than `cut_off_after` ago


class UnknownVolumes(Enum):
    """The setting for volumes without a known customer while the ledger is not current."""

    REJECT = "reject"
    SERVE = "serve"  # free of charge, even if the volume belongs to a customer


@dataclass(slots=True, frozen=True)
class LedgerFacts:
    """The state of a head's copy of the ledger.

    Attributes:
        index: The index of the last applied log entry; 0 if there is none.
        followed_age: The time since the head had last applied everything that was committed at that time;
            None if it never had since its start.
    """

    index: int
    followed_age: timedelta | None


def freshness_of(facts: LedgerFacts, cut_off_after: timedelta) -> LedgerFreshness:
    """Return the freshness of a head's copy of the ledger.

    Args:
        facts: The state of the copy.
        cut_off_after: The maximum `followed_age` of a current copy.
    """
    if facts.followed_age is None:
        return LedgerFreshness.RESTORED if facts.index else LedgerFreshness.NEVER_HEARD
    return LedgerFreshness.CURRENT if facts.followed_age <= cut_off_after else LedgerFreshness.STALE


def reject_unowned(freshness: LedgerFreshness, unknown_volumes: UnknownVolumes) -> RejectionReason | None:
    """Return why to reject a request with a price for a volume without a known customer; None to serve it."""
    if freshness is LedgerFreshness.CURRENT or unknown_volumes is UnknownVolumes.SERVE:
        return None
    return RejectionReason.LEDGER_UNKNOWN
