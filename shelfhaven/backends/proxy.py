"""Runner of the requests that proxies run themselves.

A launch of the core is passed to the consultation that asked, and the proxy runs the request. The runner
counts what is in flight and estimates from the results how much the service behind the proxies can take. What
a message of a proxy means is decided in `routing/processor_policy.py`, the capacity in `routing/pool.py`.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from random import Random
from typing import Protocol, TypeAlias

from shelfhaven.backends.runner_load import RunnerLoad
from shelfhaven.decision.settings import Outcome
from shelfhaven.routing.pool import Pool
from shelfhaven.routing.pool_settings import PoolSettings
from shelfhaven.routing.processor_policy import SIGNAL_BY_OUTCOME
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox

RunnerMessage: TypeAlias = messages.RunnerCommand | messages.SampleGauges

SERVICE = "behind the proxies"  # the one backend, as far as is known here
MAX_LIMIT_FACTOR = 4.0  # times the stated concurrency, up to which the limit of the service may grow


class RunningConsultation(Protocol):
    """A consultation, as the runner knows it."""

    def launched(self, launch: messages.LaunchRun) -> None:
        """The core lets it run."""


class ProxyRunner:
    """Actor of all that proxies run; consultations register themselves and report their ends."""

    def __init__(self, concurrency: int, tell: Callable[[messages.RunnerEvent], None], log: Log) -> None:
        self.tell = tell
        self.log = log
        self.mailbox: Mailbox[RunnerMessage] = Mailbox(self._take, log)
        self.consultations: dict[str, RunningConsultation] = {}
        self.attempts: dict[str, int] = {}
        self.attempt_numbers = itertools.count(1)
        settings = PoolSettings(
            initial_limit=concurrency,
            max_limit=MAX_LIMIT_FACTOR * concurrency,
            max_ejected_fraction=0.0,  # the one service is never ejected
        )
        self.pool = Pool(settings, [SERVICE], time.monotonic(), Random(0))

    @property
    def up(self) -> bool:
        """Whether it samples gauges: never, as its capacity is part of the gauges of the pools."""
        return False

    def put(self, message: RunnerMessage) -> None:
        """Take a command."""
        self.mailbox.put(message)

    def load(self) -> RunnerLoad:
        """Runs in flight, and how many the service seems to take."""
        return RunnerLoad(self.pool.in_flight(), self.pool.capacity(time.monotonic()))

    def run_ended(self, run_id: str, outcome: Outcome, elapsed: float, result: bytes | None) -> None:
        """A run is over, after so many seconds."""
        attempt = self.attempts.pop(run_id, None)
        if attempt is not None:
            self.pool.end_attempt(time.monotonic(), attempt, SIGNAL_BY_OUTCOME[outcome])
        self.tell(messages.RunCompleted(run_id, outcome, elapsed, result))

    def _take(self, message: RunnerMessage) -> None:
        match message:
            case messages.LaunchRun():
                self._launch(message)
            case messages.SampleGauges():
                self.tell(messages.GaugesSampled(message.tag, ()))
            case messages.DeliverCallReply() | messages.ProceedWithoutCall():
                self.log.event("no_word_for", action=type(message).__name__)

    def _launch(self, launch: messages.LaunchRun) -> None:
        consultation = self.consultations.get(launch.attempt_id)
        if consultation is None:  # its stream is gone, or it came by another frontend
            self.tell(messages.RunCompleted(launch.attempt_id, Outcome.CONNECT_FAILED, 0.0))
            return
        attempt = next(self.attempt_numbers)
        self.attempts[launch.attempt_id] = attempt
        self.pool.begin_attempt(time.monotonic(), self.pool.backends[SERVICE], attempt, launch.class_name)
        consultation.launched(launch)
