"""Tells a node's answer to a request from one that the node has written a second time.

Answers name no request, but most of them name their content: two requests for different things then never
get the same bytes, and an answer that equals an earlier one of its connection to something else is that one
again. Where answers are alike by nature (errors, acknowledgements, empty bodies), or the same was asked,
their bytes distinguish nothing, but for those that name their request.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from stoatrouter.net import rest_times
from stoatrouter.net.request_digest import RequestDigest, contains_request_id

# The loop may read late what has come in time.
MAX_READ_DELAY = timedelta(milliseconds=150)
PREFIX_BYTES = 4 * 1024  # of a body that are compared, beside its length
MAX_FINGERPRINTS = 1_024  # beyond, the one that was last seen longest ago is forgotten
MAX_RECENT_ANSWERS = 64  # of one connection; beyond, it rests before it is used again
MIN_DISTINCT_IN_A_ROW = 16  # answers of one kind, until the next one is taken for distinctive
STATUS_OK = b"200"


class RequestKind(Enum):
    """What a request is to its node, as far as its answers may be alike."""

    READ = auto()
    WRITE = auto()
    HEALTH_CHECK = auto()  # answers of these are alike by nature


class AnswerFingerprints:
    """The fingerprints of the answers of all nodes, as far as they are remembered."""

    def __init__(self) -> None:
        """Remember nothing, and take no answer for distinctive yet."""
        self._seen: OrderedDict[int, int | None] = OrderedDict()  # subjects by fingerprint
        self._distinct_in_a_row = dict.fromkeys(RequestKind, 0)

    def record(self, fingerprint: int, kind: RequestKind, subject: int | None = None) -> bool:
        """Record the answer to a request; whether it is distinctive.

        Then no request for something else would get the same.

        Args:
            fingerprint: The answer's.
            kind: What the request is to its node.
            subject: What it is about (`RequestDigest.subject`); None: not known, and so different each time.
        """
        if kind is RequestKind.HEALTH_CHECK:
            return False
        is_new = fingerprint not in self._seen
        # equal answers about one subject prove nothing
        is_same = not is_new and subject is not None and self._seen[fingerprint] == subject
        self._seen[fingerprint] = subject
        self._seen.move_to_end(fingerprint)
        if len(self._seen) > MAX_FINGERPRINTS:
            self._seen.popitem(last=False)
        in_a_row = self._distinct_in_a_row[kind]
        if not is_same:
            in_a_row = self._distinct_in_a_row[kind] = in_a_row + 1 if is_new else 0
        return in_a_row > MIN_DISTINCT_IN_A_ROW


class RecentAnswer(NamedTuple):
    """A distinctive answer that a connection has brought lately."""

    ended: float
    fingerprint: int
    digest: RequestDigest | None  # None: not known, so different from all others
    contains_request_id: bool

    def is_for_another(self, digest: RequestDigest | None) -> bool:
        """Whether it would be no right answer to a request."""
        if digest is None or self.digest is None or digest.subject != self.digest.subject:
            return True
        return self.contains_request_id and digest.request_id != self.digest.request_id


class RecentAnswers:
    """The distinctive answers that a connection has brought lately; times are in seconds of the loop."""

    def __init__(self) -> None:
        """Hold none."""
        self._by_fingerprint: dict[int, RecentAnswer] = {}  # the oldest first
        self._by_subject: dict[int, RecentAnswer] = {}  # of these, the last about each subject

    def add(
        self,
        fingerprint: int,
        now: float,
        digest: RequestDigest | None = None,
        contains_request_id: bool = False,
    ) -> bool:
        """Add an answer that has just ended; False where the table is full."""
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

    def any(self, now: float) -> bool:
        """Whether there is any that may still come a second time."""
        self._drop_older(now)
        return bool(self._by_fingerprint)

    def is_repetition(self, fingerprint: int, digest: RequestDigest | None = None) -> bool:
        """Whether an answer equals one of them that would be no right answer to the request."""
        known = self._by_fingerprint.get(fingerprint)
        return known is not None and known.is_for_another(digest)

    def contains(self, fingerprint: int) -> bool:
        """Whether an answer equals one of them, whatever it was the answer to."""
        return fingerprint in self._by_fingerprint

    def rest_left(self, digest: RequestDigest, now: float) -> float:
        """How many seconds the connection has to rest before the request, so that it gets its own answer."""
        known = self._unrested(digest, now)
        if known is None or known.digest is None or digest.is_served_by(known.digest):
            return 0.0
        return known.ended + rest_times.REUSE_AFTER.total_seconds() - now

    def may_serve_again(self, digest: RequestDigest, now: float) -> bool:
        """Whether one that may still come a second time would serve a request that is written now."""
        return self._unrested(digest, now) is not None

    def _unrested(self, digest: RequestDigest, now: float) -> RecentAnswer | None:
        """The last about a request's subject, where it cannot be distinguished from the request's own."""
        known = self._by_subject.get(digest.subject)
        if known is None or now - known.ended >= rest_times.REUSE_AFTER.total_seconds():
            return None
        return None if known.is_for_another(digest) else known

    def _drop_older(self, now: float) -> None:
        oldest = now - (rest_times.REUSE_AFTER + MAX_READ_DELAY).total_seconds()
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
    """One answer of a stated length, which is withheld until it is known not to be an earlier one again."""

    def __init__(
        self, status: bytes, length: int, recent: RecentAnswers | None, digest: RequestDigest | None = None
    ) -> None:
        """Begin to inspect an answer.

        Args:
            status: Its three digits.
            length: The bytes of its body.
            recent: The answers that it may be a repetition of; None: it is not withheld.
            digest: What the present request asks for; None: not known.
        """
        self._digest = digest
        self._compares = status == STATUS_OK and length > 0
        self._length = length
        self._prefix = b""
        self._withheld = b""
        self._recent = recent if self._compares else None
        self.fingerprint: int | None = None  # None: not known yet, or nothing to tell it by
        self.is_repetition = False
        self.equals_recent = False  # and is none: it would be a right answer either way

    def contains_request_id(self) -> bool:
        """Whether the answer names its request, as far as that is known."""
        return self._digest is not None and contains_request_id(self._prefix, self._digest.request_id)

    def take(self, head: bytes, body: bytes) -> bytes:
        """Take a part of the answer, and return what of it may be passed on."""
        if self.is_repetition:
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
        self.is_repetition = self._recent.is_repetition(self.fingerprint, self._digest)
        self.equals_recent = not self.is_repetition and self._recent.contains(self.fingerprint)
        return b"" if self.is_repetition else withheld
