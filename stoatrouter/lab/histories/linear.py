"""Linearizability check of a history of calls: the search of Wing and Gong (1993) with memoization of states.

A call consists of the times of its invocation and return, its operation and its response. A call that never
returned may have taken effect at any later time, or never. The model maps a state and a call to the possible
next states.
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
    """One call of a client; times are in seconds on one clock."""

    invoked_at: float
    returned_at: float  # NEVER: there was no response
    operation: Operation
    response: Response | None = None


Model = Callable[[State, Call[Operation, Response]], Iterable[State]]


def linearizable(
    calls: list[Call[Operation, Response]], initial: State, model: Model[State, Operation, Response]
) -> bool:
    """Whether some order, with each call between its invocation and return, is allowed by the model."""
    return linearization_of(calls, initial, model) is not None


def linearization_of(
    calls: list[Call[Operation, Response]], initial: State, model: Model[State, Operation, Response]
) -> list[Call[Operation, Response]] | None:
    """Find an order that the model allows, in which each call takes effect between invocation and return.

    Args:
        calls: The history; calls without a response may be omitted from the order.
        initial: The state before all calls.
        model: Returns the possible states after a call takes effect; none if it cannot take effect.

    Returns:
        Such an order, or None if there is none.
    """
    calls = sorted(calls, key=lambda call: call.invoked_at)
    everything = (1 << len(calls)) - 1
    optional = sum(1 << i for i, call in enumerate(calls) if call.returned_at == NEVER)
    tried: set[tuple[int, State]] = set()
    stack: list[tuple[int, State, tuple[int, ...]]] = [(0, initial, ())]
    while stack:
        done, state, order = stack.pop()  # done: bit mask of the calls that have taken effect
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
    """Return the calls that may take effect next: no other remaining call returned before their invocation.

    Args:
        calls: All calls, sorted by invocation.
        done: Bit mask of the calls that have taken effect; at least one call remains.
    """
    left = [i for i in range(len(calls)) if not done >> i & 1]
    first_return = min(calls[i].returned_at for i in left)
    return itertools.takewhile(lambda i: calls[i].invoked_at <= first_return, left)


# -- the version register of routing rules ----------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class RegisterOperation:
    """An edit against a base, an undo of a version, or a read of the number of the newest version."""

    kind: str  # "edit", "undo" or "read"
    id: str = ""
    base: int = 0


class RegisterResponse(NamedTuple):
    """A response of the register: "ok" and the new number, or "refused" or "read" and the newest number."""

    outcome: str
    number: int


class RegisterState(NamedTuple):
    """The number of the newest version, and the ids that took effect with their numbers."""

    newest: int = 0
    numbers: tuple[tuple[str, int], ...] = ()


RegisterCall = Call[RegisterOperation, RegisterResponse]


def register_model(state: RegisterState, call: RegisterCall) -> list[RegisterState]:
    """Apply a call to a model of the register.

    Numbers increase, an edit succeeds only against the newest version, and an id takes effect once.
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
