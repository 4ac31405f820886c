"""Operators' calls about the history of rules. They do not pass the rule table, so no edit can block them.

GET  /control/rules               the version active at this head, its age, the history
GET  /control/rules/newest        the newest version, confirmed by a majority
GET  /control/rules/versions/N    one version, with its files
POST /control/rules/edits         {"id", "base", "root", "files", "author", "reason"}
POST /control/rules/undo          {"id", "version", "to", "author", "reason"}
GET  /control/rules/edits/ID      the state of an edit or undo: accepted, in force on N of M, everywhere,
                                  or abandoned with the reason
"""

from __future__ import annotations

import enum
import hashlib
import re
from datetime import timedelta

import msgspec
from msgspec import UNSET, UnsetType

from stoatrouter.history.records import (
    Edit,
    RuleSet,
    Undo,
    Version,
    VersionKind,
    digest_rule_set,
    pack_rule_set,
    unpack_rule_set,
)
from stoatrouter.peering.bounds import (
    MAX_FILE_NAME_LENGTH,
    MAX_PERSON_LENGTH,
    MAX_REASON_LENGTH,
    MAX_VERSION,
    OutOfBoundsError,
    check_id,
    check_number,
    check_text,
    quote_found,
)
from stoatrouter.peering.call_errors import EditRejectedError, NotFoundError, UnknownCallError
from stoatrouter.peering.operator_calls import AcceptedAnswer, RootedCalls, round_seconds
from stoatrouter.peering.rules import RulesService
from stoatrouter.peering.timestamps import utc_timestamp

READ_TIMEOUT = timedelta(seconds=3)
FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\.cue")
ALLOWED_FILE_NAME = f"NAME.cue of up to {MAX_FILE_NAME_LENGTH} letters, digits, _ . -"
MAX_FILES = 256  # of one rule set
MAX_VERSIONS_SHOWN = 50  # the newest versions of the history
CONTENT_DIGEST_SIZE = 8  # bytes of the digest of its content in a command's id


class EditState(enum.StrEnum):
    """The progress of an edit or undo."""

    ACCEPTED = "accepted"
    IN_FORCE = "in force"
    EVERYWHERE = "everywhere"
    ABANDONED = "abandoned"


# -- requests ---------------------------------------------------------------------------------------------
class EditRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A rule set to put in force."""

    id: str
    base: int
    root: str
    files: dict[str, str]
    author: str
    reason: str


class UndoRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A version to undo."""

    id: str
    version: int
    author: str
    reason: str
    to: int = 0


# -- answers ----------------------------------------------------------------------------------------------
class VersionAnswer(msgspec.Struct):
    """One version, with the fields of `history.records.Version`."""

    number: int
    kind: VersionKind
    id: str
    digest: str
    base: int
    undoes: int
    restores: int
    author: str
    reason: str
    when: str


class VersionFilesAnswer(VersionAnswer):
    """One version with its files."""

    root: str
    files: dict[str, str]


class EditAnswer(VersionAnswer):
    """One version and its progress."""

    state: EditState
    newest: int | UnsetType = UNSET  # set once it has come into force
    on: int | UnsetType = UNSET  # number of heads with it or a newer one active; set if the leader answers
    of: int | UnsetType = UNSET  # number of live heads
    missing: list[str] | UnsetType = UNSET  # live heads at which it is not active yet
    why: str | UnsetType = UNSET  # set if it is abandoned


class EditAccepted(AcceptedAnswer):
    """The version that an edit or undo will become."""

    number: int
    id: str


class NewestAnswer(msgspec.Struct):
    """The number of the version in force; 0: there was none yet."""

    newest: int


class HistoryAnswer(msgspec.Struct):
    """The version active at this head, and the history as it knows it."""

    version: int
    active_for: float = msgspec.field(name="held_for_s")  # seconds
    state: str
    majority_age: float | None = msgspec.field(name="majority_heard_s_ago")  # seconds
    newest_known: int
    history_from: int | None
    pending: VersionAnswer | None
    unloadable_here: dict[str, str]  # load errors by digest
    versions: list[VersionAnswer]


