"""The codec of the agent's protocol: notices split at every byte, malformed lines, commands."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.protocol import agent
from tests.protocol.splitting import split_at

NOTICES = (
    b"greeting LOADED 1500\r\n"
    b"request 1 9b1f03aa5c7e2d41 6\r\nca\r\nll\r\n"
    b"outcome 2 9b1f03aa5c7e2d41 PASS 12.5 3\r\n\r\nr\r\n"
    b"outcome 3 aa1f03aa5c7e2d41 FAIL 7 0\r\n\r\n"
    b"sampled t1 0.5 3 0.25 17\r\n"
    b"refusal launch 9b1f03aa5c7e2d41\r\n"
    b"aside 4 any words at all\r\n"
)


def test_notices_split_at_every_byte_are_parsed_the_same() -> None:
    expected = agent.NoticeParser().feed(NOTICES)
    assert expected == [
        agent.AgentGreeted(True, 1500),
        agent.CallRequested(1, "9b1f03aa5c7e2d41", b"ca\r\nll"),
        agent.RunOutcome(2, "9b1f03aa5c7e2d41", "PASS", 12.5, b"\r\nr"),
        agent.RunOutcome(3, "aa1f03aa5c7e2d41", "FAIL", 7, b""),
        agent.GaugesSampled("t1", (0.5, 3, 0.25, 17)),
        agent.CommandRejected("launch", "9b1f03aa5c7e2d41"),
        agent.Remark(4),
    ]
    for position in range(len(NOTICES) + 1):
        parser = agent.NoticeParser()
        assert [notice for part in split_at(NOTICES, position) for notice in parser.feed(part)] == expected


@pytest.mark.parametrize(
    ("line", "run_id"),
    [
        (b"", ""),
        (b"what is this", ""),
        (b"greeting HALF 3", ""),
        (b"greeting EMPTY soon", ""),
        (b"sampled t1 nan", ""),
        (b"sampled t1 -1", ""),
        (b"outcome 5 9b1f03aa5c7e2d41 PASS", "9b1f03aa5c7e2d41"),
        (b"outcome x 9b1f03aa5c7e2d41 PASS 1 0\r\n", "9b1f03aa5c7e2d41"),
    ],
)
def test_a_malformed_line_names_the_run_that_it_may_be_about(line: bytes, run_id: str) -> None:
    (notice,) = agent.NoticeParser().feed(line + b"\r\n")
    assert isinstance(notice, agent.MalformedLine)
    assert notice.run_id == run_id


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 5000,
        b"outcome 1 a PASS 1 -3\r\n",
        b"outcome 1 a PASS 1 9999999999\r\n",
        b"request 1 a 1\r\nxyz",
    ],
)
def test_an_endless_line_or_an_invalid_length_raises_a_stream_error(data: bytes) -> None:
    with pytest.raises(agent.StreamError):
        agent.NoticeParser().feed(data)


def test_commands_are_encoded_with_their_body_lengths() -> None:
    assert agent.encode_subscription(7) == b"subscribe 7\r\n"
    assert agent.encode_command(agent.LaunchRun("ab", "top-up", b"\r\n")) == b"launch ab top-up 2\r\n\r\n\r\n"
    assert agent.encode_command(agent.DeliverCallReply("ab", b"")) == b"deliver ab 0\r\n\r\n"
    assert agent.encode_command(agent.ProceedWithoutCall("ab", 9)) == b"forgo ab 9\r\n"
    assert agent.encode_command(agent.SampleGauges("t1")) == b"sample t1\r\n"


@given(st.lists(st.binary(max_size=60), max_size=8))
def test_arbitrary_bytes_raise_nothing_but_stream_errors(chunks: list[bytes]) -> None:
    parser = agent.NoticeParser()
    with contextlib.suppress(agent.StreamError):
        for chunk in chunks:
            assert None not in parser.feed(chunk)
