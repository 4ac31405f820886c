"""Oversized operators' calls are refused before a command is submitted; the error names the limit."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from urllib.parse import quote

import pytest

from stoatrouter.credit import records as credit_records
from stoatrouter.history import records as history_records
from stoatrouter.peering.credit_calls import CreditCalls
from stoatrouter.peering.head_calls import HeadCalls
from stoatrouter.peering.rule_calls import RuleCalls

EDIT = {
    "id": "e1",
    "base": 0,
    "root": "rules.cue",
    "files": {"rules.cue": "x"},
    "author": "ann",
    "reason": "why",
}
UNDO = {"id": "u1", "version": 3, "to": 2, "author": "ann", "reason": "why"}
CUSTOMER = {"by": "ann", "why": "y", "volumes": ["00000003b4d60021"]}
ENTRY = {"id": "t1", "amount": 5, "by": "ann", "why": "y"}
CUSTOMERS = "/control/credit/customers"


class RecordingService:
    """A stub of a service that accepts and records every command that reaches it."""

    def __init__(self) -> None:
        self.commands: list[object] = []
        self.settings = SimpleNamespace(largest=1_000)
        raft = SimpleNamespace(leads=True, voters=(), leader=None)
        self.fleet = SimpleNamespace(
            read=self.read, wait_until_known=self.known, replication=SimpleNamespace(raft=raft)
        )
        self.history = SimpleNamespace(
            abandoned={}, find_by_id=lambda id: None, find_version=lambda number: None, versions=[]
        )
        self.rollout = SimpleNamespace(submit_command=self.submit_command)
        self.ledger = SimpleNamespace(accounts={}, entries={})

    async def known(self, timeout) -> bool:
        return True

    async def read(self, timeout) -> None:
        self.commands.append("read")

    async def submit_command(self, command, id, timeout=None):
        self.commands.append(command)
        if timeout is not None:
            return credit_records.CommandResult(True)
        return history_records.CommandResult(True, 1)


def call(method: str, path: str, data: object = None) -> tuple[int, str, list[object]]:
    """Make a call; return status, error and the commands submitted to the agreement."""
    service = RecordingService()
    call_handlers = (RuleCalls(service), CreditCalls(service), HeadCalls(service.fleet))
    body = b"" if data is None else json.dumps(data).encode()

    async def ask():
        for handler in call_handlers:
            if (response := await handler.call(method, path, body)) is not None:
                return response
        raise AssertionError(f"nobody answers {path}")

    response = asyncio.run(ask())
    return response.status, json.loads(response.text).get("error", ""), service.commands


def empty_files(count: int) -> dict[str, str]:
    return {f"f{i}.cue": "" for i in range(count)}


TOO_MUCH = [
    ("POST", "/control/rules/edits", EDIT | {"id": "i" * 201}, "id: found 201 characters", "1 to 200"),
    ("POST", "/control/rules/edits", EDIT | {"id": "i" * 10_000}, "id: found 10000 characters", "1 to 200"),
    ("POST", "/control/rules/edits", EDIT | {"id": ""}, "id: found nothing", "1 to 200"),
    ("POST", "/control/rules/edits", EDIT | {"author": "a" * 101}, "author: found 101", "1 to 100"),
    ("POST", "/control/rules/edits", EDIT | {"author": ""}, "author: found nothing", "1 to 100"),
    ("POST", "/control/rules/edits", EDIT | {"reason": "r" * 1001}, "reason: found 1001", "0 to 1000"),
    ("POST", "/control/rules/edits", EDIT | {"base": 10**20}, "base: found 1000000", "0 to 10000"),
    ("POST", "/control/rules/edits", EDIT | {"base": -1}, "base: found -1", "0 to 10000"),
    ("POST", "/control/rules/edits", EDIT | {"root": "r" * 9_000}, "root: found 'rrr", "one of files"),
    ("POST", "/control/rules/edits", EDIT | {"files": empty_files(257)}, "files: found 257", "up to 256"),
    (
        "POST",
        "/control/rules/edits",
        EDIT | {"files": {"f" * 9_000 + ".cue": ""}},
        "of 9004 characters",
        "NAME.cue of up to 104",
    ),
    (
        "POST",
        "/control/rules/edits",
        EDIT | {"files": {"rules.cue": "x" * 1_001}},
        "files: found 1001 bytes",
        "up to 1000",
    ),
    ("POST", "/control/rules/undo", UNDO | {"id": "i" * 201}, "id: found 201", "1 to 200"),
    ("POST", "/control/rules/undo", UNDO | {"author": "a" * 101}, "author: found 101", "1 to 100"),
    ("POST", "/control/rules/undo", UNDO | {"reason": "r" * 1001}, "reason: found 1001", "0 to 1000"),
    ("POST", "/control/rules/undo", UNDO | {"version": 10**20}, "version: found 10000", "0 to 1000"),
    ("POST", "/control/rules/undo", UNDO | {"to": 10**40}, "to: found a number of more", "0 to 1000"),
    ("GET", "/control/rules/edits/" + "i" * 201, None, "id: found 201", "1 to 200"),
    ("GET", "/control/rules/versions/" + "9" * 900, None, "version: found '999", "a number up to"),
    ("PUT", f"{CUSTOMERS}/{'c' * 101}", CUSTOMER, "customer: found 101", "1 to 100"),
    ("GET", f"{CUSTOMERS}/{'c' * 101}", None, "customer: found 101", "1 to 100"),
    ("DELETE", f"{CUSTOMERS}/{'c' * 101}", {}, "customer: found 101", "1 to 100"),
    ("DELETE", f"{CUSTOMERS}/acme", {"by": "b" * 101}, "by: found 101", "0 to 100"),
    ("DELETE", f"{CUSTOMERS}/acme", {"why": "w" * 1001}, "why: found 1001", "0 to 1000"),
    ("PUT", f"{CUSTOMERS}/acme", CUSTOMER | {"by": "b" * 101}, "by: found 101", "0 to 100"),
    ("PUT", f"{CUSTOMERS}/acme", CUSTOMER | {"why": "w" * 1001}, "why: found 1001", "0 to 1000"),
    (
        "PUT",
        f"{CUSTOMERS}/acme",
        CUSTOMER | {"volumes": ["v", "v" * 101]},
        "volumes[1]: found 101",
        "1 to 100",
    ),
    (
        "PUT",
        f"{CUSTOMERS}/acme",
        CUSTOMER | {"volumes": ["v"] * 10_001},
        "volumes: found 10001",
        "up to 10000",
    ),
    (
        "PUT",
        f"{CUSTOMERS}/acme",
        CUSTOMER | {"unsettled": "u" * 9_000},
        "unsettled: found 'uuu",
        "spent, unspent",
    ),
    ("PUT", f"{CUSTOMERS}/acme", CUSTOMER | {"overdraft": 10**19}, "overdraft: found 1000", "0 to 1000"),
    ("PUT", f"{CUSTOMERS}/acme", CUSTOMER | {"low_water": -1}, "low_water: found -1", "0 to 1000"),
    ("POST", f"{CUSTOMERS}/{'c' * 101}/entries", ENTRY, "customer: found 101", "1 to 100"),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"id": "i" * 201}, "id: found 201", "1 to 200"),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"id": ""}, "id: found nothing", "1 to 200"),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"by": "b" * 101}, "by: found 101", "0 to 100"),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"why": "w" * 1001}, "why: found 1001", "0 to 1000"),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"kind": "k" * 9_000}, "kind: found 'kkk", "top-up"),
    (
        "POST",
        f"{CUSTOMERS}/acme/entries",
        ENTRY | {"amount": 10**19},
        "amount: found 1000",
        "-10000000000000 to 1000",
    ),
    ("GET", "/control/credit/entries/" + "i" * 201, None, "id: found 201", "1 to 200"),
    ("POST", f"/control/credit/heads/{'h' * 25}/write-off", None, "head: found 25", "1 to 24"),
    ("POST", f"/control/heads/voters/{'h' * 25}", None, "voter: found 25", "1 to 24"),
    ("DELETE", f"/control/heads/voters/{'h' * 10_000}", None, "voter: found 10000", "1 to 24"),
]


@pytest.mark.parametrize(("method", "path", "data", "found", "allowed"), TOO_MUCH)
def test_what_is_too_much_is_refused_with_its_field_what_was_found_and_what_is_allowed(
    method, path, data, found, allowed
):
    status, error, commands = call(method, path, data)
    assert status == 400 and not commands
    assert found in error and f"(allowed: {allowed}" in error and len(error) < 300


LARGEST = [
    (
        "POST",
        "/control/rules/edits",
        EDIT | {"id": "i" * 200, "author": "a" * 100, "reason": "r" * 1000, "files": EDIT["files"]},
    ),
    (
        "POST",
        "/control/rules/edits",
        EDIT | {"root": "f" * 100 + ".cue", "files": {"f" * 100 + ".cue": "x" * 1000}},
    ),
    ("POST", "/control/rules/undo", UNDO | {"id": "i" * 200, "author": "a" * 100, "reason": "r" * 1000}),
    ("PUT", f"{CUSTOMERS}/{'c' * 100}", CUSTOMER | {"by": "b" * 100, "volumes": ["v" * 100] * 10_000}),
    ("POST", f"{CUSTOMERS}/{quote('ü' * 100)}/entries", ENTRY | {"id": "i" * 200, "amount": 10**13}),
    ("POST", f"{CUSTOMERS}/acme/entries", ENTRY | {"kind": "correction", "amount": -(10**13)}),
    ("POST", f"/control/credit/heads/{'h' * 24}/write-off", None),
    ("DELETE", f"{CUSTOMERS}/acme", None),
]


@pytest.mark.parametrize(("method", "path", "data"), LARGEST)
def test_what_is_just_allowed_comes_through(method, path, data):
    status, error, commands = call(method, path, data)
    assert status in (200, 202) and len(commands) == 1, error


def test_an_error_of_form_repeats_no_more_than_a_line():
    for path, data in (
        ("/control/rules/edits", EDIT | {"x" * 9_000: 1}),
        (f"{CUSTOMERS}/acme/entries", ENTRY | {"x" * 9_000: 1}),
    ):
        status, error, commands = call("POST", path, data)
        assert status == 400 and not commands and len(error) <= 500
    assert call("DELETE", f"{CUSTOMERS}/acme", ["no object"])[0] == 400
