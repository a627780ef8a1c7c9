"""JSON encoding of commands, results and snapshots, which Raft members store and nodes exchange.

The object keys and the values of `do` are a stable format: journals contain them, and nodes that run
different versions exchange them. The `decode_*` functions raise ValueError for malformed input;
`decode_entry` may also raise TypeError.
"""

from __future__ import annotations

from typing import Any, TypeAlias

from shelfhaven.consensus.commands import (
    Command,
    CommandResult,
    ExpireLease,
    GrantLease,
    KeepLeaseAlive,
    RevokeLease,
)
from shelfhaven.consensus.state_machine import Document
from shelfhaven.consensus.store import CompareAndSet, Entries, Entry, Put, Snapshot

JsonValue: TypeAlias = Any  # a decoded JSON value, not validated yet
JsonObject: TypeAlias = dict[str, JsonValue]


def encode_entry(entry: Entry | None) -> JsonValue:
    """Return an entry as a JSON array, or None for a key without an entry."""
    return None if entry is None else [entry.value.decode(), entry.revision, entry.lease]


def decode_entry(raw: JsonValue) -> Entry:
    """Parse an entry from its JSON array."""
    value, revision, lease = raw
    return Entry(str(value).encode(), int(revision), int(lease))


def _encode_entries(entries: Entries) -> JsonObject:
    return {key: encode_entry(entry) for key, entry in entries.items()}


def _decode_entries(raw: JsonValue) -> Entries:
    return {str(key): None if entry is None else decode_entry(entry) for key, entry in raw.items()}


def encode_command(command: Command) -> JsonObject:
    """Return a command as a JSON object."""
    match command:
        case CompareAndSet():
            puts = {key: [put.value.decode(), put.lease] for key, put in command.put.items()}
            return {
                "do": "change",
                "compare": dict(command.compare),
                "put": puts,
                "delete": list(command.delete),
            }
        case GrantLease():
            return {"do": "grant", "seconds": command.ttl, "lease": command.lease_id}
        case KeepLeaseAlive():
            return {"do": "beat", "lease": command.lease_id}
        case RevokeLease():
            return {"do": "revoke", "lease": command.lease_id}
        case ExpireLease():
            return {"do": "expire", "lease": command.lease_id, "beat": command.renewals}


def decode_command(raw: JsonValue) -> Command:
    """Parse a command from its JSON object."""
    try:
        return _parse_command(raw)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid command: {error!r}") from None


def _parse_command(raw: JsonValue) -> Command:
    match raw["do"]:
        case "change":
            return _parse_compare_and_set(raw)
        case "grant":
            return GrantLease(float(raw["seconds"]), int(raw["lease"]))
        case "beat":
            return KeepLeaseAlive(int(raw["lease"]))
        case "revoke":
            return RevokeLease(int(raw["lease"]))
        case "expire":
            return ExpireLease(int(raw["lease"]), int(raw["beat"]))
        case _:
            raise ValueError("invalid command: unknown operation")


def _parse_compare_and_set(raw: JsonValue) -> CompareAndSet:
    puts = {str(key): Put(str(value).encode(), int(lease)) for key, (value, lease) in raw["put"].items()}
    compare = {str(key): int(revision) for key, revision in raw["compare"].items()}
    return CompareAndSet(compare, puts, tuple(str(key) for key in raw["delete"]))


def encode_result(result: CommandResult) -> JsonObject:
    """Return the result of a command as a JSON object."""
    return {
        "done": result.applied,
        "revision": result.revision,
        "lease": result.lease_id,
        "seconds": result.ttl,
        "found": _encode_entries(result.current),
    }


def decode_result(raw: JsonValue) -> CommandResult:
    """Parse the result of a command from its JSON object."""
    try:
        current = _decode_entries(raw["found"])
        return CommandResult(
            raw["done"] is True, int(raw["revision"]), int(raw["lease"]), float(raw["seconds"]), current
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid result: {error!r}") from None


def encode_snapshot(snapshot: Snapshot) -> JsonObject:
    """Return a snapshot as a JSON object."""
    return {"revision": snapshot.revision, "items": _encode_entries(snapshot.items)}


def decode_snapshot(raw: JsonValue) -> Snapshot:
    """Parse a snapshot from its JSON object."""
    try:
        items = _decode_entries(raw["items"])
        return Snapshot(int(raw["revision"]), items)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"invalid snapshot: {error!r}") from None


def encode_read_request(keys: list[str]) -> JsonObject:
    """Return the JSON object of a request for the entries of these keys."""
    return {"do": "read", "keys": keys}


def encode_list_request(prefix: str) -> JsonObject:
    """Return the JSON object of a request for all entries whose keys start with a prefix."""
    return {"do": "listed", "prefix": prefix}


def apply_request(document: Document, raw: JsonValue) -> JsonObject:
    """Apply a JSON-encoded command or query to the document; return the JSON-encoded result.

    Raises ValueError for a malformed request.
    """
    try:
        match raw["do"]:
            case "read":
                return encode_snapshot(document.read(str(key) for key in raw["keys"]))
            case "listed":
                return encode_snapshot(document.list_prefix(str(raw["prefix"])))
            case _:
                return encode_result(document.apply(decode_command(raw)))
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid request: {error!r}") from None
