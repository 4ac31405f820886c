"""Operators' calls about the history of rules. They need no rule table: no edit can lock anybody out of them.

GET  /control/rules               which version this head decides by, how old it is, the history
GET  /control/rules/newest        the newest version, as a majority confirms it
GET  /control/rules/versions/N    one version, with its files
POST /control/rules/edits         {"id", "base", "root", "files", "author", "reason"}
POST /control/rules/undo          {"id", "version", "to", "author", "reason"}
GET  /control/rules/edits/ID      what became of an edit or undo: accepted, in force on N of M,
                                  everywhere, or abandoned and why
"""

from __future__ import annotations

import hashlib
import re
from datetime import timedelta
from typing import Any
from urllib.parse import unquote

import msgspec
from aiohttp import web

from stoatrouter.history.records import (
    Edit,
    RuleSet,
    Undo,
    Version,
    digest_rule_set,
    pack_rule_set,
    unpack_rule_set,
)
from stoatrouter.peering.bounds import (
    LARGEST_VERSION,
    LONGEST_FILE_NAME,
    LONGEST_PERSON,
    LONGEST_REASON,
    OutOfBounds,
    check_id,
    check_number,
    check_text,
    error_text,
    shown,
)
from stoatrouter.peering.errors import ReplicationError
from stoatrouter.peering.head_calls import answer, seconds
from stoatrouter.peering.rules import RulesService
from stoatrouter.peering.timestamps import utc_timestamp

ROOT = "/control/rules"
WITHIN = timedelta(seconds=3)
FILE = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\.cue")
ALLOWED_FILE = f"NAME.cue of up to {LONGEST_FILE_NAME} letters, digits, _ . -"
MOST_FILES = 256


class EditCall(msgspec.Struct, forbid_unknown_fields=True):
    """A set of files to be put in force."""

    id: str
    base: int
    root: str
    files: dict[str, str]
    author: str
    reason: str


class UndoCall(msgspec.Struct, forbid_unknown_fields=True):
    """A version to be taken back."""

    id: str
    version: int
    author: str
    reason: str
    to: int = 0


