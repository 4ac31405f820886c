"""Answers to operators' calls are the same byte for byte: status, keys, their order and the JSON layout.

``tests/data/call-answers-8ad4498.txt`` was written by commit 8ad4498 with the calls of this file.
"""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import msgspec

from stoatrouter.agreement.records import Voter
from stoatrouter.credit import records as credit_records
from stoatrouter.credit.accounts import Allotment
from stoatrouter.credit.escrow import HeadEscrow
from stoatrouter.credit.ledger import Ledger
from stoatrouter.credit.local_account import LocalAccount, LocalAllotment
from stoatrouter.history.records import Activate, CommandResult
from stoatrouter.history.rule_history import RuleHistory
from stoatrouter.lab.fleet.credit_head import CreditDisk
from stoatrouter.membership.roster import Status
from stoatrouter.peering import credit_calls, rule_calls
from stoatrouter.peering.credit_calls import CreditCalls
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.rule_calls import RuleCalls
from stoatrouter.peering.rule_rollout import RolloutStatus

RECORDED_ANSWERS = Path(__file__).parents[1] / "data" / "call-answers-8ad4498.txt"
TIMESTAMP = "2026-12-02T20:30:00.123+00:00"
SECOND = timedelta(seconds=1)
EDIT = {"id": "e1", "base": 0, "root": "r.cue", "files": {"r.cue": "ü"}, "author": "ann", "reason": "why"}
UNDO = {"id": "u1", "version": 1, "author": "bob", "reason": "r"}
CUSTOMER = {"by": "ann", "why": "y", "volumes": ["v1"], "overdraft": 3, "low_water": 4}
ENTRY = {"id": "t1", "amount": 5000, "by": "ann", "why": "y"}
ACCOUNT = "/control/credit/customers/acm%C3%A9"


class LeadingHeadStub:
    """A stub of a leading head that applies commands at once."""

    def __init__(self) -> None:
        self.leader = "h0"
        self.raft = SimpleNamespace(
            term=3, leads=True, votes_here=True, voters=(Voter("h0", "i0"), Voter("h1", "i1")), commit_index=9
        )
        members = {"h1": SimpleNamespace(status=Status.SUSPECT), "h0": SimpleNamespace(status=Status.ALIVE)}
        self.fleet = SimpleNamespace(
            settings=SimpleNamespace(name="h0", fleet="f"),
            me=Voter("h0", "i0"),
            incarnation=5,
            leader=None,
            majority_age=1.2345 * SECOND,
            availability=SimpleNamespace(state=SimpleNamespace(value="in touch"), changes=True),
            replication=SimpleNamespace(raft=self.raft, disk_writable=True, machine=SimpleNamespace(index=9)),
            bootstrap=SimpleNamespace(origin="o"),
            counters=SimpleNamespace(by_name={"b": 2, "a": 1}),
            datagrams=SimpleNamespace(detector=SimpleNamespace(roster=SimpleNamespace(members=members))),
            now=lambda: 100 * SECOND,
            read=self.read,
            wait_until_known=self.known,
        )
        self.history = RuleHistory()
        self.ledger = Ledger()
        self.status = None
        self.escrow = HeadEscrow(2 * SECOND, CreditDisk())
        self.escrow.accounts["acmé"] = LocalAccount("acmé", [LocalAllotment("1.0", 1500, 4 * SECOND)])
        self.rules = SimpleNamespace(
            fleet=self.fleet,
            settings=SimpleNamespace(largest=1_000),
            history=self.history,
            active_version=1,
            active_since=3.21 * SECOND,
            compiler=SimpleNamespace(errors={"d": "r.cue:1: é"}),
            rollout=SimpleNamespace(submit_command=self.submit_rules_command, fetch_status=self.fetch_status),
        )
        self.credit = SimpleNamespace(
            fleet=self.fleet,
            ledger=self.ledger,
            escrow=self.escrow,
            submit_command=self.submit_credit_command,
        )

    async def known(self, timeout) -> bool:
        return True

    async def read(self, timeout) -> None:
        """Return at once, as everything is applied."""

    async def fetch_status(self):
        return self.status

    async def submit_rules_command(self, command, id):
        return msgspec.msgpack.decode(
            self.history.apply(1, msgspec.msgpack.encode(command)), type=CommandResult
        )

    async def submit_credit_command(self, command, id, timeout):
        return msgspec.msgpack.decode(
            self.ledger.apply(1, msgspec.msgpack.encode(command)), type=credit_records.CommandResult
        )

    async def call(self, method: str, path: str, data: object = None) -> str:
        """Return one call and its answer as text."""
        body = b"" if data is None else json.dumps(data).encode()
        for calls in (RuleCalls(self.rules), CreditCalls(self.credit), HeadCalls(self.fleet)):
            if (response := await calls.call(method, path, body)) is not None:
                return f"{method} {path}\n{response.status} {response.content_type}\n{response.text}"
        return f"{method} {path}\nnot answered\n"


