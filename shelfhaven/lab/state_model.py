"""Exhaustive model check of one durable idempotency key.

It covers the intent, the run, its outcome, answers, crashes of the node and duplicate attempts. The
module contains the model and its search, and shares no code with the implementation that it models.

The model has one key within its TTL, one node, a disk and a backend. A run that was sent takes effect at the
backend at any later time, even after a crash of the node. Attempts arrive at any time. A crash loses the
node's memory; a write that the disk has not yet acknowledged may or may not survive it.

Violations: the request takes effect twice; an attempt is answered as not run although the key has run or may
still run; an attempt gets another answer than the result after an earlier attempt was answered with it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_CRASHES = 2
MAX_ATTEMPTS = 3


class Mistake(Enum):
    """A deliberate implementation error whose violation the search must find."""

    NONE = "none"
    LAUNCH_FIRST = "a run is sent before its intent is durable"
    ANSWER_FIRST = "a result is answered before it is durable"
    FORGETS_INTENTS = "intents without an outcome are forgotten at a start"
    RUNS_LOADING = "an attempt that arrives before the keys are loaded is treated as new"
    DROPS_FAILED = "a failed run releases its key"
    TAKES_BACK_SENT = "an intent is deleted after its run was sent"
    REJECTS_PREVIOUS = "an attempt with a key of an earlier incarnation may be rejected as not run"


class NodeState(Enum):
    """The node's state of the key."""

    DOWN = 0
    LOADING = 1
    NEW = 2  # the key is unknown
    WRITING = 3  # the intent is being written
    RUNNING = 4
    ENDING = 5  # the outcome is being written
    SERVED = 6
    FAILED = 7
    PREVIOUS = 8  # recorded by an earlier incarnation, as stored on the disk


class DiskRecord(Enum):
    """The record of the key that a start would find on the disk."""

    NOTHING = 0
    INTENT = 1
    SERVED = 2
    FAILED = 3


