"""Operators' calls about prepaid credit. Amounts are whole millionths of a credit unit.

GET    /control/credit                             the credit that this head holds
GET    /control/credit/ledger                      how current this head's copy of the ledger is
GET    /control/credit/customers/NAME              the account, confirmed by a majority
PUT    /control/credit/customers/NAME              {"volumes", "overdraft", "low_water", "unsettled",
                                                    "by", "why"}
DELETE /control/credit/customers/NAME              {"by", "why"}: outstanding allotments are
                                                   still settled
POST   /control/credit/customers/NAME/entries      {"id", "kind", "amount", "by", "why"}
GET    /control/credit/entries/ID                  whether, and how, an entry was booked
POST   /control/credit/heads/NAME/write-off        a head is lost for good: its allotments are
                                                   charged
"""

from __future__ import annotations

import enum
import secrets
from datetime import timedelta

import msgspec

from stoatrouter.credit.ledger_freshness import LedgerFreshness
from stoatrouter.credit.records import BookEntry, Command, DropCustomer, PutCustomer, RegisterHead
from stoatrouter.peering.bounds import (
    MAX_AMOUNT,
    MAX_PERSON_LENGTH,
    MAX_REASON_LENGTH,
    OutOfBoundsError,
    check_customer,
    check_head,
    check_id,
    check_number,
    check_text,
    check_volumes,
    quote_found,
)
from stoatrouter.peering.call_errors import ConflictError, NotFoundError, UnknownCallError
from stoatrouter.peering.credit import CreditService
from stoatrouter.peering.operator_calls import RootedCalls
from stoatrouter.peering.timestamps import utc_timestamp

TIMEOUT = timedelta(seconds=4)  # of a read or command
COMMAND_ID_SIZE = 8  # bytes of the random id of a command whose call has none


class EntryKind(enum.StrEnum):
    """The kinds of entries that operators book."""

    TOP_UP = "top-up"
    CORRECTION = "correction"
    REFUND = "refund"


class UnsettledPolicy(enum.StrEnum):
    """How the rest of an expired allotment counts until its head settles."""

    SPENT = "spent"
    UNSPENT = "unspent"


# -- requests ---------------------------------------------------------------------------------------------
class CustomerRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A customer's volumes and limits."""

    by: str
    why: str
    volumes: list[str] = []
    overdraft: int = 0
    low_water: int = 0
    unsettled: str = UnsettledPolicy.SPENT.value


class EntryRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A top-up, correction or refund."""

    id: str
    amount: int
    by: str
    why: str
    kind: str = EntryKind.TOP_UP.value


class DropRequest(msgspec.Struct):
    """The optional body of a call that drops a customer."""

    by: str = ""
    why: str = ""


# -- answers ----------------------------------------------------------------------------------------------
class LocalCustomerCredit(msgspec.Struct):
    """The credit of one customer that this head holds."""

    left: int
    allotments: int  # number of them
    balance: int = msgspec.field(name="balance_told")  # as of the ledger's last answer
    quota: float = msgspec.field(name="narrowed_to")  # 1 to 0; below 1 while the balance is under low_water


class LedgerAnswer(msgspec.Struct):
    """How current this head's copy of the ledger is, and how requests fared while it was not."""

    state: LedgerFreshness
    index: int  # the last applied index of the log
    age_ms: int | None  # how long ago it was current; None: never known since the start
    unknown_volumes: str
    rejected: int  # priced requests of volumes without a known customer, since the head's start
    served_without: int  # the same kind of requests, served without a charge


class LocalCredit(msgspec.Struct):
    """The credit of all customers that this head holds."""

    state: str
    draws: bool  # whether this head can reach the ledger
    charged: int  # since the head's start
    refused: int  # requests, since the head's start
    reservations: int  # number of them
    customers: dict[str, LocalCustomerCredit]


