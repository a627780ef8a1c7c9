"""Candidate ranking: even distribution, stability when a node leaves, and zones."""

from __future__ import annotations

from shelfhaven.election.candidate_ranking import (
    MAX_CANDIDATES,
    MAX_LOAD_FACTOR,
    CandidateNode,
    rank_candidates,
)


def test_tasks_are_distributed_evenly_and_few_move_when_a_node_leaves() -> None:
    tasks = {f"d{number}": "" for number in range(300)}
    nodes = [CandidateNode(f"n{number}", f"z{number % 3}") for number in range(100)]
    before = rank_candidates(tasks, nodes)
    counts: dict[str, int] = {}
    for ranking in before.values():
        assert len(ranking.order) == MAX_CANDIDATES
        counts[ranking.order[0]] = counts.get(ranking.order[0], 0) + 1
    assert max(counts.values()) <= MAX_LOAD_FACTOR * 3 + 1
    after = rank_candidates(tasks, [node for node in nodes if node.name != "n7"])
    moved = [task for task in tasks if before[task].order[0] != after[task].order[0]]
    led_by_removed_node = [task for task in tasks if before[task].order[0] == "n7"]
    assert set(led_by_removed_node) <= set(moved)
    assert len(moved) <= len(led_by_removed_node) + 6, "the load bound moves only a few other tasks"
    assert rank_candidates(tasks, nodes[::-1]) == before, "the ranking must not depend on the order of nodes"


def test_a_task_with_a_zone_has_only_candidates_of_this_zone() -> None:
    rankings = rank_candidates(
        {"a": "z1", "b": "z9"},
        [CandidateNode("n1", "z1"), CandidateNode("n2", "z2"), CandidateNode("n3", "z1")],
    )
    assert set(rankings["a"].order) == {"n1", "n3"}
    assert rankings["b"].order == ()