class State(NamedTuple):
    """One state of the model.

    Attributes:
        node: the node's state of the key.
        disk: the durable record.
        writing: the record of a write in progress.
        sent: whether a run was sent that may still take effect.
        effects: how often the request took effect.
        answered: whether an attempt was answered with the result.
        crashes_left: maximum number of further crashes.
        attempts_left: maximum number of further attempts.
        answered_wrongly: whether an attempt got an answer that violates a rule.
    """

    node: NodeState = NodeState.LOADING
    disk: DiskRecord = DiskRecord.NOTHING
    writing: DiskRecord | None = None
    sent: bool = False
    effects: int = 0
    answered: bool = False
    crashes_left: int = MAX_CRASHES
    attempts_left: int = MAX_ATTEMPTS
    answered_wrongly: bool = False

    @property
    def is_violation(self) -> bool:
        """Whether the state violates a rule."""
        return self.answered_wrongly or self.effects > 1


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of a search.

    Attributes:
        states: number of states visited.
        steps: number of steps on the path to the violation that was found; None if there is none.
    """

    states: int
    steps: int | None


def search(mistake: Mistake = Mistake.NONE) -> SearchResult:
    """Visit all reachable states, depth first, until a violation is found."""
    visited = {State()}
    stack = [(State(), 0)]
    while stack:
        state, steps = stack.pop()
        for successor in _successors(state, mistake):
            if successor.is_violation:
                return SearchResult(len(visited), steps + 1)
            if successor not in visited:
                visited.add(successor)
                stack.append((successor, steps + 1))
    return SearchResult(len(visited), None)


def _successors(state: State, mistake: Mistake) -> Iterator[State]:
    if state.sent:
        yield state._replace(sent=False, effects=state.effects + 1)
    if state.writing is not None:
        yield _complete_write(state, state.writing)
    if state.node is NodeState.DOWN:
        yield state._replace(node=NodeState.LOADING)
        return
    if state.crashes_left:
        yield from _crash(state)
    if state.node is NodeState.LOADING:
        yield _load(state, mistake)
    if state.attempts_left:
        yield from _handle_attempt(state._replace(attempts_left=state.attempts_left - 1), mistake)
    if state.node is NodeState.WRITING and state.writing is DiskRecord.INTENT:  # the write timed out
        yield _answer_not_run(state._replace(node=NodeState.NEW, writing=DiskRecord.NOTHING))
    if state.node is NodeState.RUNNING:
        yield from _end_run(state, mistake)


def _complete_write(state: State, record: DiskRecord) -> State:
    """Return the state after the disk has acknowledged the write."""
    written = state._replace(disk=record, writing=None)
    if state.node is NodeState.WRITING and record is DiskRecord.INTENT:
        return written._replace(node=NodeState.RUNNING, sent=True)
    if state.node is NodeState.ENDING:
        is_served = record is DiskRecord.SERVED
        node = NodeState.SERVED if is_served else NodeState.FAILED
        return written._replace(node=node, answered=state.answered or is_served)
    return written


def _crash(state: State) -> Iterator[State]:
    """Yield the states after a crash; a write in progress may or may not have reached the disk."""
    crashed = state._replace(node=NodeState.DOWN, writing=None, crashes_left=state.crashes_left - 1)
    yield crashed
    if state.writing is not None:
        yield crashed._replace(disk=state.writing)


def _load(state: State, mistake: Mistake) -> State:
    """Return the state after a starting node has read the disk."""
    is_forgotten = mistake is Mistake.FORGETS_INTENTS and state.disk is DiskRecord.INTENT
    disk = DiskRecord.NOTHING if is_forgotten else state.disk
    node = NodeState.NEW if disk is DiskRecord.NOTHING else NodeState.PREVIOUS
    return state._replace(disk=disk, node=node)


def _handle_attempt(state: State, mistake: Mistake) -> Iterator[State]:
    """Yield the states after the arrival of an attempt."""
    is_new = state.node is NodeState.NEW
    if mistake is Mistake.RUNS_LOADING:
        is_new = is_new or state.node is NodeState.LOADING
    if is_new and state.writing is None:
        yield _answer_not_run(state)  # rejected for load
        if mistake is Mistake.LAUNCH_FIRST:
            yield state._replace(node=NodeState.RUNNING, writing=DiskRecord.INTENT, sent=True)
        else:
            yield state._replace(node=NodeState.WRITING, writing=DiskRecord.INTENT)
    elif _has_result(state):
        yield state._replace(answered=True)
    elif state.node in (NodeState.FAILED, NodeState.PREVIOUS):
        yield state._replace(answered_wrongly=state.answered)  # answer: the request may have run
        if mistake is Mistake.REJECTS_PREVIOUS:
            yield _answer_not_run(state)


def _has_result(state: State) -> bool:
    """Return whether the node can answer with the result of the key."""
    is_stored = state.node is NodeState.PREVIOUS and state.disk is DiskRecord.SERVED
    return state.node is NodeState.SERVED or is_stored


def _answer_not_run(state: State) -> State:
    """Return the state after an attempt was answered as not run."""
    return state._replace(answered_wrongly=state.effects > 0 or state.sent or state.answered)


def _end_run(state: State, mistake: Mistake) -> Iterator[State]:
    """Yield the states after the node considers the run over, for each possible outcome."""
    if state.writing is not None:
        return  # LAUNCH_FIRST: the intent is still being written, and writes complete in order
    if state.effects:
        answered = state.answered or mistake is Mistake.ANSWER_FIRST
        yield state._replace(node=NodeState.ENDING, writing=DiskRecord.SERVED, answered=answered)
    if mistake is Mistake.DROPS_FAILED:
        yield state._replace(node=NodeState.NEW, writing=DiskRecord.NOTHING)
    else:  # failed, whether or not the run has taken effect or still will
        yield state._replace(node=NodeState.ENDING, writing=DiskRecord.FAILED)
    if not state.effects and state.sent:  # the backend never started the run
        yield _answer_not_run(state._replace(node=NodeState.NEW, writing=DiskRecord.NOTHING, sent=False))
    if mistake is Mistake.TAKES_BACK_SENT:
        yield _answer_not_run(state._replace(node=NodeState.NEW, writing=DiskRecord.NOTHING))


def main() -> None:
    """Run the search without a mistake and with each one, and print the results."""
    for mistake in Mistake:
        print(f"{mistake.value}: {search(mistake)}")


if __name__ == "__main__":
    main()
