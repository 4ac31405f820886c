"""The history of rules without any head: what wins, what is refused, what an undo restores."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stoatrouter.history.activation import Checked, decide
from stoatrouter.history.records import (
    Abandon,
    Activate,
    Answer,
    Content,
    Edit,
    Undo,
    digest_of,
    pack,
    unpack,
)
from stoatrouter.history.register import Register
from tests.heads.test_agreement import MS


def content(text: str) -> Content:
    return Content("rules.cue", {"rules.cue": text, "team.cue": f"team {text}"})


def edit(id: str, base: int, text: str = "x") -> Edit:
    made = content(text)
    return Edit(id, base, digest_of(made), pack(made), "ann", "why", "now")


def undo(id: str, version: int, to: int = 0, cancelling: bool = True) -> Undo:
    return Undo(id, version, to, "bob", "why", "now", cancelling)


def in_force(*texts: str, keep: int = 100) -> Register:
    register = Register()
    for i, text in enumerate(texts):
        assert register.edit(edit(f"e{i}", register.newest, text)).ok
        assert register.activate(Activate(register.numbers, keep)).ok
    return register


def undone(register: Register, *numbers: int, keep: int = 100) -> str:
    """Undo these versions, one after the other; what is in force then."""
    for number in numbers:
        answer = register.undo(undo(f"u{register.numbers}", number))
        assert answer.ok, answer.why
        assert register.activate(Activate(answer.number, keep)).ok
    return text_in_force(register)


def text_in_force(register: Register) -> str:
    return unpack(register.contents[register.versions[-1].digest]).files["rules.cue"]


def test_an_edit_against_an_older_version_names_both():
    register = in_force("a", "b")
    said = register.edit(edit("late", 1))
    assert not said.ok and "version 1" in said.why and "newest is 2" in said.why


def test_of_two_concurrent_edits_one_wins():
    register = in_force("a")
    assert register.edit(edit("one", 1, "b")).ok
    assert "being put in force" in register.edit(edit("two", 1, "c")).why
    register.activate(Activate(2, 100))
    assert not register.edit(edit("two", 1, "c")).ok


def test_undo_restores_what_was_in_force_and_undo_of_undo_is_the_edit_again():
    register = in_force("a", "b")
    assert register.undo(undo("u1", 2)).number == 3
    register.activate(Activate(3, 100))
    assert text_in_force(register) == "a" and register.versions[-1].restores == 1
    register.undo(undo("u2", 3))
    register.activate(Activate(4, 100))
    assert text_in_force(register) == "b" and [v.number for v in register.versions] == [1, 2, 3, 4]


def test_undo_of_what_others_have_edited_since_is_refused_with_their_names_unless_a_version_is_named():
    register = in_force("a", "b", "c")
    said = register.undo(undo("u", 2))
    assert not said.ok and "3 by ann" in said.why
    assert register.undo(undo("u", 2, to=1)).ok
    register.activate(Activate(4, 100))
    assert text_in_force(register) == "a"


def test_an_edit_and_its_undo_leave_nothing_between():
    register = in_force("own", "a", "b")
    assert undone(register, 3) == "a"
    assert undone(register, 2) == "own"


def test_a_chain_of_edits_is_undone_from_its_end():
    register = in_force("own", "a", "b", "c")
    assert "3 by ann, 4 by ann" in register.undo(undo("early", 2)).why
    assert undone(register, 4) == "b"
    said = register.undo(undo("early", 2))
    assert not said.ok and "since: 3 by ann;" in said.why  # c and its undo are not named: they left nothing
    assert undone(register, 3, 2) == "own"


def test_an_undo_of_an_undo_leaves_nothing_between_either():
    register = in_force("own", "a")
    assert undone(register, 2, 3) == "a"
    assert undone(register, 2) == "own"  # a is in force by version 4: it is undone as any edit
    said = register.undo(undo("again", 2))
    assert not said.ok and "since: 5 by bob;" in said.why


def test_an_undo_to_a_version_takes_back_all_that_came_after_it():
    register = in_force("own", "a", "b", "c")
    register.undo(undo("to", 4, to=2))
    register.activate(Activate(5, 100))
    assert text_in_force(register) == "a"
    said = register.undo(undo("b", 3))
    assert not said.ok and "since: 4 by ann, 5 by bob;" in said.why
    assert undone(register, 2) == "own"


def test_the_same_content_by_another_edit_is_an_edit_since():
    register = in_force("own", "a", "b", "a")
    said = register.undo(undo("u", 2))
    assert not said.ok and "since: 3 by ann, 4 by ann;" in said.why


def test_where_the_history_was_cut_less_cancels_out_and_never_more():
    register = in_force("own", "a", "b", keep=3)
    assert undone(register, 3, keep=3) == "a"  # versions 2, 3 and 4 are left
    assert "not in the history" in register.undo(undo("first", 2)).why
    assert (
        undone(register, 4, 5, keep=3) == "a"
    )  # 4, 5 and 6: that 4 and 6 are version 2 again is still known
    assert "not in the history" in register.undo(undo("cut", 4)).why
    said = register.undo(undo("gone", 2))
    assert not said.ok and "not in the history" in said.why


def test_an_undo_from_an_older_log_is_applied_as_it_was_then():
    register = in_force("own", "a", "b")
    undone(register, 3)
    said = register.undo(undo("old", 2, cancelling=False))
    assert not said.ok and "since: 3 by ann, 4 by bob;" in said.why
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(undo("old", 2)))[:-1]  # as it was written then
    answer = register.apply(9, msgspec.msgpack.encode(older))
    assert msgspec.msgpack.decode(answer)[0] is False and register.pending is None


def test_a_refusal_names_a_few_versions_and_how_many_more():
    register = in_force(*(f"t{i}" for i in range(40)))
    assert "22 by ann, 23 by ann and 17 more;" in register.undo(undo("u", 3)).why


def test_asked_twice_with_one_id_it_acts_once():
    register = in_force("a", "b")
    first = register.undo(undo("u", 2))
    assert register.undo(undo("u", 2)) == first
    register.activate(Activate(3, 100))
    assert register.undo(undo("u", 2)).number == 3 and register.pending is None
    assert register.edit(edit("e1", 0, "whatever")).number == 2


def test_undo_while_the_edit_is_being_put_in_force_takes_it_back():
    register = in_force("a")
    register.edit(edit("e", 1, "b"))
    assert register.undo(undo("u", 2)).ok and register.pending is None
    assert text_in_force(register) == "a" and "taken back by bob" in register.ended["e"].why
    assert not register.activate(Activate(2, 100)).ok  # the leader had decided at the same moment
    assert register.undo(undo("u", 2)).ok  # asked again
    assert register.edit(edit("f", 1, "c")).number == 4


def test_the_history_is_bounded_and_undo_past_its_end_is_refused():
    register = in_force(*"abcdefgh", keep=5)
    assert [v.number for v in register.versions] == [4, 5, 6, 7, 8] and len(register.contents) == 5
    for number in (1, 3):
        assert "not in the history (it begins with 4)" in register.undo(undo("u", number, to=number)).why
    assert "name the version" in register.undo(undo("u", 4)).why
    assert "not in the history" in in_force("a").undo(undo("u", 1)).why


def test_contents_that_two_versions_share_are_held_once():
    register = in_force("a", "b", "a", "b")
    assert len(register.contents) == 2


@pytest.mark.parametrize(
    ("said", "live", "waited", "decided"),
    [
        ({"a": Checked(True), "b": Checked(True)}, "ab", 0, Activate(7, 100)),
        ({"a": Checked(True)}, "ab", 1, None),
        ({"a": Checked(True)}, "ab", 9, Activate(7, 100)),  # b is stuck: it catches up
        ({"a": Checked(True)}, "a", 0, Activate(7, 100)),  # b has failed
        (
            {"a": Checked(True), "b": Checked(False, "rules.cue:3: x")},
            "a",
            9,
            Abandon(7, "b cannot load it: rules.cue:3: x"),
        ),
        ({}, "", 9, None),
    ],
)
def test_when_a_version_is_put_in_force(said, live, waited, decided):
    assert decide(7, said, live, 1000 * waited * MS, 5000 * MS, 100) == decided


class History(RuleBasedStateMachine):
    """Any edits, undos and decisions: against a model that only remembers what was in force."""

    keep = 3

    def __init__(self) -> None:
        super().__init__()
        self.register, self.twin = Register(), Register()
        self.texts: dict[int, str] = {}  # by version that was in force
        self.live: dict[int, tuple[int, ...]] = {}  # by version: the edits that are not taken back then
        self.numbers: list[int] = []
        self.index = 0

    def put(self, command):
        self.index += 1
        body = msgspec.msgpack.encode(command)
        answer = self.register.apply(self.index, body)
        assert answer == self.twin.apply(self.index, body)
        return answer

    @rule(id=st.sampled_from("pqrstuvw"), late=st.integers(0, 2), text=st.sampled_from("abc"))
    def edits(self, id, late, text):
        self.put(edit(id, max(0, self.register.newest - late), text))

    @rule(id=st.sampled_from("pqrstuvw"), back=st.integers(0, 4), to=st.integers(0, 8))
    def undoes(self, id, back, to):
        self.put(undo(id, max(0, self.register.numbers - back), to))

    @rule(back=st.integers(0, 3), cancelling=st.sampled_from([True, True, True, False]))
    def undoes_what_was_in_force(self, back, cancelling):
        self.activates(0)
        held = self.register.versions
        if not held:
            return
        asked = undo(f"u{self.index}", held[max(0, len(held) - 1 - back)].number, 0, cancelling)
        self.judge(asked, msgspec.msgpack.decode(self.put(asked), type=Answer))
        self.activates(0)

    def judge(self, asked, answer):
        """An undo without a version to return to: taken where the same edits hold as after what it undoes."""
        held = [v.number for v in self.register.versions]
        if asked.version not in held[1:]:
            assert not answer.ok
            return
        if asked.cancelling:
            alike = self.live[self.numbers[-1]] == self.live[asked.version]
        else:
            alike = self.numbers[-1] == asked.version
        whole = not self.register.dropped  # else it may not know what older undos restored
        assert answer.ok is alike if whole or not asked.cancelling else alike or not answer.ok
        if answer.ok:
            before = self.numbers[self.numbers.index(asked.version) - 1]
            assert self.register.pending.restores == before

    @rule(off=st.sampled_from([0, 0, 0, 1]))
    def decides(self, off):
        self.activates(off)

    def activates(self, off):
        pending = self.register.pending
        if pending is not None:
            self.put(Activate(pending.number + off, self.keep))
            if not off:
                if pending.kind == "undo":
                    self.live[pending.number] = self.live[pending.restores]
                else:
                    self.live[pending.number] = (*self.live.get(pending.base, ()), pending.number)
                self.texts[pending.number] = text_in_force(self.register)
                self.numbers.append(pending.number)
                if pending.kind == "undo":
                    assert self.texts[pending.number] == self.texts[pending.restores]

    @rule()
    def abandons(self):
        if self.register.pending is not None:
            before = self.register.newest
            self.put(Abandon(self.register.pending.number, "why"))
            assert self.register.newest == before

    @rule()
    def restores(self):
        self.twin.restore(self.register.state())

    @invariant()
    def holds(self):
        register = self.register
        assert self.numbers == sorted(set(self.numbers))  # they only go up
        assert register.newest == (self.numbers[-1] if self.numbers else 0)
        assert all(v.digest in register.contents for v in register.versions)
        assert len(register.versions) <= self.keep
        ids = [v.id for v in register.versions]
        ids += [register.pending.id] if register.pending is not None else []
        assert len(ids) == len(set(ids)) and not set(ids) & set(register.ended)  # each id acts once


class LongHistory(History):
    """The same, where nothing is past the history's end."""

    keep = 100


