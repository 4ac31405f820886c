"""What a request asks its node for, by digests: whether two requests may rightly get the same answer.

Answers name no request. A request's id and time left differ for each, and choose no content; all else that
is forwarded may: target, method, header fields, and a body.
"""

from __future__ import annotations

from typing import NamedTuple

from stoatrouter.core import model

READ_METHODS = ("GET", "HEAD")
TARGET_WRITE_METHODS = ("PUT", "PATCH", "DELETE")  # change what their target names, whatever their body
MIN_UNIQUE_ID_BYTES = 16  # bytes of an id that stands in no answer by accident
ID_SEARCH_BYTES = 512  # bytes of a body in which an id is looked for
MIN_ID_BYTES = 4  # bytes of an id that no answer begins with by accident


class RequestDigest(NamedTuple):
    """What a request asks for."""

    subject: int  # digest of what it is about: answers about different subjects differ, or say nothing
    # digest of all that chooses the content of a read: where it is equal, each answer serves both;
    # None: a write, whose answer says that this very request has run
    content: int | None
    request_id: bytes

    def is_served_by(self, other: RequestDigest) -> bool:
        """Whether the answer to another request of this subject serves this one too."""
        return self.content is not None and self.content == other.content


def digest_request(request: model.Request) -> RequestDigest:
    """What a request asks for."""
    body = request.body
    if request.method in TARGET_WRITE_METHODS:
        part: bytes | int = b""
    else:
        part = body if isinstance(body, bytes) else len(body)  # a stored body is not read for this
    subject = hash((request.target, part))
    content = None
    if request.method in READ_METHODS and isinstance(body, bytes):
        content = hash((subject, request.method, request.fields))
    return RequestDigest(subject, content, request.id.encode())


def contains_request_id(body_start: bytes, request_id: bytes) -> bool:
    """Whether an answer's body names the request: then it answers that one alone.

    Args:
        body_start: The first bytes of the body.
        request_id: The request's id.
    """
    if len(request_id) >= MIN_UNIQUE_ID_BYTES:
        return body_start.find(request_id, 0, ID_SEARCH_BYTES) >= 0
    return len(request_id) >= MIN_ID_BYTES and body_start.startswith(request_id)
