"""Format of the key file: its tables, and the numbers in its header that identify it.

Owns the schema and the format version. It never changes a file that is not empty.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import apsw

FORMAT_VERSION = 1  # stored as SQLite's `user_version`
APPLICATION_ID = 0x53484B59  # stored as SQLite's `application_id`; "SHKY" in ASCII

SCHEMA = """
CREATE TABLE meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE boots(number INTEGER PRIMARY KEY, id TEXT NOT NULL, at REAL NOT NULL, shift REAL NOT NULL);
CREATE TABLE keys(
  id BLOB PRIMARY KEY, how INTEGER NOT NULL, boot INTEGER NOT NULL, ends REAL NOT NULL, told BLOB NOT NULL,
  result_mac BLOB NOT NULL, mac BLOB NOT NULL, result BLOB
) WITHOUT ROWID;
CREATE INDEX by_end ON keys(boot, ends);
"""

# the columns of a `RecordHead`; cast, as values in a damaged file may have other types
HEAD_COLUMNS = """CAST(id AS BLOB), CAST(how AS INTEGER), CAST(boot AS INTEGER), CAST(ends AS REAL),
CAST(told AS BLOB), CAST(result_mac AS BLOB), CAST(mac AS BLOB)"""

# raised by SQLite, or when its values are decoded, if the file is damaged
DAMAGE_ERRORS = (apsw.CorruptError, apsw.NotADBError, UnicodeDecodeError, TypeError, ValueError)


class MetaName(StrEnum):
    """Names of the values in the table `meta`."""

    CLASS_SUMMARY = "told"
    UNCERTAIN_PERIOD = "unsure"
    ESTIMATES = "learned"
    ESTIMATES_BOOT = "learned_boot"
    ESTIMATES_SAVED_AT = "learned_at"


def rows(
    database: apsw.Connection, statement: str, bindings: tuple[object, ...] = ()
) -> list[tuple[Any, ...]]:
    """Return all rows of a query; in a damaged file, values may have unexpected types."""
    return database.execute(statement, bindings).fetchall()


def scalar(database: apsw.Connection, statement: str) -> object:
    """Return the value of a query with one row and one column."""
    return rows(database, statement)[0][0]


def format_version(database: apsw.Connection) -> object:
    """Return the format version in the file's header; 0 in a new file."""
    return scalar(database, "PRAGMA user_version")


def application_id(database: apsw.Connection) -> object:
    """Return the application id in the file's header; 0 in a new file."""
    return scalar(database, "PRAGMA application_id")


def has_tables(database: apsw.Connection) -> bool:
    """Return whether the database contains any table, index, view or trigger."""
    return scalar(database, "SELECT count(*) FROM sqlite_schema") != 0


def create(database: apsw.Connection) -> None:
    """Create the tables and the header of a new file in one transaction."""
    with database:
        database.execute(SCHEMA)
        database.execute(f"PRAGMA application_id={APPLICATION_ID}").fetchall()
        database.execute(f"PRAGMA user_version={FORMAT_VERSION}").fetchall()
