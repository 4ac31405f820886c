"""The object API: serves calls of the S3 protocol with requests of the core.

This module admits and routes calls and builds error responses; `object_calls` and `upload_calls` implement
the operations.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import unquote

from aiohttp import web
from loguru import logger

from stoatrouter.fronts.exchange import HEALTH_PATH
from stoatrouter.fronts.objects.calls import Call
from stoatrouter.fronts.objects.errors import ErrorCode, ObjectError, error_response
from stoatrouter.fronts.objects.object_calls import ObjectCalls
from stoatrouter.fronts.objects.record_store import RecordStore
from stoatrouter.fronts.objects.routing import (
    Operation,
    check_supported,
    decode_key,
    find_operation,
    parse_query,
    split_path,
)
from stoatrouter.fronts.objects.settings import Bucket, ObjectSettings
from stoatrouter.fronts.objects.store import CallTerms, PieceStore, Serve
from stoatrouter.fronts.objects.tokens import Tokens
from stoatrouter.fronts.objects.upload_calls import UploadCalls
from stoatrouter.net.listener import Drain
from stoatrouter.policy import interface as api

OVERLOAD_RETRY_AFTER = timedelta(seconds=1)

# Returns the terms that rules give a call to a bucket and key; raises ObjectError if they refuse it.
ApplyRules = Callable[[web.BaseRequest, ObjectSettings, Bucket, str, Operation], CallTerms]


class ObjectFront:
    """Serves the object API; it keeps no state between calls."""

    def __init__(
        self,
        serve: Serve,
        settings: api.Settings,
        conf: ObjectSettings,
        drain: Drain,
        apply_rules: ApplyRules | None = None,
    ) -> None:
        """Serve the buckets of the settings file.

        Args:
            serve: Serves a request of the core and returns its answer with the complete body.
            settings: The platform's settings.
            conf: The settings of this front.
            drain: Tells whether the head is draining, and whether it is overloaded.
            apply_rules: Applies rules to a call; None: the classes of the settings file apply to all calls.
        """
        self.serve = serve
        self.settings = settings
        self.conf = conf
        self.drain = drain
        self.apply_rules = apply_rules
        tokens = Tokens(conf.secret)
        records = RecordStore(tokens, conf.shards)
        self.object_calls = ObjectCalls(records, drain)
        self.upload_calls = UploadCalls(records, tokens)
        self.operations = 0  # in progress

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call; always returns exactly one answer."""
        if request.raw_path == HEALTH_PATH:
            return self.drain.mark(self.drain.health())
        request_id = secrets.token_hex(8)
        self.operations += 1
        try:
            response = await self._serve_call(request)
        except ObjectError as error:
            response = self._fail(request, error, request_id)
        except Exception:
            # The client must get an answer even after an internal error.
            logger.exception(
                "objects: {request} failed with an unexpected error",
                event="objects.fault",
                request=request_id,
            )
            fault = ObjectError(ErrorCode.INTERNAL_ERROR, "the call failed")
            response = self._fail(request, fault, request_id)
        finally:
            self.operations -= 1
        if not response.prepared:
            response.headers["x-amz-request-id"] = request_id
            self.drain.mark(response)
        return response

    def _fail(self, request: web.BaseRequest, error: ObjectError, request_id: str) -> web.StreamResponse:
        """Build the response for an error, and log the error if it is internal."""
        if error.code is ErrorCode.INTERNAL_ERROR:
            logger.warning(
                "objects: {request} {method}: {reason}",
                event="objects.failed",
                request=request_id,
                method=request.method,
                reason=error.message,
            )
        resource = unquote(request.raw_path.partition("?")[0], errors="replace")
        response = error_response(error, resource, request_id, with_body=request.method != "HEAD")
        if request.body_exists and not request.content.is_eof():
            response.force_close()  # the rest of the body is not read
        return response

    async def _serve_call(self, request: web.BaseRequest) -> web.StreamResponse:
        """Admit a call, route it and serve it; raises ObjectError."""
        # Limits memory use: each operation holds a few pieces.
        if self.operations > self.conf.max_operations or not self.drain.may_serve(request):
            raise ObjectError(ErrorCode.SLOW_DOWN, "too many operations at once", OVERLOAD_RETRY_AFTER)
        path, _, query_string = request.raw_path.partition("?")
        query = parse_query(query_string)
        bucket, key = self._find_object(path)
        check_supported(query, request.headers)
        operation = find_operation(request.method, query)
        terms = self._find_terms(request, bucket, key, operation)
        call = Call(request, PieceStore(self.serve, self.settings, terms), key, query)
        match operation:
            case Operation.READ:
                return await self.object_calls.read(call)
            case Operation.WRITE:
                return await self.object_calls.write(call)
            case Operation.INITIATE:
                return await self.upload_calls.initiate(call)
            case Operation.WRITE_PART:
                return await self.upload_calls.write_part(call)
            case Operation.COMPLETE:
                return await self.upload_calls.complete(call)
            case Operation.ABORT:
                return await self.upload_calls.abort(call)
        raise ObjectError(ErrorCode.NOT_IMPLEMENTED, "this call is not served")

    def _find_object(self, path: str) -> tuple[Bucket, str]:
        """Return the bucket and the key that a path names; raises ObjectError."""
        object_path = split_path(path)
        bucket = self.conf.buckets.get(object_path.bucket)
        if bucket is None:
            raise ObjectError(ErrorCode.NO_SUCH_BUCKET, "there is no such bucket")
        return bucket, decode_key(object_path.encoded_key)

    def _find_terms(
        self, request: web.BaseRequest, bucket: Bucket, key: str, operation: Operation
    ) -> CallTerms:
        """Return the terms of a call, from the settings file or from rules; raises ObjectError."""
        if self.apply_rules is None:
            return CallTerms(self.conf, bucket)
        return self.apply_rules(request, self.conf, bucket, key, operation)
