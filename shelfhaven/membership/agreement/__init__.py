"""Modules under whose names replicated classes are pickled; the classes are in `shelfhaven.consensus`."""
