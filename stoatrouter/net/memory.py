"""The account of the memory that peers make this head hold; it is charged before a byte is held."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum


class MemoryKind(StrEnum):
    """What memory is held for."""

    REQUESTS = "requests"  # open requests: their records, and the buffers of their answers
    HEADS = "heads"  # request heads that are not complete
    BODIES = "bodies"  # request bodies, in memory and in files
    LISTS = "lists"  # endpoint lists that are being read


INCOMPLETE_FRACTION = 0.85  # of the account that requests which have not arrived completely may use


class MemoryAccount:
    """The bytes held for peers, by kind, up to one limit for all kinds.

    Requests that have not arrived completely, and the files of large bodies, leave a part of it to complete
    requests: clients that send slowly or halt do not keep others from being served.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing held; `limit` is in bytes."""
        self.limit = limit
        self.held = dict.fromkeys(MemoryKind, 0)  # bytes
        self.refused = dict.fromkeys(MemoryKind, 0)  # how often the limit did not allow more
        self.total = 0  # bytes held for all kinds
        self.on_release: list[Callable[[], None]] = []  # called when memory has become free

    def take_refusals(self) -> dict[str, int]:
        """Return how often the limit did not allow more since the last call, by kind, and reset that."""
        refused, self.refused = self.refused, dict.fromkeys(MemoryKind, 0)
        return {kind.value: count for kind, count in refused.items() if count}

    def allows(self, size: int, complete: bool = True) -> bool:
        """Return whether `size` more bytes may be held, for a request that is `complete` or not."""
        return self.total + size <= self.limit * (1 if complete else INCOMPLETE_FRACTION)

    def take(self, kind: MemoryKind, size: int, complete: bool = True) -> bool:
        """Charge `size` bytes; returns False, with nothing charged, if the limit does not allow them."""
        if not self.allows(size, complete):
            self.refused[kind] += 1
            return False
        self.take_always(kind, size)
        return True

    def take_always(self, kind: MemoryKind, size: int) -> None:
        """Charge `size` bytes whatever the limit: for what the head cannot do without."""
        self.held[kind] += size
        self.total += size

    def release(self, kind: MemoryKind, size: int) -> None:
        """Release `size` bytes."""
        self.held[kind] -= size
        self.total -= size
        for notify in self.on_release:
            notify()


class MemoryCharge:
    """What one holder, such as a connection's request, is charged with for one kind."""

    __slots__ = ("account", "kind", "size")

    def __init__(self, account: MemoryAccount, kind: MemoryKind) -> None:
        """Start with nothing charged."""
        self.account = account
        self.kind = kind
        self.size = 0  # bytes

    def grow(self, size: int, complete: bool = True) -> bool:
        """Charge `size` more bytes; returns False, with nothing charged, if the limit does not allow them."""
        if not self.account.take(self.kind, size, complete):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Release all that is charged; further calls have no effect."""
        if self.size:
            size, self.size = self.size, 0
            self.account.release(self.kind, size)
