"""Customers are created and volumes move while heads are cut off, killed and wiped: all requests are charged.

Runs in virtual time against the simulation's own record of each volume's customer; mutants must be caught.
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
    """Takes a volume without a known customer for a free one, however old the ledger: an earlier fault."""

    __slots__ = ()

    def _admit_unowned(self):
        return None


class MistakesFreshness(Gate):
    """Takes one degree of freshness for a current ledger."""

    __slots__ = ()
    mistaken: LedgerFreshness

    def _admit_unowned(self):
        freshness = self.freshness
        self.freshness = lambda: LedgerFreshness.CURRENT if freshness() is self.mistaken else freshness()
        rejection = super()._admit_unowned()
        self.freshness = freshness
        return rejection


class TakesRestoredForCurrent(MistakesFreshness):
    """Takes a ledger restored from disk for a current one."""

    __slots__ = ()
    mistaken = LedgerFreshness.RESTORED


class TakesStaleForCurrent(MistakesFreshness):
    """Takes a ledger that was once current for a current one."""

    __slots__ = ()
    mistaken = LedgerFreshness.STALE


@pytest.mark.parametrize(
    "options",
    [
        {"make_gate": TakesUnknownForFree},
        {"make_gate": TakesRestoredForCurrent},
        {"make_gate": TakesStaleForCurrent},
        {"unknown_volumes": UnknownVolumes.SERVE},
    ],
    ids=["unknown", "restored", "stale", "the setting"],
)
def test_a_mutant_is_caught(options):
    for seed in range(40):
        try:
            scenarios.run_ledger(seed, **options)
        except InvariantViolated as caught:
            print(f"seed {seed}: {caught}")
            if "free of charge" in str(caught):
                return
    pytest.fail("no seed caught it")
