"""The node index has the same keys as the list."""

from __future__ import annotations

from random import Random

from shelfhaven.membership.endpoint_registry import NodeIndex


def test_the_index_matches_the_list_after_random_additions_and_removals() -> None:
    index, random, expected_keys = NodeIndex(), Random(4), set()
    for _ in range(2000):
        key = f"nodes/z/n{random.randrange(60)}"
        if random.random() < 0.5:
            index.add(key)
            expected_keys.add(key)
        else:
            index.remove(key)
            expected_keys.discard(key)
        assert index.positions.keys() == expected_keys
        assert [key for _, key in index.ranks] == [key for _, key in sorted(index.ranks)]
        assert {key for _, key in index.ranks} == expected_keys
    first_by_rank = [key for key in expected_keys if index.is_among_first(key, 3)]
    assert first_by_rank
    assert set(first_by_rank) == {key for _, key in index.ranks[:3]}
    index.add("pools/p/s")
    assert "pools/p/s" not in index
