"""Hashes of names to fractions."""

from __future__ import annotations

from shelfhaven.routing.hash_spread import hash_fraction


def test_fraction_is_fixed_for_a_name_and_a_purpose() -> None:
    assert hash_fraction("n1", "poll") == hash_fraction("n1", "poll")
    assert hash_fraction("n1", "poll") != hash_fraction("n1", "zones/a")
    assert hash_fraction("n1", "poll") != hash_fraction("n2", "poll")


def test_fractions_of_many_names_are_uniformly_distributed() -> None:
    fractions = [hash_fraction(f"n{n}", "poll") for n in range(2000)]
    assert all(0 <= fraction < 1 for fraction in fractions)
    assert 0.45 < sum(fractions) / len(fractions) < 0.55
    assert 150 < sum(fraction < 0.1 for fraction in fractions) < 250
