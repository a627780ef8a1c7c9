"""Tests of caller numbers and of the limit on remembered names."""

from __future__ import annotations

from shelfhaven.routing.caller_numbers import CallerNumbers, hash_name


def test_a_peer_that_makes_up_names_evicts_no_other_caller() -> None:
    callers = CallerNumbers(max_names=3, idle_time=10.0)
    remembered = [callers.number_for(0.0, f"g{n}", "p1") for n in range(3)]
    numbers_of_made_up_names = {callers.number_for(1.0, f"x{n}", "p2") for n in range(1000)}
    assert numbers_of_made_up_names == {hash_name("peer p2")}
    assert [callers.number_for(2.0, f"g{n}", "p1") for n in range(3)] == remembered
    assert len(callers.last_active) == 3
    assert callers.number_for(12.5, "new", "p2") == hash_name("name new")  # it evicts an idle name
    assert len(callers.last_active) == 3
