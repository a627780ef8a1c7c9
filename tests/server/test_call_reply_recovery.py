"""Replies to downstream calls when the connection to the agent breaks: none reaches another call.

The agent's protocol gives a reply no number, so a reply that may have arrived must not be sent again; a run
that never got its reply must not keep its request waiting.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from shelfhaven.backends.agent_commands import LOSS_WINDOW_S
from shelfhaven.decision.downstream import PROGRESS_RUN_MULTIPLE
from shelfhaven.decision.settings import Outcome
from shelfhaven.lab.callers import Router, until
from shelfhaven.lab.platform import Agent
from shelfhaven.server import messages
from tests.peers import ServerUnderTest, run_async, running_server
from tests.server.core_harness import LOOK, PAY, CoreHarness, with_harness

NO_SKIP: dict[str, Any] = {"class-skip-worth": [0.0, 0.0]}


def reply_with(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def run_with_delivered_reply(server: ServerUnderTest) -> tuple[Router, str]:
    """Return a router and its attempt, whose run has got the reply `first` to its first call and goes on."""
    server.agent.pass_run = server.agent.keep_running  # type: ignore
    router, attempt_id = await server.running_request()
    server.ledger.reply = reply_with(b"first")
    server.agent.notice(f"request # {attempt_id}", b"call 1")
    await until(lambda: server.agent.delivered)
    server.ledger.reply = reply_with(b"second")
    return router, attempt_id


def call_again_when_replayed(server: ServerUnderTest, attempt_id: str) -> None:
    """Have the run ask for its next call after the replay, so that the notice crosses resent commands."""
    handle_command = server.agent.handle_command

    def handle(words: list[str], body: bytes) -> None:
        handle_command(words, body)
        if words[0] == "sample" and words[1].startswith("link"):
            server.agent.notice(f"request # {attempt_id}", b"call 2")

    server.agent.handle_command = handle  # type: ignore[method-assign]


@pytest.mark.parametrize("domain", [{}, NO_SKIP], ids=["call-can-be-skipped", "call-cannot-be-skipped"])
def test_a_delivered_reply_does_not_reach_the_next_call_after_a_break(domain: dict[str, Any]) -> None:
    # guards against a result made of the reply to another call (docs/incidents/reply-to-another-call.md)
    async def check() -> None:
        async with running_server(domain=domain) as server:
            _, attempt_id = await run_with_delivered_reply(server)
            call_again_when_replayed(server, attempt_id)
            server.agent.cut()
            await until(lambda: len(server.agent.delivered) > 1)
            await asyncio.sleep(0.05)  # a wrong reply would be among the commands of the same moment
            assert server.agent.delivered == [(attempt_id, b"first"), (attempt_id, b"second")]

    run_async(check)


def test_a_reply_confirmed_by_a_later_sample_leaves_nothing_to_recover() -> None:
    async def check() -> None:
        async with running_server() as server:
            _, attempt_id = await run_with_delivered_reply(server)
            await until(lambda: not server.app.peers.agent.commands.pending)
            server.agent.cut()
            await until(lambda: server.app.peers.agent.completed_replays == 2)
            await asyncio.sleep(0.05)
            assert server.agent.delivered == [(attempt_id, b"first")]
            assert not [line for line in server.agent.commands if line.startswith("forgo")]

    run_async(check)


def test_a_run_whose_reply_was_lost_goes_on_without_its_call() -> None:
    async def check() -> None:
        async with running_server() as server:
            router, attempt_id = await run_with_delivered_reply(server)
            server.agent.cut()
            await until(lambda: f"forgo {attempt_id} 1" in server.agent.commands)
            server.agent.notice(f"outcome # {attempt_id} PASS 5", b"made without the call")
            assert "result" in await router.answer(1)

    run_async(check)


def test_a_request_is_failed_once_if_its_reply_was_lost_and_its_call_cannot_be_skipped() -> None:
    async def check() -> None:
        async with running_server(domain=NO_SKIP) as server:
            router, attempt_id = await run_with_delivered_reply(server)
            server.agent.cut()
            assert "error" in await router.answer(1)  # long before the deadline of 6 s
            server.agent.notice(f"outcome # {attempt_id} KILLED 0", b"")
            await until(lambda: not server.app.core.requests)
            assert len(router.messages_for(1)) == 1
            assert server.agent.delivered == [(attempt_id, b"first")]

    run_async(check)


def test_a_reply_that_comes_while_the_connection_is_down_is_delivered_once() -> None:
    async def check() -> None:
        async with running_server(domain=NO_SKIP) as server:
            server.ledger.reply = None
            router, attempt_id = await server.running_request()
            server.agent.notice(f"request # {attempt_id}", b"call 1")
            await until(lambda: server.ledger.calls)
            server.agent.stop()
            await until(lambda: not server.app.peers.agent.up)
            server.ledger.writers[0].write(reply_with(b"late"))
            await until(lambda: server.app.peers.agent.commands.pending)
            await server.agent.start()
            assert "result" in await router.answer(1)
            assert server.agent.delivered == [(attempt_id, b"late")]

    run_async(check)


def test_a_change_of_the_agents_address_waits_until_a_reply_is_confirmed() -> None:
    async def check() -> None:
        async with running_server(domain=NO_SKIP) as server:
            router, attempt_id = await run_with_delivered_reply(server)
            new = Agent()
            new.notices, new.started_at = server.agent.notices, server.agent.started_at
            await new.start()
            server.rewrite_config(agent=f"127.0.0.1:{new.port}")
            server.app.reload()
            await until(lambda: server.app.peers.agent.completed_replays == 2)
            assert "sample switch" in server.agent.commands
            assert not server.app.peers.agent.commands.pending
            new.pass_run(attempt_id)
            assert "result" in await router.answer(1)
            assert not new.delivered
            new.stop()

    run_async(check)


def test_an_agent_that_does_not_answer_delays_a_change_of_its_address_only_briefly() -> None:
    async def check() -> None:
        async with running_server() as server:
            await run_with_delivered_reply(server)
            server.agent.silent = True
            new = Agent()
            new.notices, new.started_at = server.agent.notices, server.agent.started_at
            await new.start()
            server.rewrite_config(agent=f"127.0.0.1:{new.port}")
            server.app.reload()
            await until(lambda: new.subscribed)
            new.stop()

    run_async(check)


# The core, with a clock of its own


def deliver_reply(harness: CoreHarness, class_index: int) -> str:
    """Return an attempt whose run has made its call and got the reply, as far as the core knows."""
    attempt_id = harness.submit(1, class_index, "key" if class_index == PAY else "")
    harness.send(messages.CallRequested(attempt_id, 7, b"ask"))
    (call,) = harness.downstream.of(messages.PlaceCall)
    harness.send(messages.CallCompleted(call.request_id, Outcome.OK, b"reply"))
    return attempt_id


@with_harness
def test_an_unconfirmed_reply_leads_to_a_skip_of_that_call(harness: CoreHarness) -> None:
    attempt_id = deliver_reply(harness, LOOK)
    harness.send(messages.CallReplyUnconfirmed(attempt_id))
    assert harness.runner.received[-1] == messages.ProceedWithoutCall(attempt_id, 7)
    harness.finish_run(attempt_id)
    assert [type(answer) for answer in harness.answers(1)] == [messages.ServedAnswer]


@with_harness
def test_a_run_that_makes_its_next_call_has_got_the_unconfirmed_reply(harness: CoreHarness) -> None:
    attempt_id = deliver_reply(harness, PAY)
    harness.send(messages.CallReplyUnconfirmed(attempt_id))
    harness.send(messages.CallRequested(attempt_id, 8, b"ask again"))
    harness.advance_time(0.45)  # past the time for progress, before the deadline
    assert not harness.answers(1)
    assert len(harness.downstream.of(messages.PlaceCall)) == 2


@with_harness
def test_a_run_without_progress_is_given_up_once_and_its_key_does_not_run_again(
    harness: CoreHarness,
) -> None:
    attempt_id = deliver_reply(harness, PAY)
    harness.send(messages.CallReplyUnconfirmed(attempt_id))
    usual = PROGRESS_RUN_MULTIPLE * harness.core.controller.estimates().run_means[PAY]
    harness.advance_time(usual - LOSS_WINDOW_S)
    assert not harness.answers(1)
    harness.advance_time(2 * LOSS_WINDOW_S)
    assert [type(answer) for answer in harness.answers(1)] == [messages.FailedAnswer]
    harness.submit(2, PAY, "key")
    harness.advance_time(2.0)
    assert harness.launched_attempts() == [attempt_id]
    assert len(harness.answers(1)) == 1
