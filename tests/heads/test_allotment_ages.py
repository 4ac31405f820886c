"""A leader never expires an allotment before its holder has stopped spending it.

Ages need no reset after a snapshot: an allotment's id names the log entry of its grant, so the same id is the
same allotment before and after a snapshot, and the leader knows it since a moment after its holder asked for
it. An earlier callback meant to reset the ages after a snapshot cleared a dictionary that had been replaced,
without effect. A reset would only delay expiry: a customer set to `unspent` would get back the credit of a
failed head up to a lease later; one set to `spent` is charged until the head settles, whenever the allotment
expires.
"""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from stoatrouter.credit.allotment_ages import MAX_CLOCK_DRIFT, AllotmentAges
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import (
    BookEntry,
    CreditReport,
    CustomerReport,
    Expired,
    PutCustomer,
    RegisterHead,
)

LEASE = timedelta(seconds=2)
MS = timedelta(milliseconds=1)

steps = st.lists(
    st.tuples(st.sampled_from(["grant", "settle", "snapshot", "look"]), st.integers(0, 3000)), max_size=40
)


@given(steps, st.floats(1 / MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT))
def test_nothing_expires_while_its_holder_may_spend_it(steps, rate):
    """Holds over snapshots too; `rate` is the speed of the holder's clock relative to the leader's."""
    ages = AllotmentAges(LEASE)
    now = timedelta(0)
    # when each outstanding allotment was requested, by the leader's clock
    asked_at: dict[str, timedelta] = {}
    for number, (step, wait) in enumerate(steps):
        if step == "grant":
            asked_at[f"{number}.0"] = now  # the holder counts the lease from its request
        now += wait * MS
        if step == "settle" and asked_at:
            del asked_at[next(iter(asked_at))]
        # a snapshot that replaces the ledger has the same allotments, so ages need no reset
        if step in ("look", "snapshot"):
            ages.observe(asked_at.keys(), now)
            for id in ages.overdue(now):
                assert (now - asked_at[id]) * rate >= LEASE


def test_what_is_known_stays_known_and_what_is_gone_is_forgotten():
    ages = AllotmentAges(LEASE)
    ages.observe({"1.0": "x", "2.0": "x"}.keys(), 0 * MS)
    ages.observe({"2.0": "x", "3.0": "x"}.keys(), 2000 * MS)
    assert ages.overdue(3000 * MS) == ["2.0"]
    assert ages.overdue(5000 * MS) == ["2.0", "3.0"]


def outstanding_after_a_snapshot(refund_expired: bool) -> tuple[int, int]:
    """Return the free credit of a restored account before and after its only allotment expires."""
    ledger = Ledger()
    ledger.put_customer(PutCustomer("x", ("v",), refund_expired=refund_expired))
    ledger.book_entry(1, BookEntry("t", "x", 1000, "top-up", "a", "b", "c"))
    ledger.register_head(RegisterHead("h", "h/0", "", 1, ()))
    ledger.apply_report(2, CreditReport("h", "h/0", 2, (CustomerReport("x", wanted=400),)))
    restored = Ledger()
    restored.restore(ledger.state())
    assert restored.customer_by_allotment == {"2.0": "x"}
    account = restored.accounts["x"]
    before = account.free
    restored.mark_expired(Expired(("2.0",)))
    return before, account.free


def test_what_an_expiry_gives_back_by_the_customers_setting():
    assert outstanding_after_a_snapshot(refund_expired=False) == (600, 600)
    assert outstanding_after_a_snapshot(refund_expired=True) == (600, 1000)
