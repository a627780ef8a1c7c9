"""Tries of one keyed request by several protocols, in any order of their starts and ends."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from tests.server.core_harness import LOOK, PAY, CoreHarness, with_harness
from tests.server.test_core_keys import PROTOCOLS

KEY_TTL_S = 3.0  # of the class `PAY`
TRY_PROTOCOLS = ("jsonrpc", "uwsgi with a query", "subrequest")
NEVER_STARTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED)
ENDS = (Outcome.OK, Outcome.ERROR, *NEVER_STARTED)


@dataclass
class Tries:
    """The tries of one request at a core whose places are taken or free.

    Attributes:
        running: attempt ids of the runs that have not ended.
        effects: times at which tries were received whose runs may have had their effect.
    """

    harness: CoreHarness
    count: int = 0
    launched: int = 0
    running: list[str] = field(default_factory=list)
    effects: list[float] = field(default_factory=list)
    busy: list[str] = field(default_factory=list)
    received_at: dict[str, float] = field(default_factory=dict)

    def note_launches(self) -> None:
        """Check each new run of the key against those before it."""
        for attempt_id in self.harness.launched_attempts()[self.launched :]:
            self.launched += 1
            if attempt_id in self.busy:
                continue
            now = self.harness.now
            assert all(now - effect > KEY_TTL_S for effect in self.effects), "the key ran twice"
            assert not self.running, "the key runs twice at a time"
            self.running.append(attempt_id)

    def occupy(self) -> None:
        """Take a place by another request."""
        number = 10_000 + len(self.busy)
        self.busy.append(f"{number:016x}")
        self.harness.submit(number, LOOK)

    def free(self) -> None:
        """End the other requests."""
        for attempt_id in self.busy:
            self.harness.finish_run(attempt_id)

    def submit(self, protocol: str) -> None:
        """Try again by a protocol."""
        self.count += 1
        self.received_at[f"{self.count:016x}"] = self.harness.now
        self.harness.submit(self.count, PAY, "k", **PROTOCOLS[protocol])

    def cancel(self, index: int) -> None:
        """Let the caller of a try leave."""
        if self.count:
            self.harness.send(messages.CancelRequest(self.harness.frontend, 1 + index % self.count))

    def end(self, outcome: Outcome) -> None:
        """End the run."""
        if not self.running:
            return
        attempt_id = self.running.pop()
        if outcome not in NEVER_STARTED:
            self.effects.append(self.received_at[attempt_id])
        body = b"result" if outcome is Outcome.OK else b""
        self.harness.send(messages.RunCompleted(attempt_id, outcome, 0.1, body))


STEPS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(TRY_PROTOCOLS)),
    st.tuples(st.just("cancel"), st.integers(0, 20)),
    st.tuples(st.just("end"), st.sampled_from(ENDS)),
    st.tuples(st.just("wait"), st.sampled_from((0.01, 0.3, 1.2))),
    st.tuples(st.just("occupy"), st.none()),
    st.tuples(st.just("free"), st.none()),
)


@given(steps=st.lists(STEPS, max_size=25))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_no_order_of_tries_runs_a_key_twice_or_blocks_one_that_did_not_run(
    steps: list[tuple[str, object]],
) -> None:
    # guards against a key that stays with a try that is over (incident key-of-a-refused-try)
    @with_harness
    def check(harness: CoreHarness) -> None:
        tries = Tries(harness)
        for kind, value in steps:
            match kind, value:
                case "submit", str():
                    tries.submit(value)
                case "cancel", int():
                    tries.cancel(value)
                case "end", Outcome():
                    tries.end(value)
                case "wait", float():
                    harness.advance_time(value)
                case "occupy", _:
                    tries.occupy()
                case _:
                    tries.free()
            tries.note_launches()
        tries.free()
        tries.note_launches()
        while tries.running:
            tries.end(Outcome.CONNECT_FAILED)
            tries.note_launches()
        harness.advance_time(0.5)
        before = tries.launched
        tries.submit("jsonrpc")
        tries.note_launches()
        may_run = all(harness.now - effect > KEY_TTL_S + 0.1 for effect in tries.effects)
        if may_run and not tries.effects:
            assert tries.launched == before + 1, "a try that is over blocks the key"

    check()


@pytest.mark.parametrize("second", TRY_PROTOCOLS)
@pytest.mark.parametrize("first", TRY_PROTOCOLS)
@pytest.mark.parametrize("way", ["not started", "given up in the queue", "caller left", "drain"])
def test_a_try_that_ended_without_a_run_does_not_hold_the_key(first: str, second: str, way: str) -> None:
    @with_harness
    def check(harness: CoreHarness) -> None:
        tries = Tries(harness)
        if way != "not started":
            tries.occupy()
            tries.occupy()
        tries.submit(first)
        match way:
            case "not started":
                harness.send(messages.RunCompleted(f"{1:016x}", Outcome.REJECTED, 0.0))
            case "given up in the queue":
                harness.advance_time(1.5)
            case "caller left":
                harness.send(messages.CancelRequest(harness.frontend, 1))
            case _:
                harness.begin_drain(0.01)
        table = harness.core.keys.table
        assert not len(table)
        if way == "drain":
            return
        tries.free()
        harness.advance_time(0.2)
        tries.submit(second)
        harness.finish_run(f"{2:016x}")
        assert f"{2:016x}" in harness.launched_attempts()
        tries.submit(first)
        assert [type(answer) for answer in harness.answers(3)] == [messages.ServedAnswer]
        assert f"{3:016x}" not in harness.launched_attempts()

    check()
