"""The codec, checked with the example frames of the protocol description and with invalid frames."""

import io
import math

import pytest

from shelfhaven.simulation import wire
from shelfhaven.simulation.wire import Batch, Record

EMPTY = bytes.fromhex("10000000 00000000 508d976e12d32040 01000000")
EMPTY_REPLY = bytes.fromhex("08000000 00000000 01000000")
ARRIVAL = bytes.fromhex(
    "01 0300 c4913a5d 0000c441 0000203f 640ad2557c3bf091 01 00 b81e85eb51b8ce3f 192b6f0e acadd85f764f5e3f "
    "fa7e6abc7493883f 1100 0000"
) + bytes(7)
ELAPSED = bytes.fromhex("07 0300 4d00000000000000 04 52b81e3f 00004040 85ebd13e 0000f042") + bytes(36)
GONE = bytes.fromhex("06 0500 192b6f0e") + bytes(57)
BATCH = bytes.fromhex("d0000000 03000000 508d976e12d32040 0c000000") + ARRIVAL + ELAPSED + GONE
REPLY = (
    bytes.fromhex("61000000 03000000 0c000000")
    + bytes.fromhex("48 0300 c4913a5d")
    + bytes(17)
    + bytes.fromhex("4c 0300 000000000000e03f 4d00000000000000")
    + bytes(5)
    + bytes.fromhex("46 0500 00000000 11000000")
    + bytes(13)
    + b"two servers known"
)


def test_documented_empty_frames() -> None:
    batch = wire.decode_batch(EMPTY)
    assert (batch.number, batch.events) == (1, [])
    assert math.isclose(batch.now, 8.41225, rel_tol=1e-6)
    assert wire.encode_reply(1, []) == EMPTY_REPLY


def test_documented_batch_round_trips() -> None:
    batch = wire.decode_batch(BATCH)
    assert [event.name for event in batch.events] == ["Arrival", "Elapsed", "Gone"]
    arrival, elapsed, gone = (event.fields for event in batch.events)
    assert arrival["who"] == 3
    assert arrival["txn"] == 0x5D3A91C4
    assert arrival["footprint"] == 24.5
    assert arrival["prio"] == 0.625
    assert arrival["state-bits"] == 1
    assert arrival["budget"] == 0.24
    assert arrival["same-as"] == 0x0E6F2B19
    assert arrival["src"] == 17
    assert elapsed["ref"] == 77
    assert (elapsed["gauges"], elapsed["g1"], elapsed["g3"]) == (4, 3.0, 120.0)
    assert gone == {"who": 5, "txn": 0x0E6F2B19}
    assert wire.encode_batch(batch) == BATCH


def test_documented_reply_round_trips() -> None:
    actions = [
        Record("Begin", {"who": 3, "txn": 0x5D3A91C4}),
        Record("SetAlarm", {"who": 3, "wait": 0.5, "ref": 77}),
        Record("Print", {"who": 5, "text": "two servers known"}),
    ]
    assert wire.encode_reply(12, actions) == REPLY
    assert wire.decode_reply(REPLY) == (12, actions)


def test_documented_overload_reply() -> None:
    fields: wire.Fields = {"who": 3, "txn": 0x0E6F2B19, "pause": 0.25, "no-retry": 1}
    frame = wire.encode_reply(1, [Record("OverloadReply", fields)])
    assert frame[12:] == bytes.fromhex("4e 0300 192b6f0e 000000000000d03f 01") + bytes(8)


def _sample(layout: wire.RecordLayout) -> Record:
    fields: wire.Fields = {}
    for index, field in enumerate(layout.field_names):
        fields[field] = f"text {index}" if field in layout.text_fields else index + 1
    return Record(layout.name, fields)


@pytest.mark.parametrize("layout", wire.EVENT_LAYOUTS, ids=lambda layout: layout.name)
def test_every_event_round_trips(layout: wire.RecordLayout) -> None:
    batch = Batch(1.5, 9, [_sample(layout), _sample(layout)])
    frame = wire.encode_batch(batch)
    assert wire.decode_batch(frame) == batch
    assert layout.struct.size <= wire.EVENT_SIZE


@pytest.mark.parametrize("layout", wire.ACTION_LAYOUTS, ids=lambda layout: layout.name)
def test_every_action_round_trips(layout: wire.RecordLayout) -> None:
    actions = [_sample(layout), _sample(layout)]
    assert wire.decode_reply(wire.encode_reply(4, actions)) == (4, actions)
    assert layout.struct.size <= wire.ACTION_SIZE


class ShortReads(io.BytesIO):
    """A stream that returns at most three bytes from each read."""

    def read(self, size: int | None = -1) -> bytes:
        return super().read(min(3, size if size is not None and size >= 0 else 3))


def test_frames_are_read_in_several_reads_up_to_the_end_of_input() -> None:
    stream = ShortReads(BATCH + EMPTY)
    assert wire.read_frame(stream) == BATCH
    assert wire.read_frame(stream) == EMPTY
    assert wire.read_frame(stream) is None


@pytest.mark.parametrize("cut", [2, 7, 30, len(BATCH) - 1])
def test_truncated_input_is_an_error(cut: int) -> None:
    with pytest.raises(wire.WireError):
        wire.read_frame(io.BytesIO(BATCH[:cut]))


def _overwrite(frame: bytes, offset: int, data: bytes) -> bytes:
    return frame[:offset] + data + frame[offset + len(data) :]


def test_unknown_code_wrong_count_and_wrong_offset_are_errors() -> None:
    with pytest.raises(wire.WireError, match="unknown record code 99"):
        wire.decode_batch(_overwrite(BATCH, 20, b"\x63"))
    with pytest.raises(wire.WireError, match="do not fit"):
        wire.decode_batch(_overwrite(BATCH, 4, b"\x04"))
    with pytest.raises(wire.WireError, match="length field"):
        wire.decode_batch(_overwrite(BATCH, 0, b"\xd1"))
    spawn = wire.encode_batch(Batch(0.0, 1, [Record("Spawn", {"who": 1, "rng-seed": 2, "options": "a=b"})]))
    with pytest.raises(wire.WireError, match="outside the tail"):
        wire.decode_batch(_overwrite(spawn, 20 + 11, b"\x04"))
    with pytest.raises(wire.WireError, match="not valid UTF-8"):
        wire.decode_batch(spawn[:-3] + b"\xff\xfe\xfd")
