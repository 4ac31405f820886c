"""One call to the object front, as its operations see it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from stoatrouter.fronts.objects.store import PieceStore


@dataclass(slots=True, frozen=True)
class Call:
    """A call that was routed and given its terms.

    Attributes:
        request: The client's HTTP request.
        store: The pieces of the call's bucket, under the call's terms.
        key: The object's key.
        query: The fields of the request's query.
    """

    request: web.BaseRequest
    store: PieceStore
    key: str
    query: Mapping[str, str]
