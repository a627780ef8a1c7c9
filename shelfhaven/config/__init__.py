"""Reads and validates the platform's JSON file and the simulator's settings, and fills in defaults.

The package only parses; what the settings lead to is decided elsewhere.  The operator's KDL file is read by
`shelfhaven.operator_config`.
"""

from __future__ import annotations

from shelfhaven.config.controller_settings import parse_lines
from shelfhaven.config.platform import load, parse_json
from shelfhaven.config.types import MAX_ITEMS, NAME, Address, Config, ConfigError, Limits, parse_address

__all__ = [
    "MAX_ITEMS",
    "NAME",
    "Address",
    "Config",
    "ConfigError",
    "Limits",
    "load",
    "parse_address",
    "parse_json",
    "parse_lines",
]
