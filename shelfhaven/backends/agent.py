"""Actor for the persistent connection to the render farm agent.

The actor tracks the number of the last notice that it read; `agent_commands` tracks the commands whose
effect is unknown.  The actor sends only commands of the core, apart from a subscription and a gauge sample on
each new connection, and a sample before it leaves a connection for a new address.  After a reconnect, it
recovers pending commands only once it has read all notices that the agent replays.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import TypeAlias

from tornado.iostream import IOStream, StreamClosedError

from shelfhaven.backends.agent_commands import LOSS_WINDOW_S, CommandTracker, PendingCommand
from shelfhaven.backends.failure_boundary import FailureBoundary
from shelfhaven.config import Address
from shelfhaven.decision.settings import Outcome
from shelfhaven.protocol import agent as wire
from shelfhaven.server import messages
from shelfhaven.server.log import Log
from shelfhaven.server.mailbox import Mailbox

READ_SIZE = 64 * 1024  # bytes
MIN_BACKOFF = 0.02  # seconds; initial delay between connection attempts
MAX_BACKOFF = 0.5  # seconds; the delay doubles up to this
CONNECT_TIMEOUT = 2.0  # seconds, after which a connection attempt is abandoned and repeated
SAMPLE_TIMEOUT = 3.0  # seconds for the answer to a sample; ten times the longest pause of a machine
SWITCH_TIMEOUT = 0.5  # seconds for the answer to the sample before a connection is left for a new address
SWITCH_TAG = "switch"  # of that sample
RESTART_MARGIN = 1.0  # seconds of tolerance for clock errors and delays in detecting a restart of the agent

EventSink: TypeAlias = Callable[[messages.RunnerEvent], None]
AgentMessage: TypeAlias = messages.RunnerCommand | messages.SampleGauges
OUTCOMES = {
    "PASS": Outcome.OK,
    "FAIL": Outcome.ERROR,
    "KILLED": Outcome.CANCELLED,
    "NOOP": Outcome.ABANDONED,
}


def to_agent_command(message: AgentMessage) -> wire.RunCommand | wire.SampleGauges:
    """Convert a message of the core to a command in the agent's protocol."""
    match message:
        case messages.LaunchRun():
            return wire.LaunchRun(message.attempt_id, message.class_name, message.body)
        case messages.DeliverCallReply():
            return wire.DeliverCallReply(message.attempt_id, message.body)
        case messages.ProceedWithoutCall():
            return wire.ProceedWithoutCall(message.attempt_id, message.call_number)
        case messages.SampleGauges():
            return wire.SampleGauges(message.tag)


def _encode(item: PendingCommand | wire.SampleGauges) -> bytes:
    return wire.encode_command(item.command if isinstance(item, PendingCommand) else item)


class LinkState(Enum):
    """State of the connection to the agent; commands are sent only while it is `UP`."""

    DOWN = "down"  # no connection, or the agent has not greeted on it yet
    REPLAYING = "replaying"  # the agent sends the notices that were missed
    UP = "up"
    SWITCHING = "switching"  # the address has changed; the commands sent so far are being confirmed


