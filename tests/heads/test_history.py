"""The history of the rules without any head: concurrent edits, refusals, and what an undo restores."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stoatrouter.history.activation import CheckResult, decide_activation
from stoatrouter.history.records import (
    Abandon,
    Activate,
    CommandResult,
    Edit,
    RuleSet,
    Undo,
    digest_rule_set,
    pack_rule_set,
    unpack_rule_set,
)
from stoatrouter.history.rule_history import RuleHistory
from tests.heads.test_agreement import MS


def rule_set(text: str) -> RuleSet:
    return RuleSet("rules.cue", {"rules.cue": text, "team.cue": f"team {text}"})


def edit(id: str, base: int, text: str = "x") -> Edit:
    contents = rule_set(text)
    return Edit(id, base, digest_rule_set(contents), pack_rule_set(contents), "ann", "why", "now")


def undo(id: str, version: int, to: int = 0, skip_cancelled: bool = True) -> Undo:
    return Undo(id, version, to, "bob", "why", "now", skip_cancelled)


def history_with(*texts: str, keep: int = 100) -> RuleHistory:
    history = RuleHistory()
    for i, text in enumerate(texts):
        assert history.edit(edit(f"e{i}", history.newest, text)).accepted
        assert history.activate(Activate(history.last_number, keep)).accepted
    return history


def undo_versions(history: RuleHistory, *numbers: int, keep: int = 100) -> str:
    """Undo these versions, one after the other; return the text in force afterwards."""
    for number in numbers:
        answer = history.undo(undo(f"u{history.last_number}", number))
        assert answer.accepted, answer.reason
        assert history.activate(Activate(answer.number, keep)).accepted
    return text_in_force(history)


def text_in_force(history: RuleHistory) -> str:
    return unpack_rule_set(history.packed_rule_sets[history.versions[-1].digest]).files["rules.cue"]


def test_an_edit_against_an_older_version_names_both():
    history = history_with("a", "b")
    answer = history.edit(edit("late", 1))
    assert not answer.accepted and "version 1" in answer.reason and "newest is 2" in answer.reason


def test_of_two_concurrent_edits_one_wins():
    history = history_with("a")
    assert history.edit(edit("one", 1, "b")).accepted
    assert "being put in force" in history.edit(edit("two", 1, "c")).reason
    history.activate(Activate(2, 100))
    assert not history.edit(edit("two", 1, "c")).accepted


def test_undo_restores_what_was_in_force_and_undo_of_undo_is_the_edit_again():
    history = history_with("a", "b")
    assert history.undo(undo("u1", 2)).number == 3
    history.activate(Activate(3, 100))
    assert text_in_force(history) == "a" and history.versions[-1].restores == 1
    history.undo(undo("u2", 3))
    history.activate(Activate(4, 100))
    assert text_in_force(history) == "b" and [v.number for v in history.versions] == [1, 2, 3, 4]


def test_undo_of_what_others_have_edited_since_is_refused_with_their_names_unless_a_version_is_named():
    history = history_with("a", "b", "c")
    answer = history.undo(undo("u", 2))
    assert not answer.accepted and "3 by ann" in answer.reason
    assert history.undo(undo("u", 2, to=1)).accepted
    history.activate(Activate(4, 100))
    assert text_in_force(history) == "a"


def test_an_edit_and_its_undo_leave_nothing_between():
    history = history_with("own", "a", "b")
    assert undo_versions(history, 3) == "a"
    assert undo_versions(history, 2) == "own"


def test_a_chain_of_edits_is_undone_from_its_end():
    history = history_with("own", "a", "b", "c")
    assert "3 by ann, 4 by ann" in history.undo(undo("early", 2)).reason
    assert undo_versions(history, 4) == "b"
    answer = history.undo(undo("early", 2))
    # c and its undo cancel out, so they are not named
    assert not answer.accepted and "since: 3 by ann;" in answer.reason
    assert undo_versions(history, 3, 2) == "own"


def test_an_undo_of_an_undo_leaves_nothing_between_either():
    history = history_with("own", "a")
    assert undo_versions(history, 2, 3) == "a"
    assert undo_versions(history, 2) == "own"  # a is in force by version 4 and is undone like any edit
    answer = history.undo(undo("again", 2))
    assert not answer.accepted and "since: 5 by bob;" in answer.reason


def test_an_undo_to_a_version_takes_back_all_that_came_after_it():
    history = history_with("own", "a", "b", "c")
    history.undo(undo("to", 4, to=2))
    history.activate(Activate(5, 100))
    assert text_in_force(history) == "a"
    answer = history.undo(undo("b", 3))
    assert not answer.accepted and "since: 4 by ann, 5 by bob;" in answer.reason
    assert undo_versions(history, 2) == "own"


def test_the_same_content_by_another_edit_is_an_edit_since():
    history = history_with("own", "a", "b", "a")
    answer = history.undo(undo("u", 2))
    assert not answer.accepted and "since: 3 by ann, 4 by ann;" in answer.reason


def test_where_the_history_was_cut_less_cancels_out_and_never_more():
    history = history_with("own", "a", "b", keep=3)
    assert undo_versions(history, 3, keep=3) == "a"  # versions 2, 3 and 4 remain
    assert "not in the history" in history.undo(undo("first", 2)).reason
    assert (
        undo_versions(history, 4, 5, keep=3) == "a"
    )  # 4, 5 and 6 remain; that 4 and 6 restore version 2 is still known
    assert "not in the history" in history.undo(undo("cut", 4)).reason
    answer = history.undo(undo("gone", 2))
    assert not answer.accepted and "not in the history" in answer.reason


def test_an_undo_from_an_older_log_is_applied_as_it_was_then():
    history = history_with("own", "a", "b")
    undo_versions(history, 3)
    answer = history.undo(undo("old", 2, skip_cancelled=False))
    assert not answer.accepted and "since: 3 by ann, 4 by bob;" in answer.reason
    # as an older release encoded it
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(undo("old", 2)))[:-1]
    answer = history.apply(9, msgspec.msgpack.encode(older))
    assert msgspec.msgpack.decode(answer)[0] is False and history.pending is None


def test_a_refusal_names_a_few_versions_and_how_many_more():
    history = history_with(*(f"t{i}" for i in range(40)))
    assert "22 by ann, 23 by ann and 17 more;" in history.undo(undo("u", 3)).reason


def test_asked_twice_with_one_id_it_acts_once():
    history = history_with("a", "b")
    first = history.undo(undo("u", 2))
    assert history.undo(undo("u", 2)) == first
    history.activate(Activate(3, 100))
    assert history.undo(undo("u", 2)).number == 3 and history.pending is None
    assert history.edit(edit("e1", 0, "whatever")).number == 2


def test_undo_while_the_edit_is_being_put_in_force_takes_it_back():
    history = history_with("a")
    history.edit(edit("e", 1, "b"))
    assert history.undo(undo("u", 2)).accepted and history.pending is None
    assert text_in_force(history) == "a" and "taken back by bob" in history.abandoned["e"].reason
    # the leader had decided to activate it at the same moment
    assert not history.activate(Activate(2, 100)).accepted
    assert history.undo(undo("u", 2)).accepted  # a repeated call
    assert history.edit(edit("f", 1, "c")).number == 4


def test_the_history_is_bounded_and_undo_past_its_end_is_refused():
    history = history_with(*"abcdefgh", keep=5)
    assert [v.number for v in history.versions] == [4, 5, 6, 7, 8] and len(history.packed_rule_sets) == 5
    for number in (1, 3):
        assert "not in the history (it begins with 4)" in history.undo(undo("u", number, to=number)).reason
    assert "name the version" in history.undo(undo("u", 4)).reason
    assert "not in the history" in history_with("a").undo(undo("u", 1)).reason


def test_contents_that_two_versions_share_are_held_once():
    history = history_with("a", "b", "a", "b")
    assert len(history.packed_rule_sets) == 2


@pytest.mark.parametrize(
    ("said", "live", "waited", "decided"),
    [
        ({"a": CheckResult(True), "b": CheckResult(True)}, "ab", 0, Activate(7, 100)),
        ({"a": CheckResult(True)}, "ab", 1, None),
        ({"a": CheckResult(True)}, "ab", 9, Activate(7, 100)),  # b hangs and catches up later
        ({"a": CheckResult(True)}, "a", 0, Activate(7, 100)),  # b has failed
        (
            {"a": CheckResult(True), "b": CheckResult(False, "rules.cue:3: x")},
            "a",
            9,
            Abandon(7, "b cannot load it: rules.cue:3: x"),
        ),
        ({}, "", 9, None),
    ],
)
def test_when_a_version_is_put_in_force(said, live, waited, decided):
    assert decide_activation(7, said, live, 1000 * waited * MS, 5000 * MS, 100) == decided


class History(RuleBasedStateMachine):
    """Random edits, undos and decisions, checked against a model that records what was in force."""

    keep = 3

    def __init__(self) -> None:
        super().__init__()
        self.history = RuleHistory()
        self.replica = RuleHistory()
        self.texts: dict[int, str] = {}  # by version that came into force
        self.live: dict[int, tuple[int, ...]] = {}  # by version: the edits that are not undone in it
        self.numbers: list[int] = []
        self.index = 0

    def apply(self, command):
        self.index += 1
        body = msgspec.msgpack.encode(command)
        answer = self.history.apply(self.index, body)
        assert answer == self.replica.apply(self.index, body)
        return answer

    @rule(id=st.sampled_from("pqrstuvw"), late=st.integers(0, 2), text=st.sampled_from("abc"))
    def edits(self, id, late, text):
        self.apply(edit(id, max(0, self.history.newest - late), text))

    @rule(id=st.sampled_from("pqrstuvw"), back=st.integers(0, 4), to=st.integers(0, 8))
    def undoes(self, id, back, to):
        self.apply(undo(id, max(0, self.history.last_number - back), to))

    @rule(back=st.integers(0, 3), skip_cancelled=st.sampled_from([True, True, True, False]))
    def undoes_what_was_in_force(self, back, skip_cancelled):
        self.activates(0)
        held = self.history.versions
        if not held:
            return
        asked = undo(f"u{self.index}", held[max(0, len(held) - 1 - back)].number, 0, skip_cancelled)
        self.check_undo(asked, msgspec.msgpack.decode(self.apply(asked), type=CommandResult))
        self.activates(0)

    def check_undo(self, asked, answer):
        """Check an undo without a target: accepted if the same edits hold as after the version it undoes."""
        held = [v.number for v in self.history.versions]
        if asked.version not in held[1:]:
            assert not answer.accepted
            return
        if asked.skip_cancelled:
            same_edits = self.live[self.numbers[-1]] == self.live[asked.version]
        else:
            same_edits = self.numbers[-1] == asked.version
        is_complete = not self.history.last_dropped  # otherwise it may not know what older undos restored
        assert (
            answer.accepted is same_edits
            if is_complete or not asked.skip_cancelled
            else same_edits or not answer.accepted
        )
        if answer.accepted:
            before = self.numbers[self.numbers.index(asked.version) - 1]
            assert self.history.pending.restores == before

    @rule(offset=st.sampled_from([0, 0, 0, 1]))
    def decides(self, offset):
        self.activates(offset)

    def activates(self, offset):
        pending = self.history.pending
        if pending is not None:
            self.apply(Activate(pending.number + offset, self.keep))
            if not offset:
                if pending.kind == "undo":
                    self.live[pending.number] = self.live[pending.restores]
                else:
                    self.live[pending.number] = (*self.live.get(pending.base, ()), pending.number)
                self.texts[pending.number] = text_in_force(self.history)
                self.numbers.append(pending.number)
                if pending.kind == "undo":
                    assert self.texts[pending.number] == self.texts[pending.restores]

    @rule()
    def abandons(self):
        if self.history.pending is not None:
            before = self.history.newest
            self.apply(Abandon(self.history.pending.number, "why"))
            assert self.history.newest == before

    @rule()
    def restores(self):
        self.replica.restore(self.history.state())

    @invariant()
    def holds(self):
        history = self.history
        assert self.numbers == sorted(set(self.numbers))  # ascending
        assert history.newest == (self.numbers[-1] if self.numbers else 0)
        assert all(v.digest in history.packed_rule_sets for v in history.versions)
        assert len(history.versions) <= self.keep
        ids = [v.id for v in history.versions]
        ids += [history.pending.id] if history.pending is not None else []
        # each id takes effect once
        assert len(ids) == len(set(ids)) and not set(ids) & set(history.abandoned)


class LongHistory(History):
    """The same with a history that drops no version."""

    keep = 100


RUNS = settings(max_examples=120, stateful_step_count=40, deadline=None)
TestHistory = History.TestCase
TestLongHistory = LongHistory.TestCase
TestHistory.settings = TestLongHistory.settings = RUNS


class EditsAnyBase(RuleHistory):
    """Accepts an edit against an older version."""

    __slots__ = ()

    def edit(self, edit):
        return super().edit(msgspec.structs.replace(edit, base=self.newest))


class UndoesWithoutComparing(RuleHistory):
    """Undoes without checking for later edits."""

    __slots__ = ()

    def undo(self, undo):
        at = next((i for i, v in enumerate(self.versions) if v.number == undo.version), 0)
        return super().undo(msgspec.structs.replace(undo, to=self.versions[at - 1].number))


class CountsEveryVersionSince(RuleHistory):
    """Counts an edit and its undo as two later edits: a fault once found on real heads."""

    __slots__ = ()

    def undo(self, undo):
        return super().undo(msgspec.structs.replace(undo, skip_cancelled=False))


class ComparesContents(RuleHistory):
    """Takes versions with the same contents for the same edit."""

    __slots__ = ()

    def _find_origins(self):
        first = {v.digest: v.number for v in reversed(self.versions)}
        return {v.number: first[v.digest] for v in self.versions}


class ActsEachTime(RuleHistory):
    """Applies a repeated id again."""

    __slots__ = ()

    def _earlier_result(self, id):
        return None


@pytest.mark.parametrize(
    ("mutant", "story"),
    [
        (EditsAnyBase, test_an_edit_against_an_older_version_names_both),
        (
            UndoesWithoutComparing,
            test_undo_of_what_others_have_edited_since_is_refused_with_their_names_unless_a_version_is_named,
        ),
        (CountsEveryVersionSince, test_an_edit_and_its_undo_leave_nothing_between),
        (ComparesContents, test_the_same_content_by_another_edit_is_an_edit_since),
        (ActsEachTime, test_asked_twice_with_one_id_it_acts_once),
    ],
)
def test_a_mutant_is_caught(mutant, story, monkeypatch):
    monkeypatch.setitem(globals(), "RuleHistory", mutant)
    with pytest.raises((AssertionError, IndexError)):
        story()
