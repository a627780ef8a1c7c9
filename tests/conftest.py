"""Fixed seeds: the same verdict each time."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
