"""Codec of the simulator's wire protocol: frames of fixed-size records, followed by a tail with all strings.

A frame consists of a header, whose first field is the length of the rest of the frame, records of equal size,
and the tail.  A record is a code byte followed by packed fields.  A text field holds the offset and the size,
in bytes, of a string in the tail.  All numbers are little-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import BinaryIO, NamedTuple

from shelfhaven.errors import ShelfhavenError

EVENT_SIZE = 64  # bytes of a record, including its code byte
ACTION_SIZE = 24
BATCH_HEADER = struct.Struct("<IIdI")  # length, record count, time, batch number
REPLY_HEADER = struct.Struct("<III")  # length, record count, batch number
_LENGTH = struct.Struct("<I")  # first field of both headers: length of the rest of the frame

Value = int | float | str
Fields = dict[str, Value]


class WireError(ShelfhavenError):
    """A frame violates the wire protocol."""


class Record(NamedTuple):
    """One event or action: its name and its fields, including the instance number `who`."""

    name: str
    fields: Fields

    def integer(self, field: str) -> int:
        """Return the value of an integer field."""
        value = self.fields[field]
        if not isinstance(value, int):
            raise WireError(f"{self.name}.{field} is not an integer")
        return value

    def number(self, field: str) -> float:
        """Return the value of a numeric field."""
        value = self.fields[field]
        if isinstance(value, str):
            raise WireError(f"{self.name}.{field} is not a number")
        return value

    def text(self, field: str) -> str:
        """Return the value of a text field."""
        value = self.fields[field]
        if not isinstance(value, str):
            raise WireError(f"{self.name}.{field} is not text")
        return value


class RecordLayout:
    """Codec of one kind of record.

    `spec` lists the fields as `name:format`, separated by spaces.  The format is a format character of
    `struct`, or `text` for a string in the tail.
    """

    def __init__(self, code: int, name: str, spec: str) -> None:
        self.code = code
        self.name = name
        formats = dict(field.split(":") for field in spec.split())
        self.field_names = tuple(formats)
        self.text_fields = frozenset(
            field_name for field_name, field_format in formats.items() if field_format == "text"
        )
        packed = ("II" if field_format == "text" else field_format for field_format in formats.values())
        self.struct = struct.Struct("<B" + "".join(packed))

    def unpack(self, frame: bytes, start: int, tail: int) -> Fields:
        """Return the fields of the record at offset `start`; the tail begins at offset `tail`."""
        values = iter(self.struct.unpack_from(frame, start)[1:])
        fields: Fields = {}
        for field in self.field_names:
            if field in self.text_fields:
                offset = next(values)
                size = next(values)
                fields[field] = self._text(field, frame, tail + offset, size)
            else:
                fields[field] = next(values)
        return fields

    def _text(self, field: str, frame: bytes, start: int, size: int) -> str:
        if start + size > len(frame):
            raise WireError(f"{self.name}.{field} points outside the tail")
        try:
            return frame[start : start + size].decode()
        except UnicodeDecodeError as error:
            raise WireError(f"{self.name}.{field} is not valid UTF-8") from error

    def pack(self, fields: Fields, size: int, tail: bytearray) -> bytes:
        """Pack a record into `size` bytes; missing fields become 0, and strings are appended to the tail."""
        values: list[int | float] = [self.code]
        for field in self.field_names:
            value = fields.get(field, 0)
            if isinstance(value, str):
                encoded = value.encode()
                values += [len(tail), len(encoded)]
                tail += encoded
            else:
                values.append(value)
        return self.struct.pack(*values).ljust(size, b"\0")


EVENT_LAYOUTS = (
    RecordLayout(0, "Spawn", "who:H rng-seed:Q options:text"),
    RecordLayout(
        1,
        "Arrival",
        "who:H txn:I footprint:f prio:f partition-key:Q state-bits:B service:B budget:d same-as:I lay:d "
        "work-hint:d src:H tenant:H",
    ),
    RecordLayout(2, "RunOver", "who:H txn:I how:H spent:d"),
    RecordLayout(3, "StalledOnCall", "who:H txn:I"),
    RecordLayout(4, "Downstream", "who:H txn:I spent:d how:H"),
    RecordLayout(5, "TerminateSoon", "who:H budget:d"),
    RecordLayout(6, "Gone", "who:H txn:I"),
    RecordLayout(7, "Elapsed", "who:H ref:Q gauges:B g0:f g1:f g2:f g3:f"),
    RecordLayout(8, "Retire", "who:H"),
)
ACTION_LAYOUTS = (
    RecordLayout(64, "Halt", "who:H txn:I"),
    RecordLayout(65, "CloseIdle", "who:H keep-for:d"),
    RecordLayout(66, "AnswerFrom", "who:H txn:I"),
    RecordLayout(67, "AskBelow", "who:H txn:I limit:d"),
    RecordLayout(68, "Omit", "who:H txn:I"),
    RecordLayout(69, "Exception", "who:H text:text"),
    RecordLayout(70, "Print", "who:H text:text"),
    RecordLayout(71, "Evict", "who:H txn:I"),
    RecordLayout(72, "Begin", "who:H txn:I"),
    RecordLayout(73, "Publish", "who:H x:f"),
    RecordLayout(74, "Status", "who:H on:B light:B"),
    RecordLayout(75, "Pin", "who:H txn:I keep-for:d"),
    RecordLayout(76, "SetAlarm", "who:H wait:d ref:Q"),
    RecordLayout(77, "Lose", "who:H txn:I"),
    RecordLayout(78, "OverloadReply", "who:H txn:I pause:d no-retry:B"),
)
_EVENT_BY_CODE = {layout.code: layout for layout in EVENT_LAYOUTS}
_ACTION_BY_CODE = {layout.code: layout for layout in ACTION_LAYOUTS}
_EVENT_BY_NAME = {layout.name: layout for layout in EVENT_LAYOUTS}
_ACTION_BY_NAME = {layout.name: layout for layout in ACTION_LAYOUTS}


class Batch(NamedTuple):
    """A frame of events: the time, the number of the batch and the events."""

    now: float
    number: int
    events: list[Record]


class Reply(NamedTuple):
    """A frame of actions: the number of the batch that it replies to, and the actions."""

    number: int
    actions: list[Record]


def _decode_records(
    frame: bytes, first: int, count: int, size: int, layouts: dict[int, RecordLayout]
) -> list[Record]:
    tail = first + count * size
    if tail > len(frame):
        raise WireError(f"{count} records do not fit in a frame of {len(frame)} bytes")
    records = []
    for start in range(first, tail, size):
        layout = layouts.get(frame[start])
        if layout is None:
            raise WireError(f"unknown record code {frame[start]}")
        records.append(Record(layout.name, layout.unpack(frame, start, tail)))
    return records


def decode_batch(frame: bytes) -> Batch:
    """Decode a complete frame of events, including its length field."""
    if len(frame) < BATCH_HEADER.size:
        raise WireError(f"a frame of {len(frame)} bytes is too short for a batch header")
    length, count, now, number = BATCH_HEADER.unpack_from(frame)
    if length + _LENGTH.size != len(frame):
        raise WireError(f"length field is {length}, but the actual length is {len(frame) - _LENGTH.size}")
    return Batch(now, number, _decode_records(frame, BATCH_HEADER.size, count, EVENT_SIZE, _EVENT_BY_CODE))


def decode_reply(frame: bytes) -> Reply:
    """Decode a complete frame of actions, including its length field."""
    if len(frame) < REPLY_HEADER.size:
        raise WireError(f"a frame of {len(frame)} bytes is too short for a reply header")
    length, count, number = REPLY_HEADER.unpack_from(frame)
    if length + _LENGTH.size != len(frame):
        raise WireError(f"length field is {length}, but the actual length is {len(frame) - _LENGTH.size}")
    return Reply(number, _decode_records(frame, REPLY_HEADER.size, count, ACTION_SIZE, _ACTION_BY_CODE))


def encode_batch(batch: Batch) -> bytes:
    """Encode a frame of events."""
    tail = bytearray()
    body = b"".join(_EVENT_BY_NAME[name].pack(fields, EVENT_SIZE, tail) for name, fields in batch.events)
    size = BATCH_HEADER.size - _LENGTH.size + len(body) + len(tail)
    return BATCH_HEADER.pack(size, len(batch.events), batch.now, batch.number) + body + tail


def encode_reply(number: int, actions: Iterable[Record]) -> bytes:
    """Encode the reply to a batch."""
    tail = bytearray()
    packed = [_ACTION_BY_NAME[name].pack(fields, ACTION_SIZE, tail) for name, fields in actions]
    body = b"".join(packed)
    size = REPLY_HEADER.size - _LENGTH.size + len(body) + len(tail)
    return REPLY_HEADER.pack(size, len(packed), number) + body + tail


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one frame, however many reads it takes; return None if the input ends between frames."""
    length_field = _read(stream, _LENGTH.size)
    if not length_field:
        return None
    if len(length_field) < _LENGTH.size:
        raise WireError("input ended within a length field")
    size = _LENGTH.unpack(length_field)[0]
    body = _read(stream, size)
    if len(body) < size:
        raise WireError(f"input ended {size - len(body)} bytes before the end of a frame")
    return length_field + body


def _read(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer if the input ends first."""
    chunks = []
    while size > 0:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)
