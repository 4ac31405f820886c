"""Detects duplicate answers: ones that a node has already sent for an earlier request on the connection.

HTTP/1.1 answers carry no request id, but most bodies are specific to their content: requests for different
subjects then never get equal bytes, so an answer that equals an earlier one about a different subject is a
duplicate of it. Equal bytes prove nothing where answers are generic (errors, acknowledgements, empty bodies)
or where both requests were for the same content, unless the body contains the id of its request.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from stoatrouter.net import reuse_delays
from stoatrouter.net.request_digest import RequestDigest, contains_request_id

# How much later than its arrival a busy event loop may read an answer.
MAX_READ_DELAY = timedelta(milliseconds=150)
PREFIX_BYTES = 4 * 1024  # bytes at the start of a body that are compared, in addition to its length
MAX_FINGERPRINTS = 1_024  # beyond this, the least recently seen one is evicted
MAX_RECENT_ANSWERS = 64  # per connection; when full, the connection needs a reuse delay
MIN_DISTINCT_IN_A_ROW = 16  # distinct answers of one kind before the next one counts as distinctive
STATUS_OK = b"200"


class RequestKind(Enum):
    """The kind of a request, by how far the answers to different requests of it may be equal."""

    READ = auto()
    WRITE = auto()
    HEALTH_CHECK = auto()  # answers to these are generic


class AnswerFingerprints:
    """A bounded LRU table of the fingerprints of all nodes' answers."""

    def __init__(self) -> None:
        """Start empty; no answer counts as distinctive yet."""
        self._subjects: OrderedDict[int, int | None] = OrderedDict()  # subjects by fingerprint
        self._distinct_in_a_row = dict.fromkeys(RequestKind, 0)

    def record(self, fingerprint: int, kind: RequestKind, subject: int | None = None) -> bool:
        """Record the answer to a request, and return whether it is distinctive.

        No request about another subject gets an answer equal to a distinctive one.

        Args:
            fingerprint: The fingerprint of the answer.
            kind: The kind of the request.
            subject: The subject of the request (`RequestDigest.subject`); None: not known, and treated as
                different from all others.
        """
        if kind is RequestKind.HEALTH_CHECK:
            return False
        is_new = fingerprint not in self._subjects
        # equal answers about the same subject do not show whether answers are distinctive
        is_same = not is_new and subject is not None and self._subjects[fingerprint] == subject
        self._subjects[fingerprint] = subject
        self._subjects.move_to_end(fingerprint)
        if len(self._subjects) > MAX_FINGERPRINTS:
            self._subjects.popitem(last=False)
        in_a_row = self._distinct_in_a_row[kind]
        if not is_same:
            in_a_row = self._distinct_in_a_row[kind] = in_a_row + 1 if is_new else 0
        return in_a_row > MIN_DISTINCT_IN_A_ROW


class RecentAnswer(NamedTuple):
    """A distinctive answer that a connection received recently."""

    ended: float  # in the loop's time
    fingerprint: int
    digest: RequestDigest | None  # of its request; None: not known, and treated as different from all others
    contains_request_id: bool

    def is_for_another(self, digest: RequestDigest | None) -> bool:
        """Return whether it would be a wrong answer to a request with this digest."""
        if digest is None or self.digest is None or digest.subject != self.digest.subject:
            return True
        return self.contains_request_id and digest.request_id != self.digest.request_id


