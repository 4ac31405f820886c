"""What a head knows of the ledger, and what becomes of volumes without a known customer: one table, as code.

No I/O and no clock. A volume is free only where the ledger is known to be current: elsewhere it may have
become a customer's since. The rows are in docs/design/heads.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, StrEnum

from stoatrouter.credit.local_account import RejectionReason


class LedgerFreshness(StrEnum):
    """What a head knows of the ledger; the values are what operators see."""

    NEVER_HEARD = "never heard"  # no fleet yet, or a new disk that has fetched nothing
    RESTORED = "restored"  # as it was committed at the head's last stop, not confirmed since
    CURRENT = "current"  # all that was committed until a moment ago is applied
    STALE = "stale"  # it was current, longer ago than `cut_off_after`


class UnknownVolumes(Enum):
    """What operators want of volumes without a known customer where the ledger is not current."""

    REJECT = "reject"
    SERVE = "serve"  # free of charge, whoever's they may be


@dataclass(slots=True, frozen=True)
class LedgerFacts:
    """What a head knows of its copy of the ledger.

    Attributes:
        index: Up to where the log is applied; 0: nothing ever was.
        followed_age: How long ago all that was committed by then was applied; None: never since the start.
    """

    index: int
    followed_age: timedelta | None


def freshness_of(facts: LedgerFacts, cut_off_after: timedelta) -> LedgerFreshness:
    """Say what a head knows of the ledger.

    Args:
        facts: What it knows of its copy.
        cut_off_after: For how long a copy counts as current after it was last followed.
    """
    if facts.followed_age is None:
        return LedgerFreshness.RESTORED if facts.index else LedgerFreshness.NEVER_HEARD
    return LedgerFreshness.CURRENT if facts.followed_age <= cut_off_after else LedgerFreshness.STALE


def reject_unowned(freshness: LedgerFreshness, unknown_volumes: UnknownVolumes) -> RejectionReason | None:
    """Decide on a request that has a price, of a volume whose customer is not known; None: it is served."""
    if freshness is LedgerFreshness.CURRENT or unknown_volumes is UnknownVolumes.SERVE:
        return None
    return RejectionReason.LEDGER_UNKNOWN