class RuleCalls:
    """Answers these calls."""

    def __init__(self, service: RulesService) -> None:
        self.service = service

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """Answer one call; None where it is not about rules."""
        if path != ROOT and not path.startswith(ROOT + "/"):
            return None
        parts = [unquote(part) for part in path[len(ROOT) :].split("/")[1:]]
        try:
            match method, parts:
                case "GET", []:
                    return answer(200, self.told())
                case "GET", ["newest"]:
                    await self.service.fleet.read(WITHIN)
                    return answer(200, {"newest": self.service.history.newest})
                case "GET", ["versions", number]:
                    return await self.version(version_number(number))
                case "POST", ["edits"]:
                    return await self.edit(msgspec.json.decode(body, type=EditCall))
                case "POST", ["undo"]:
                    return await self.undo(msgspec.json.decode(body, type=UndoCall))
                case "GET", ["edits", id]:
                    return await self.became(id)
        except (msgspec.MsgspecError, ValueError) as error:
            return answer(400, {"error": error_text(error)})
        except ReplicationError as error:
            return answer(
                503,
                {
                    "error": str(error),
                    "unknown": True,
                    "advice": "it may still come to hold: ask by its id, or call again with it",
                },
            )
        return answer(404, {"error": "no such call"})

    def told(self) -> dict[str, Any]:
        """What this head decides by, and the history as it knows it."""
        service, register = self.service, self.service.history
        fleet = service.fleet
        now = fleet.now()
        return {
            "version": service.active_version,
            "held_for_s": round((now - service.active_since).total_seconds(), 1),
            "state": fleet.availability.state.value,
            "majority_heard_s_ago": seconds(fleet.majority_age),
            "newest_known": register.newest,
            "history_from": register.versions[0].number if register.versions else None,
            "pending": None if register.pending is None else described(register.pending),
            "unloadable_here": service.compiler.errors,
            "versions": [described(v) for v in register.versions[-50:]],
        }

    async def version(self, number: int) -> web.Response:
        """One version with its files, as a majority confirms it."""
        await self.service.fleet.read(WITHIN)
        register = self.service.history
        found = register.find_version(number)
        if found is None:
            return answer(404, {"error": f"version {number} is not in the history"})
        content = unpack_rule_set(register.packed_rule_sets[found.digest])
        return answer(200, described(found) | {"root": content.root, "files": content.files})

    async def edit(self, call: EditCall) -> web.Response:
        """Ask for a set of files to be put in force."""
        check_who(call)
        check_number("base", call.base, LARGEST_VERSION)
        self.check_files(call)
        content = RuleSet(call.root, call.files)
        packed = pack_rule_set(content)
        edit = Edit(
            call.id, call.base, digest_rule_set(content), packed, call.author, call.reason, utc_timestamp()
        )
        return await self.ask(edit)

    def check_files(self, call: EditCall) -> None:
        """Raise OutOfBounds unless these files may be a version."""
        if len(call.files) > MOST_FILES:
            raise OutOfBounds("files", f"{len(call.files)} of them", f"up to {MOST_FILES}")
        for name in sorted(call.files):
            if not FILE.fullmatch(name):
                raise OutOfBounds("files", f"{shown(name)} of {len(name)} characters", ALLOWED_FILE)
        if call.root not in call.files:
            raise OutOfBounds("root", shown(call.root), "one of files")
        size = sum(len(text.encode()) for text in call.files.values())
        most = self.service.settings.largest
        if size > most:
            raise OutOfBounds("files", f"{size} bytes", f"up to {most}")

    async def undo(self, call: UndoCall) -> web.Response:
        """Ask for a version to be taken back."""
        check_who(call)
        check_number("version", call.version, LARGEST_VERSION)
        check_number("to", call.to, LARGEST_VERSION)
        undo = Undo(
            call.id, call.version, call.to, call.author, call.reason, utc_timestamp(), skip_cancelled=True
        )
        return await self.ask(undo)

    async def ask(self, command: Edit | Undo) -> web.Response:
        """Bring an edit or undo through; 409 where the history refuses it."""
        body = msgspec.msgpack.encode(command)
        name = f"rules/{command.id}/{hashlib.blake2b(body, digest_size=8).hexdigest()}"
        said = await self.service.rollout.submit_command(command, name)
        if not said.accepted:
            return answer(409, {"error": said.reason, "newest": said.newest})
        return answer(202, {"number": said.number, "id": command.id})

    async def became(self, id: str) -> web.Response:
        """What became of an id, as a majority confirms it."""
        check_id("id", id)
        service, register = self.service, self.service.history
        await service.fleet.read(WITHIN)
        if (ended := register.abandoned.get(id)) is not None:
            return answer(200, described(ended.version) | {"state": "abandoned", "why": ended.reason})
        version = register.find_by_id(id)
        if version is None:
            return answer(
                404,
                {
                    "error": f"nothing is known under {id!r}: it was refused, never came, or is "
                    "past the history's end"
                },
            )
        if version == register.pending:
            return answer(200, described(version) | {"state": "accepted"})
        spread = await service.rollout.fetch_status()
        told: dict[str, Any] = described(version) | {"state": "in force", "newest": register.newest}
        if spread is not None:
            there = [
                name for name in spread.live_heads if spread.active_versions.get(name, 0) >= version.number
            ]
            told |= {
                "on": len(there),
                "of": len(spread.live_heads),
                "missing": sorted(set(spread.live_heads) - set(there)),
                "state": "everywhere" if len(there) == len(spread.live_heads) else "in force",
            }
        return answer(200, told)


def check_who(call: EditCall | UndoCall) -> None:
    """Raise OutOfBounds unless the call says, in few words, what it is, who asks and why."""
    check_id("id", call.id)
    check_text("author", call.author, LONGEST_PERSON, least=1)
    check_text("reason", call.reason, LONGEST_REASON)


def version_number(text: str) -> int:
    """A version's number in a path; raises OutOfBounds."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(LARGEST_VERSION)):
        raise OutOfBounds("version", shown(text), f"a number up to {LARGEST_VERSION}")
    return int(text)


def described(version: Version) -> dict[str, Any]:
    """A version as answers tell it."""
    return {f: getattr(version, f) for f in version.__struct_fields__}