class RecentAnswers:
    """The distinctive answers that a connection received recently; times are in seconds of the loop."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_fingerprint: dict[int, RecentAnswer] = {}  # the oldest first
        self._by_subject: dict[int, RecentAnswer] = {}  # of these, the latest about each subject

    def add(
        self,
        fingerprint: int,
        now: float,
        digest: RequestDigest | None = None,
        contains_request_id: bool = False,
    ) -> bool:
        """Add an answer that has just ended; returns False if the table is full."""
        if fingerprint in self._by_fingerprint:
            self._remove(fingerprint)
        elif len(self._by_fingerprint) == MAX_RECENT_ANSWERS:
            self._drop_older(now)
            if len(self._by_fingerprint) == MAX_RECENT_ANSWERS:
                return False
        answer = RecentAnswer(now, fingerprint, digest, contains_request_id)
        self._by_fingerprint[fingerprint] = answer
        if digest is not None:
            self._by_subject[digest.subject] = answer
        return True

    def may_get_duplicate(self, now: float) -> bool:
        """Return whether a duplicate of any of them may still arrive."""
        self._drop_older(now)
        return bool(self._by_fingerprint)

    def is_duplicate(self, fingerprint: int, digest: RequestDigest | None = None) -> bool:
        """Return whether an answer equals one of them that would be a wrong answer to the request."""
        earlier = self._by_fingerprint.get(fingerprint)
        return earlier is not None and earlier.is_for_another(digest)

    def contains(self, fingerprint: int) -> bool:
        """Return whether an answer equals one of them, whatever request that one was for."""
        return fingerprint in self._by_fingerprint

    def remaining_reuse_delay(self, digest: RequestDigest, now: float) -> float:
        """Return the remaining seconds of the delay that ensures that the request gets its own answer."""
        earlier = self._latest_valid(digest, now)
        if earlier is None or earlier.digest is None or digest.is_served_by(earlier.digest):
            return 0.0
        return earlier.ended + reuse_delays.REUSE_DELAY.total_seconds() - now

    def may_get_valid_duplicate(self, digest: RequestDigest, now: float) -> bool:
        """Return whether a duplicate that may still arrive would be a valid answer to a request sent now."""
        return self._latest_valid(digest, now) is not None

    def _latest_valid(self, digest: RequestDigest, now: float) -> RecentAnswer | None:
        """Return the latest about a request's subject, if a duplicate of it would be a valid answer."""
        earlier = self._by_subject.get(digest.subject)
        if earlier is None or now - earlier.ended >= reuse_delays.REUSE_DELAY.total_seconds():
            return None
        return None if earlier.is_for_another(digest) else earlier

    def _drop_older(self, now: float) -> None:
        oldest = now - (reuse_delays.REUSE_DELAY + MAX_READ_DELAY).total_seconds()
        while self._by_fingerprint:
            first = next(iter(self._by_fingerprint.values()))
            if first.ended >= oldest:
                return
            self._remove(first.fingerprint)

    def _remove(self, fingerprint: int) -> None:
        answer = self._by_fingerprint.pop(fingerprint)
        if answer.digest is not None and self._by_subject.get(answer.digest.subject) is answer:
            del self._by_subject[answer.digest.subject]


class AnswerInspection:
    """One answer with a Content-Length, which is withheld until it is known not to be a duplicate."""

    def __init__(
        self, status: bytes, length: int, recent: RecentAnswers | None, digest: RequestDigest | None = None
    ) -> None:
        """Start inspecting an answer.

        Args:
            status: The three digits of its status.
            length: The length of its body in bytes.
            recent: The answers that it may be a duplicate of; None: it is not withheld.
            digest: The digest of the current request; None: not known.
        """
        self._digest = digest
        self._compares = status == STATUS_OK and length > 0
        self._length = length
        self._prefix = b""
        self._withheld = b""
        self._recent = recent if self._compares else None
        self.fingerprint: int | None = None  # None: not known yet, or the answer is not comparable
        self.is_duplicate = False
        self.equals_recent = False  # equals a recent answer, but would be a valid answer either way

    def contains_request_id(self) -> bool:
        """Return whether the body is known to contain the id of the current request."""
        return self._digest is not None and contains_request_id(self._prefix, self._digest.request_id)

    def feed(self, head: bytes, body: bytes) -> bytes:
        """Add a part of the answer, and return the bytes that may be passed on."""
        if self.is_duplicate:
            return b""
        if not self._compares or self.fingerprint is not None:
            return head + body
        self._prefix += body[: PREFIX_BYTES - len(self._prefix)]
        if len(self._prefix) == min(self._length, PREFIX_BYTES):
            self.fingerprint = hash((self._length, self._prefix))
        if self._recent is None:
            return head + body
        self._withheld += head + body
        if self.fingerprint is None:
            return b""
        withheld, self._withheld = self._withheld, b""
        self.is_duplicate = self._recent.is_duplicate(self.fingerprint, self._digest)
        self.equals_recent = not self.is_duplicate and self._recent.contains(self.fingerprint)
        return b"" if self.is_duplicate else withheld
