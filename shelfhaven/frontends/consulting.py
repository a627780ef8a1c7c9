"""Base classes of the frontends for proxies, independent of the protocol.

A proxy asks whether it may forward a request; Envoy calls this external processing or external authorization.
Such a question is a consultation here, and its answer the verdict.  A `ProxyListener` limits the number of
open consultations.  A `ConsultationSession` serves one of them: it passes the proxy's messages, the core's
answers and timeouts to the state machine in `routing/processor_policy.py`, which makes the decisions, and
carries out the actions that this returns.  Subclasses decode and encode the messages of a protocol.
"""

from __future__ import annotations

import asyncio
import os
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from shelfhaven.backends.proxy import ProxyRunner
from shelfhaven.frontends.connection import Connection
from shelfhaven.frontends.message_connection import NotifyCore
from shelfhaven.operator_config import Listen
from shelfhaven.routing import processor_policy, stream_admission
from shelfhaven.routing.request_mapping import RequestMapping
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.log import Log
from shelfhaven.server.receive_buffers import ReceiveBuffers

ATTEMPT_ID_BYTES = 8
MEASUREMENT_INTERVAL_S = 0.02  # between measurements of the event-loop lag and the CPU time
LAG_RETENTION_S = 0.05  # during which a pause of the event loop still counts
REQUEST_REF = 1  # reference of the only request of a session
BYTES_PER_KB = 1024
OVERLOAD_RETRY_AFTER_S = 1.0  # sent to a proxy whose consultation is not admitted
SHED_FRACTION_DIGITS = 2  # decimal places in the log


@dataclass(frozen=True)
class ProxyListenerContext:
    """The objects and settings that all listeners for proxies of one server share.

    Attributes:
        runner: the runner that represents the runs of the proxies.
        notify_core: sends a message to the core.
        log: the server's log.
        is_healthy: tells whether health checks are answered with success.
        load_shedder: sheds consultations of all listeners while the process lacks CPU time.
        descriptors: the file descriptors of this server.
        receive_buffers: counts the incomplete messages of all connections.
        memory_mb: memory limit of this process.
    """

    runner: ProxyRunner
    notify_core: NotifyCore
    log: Log
    is_healthy: Callable[[], bool]
    load_shedder: stream_admission.LoadShedder
    descriptors: Descriptors
    receive_buffers: ReceiveBuffers[Connection]
    memory_mb: float


class AnswerCountKey(NamedTuple):
    """The key by which answers are counted."""

    class_index: int
    kind: str  # one of `messages.ANSWER_KINDS`


