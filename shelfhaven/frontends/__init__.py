"""Frontends: one module for each protocol of the callers, translating it to the messages of the core."""
