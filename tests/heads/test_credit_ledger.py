"""Customers are made and volumes move while heads are cut off, killed and wiped: nothing is served uncharged.

In virtual time, by what the world knows of whose a volume was; and broken programs, each caught by its seed.
"""

from __future__ import annotations

import pytest

from stoatrouter.credit.gate import Gate
from stoatrouter.credit.ledger_freshness import LedgerFreshness, UnknownVolumes
from stoatrouter.lab.fleet import scenarios
from stoatrouter.lab.fleet.errors import InvariantViolated


@pytest.mark.parametrize("seed", range(16))
def test_nothing_of_a_customer_is_served_free_of_charge(seed):
    fleet = scenarios.run_ledger(seed)
    unknown = sum(gate.unowned.rejected for gate in fleet.gates.values())
    print(f"seed {seed}: {fleet.admitted} admitted, {fleet.served_free} free, {unknown} unknown")
    assert fleet.admitted > fleet.served_free and fleet.served_free


class TakesUnknownForFree(Gate):
    """A volume without a known customer is nobody's, whatever the ledger is worth: the fault of before."""

    __slots__ = ()

    def _admit_unowned(self):
        return None


class MistakesFreshness(Gate):
    """One degree of freshness is taken for a current ledger."""

    __slots__ = ()
    mistaken: LedgerFreshness

    def _admit_unowned(self):
        freshness = self.freshness
        self.freshness = lambda: LedgerFreshness.CURRENT if freshness() is self.mistaken else freshness()
        rejection = super()._admit_unowned()
        self.freshness = freshness
        return rejection


class TakesRestoredForCurrent(MistakesFreshness):
    """What was restored from the disk counts as confirmed."""

    __slots__ = ()
    mistaken = LedgerFreshness.RESTORED


class TakesStaleForCurrent(MistakesFreshness):
    """A ledger that was followed once counts as current for ever."""

    __slots__ = ()
    mistaken = LedgerFreshness.STALE


@pytest.mark.parametrize(
    "how",
    [
        {"make_gate": TakesUnknownForFree},
        {"make_gate": TakesRestoredForCurrent},
        {"make_gate": TakesStaleForCurrent},
        {"unknown_volumes": UnknownVolumes.SERVE},
    ],
    ids=["unknown", "restored", "stale", "the setting"],
)
def test_a_mutant_is_caught(how):
    for seed in range(40):
        try:
            scenarios.run_ledger(seed, **how)
        except InvariantViolated as caught:
            print(f"seed {seed}: {caught}")
            if "free of charge" in str(caught):
                return
    pytest.fail("no seed caught it")
