"""Whether a request's client is still connected, polled from the system at the moment it matters.

A connection whose reading is paused, or whose loop lags, has not yet been notified that its client has left.
"""

from __future__ import annotations

import asyncio
import select
import socket
from contextvars import ContextVar

# the connection that the present task works for; tasks that it creates inherit it
CLIENT_TRANSPORT: ContextVar[asyncio.Transport | None] = ContextVar("client", default=None)
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_disconnected(client: asyncio.Transport | None) -> bool:
    """Whether the client has closed or reset its connection, even behind unread bytes.

    False for a request without a connection.
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
    """Whether bytes have arrived that were not read, from a peer that is still connected."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    events = dict(poll.poll(0)).get(sock.fileno(), 0)
    return bool(events & select.POLLIN) and not events & HANGUP_EVENTS
