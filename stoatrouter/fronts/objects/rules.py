"""What rules say of a call to the object front: its class, its plan, and the shard of new pieces.

The place of an object's manifest never depends on rules, so an object is found under any table. The key that
a rule yields says where new pieces go, which their references record.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from stoatrouter.fronts.objects.errors import ObjectError
from stoatrouter.fronts.objects.settings import Bucket, ObjectSettings
from stoatrouter.fronts.objects.store import Pieces
from stoatrouter.matching.decisions import Decision
from stoatrouter.matching.inputs import Unreadable, read_input
from stoatrouter.matching.matcher import Matcher
from stoatrouter.policy import interface as api

Clock = Callable[[], timedelta]


class Chooser:
    """Applies the table in force to each call."""

    def __init__(self, matcher: Matcher, settings: api.Settings, clock: Clock, advice: timedelta) -> None:
        self.matcher, self.settings, self.clock, self.advice = matcher, settings, clock, advice

    def __call__(
        self, request: web.BaseRequest, conf: ObjectSettings, bucket: Bucket, key: str, operation: str
    ) -> tuple[ObjectSettings, Bucket, Pieces]:
        """The settings, bucket and piece placement of one call; raises ObjectError."""
        try:
            size = request.content_length
            given = read_input(
                request.method,
                request.raw_path,
                request.raw_headers,
                request.remote or "0.0.0.0",
                -1 if size is None else size,
            )
        except Unreadable as error:
            raise ObjectError("InvalidRequest", str(error)) from None
        given.bucket, given.key, given.operation = bucket.name, key, operation
        decided = self.matcher.decide(given, self.clock())
        if isinstance(decided, Decision):
            return self.chosen(decided, conf, bucket)
        if decided.rule is not None:
            raise refusal(decided.status, decided.reason, self.advice)
        if bucket.plan < 0:
            raise ObjectError("AccessDenied", "no rule gives this call a plan")
        return conf, bucket, Pieces()

    def chosen(
        self, decided: Decision, conf: ObjectSettings, bucket: Bucket
    ) -> tuple[ObjectSettings, Bucket, Pieces]:
        """Apply a decision to the settings and the bucket; raises ObjectError where no plan is given."""
        if self.settings.classes[decided.request_class].writes:
            conf = replace(conf, write_class=decided.request_class)
        else:
            conf = replace(conf, read_class=decided.request_class)
        if decided.plan >= 0:
            bucket = replace(bucket, plan=decided.plan)
        if bucket.plan < 0:
            raise ObjectError("AccessDenied", "no rule gives this call a plan")
        return conf, bucket, Pieces(decided.shard, decided.deadline)


def refusal(status: int, reason: str, advice: timedelta) -> ObjectError:
    """A rule's refusal as an error of the S3 protocol."""
    if status in (429, 503):
        return ObjectError("SlowDown", reason, advice)
    return ObjectError("AccessDenied" if status in (401, 403) else "InvalidRequest", reason)
