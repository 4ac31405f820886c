"""The client of storage nodes: one attempt is one HTTP exchange with one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType, ClientMiddlewareType
from loguru import logger
from multidict import CIMultiDict
from yarl import URL

from stoatrouter.core import model
from stoatrouter.net.bodies import StoredBody
from stoatrouter.net.errors import ExchangeBroken, NotBegun
from stoatrouter.net.pool import NodePool
from stoatrouter.net.replies import Reply, read_load, read_reply, read_small
from stoatrouter.net.request_digest import digest_request
from stoatrouter.net.tracked_request import DEADLINE_FIELD, TrackedRequest, prevent_resend
from stoatrouter.policy.interface import Outcome

HEALTH_CHECK_TIMEOUT = timedelta(milliseconds=400)
# Idle connections are closed after this fraction of the time after which a node closes them: a request that
# is written while the node closes would end with a reset.
IDLE_FRACTION = 0.5
ANSWER_STALL_TIMEOUT = timedelta(milliseconds=400)  # without new bytes: then an answer counts as stalled
READ_AHEAD_BYTES = 16 * 1024  # of an answer that is not passed on; reading pauses at twice as much
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NodeClient:
    """The HTTP client for all nodes, with one bounded connection pool."""

    def __init__(
        self,
        connect_timeout: timedelta,
        conn_idle: timedelta,
        max_connections: int,
        stall_timeout: timedelta = ANSWER_STALL_TIMEOUT,
    ) -> None:
        """Set up the client with an empty pool.

        Args:
            connect_timeout: How long opening a connection to a node may take.
            conn_idle: How long a node keeps an idle connection open; this head closes it after half of that.
            max_connections: The maximum number of open connections to nodes, idle ones included.
            stall_timeout: After which time without new bytes an answer that has begun counts as stalled.
        """
        self.pool = NodePool(max_connections, connect_timeout, conn_idle * IDLE_FRACTION, stall_timeout)
        self.session = aiohttp.ClientSession(
            connector=self.pool,
            request_class=TrackedRequest,
            middlewares=(prevent_resend,),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=SKIPPED_HEADERS,
            read_bufsize=READ_AHEAD_BYTES,
            timeout=aiohttp.ClientTimeout(total=None),  # the pool has its own timeout for connecting
        )

    async def close(self) -> None:
        """Close all connections to nodes."""
        await self.session.close()

    async def attempt(
        self,
        effect: model.SendAttempt,
        may_begin: Callable[[], bool] | None = None,
        on_stall: Callable[[], None] | None = None,
    ) -> Reply:
        """Make one attempt; every error becomes an outcome.

        Args:
            effect: The request, the node's address, and the timeout of the whole attempt.
            may_begin: Called with a connection, before the first byte: whether the decision to send is still
                valid; None: it always is.
            on_stall: Called at most once, where the answer has begun and stalls; None: nothing is called.
        """
        request = effect.request
        deadline = asyncio.get_running_loop().time() + effect.timeout.total_seconds()
        url = URL(f"http://{effect.address}{request.target}", encoded=True)  # encoded: sent unchanged
        headers = attempt_headers(effect)
        data = attempt_data(request)
        response: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(effect.timeout.total_seconds()):
                response = await self.session.request(
                    request.method,
                    url,
                    headers=headers,
                    data=data,
                    allow_redirects=False,
                    middlewares=(send_once(SendTerms(may_begin, on_stall, deadline, effect)),),
                )
                reply = await read_reply(response, request.pass_through, deadline)
            if reply.stream is not None:
                response = None  # its consumer closes it
            return reply
        except (aiohttp.ClientError, NotBegun, ExchangeBroken, OSError, ValueError) as error:
            return Reply(failed_outcome(error, effect.address))
        finally:
            if response is not None:
                response.close()  # a complete answer has already released its connection

    async def check_health(self, effect: model.CheckHealth) -> Reply:
        """Request a node's load report; every error becomes an outcome."""
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT.total_seconds()):
                async with self.session.get(
                    URL(f"http://{effect.address}/load", encoded=True), allow_redirects=False
                ) as response:
                    body = await read_small(response)
                    load = read_load(response.headers.get("Srv-Load") or body.decode("ascii", "replace"))
                    return Reply(Outcome.OK if response.status == 200 else Outcome.FULL, load=load)
        except TimeoutError:
            return Reply(Outcome.TIMEOUT)
        except (aiohttp.ClientConnectorError, ExchangeBroken):
            return Reply(Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError, ValueError):
            return Reply(Outcome.RESET)


@dataclass(slots=True, frozen=True)
class SendTerms:
    """What an attempt needs to know beside its HTTP request; `deadline` is in the loop's time."""

    may_begin: Callable[[], bool] | None
    on_stall: Callable[[], None] | None
    deadline: float
    effect: model.SendAttempt


def send_once(terms: SendTerms) -> ClientMiddlewareType:
    """Return the middleware of one attempt.

    The request is sent only once, and only if `may_begin` allows it (NodePool.connect).
    """

    async def send(request: aiohttp.ClientRequest, handler: ClientHandlerType) -> aiohttp.ClientResponse:
        assert isinstance(request, TrackedRequest)
        request.may_begin = terms.may_begin
        request.on_stall = terms.on_stall
        request.deadline = terms.deadline
        request.digest = digest_request(terms.effect.request)
        request.attempt_number = terms.effect.attempt
        return await prevent_resend(request, handler)

    return send


def attempt_headers(effect: model.SendAttempt) -> CIMultiDict[str] | dict[str, str]:
    """Return the header fields of an attempt: those of the node protocol, and those that the front adds.

    DEADLINE_FIELD gets its value before the first byte (TrackedRequest.send).
    """
    request = effect.request
    headers: CIMultiDict[str] | dict[str, str] = {"Req-Id": request.id, DEADLINE_FIELD: ""}
    if request.fields:
        headers = CIMultiDict((*headers.items(), *request.fields))
    if request.idempotency_key is not None:
        headers["Idempotency-Key"] = request.idempotency_key
    if isinstance(request.body, StoredBody):
        headers["Content-Length"] = str(request.body.size)
    return headers


def attempt_data(request: model.Request) -> AsyncIterator[bytes] | bytes | None:
    """Return the body of an attempt, read from its start; None if there is none."""
    if isinstance(request.body, StoredBody):
        return request.body.pieces()
    body: bytes = request.body
    return body or None


def failed_outcome(error: Exception, address: str) -> Outcome:
    """Return the outcome of an attempt that ended with an error; log errors of uncertain effect."""
    match error:
        case aiohttp.ConnectionTimeoutError() | aiohttp.ClientConnectorError():
            return Outcome.CONNECT_FAILED
        case TimeoutError():
            return Outcome.TIMEOUT
        case NotBegun():
            return Outcome.NOT_BEGUN
        case ExchangeBroken():
            return Outcome.RESET if error.written else Outcome.CONNECT_FAILED
        case _:
            # the answer was truncated or malformed: the attempt may have been executed
            logger.debug(
                "attempt at {address} failed: {error}",
                event="attempt.broke",
                address=address,
                error=repr(error),
            )
            return Outcome.RESET
