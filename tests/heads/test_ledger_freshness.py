"""Admission for volumes without a known customer, by how current a head's ledger is."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import msgspec
import pytest

from stoatrouter.agreement.contact import MajorityContact
from stoatrouter.core import model
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.gate import Gate
from stoatrouter.credit.ledger_freshness import (
    LedgerFacts,
    LedgerFreshness,
    UnknownVolumes,
    freshness_of,
    reject_unowned,
)
from stoatrouter.credit.local_account import RejectionReason
from stoatrouter.lab.fleet.credit_head import CreditDisk
from stoatrouter.peering.availability import AvailabilityMonitor
from stoatrouter.peering.calls import Fetched

SECOND = timedelta(seconds=1)
CUT_OFF_AFTER = 3 * SECOND
PRICES = (10, 0)  # of the classes 0 and 1


@pytest.mark.parametrize(
    ("facts", "freshness"),
    [
        (LedgerFacts(0, None), LedgerFreshness.NEVER_HEARD),
        (LedgerFacts(7, None), LedgerFreshness.RESTORED),
        (LedgerFacts(7, 0 * SECOND), LedgerFreshness.CURRENT),
        (LedgerFacts(7, CUT_OFF_AFTER), LedgerFreshness.CURRENT),
        (LedgerFacts(7, CUT_OFF_AFTER + timedelta(microseconds=1)), LedgerFreshness.STALE),
    ],
)
def test_what_is_known(facts, freshness):
    assert freshness_of(facts, CUT_OFF_AFTER) is freshness


@pytest.mark.parametrize("freshness", LedgerFreshness)
def test_only_a_current_ledger_shows_that_a_volume_is_free(freshness):
    rejected = reject_unowned(freshness, UnknownVolumes.REJECT)
    assert rejected is (None if freshness is LedgerFreshness.CURRENT else RejectionReason.LEDGER_UNKNOWN)
    assert reject_unowned(freshness, UnknownVolumes.SERVE) is None


@pytest.mark.parametrize("unknown_volumes", UnknownVolumes)
@pytest.mark.parametrize("freshness", LedgerFreshness)
def test_the_gate_counts_what_it_cannot_know(freshness, unknown_volumes):
    escrow = HeadEscrow(SECOND, CreditDisk())
    gate = Gate(escrow, {}.get, PRICES, (0, 0), lambda: freshness, unknown_volumes)
    rejection = gate.take(request(0), SECOND)
    free = gate.take(request(1), SECOND)
    assert free is None, "requests without a price are served as before"
    unknown = freshness is not LedgerFreshness.CURRENT
    rejects = unknown and unknown_volumes is UnknownVolumes.REJECT
    assert (rejection is not None) is rejects
    if rejection is not None:
        assert rejection.answer == model.Refused(None)
        assert rejection.counter == "ledger_unknown"
    assert (gate.unowned.rejected, gate.unowned.served) == (int(rejects), int(unknown and not rejects))


def request(request_class: int) -> model.Request:
    """Return a request for a volume without a known customer."""
    return model.Request(f"r{request_class}", request_class, 1, "v", "k", 0, 2.0, 1, 2 * SECOND, False)


def test_a_contact_counts_as_followed_once_what_it_came_with_is_applied():
    """A voter may report a recent contact while its log lags, so the report includes the committed index."""

    async def story() -> None:
        now = [10 * SECOND]
        machine = SimpleNamespace(index=5)
        raft = SimpleNamespace(settled=False, votes_here=False, leads=False)
        replication = SimpleNamespace(machine=machine, raft=raft, disk_writable=True)
        settings = SimpleNamespace(cut_off_after=CUT_OFF_AFTER, wait_at_start=SECOND)
        monitor = AvailabilityMonitor(settings, replication, SimpleNamespace(origin="o"), lambda: now[0])
        monitor.note_contact(MajorityContact(9 * SECOND), 5)
        assert monitor.followed.latest == 9 * SECOND
        now[0] = 12 * SECOND
        monitor.note_contact(MajorityContact(12 * SECOND), 7)  # two entries are still missing
        assert (monitor.followed.latest, monitor.contact.latest) == (9 * SECOND, 12 * SECOND)
        machine.index = 7
        monitor.refresh()
        assert monitor.followed.latest == 12 * SECOND
        monitor.note_contact(MajorityContact(13 * SECOND), 6)  # from a voter that knows less
        assert monitor.known_commit == 7
        monitor.reset_followed()
        assert monitor.followed.latest is None

    asyncio.run(story())


def test_an_answer_to_a_poll_of_an_earlier_version_is_read():
    old = msgspec.msgpack.encode(("o", True, "h0", 1, 1, (), 9, None, (), None, timedelta(0)))
    assert msgspec.msgpack.decode(old, type=Fetched).behind == 0
