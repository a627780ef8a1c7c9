"""Idempotency keys in the core: duplicates are answered from their original, and no key runs twice."""

from __future__ import annotations

from typing import Any

import pytest

from shelfhaven.decision.settings import Outcome
from shelfhaven.server import messages
from tests.server.core_harness import LOOK, PAY, CoreHarness, with_harness


@with_harness
def test_a_duplicate_is_answered_from_its_running_or_finished_original(harness: CoreHarness) -> None:
    first = harness.submit(1, PAY, "k")
    harness.submit(2, PAY, "k")
    assert harness.launched_attempts() == [first]
    harness.finish_run(first)
    assert [answer.body for answer in (*harness.answers(1), *harness.answers(2))] == [b"result"] * 2
    harness.advance_time(2.0)
    harness.submit(3, PAY, "k")
    assert [answer.body for answer in harness.answers(3)] == [b"result"]
    assert harness.launched_attempts() == [first]


@with_harness
def test_an_attempt_with_the_same_key_and_another_body_is_no_duplicate(harness: CoreHarness) -> None:
    harness.finish_run(harness.submit(1, PAY, "k"))
    harness.submit(2, PAY, "k", body=b"another")
    assert not harness.answers(2)
    harness.submit(3, PAY, "k")
    assert [answer.body for answer in harness.answers(3)] == [b"result"]


@with_harness
def test_a_key_runs_again_only_for_an_attempt_received_after_its_ttl(harness: CoreHarness) -> None:
    first = harness.submit(1, PAY, "k")
    harness.finish_run(first)
    harness.advance_time(3.15)
    # Received before the end of the TTL, read after it.
    harness.submit(2, PAY, "k", received_at=5000.0 + harness.now - 0.2)
    assert harness.launched_attempts() == [first]
    assert [type(answer) for answer in harness.answers(2)] == [messages.ServedAnswer]
    second = harness.submit(3, PAY, "k")
    assert harness.launched_attempts() == [first, second]


@pytest.mark.parametrize("delay", [3.5, 10.0], ids=["TTL over", "entry due to be forgotten"])
@with_harness
def test_a_duplicate_of_a_run_that_outlasts_its_ttl_waits_for_it(harness: CoreHarness, delay: float) -> None:
    first = harness.submit(1, PAY, "k")
    harness.advance_time(delay)
    harness.submit(2, PAY, "k")
    assert harness.launched_attempts() == [first]
    harness.finish_run(first)
    assert [type(answer) for answer in harness.answers(2)] == [messages.ServedAnswer]
    second = harness.submit(3, PAY, "k")
    assert harness.launched_attempts() == [first, second], "both the TTL and the run are over"


@with_harness
def test_a_duplicate_is_served_whether_it_arrives_before_or_after_the_end_of_the_run(
    harness: CoreHarness,
) -> None:
    first = harness.submit(1, PAY, "k")
    harness.finish_run(first)
    harness.submit(2, PAY, "k")
    other = harness.submit(3, PAY, "l")
    harness.submit(4, PAY, "l")
    harness.finish_run(other)
    assert [type(answer) for request_ref in (1, 2, 3, 4) for answer in harness.answers(request_ref)] == [
        messages.ServedAnswer
    ] * 4
    assert harness.launched_attempts() == [first, other]


@with_harness
def test_only_keyed_runs_that_may_have_had_their_effect_are_reported_as_uncertain(
    harness: CoreHarness,
) -> None:
    uncertain: list[str] = []
    harness.core.keys.on_uncertain = lambda class_name, tenant, key: uncertain.append(key)
    harness.finish_run(harness.submit(1, PAY, "k"), "FAIL")
    harness.finish_run(harness.submit(2, LOOK, "safe"), "FAIL")
    harness.finish_run(harness.submit(3, PAY), "FAIL")
    harness.finish_run(harness.submit(4, PAY, "done"))
    harness.send(messages.RunCompleted(harness.submit(5, PAY, "rejected"), Outcome.REJECTED, 0.0))
    assert uncertain == ["k"]


@with_harness
def test_a_duplicate_of_a_failed_run_or_of_a_dropped_result_fails_and_never_runs(
    harness: CoreHarness,
) -> None:
    first = harness.submit(1, PAY, "k")
    harness.finish_run(first, "FAIL")
    harness.submit(2, PAY, "k")
    assert [type(answer) for answer in harness.answers(2)] == [messages.FailedAnswer]
    harness.core.keys.table.results.capacity_bytes = 3
    other = harness.submit(3, PAY, "j")
    harness.finish_run(other)
    harness.submit(4, PAY, "j")
    assert [type(answer) for answer in harness.answers(4)] == [messages.FailedAnswer]
    assert harness.launched_attempts() == [first, other]
    assert harness.core.keys.table.results.size_bytes == 0


