"""The history of rules without any head: what wins, what is refused, what an undo restores; kept versions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stoatrouter.history import kept
from stoatrouter.history.activation import Checked, decide
from stoatrouter.history.records import (
    Abandon,
    Activate,
    Content,
    Edit,
    Undo,
    digest_of,
    pack,
    unpack,
)
from stoatrouter.history.register import Register
from stoatrouter.peering.rules import materialize
from tests.heads.test_agreement import MS


def content(text: str) -> Content:
    return Content("rules.cue", {"rules.cue": text, "team.cue": f"team {text}"})


def edit(id: str, base: int, text: str = "x") -> Edit:
    made = content(text)
    return Edit(id, base, digest_of(made), pack(made), "ann", "why", "now")


def undo(id: str, version: int, to: int = 0) -> Undo:
    return Undo(id, version, to, "bob", "why", "now")


def in_force(*texts: str, keep: int = 100) -> Register:
    register = Register()
    for i, text in enumerate(texts):
        assert register.edit(edit(f"e{i}", register.newest, text)).ok
        assert register.activate(Activate(register.numbers, keep)).ok
    return register


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

    def __init__(self) -> None:
        super().__init__()
        self.register, self.twin = Register(), Register()
        self.texts: dict[int, str] = {}  # by version that was in force
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

    @rule(off=st.sampled_from([0, 0, 0, 1]))
    def activates(self, off):
        pending = self.register.pending
        if pending is not None:
            self.put(Activate(pending.number + off, 3))
            if not off:
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
        assert len(register.versions) <= 3
        ids = [v.id for v in register.versions]
        ids += [register.pending.id] if register.pending is not None else []
        assert len(ids) == len(set(ids)) and not set(ids) & set(register.ended)  # each id acts once


TestHistory = History.TestCase
TestHistory.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)


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
        (ActsEachTime, test_asked_twice_with_one_id_it_acts_once),
    ],
)
def test_a_mutant_is_caught(mutant, story, monkeypatch):
    monkeypatch.setitem(globals(), "Register", mutant)
    with pytest.raises((AssertionError, IndexError)):
        story()


# -- what a head keeps -----------------------------------------------------------------------------------
def test_a_kept_version_is_read_as_written_and_each_flipped_bit_is_found_out():
    data = kept.write(kept.Kept(3, "d", pack(content("x")), "now"))
    assert kept.read(data).number == 3
    for at in range(0, len(data) * 8, 7):
        spoilt = bytearray(data)
        spoilt[at // 8] ^= 1 << at % 8
        with pytest.raises(kept.Unreadable):
            kept.read(bytes(spoilt))
    with pytest.raises(kept.Unreadable):
        kept.read(data[:-1])


def test_the_files_of_a_set_are_written_whole(tmp_path):
    path = materialize(tmp_path, pack(content("x")))
    assert path.name == "rules.cue" and path.read_text() == "x"
    assert (path.parent / "team.cue").read_text() == "team x"
    assert materialize(tmp_path, pack(content("x"))) == path and len(list(tmp_path.iterdir())) == 1
