"""Records of singleton tasks in the consensus store: their keys and their encoding.

Each task has two records:

- `hold/NAME`, the holder record, names the leader. It is bound to the leader's lease and is deleted with it.
- `duty/NAME`, the task record, persists across leaders. It contains the highest fencing token issued so far,
  the checkpoint of the work, and what operators have ordered.

When a node may write these records is decided elsewhere (`candidacy.py`, `hand_over.py`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import orjson

HOLDER_PREFIX, TASK_PREFIX = "hold/", "duty/"
MAX_CHECKPOINT_LENGTH = 4096  # characters


def holder_key(name: str) -> str:
    """Return the key of a task's holder record."""
    return HOLDER_PREFIX + name


def task_key(name: str) -> str:
    """Return the key of a task's persistent record."""
    return TASK_PREFIX + name


class RecordKeys(NamedTuple):
    """The keys of a task's two records."""

    holder: str
    record: str


def record_keys(name: str) -> RecordKeys:
    """Return the keys of a task's two records."""
    return RecordKeys(holder_key(name), task_key(name))


def task_name(key: str) -> str:
    """Return the name of the task that a key of either record belongs to."""
    return key.partition("/")[2]


def keys_of_tasks(names: Iterable[str]) -> tuple[str, ...]:
    """Return the keys of the records of several tasks, two for each task."""
    return tuple(key for name in names for key in record_keys(name))


@dataclass(frozen=True, slots=True)
class Holder:
    """The leader of a task: its node, its fencing token, and the address at which peers reach it."""

    node: str
    fencing_token: int
    address: str = ""

    def encode(self) -> bytes:
        """Return the JSON encoding that is stored."""
        return orjson.dumps([self.node, self.fencing_token, self.address])


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """The record of a task that persists across leaders."""

    fencing_token: int = 0  # the highest issued so far
    checkpoint: str = ""
    last_holder: str = ""
    successor: str = ""  # the next leader, chosen by an operator or by the previous leader
    disabled: bool = False  # by an operator: no node may lead the task

    def encode(self) -> bytes:
        """Return the JSON encoding that is stored."""
        raw = {
            "fence": self.fencing_token,
            "note": self.checkpoint,
            "by": self.last_holder,
            "to": self.successor,
            "off": self.disabled,
        }
        return orjson.dumps(raw)


def decode_holder(value: bytes) -> Holder:
    """Decode a holder record. Raises ValueError."""
    raw = _parse_json(value)
    if isinstance(raw, list) and len(raw) == 3:
        node, token, address = raw
        valid_strings = isinstance(node, str) and isinstance(address, str)
        if valid_strings and isinstance(token, int) and token > 0:
            return Holder(node, token, address)
    raise ValueError("invalid holder record")


def decode_task_record(value: bytes) -> TaskRecord:
    """Decode a task record; missing fields get their defaults. Raises ValueError."""
    raw = _parse_json(value)
    if isinstance(raw, dict):
        strings = [raw.get(name, "") for name in ("note", "by", "to")]
        token, disabled = raw.get("fence", 0), raw.get("off", False)
        if (
            all(isinstance(string, str) for string in strings)
            and isinstance(token, int)
            and isinstance(disabled, bool)
        ):
            checkpoint, last_holder, successor = strings
            return TaskRecord(token, checkpoint[:MAX_CHECKPOINT_LENGTH], last_holder, successor, disabled)
    raise ValueError("invalid task record")


def _parse_json(value: bytes) -> object:
    try:
        parsed: object = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"invalid JSON: {error}") from None
    return parsed
