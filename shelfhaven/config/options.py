"""Typed, validated access to configuration values that are given as pairs of path and text.

Both configuration formats are reduced to such pairs: the simulator sends them as lines, and the platform's
JSON file is flattened into them.  An absent value takes its default; an invalid one raises ConfigError.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from shelfhaven.config.types import MAX_ITEMS, ConfigError

Choice = TypeVar("Choice", bound=Enum | bool)

FLAGS = {"true": True, "1": True, "false": False, "0": False}


class Options:
    """Configuration values by path, such as `classes.0.deadline`, with defaults for absent ones."""

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        """Read from `pairs`; errors show each path with `prefix` before it."""
        self.pairs = pairs
        self.prefix = prefix

    def error(self, path: str, reason: str) -> ConfigError:
        """Return an error that names this path."""
        return ConfigError(reason, key=f"{self.prefix}{path}")

    def number(self, path: str, default: float = 0.0) -> float:
        """Return a finite number that is not negative."""
        text = self.pairs.get(path)
        if not text:
            return default
        return self._parse_number(path, text)

    def fraction(self, path: str, default: float = 0.0) -> float:
        """Return a number from 0 to 1."""
        return self._check_fraction(path, self.number(path, default))

    def flag(self, path: str, default: bool = False) -> bool:
        """Return a boolean."""
        return self._choose(path, self.pairs.get(path, "").lower(), FLAGS, default)

    def choice(self, path: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return the value that `choices` maps the text to."""
        return self._choose(path, self.pairs.get(path, ""), choices, choices[default])

    def items(self, path: str) -> list[str]:
        """Return a list of scalar values, as texts."""
        return [item for item in self.pairs.get(path, "").split(",") if item]

    def count(self, path: str) -> int:
        """Return the length of a list of objects."""
        count = self.number(f"{path}.count")
        if count > MAX_ITEMS:
            raise self.error(f"{path}.count", f"more than {MAX_ITEMS} items")
        return int(count)

    def item_fraction(self, path: str, index: int) -> float:
        """Return one number from 0 to 1 of a list of scalar values; 0 if the list is shorter."""
        items = self.items(path)
        if index >= len(items):
            return 0.0
        return self._check_fraction(path, self._parse_number(path, items[index]))

    def item_flag(self, path: str, index: int) -> bool:
        """Return one boolean of a list of scalar values; false if the list is shorter."""
        items = self.items(path)
        text = items[index].lower() if index < len(items) else ""
        return self._choose(path, text, FLAGS, False)

    def _parse_number(self, path: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise self.error(path, f"{text!r} is not a number") from None
        if not math.isfinite(value) or value < 0:
            raise self.error(path, f"{text!r} is negative or not a finite number")
        return value

    def _check_fraction(self, path: str, value: float) -> float:
        if value > 1:
            raise self.error(path, f"{value:g} is more than 1")
        return value

    def _choose(self, path: str, text: str, choices: Mapping[str, Choice], default: Choice) -> Choice:
        """Return the value of a word, or the default if the text is empty; an unknown word is an error."""
        if text and text not in choices:
            raise self.error(path, f"{text!r} is not one of {', '.join(choices)}")
        return choices[text] if text else default
