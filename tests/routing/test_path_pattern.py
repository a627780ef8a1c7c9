"""Tests of path patterns and routes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.routing.path_pattern import PathPattern, Route


@pytest.mark.parametrize("text", ["topup", "/a/**/b", "/a/b*"])
def test_a_malformed_pattern_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="begin|segment|end"):
        PathPattern(text)


SEGMENTS = st.lists(st.sampled_from(["a", "b", "*"]), max_size=3)
ENDINGS = st.sampled_from([[], ["**"]])
PATTERNS = st.builds(
    lambda segments, ending: PathPattern("/" + "/".join([*segments, *ending])), SEGMENTS, ENDINGS
)


@given(PATTERNS, PATTERNS, st.lists(st.sampled_from(["a", "b", "c"]), max_size=4))
def test_a_pattern_matches_every_path_matched_by_a_pattern_that_it_covers(
    pattern: PathPattern, other: PathPattern, segments: list[str]
) -> None:
    path = "/" + "/".join(segments)
    if pattern.covers(other) and other.match(path) is not None:
        assert pattern.match(path) is not None


def test_a_route_is_shadowed_only_if_all_its_methods_are_covered() -> None:
    wildcard_route = Route(0, PathPattern("/a/*"), frozenset({"GET", "POST"}))
    assert wildcard_route.shadows(Route(1, PathPattern("/a/b"), frozenset({"GET"})))
    assert not wildcard_route.shadows(Route(1, PathPattern("/a/b"), frozenset({"PUT"})))
    assert not wildcard_route.shadows(Route(1, PathPattern("/a/b")))
    assert Route(0, PathPattern("/**")).shadows(wildcard_route)
