"""Hypothesis profile with fixed seeds, so that test results are reproducible."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
