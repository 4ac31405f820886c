"""The HTTP layer of operators' calls about the heads: maps typed answers and errors to JSON and status codes.

`head_calls.py`, `credit_calls.py` and `rule_calls.py` answer the calls. Each answer is a record whose fields
are the JSON keys.
"""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from datetime import timedelta
from typing import ClassVar
from urllib.parse import unquote

import msgspec
from aiohttp import web

from stoatrouter.peering.bounds import OutOfBoundsError, truncate_error
from stoatrouter.peering.call_errors import (
    CallError,
    ConflictError,
    EditRejectedError,
    MalformedCallError,
    MethodNotAllowedError,
    NotFoundError,
    NotLeaderError,
    UnavailableError,
    UnknownCallError,
)
from stoatrouter.peering.errors import ReplicationError

OK, ACCEPTED = 200, 202
BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED, CONFLICT, SERVICE_UNAVAILABLE = 400, 404, 405, 409, 503


class AcceptedAnswer(msgspec.Struct):
    """Base of answers to calls that take effect later."""


class ErrorAnswer(msgspec.Struct):
    """The answer to a call that failed."""

    error: str


class EditRejectedAnswer(ErrorAnswer):
    """The history rejects an edit or undo."""

    newest: int


class NotLeaderAnswer(ErrorAnswer):
    """Another head has to answer this call."""

    leader: str | None


class UnconfirmedAnswer(ErrorAnswer):
    """No majority confirmed the call in time: its outcome is unknown."""

    unknown: bool = True
    advice: str = "it may still come to hold: ask by its id, or call again with it"


class OperatorCalls(ABC):
    """Answers operators' calls of one kind."""

    async def call(self, method: str, path: str, body: bytes) -> web.Response | None:
        """Answer one call with an HTTP response; None if it is of another kind."""
        try:
            answer = await self.answer(method, path, body)
        except (CallError, OutOfBoundsError, ReplicationError) as error:
            return error_response(error)
        if answer is None:
            return None
        return json_response(ACCEPTED if isinstance(answer, AcceptedAnswer) else OK, answer)

    @abstractmethod
    async def answer(self, method: str, path: str, body: bytes) -> msgspec.Struct | None:
        """Answer one call with a record; None if it is of another kind.

        Raises:
            CallError: The call cannot be answered as asked.
            OutOfBoundsError: A field is out of bounds.
            ReplicationError: No majority confirmed it in time.
        """


class RootedCalls(OperatorCalls):
    """Answers all operators' calls below one path."""

    ROOT: ClassVar[str]

    async def answer(self, method: str, path: str, body: bytes) -> msgspec.Struct | None:
        """Answer one call; None if its path is not below the root."""
        if path != self.ROOT and not path.startswith(f"{self.ROOT}/"):
            return None
        parts = [unquote(part) for part in path[len(self.ROOT) :].split("/")[1:]]
        try:
            return await self.answer_parts(method, parts, body)
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedCallError(truncate_error(error)) from error

    @abstractmethod
    async def answer_parts(self, method: str, parts: list[str], body: bytes) -> msgspec.Struct:
        """Answer one call by the unquoted parts of its path below the root.

        Raises:
            UnknownCallError: No call has this method and path.
            CallError: The call cannot be answered as asked.
            ValueError: Its body or path is malformed, or a field is out of bounds.
            ReplicationError: No majority confirmed it in time.
        """


def json_response(status: int, answer: msgspec.Struct) -> web.Response:
    """Return a record as an indented JSON object with a final newline."""
    text = json.dumps(msgspec.to_builtins(answer), indent=1) + "\n"
    return web.Response(status=status, text=text, content_type="application/json")


def error_response(error: CallError | OutOfBoundsError | ReplicationError) -> web.Response:
    """Return the response to a call that raised an error."""
    text = str(error)
    match error:
        case MalformedCallError() | OutOfBoundsError():
            return json_response(BAD_REQUEST, ErrorAnswer(text))
        case UnknownCallError() | NotFoundError():
            return json_response(NOT_FOUND, ErrorAnswer(text))
        case MethodNotAllowedError():
            return json_response(METHOD_NOT_ALLOWED, ErrorAnswer(text))
        case EditRejectedError():
            return json_response(CONFLICT, EditRejectedAnswer(text, error.newest))
        case NotLeaderError():
            return json_response(CONFLICT, NotLeaderAnswer(text, error.leader))
        case ConflictError():
            return json_response(CONFLICT, ErrorAnswer(text))
        case UnavailableError():
            return json_response(SERVICE_UNAVAILABLE, ErrorAnswer(text))
        case ReplicationError():
            return json_response(SERVICE_UNAVAILABLE, UnconfirmedAnswer(text))
    raise error


def round_seconds(duration: timedelta | None) -> float | None:
    """Return a duration in seconds, rounded to the millisecond, as used in answers."""
    return None if duration is None else round(duration.total_seconds(), 3)
