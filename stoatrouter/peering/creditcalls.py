"""Operators' calls about prepaid credit. Amounts are whole millionths of a credit unit.

GET    /control/credit                             what this head holds
GET    /control/credit/customers/NAME              the account, as a majority confirms it
PUT    /control/credit/customers/NAME              {"volumes", "overdraft", "low_water", "unsettled",
                                                    "by", "why"}
DELETE /control/credit/customers/NAME              {"by", "why"}: what is out is still settled
POST   /control/credit/customers/NAME/entries      {"id", "kind", "amount", "by", "why"}
GET    /control/credit/entries/ID                  whether, and how, an entry was booked
POST   /control/credit/heads/NAME/write-off        a head is gone for good: what it held is charged
"""

from __future__ import annotations

import secrets
from datetime import UTC, datetime, timedelta
from typing import Any
from urllib.parse import unquote

import msgspec
from aiohttp import web

from stoatrouter.credit.records import BookEntry, CommandResult, DropCustomer, PutCustomer, RegisterHead
from stoatrouter.peering.agreed import NotAgreed
from stoatrouter.peering.bounds import (
    LARGEST_AMOUNT,
    LONGEST_CUSTOMER,
    LONGEST_PERSON,
    LONGEST_REASON,
    OutOfBounds,
    check_head,
    check_id,
    check_number,
    check_text,
    check_volumes,
    error_text,
    shown,
)
from stoatrouter.peering.credit import CreditService
from stoatrouter.peering.operators import answer

ROOT = "/control/credit"
WITHIN = timedelta(seconds=4)
KINDS = ("top-up", "correction", "refund")


class CustomerCall(msgspec.Struct, forbid_unknown_fields=True):
    """What is said of a customer."""

    by: str
    why: str
    volumes: list[str] = []
    overdraft: int = 0
    low_water: int = 0
    unsettled: str = "spent"  # or "unspent"


class EntryCall(msgspec.Struct, forbid_unknown_fields=True):
    """A top-up, correction or refund."""

    id: str
    amount: int
    by: str
    why: str
    kind: str = "top-up"


class DropCall(msgspec.Struct):
    """What a call that drops a customer may say."""

    by: str = ""
    why: str = ""


