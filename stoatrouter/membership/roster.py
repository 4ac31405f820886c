"""What one head knows of the others, and which news of a head replaces which. No I/O, no clock.

The order is SWIM's (Das, Gupta, Motivala 2002, section 4.2): a head's incarnation is raised by that head
alone, so news of a later incarnation replaces news of an earlier one; within one, worse news replaces
better.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum


class Status(IntEnum):
    """The status of a head, in the order in which news of one incarnation replaces other news."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # it said so itself: it is not taken for failed


@dataclass(slots=True, frozen=True)
class News:
    """The status of one head at an incarnation."""

    name: str
    incarnation: int
    status: Status

    def replaces(self, other: News) -> bool:
        """Whether this news goes before other news of the same head."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


@dataclass(slots=True)
class Rumours:
    """News to be passed on, each a bounded number of times; the least sent goes first."""

    sent: dict[str, tuple[News, int]] = field(default_factory=dict)

    def add(self, news: News) -> None:
        """Pass news on from now on; it replaces older news of the same head."""
        self.sent[news.name] = (news, 0)

    def take(self, fits: int, most: int) -> tuple[News, ...]:
        """News for one datagram: at most `fits` bytes in all, each sent at most `most` times."""
        taken: list[News] = []
        for name, (news, times) in sorted(self.sent.items(), key=lambda item: (item[1][1], item[0])):
            cost = wire_size(news)
            if cost > fits:
                continue
            fits -= cost
            taken.append(news)
            if times + 1 >= most:
                del self.sent[name]
            else:
                self.sent[name] = (news, times + 1)
        return tuple(taken)


def wire_size(news: News) -> int:
    """The size of one piece of news in bytes: length, name, incarnation and status."""
    return 1 + len(news.name.encode()) + 6 + 1


@dataclass(slots=True)
class Roster:
    """The latest news of each head, and the address that datagrams reach it at."""

    held: dict[str, News] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)  # by name; each head has its own for another

    def take(self, news: News) -> bool:
        """Take in news; returns whether it was new."""
        before = self.held.get(news.name)
        if before is not None and not news.replaces(before):
            return False
        self.held[news.name] = news
        return True

    def met(self, name: str, address: str) -> None:
        """Record the address that a head sent from; it replaces another name at that address."""
        for other in [n for n, a in self.addresses.items() if a == address and n != name]:
            del self.addresses[other]
        self.addresses[name] = address

    def status(self, name: str) -> Status | None:
        """The latest status of a head; None where nothing is known of it."""
        news = self.held.get(name)
        return None if news is None else news.status

    def participants(self, *but: str) -> list[str]:
        """The names of heads that take part and whose address is known, without those in `but`."""
        return sorted(
            n
            for n, news in self.held.items()
            if news.status <= Status.SUSPECT and n in self.addresses and n not in but
        )

    def count(self) -> int:
        """How many heads take part, including this one."""
        return max(1, sum(news.status <= Status.SUSPECT for news in self.held.values()))

    def unknown_addresses(self, addresses: Iterable[str]) -> list[str]:
        """Those of the addresses at which no participating head is known."""
        known = {self.addresses[name] for name in self.participants()}
        return [address for address in addresses if address not in known]
