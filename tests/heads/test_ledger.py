"""Random sequences of commands never grant or charge more than an account holds."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatrouter.credit.accounts import HeadRegistration, allotment_size
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import (
    BookEntry,
    CommandResult,
    CreditReport,
    CustomerReport,
    DropCustomer,
    Expired,
    PutCustomer,
    RegisterHead,
    Settlement,
)

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


heads = st.sampled_from(["a", "b"])
customers = st.sampled_from(["x", "y"])
allotments = st.builds("{}.0".format, st.integers(1, 40))
report = st.builds(
    CustomerReport,
    customers,
    st.lists(allotments, max_size=3).map(tuple),
    st.lists(st.builds(Settlement, allotments, st.integers(-5, 500), st.booleans()), max_size=2).map(tuple),
    st.integers(0, 300),
    st.integers(0, 20),
)
command = st.one_of(
    st.builds(
        PutCustomer,
        customers,
        st.lists(st.sampled_from(["v", "w"])).map(tuple),
        st.integers(-1, 50),
        st.integers(-1, 50),
        st.booleans(),
    ),
    st.builds(DropCustomer, customers),
    st.builds(
        BookEntry,
        st.sampled_from("pqrst"),
        customers,
        st.integers(-100, 900),
        st.sampled_from(["top-up", "correction", "refund"]),
        st.just("b"),
        st.just("w"),
        st.just("t"),
    ),
    st.builds(
        lambda h, n, t: CreditReport(h, h + "/0", n, tuple(t)),
        heads,
        st.integers(0, 60),
        st.lists(report, max_size=2),
    ),
    st.builds(lambda i: Expired((i,)), allotments),
    st.builds(
        lambda h, n, i, o: RegisterHead(h, h + i if i else "", h + o if o else "", n, ()),
        heads,
        st.integers(0, 60),
        st.sampled_from(["", "/0", "/1"]),
        st.sampled_from(["", "/0", "/1"]),
    ),
)


@given(st.lists(command, max_size=60))
@settings(max_examples=300, deadline=None)
def test_no_sequence_of_commands_grants_or_charges_more_than_there_is(commands):
    ledger = Ledger()
    replica = Ledger()
    charged: dict[str, int] = {}
    for index, each in enumerate(commands, 1):
        body = msgspec.msgpack.encode(each)
        free = {name: a.free for name, a in ledger.accounts.items()}
        assert ledger.apply(index, body) == replica.apply(index, body)  # the same at every head
        if index % 7 == 0:
            replica.restore(ledger.state())  # and after a snapshot
        for name, account in ledger.accounts.items():
            assert account.charged >= charged.get(name, 0) or name not in free
            charged[name] = account.charged
            assert all(0 <= a.spent <= a.amount for a in account.outstanding.values())
            granted = isinstance(each, CreditReport) and name in free and not account.refund_expired
            if granted and account.free < 0:
                assert account.free >= free[name]  # no report grants more than is available
        assert set(ledger.customer_by_allotment) == {
            i for a in ledger.accounts.values() for i in a.outstanding
        }
        assert len(ledger.customer_by_volume) == sum(len(a.volumes) for a in ledger.accounts.values())


def test_allotments_shrink_near_exhaustion_and_with_the_number_of_heads():
    ledger = Ledger()
    ledger.put_customer(PutCustomer("x", ("v",)))
    ledger.book_entry(1, BookEntry("1", "x", 1000, "top-up", "", "", ""))
    account = ledger.accounts["x"]
    assert allotment_size(account, "a", 10_000, 1) == 500 and allotment_size(account, "a", 100, 1) == 100
    ledger.apply_report(2, CreditReport("a", "a/0", 1, (CustomerReport("x", wanted=10_000),)))
    assert allotment_size(account, "b", 10_000, 1) == 125
    account.charged = 495
    assert allotment_size(account, "b", 10_000, 5) == 5 and allotment_size(account, "b", 10_000, 6) == 0


def test_an_entry_is_booked_once_and_another_under_its_id_is_rejected():
    ledger = Ledger()
    ledger.put_customer(PutCustomer("x", ()))
    entry = BookEntry("1", "x", 50, "top-up", "me", "why", "now")
    assert ledger.book_entry(1, entry) == CommandResult(True, balance=50)
    assert ledger.book_entry(2, entry) == CommandResult(True, balance=50, repeated=True)
    assert not ledger.book_entry(3, BookEntry("1", "x", 60, "top-up", "me", "why", "now")).ok
    assert not ledger.book_entry(4, BookEntry("2", "x", -1, "refund", "me", "why", "now")).ok
    assert ledger.book_entry(5, BookEntry("3", "x", -1, "correction", "me", "why", "now")).balance == 49


# Written by commit b966509 (classes `Turns`, `Begin`), before their field `holder` was renamed to `head`.
# Commands go on the wire and into the agreed log, snapshots onto disk, so the old bytes must still decode.
OLD_TURNS = bytes.fromhex(
    "95a57475726e73a6686561642d61a66469736b2d31079195a461636d6591a3332e309193a3332e30cd01f4c2cd07d064"
)
OLD_BEGIN = bytes.fromhex("96a5626567696ea6686561642d61a66469736b2d32a66469736b2d310891a3332e30")
OLD_SNAPSHOT = bytes.fromhex(
    "939199a461636d6591a276310000c2c3ce004c4b400081a3332e3096a461636d65a6686561642d61a66469736b2d31cd07d000c2"
    "919802a26531a461636d65ce004c4b40a6746f702d7570a26f70a3776879a36e6f7781a6686561642d6192a66469736b2d3107"
)


def test_commands_written_before_the_rename_of_holder_to_head_still_decode():
    report = CustomerReport("acme", ("3.0",), (Settlement("3.0", 500, False),), 2000, 100)
    assert msgspec.msgpack.decode(OLD_TURNS, type=CreditReport) == CreditReport(
        "head-a", "disk-1", 7, (report,)
    )
    assert msgspec.msgpack.decode(OLD_BEGIN, type=RegisterHead) == RegisterHead(
        "head-a", "disk-2", "disk-1", 8, ("3.0",)
    )
    assert msgspec.msgpack.encode(CreditReport("head-a", "disk-1", 7, (report,))) == OLD_TURNS


def test_a_snapshot_written_before_the_rename_of_holder_to_head_still_restores():
    ledger = Ledger()
    ledger.restore(OLD_SNAPSHOT)
    allotment = ledger.allotment("3.0")
    assert (allotment.customer, allotment.head, allotment.identity, allotment.amount) == (
        "acme",
        "head-a",
        "disk-1",
        2000,
    )
    assert ledger.heads == {"head-a": HeadRegistration("disk-1", 7)}
    assert ledger.accounts["acme"].paid == 5_000_000 and ledger.customer_of("v1") == "acme"
    assert ledger.state() == OLD_SNAPSHOT
