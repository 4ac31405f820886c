"""The checker fails on each kind of broken history; then it judges runs of the real program."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoatrouter.lab.histories.checker import check_history, describe
from stoatrouter.lab.histories.history import CustomerPut, History, Payment, RegisterLine, Request
from stoatrouter.lab.histories.linear import (
    NEVER,
    Call,
    RegisterCall,
    RegisterOperation,
    RegisterResponse,
    RegisterState,
    linearizable,
    register_model,
)
from tests.heads.chaos import CHAOS_SETTINGS, Chaos
from tests.heads.ledger_chaos import LEDGER_CHAOS_SETTINGS, LedgerChaos
from tests.heads.processes import running_heads
from tests.heads.rules_clients import rules
from tests.peers import run

INITIAL_STATE = RegisterState()


def call(invoked, returned, kind, id="", base=0, answer=None) -> RegisterCall:
    response = None if answer is None else RegisterResponse(*answer)
    return Call(invoked, returned, RegisterOperation(kind, id, base), response)


@pytest.mark.parametrize(
    ("calls", "expected"),
    [
        ([call(0, 1, "edit", "a", 0, ("ok", 1)), call(2, 3, "read", answer=("read", 1))], True),
        ([call(0, 1, "edit", "a", 0, ("ok", 1)), call(2, 3, "read", answer=("read", 0))], False),  # lost
        ([call(0, 9, "edit", "a", 0, ("ok", 1)), call(2, 3, "read", answer=("read", 0))], True),  # concurrent
        # both accepted
        ([call(0, 9, "edit", "a", 0, ("ok", 1)), call(0, 9, "edit", "b", 0, ("ok", 2))], False),
        ([call(0, 9, "edit", "a", 0, ("ok", 1)), call(0, 9, "edit", "b", 0, ("refused", 1))], True),
        ([call(0, 1, "edit", "a", 0, ("ok", 1)), call(2, 3, "edit", "b", 0, ("refused", 0))], False),
        (
            [
                call(0, NEVER, "edit", "a", 0),
                call(2, 3, "read", answer=("read", 1)),
                call(4, 5, "read", answer=("read", 1)),
            ],
            True,
        ),  # unanswered, and it took effect
        (
            [
                call(0, NEVER, "edit", "a", 0),
                call(2, 3, "read", answer=("read", 1)),
                call(4, 5, "read", answer=("read", 0)),
            ],
            False,
        ),  # the effect disappeared
        (
            [call(0, 1, "edit", "a", 0, ("ok", 1)), call(2, 3, "edit", "a", 0, ("ok", 2))],
            False,
        ),  # took effect twice
    ],
)
def test_the_register_checker(calls, expected):
    assert linearizable(calls, INITIAL_STATE, register_model) is expected


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 1), st.booleans()), max_size=12), st.randoms())
@settings(max_examples=100, deadline=None)
def test_what_a_register_did_in_any_order_is_found_linearizable(spans, draws):
    """Calls take effect in turn at moments within their spans, so the checker must find an order."""
    calls = []
    newest = 0
    for n, (before, after, read) in enumerate(spans):
        at = float(n * 2)
        if read:
            calls.append(call(at - before * 5, at + after * 5, "read", answer=("read", newest)))
        else:
            calls.append(call(at - before * 5, at + after * 5, "edit", f"i{n}", newest, ("ok", newest + 1)))
            newest += 1
    draws.shuffle(calls)
    assert linearizable(calls, INITIAL_STATE, register_model)


def request(id, status, at=5.0, charge=10) -> dict:
    return {
        "what": "request",
        "id": id,
        "customer": "x",
        "charge": charge,
        "at": at,
        "until": at,
        "status": status,
    }


def pay(id, amount, at=1.0, status=200) -> dict:
    return {"what": "pay", "id": id, "customer": "x", "amount": amount, "at": at, "status": status}


def settled(paid, charged, **more) -> dict:
    return {
        "what": "settled",
        "at": 9.0,
        "customer": "x",
        "paid": paid,
        "charged": charged,
        "balance": paid - charged,
    } | more


def role(term, leader) -> dict:
    return {"event": "heads.role", "term": term, "leader": leader, "at": 1.0}


def version(number, digest="d") -> dict:
    return {"event": "rules.version", "number": number, "digest": digest, "at": 1.0}


def seen(status, at=3.0) -> dict:
    return {"event": "heads.seen", "head": "b", "status": status, "at": at}


DOWN_LINE = {"what": "down", "head": "b", "at": 0.0, "until": 20.0, "detect_within": 15.0, "witnesses": ["a"]}
VALID_HISTORY = History(
    [pay("t", 100), request("1", 200), request("2", 503), request("3", 0), settled(100, 10)],
    {"a": [role(1, "a"), version(1), version(2)], "b": [role(1, "a"), version(2)]},
)


def test_a_whole_history_is_found_whole():
    assert check_history(VALID_HISTORY) == []
    assert describe([]) == "no violations found"


@pytest.mark.parametrize(
    ("lines", "logs", "words"),
    [
        ([], {"b": [role(1, "b")], "a": [role(1, "a")]}, "had leaders"),
        ([], {"a": [version(2), version(1)]}, "back to 1"),
        ([], {"a": [version(2, "x")], "b": [version(2, "y")]}, "elsewhere"),
        ([pay("t", 5), request("1", 200)], {}, "more than was paid in"),
        ([pay("t", 50, at=6.0), request("1", 200, at=5.0)], {}, "more than was paid in"),
        ([pay("t", 100), request("1", 200), request("1", 200)], {}, "2 times"),
        ([pay("t", 100), request("1", 200), settled(100, 0)], {}, "clients say"),
        ([pay("t", 100), request("1", 200), settled(100, 20)], {}, "clients say"),
        ([pay("t", 100), settled(0, 0)], {}, "acknowledged"),
        ([pay("t", 100), settled(200, 0)], {}, "asked for"),
        ([pay("t", 100), settled(100, 0, balance=90)], {}, "balance"),
        (
            [
                {
                    "what": "register",
                    "at": 0,
                    "until": 1,
                    "kind": "edit",
                    "id": "a",
                    "base": 0,
                    "answer": ["ok", 1],
                },
                {
                    "what": "register",
                    "at": 2,
                    "until": 3,
                    "kind": "read",
                    "id": "",
                    "base": 0,
                    "answer": ["read", 0],
                },
            ],
            {},
            "no order",
        ),
        ([{"what": "contents", "at": 0, "digests": {"a": "x", "b": "y"}}], {}, "different contents"),
        ([{"what": "restored", "at": 0, "undone": 2, "before": "x", "now": "y"}], {}, "did not restore"),
        ([DOWN_LINE], {"a": [seen("suspect")]}, "did not see"),
        ([{"what": "calm", "at": 0.0, "until": 9.0}], {"a": [seen("failed")]}, "while there was no fault"),
    ],
)
def test_each_checker_fails_on_its_fault(lines, logs, words):
    (violation,) = check_history(History(lines, logs))
    assert words in violation


def test_a_head_that_lost_its_folder_begins_with_its_own_files():
    logs = {"a": [version(2) | {"at": 1.0}, version(1) | {"at": 3.0}]}
    assert check_history(History([{"what": "folder_lost", "at": 2.0, "head": "a"}], logs)) == []
    for lost in ({"at": 2.0, "head": "b"}, {"at": 4.0, "head": "a"}, {"at": 0.5, "head": "a"}):
        (violation,) = check_history(History([{"what": "folder_lost"} | lost], logs))
        assert "back to 1" in violation


def test_a_head_that_was_seen_as_failed_is_found_out_in_time():
    assert check_history(History([DOWN_LINE], {"a": [seen("failed")]})) == []


async def play_and_judge(chaos: Chaos, detect: bool) -> History:
    """Run random faults for a while; assert that no guarantee was violated and enough was judged."""
    history = await chaos.run(14, detect)
    violations = check_history(history)
    assert not violations, describe(violations) + "\n" + "\n".join(chaos.faults)
    statuses = [request.status for request in history.of(Request)]
    print(
        f"{len(statuses)} requests, {statuses.count(200)} served, {len(history.of(Payment))} top-ups, "
        f"{len(history.of(RegisterLine))} edits and reads, {len(history.of(CustomerPut))} puts, "
        f"{len(chaos.faults)} faults"
    )
    assert statuses.count(200) > 50
    return history


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_on_the_real_program(tmp_path, seed):
    """A short run for each seed; benchmarks/heads_history.py runs for ten minutes."""

    async def story():
        async with running_heads(
            tmp_path, seed=seed, extra_settings=CHAOS_SETTINGS, http=rules("own")
        ) as fleet:
            await play_and_judge(Chaos(fleet, seed, tmp_path / "history.jsonl"), detect=seed == 1)

    run(story(), 170.0)


# -- customers created and volumes moved during the faults -----------------------------------------------
def customer_put(customer, at, until=None, status=200, volumes=("v",)) -> dict:
    end = at if until is None else until
    line = {"what": "customer", "at": at, "until": end, "customer": customer, "volumes": list(volumes)}
    return line | {"status": status}


def volume_request(id, at, status=200, until=None, volume="v") -> dict:
    return request(id, status, at) | {
        "customer": "",
        "volume": volume,
        "until": at if until is None else until,
    }


LEDGER_AGE_LINE = {"what": "ledger_behind", "at": 0.0, "seconds": 2.0}
DELETED_LINE = customer_put("x", 4.0, status=0, volumes=())  # it takes effect at an unknown time


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        # without a customer, and served free of charge
        ([volume_request("1", 5.0), customer_put("x", 6.0), settled(0, 0)], ""),
        # owned for longer than the maximum age of a ledger, and served without a charge
        (
            [customer_put("x", 1.0), pay("t", 100), volume_request("1", 5.0), settled(100, 0)],
            "clients say 10",
        ),
        ([customer_put("x", 1.0), volume_request("1", 5.0)], "more than was paid in"),
        # within the maximum age: charged once the call has answered; before that, free or charged
        (
            [customer_put("x", 4.0), pay("t", 100), volume_request("1", 5.0), settled(100, 0)],
            "clients say 10",
        ),
        ([customer_put("x", 4.0), pay("t", 100), volume_request("1", 5.0), settled(100, 10)], ""),
        ([customer_put("x", 4.0, 6.0), pay("t", 100), volume_request("1", 5.0), settled(100, 0)], ""),
        ([customer_put("x", 4.0, 6.0), pay("t", 100), volume_request("1", 5.0), settled(100, 10)], ""),
        # sent before the customer was created, answered long after
        ([customer_put("x", 4.0), pay("t", 100), volume_request("1", 3.0, until=9.0), settled(100, 0)], ""),
        # of unknown outcome: it may take effect at any time, but not before the call was made
        ([customer_put("x", 1.0, status=503), pay("t", 100), volume_request("1", 5.0), settled(100, 10)], ""),
        (
            [customer_put("x", 6.0, status=503), pay("t", 100), volume_request("1", 5.0), settled(100, 10)],
            "clients say 0",
        ),
        (
            [customer_put("x", 1.0, status=409), pay("t", 100), volume_request("1", 5.0), settled(100, 10)],
            "clients say 0",
        ),
        # moved: charged to either customer within the maximum age, to the second afterwards
        (
            [
                customer_put("y", 1.0),
                customer_put("x", 4.0),
                pay("t", 100),
                volume_request("1", 5.0),
                settled(100, 0),
            ],
            "",
        ),
        (
            [
                customer_put("y", 1.0),
                customer_put("x", 4.0),
                pay("t", 100),
                volume_request("1", 7.0),
                settled(100, 0),
            ],
            "clients say 10",
        ),
        # x is replaced without the volume
        (
            [
                customer_put("x", 1.0),
                customer_put("x", 2.0, volumes=()),
                volume_request("1", 5.0),
                settled(0, 0),
            ],
            "",
        ),
        # created and topped up during the faults: no more is served than was paid
        ([customer_put("x", 1.0), pay("t", 15), volume_request("1", 5.0), settled(15, 10)], ""),
        (
            [customer_put("x", 1.0), pay("t", 15), volume_request("1", 5.0), volume_request("2", 6.0)],
            "x was served 5 more",
        ),
        # the volume is reassigned to a customer that has paid nothing
        (
            [customer_put("x", 1.0), pay("t", 100), customer_put("y", 4.0), volume_request("1", 7.0)],
            "y was served 10 more",
        ),
        # deleted: free or charged from then on, until it is settled; but never charged without a request
        (
            [customer_put("x", 1.0), pay("t", 100), DELETED_LINE, volume_request("1", 7.0), settled(100, 0)],
            "",
        ),
        (
            [customer_put("x", 1.0), pay("t", 100), DELETED_LINE, volume_request("1", 7.0), settled(100, 10)],
            "",
        ),
        (
            [customer_put("x", 1.0), pay("t", 100), DELETED_LINE, volume_request("1", 7.0), settled(100, 20)],
            "clients say 0",
        ),
    ],
)
def test_the_judge_knows_whose_a_volume_may_have_been(lines, words):
    violations = describe(check_history(History([LEDGER_AGE_LINE, *lines], {})))
    assert words in violations if words else violations == "no violations found"


@pytest.mark.parametrize("seed", [3, 4])
def test_customers_made_and_volumes_moved_while_heads_lose_folders(tmp_path, seed):
    """Kills and lost data folders of cut-off heads among the faults: no request goes uncharged."""

    async def story():
        async with running_heads(
            tmp_path, seed=seed, extra_settings=LEDGER_CHAOS_SETTINGS, http=rules("own")
        ) as fleet:
            chaos = LedgerChaos(fleet, seed, tmp_path / "history.jsonl")
            history = await play_and_judge(chaos, detect=False)
            assert len(history.of(CustomerPut)) > 3

    run(story(), 170.0)