class AllotmentAnswer(msgspec.Struct):
    """One outstanding allotment of an account, held by a head."""

    head: str
    amount: int
    spent: int
    expired: bool


class AccountAnswer(msgspec.Struct):
    """A customer's account."""

    name: str
    volumes: list[str]
    open: bool
    paid: int
    charged: int
    balance: int
    free: int
    overdraft: int
    low_water: int
    unsettled: UnsettledPolicy
    out: dict[str, AllotmentAnswer]  # outstanding allotments by id


class EntryAnswer(msgspec.Struct):
    """An entry that was booked."""

    id: str
    customer: str
    amount: int
    kind: str
    by: str
    why: str
    when: str


class BookedAnswer(msgspec.Struct):
    """The account after a change."""

    balance: int
    booked_before: bool


class CreditCalls(RootedCalls):
    """Answers the calls about credit."""

    ROOT = "/control/credit"

    def __init__(self, service: CreditService) -> None:
        """Answer about one head's credit."""
        self.service = service

    async def answer_parts(self, method: str, parts: list[str], body: bytes) -> msgspec.Struct:
        """Answer one call by the parts of its path below the root."""
        match method, parts:
            case "GET", []:
                return self.local_credit()
            case "GET", ["ledger"]:
                return self.local_ledger()
            case "GET", ["customers", name]:
                return await self.read_account(name)
            case "PUT", ["customers", name]:
                return await self.put_customer(name, msgspec.json.decode(body, type=CustomerRequest))
            case "DELETE", ["customers", name]:
                return await self.drop_customer(name, msgspec.json.decode(body or b"{}", type=DropRequest))
            case "POST", ["customers", name, "entries"]:
                return await self.book_entry(name, msgspec.json.decode(body, type=EntryRequest))
            case "GET", ["entries", id]:
                return await self.read_entry(id)
            case "POST", ["heads", name, "write-off"]:
                return await self.write_off(name)
        raise UnknownCallError

    def local_credit(self) -> LocalCredit:
        """Return the credit of each customer that this head holds."""
        escrow = self.service.escrow
        customers = {
            name: LocalCustomerCredit(
                left=sum(allotment.available for allotment in account.allotments),
                allotments=len(account.allotments),
                balance=account.balance,
                quota=round(account.funded_fraction(), 3),
            )
            for name, account in sorted(escrow.accounts.items())
        }
        return LocalCredit(
            state=self.service.fleet.availability.state.value,
            draws=escrow.reachable,
            charged=escrow.charged,
            refused=escrow.rejected,
            reservations=len(escrow.reservations),
            customers=customers,
        )

    def local_ledger(self) -> LedgerAnswer:
        """Return how current this head's copy of the ledger is, and how requests fared while it was not."""
        service = self.service
        age = service.fleet.followed_age
        return LedgerAnswer(
            state=service.ledger_freshness(),
            index=service.fleet.replication.machine.index,
            age_ms=None if age is None else age // timedelta(milliseconds=1),
            unknown_volumes=service.settings.unknown_volumes.value,
            rejected=service.gate.unowned.rejected,
            served_without=service.gate.unowned.served,
        )

    async def read_account(self, name: str) -> AccountAnswer:
        """Return a customer's account, confirmed by a majority."""
        check_customer(name)
        await self.service.fleet.read(TIMEOUT)
        account = self.service.ledger.accounts.get(name)
        if account is None:
            raise NotFoundError(f"there is no customer {name!r}")
        return AccountAnswer(
            name=name,
            volumes=account.volumes,
            open=account.open,
            paid=account.paid,
            charged=account.charged,
            balance=account.balance,
            free=account.free,
            overdraft=account.overdraft,
            low_water=account.low_water,
            unsettled=UnsettledPolicy.UNSPENT if account.refund_expired else UnsettledPolicy.SPENT,
            out={
                id: AllotmentAnswer(allotment.head, allotment.amount, allotment.spent, allotment.expired)
                for id, allotment in account.outstanding.items()
            },
        )

    async def put_customer(self, name: str, request: CustomerRequest) -> BookedAnswer:
        """Create a customer, or change its volumes and limits.

        The answer is sent once no head serves the volumes by the old state: each has applied the change, or
        has been cut off for long enough to reject requests whose customer it cannot know.
        """
        check_customer(name)
        check_attribution(request)
        check_volumes(request.volumes)
        check_number("overdraft", request.overdraft, MAX_AMOUNT)
        check_number("low_water", request.low_water, MAX_AMOUNT)
        check_choice("unsettled", request.unsettled, UnsettledPolicy)
        command = PutCustomer(
            name,
            tuple(request.volumes),
            request.overdraft,
            request.low_water,
            request.unsettled == UnsettledPolicy.UNSPENT,
            request.by,
            request.why,
            utc_timestamp(),
        )
        answer = await self._submit(command, secrets.token_hex(COMMAND_ID_SIZE))
        await self.service.fleet.wait_until_known(TIMEOUT)
        return answer

    async def drop_customer(self, name: str, request: DropRequest) -> BookedAnswer:
        """Grant no more of a customer's credit; outstanding allotments are still settled."""
        check_customer(name)
        check_attribution(request)
        command = DropCustomer(name, request.by, request.why, utc_timestamp())
        return await self._submit(command, secrets.token_hex(COMMAND_ID_SIZE))

    async def book_entry(self, name: str, request: EntryRequest) -> BookedAnswer:
        """Book a top-up, correction or refund."""
        check_customer(name)
        check_id("id", request.id)
        check_attribution(request)
        check_number("amount", request.amount, MAX_AMOUNT, -MAX_AMOUNT)
        check_choice("kind", request.kind, EntryKind)
        command = BookEntry(
            request.id, name, request.amount, request.kind, request.by, request.why, utc_timestamp()
        )
        # The command's id includes the content, so that a different entry under the same caller's id is
        # rejected instead of answered like the first.
        return await self._submit(command, f"entry/{request.id}/{name}/{request.kind}/{request.amount}")

    async def read_entry(self, id: str) -> EntryAnswer:
        """Return an entry that was booked, confirmed by a majority."""
        check_id("id", id)
        await self.service.fleet.read(TIMEOUT)
        entry = self.service.ledger.entries.get(id)
        if entry is None:
            raise NotFoundError(f"no entry {id!r} is booked")
        return EntryAnswer(
            entry.id, entry.customer, entry.amount, entry.kind, entry.by, entry.why, entry.when
        )

    async def write_off(self, name: str) -> BookedAnswer:
        """Charge all allotments of a head; only for one that will not return with its disk."""
        check_head("head", name)
        return await self._submit(RegisterHead(name, "", "", 0, ()), secrets.token_hex(COMMAND_ID_SIZE))

    async def _submit(self, command: Command, id: str) -> BookedAnswer:
        """Submit a command to the ledger.

        Raises:
            ConflictError: The ledger rejects it.
            ReplicationError: No majority confirmed it in time.
        """
        result = await self.service.submit_command(command, id, TIMEOUT)
        if not result.ok:
            raise ConflictError(result.reason)
        return BookedAnswer(result.balance, result.repeated)


def check_attribution(request: CustomerRequest | EntryRequest | DropRequest) -> None:
    """Raise OutOfBoundsError unless the author and the reason are within their bounds."""
    check_text("by", request.by, MAX_PERSON_LENGTH)
    check_text("why", request.why, MAX_REASON_LENGTH)


def check_choice(field: str, text: str, choices: type[enum.StrEnum]) -> None:
    """Raise OutOfBoundsError unless the text is one of the choices."""
    allowed = [choice.value for choice in choices]
    if text not in allowed:
        raise OutOfBoundsError(field, quote_found(text), ", ".join(allowed))
