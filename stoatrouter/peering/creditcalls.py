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

import json
import secrets
from datetime import UTC, datetime, timedelta
from typing import Any
from urllib.parse import unquote

import msgspec
from aiohttp import web

from stoatrouter.credit.records import Begin, Book, Booked, DropCustomer, PutCustomer
from stoatrouter.peering.agreed import NotAgreed
from stoatrouter.peering.credit import CreditService
from stoatrouter.peering.operators import answer

ROOT = "/control/credit"
WITHIN = timedelta(seconds=4)


class CustomerCall(msgspec.Struct, forbid_unknown_fields=True):
    by: str
    why: str
    volumes: list[str] = []
    overdraft: int = 0
    low_water: int = 0
    unsettled: str = "spent"  # or "unspent"


class EntryCall(msgspec.Struct, forbid_unknown_fields=True):
    id: str
    amount: int
    by: str
    why: str
    kind: str = "top-up"


class CreditCalls:
    """Answers these calls."""

    def __init__(self, service: CreditService) -> None:
        self.service = service

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
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
                    said = json.loads(body or b"{}")
                    by, why = str(said.get("by", "")), str(said.get("why", ""))
                    return await self.book(DropCustomer(name, by, why, now()), secrets.token_hex(8))
                case "POST", ["customers", name, "entries"]:
                    return await self.entry(name, msgspec.json.decode(body, type=EntryCall))
                case "GET", ["entries", id]:
                    return await self.entry_told(id)
                case "POST", ["heads", name, "write-off"]:
                    return await self.write_off(name)
        except (msgspec.MsgspecError, ValueError, AttributeError) as error:
            return answer(400, {"error": str(error)})
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
        holder, service = self.service.holder, self.service
        purses = {
            name: {
                "left": sum(h.left for h in purse.held),
                "allotments": len(purse.held),
                "balance_told": purse.balance,
                "narrowed_to": round(purse.fraction(), 3),
            }
            for name, purse in sorted(holder.purses.items())
        }
        return {
            "state": service.fleet.stands.state.value,
            "draws": holder.reachable,
            "charged": holder.charged,
            "refused": holder.refused,
            "reservations": len(holder.reservations),
            "customers": purses,
        }

    async def customer(self, name: str) -> web.Response:
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
                "unsettled": "unspent" if account.returned else "spent",
                "out": {
                    id: {"head": a.holder, "amount": a.amount, "spent": a.spent, "expired": a.expired}
                    for id, a in account.out.items()
                },
            },
        )

    async def put(self, name: str, call: CustomerCall) -> web.Response:
        if call.unsettled not in ("spent", "unspent"):
            return answer(400, {"error": f"unsettled: found {call.unsettled!r} (allowed: spent, unspent)"})
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

    async def entry(self, name: str, call: EntryCall) -> web.Response:
        if call.kind not in ("top-up", "correction", "refund") or not call.id:
            return answer(
                400,
                {
                    "error": f"kind: found {call.kind!r} (allowed: top-up, correction, refund), "
                    "and an id of yours"
                },
            )
        # the id within the agreement holds the content too: another entry under it is refused, not answered
        # like the first
        return await self.book(
            Book(call.id, name, call.amount, call.kind, call.by, call.why, now()),
            f"entry/{call.id}/{name}/{call.kind}/{call.amount}",
        )

    async def book(self, command: Any, id: str) -> web.Response:
        booked: Booked = await self.service.command(command, id, WITHIN)
        if not booked.ok:
            return answer(409, {"error": booked.why})
        return answer(200, {"balance": booked.balance, "booked_before": booked.again})

    async def entry_told(self, id: str) -> web.Response:
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
        return await self.book(Begin(name, "", "", 0, ()), secrets.token_hex(8))


def now() -> str:
    return datetime.now(UTC).isoformat(timespec="milliseconds")
