"""Runner of the requests that proxies execute themselves after a consultation.

The runner passes each launch by the core to the consultation of the request, which lets the proxy run it. It
counts the runs in flight, and estimates the capacity of the service behind the proxies from their outcomes.
`routing/processor_policy.py` interprets the messages of the proxies, and `routing/pool.py` estimates the
capacity.
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

SERVICE = "behind the proxies"  # the single backend of the pool, which stands for whatever the proxies use
MAX_LIMIT_FACTOR = 4.0  # maximum concurrency limit, as a multiple of the configured concurrency


class RunningConsultation(Protocol):
    """The interface of a consultation that the runner uses."""

    def launched(self, launch: messages.LaunchRun) -> None:
        """Handle the launch of the request by the core."""


class ProxyRunner:
    """Actor for the runs of all proxies.

    Attributes:
        consultations: open consultations by attempt ID; they register and remove themselves.
        attempt_by_run: number of the attempt in flight, by run ID.
    """

    def __init__(self, concurrency: int, tell: Callable[[messages.RunnerEvent], None], log: Log) -> None:
        self.tell = tell
        self.log = log
        self.mailbox: Mailbox[RunnerMessage] = Mailbox(self._handle_message, log)
        self.consultations: dict[str, RunningConsultation] = {}
        self.attempt_by_run: dict[str, int] = {}
        self.attempt_numbers = itertools.count(1)
        settings = PoolSettings(
            initial_limit=concurrency,
            max_limit=MAX_LIMIT_FACTOR * concurrency,
            max_ejected_fraction=0.0,  # the one service is never ejected
        )
        self.pool = Pool(settings, [SERVICE], time.monotonic(), Random(0))

    @property
    def up(self) -> bool:
        """Whether the runner samples gauges: never, because those of the pools include its capacity."""
        return False

    def put(self, message: RunnerMessage) -> None:
        """Queue a command."""
        self.mailbox.put(message)

    def load(self) -> RunnerLoad:
        """Return the runs in flight, and the estimated capacity of the service."""
        return RunnerLoad(self.pool.in_flight(), self.pool.capacity(time.monotonic()))

    def run_ended(self, run_id: str, outcome: Outcome, elapsed: float, result: bytes | None) -> None:
        """Report to the core that a run ended, `elapsed` seconds after the proxy was told to continue."""
        attempt = self.attempt_by_run.pop(run_id, None)
        if attempt is not None:
            self.pool.end_attempt(time.monotonic(), attempt, SIGNAL_BY_OUTCOME[outcome])
        self.tell(messages.RunCompleted(run_id, outcome, elapsed, result))

    def _handle_message(self, message: RunnerMessage) -> None:
        match message:
            case messages.LaunchRun():
                self._launch(message)
            case messages.SampleGauges():
                self.tell(messages.GaugesSampled(message.tag, ()))
            case messages.DeliverCallReply() | messages.ProceedWithoutCall():
                self.log.event("no_word_for", action=type(message).__name__)

    def _launch(self, launch: messages.LaunchRun) -> None:
        consultation = self.consultations.get(launch.attempt_id)
        if consultation is None:  # the stream is closed, or the request came from another frontend
            self.tell(messages.RunCompleted(launch.attempt_id, Outcome.CONNECT_FAILED, 0.0))
            return
        attempt = next(self.attempt_numbers)
        self.attempt_by_run[launch.attempt_id] = attempt
        self.pool.begin_attempt(time.monotonic(), self.pool.backends[SERVICE], attempt, launch.class_name)
        consultation.launched(launch)