async def all_answers() -> list[str]:
    head = LeadingHeadStub()
    edits = "/control/rules/edits"
    undo = "/control/rules/undo"
    answers = [
        await head.call("GET", "/control/rules"),
        await head.call("POST", edits, EDIT),
        await head.call("GET", f"{edits}/e1"),
        await head.call("POST", edits, EDIT | {"id": "e2"}),
    ]
    head.history.activate(Activate(1, 50))
    answers += [
        await head.call("GET", "/control/rules"),
        await head.call("GET", "/control/rules/newest"),
        await head.call("GET", "/control/rules/versions/1"),
        await head.call("GET", "/control/rules/versions/9"),
        await head.call("GET", f"{edits}/e1"),
    ]
    for active in (1, 0):
        head.status = RolloutStatus({"h0": 1, "h1": active}, ["h0", "h1"])
        answers.append(await head.call("GET", f"{edits}/e1"))
    answers += [
        await head.call("POST", edits, EDIT | {"id": "e3", "base": 1}),
        await head.call("POST", undo, UNDO | {"version": 2}),
        await head.call("GET", f"{edits}/e3"),
        await head.call("GET", f"{edits}/none%20%C3%BC"),
        await head.call("POST", undo, UNDO | {"id": "u2"}),
        await head.call("POST", undo, ["no object"]),
        await head.call("PUT", "/control/rules"),
        await head.call("PUT", ACCOUNT, CUSTOMER),
        await head.call("POST", f"{ACCOUNT}/entries", ENTRY),
        await head.call("POST", f"{ACCOUNT}/entries", ENTRY),
        await head.call("POST", f"{ACCOUNT}/entries", ENTRY | {"id": "t2", "amount": -1}),
    ]
    head.ledger.accounts["acmé"].outstanding["9.0"] = Allotment("acmé", "h1", "i1", 100, 40, True)
    answers += [
        await head.call("GET", "/control/credit"),
        await head.call("GET", ACCOUNT),
        await head.call("GET", "/control/credit/customers/none"),
        await head.call("GET", "/control/credit/entries/t1"),
        await head.call("GET", "/control/credit/entries/t9"),
        await head.call("GET", "/control/heads"),
        await head.call("PUT", "/control/heads"),
        await head.call("GET", "/control/heads/voters/h1"),
        await head.call("DELETE", "/control/heads/voters/h9"),
        await head.call("POST", "/control/heads/recover"),
        await head.call("GET", "/control/other"),
    ]
    head.raft.leads = False
    answers.append(await head.call("POST", "/control/heads/voters/h1"))
    return answers


def test_answers_are_what_an_earlier_release_gave_byte_for_byte(monkeypatch):
    for module in (rule_calls, credit_calls):
        monkeypatch.setattr(module, "utc_timestamp", lambda: TIMESTAMP)
    assert "".join(asyncio.run(all_answers())) == RECORDED_ANSWERS.read_text()
