"""Hashes of names to fractions."""

from __future__ import annotations

from shelfhaven.routing.hash_spread import spread


def test_fraction_is_fixed_for_a_name_and_a_purpose() -> None:
    assert spread("n1", "poll") == spread("n1", "poll")
    assert spread("n1", "poll") != spread("n1", "zones/a")
    assert spread("n1", "poll") != spread("n2", "poll")


def test_fractions_of_many_names_are_uniformly_distributed() -> None:
    fractions = [spread(f"n{n}", "poll") for n in range(2000)]
    assert all(0 <= fraction < 1 for fraction in fractions)
    assert 0.45 < sum(fractions) / len(fractions) < 0.55
    assert 150 < sum(fraction < 0.1 for fraction in fractions) < 250