class RuleCalls(RootedCalls):
    """Answers the calls about rules."""

    ROOT = "/control/rules"

    def __init__(self, service: RulesService) -> None:
        """Answer calls about the history of rules at one head."""
        self.service = service

    async def answer_parts(self, method: str, parts: list[str], body: bytes) -> msgspec.Struct:
        """Answer one call by the parts of its path below the root."""
        match method, parts:
            case "GET", []:
                return self.describe_history()
            case "GET", ["newest"]:
                return await self.read_newest()
            case "GET", ["versions", number]:
                return await self.read_version(parse_version_number(number))
            case "POST", ["edits"]:
                return await self.edit(msgspec.json.decode(body, type=EditRequest))
            case "POST", ["undo"]:
                return await self.undo(msgspec.json.decode(body, type=UndoRequest))
            case "GET", ["edits", id]:
                return await self.read_edit(id)
        raise UnknownCallError

    def describe_history(self) -> HistoryAnswer:
        """Return the active version and the history known here; works without a majority."""
        service, history, fleet = self.service, self.service.history, self.service.fleet
        active_for = fleet.now() - service.active_since
        return HistoryAnswer(
            version=service.active_version,
            active_for=round(active_for.total_seconds(), 1),
            state=fleet.availability.state.value,
            majority_age=round_seconds(fleet.majority_age),
            newest_known=history.newest,
            history_from=history.versions[0].number if history.versions else None,
            pending=None if history.pending is None else describe_version(history.pending),
            unloadable_here=service.compiler.errors,
            versions=[describe_version(version) for version in history.versions[-MAX_VERSIONS_SHOWN:]],
        )

    async def read_newest(self) -> NewestAnswer:
        """Return the number of the version in force, confirmed by a majority."""
        await self.service.fleet.read(READ_TIMEOUT)
        return NewestAnswer(self.service.history.newest)

    async def read_version(self, number: int) -> VersionFilesAnswer:
        """Return one version with its files, confirmed by a majority."""
        await self.service.fleet.read(READ_TIMEOUT)
        history = self.service.history
        version = history.find_version(number)
        if version is None:
            raise NotFoundError(f"version {number} is not in the history")
        rule_set = unpack_rule_set(history.packed_rule_sets[version.digest])
        fields = msgspec.structs.asdict(version)
        return VersionFilesAnswer(**fields, root=rule_set.root, files=rule_set.files)

    async def edit(self, request: EditRequest) -> EditAccepted:
        """Submit a rule set to put in force."""
        check_attribution(request)
        check_number("base", request.base, MAX_VERSION)
        self._check_files(request)
        rule_set = RuleSet(request.root, request.files)
        command = Edit(
            id=request.id,
            base=request.base,
            digest=digest_rule_set(rule_set),
            packed_rules=pack_rule_set(rule_set),
            author=request.author,
            reason=request.reason,
            when=utc_timestamp(),
        )
        return await self._submit(command)

    def _check_files(self, request: EditRequest) -> None:
        """Raise OutOfBoundsError unless the files are acceptable as a version."""
        if len(request.files) > MAX_FILES:
            raise OutOfBoundsError("files", f"{len(request.files)} of them", f"up to {MAX_FILES}")
        for name in sorted(request.files):
            if not FILE_NAME.fullmatch(name):
                found = f"{quote_found(name)} of {len(name)} characters"
                raise OutOfBoundsError("files", found, ALLOWED_FILE_NAME)
        if request.root not in request.files:
            raise OutOfBoundsError("root", quote_found(request.root), "one of files")
        size = sum(len(text.encode()) for text in request.files.values())
        largest = self.service.settings.largest
        if size > largest:
            raise OutOfBoundsError("files", f"{size} bytes", f"up to {largest}")

    async def undo(self, request: UndoRequest) -> EditAccepted:
        """Submit the undo of a version."""
        check_attribution(request)
        check_number("version", request.version, MAX_VERSION)
        check_number("to", request.to, MAX_VERSION)
        command = Undo(
            id=request.id,
            version=request.version,
            to=request.to,
            author=request.author,
            reason=request.reason,
            when=utc_timestamp(),
            skip_cancelled=True,
        )
        return await self._submit(command)

    async def _submit(self, command: Edit | Undo) -> EditAccepted:
        """Submit an edit or undo to the history.

        Raises:
            EditRejectedError: The history rejects it.
            ReplicationError: No majority confirmed it in time.
        """
        content = hashlib.blake2b(
            msgspec.msgpack.encode(command), digest_size=CONTENT_DIGEST_SIZE
        ).hexdigest()
        result = await self.service.rollout.submit_command(command, f"rules/{command.id}/{content}")
        if not result.accepted:
            raise EditRejectedError(result.reason, result.newest)
        return EditAccepted(result.number, command.id)

    async def read_edit(self, id: str) -> EditAnswer:
        """Return the progress of an edit or undo, confirmed by a majority."""
        check_id("id", id)
        history = self.service.history
        await self.service.fleet.read(READ_TIMEOUT)
        if (abandoned := history.abandoned.get(id)) is not None:
            return describe_edit(abandoned.version, EditState.ABANDONED, why=abandoned.reason)
        version = history.find_by_id(id)
        if version is None:
            raise NotFoundError(
                f"nothing is known under {id!r}: it was refused, never came, or is past the history's end"
            )
        if version == history.pending:
            return describe_edit(version, EditState.ACCEPTED)
        return await self._describe_rollout(version)

    async def _describe_rollout(self, version: Version) -> EditAnswer:
        """Return at which heads a version that came into force is active."""
        status = await self.service.rollout.fetch_status()
        newest = self.service.history.newest
        if status is None:
            return describe_edit(version, EditState.IN_FORCE, newest=newest)
        active = status.active_versions
        missing = sorted(head for head in status.live_heads if active.get(head, 0) < version.number)
        return describe_edit(
            version,
            EditState.IN_FORCE if missing else EditState.EVERYWHERE,
            newest=newest,
            on=len(status.live_heads) - len(missing),
            of=len(status.live_heads),
            missing=missing,
        )


def check_attribution(request: EditRequest | UndoRequest) -> None:
    """Raise OutOfBoundsError unless the id, the author and the reason are within their bounds."""
    check_id("id", request.id)
    check_text("author", request.author, MAX_PERSON_LENGTH, min_length=1)
    check_text("reason", request.reason, MAX_REASON_LENGTH)


def parse_version_number(text: str) -> int:
    """Parse a version number in a path; raises OutOfBoundsError."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_VERSION)):
        raise OutOfBoundsError("version", quote_found(text), f"a number up to {MAX_VERSION}")
    return int(text)


def describe_version(version: Version) -> VersionAnswer:
    """Return the answer's record of a version."""
    return VersionAnswer(**msgspec.structs.asdict(version))


def describe_edit(
    version: Version,
    state: EditState,
    *,
    newest: int | UnsetType = UNSET,
    on: int | UnsetType = UNSET,
    of: int | UnsetType = UNSET,
    missing: list[str] | UnsetType = UNSET,
    why: str | UnsetType = UNSET,
) -> EditAnswer:
    """Return a version and its progress; unset fields are left out of the answer."""
    fields = msgspec.structs.asdict(version)
    return EditAnswer(**fields, state=state, newest=newest, on=on, of=of, missing=missing, why=why)
