"""The follower of a registry: all orders of change, break, lag, compaction and resumption up to a depth."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stoatrouter.membership import follower as f
from stoatrouter.membership.backoff import Backoff
from tests.registry_model import Wrong, search

DEPTH = 14  # in CI; `python -m benchmarks.follower_search` goes deeper


def test_once_faults_end_the_list_is_the_registrys_and_nothing_newer_was_undone():
    states = search(f.Follower, DEPTH)
    print("states visited:", states)
    assert states > 10_000


# -- faults of our own, each of which the search must find --------------------------------------------------
class TellsFragments(f.Follower):
    """Takes a part of a transaction for the whole."""

    def changed(self, event):
        return super().changed(f.Changed(event.at, event.call, event.revision, event.changes, True))


class SkipsOne(f.Follower):
    """Resumes behind the next revision."""

    def begin(self, at):
        return [
            f.Watch(e.call, e.endpoint, e.after + 1) if isinstance(e, f.Watch) else e
            for e in super().begin(at)
        ]


class WatchesOn(f.Follower):
    """Takes a compaction for a break, and watches from where the registry is now."""

    def step(self, event):
        if isinstance(event, f.Compacted) and event.call == self.call:
            self.revision += 1
            return [f.End(self.call), *self.begin(event.at)]
        return super().step(event)


class TakesOlder(f.Follower):
    """Believes a member that lags."""

    def read(self, event):
        self.revision = None
        return super().read(event)


class HearsTheDead(f.Follower):
    """Takes what a call says that it gave up."""

    def step(self, event):
        if hasattr(event, "call"):
            event = type(event)(*(getattr(event, n) if n != "call" else self.call for n in event.__slots__))
        return super().step(event)


class ForgetsRemovals(f.Follower):
    """Tells of a list read anew only what is in it."""

    def difference(self, event):
        return [change for change in super().difference(event) if change.value is not None]


class BelievesProgress(f.Follower):
    """Counts a revision that came in part as told."""

    def progress(self, event):
        self.fragments.clear()
        return super().progress(event)


@pytest.mark.parametrize(
    "mutant",
    [TellsFragments, SkipsOne, WatchesOn, TakesOlder, HearsTheDead, ForgetsRemovals, BelievesProgress],
)
def test_the_search_finds_each_fault(mutant):
    with pytest.raises(Wrong):
        search(mutant, DEPTH)


# -- single steps -------------------------------------------------------------------------------------------
T = timedelta(0)


def watching(endpoints=2, **entries):
    made = f.Follower(f.Limits(endpoints=endpoints), 0)
    made.step(f.Started(T))
    made.step(f.Read(T, made.call, 10, {k: f.Entry(10, v) for k, v in entries.items()}))
    return made


def test_silence_is_left_for_the_other_endpoint_within_its_bound():
    made = watching(a=b"up")
    assert made.step(f.Tick(timedelta(seconds=4.9))) == []
    effects = made.step(f.Tick(timedelta(seconds=5)))
    assert isinstance(effects[0], f.End) and effects[1].at - timedelta(seconds=5) <= timedelta(
        milliseconds=200
    )
    resumed = made.step(f.Tick(effects[1].at))[0]
    assert (resumed.endpoint, resumed.after) == (1, 10)


def test_refused_credentials_are_read_again_and_an_endless_revision_is_read_whole():
    made = watching(a=b"up")
    assert made.step(f.Refused(T, made.call))[0] == f.RereadToken()
    made = watching(a=b"up")
    many = tuple(f.Change(f"k{i}", 11, b"up") for i in range(f.MOST_FRAGMENT + 1))
    assert (
        isinstance(made.step(f.Changed(T, made.call, 11, many, False))[1], f.ReadAll) and not made.fragments
    )


def test_a_registry_restored_from_an_older_copy_changes_nothing_until_it_is_accepted():
    made = watching(a=b"drain", b=b"up")
    made.resync = True
    made.step(f.Broken(T, made.call))
    said = []
    for i in range(4):
        at = timedelta(seconds=20 * (i + 1))
        made.step(f.Tick(at))
        said += made.step(f.Read(at, made.call, 4, {"a": f.Entry(3, b"up")}))
    assert [e for e in said if isinstance(e, f.OlderCopy)] == [f.OlderCopy(10, 4)] * 2
    assert not [e for e in said if isinstance(e, f.Notify)] and made.notified["a"].value == b"drain"
    made.accept_older(at)
    told = made.step(f.Read(at, made.call, 4, {"a": f.Entry(3, b"up")}))[0]
    assert {(c.key, c.value) for c in told.changes} == {("a", b"up"), ("b", None)}


def test_waits_grow_to_a_bound_and_are_spread_over_heads():
    backoff = Backoff()
    for failures in range(40):
        waits = [backoff.wait(seed, failures) for seed in range(1000)]
        bound = backoff.bound(failures)
        assert all(timedelta(0) <= wait < bound for wait in waits) and bound <= timedelta(seconds=10)
        fullest = max(sum(i * bound / 10 <= wait < (i + 1) * bound / 10 for wait in waits) for i in range(10))
        assert fullest < 150  # of 1,000 heads, in any tenth of the time
    assert backoff.wait(7, 3) == backoff.wait(7, 3)
