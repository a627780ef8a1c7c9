"""Path patterns with wildcards, and routes that match requests by method and path."""

from __future__ import annotations

from dataclasses import dataclass, field

SEGMENT_WILDCARD = "*"
REST_WILDCARD = "**"


@dataclass(frozen=True, slots=True)
class PathPattern:
    """A path pattern: `*` matches one non-empty segment, and `**` at the end any remaining segments."""

    text: str
    segments: tuple[str, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        segments = tuple(self.text[1:].split("/"))
        object.__setattr__(self, "segments", segments)  # split once, not for each request
        if not self.text.startswith("/"):
            raise ValueError("does not begin with /")
        if any(segment not in (SEGMENT_WILDCARD, REST_WILDCARD) and "*" in segment for segment in segments):
            raise ValueError("* stands for a whole segment, ** for all segments that follow")
        if REST_WILDCARD in segments[:-1]:
            raise ValueError("** is allowed only as the last segment")

    def match(self, path: str) -> tuple[str, ...] | None:
        """Return the path segments that the wildcards match, or None if the path does not match."""
        return self.match_segments(path[1:].split("/"))

    def match_segments(self, segments: list[str]) -> tuple[str, ...] | None:
        """Do the same as `match`, for a path that is already split into segments."""
        captured: list[str] = []
        for position, expected in enumerate(self.segments):
            if expected == REST_WILDCARD:
                return (*captured, "/".join(segments[position:]))
            if position >= len(segments):
                return None
            if expected == SEGMENT_WILDCARD:
                if not segments[position]:
                    return None
                captured.append(segments[position])
            elif expected != segments[position]:
                return None
        return tuple(captured) if len(self.segments) == len(segments) else None

    def covers(self, other: PathPattern) -> bool:
        """Return whether this pattern matches every path that the other one matches."""
        own_segments = self.segments
        other_segments = other.segments
        for position, segment in enumerate(own_segments):
            if segment == REST_WILDCARD:
                return True
            if position >= len(other_segments) or other_segments[position] == REST_WILDCARD:
                return False
            if segment != other_segments[position] and (
                segment != SEGMENT_WILDCARD or not other_segments[position]
            ):
                return False
        return len(own_segments) == len(other_segments)


@dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests to a class by method and path; an empty set of methods means any method."""

    class_index: int
    pattern: PathPattern
    methods: frozenset[str] = frozenset()

    def shadows(self, later: Route) -> bool:
        """Return whether this route matches every request that the later route matches."""
        covers_methods = not self.methods or bool(later.methods and later.methods <= self.methods)
        return covers_methods and self.pattern.covers(later.pattern)