class ProxyListener(ABC):
    """Actor of one listener for proxies; it limits and counts consultations.

    Attributes:
        answer_counts: answers of the core since they were last logged.
    """

    def __init__(self, listen: Listen, mapping: RequestMapping, context: ProxyListenerContext) -> None:
        self.listen = listen
        self.mapping = mapping
        self.runner = context.runner
        self.notify_core = context.notify_core
        self.log = context.log
        self.is_healthy = context.is_healthy
        self.settings = listen.consult
        self.streams = stream_admission.StreamLimits(self.settings)
        self.loop_lag = stream_admission.LoopLag(MEASUREMENT_INTERVAL_S, LAG_RETENTION_S)
        self.load_shedder = context.load_shedder
        self.answer_counts: Counter[AnswerCountKey] = Counter()
        self.load_timer: asyncio.TimerHandle | None = None
        self.draining = False

    @abstractmethod
    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: the address cannot be bound.
        """

    def begin_drain(self) -> None:
        """Begin the graceful shutdown; requests of proxies are still answered."""
        self.draining = True

    @abstractmethod
    def stop_listening(self, time_left: float) -> None:
        """Accept no new connections or streams; open ones have `time_left` seconds to end."""

    @abstractmethod
    async def end(self, time_left: float) -> None:
        """Close all open connections and streams within `time_left` seconds."""

    def admit(self, connection: str) -> bool:
        """Admit and count one more consultation, unless the server is at its limit or overloaded.

        `connection` identifies the connection that it came by.
        """
        return self.streams.admit(self.loop_lag.mean_lag, self.load_shedder.sheds_next(connection))

    def open_requests(self) -> int:
        """Return the number of open consultations."""
        return self.streams.open_streams

    def has_connections(self) -> bool:
        """Return whether a proxy is connected that may still get a verdict."""
        return bool(self.open_requests())

    def count_answer(self, class_index: int, answer: messages.Answer) -> None:
        """Count an answer of the core, for the log."""
        self.answer_counts[AnswerCountKey(class_index, messages.ANSWER_KINDS[type(answer)])] += 1

    def load_now(self) -> dict[str, float]:
        """Return the load figures for the log; answers are those since the last call."""
        answer_counts = self.answer_counts
        self.answer_counts = Counter()
        load: dict[str, float] = {
            "streams": self.streams.open_streams,
            "turned_away": self.streams.rejected,
            "part_turned_away": round(self.load_shedder.shed_fraction, SHED_FRACTION_DIGITS),
        }
        for key, count in answer_counts.items():
            load[f"{key.class_index} {key.kind}"] = count
        return load

    def _measure_load(self) -> None:
        """Measure the event-loop lag and the CPU time, now and periodically."""
        now = time.monotonic()
        self.loop_lag.tick(now)
        self.load_shedder.update(now, time.process_time())
        self.load_timer = asyncio.get_running_loop().call_later(MEASUREMENT_INTERVAL_S, self._measure_load)

    def _stop_load_measurement(self) -> None:
        if self.load_timer:
            self.load_timer.cancel()


class ConsultationSession(ABC):
    """One consultation; the core sees it as a frontend, the proxy runner as a running consultation.

    Attributes:
        sends_body: whether a proxy sends the body of a request that has an idempotency key.
        attempt_id: the random id by which the core and the proxy runner refer to it.
        verdict: resolves to the encoded verdict; created when the request is submitted to the core.
        lease_timer: ends the run if the proxy does not report its end in time.
        load: the advertised load that came with the core's answer.
        submission: the request to the core, once the proxy's request has been mapped.
    """

    sends_body = True

    def __init__(self, listener: ProxyListener, peer: str, waited: float = 0.0) -> None:
        """`waited`: seconds for which the listener knew of the consultation before."""
        self.listener = listener
        self.peer = peer
        lag = max(waited, listener.loop_lag.lag_at(time.monotonic()))
        self.received_at = time.time() - lag
        self.consultation = processor_policy.Consultation(
            listener.settings,
            has_idempotency_key=False,
            is_shadow=False,
            now=time.monotonic() - lag,
        )
        self.attempt_id = os.urandom(ATTEMPT_ID_BYTES).hex()
        self.verdict: asyncio.Future[bytes] | None = None
        self.lease_timer: asyncio.TimerHandle | None = None
        self.load: float | None = None
        self.submission: messages.SubmitRequest | None = None

    @abstractmethod
    def _encode_continue(
        self, verdict: processor_policy.Continue, launch: messages.LaunchRun | None
    ) -> bytes:
        """Encode the verdict that lets the proxy forward the request.

        `launch` is None if the core did not admit the request, which belongs to a shadow class then.
        """

    @abstractmethod
    def _encode_immediate(self, verdict: processor_policy.ImmediateResponse) -> bytes:
        """Encode the verdict by which the proxy answers the request itself."""

    def launched(self, launch: messages.LaunchRun) -> None:
        """Handle the core's permission to run the request."""
        self._execute(self.consultation.launched(time.monotonic()), launch)

    def answer(self, answer: messages.Answer) -> None:
        """Handle the core's answer, which determines the verdict unless that has been given."""
        now = time.monotonic()
        self.load = answer.load
        if self.submission:
            self.listener.count_answer(self.submission.class_index, answer)
        match answer:
            case messages.ServedAnswer():
                self._execute(self.consultation.served(answer.body))
            case messages.RejectedAnswer():
                self._execute(self.consultation.rejected(now, answer.retry_after, answer.no_retry_elsewhere))
            case messages.FailedAnswer():
                self._execute(self.consultation.failed(now, answer.text, answer.deadline_passed))
            case messages.HealthAnswer():
                pass

    def closed(self) -> None:
        """Handle the end of the consultation by the proxy."""
        self._execute(self.consultation.closed(time.monotonic()))
        self._release()

    def _map_request(self, variables: Mapping[str, str]) -> None:
        """Map the request's variables to a request to the core.

        Raises:
            MappingError: the request cannot be mapped.
        """
        settings = self.listener.settings
        mapped = self.listener.mapping.map_request(time.monotonic(), variables, self.peer, 0)
        self.consultation.has_idempotency_key = bool(mapped.idempotency_key)
        self.consultation.is_shadow = mapped.class_index in settings.shadow_classes
        self.submission = messages.SubmitRequest(
            frontend=self,
            request_ref=REQUEST_REF,
            attempt_id=self.attempt_id,
            class_index=mapped.class_index,
            tenant=mapped.tenant,
            caller=mapped.caller,
            received_at=self.received_at,
            budget=mapped.budget or None,
            work_hint=mapped.work_hint or None,
            footprint_kb=mapped.footprint_kb,
            priority=mapped.priority,
            is_retry=mapped.is_retry,
            idempotency_key=mapped.idempotency_key,
            partition_key=mapped.partition_key,
            body=b"",
            body_known=self.sends_body,
            attributes=messages.RequestAttributes(
                variables["REQUEST_METHOD"],
                variables["PATH_INFO"],
                variables.get("QUERY_STRING", ""),
                variables.get("CONTENT_TYPE", ""),
                mapped.extra_variables,
                mapped.identity_parts,
                mapped.legacy_identity_parts,
            ),
            start_within=settings.verdict_budget or None,
            runner=self.listener.runner,
        )

    async def _submit(self, body: bytes) -> bytes:
        """Submit the request to the core and return the encoded verdict.

        There always is one, as the core's timers bound the time of its answer.
        """
        assert self.submission, "the request must be mapped before it is submitted"
        request = self.submission
        if body:
            footprint_kb = request.footprint_kb + len(body) / BYTES_PER_KB
            request = replace(request, body=body, footprint_kb=footprint_kb)
        self.verdict = asyncio.get_running_loop().create_future()
        self.listener.runner.consultations[self.attempt_id] = self
        self.listener.notify_core(request)
        return await self.verdict

    def _execute(
        self, actions: list[processor_policy.Action], launch: messages.LaunchRun | None = None
    ) -> None:
        """Carry out the state machine's actions; `launch` is the permission that led to them, if any."""
        for action in actions:
            match action:
                case processor_policy.Continue():
                    self._set_verdict(self._encode_continue(action, launch))
                    self._start_lease()
                case processor_policy.ImmediateResponse():
                    self._set_verdict(self._encode_immediate(action))
                case processor_policy.RunEnded():
                    self._release()
                    self.listener.runner.run_ended(
                        self.attempt_id, action.outcome, action.elapsed, action.result
                    )
                case processor_policy.WithdrawRequest():
                    self.listener.load_shedder.withdrawn += 1
                    self.listener.notify_core(messages.CancelRequest(self, REQUEST_REF, action.may_run))
                case processor_policy.ProtocolViolation():
                    self.listener.log.event("proxy_fault", peer=self.peer, text=action.text)

    def _set_verdict(self, encoded: bytes) -> None:
        if self.verdict and not self.verdict.done():
            self.verdict.set_result(encoded)

    def _start_lease(self) -> None:
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(self.listener.settings.lease, self._lease_expired)

    def _lease_expired(self) -> None:
        self.listener.log.event("lease_out", peer=self.peer)
        self._execute(self.consultation.lease_expired(time.monotonic()))
        self._release()

    def _release(self) -> None:
        """Drop what keeps this session in memory, as it has no run, or its run is over.

        A proxy that reports later than that is heard as long as its stream is open, and changes nothing.
        """
        self.listener.runner.consultations.pop(self.attempt_id, None)
        if self.lease_timer:
            self.lease_timer.cancel()
