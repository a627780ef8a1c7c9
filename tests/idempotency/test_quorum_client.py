"""The quorum client, with scripted votes and results of other nodes."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from shelfhaven.decision.settings import Outcome
from shelfhaven.idempotency import quorum_client, run_results, wire
from shelfhaven.idempotency.claimant import ClaimantIdentity
from shelfhaven.idempotency.quorum_replica import (
    KeyTimes,
    QuorumReplicaSettings,
    ReplicaEndpoint,
    ReservationSettings,
    VoteKind,
    VoteReply,
)
from shelfhaven.idempotency.replica_messenger import replicas_by_group
from shelfhaven.lab.election_fleet import soon
from shelfhaven.membership.peer_rpc import PeerRpcError
from shelfhaven.server import messages
from shelfhaven.server.log import Log

REPLICAS = {
    name: ReplicaEndpoint(name, zone, f"at-{name}") for name, zone in (("k1", "a"), ("k2", "b"), ("k3", "c"))
}
GRANTED = VoteReply(VoteKind.GRANTED)
TAKEN = VoteReply(VoteKind.TAKEN, "at-other/7", 3.0)


def key(number: int) -> bytes:
    return number.to_bytes(16, "big")


class ReservingNode:
    """A quorum client on a node without a replica; records what it sends, publishes and starts."""

    def __init__(self, incarnation: int = 1000, **changes: Any) -> None:
        settings = ReservationSettings(
            [REPLICAS], {"topup": KeyTimes(8.0, 3.0)}, QuorumReplicaSettings(11.0), **changes
        )
        self.sent: list[tuple[str, wire.ReservationQuery]] = []
        self.completions: list[messages.RunCompleted] = []
        self.started: list[messages.LaunchRun] = []
        self.post_results: list[bytes | PeerRpcError] = []  # of `PeerRpc.post`, in order
        peer_rpc: Any = SimpleNamespace(routes={}, post=self._post)
        publish: Any = self.completions.append
        identity = ClaimantIdentity("n1", "at-n1", incarnation)
        self.client = quorum_client.QuorumClient(
            settings, identity, self._record_sent, peer_rpc, publish, Log("test")
        )

    async def _post(self, *_: Any, **__: Any) -> bytes:
        result = self.post_results.pop(0)
        if isinstance(result, PeerRpcError):
            raise result
        return result

    def _record_sent(self, address: str, raw: Any) -> None:
        query = wire.decode_message(raw)
        assert isinstance(query, wire.ReservationQuery)
        self.sent.append((address, query))

    def launch(self, number: int = 1, time_left: float = 2.0) -> wire.ReservationQuery:
        sent_before = len(self.sent)
        launch = messages.LaunchRun(
            f"c{number}", "topup", b"", time_left, idempotency_key="k", key_digest=key(number)
        )
        self.client.launch(launch, self.started.append)
        return self.sent[sent_before][1]

    def vote(self, query: wire.ReservationQuery, *replies: VoteReply) -> None:
        for replica, reply in zip(REPLICAS, replies, strict=False):
            self.client.receive(wire.encode_message(wire.VoteAnswer(query.number, replica, reply)))

    def complete(self, number: int, outcome: Outcome, body: bytes = b"") -> None:
        self.client.on_run_completed(messages.RunCompleted(f"c{number}", outcome, 0.1, body))

    async def result(self, number: int, claimant: str = "", wait: float = 0.0) -> Any:
        query = {"id": key(number).hex(), "by": claimant or self.client.identity.claimant, "wait": wait}
        return orjson.loads(await self.client.results.answer(orjson.dumps(query)))


def play(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


def test_run_starts_only_with_a_majority_of_votes() -> None:
    async def check() -> None:
        node = ReservingNode()
        query = node.launch()
        assert {address for address, _ in node.sent} == {"at-k1", "at-k2", "at-k3"}
        node.vote(query, GRANTED)
        node.client.receive(wire.encode_message(wire.VoteAnswer(query.number, "k1", GRANTED)))
        node.client.receive(wire.encode_message(wire.VoteAnswer(query.number, "stranger", GRANTED)))
        assert not node.started, "a second vote of one replica and a vote of an unknown replica do not count"
        node.vote(query, GRANTED, GRANTED)
        assert [launch.attempt_id for launch in node.started] == ["c1"]
        assert 1.9 < node.started[0].time_left <= 2.0
        node.vote(query, GRANTED, GRANTED, GRANTED)
        assert len(node.started) == 1

    play(check)


def test_votes_on_requests_of_an_earlier_incarnation_do_not_count() -> None:
    async def check() -> None:
        old_query, new = ReservingNode(incarnation=1000).launch(), ReservingNode(incarnation=time.time_ns())
        query = new.launch()
        assert query.number != old_query.number
        new.vote(old_query, GRANTED, GRANTED, GRANTED)
        assert not new.started

    play(check)


def test_vote_timeout_rejects_the_run_with_retry_after_and_releases_its_votes() -> None:
    async def check() -> None:
        node = ReservingNode(vote_timeout=0.05, resend_after=0.02)
        query = node.launch()
        node.vote(query, GRANTED)
        await soon(lambda: node.completions, 1.0)
        (completed,) = node.completions
        assert (completed.outcome, completed.retry_after) == (
            Outcome.REJECTED,
            quorum_client.MIN_RETRY_AFTER,
        )
        assert not node.started
        assert sum(sent.release for _, sent in node.sent) == 3
        assert sum(not sent.release for _, sent in node.sent) == 3 + 2, "silent replicas are asked once more"
        quarantined = node.launch(2)
        node.vote(
            quarantined,
            VoteReply(VoteKind.UNABLE, seconds_left=7.5),
            VoteReply(VoteKind.UNABLE, seconds_left=6.0),
        )
        assert node.completions[1].retry_after == 6.0, "when the first of these replicas may vote otherwise"

    play(check)


SERVED = orjson.dumps({"state": "served", "body": base64.b64encode(b"done").decode()})


@pytest.mark.parametrize(
    ("answer", "outcome", "body"),
    [
        (SERVED, Outcome.OK, b"done"),
        (orjson.dumps({"state": "failed"}), Outcome.ERROR, b""),
        (b"nonsense", Outcome.ERROR, b""),
        (b'{"state":"odd"}', Outcome.ERROR, b""),
        (PeerRpcError("gone", True), Outcome.ERROR, b""),
    ],
)
def test_result_of_another_nodes_run_is_passed_on_and_without_a_valid_answer_the_run_failed(
    answer: bytes | PeerRpcError, outcome: Outcome, body: bytes
) -> None:
    async def check() -> None:
        node = ReservingNode()
        node.post_results = [answer]
        node.vote(node.launch(), TAKEN, TAKEN)
        await soon(lambda: node.completions, 1.0)
        assert [(completed.outcome, completed.body) for completed in node.completions] == [(outcome, body)]
        assert not node.started

    play(check)


def test_key_that_its_holder_did_not_run_is_reserved_again_up_to_a_limit() -> None:
    async def check() -> None:
        node = ReservingNode()
        not_run = orjson.dumps({"state": "unrun"})
        node.post_results = [not_run]
        node.vote(node.launch(), TAKEN, TAKEN)
        await soon(lambda: len({sent.number for _, sent in node.sent if not sent.release}) == 2, 1.0)
        node.vote(node.sent[-1][1], GRANTED, GRANTED)
        assert [launch.attempt_id for launch in node.started] == ["c1"]
        other = ReservingNode()
        other.post_results = [not_run] * quorum_client.MAX_RESERVE_ATTEMPTS
        query = other.launch()
        while not other.completions:
            other.vote(query, TAKEN, TAKEN)
            last = query.number
            await soon(lambda last=last: other.completions or other.sent[-1][1].number > last, 1.0)  # type: ignore[misc]
            query = next(sent for _, sent in reversed(other.sent) if not sent.release)
        assert (other.completions[0].outcome, other.post_results) == (Outcome.REJECTED, [])

    play(check)


def test_other_nodes_get_the_result_of_a_run_wait_for_it_and_learn_that_it_did_not_run() -> None:
    async def check() -> None:
        node = ReservingNode()
        assert await node.result(1) == {"state": "unrun"}, "a run of this incarnation would be known"
        earlier = await node.result(1, "at-n1/999")
        assert earlier == {"state": "failed"}, "an earlier incarnation may have run it"
        node.vote(node.launch(1), GRANTED, GRANTED)
        assert await node.result(1) == {
            "state": "failed"
        }, "the run is in progress, so it is not reported as not run"
        waiting = asyncio.ensure_future(node.result(1, wait=5.0))
        await asyncio.sleep(0)
        node.complete(1, Outcome.OK, b"done")
        assert await waiting == {"state": "served", "body": base64.b64encode(b"done").decode()}
        node.vote(node.launch(2), GRANTED, GRANTED)
        node.complete(2, Outcome.TIMEOUT)
        assert await node.result(2) == {"state": "failed"}
        node.vote(node.launch(3), GRANTED, GRANTED)
        node.complete(3, Outcome.CONNECT_FAILED)
        assert await node.result(3) == {"state": "unrun"}
        released = [query.request.key_digest for _, query in node.sent if query.release]
        assert released == [key(3)] * 3, "its votes are released"
        assert orjson.loads(await node.client.results.answer(b"{")) == {"state": "failed"}

    play(check)


def test_remembered_results_are_bounded_and_an_evicted_run_is_not_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check() -> None:
        monkeypatch.setattr(run_results, "MAX_RESERVATIONS", 50)
        monkeypatch.setattr(run_results, "MAX_RESULT_BYTES", 300)
        node = ReservingNode()
        for number in range(200):  # rejected runs are remembered like any other
            node.vote(node.launch(number), VoteReply(VoteKind.UNABLE), VoteReply(VoteKind.UNABLE))
        assert len(node.client.results.reservations) <= 50
        evicted = await node.result(3)
        assert evicted == {"state": "failed"}, "evicted: it may have run"
        for number in range(200, 230):
            node.vote(node.launch(number), GRANTED, GRANTED)
            node.complete(number, Outcome.OK, b"x" * 100)
        assert node.client.results.result_bytes <= 300
        states = [reservation.state for reservation in node.client.results.reservations.values()]
        assert states.count(run_results.RunState.SERVED) == 3
        assert await node.result(201) == {"state": "failed"}
        assert (await node.result(229))["state"] == "served"
        monkeypatch.setattr(quorum_client, "boottime", lambda: time.clock_gettime(time.CLOCK_BOOTTIME) + 60.0)
        node.launch(500)
        assert len(node.client.results.reservations) == 1
        assert node.client.results.result_bytes == 0

    play(check)


def test_keys_are_spread_over_groups_and_both_sets_are_asked_while_replicas_change() -> None:
    async def check() -> None:
        endpoints = {
            f"{zone}{group}": ReplicaEndpoint(f"{zone}{group}", zone, f"at-{zone}{group}", group)
            for zone in "abc" for group in range(4)
        }  # fmt: skip
        node = ReservingNode()
        node.client.messenger.endpoints = endpoints
        node.client.group_sets = [replicas_by_group(endpoints)]
        asked_sets = []
        for number in range(40):
            sent_before = len(node.sent)
            node.launch(number)
            asked_sets.append(frozenset(address for address, _ in node.sent[sent_before:]))
        assert {len(addresses) for addresses in asked_sets} == {3}
        assert len(set(asked_sets)) == 4
        node.client.messenger.endpoints = REPLICAS | {"k4": ReplicaEndpoint("k4", "c", "at-k4")}
        new_set = {
            name: endpoint for name, endpoint in node.client.messenger.endpoints.items() if name != "k3"
        }
        node.client.group_sets = [replicas_by_group(REPLICAS), replicas_by_group(new_set)]
        sent_before = len(node.sent)
        node.launch(100)
        assert {address for address, _ in node.sent[sent_before:]} == {"at-k1", "at-k2", "at-k3", "at-k4"}

    play(check)
