"""Consultations independent of the protocol: verdicts and leases of a session, and a listener's counters."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from shelfhaven.decision.settings import Outcome
from shelfhaven.frontends.consulting import (
    AnswerCountKey,
    ConsultationSession,
    ProxyListener,
    ProxyListenerContext,
)
from shelfhaven.operator_config import Listen, ListenProtocol
from shelfhaven.routing import processor_policy
from shelfhaven.routing.processor_policy import ConsultationStage, ConsultSettings
from shelfhaven.routing.stream_admission import LoadShedder
from shelfhaven.server import messages
from shelfhaven.server.descriptors import Descriptors
from shelfhaven.server.receive_buffers import ReceiveBuffers
from tests.peers import run_async

LEASE_S = 0.02
VERDICT_TIMEOUT_S = 60.0


class Listener(ProxyListener):
    """A listener without a socket."""

    async def start(self) -> None:
        """Do nothing, as there is no socket."""

    def stop_listening(self, time_left: float) -> None:
        """Do nothing, as there is no socket."""

    async def end(self, time_left: float) -> None:
        """Do nothing, as nothing is open."""


class Session(ConsultationSession):
    """A session that encodes verdicts as plain text."""

    def _encode_continue(
        self, verdict: processor_policy.Continue, launch: messages.LaunchRun | None
    ) -> bytes:
        return b"continue" if launch else b"continue in shadow"

    def _encode_immediate(self, verdict: processor_policy.ImmediateResponse) -> bytes:
        return b"%d" % verdict.status


class Harness:
    """A listener whose messages to the core and the runner, and whose log events, are recorded."""

    def __init__(self, max_streams: int = 2) -> None:
        self.notified: list[Any] = []
        self.ended: list[tuple[str, Outcome]] = []
        self.events: list[str] = []
        runner: Any = SimpleNamespace(
            consultations={},
            run_ended=lambda attempt_id, outcome, elapsed, result: self.ended.append((attempt_id, outcome)),
        )
        log: Any = SimpleNamespace(event=lambda event, **_: self.events.append(event))
        settings = ConsultSettings(verdict_timeout=VERDICT_TIMEOUT_S, lease=LEASE_S, max_streams=max_streams)
        listen = Listen("p", ListenProtocol.EXTERNAL_PROCESSING, Path("p.sock"), consult=settings)
        context = ProxyListenerContext(
            runner,
            self.notified.append,
            log,
            lambda: True,
            LoadShedder(1.0),
            Descriptors(100),
            ReceiveBuffers(),
            192.0,
        )
        mapping: Any = None  # unused: no request is mapped in these tests
        self.listener = Listener(listen, mapping, context)

    def submitted_session(self) -> Session:
        """Return a session that waits for its verdict."""
        session = Session(self.listener, "peer")
        session.consultation.stage = ConsultationStage.SUBMITTED
        session.verdict = asyncio.get_running_loop().create_future()
        self.listener.runner.consultations[session.attempt_id] = session
        return session


def launch_for(session: Session) -> messages.LaunchRun:
    """Return the core's permission to run the request of a session."""
    return messages.LaunchRun(session.attempt_id, "balance", b"", 1.0)


def test_a_launch_is_the_verdict_and_an_unreported_run_ends_with_its_lease() -> None:
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        session.launched(launch_for(session))
        assert session.verdict
        assert session.verdict.result() == b"continue"
        await asyncio.sleep(2 * LEASE_S)
        assert harness.events == ["lease_out"]
        assert harness.ended == [(session.attempt_id, Outcome.TIMEOUT)]

    run_async(check)


def test_the_end_of_the_stream_ends_the_run_and_cancels_its_lease() -> None:
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        session.launched(launch_for(session))
        session.closed()
        await asyncio.sleep(2 * LEASE_S)
        assert harness.events == []
        assert harness.ended == [(session.attempt_id, Outcome.RESET)]
        assert not harness.listener.runner.consultations

    run_async(check)


def test_the_end_of_the_stream_before_the_verdict_withdraws_the_request() -> None:
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        session.closed()
        (cancel,) = harness.notified
        assert isinstance(cancel, messages.CancelRequest)
        assert cancel.frontend is session
        assert harness.listener.load_shedder.withdrawn == 1
        assert not harness.ended

    run_async(check)


def test_a_verdict_is_given_once() -> None:
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        now = time.monotonic()
        session._execute(session.consultation.rejected(now, 1.0, False))
        session.launched(launch_for(session))
        assert session.verdict
        assert session.verdict.result() == b"503"
        assert harness.ended == [(session.attempt_id, Outcome.CONNECT_FAILED)], "the proxy does not run it"

    run_async(check)


@pytest.mark.parametrize("max_streams", [1, 3])
def test_load_figures_include_streams_rejections_and_the_answers_since_the_last_call(
    max_streams: int,
) -> None:
    listener = Harness(max_streams).listener
    admitted = sum(listener.admit("connection") for _ in range(4))
    assert admitted == listener.open_requests() == max_streams
    listener.answer_counts[AnswerCountKey(1, "refused")] += 2
    load = listener.load_now()
    assert list(load.items()) == [
        ("streams", max_streams),
        ("turned_away", 4 - max_streams),
        ("part_turned_away", 0.0),
        ("1 refused", 2),
    ]
    assert "1 refused" not in listener.load_now()


@pytest.mark.parametrize("ended_by", ["lease", "report", "stream"])
def test_a_session_whose_run_is_over_is_forgotten_and_a_late_report_changes_nothing(ended_by: str) -> None:
    # guards against memory that grows with each verdict (docs/incidents/forwarded-subrequests.md)
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        session.launched(launch_for(session))
        assert list(harness.listener.runner.consultations) == [session.attempt_id]
        if ended_by == "lease":
            await asyncio.sleep(2 * LEASE_S)
        elif ended_by == "report":
            session._execute(session.consultation.response_headers(time.monotonic(), 200, False, True))
        else:
            session.closed()
        assert not harness.listener.runner.consultations
        assert session.lease_timer
        assert session.lease_timer.cancelled() or ended_by == "lease"
        late = session.consultation.response_headers(time.monotonic(), 200, False, True)
        assert late == [processor_policy.PassThrough()]
        session.closed()
        await asyncio.sleep(2 * LEASE_S)
        assert len(harness.ended) == 1

    run_async(check)


def test_a_session_that_was_continued_in_shadow_is_forgotten_with_its_lease() -> None:
    async def check() -> None:
        harness = Harness()
        session = harness.submitted_session()
        session.consultation.is_shadow = True
        session._execute(session.consultation.rejected(time.monotonic(), 1.0, False))
        assert session.verdict
        assert session.verdict.result() == b"continue in shadow"
        await asyncio.sleep(2 * LEASE_S)
        assert not harness.listener.runner.consultations
        assert not harness.ended, "the core has answered it already"

    run_async(check)
