"""Test harness of the core: all other actors are stubs, and the test advances the clocks."""

from __future__ import annotations

import asyncio
import copy
import inspect
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from shelfhaven import config
from shelfhaven.backends.agent import OUTCOMES
from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from shelfhaven.server.core import Core
from shelfhaven.server.log import Log
from tests.test_config import CONFIG

LOOK, PAY = 0, 1  # class indices in `CONFIG`: idempotent, and with an idempotency key
DEV_NULL = os.open(os.devnull, os.O_WRONLY)


@dataclass
class RecordingActor:
    """Stub of an actor or a frontend that records the messages that it receives."""

    received: list[Any] = field(default_factory=list)
    up: bool = True

    def put(self, message: Any) -> None:
        self.received.append(message)

    def answer(self, answer: messages.Answer) -> None:
        self.received.append(answer)

    def of(self, message_type: type) -> list[Any]:
        return [message for message in self.received if isinstance(message, message_type)]


class CoreHarness:
    """A core whose other actors are stubs.

    Attributes:
        now: the time on the monotonic clock; the wall clock is 5000 seconds ahead of it.
    """

    def __init__(self, **domain_settings: Any) -> None:
        data = copy.deepcopy(CONFIG)
        data["settings"]["domain"].update(domain_settings)
        self.now = 1000.0
        self.core = Core(
            config.parse_json(orjson.dumps(data)),
            Log("test", DEV_NULL),
            clock=lambda: self.now,
            wall=lambda: 5000.0 + self.now,
        )
        self.runner, self.downstream, self.membership, self.frontends, self.frontend = (
            RecordingActor() for _ in range(5)
        )
        self.core.actors.connect([self.runner] * 2, self.downstream, self.membership, self.frontends)
        self.send(messages.RunnerConnected(True, 0.0))

    def send(self, message: messages.CoreMessage) -> None:
        self.core._handle(message)

    def begin_drain(self, time_left: float) -> None:
        """Begin a drain whose notice has just been received."""
        self.send(messages.BeginDrain(self.now, self.now + time_left))

    def submit(
        self,
        request_ref: int,
        class_index: int = LOOK,
        idempotency_key: str = "",
        attempt_id: str = "",
        **changes: Any,
    ) -> str:
        """Submit a request and return its attempt id, which is made from the reference if none is given."""
        submission = self.submission(request_ref, class_index, idempotency_key, attempt_id, **changes)
        self.send(submission)
        return submission.attempt_id

    def submission(
        self,
        request_ref: int,
        class_index: int = LOOK,
        idempotency_key: str = "",
        attempt_id: str = "",
        **changes: Any,
    ) -> messages.SubmitRequest:
        """Return the message by which `submit` submits a request."""
        attempt_id = attempt_id or f"{request_ref:016x}"
        fields: dict[str, Any] = {
            "frontend": self.frontend, "request_ref": request_ref, "attempt_id": attempt_id,
            "class_index": class_index,
            "tenant": 0, "caller": 1, "received_at": 5000.0 + self.now, "budget": None, "work_hint": None,
            "footprint_kb": 10.0, "priority": 0.0,
            "is_retry": False, "idempotency_key": idempotency_key, "partition_key": 0, "body": b"body",
        }  # fmt: skip
        return messages.SubmitRequest(**(fields | changes))

    def finish_run(self, attempt_id: str, agent_outcome: str = "PASS", body: bytes = b"result") -> None:
        """Finish a run with an outcome as the render farm agent reports it."""
        self.send(
            messages.RunCompleted(
                attempt_id,
                OUTCOMES.get(agent_outcome, Outcome.ERROR),
                0.1,
                body if agent_outcome == "PASS" else b"",
            )
        )

    def advance_time(self, seconds: float) -> None:
        """Advance the clocks and fire the timers that become due."""
        until = self.now + seconds
        timers = self.core.timers
        while (due := timers.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            timers.on_alarm()
            timers.fire_unless_sampled(timers.awaited_sample)
        self.now = until

    def answers(self, request_ref: int) -> list[Any]:
        return [answer for answer in self.frontend.received if answer.request_ref == request_ref]

    def launched_attempts(self) -> list[str]:
        return [command.attempt_id for command in self.runner.of(messages.LaunchRun)]


def run_with_harness(test: Callable[[CoreHarness], None], **domain_settings: Any) -> None:
    """Run a test in an event loop, which the core needs for its alarms.

    The test blocks the loop, so no alarm goes off; `CoreHarness.advance_time` fires timers instead.
    """

    async def run() -> None:
        test(CoreHarness(**domain_settings))

    asyncio.run(run())


def with_harness(test: Callable[..., None]) -> Callable[..., None]:
    """Decorate a test so that it runs in an event loop, with a new harness as its first argument.

    pytest sees the signature without that argument.
    """

    def run(*args: Any, **kwargs: Any) -> None:
        run_with_harness(lambda harness: test(harness, *args, **kwargs))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    parameters = list(inspect.signature(test).parameters.values())[1:]
    run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    return run
