"""The account under any commands: what is handed out and charged is never more than there is."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatrouter.credit.accounts import size
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.records import (
    Begin,
    Book,
    Booked,
    DropCustomer,
    Expired,
    PutCustomer,
    Settle,
    Turn,
    Turns,
)

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


heads = st.sampled_from(["a", "b"])
customers = st.sampled_from(["x", "y"])
allotments = st.builds("{}.0".format, st.integers(1, 40))
turn = st.builds(
    Turn,
    customers,
    st.lists(allotments, max_size=3).map(tuple),
    st.lists(st.builds(Settle, allotments, st.integers(-5, 500), st.booleans()), max_size=2).map(tuple),
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
        Book,
        st.sampled_from("pqrst"),
        customers,
        st.integers(-100, 900),
        st.sampled_from(["top-up", "correction", "refund"]),
        st.just("b"),
        st.just("w"),
        st.just("t"),
    ),
    st.builds(
        lambda h, n, t: Turns(h, h + "/0", n, tuple(t)), heads, st.integers(0, 60), st.lists(turn, max_size=2)
    ),
    st.builds(lambda i: Expired((i,)), allotments),
    st.builds(
        lambda h, n, i, o: Begin(h, h + i if i else "", h + o if o else "", n, ()),
        heads,
        st.integers(0, 60),
        st.sampled_from(["", "/0", "/1"]),
        st.sampled_from(["", "/0", "/1"]),
    ),
)


@given(st.lists(command, max_size=60))
@settings(max_examples=300, deadline=None)
def test_whatever_is_commanded_what_is_handed_out_and_charged_is_never_more_than_there_is(commands):
    ledger, twin = Ledger(), Ledger()
    charged: dict[str, int] = {}
    for index, each in enumerate(commands, 1):
        body = msgspec.msgpack.encode(each)
        free = {name: a.free for name, a in ledger.accounts.items()}
        assert ledger.apply(index, body) == twin.apply(index, body)  # the same at every head
        if index % 7 == 0:
            twin.restore(ledger.state())  # and after a snapshot
        for name, account in ledger.accounts.items():
            assert account.charged >= charged.get(name, 0) or name not in free
            charged[name] = account.charged
            assert all(0 <= a.spent <= a.amount for a in account.out.values())
            handed = isinstance(each, Turns) and name in free and not account.returned
            if handed and account.free < 0:
                assert account.free >= free[name]  # no turn hands out what is not there
        assert set(ledger.places) == {i for a in ledger.accounts.values() for i in a.out}
        assert len(ledger.customers) == sum(len(a.volumes) for a in ledger.accounts.values())


def test_allotments_shrink_near_nothing_and_with_the_heads_that_serve():
    ledger = Ledger()
    ledger.put(PutCustomer("x", ("v",)))
    ledger.book(1, Book("1", "x", 1000, "top-up", "", "", ""))
    account = ledger.accounts["x"]
    assert size(account, "a", 10_000, 1) == 500 and size(account, "a", 100, 1) == 100
    ledger.turns(2, Turns("a", "a/0", 1, (Turn("x", want=10_000),)))
    assert size(account, "b", 10_000, 1) == 125
    account.charged = 495
    assert size(account, "b", 10_000, 5) == 5 and size(account, "b", 10_000, 6) == 0


def test_an_entry_is_booked_once_and_another_under_its_id_is_refused():
    ledger = Ledger()
    ledger.put(PutCustomer("x", ()))
    entry = Book("1", "x", 50, "top-up", "me", "why", "now")
    assert ledger.book(1, entry) == Booked(True, balance=50)
    assert ledger.book(2, entry) == Booked(True, balance=50, again=True)
    assert not ledger.book(3, Book("1", "x", 60, "top-up", "me", "why", "now")).ok
    assert not ledger.book(4, Book("2", "x", -1, "refund", "me", "why", "now")).ok
    assert ledger.book(5, Book("3", "x", -1, "correction", "me", "why", "now")).balance == 49


# Bytes made by the code of b966509, before `holder` became `head` in Turns, Begin and Allotment: the
# commands go on the wire and into the agreed log, the snapshot onto disk, so the old bytes must still read.
OLD_TURNS = bytes.fromhex(
    "95a57475726e73a6686561642d61a66469736b2d31079195a461636d6591a3332e309193a3332e30cd01f4c2cd07d064"
)
OLD_BEGIN = bytes.fromhex("96a5626567696ea6686561642d61a66469736b2d32a66469736b2d310891a3332e30")
OLD_SNAPSHOT = bytes.fromhex(
    "939199a461636d6591a276310000c2c3ce004c4b400081a3332e3096a461636d65a6686561642d61a66469736b2d31cd07d000c2"
    "919802a26531a461636d65ce004c4b40a6746f702d7570a26f70a3776879a36e6f7781a6686561642d6192a66469736b2d3107"
)


def test_commands_written_before_the_rename_of_holder_to_head_still_decode():
    turn = Turn("acme", ("3.0",), (Settle("3.0", 500, False),), 2000, 100)
    assert msgspec.msgpack.decode(OLD_TURNS, type=Turns) == Turns("head-a", "disk-1", 7, (turn,))
    assert msgspec.msgpack.decode(OLD_BEGIN, type=Begin) == Begin("head-a", "disk-2", "disk-1", 8, ("3.0",))
    assert msgspec.msgpack.encode(Turns("head-a", "disk-1", 7, (turn,))) == OLD_TURNS


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
    assert ledger.heads == {"head-a": ("disk-1", 7)}
    assert ledger.accounts["acme"].paid == 5_000_000 and ledger.customers_of("v1") == "acme"
    assert ledger.state() == OLD_SNAPSHOT
