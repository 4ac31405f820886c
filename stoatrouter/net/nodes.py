"""The client of storage nodes: one attempt is one HTTP exchange with one outcome."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_middlewares import ClientHandlerType
from loguru import logger
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from stoatrouter.core import model
from stoatrouter.net.bodies import SMALL, Flow, StoredBody
from stoatrouter.net.pool import NodeConnection, NodePool, NotBegun
from stoatrouter.policy.interface import Outcome

HEALTH_CHECK_TIMEOUT = timedelta(milliseconds=400)
# Idle connections are given up at this part of the time after which a node closes them: a request written
# as the node closes would end as a reset.
IDLE_PART = 0.5
REST_WITHIN = timedelta(milliseconds=400)  # once an answer has begun, its end
READ_AHEAD = 64 * 1024  # of a body, before reading pauses
LARGEST_COUNT = 1e6  # that a node can mean
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "srv-load",
        "srv-declined",
        "x-served-elsewhere",
    )
)
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True, frozen=True)
class Reply:
    """The outcome of an attempt or a health check, with what the node reported."""

    outcome: Outcome
    body: bytes = b""
    units_by_others: float = 0.0
    load: dict[str, float] | None = None
    flow: Flow | None = None  # of an answer that is too large to be checked whole
    head: model.Head | None = None  # for a request that passes it on


class Broken(Exception):
    """An exchange broke; `written` tells whether the last byte of the request was sent."""

    def __init__(self, written: bool, cause: BaseException) -> None:
        """Record how an exchange broke.

        Args:
            written: Whether the last byte of the request was sent.
            cause: The error that broke it.
        """
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.written = written


class TrackedRequest(aiohttp.ClientRequest):
    """A client request that knows whether its last byte was handed to the system.

    A node can start a request only once that byte has arrived; a request that breaks before was never
    executed.
    """

    written = False
    may_begin: Callable[[], bool] | None = None  # asked with a connection in hand, before the first byte

    def mark_written(self, written: bool, conn: aiohttp.connector.Connection) -> None:
        """Note whether the last byte was handed to the system; such an attempt counts as a try."""
        self.written = written
        if written and "Req-Id" in self.headers and isinstance(conn.protocol, NodeConnection):
            conn.protocol.pool.attempts_written += 1  # health checks are none

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request; drain() waits until the system has taken the last byte."""
        transport = conn.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)  # drain() then waits for the last byte
        response = await super().send(conn)
        if not self.body and transport is not None:
            # what the system has not taken yet may still go out: nobody asks again before a break
            self.mark_written(not transport.is_closing(), conn)
        return response

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: aiohttp.connector.Connection,
        content_length: int | None = None,
    ) -> None:
        """Write the body, and note whether the system has taken all of it."""
        transport = conn.transport
        broken = transport is None or transport.is_closing()  # then nothing goes out; the call below says so
        await super().write_bytes(writer, conn, content_length)
        if broken or conn.transport is None and writer.output_size < (content_length or 0):
            return  # it broke before the last byte was handed to the system
        await writer.drain()  # raises where the system had not taken all of it
        # Guards against a second effect: a node may begin the request and reset its connection before this
        # task goes on, so an end that has come meanwhile proves nothing.
        self.mark_written(True, conn)


async def only_once(request: aiohttp.ClientRequest, handler: ClientHandlerType) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending GET and PUT over a dropped connection.

    That would be one more attempt that no decision knows of. Raises Broken in place of the errors that set
    it off.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise  # never retried by the client
    except (aiohttp.ClientError, OSError) as error:
        raise Broken(getattr(request, "written", True), error) from error


