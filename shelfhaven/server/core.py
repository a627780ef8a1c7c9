"""The actor that drives the controller.

The core turns each message into events, passes them to `Controller.on_event` one at a time, and executes the
returned actions before it passes the next event.  All decisions are the controller's: timeouts, Retry-After,
the order of runs, and health.  Every request gets exactly one answer unless its caller cancels it, even if
the controller raises an exception or a peer misbehaves.
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

TIMER_RETRY_DELAY = 0.1  # seconds until a timer fires again after the controller raised an exception on it


class Core:
    """Actor that drives the controller.

    Attributes:
        pending_events: events that the controller takes after the actions of the current event.
        actors: the other actors, which the program connects before the first message.
        ready: whether this node accepts work; components add their own conditions.
    """

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
        # The controller derives its margins from the tick; due timers wait up to that long for gauges.
        settings = replace(config.settings, tick=max(config.settings.tick, MAX_GAUGES_WAIT))
        self.controller = Controller(settings, config.seed)
        self.mailbox: Mailbox[messages.CoreMessage] = Mailbox(self._handle, log)
        self.pending_events: deque[Event] = deque()
        self.actors = ConnectedActors()
        self.requests = RequestTable()
        self.timers = Timers(
            self.clocks, self.requests, self.actors, self.pending_events.append, self._process_events
        )
        next_request_id = itertools.count(1).__next__
        self.keys = IdempotencyKeys(config, self.clocks, self.requests, next_request_id)
        self.answer_sender = AnswerSender(self.requests, self.controller, self.clocks)
        self.completion = RequestCompletion(
            self.requests,
            self.keys,
            self.answer_sender,
            self.actors,
            self.clocks,
            self.pending_events.append,
        )
        launcher = RunLauncher(config, self.keys, self.actors, self.clocks)
        self.translator = EventTranslator(config, self.completion, launcher, next_request_id)
        self.executor = ActionExecutor(self.completion, launcher)
        self.started = False
        self.draining = False
        self.healthy = True
        self.ready: Callable[[], bool] = lambda: True

    def put(self, message: messages.CoreMessage) -> None:
        """Add a message to the mailbox."""
        self.mailbox.put(message)

    @property
    def answer_counts(self) -> Counter[str]:
        """Number of answers sent since the start, by kind."""
        return self.answer_sender.counts

    def running_count(self) -> int:
        """Number of requests whose runs have started and not finished."""
        return len(self.requests.all_started())

    def load_now(self) -> dict[str, object]:
        """Return the core's fields of the periodic log line.

        These are the requests by state, the answers since the previous call, and the controller's estimates.
        """
        return {
            **self.requests.count_by_state(),
            **self.answer_sender.take_unlogged_counts(),
            **estimates_load(self.controller.status(), self.answer_sender.advertised_load),
            **key_table_load(self.keys.table),
        }

    # Messages

    def _handle(self, message: messages.CoreMessage) -> None:
        """Handle one message; if that raises an exception, a submitted request is still answered."""
        try:
            self._dispatch(message)
        except Exception:
            self.log.exception("message_failed")
            if isinstance(message, messages.SubmitRequest):
                self._fail_submission(message)
        self._process_events()

    def _fail_submission(self, submission: messages.SubmitRequest) -> None:
        """Answer a request whose submission raised an exception."""
        request = self.requests.get_unanswered(submission.frontend, submission.request_ref)
        if request is None:
            self.answer_sender.fail_unregistered(
                submission.frontend, submission.request_ref, messages.INTERNAL_ERROR_TEXT
            )
            return
        self.completion.give_up(request, messages.INTERNAL_ERROR_TEXT)
        self.requests.forget_if_done(request)

    def _dispatch(self, message: messages.CoreMessage) -> None:
        match message:
            case messages.RejectMalformed():
                self.answer_sender.fail_unregistered(
                    message.frontend, message.request_ref, message.text, message.code
                )
            case messages.CheckHealth():
                self.answer_sender.report_health(message, self.healthy and self.ready())
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
        """Start the controller when the first runner connects or the first request arrives."""
        if not self.started:
            self.started = True
            self.log.event("module_started", cold=self.config.settings.starts_cold)
            self.pending_events.append(ServerStarted())

    def _begin_drain(self, drain: messages.BeginDrain) -> None:
        self.draining = True
        self.actors.membership.put(messages.ReportStatus(False))
        self._start()
        now = self.clocks.monotonic()
        time_left = max(0.0, drain.answer_by - now)
        self.pending_events.append(DrainStarted(time_left, max(0.0, now - drain.noticed_at)))

    # The controller

    def _process_events(self) -> None:
        """Pass pending events to the controller, one at a time, and execute its actions."""
        while self.pending_events:
            event = self.pending_events.popleft()
            actions = self._actions_for(event)
            for action in actions:
                try:
                    self._execute(action)
                except Exception:
                    self.log.exception("action_failed", action=repr(action))
            self._forget_done_requests(actions)
            if request := self._request_of(event):
                self.completion.forget_if_done(request)
        self.keys.retain_withdrawn()
        self.keys.expire()
        self.timers.update_alarm()

    def _actions_for(self, event: Event) -> list[Action]:
        """Return the controller's actions for an event.

        If the controller raises an exception, a timer is set again and a request is answered with an error.
        """
        now = self.clocks.advance()
        try:
            return self.controller.on_event(now, event)
        except Exception:
            self.log.exception("module_failed")
        if isinstance(event, TimerFired):
            self.timers.set(event.token, TIMER_RETRY_DELAY)
        elif request := self._request_of(event):
            self.completion.give_up(request, messages.INTERNAL_ERROR_TEXT)
        return []

    def _request_of(self, event: Event) -> Request | None:
        """Return the request that an event concerns, or None if there is none or it has been forgotten."""
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
                self.answer_sender.advertised_load = action.value
            case SetIdleTimeout():
                self.actors.frontends.put(messages.SetIdleTimeout(action.timeout))
            case StopRun():
                self.log.event("no_word_for", action=type(action).__name__)
            case _:
                if request := self.requests.get(action.request_id):
                    self.executor.execute(request, action)

    def _forget_done_requests(self, actions: list[Action]) -> None:
        """Forget the requests that are done, once all actions on them are carried out.

        An action may follow the one that ends its request: the key of a rejected request is released after
        the rejection.
        """
        for action in actions:
            request_id = getattr(action, "request_id", None)
            if request_id is not None and (request := self.requests.get(request_id)):
                self.requests.forget_if_done(request)

    def _set_health(self, healthy: bool) -> None:
        self.healthy = healthy
        accepting = not self.draining and (healthy or not self.config.settings.readiness)
        self.actors.membership.put(messages.ReportStatus(accepting))
        self.log.event("health", good=healthy)
