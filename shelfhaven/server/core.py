"""The core: the actor around the controller, which alone decides.

Owns the order of things: each message becomes events, each event goes to `Controller.on_event` one at a time,
and the actions that it returns are executed before the next event.  It must never decide: time-outs,
Retry-After, order and health come from the controller.  Whatever the controller or a peer does, every request
gets exactly one answer.
"""

from __future__ import annotations

import itertools
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from shelfhaven.config import Config
from shelfhaven.decision.actions import (
    Action,
    AdvertiseLoad,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    StopRun,
)
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import DrainStarted, Event, ServerStarted, TimerFired
from shelfhaven.server import messages
from shelfhaven.server.action_execution import ActionExecutor
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.answer_sender import AnswerSender
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.core_load import estimates_load, key_table_load
from shelfhaven.server.event_translation import EventTranslator
from shelfhaven.server.idempotency_keys import IdempotencyKeys
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox
from shelfhaven.server.request import Request
from shelfhaven.server.request_completion import RequestCompletion
from shelfhaven.server.request_table import RequestTable
from shelfhaven.server.run_launcher import RunLauncher
from shelfhaven.server.timers import MAX_GAUGES_WAIT, Timers

INTERNAL_ERROR_TEXT = "an error in this server"
TIMER_RETRY_DELAY = 0.1  # seconds after which a timer that the controller failed on comes again


class Core:
    """Actor of the controller."""

    def __init__(
        self,
        config: Config,
        log: Log,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.config = config
        self.log = log
        self.clocks = Clocks(clock, wall)
        # timers wait for gauges at most that long: the controller makes its margins from the tick
        settings = replace(config.settings, tick=max(config.settings.tick, MAX_GAUGES_WAIT))
        self.controller = Controller(settings, config.seed)
        self.mailbox: Mailbox[messages.CoreMessage] = Mailbox(self._handle, log)
        self.events: deque[Event] = deque()  # for the controller, after the actions in hand
        self.actors = ConnectedActors()  # which the program connects before the first message
        self.requests = RequestTable()
        self.timers = Timers(self.clocks, self.requests, self.actors, self.events.append, self._settle)
        next_request_id = itertools.count(1).__next__
        self.keys = IdempotencyKeys(config, self.clocks, self.requests, next_request_id)
        self.answers = AnswerSender(self.requests, self.controller, self.clocks)
        self.completion = RequestCompletion(
            self.requests, self.keys, self.answers, self.actors, self.clocks, self.events.append
        )
        launcher = RunLauncher(config, self.keys, self.actors, self.clocks)
        self.translator = EventTranslator(config, self.completion, launcher, next_request_id)
        self.executor = ActionExecutor(self.completion, launcher)
        self.started = False
        self.draining = False
        self.healthy = True
        self.ready: Callable[[], bool] = lambda: True  # whether this node wants work at all yet

    def put(self, message: messages.CoreMessage) -> None:
        """Take a message."""
        self.mailbox.put(message)

    @property
    def answer_counts(self) -> Counter[str]:
        """Answers by kind, since the start."""
        return self.answers.counts

    def running_count(self) -> int:
        """Requests whose runs have begun and are not over."""
        return len(self.requests.all_started())

    def load_now(self) -> dict[str, object]:
        """Fields of the log: requests by state, answers since the last call, and the controller's view."""
        return {
            **self.requests.count_by_state(),
            **self.answers.take_unlogged_counts(),
            **estimates_load(self.controller.status(), self.answers.advertised_load),
            **key_table_load(self.keys.table),
        }

    # Messages

    def _handle(self, message: messages.CoreMessage) -> None:
        """Handle one message; an error in it costs no answer, and its events are taken all the same."""
        try:
            self._dispatch(message)
        except Exception:
            self.log.exception("message_failed")
            if isinstance(message, messages.SubmitRequest):
                self._fail_submission(message)
        self._settle()

    def _fail_submission(self, submission: messages.SubmitRequest) -> None:
        """Answer a request that an error kept from being taken in."""
        request = self.requests.awaiting_answer(submission.frontend, submission.request_ref)
        if request is None:
            self.answers.fail_unregistered(submission.frontend, submission.request_ref, INTERNAL_ERROR_TEXT)
            return
        self.completion.give_up(request, INTERNAL_ERROR_TEXT)
        self.requests.forget_if_done(request)

    def _dispatch(self, message: messages.CoreMessage) -> None:
        match message:
            case messages.RejectMalformed():
                self.answers.fail_unregistered(
                    message.frontend, message.request_ref, message.text, message.code
                )
            case messages.CheckHealth():
                self.answers.report_health(message, self.healthy and self.ready())
            case messages.GaugesSampled():
                self.timers.on_gauges(message)
            case messages.RunnerConnected():
                self._start()
            case messages.RunnerDisconnected():
                self.timers.on_runner_disconnected()
            case messages.BeginDrain():
                self._begin_drain(message)
            case messages.SubmitRequest():
                self._start()
                self.translator.translate(message)
            case _:
                self.translator.translate(message)

    def _start(self) -> None:
        """Start the controller with the first runner or request."""
        if not self.started:
            self.started = True
            self.log.event("module_started", cold=self.config.settings.starts_cold)
            self.events.append(ServerStarted())

    def _begin_drain(self, drain: messages.BeginDrain) -> None:
        self.draining = True
        self.actors.membership.put(messages.ReportStatus(False))
        self._start()
        self.events.append(DrainStarted(drain.time_left))

    # The controller

    def _settle(self) -> None:
        """Give the controller its events, one at a time, until none is left."""
        while self.events:
            event = self.events.popleft()
            for action in self._actions_for(event):
                try:
                    self._execute(action)
                except Exception:
                    self.log.exception("action_failed", action=repr(action))
            if request := self._request_of(event):
                self.completion.forget_if_done(request)
        self.keys.retain_withdrawn()
        self.keys.expire()
        self.timers.update_alarm()

    def _actions_for(self, event: Event) -> list[Action]:
        """The controller's actions on an event; that it fails on one costs no answer and no timer."""
        now = self.clocks.advance()
        try:
            return self.controller.on_event(now, event)
        except Exception:
            self.log.exception("module_failed")
        if isinstance(event, TimerFired):
            self.timers.set(event.token, TIMER_RETRY_DELAY)
        elif request := self._request_of(event):
            self.completion.give_up(request, INTERNAL_ERROR_TEXT)
        return []

    def _request_of(self, event: Event) -> Request | None:
        """The request that an event is about, if it is about one that is still in hand."""
        if isinstance(event, ServerStarted | DrainStarted | TimerFired):
            return None
        return self.requests.get(event.request_id)

    # Actions

    def _execute(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.timers.set(action.token, action.delay, action.request_id)
            case SetHealth():
                self._set_health(action.healthy)
            case AdvertiseLoad():
                self.answers.advertised_load = action.value
            case SetIdleTimeout():
                self.actors.frontends.put(messages.SetIdleTimeout(action.timeout))
            case StopRun():
                self.log.event("no_word_for", action=type(action).__name__)
            case _:
                if request := self.requests.get(action.request_id):
                    self.executor.execute(request, action)
                    self.requests.forget_if_done(request)

    def _set_health(self, healthy: bool) -> None:
        self.healthy = healthy
        accepting = not self.draining and (healthy or not self.config.settings.readiness)
        self.actors.membership.put(messages.ReportStatus(accepting))
        self.log.event("health", good=healthy)