class Agent:
    """Actor for the render farm agent.

    Attributes:
        address: address of the agent; None if there is no agent.
        stream: current connection.
        outgoing: commands that have not been written to the connection yet.
        commands: the commands that are not known to have been carried out.
        last_notice: number of the last notice that was read.
        connection_count: number of connections made so far.
        completed_replays: number of connections on which the replay of notices was completed.
        replay_tag: tag of the sample whose answer marks the end of the replay; empty if there is no replay.
        state: state of the connection.
        unanswered_since: time of the first sample since data was last received; None if there was none.
        subscribed_at: time at which the current connection subscribed to notices.
        first_greeted_at: time of the first greeting of the current incarnation of the agent.
        ended: whether the actor has ended.
        reconnect: event that ends the backoff before the next connection.
    """

    def __init__(self, address: Address | None, tell: EventSink, log: Log) -> None:
        self.address = address
        self.tell = tell
        self.log = log
        self.mailbox: Mailbox[AgentMessage] = Mailbox(self._handle_message, log, self._flush)
        self.stream: IOStream | None = None
        self.outgoing: list[PendingCommand | wire.SampleGauges] = []
        self.commands = CommandTracker()
        self.last_notice = 0
        self.connection_count = 0
        self.completed_replays = 0
        self.replay_tag = ""
        self.state = LinkState.DOWN
        self.unanswered_since: float | None = None
        self.subscribed_at = 0.0
        self.first_greeted_at = math.inf
        self.ended = False
        self.reconnect = asyncio.Event()

    @property
    def up(self) -> bool:
        """Whether commands can be sent: the connection is open, and its replay of notices is complete."""
        return self.state is LinkState.UP

    def put(self, message: AgentMessage) -> None:
        """Queue a command."""
        self.mailbox.put(message)

    def set_address(self, address: Address | None) -> None:
        """Use another address from now on; runs and notice numbers are kept."""
        if address == self.address:
            return
        self.address = address
        self.reconnect.set()
        if self.state is LinkState.UP and self.stream:
            self._begin_switch(self.stream)
        elif self.state is not LinkState.SWITCHING and self.stream:
            self.stream.close()

    def end(self) -> None:
        """Close the connection for good."""
        self.ended = True
        self._disconnect()

    # Commands

    def _handle_message(self, message: AgentMessage) -> None:
        command = to_agent_command(message)
        if not isinstance(command, wire.SampleGauges):
            pending = self.commands.add(command)
            if self.up:
                self.outgoing.append(pending)
        elif self.up:
            self.outgoing.append(command)
            self._check_sample_timeout()

    def _check_sample_timeout(self) -> None:
        """Close the connection if samples remain unanswered, as after a network failure that sends no FIN.

        If the agent has merely stalled, this costs only the connection: runs continue without one, and the
        next connection replays their notices.
        """
        now = time.monotonic()
        if self.unanswered_since is None:
            self.unanswered_since = now
        elif now - self.unanswered_since > SAMPLE_TIMEOUT and self.stream:
            self.log.event("agent_silent", seconds=round(now - self.unanswered_since, 1))
            self.stream.close()

    def _flush(self) -> None:
        """Write the outgoing commands and samples to the connection."""
        if not self.outgoing or self.stream is None or self.stream.closed():
            return
        batch, self.outgoing = self.outgoing, []
        commands = [item for item in batch if isinstance(item, PendingCommand)]
        self.commands.written(commands)
        now = time.monotonic()
        for item in batch:
            if isinstance(item, wire.SampleGauges):
                self.commands.sample_sent(item.tag, now)
        flush = self.stream.write(b"".join(_encode(item) for item in batch))
        if flush.done():  # nearly always: the system's buffer has room
            self._record_flush(commands, flush)
        else:
            flush.add_done_callback(partial(self._record_flush, commands))

    def _record_flush(self, commands: list[PendingCommand], flush: asyncio.Future[None]) -> None:
        if flush.exception() is None:
            self.commands.flushed(commands, time.monotonic())

    # Change of the address

    def _begin_switch(self, stream: IOStream) -> None:
        """Hold back new commands until those sent so far can be confirmed, then leave the connection."""
        self.state = LinkState.SWITCHING
        self.outgoing.clear()  # only samples are discarded; commands are still pending
        asyncio.get_running_loop().call_later(LOSS_WINDOW_S, self._confirm_before_switch, stream)

    def _confirm_before_switch(self, stream: IOStream) -> None:
        if stream is not self.stream:
            return  # the connection ended by itself
        self.outgoing.append(wire.SampleGauges(SWITCH_TAG))
        self._flush()
        asyncio.get_running_loop().call_later(SWITCH_TIMEOUT, stream.close)

    # Connection

    async def run(self) -> None:
        """Keep the connection open until the actor ends; return at once if there is no agent."""
        backoff = MIN_BACKOFF
        while self.address and not self.ended:
            replays_before = self.completed_replays
            with FailureBoundary(self.log, "agent_failed"):
                await self._serve_connection(self.address)
            self._disconnect()
            # A connection that broke before its replay was complete may break again in the same place.
            backoff = (
                MIN_BACKOFF if self.completed_replays > replays_before else min(2 * backoff, MAX_BACKOFF)
            )
            if not self.ended:
                await self._back_off(backoff)

    async def _back_off(self, seconds: float) -> None:
        """Wait before the next connection, or until the address changes."""
        self.reconnect.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.reconnect.wait(), seconds)

    async def _serve_connection(self, address: Address) -> None:
        """Connect and read notices until the connection ends."""
        try:
            stream = await self._connect(address)
            await self._read_notices(stream)
        except (OSError, StreamClosedError):
            pass
        except wire.StreamError as error:
            self.log.event("agent_stream", error=str(error))

    async def _connect(self, address: Address) -> IOStream:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.stream = stream
        await asyncio.wait_for(stream.connect((address.host, address.port)), CONNECT_TIMEOUT)
        stream.set_nodelay(True)
        self.connection_count += 1
        self.subscribed_at = time.monotonic()
        await stream.write(wire.encode_subscription(self.last_notice))
        return stream

    async def _read_notices(self, stream: IOStream) -> None:
        parser = wire.NoticeParser()
        while True:
            # The agent may start long after this process, so there is no timeout before its greeting.
            timeout = SAMPLE_TIMEOUT if self.state is LinkState.REPLAYING else None
            data = await asyncio.wait_for(stream.read_bytes(READ_SIZE, partial=True), timeout)
            self.unanswered_since = None
            for notice in parser.feed(data):
                self._handle_notice(notice)

    def _disconnect(self) -> None:
        if self.stream:
            self.stream.close()
            self.stream = None
        self.outgoing.clear()
        self.replay_tag = ""
        self.commands.disconnected()
        self.unanswered_since = None
        was_up = self.state in (LinkState.UP, LinkState.SWITCHING)
        self.state = LinkState.DOWN
        if was_up and not self.ended:
            self.log.event("agent_link_down")
            self.tell(messages.RunnerDisconnected())

    # Notices

    def _handle_notice(self, notice: wire.Notice) -> None:
        match notice:
            case wire.AgentGreeted():
                self._handle_greeting(notice)
            case wire.GaugesSampled():
                self._handle_sample(notice)
            case wire.RunOutcome() | wire.CallRequested() | wire.Remark():
                self._handle_numbered_notice(notice)
            case wire.MalformedLine():
                self._handle_malformed_line(notice)
            case wire.CommandRejected():
                self._handle_rejection(notice)

    def _handle_numbered_notice(self, notice: wire.RunOutcome | wire.CallRequested | wire.Remark) -> None:
        """Handle a numbered notice once, although a new connection may replay it."""
        if notice.number <= self.last_notice:
            return
        self.last_notice = notice.number
        match notice:
            case wire.RunOutcome():
                self.commands.remove(notice.run_id)
                self._report_run_end(notice)
            case wire.CallRequested():
                self.commands.remove(notice.run_id)
                self.tell(messages.CallRequested(notice.run_id, notice.number, notice.body))

    def _report_run_end(self, ended: wire.RunOutcome) -> None:
        outcome = OUTCOMES.get(ended.end)
        if outcome is None:
            self.log.event("agent_unknown_end", end=ended.end)
        body = ended.body if outcome is Outcome.OK else b""
        self.tell(
            messages.RunCompleted(ended.run_id, outcome or Outcome.ERROR, ended.duration_ms / 1000, body)
        )

    def _handle_greeting(self, greeting: wire.AgentGreeted) -> None:
        """Handle the greeting: send a sample, whose answer follows all notices that the agent replays."""
        if self.state is not LinkState.DOWN:
            self.log.event("agent_greeted_again")
            return
        now = time.monotonic()
        # Based on the time of the subscription, not of reading the greeting: a delay of the event loop must
        # not look like a restart of the agent.
        started_at = self.subscribed_at - greeting.uptime_ms / 1000
        if started_at > self.first_greeted_at + RESTART_MARGIN:
            self._handle_restart()
            self.first_greeted_at = now
        self.first_greeted_at = min(self.first_greeted_at, now)
        self.log.event("agent_up", loaded=greeting.loaded, since_ms=greeting.uptime_ms)
        self.tell(messages.RunnerConnected(greeting.loaded, greeting.uptime_ms / 1000))
        self.state = LinkState.REPLAYING
        self.replay_tag = f"link{self.connection_count}"
        self.outgoing.append(wire.SampleGauges(self.replay_tag))
        self._flush()

    def _handle_restart(self) -> None:
        """Handle a new incarnation of the agent: its runs are lost, and its notice numbers start again."""
        self.commands.clear()
        self.last_notice = 0
        self.log.event("agent_restarted")
        self.tell(messages.RunsLost(self))

    def _handle_sample(self, sampled: wire.GaugesSampled) -> None:
        self.commands.sample_answered(sampled.tag)
        if sampled.tag == self.replay_tag:
            self._finish_replay()
        elif self.state is LinkState.SWITCHING and sampled.tag == SWITCH_TAG and self.stream:
            self.stream.close()  # the next connection goes to the new address
        else:
            self.tell(messages.GaugesSampled(sampled.tag, sampled.values))

    def _finish_replay(self) -> None:
        """Handle the end of the replay: recover the commands whose effect is still unknown."""
        self.state = LinkState.UP
        self.replay_tag = ""
        self.completed_replays += 1
        recovery = self.commands.recover()
        if recovery.resend or recovery.unconfirmed_replies:
            self.log.event(
                "agent_recovered", resent=len(recovery.resend), unconfirmed=len(recovery.unconfirmed_replies)
            )
        self.outgoing += recovery.resend
        for run_id in recovery.unconfirmed_replies:
            self.tell(messages.CallReplyUnconfirmed(run_id))
        self._flush()

    def _handle_malformed_line(self, notice: wire.MalformedLine) -> None:
        """Handle a command that the agent could not parse."""
        self.commands.remove(notice.run_id)  # resending a launch could repeat a run that has ended
        self.log.event("agent_malformed", line=notice.line)
        if notice.run_id:
            self.tell(messages.RunCompleted(notice.run_id, Outcome.ERROR, 0.0))

    def _handle_rejection(self, rejection: wire.CommandRejected) -> None:
        """Handle a command that the agent rejected.

        A rejected launch never ran, since the agent would otherwise know the run.  Any other command that is
        rejected when it may be a repetition was carried out the first time, and its notices will follow.
        """
        pending = self.commands.remove(rejection.run_id)
        if pending and (not pending.may_repeat or isinstance(pending.command, wire.LaunchRun)):
            self.log.event("agent_refused", command=rejection.command, call=rejection.run_id)
            never_ran = rejection.command == "launch"
            outcome = Outcome.ABANDONED if never_ran else Outcome.ERROR
            self.tell(messages.RunCompleted(rejection.run_id, outcome, 0.0))