@with_harness
def test_the_key_of_a_rejected_attempt_can_be_used_again(harness: CoreHarness) -> None:
    harness.submit(1, PAY, "k", received_at=5000.0 + harness.now - 50.0)  # long past its deadline
    assert [type(answer) for answer in harness.answers(1)] == [messages.RejectedAnswer]
    second = harness.submit(2, PAY, "k")
    assert harness.launched_attempts() == [second]


@with_harness
def test_the_key_table_forgets_expired_keys(harness: CoreHarness) -> None:
    harness.finish_run(harness.submit(1, PAY, "k"))
    harness.advance_time(10.0)
    assert not harness.core.keys.table.entries
    assert (harness.core.keys.table.results.size_bytes, len(harness.core.keys.table.results.bodies)) == (0, 0)


@with_harness
def test_a_new_run_of_an_expired_key_replaces_the_earlier_result(harness: CoreHarness) -> None:
    harness.finish_run(harness.submit(1, PAY, "k"), body=b"first")
    harness.advance_time(3.2)  # the TTL is over, but the entry is not yet forgotten
    harness.finish_run(harness.submit(2, PAY, "k"), body=b"other result")
    assert harness.core.keys.table.results.size_bytes == len(b"other result")
    harness.advance_time(1.0)  # the first entry would be forgotten by now, but not the second
    harness.submit(3, PAY, "k")
    assert [answer.body for answer in harness.answers(3)] == [b"other result"]
    assert len(harness.launched_attempts()) == 2
    harness.advance_time(10.0)
    assert (
        harness.core.keys.table.results.size_bytes,
        harness.core.keys.table.entries,
        harness.core.keys.table.results.bodies,
    ) == (0, {}, {})


@with_harness
def test_the_same_key_and_body_from_another_tenant_are_another_request(harness: CoreHarness) -> None:
    first = harness.submit(1, PAY, "k", tenant=0)
    second = harness.submit(2, PAY, "k", tenant=1)
    harness.finish_run(first, body=b"of the first")
    harness.finish_run(second, body=b"of the second")
    assert harness.launched_attempts() == [first, second]
    assert [answer.body for answer in (*harness.answers(1), *harness.answers(2))] == [
        b"of the first",
        b"of the second",
    ]
    harness.submit(3, PAY, "k", tenant=1)
    assert [answer.body for answer in harness.answers(3)] == [b"of the second"]
    assert harness.launched_attempts() == [first, second]


@with_harness
def test_the_same_key_and_body_with_another_path_are_another_request(harness: CoreHarness) -> None:
    attributes = [
        messages.RequestAttributes("POST", f"/topup/{number}", "", "", identity_parts=(number,))
        for number in ("1", "2")
    ]
    attempt_ids = [harness.submit(number, PAY, "k", attributes=attributes[number - 1]) for number in (1, 2)]
    assert harness.launched_attempts() == attempt_ids
    for attempt_id in attempt_ids:
        harness.finish_run(attempt_id)
    without_parts = [
        harness.submit(3, PAY, "q", attributes=messages.RequestAttributes("POST", "/topup", "", "")),
        harness.submit(4, PAY, "q"),
    ]
    assert harness.launched_attempts() == [*attempt_ids, without_parts[0]]  # the second is a duplicate


def uwsgi_attributes(*identity_parts: str) -> messages.RequestAttributes:
    """Return the attributes of an attempt by a protocol with paths and queries."""
    return messages.RequestAttributes("POST", "/topup", "", "", identity_parts=identity_parts)


