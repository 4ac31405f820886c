"""The data of one call to the object front, as passed to its operations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from stoatrouter.fronts.objects.store import PieceStore


@dataclass(slots=True, frozen=True)
class Call:
    """A call that has been routed and has its terms.

    Attributes:
        request: The client's HTTP request.
        store: Access to the pieces of the call's bucket, under the call's terms.
        key: The object's key.
        query: The parameters of the request's query.
    """

    request: web.BaseRequest
    store: PieceStore
    key: str
    query: Mapping[str, str]
