"""The parts of the state machine that heads replicate.

Every head replicates all of them, whatever its settings turn on: a head that leads, or that sends a snapshot,
may be one whose settings differ, for instance while a service is turned on at one head after the other.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stoatrouter.agreement.machine import Part
from stoatrouter.credit.ledger import Ledger
from stoatrouter.history.rule_history import RuleHistory

# Names of the parts, as in commands and snapshots.
CREDIT = "credit"
RULES = "rules"


@dataclass(frozen=True, slots=True)
class ReplicatedParts:
    """The replicated state of one head, by service."""

    ledger: Ledger = field(default_factory=Ledger)
    history: RuleHistory = field(default_factory=RuleHistory)

    def by_name(self) -> dict[str, Part]:
        """Return the parts by the names that commands and snapshots have for them."""
        return {CREDIT: self.ledger, RULES: self.history}
