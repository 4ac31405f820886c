"""Digests of requests, which tell whether two requests may correctly get the same answer.

Answers carry no request id. A request's own id and remaining time are unique and do not influence the
content of the answer; everything else that is forwarded may: target, method, header fields and body.
"""

from __future__ import annotations

from typing import NamedTuple

from stoatrouter.core import model

READ_METHODS = ("GET", "HEAD")
TARGET_WRITE_METHODS = ("PUT", "PATCH", "DELETE")  # change the resource of their target, whatever their body
MIN_UNIQUE_ID_BYTES = 16  # an id of this length does not occur in an unrelated answer by chance
ID_SEARCH_BYTES = 512  # bytes at the start of a body that are searched for an id
MIN_ID_BYTES = 4  # an unrelated answer does not start with an id of this length by chance


class RequestDigest(NamedTuple):
    """The digests of a request."""

    subject: int  # digest of its subject: answers about different subjects differ, unless they are generic
    # digest of all that selects the content of a read: if equal, an answer to one serves both requests;
    # None: a write, whose answer confirms that this very request was executed
    content: int | None
    request_id: bytes

    def is_served_by(self, other: RequestDigest) -> bool:
        """Return whether the answer to another request about this subject also serves this one."""
        return self.content is not None and self.content == other.content


def digest_request(request: model.Request) -> RequestDigest:
    """Return the digest of a request."""
    body = request.body
    if request.method in TARGET_WRITE_METHODS:
        part: bytes | int = b""
    else:
        part = body if isinstance(body, bytes) else len(body)  # only the length of a stored body, not read
    subject = hash((request.target, part))
    content = None
    if request.method in READ_METHODS and isinstance(body, bytes):
        content = hash((subject, request.method, request.fields))
    return RequestDigest(subject, content, request.id.encode())


def contains_request_id(body_start: bytes, request_id: bytes) -> bool:
    """Return whether an answer's body contains the id of a request, so that it answers only that one.

    Args:
        body_start: The first bytes of the body.
        request_id: The id of the request.
    """
    if len(request_id) >= MIN_UNIQUE_ID_BYTES:
        return body_start.find(request_id, 0, ID_SEARCH_BYTES) >= 0
    return len(request_id) >= MIN_ID_BYTES and body_start.startswith(request_id)