class CreditCalls:
    """Answers these calls."""

    def __init__(self, service: CreditService) -> None:
        self.service = service

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """Answer one call; None where it is not about credit."""
        if path != ROOT and not path.startswith(ROOT + "/"):
            return None
        parts = [unquote(part) for part in path[len(ROOT) :].split("/")[1:]]
        try:
            match method, parts:
                case "GET", []:
                    return answer(200, self.held())
                case "GET", ["customers", name]:
                    return await self.customer(name)
                case "PUT", ["customers", name]:
                    return await self.put(name, msgspec.json.decode(body, type=CustomerCall))
                case "DELETE", ["customers", name]:
                    return await self.drop(name, msgspec.json.decode(body or b"{}", type=DropCall))
                case "POST", ["customers", name, "entries"]:
                    return await self.entry(name, msgspec.json.decode(body, type=EntryCall))
                case "GET", ["entries", id]:
                    return await self.entry_told(id)
                case "POST", ["heads", name, "write-off"]:
                    return await self.write_off(name)
        except (msgspec.MsgspecError, ValueError) as error:
            return answer(400, {"error": error_text(error)})
        except NotAgreed as error:
            return answer(
                503,
                {
                    "error": str(error),
                    "unknown": True,
                    "advice": "it may still come to hold: ask by its id, or call again with it",
                },
            )
        return answer(404, {"error": "no such call"})

    def held(self) -> dict[str, Any]:
        """What this head holds of each customer's credit."""
        holder, service = self.service.holder, self.service
        purses = {
            name: {
                "left": sum(h.available for h in purse.allotments),
                "allotments": len(purse.allotments),
                "balance_told": purse.balance,
                "narrowed_to": round(purse.funded_fraction(), 3),
            }
            for name, purse in sorted(holder.accounts.items())
        }
        return {
            "state": service.fleet.availability.state.value,
            "draws": holder.reachable,
            "charged": holder.charged,
            "refused": holder.rejected,
            "reservations": len(holder.reservations),
            "customers": purses,
        }

    async def customer(self, name: str) -> web.Response:
        """The account, as a majority confirms it."""
        check_customer(name)
        await self.service.fleet.read(WITHIN)
        account = self.service.ledger.accounts.get(name)
        if account is None:
            return answer(404, {"error": f"there is no customer {name!r}"})
        return answer(
            200,
            {
                "name": name,
                "volumes": account.volumes,
                "open": account.open,
                "paid": account.paid,
                "charged": account.charged,
                "balance": account.balance,
                "free": account.free,
                "overdraft": account.overdraft,
                "low_water": account.low_water,
                "unsettled": "unspent" if account.refund_expired else "spent",
                "out": {
                    id: {"head": a.head, "amount": a.amount, "spent": a.spent, "expired": a.expired}
                    for id, a in account.outstanding.items()
                },
            },
        )

    async def put(self, name: str, call: CustomerCall) -> web.Response:
        """Make a customer, or change what is said of it."""
        check_customer(name)
        check_who(call)
        check_volumes(call.volumes)
        check_number("overdraft", call.overdraft, LARGEST_AMOUNT)
        check_number("low_water", call.low_water, LARGEST_AMOUNT)
        if call.unsettled not in ("spent", "unspent"):
            raise OutOfBounds("unsettled", shown(call.unsettled), "spent, unspent")
        return await self.book(
            PutCustomer(
                name,
                tuple(call.volumes),
                call.overdraft,
                call.low_water,
                call.unsettled == "unspent",
                call.by,
                call.why,
                now(),
            ),
            secrets.token_hex(8),
        )

    async def drop(self, name: str, call: DropCall) -> web.Response:
        """No more is drawn; what is out is still settled."""
        check_customer(name)
        check_who(call)
        return await self.book(DropCustomer(name, call.by, call.why, now()), secrets.token_hex(8))

    async def entry(self, name: str, call: EntryCall) -> web.Response:
        """Book a top-up, correction or refund."""
        check_customer(name)
        check_id("id", call.id)
        check_who(call)
        check_number("amount", call.amount, LARGEST_AMOUNT, -LARGEST_AMOUNT)
        if call.kind not in KINDS:
            raise OutOfBounds("kind", shown(call.kind), ", ".join(KINDS))
        # the id within the agreement holds the content too: another entry under it is refused, not answered
        # like the first
        return await self.book(
            BookEntry(call.id, name, call.amount, call.kind, call.by, call.why, now()),
            f"entry/{call.id}/{name}/{call.kind}/{call.amount}",
        )

    async def book(self, command: Any, id: str) -> web.Response:
        """Bring a command through; 409 where the account refuses it."""
        booked: CommandResult = await self.service.command(command, id, WITHIN)
        if not booked.ok:
            return answer(409, {"error": booked.reason})
        return answer(200, {"balance": booked.balance, "booked_before": booked.repeated})

    async def entry_told(self, id: str) -> web.Response:
        """Whether, and how, an entry was booked."""
        check_id("id", id)
        await self.service.fleet.read(WITHIN)
        entry = self.service.ledger.entries.get(id)
        if entry is None:
            return answer(404, {"error": f"no entry {id!r} is booked"})
        return answer(
            200,
            msgspec.to_builtins(
                {f: getattr(entry, f) for f in ("id", "customer", "amount", "kind", "by", "why", "when")}
            ),
        )

    async def write_off(self, name: str) -> web.Response:
        """Only for a head that will not come back with its disk: what it held is charged, to the last."""
        check_head("head", name)
        return await self.book(RegisterHead(name, "", "", 0, ()), secrets.token_hex(8))


def check_customer(name: str) -> None:
    """Raise OutOfBounds unless a customer may be named so."""
    check_text("customer", name, LONGEST_CUSTOMER, least=1)


def check_who(call: CustomerCall | EntryCall | DropCall) -> None:
    """Raise OutOfBounds unless the call says in few words who asks and why."""
    check_text("by", call.by, LONGEST_PERSON)
    check_text("why", call.why, LONGEST_REASON)


def now() -> str:
    """The time of day, as the account's book has it."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")
