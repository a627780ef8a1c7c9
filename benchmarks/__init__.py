"""Measurements of the program against itself, its earlier versions and plain baselines; none runs in CI."""