class NodeClient:
    """The client of all nodes, with one bounded pool of connections."""

    def __init__(
        self,
        connect_timeout: timedelta,
        conn_idle: timedelta,
        most: int,
        rest_within: timedelta = REST_WITHIN,
    ) -> None:
        """Set up the client of all nodes with an empty pool.

        Args:
            connect_timeout: How long a connection to a node may take to open.
            conn_idle: How long a node keeps an idle connection; this head keeps it half as long.
            most: How many connections to nodes may be open at once, idle ones included.
            rest_within: How long the rest of an answer may take once it has begun.
        """
        self.pool = NodePool(most, conn_idle * IDLE_PART, rest_within)
        self.session = aiohttp.ClientSession(
            connector=self.pool,
            request_class=TrackedRequest,
            middlewares=(only_once,),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=SKIPPED,
            read_bufsize=READ_AHEAD,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout.total_seconds()),
        )

    async def close(self) -> None:
        """Close all connections to nodes."""
        await self.session.close()

    async def attempt(self, effect: model.SendAttempt, may_begin: Callable[[], bool] | None = None) -> Reply:
        """Make one attempt; every error becomes an outcome."""

        async def ask_first(
            request: aiohttp.ClientRequest, handler: ClientHandlerType
        ) -> aiohttp.ClientResponse:
            request.may_begin = may_begin  # type: ignore[attr-defined]
            return await only_once(request, handler)

        r = effect.request
        wait_ms = max(1, effect.timeout // timedelta(milliseconds=1))
        headers: CIMultiDict[str] | dict[str, str] = {"Req-Id": r.id, "Req-Deadline-Ms": str(wait_ms)}
        if r.fields:
            headers = CIMultiDict((*headers.items(), *r.fields))
        if r.idempotency_key is not None:
            headers["Idempotency-Key"] = r.idempotency_key
        if isinstance(r.body, StoredBody):
            headers["Content-Length"] = str(r.body.size)
        data = r.body.pieces() if isinstance(r.body, StoredBody) else r.body or None
        url = URL(f"http://{effect.address}{r.target}", encoded=True)  # encoded: bytes pass unchanged
        response = None
        try:
            async with asyncio.timeout(effect.timeout.total_seconds()):
                response = await self.session.request(
                    r.method, url, headers=headers, data=data, allow_redirects=False, middlewares=(ask_first,)
                )
                reply = await take(response, r.passes)
            if reply.flow is not None:
                response = None  # whoever passes it on closes it
            return reply
        except TimeoutError as error:
            never = isinstance(error, aiohttp.ConnectionTimeoutError)
            return Reply(Outcome.CONNECT_FAILED if never else Outcome.TIMEOUT)
        except NotBegun:
            return Reply(Outcome.NOT_BEGUN)
        except aiohttp.ClientConnectorError:
            return Reply(Outcome.CONNECT_FAILED)
        except Broken as error:
            return Reply(Outcome.RESET if error.written else Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # the answer broke off or could not be read: the attempt may have run
            logger.debug(
                "attempt at {address}: {error}",
                event="attempt.broke",
                address=effect.address,
                error=repr(error),
            )
            return Reply(Outcome.RESET)
        finally:
            if response is not None:
                response.close()  # what came whole has given its connection back already

    async def check_health(self, effect: model.CheckHealth) -> Reply:
        """Ask a node for its load; every error becomes an outcome."""
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
        except (aiohttp.ClientConnectorError, Broken):
            return Reply(Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError, ValueError):
            return Reply(Outcome.RESET)


async def take(response: aiohttp.ClientResponse, passes: bool = False) -> Reply:
    """Read an answer: whole if it is small, else its first part, to be streamed with the rest."""
    if passes and response.status < 500:
        reply = await read_complete_reply(response)
        return replace(reply, head=model.Head(response.status, end_to_end(response.headers)))
    if response.status != 200:
        return judge(response.status, response.headers, await read_small(response))
    return await read_complete_reply(response)


def end_to_end(headers: CIMultiDictProxy[str]) -> tuple[tuple[str, str], ...]:
    """The header fields of an answer that are meant for the client.

    Fields of this connection (RFC 9110, 7.6.1) and of the nodes' protocol are left out.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    left = HOP_BY_HOP | named
    return tuple((name, value) for name, value in headers.items() if name.lower() not in left)


async def read_complete_reply(response: aiohttp.ClientResponse) -> Reply:
    """Read a successful answer; a large one is returned as a Flow."""
    stated, body = response.content_length, b""
    while len(body) <= SMALL and (stated is None or stated <= SMALL or not body):
        data = await response.content.readany()
        if not data:
            return judge(200, response.headers, body)
        body += data
    if response.connection is not None and isinstance(response.connection.protocol, NodeConnection):
        response.connection.protocol.start_streaming()
    return replace(judge(200, response.headers, b""), flow=Flow(response, body, stated))


async def read_small(response: aiohttp.ClientResponse) -> bytes:
    """Read a body that is not passed on; raises ValueError beyond SMALL bytes."""
    body = b""
    while data := await response.content.readany():
        body += data
        # Guards memory against a node that never ends its answer.
        if len(body) > SMALL:
            raise ValueError("over the bound")
    return body


def judge(status: int, headers: CIMultiDictProxy[str], body: bytes) -> Reply:
    """Classify an answer of a node."""
    units, load = read_number(headers.get("X-Served-Elsewhere")) or 0.0, read_load(headers.get("Srv-Load"))
    if status == 200:
        return Reply(Outcome.OK, body, units, load)
    if headers.get("Srv-Declined") != "1" or status not in (503, 504):
        return Reply(Outcome.ERROR, b"", units, load)
    # Guards a node's window: 504 tells nothing of its load. The request is over, or its data lies elsewhere.
    return Reply(Outcome.FULL if status == 503 else Outcome.MOOT, b"", units, load)


def read_number(text: str | None) -> float | None:
    """Parse a figure that a node reports; None where it is absent, malformed or out of range.

    NaN or infinity would corrupt a volume's limits, and an unreadable load is not a load of 0.
    """
    if text is None or not NUMBER.fullmatch(text.strip()):
        return None
    number = float(text)
    return number if number <= LARGEST_COUNT else None


def read_load(text: str | None) -> dict[str, float] | None:
    """Parse a load report such as `inflight=7,queue=2,util=0.61`; None where it has no figures."""
    pairs = (pair.partition("=") for pair in (text or "").split(","))
    figures = {name.strip(): read_number(value) for name, _, value in pairs if name.strip()}
    return {name: figure for name, figure in figures.items() if figure is not None} or None
