"""Linearizability of a history of calls: Wing and Gong's search (1993), with a memory of tried states.

A call is known by when it was invoked, when it returned, and what. One that never returned may have taken
effect at any later time, or never. The model is a function from a state and a call to the states that may
follow.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

NEVER = float("inf")

Operation = TypeVar("Operation")
Response = TypeVar("Response")
State = TypeVar("State", bound=Hashable)


@dataclass(slots=True, frozen=True)
class Call(Generic[Operation, Response]):
    """One call of a client; times are in seconds of one clock."""

    invoked_at: float
    returned_at: float  # NEVER: no response came
    operation: Operation
    response: Response | None = None


Model = Callable[[State, Call[Operation, Response]], Iterable[State]]


def linearizable(
    calls: list[Call[Operation, Response]], initial: State, model: Model[State, Operation, Response]
) -> bool:
    """Whether there is an order of the calls, each within its time, that the model allows."""
    return linearization_of(calls, initial, model) is not None


def linearization_of(
    calls: list[Call[Operation, Response]], initial: State, model: Model[State, Operation, Response]
) -> list[Call[Operation, Response]] | None:
    """Find an order of the calls, each within its time, that the model allows.

    Args:
        calls: The history; a call without a response may be left out of the order.
        initial: The state before all calls.
        model: Returns the states that may follow when a call takes effect; none where it cannot.

    Returns:
        Such an order, or None where there is none.
    """
    calls = sorted(calls, key=lambda call: call.invoked_at)
    everything = (1 << len(calls)) - 1
    optional = sum(1 << i for i, call in enumerate(calls) if call.returned_at == NEVER)
    tried: set[tuple[int, State]] = set()
    stack: list[tuple[int, State, tuple[int, ...]]] = [(0, initial, ())]
    while stack:
        done, state, order = stack.pop()  # done: the bits of the calls that have taken effect
        if done | optional == everything:
            return [calls[i] for i in order]
        for i in next_calls(calls, done):
            for successor in model(state, calls[i]):
                key = (done | 1 << i, successor)
                if key not in tried:
                    tried.add(key)
                    stack.append((*key, (*order, i)))
    return None


def next_calls(calls: list[Call[Operation, Response]], done: int) -> Iterator[int]:
    """Return the calls that may take effect next: none of the others had returned before their invocation.

    Args:
        calls: All calls, by their invocation.
        done: The bits of the calls that have taken effect; not all of them.
    """
    left = [i for i in range(len(calls)) if not done >> i & 1]
    first_return = min(calls[i].returned_at for i in left)
    return itertools.takewhile(lambda i: calls[i].invoked_at <= first_return, left)


# -- the version register of routing rules ----------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class RegisterOperation:
    """An edit against a base, an undo of a version, or a read of the newest version's number."""

    kind: str  # "edit", "undo" or "read"
    id: str = ""
    base: int = 0


class RegisterResponse(NamedTuple):
    """What the register answered: "ok" and the new number, or "refused" or "read" and the newest number."""

    outcome: str
    number: int


class RegisterState(NamedTuple):
    """The newest version's number, and the ids that took effect, with their numbers."""

    newest: int = 0
    numbers: tuple[tuple[str, int], ...] = ()


RegisterCall = Call[RegisterOperation, RegisterResponse]


def register_model(state: RegisterState, call: RegisterCall) -> list[RegisterState]:
    """Apply a call to the register as its users understand it.

    Numbers go up, an edit holds only against the newest version, and an id takes effect once.
    """
    operation, response = call.operation, call.response
    number_of_id = dict(state.numbers).get(operation.id)
    if operation.kind == "read":
        return [state] if response == ("read", state.newest) else []
    if number_of_id is not None:
        return [state] if response in (None, ("ok", number_of_id)) else []
    if response is not None and response.outcome == "refused":
        was_conflict = operation.base != state.newest
        return [state] if response.number == state.newest and was_conflict else []
    if operation.base != state.newest:
        return [state] if response is None else []
    number = state.newest + 1 if response is None else response.number
    if number <= state.newest:
        return []
    return [RegisterState(number, (*state.numbers, (operation.id, number)))]
