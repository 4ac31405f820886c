"""Tells a node's answer to a request from one that the node has written a second time.

Answers name no request, but most of them name their content: two requests then never get the same bytes, and
an answer that equals an earlier one of its connection is that one again. Where answers are alike by nature
(errors, acknowledgements, empty bodies, objects that are read often) nothing can be told from their bytes.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from datetime import timedelta
from enum import Enum, auto

from stoatrouter.net import rest_times

# The loop may read late what has come in time.
HELD_UP = timedelta(milliseconds=150)
PREFIX_BYTES = 4 * 1024  # of a body that are compared, beside its length
MOST_FINGERPRINTS = 1_024  # beyond, the one that was last seen longest ago is forgotten
MOST_RECENT = 64  # of one connection; beyond, it rests before it is used again
DISTINCT_IN_A_ROW = 16  # answers of one kind, until the next one is taken for distinctive
SUCCESS = b"200"


class RequestKind(Enum):
    """What a request is to its node, as far as its answers may be alike."""

    READ = auto()
    WRITE = auto()
    HEALTH_CHECK = auto()  # answers of these are alike by nature


class AnswerFingerprints:
    """The fingerprints of the answers of all nodes, as far as they are remembered."""

    def __init__(self) -> None:
        """Remember nothing, and take no answer for distinctive yet."""
        self._seen: OrderedDict[int, None] = OrderedDict()
        self._distinct_in_a_row = dict.fromkeys(RequestKind, 0)

    def record(self, fingerprint: int, kind: RequestKind) -> bool:
        """Record the answer to a request; whether it is distinctive: no other request would get the same."""
        if kind is RequestKind.HEALTH_CHECK:
            return False
        is_new = fingerprint not in self._seen
        self._seen[fingerprint] = None
        self._seen.move_to_end(fingerprint)
        if len(self._seen) > MOST_FINGERPRINTS:
            self._seen.popitem(last=False)
        in_a_row = self._distinct_in_a_row[kind] + 1 if is_new else 0
        self._distinct_in_a_row[kind] = in_a_row
        return in_a_row > DISTINCT_IN_A_ROW


class RecentAnswers:
    """The distinctive answers that a connection has brought lately; times are in seconds of the loop."""

    def __init__(self) -> None:
        """Hold none."""
        self._answers: deque[tuple[float, int]] = deque(maxlen=MOST_RECENT)

    def add(self, fingerprint: int, now: float) -> bool:
        """Add an answer that has just ended; False where there is no room for it."""
        self._drop_older(now)
        if len(self._answers) == MOST_RECENT:
            return False
        self._answers.append((now, fingerprint))
        return True

    def any(self, now: float) -> bool:
        """Whether there is any that may still come a second time."""
        self._drop_older(now)
        return bool(self._answers)

    def holds(self, fingerprint: int) -> bool:
        """Whether an answer equals one of them."""
        return any(known == fingerprint for _, known in self._answers)

    def _drop_older(self, now: float) -> None:
        oldest = now - (rest_times.REUSE_AFTER + HELD_UP).total_seconds()
        while self._answers and self._answers[0][0] < oldest:
            self._answers.popleft()


class AnswerInspection:
    """One answer of a stated length, which is withheld until it is known not to be an earlier one again."""

    def __init__(self, status: bytes, length: int, recent: RecentAnswers | None) -> None:
        """Begin to inspect an answer.

        Args:
            status: Its three digits.
            length: The bytes of its body.
            recent: The answers that it may be a repetition of; None: it is not withheld.
        """
        self._compares = status == SUCCESS and length > 0
        self._length = length
        self._prefix = b""
        self._withheld = b""
        self._recent = recent if self._compares else None
        self.fingerprint: int | None = None  # None: not known yet, or nothing to tell it by
        self.is_repetition = False

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
        self.is_repetition = self._recent.holds(self.fingerprint)
        return b"" if self.is_repetition else withheld
