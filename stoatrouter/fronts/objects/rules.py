"""Applies rules to calls of the object front: they set the class, the plan and the shard of new pieces.

The address of an object's manifest never depends on rules, so an object can be found under any table. The
key that a rule yields determines the shard of new pieces, and their references record it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError
from stoatrouter.fronts.objects.routing import Operation
from stoatrouter.fronts.objects.settings import PLAN_BY_RULES, Bucket, ObjectSettings
from stoatrouter.fronts.objects.store import CallTerms, PieceTerms
from stoatrouter.matching.decisions import Decision, Refusal
from stoatrouter.matching.inputs import Input, UnreadableRequestError, read_input
from stoatrouter.matching.matcher import Matcher
from stoatrouter.policy import interface as api

Clock = Callable[[], timedelta]
RETRY_LATER_STATUSES = (429, 503)
FORBIDDEN_STATUSES = (401, 403)


class CallRules:
    """Applies the active rule table to each call."""

    def __init__(
        self, matcher: Matcher, settings: api.Settings, clock: Clock, retry_after: timedelta
    ) -> None:
        """Apply the rules of a matcher.

        Args:
            matcher: Decides on calls by the active table.
            settings: The platform's settings; decisions refer to its classes and plans by number.
            clock: Returns the time since the Unix epoch.
            retry_after: The delay for clients that are told to retry later.
        """
        self.matcher = matcher
        self.settings = settings
        self.clock = clock
        self.retry_after = retry_after

    def apply(
        self,
        request: web.BaseRequest,
        conf: ObjectSettings,
        bucket: Bucket,
        key: str,
        operation: Operation,
    ) -> CallTerms:
        """Decide on a call; raises ObjectError if it is malformed or refused, or gets no plan."""
        rule_input = read_call(request)
        rule_input.bucket = bucket.name
        rule_input.key = key
        rule_input.operation = operation.value
        decision = self.matcher.decide(rule_input, self.clock())
        if isinstance(decision, Decision):
            return self._apply_decision(decision, conf, bucket)
        if decision.rule is not None:
            raise refusal_error(decision, self.retry_after)
        check_plan(bucket)
        return CallTerms(conf, bucket)

    def _apply_decision(self, decision: Decision, conf: ObjectSettings, bucket: Bucket) -> CallTerms:
        """Apply a decision to the settings and the bucket; raises ObjectError if there is no plan."""
        if self.settings.classes[decision.request_class].writes:
            conf = replace(conf, write_class=decision.request_class)
        else:
            conf = replace(conf, read_class=decision.request_class)
        if decision.plan >= 0:
            bucket = replace(bucket, plan=decision.plan)
        check_plan(bucket)
        return CallTerms(conf, bucket, PieceTerms(decision.shard, decision.deadline))


def read_call(request: web.BaseRequest) -> Input:
    """Parse a call into the rules' input; raises ObjectError."""
    size = request.content_length
    try:
        return read_input(
            request.method,
            request.raw_path,
            request.raw_headers,
            request.remote or "0.0.0.0",
            -1 if size is None else size,
        )
    except UnreadableRequestError as error:
        raise ObjectError(ErrorCode.INVALID_REQUEST, str(error)) from None


def check_plan(bucket: Bucket) -> None:
    """Check that a bucket has a plan, from the settings file or from a rule; raises ObjectError."""
    if bucket.plan == PLAN_BY_RULES:
        raise ObjectError(ErrorCode.ACCESS_DENIED, "no rule gives this call a plan")


def refusal_error(refusal: Refusal, retry_after: timedelta) -> ObjectError:
    """Translate a rule's refusal to an error of the S3 protocol."""
    if refusal.status in RETRY_LATER_STATUSES:
        return ObjectError(ErrorCode.SLOW_DOWN, refusal.reason, retry_after)
    if refusal.status in FORBIDDEN_STATUSES:
        return ObjectError(ErrorCode.ACCESS_DENIED, refusal.reason)
    return ObjectError(ErrorCode.INVALID_REQUEST, refusal.reason)
