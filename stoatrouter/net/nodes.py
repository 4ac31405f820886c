"""The client of storage nodes: one attempt is one HTTP exchange with one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType
from loguru import logger
from multidict import CIMultiDict
from yarl import URL

from stoatrouter.core import model
from stoatrouter.net.bodies import StoredBody
from stoatrouter.net.errors import Broken, NotBegun
from stoatrouter.net.pool import NodePool
from stoatrouter.net.replies import Reply, read_load, read_small, take
from stoatrouter.net.tracked_request import TrackedRequest, only_once
from stoatrouter.policy.interface import Outcome

HEALTH_CHECK_TIMEOUT = timedelta(milliseconds=400)
# Idle connections are given up at this part of the time after which a node closes them: a request written
# as the node closes would end as a reset.
IDLE_PART = 0.5
REST_WITHIN = timedelta(milliseconds=400)  # once an answer has begun, its end
READ_AHEAD = 64 * 1024  # of a body, before reading pauses
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


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
