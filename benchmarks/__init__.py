"""Benchmarks against earlier versions and simple baselines; they do not run in CI."""