# Changes of an attempt's fields, by the protocol and URL that it comes with.
PROTOCOLS: dict[str, dict[str, Any]] = {
    "jsonrpc": {},
    "uwsgi with a query": {"attributes": uwsgi_attributes("channel=ussd")},
    "uwsgi without a query": {"attributes": uwsgi_attributes()},
    "subrequest": {"attributes": uwsgi_attributes("channel=ussd"), "body": b"", "body_known": False},
}


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ("jsonrpc", "uwsgi with a query"),
        ("uwsgi with a query", "jsonrpc"),
        ("uwsgi without a query", "jsonrpc"),
        ("uwsgi with a query", "subrequest"),
        ("subrequest", "uwsgi with a query"),
        ("subrequest", "jsonrpc"),
    ],
)
@with_harness
def test_a_repeat_by_a_protocol_that_conveys_less_or_more_does_not_run_again(
    harness: CoreHarness, first: str, second: str
) -> None:
    # guards against an effect that happens twice (docs/incidents/repeat-by-another-protocol.md)
    attempt_id = harness.submit(1, PAY, "k", **PROTOCOLS[first])
    harness.submit(2, PAY, "k", **PROTOCOLS[second])  # while the first runs
    harness.finish_run(attempt_id)
    harness.submit(3, PAY, "k", **PROTOCOLS[second])  # after it
    assert harness.launched_attempts() == [attempt_id]
    assert [answer.body for number in (1, 2, 3) for answer in harness.answers(number)] == [b"result"] * 3


@with_harness
def test_requests_that_differ_in_what_both_attempts_convey_all_run(harness: CoreHarness) -> None:
    attempt_ids = [
        harness.submit(1, PAY, "k", attributes=uwsgi_attributes("channel=ussd")),
        harness.submit(2, PAY, "k", attributes=uwsgi_attributes("channel=app")),
    ]
    for attempt_id in attempt_ids:
        harness.finish_run(attempt_id, body=attempt_id.encode())
    other_body = harness.submit(3, PAY, "k", body=b"other")
    assert harness.launched_attempts() == [*attempt_ids, other_body]
    assert [harness.answers(number)[0].body for number in (1, 2)] == [id_.encode() for id_ in attempt_ids]


@with_harness
def test_a_repeat_of_one_of_two_requests_fails_if_it_cannot_tell_which(harness: CoreHarness) -> None:
    attempt_ids = [
        harness.submit(number, PAY, "k", attributes=uwsgi_attributes(str(number))) for number in (1, 2)
    ]
    harness.submit(3, PAY, "k")  # while both run
    for attempt_id in attempt_ids:
        harness.finish_run(attempt_id)
    harness.submit(4, PAY, "k")  # after them
    assert harness.launched_attempts() == attempt_ids
    for number in (3, 4):
        assert [type(answer) for answer in harness.answers(number)] == [messages.FailedAnswer]
    harness.submit(5, PAY, "k", attributes=uwsgi_attributes("2"))
    assert [type(answer) for answer in harness.answers(5)] == [messages.ServedAnswer]


@with_harness
def test_a_repeat_by_another_protocol_runs_after_the_ttl_or_if_the_first_never_ran(
    harness: CoreHarness,
) -> None:
    first = harness.submit(1, PAY, "k", attributes=uwsgi_attributes("channel=ussd"))
    harness.send(messages.RunCompleted(first, Outcome.REJECTED, 0.0))
    second = harness.submit(2, PAY, "k")
    harness.finish_run(second)
    harness.advance_time(5.0)  # the TTL is over
    third = harness.submit(3, PAY, "k", attributes=uwsgi_attributes("channel=ussd"))
    assert harness.launched_attempts() == [first, second, third]


@pytest.mark.parametrize("launched", [False, True])
@with_harness
def test_a_key_that_may_have_run_elsewhere_is_not_run_within_its_ttl(
    harness: CoreHarness, launched: bool
) -> None:
    running = [harness.submit(request_ref) for request_ref in (1, 2)]
    if launched:  # cancelled after its launch, before the runner reports that the run never started
        harness.finish_run(running[0])
    attempt_id = harness.submit(3, PAY, "k")
    harness.send(messages.CancelRequest(harness.frontend, 3, may_run=True))
    if launched:
        harness.send(messages.RunCompleted(attempt_id, Outcome.CONNECT_FAILED, 0.0))
    for running_attempt in running:
        harness.finish_run(running_attempt)
    harness.submit(4, PAY, "k")
    assert [type(answer) for answer in harness.answers(4)] == [messages.FailedAnswer]
    assert (attempt_id in harness.launched_attempts()) is launched
    harness.advance_time(5.0)  # the TTL is over
    harness.submit(5, PAY, "k")
    assert f"{5:016x}" in harness.launched_attempts()


@with_harness
def test_the_key_of_a_request_cancelled_before_its_run_can_be_used_again(harness: CoreHarness) -> None:
    running = [harness.submit(request_ref) for request_ref in (1, 2)]
    harness.submit(3, PAY, "k")
    harness.send(messages.CancelRequest(harness.frontend, 3))
    for running_attempt in running:
        harness.finish_run(running_attempt)
    second = harness.submit(4, PAY, "k")
    assert second in harness.launched_attempts()