RUNS = settings(max_examples=120, stateful_step_count=40, deadline=None)
TestHistory, TestLongHistory = History.TestCase, LongHistory.TestCase
TestHistory.settings = TestLongHistory.settings = RUNS


class EditsAnyBase(Register):
    """An edit against an older version is taken."""

    __slots__ = ()

    def edit(self, edit):
        return super().edit(msgspec.structs.replace(edit, base=self.newest))


class UndoesWithoutComparing(Register):
    """An undo does not ask what others have edited since."""

    __slots__ = ()

    def undo(self, undo):
        at = next((i for i, v in enumerate(self.versions) if v.number == undo.version), 0)
        return super().undo(msgspec.structs.replace(undo, to=self.versions[at - 1].number))


class CountsEveryVersionSince(Register):
    """An edit and its undo count as two edits since: the fault that was found on real heads."""

    __slots__ = ()

    def undo(self, undo):
        return super().undo(msgspec.structs.replace(undo, cancelling=False))


class ComparesContents(Register):
    """What has the same content counts as the same edit."""

    __slots__ = ()

    def _origins(self):
        first = {v.digest: v.number for v in reversed(self.versions)}
        return {v.number: first[v.digest] for v in self.versions}


class ActsEachTime(Register):
    """An id is not known again."""

    __slots__ = ()

    def _again(self, id):
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
    monkeypatch.setitem(globals(), "Register", mutant)
    with pytest.raises((AssertionError, IndexError)):
        story()
