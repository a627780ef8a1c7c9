"""The log: stalled and closed readers, rate limit, messages of libraries, length limit of fields."""

from __future__ import annotations

import logging
import os

import orjson

from shelfhaven.server.log import MAX_TEXT_LENGTH, LibraryLogHandler, Log


def test_a_stalled_or_closed_reader_loses_lines_and_blocks_nothing() -> None:
    reader, writer = os.pipe()
    log = Log("test", writer)
    for number in range(3000):
        log.event(f"event{number}", text="x" * 5000)
    written = os.read(reader, 1 << 20)
    assert len(written) <= 1 << 16
    lines = [orjson.loads(line) for line in written.splitlines()]
    assert lines[0]["event"] == "event0"
    assert len(lines) < 3000
    os.close(reader)
    log.event("after the reader is closed")
    os.close(writer)


def test_events_above_the_rate_limit_are_suppressed_and_counted() -> None:
    reader, writer = os.pipe()
    log = Log("test", writer)
    for _ in range(500):
        log.event("same")
    log.line_counters["same"].second -= 1  # the next second
    log.event("same")
    lines = [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert len(lines) <= 3 * 20 + 1
    assert lines[-1]["left_out"] == 500 - (len(lines) - 1)
    os.close(reader)
    os.close(writer)


def test_warnings_of_libraries_are_logged_as_events() -> None:
    reader, writer = os.pipe()
    logger = logging.Logger("some.library")
    logger.addHandler(LibraryLogHandler(Log("test", writer)))
    logger.warning("refused by %s", "a peer")
    logger.warning("wrong %d", "arguments")
    logger.info("too much detail")
    lines = [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert [(line["event"], line["name"], line["text"]) for line in lines] == [
        ("library", "some.library", "refused by a peer")
    ]
    os.close(reader)
    os.close(writer)


def test_an_exception_is_logged_and_long_texts_keep_their_end() -> None:
    reader, writer = os.pipe()
    log = Log("test", writer)
    try:
        raise ValueError("x" * 2 * MAX_TEXT_LENGTH + " the end")
    except ValueError:
        log.exception("failed", action="some")
    (line,) = [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert (line["event"], line["server"], line["action"]) == ("failed", "test", "some")
    assert len(line["error"]) == MAX_TEXT_LENGTH
    assert line["error"].endswith("the end\n")
    os.close(reader)
    os.close(writer)
