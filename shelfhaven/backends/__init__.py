"""Backends: the runners that execute requests, and the ledger that their runs call."""
