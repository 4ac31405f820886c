"""Checks whether a request's client is still connected by polling its socket directly.

A transport whose reading is paused, or whose event loop lags, is notified of a disconnect too late.
"""

from __future__ import annotations

import asyncio
import select
import socket
from contextvars import ContextVar

# the client connection that the current task serves; tasks that it creates inherit it
CLIENT_TRANSPORT: ContextVar[asyncio.Transport | None] = ContextVar("client", default=None)
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_disconnected(client: asyncio.Transport | None) -> bool:
    """Return whether the client has closed or reset its connection, even if unread bytes precede that.

    Returns False for a request without a connection.
    """
    if client is None:
        return False
    sock = client.get_extra_info("socket")
    if client.is_closing() or sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & HANGUP_EVENTS for _, events in poll.poll(0))


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether there are unread bytes from a peer that is still connected."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    events = dict(poll.poll(0)).get(sock.fileno(), 0)
    return bool(events & select.POLLIN) and not events & HANGUP_EVENTS
